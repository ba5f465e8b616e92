package takeover

import (
	"net/url"
	"path"
	"strings"
)

// The directories beside those of the controllers, whose names do not begin with a dot. The names on disk are fixed.
const (
	// SealedDir holds sealed ledgers.
	SealedDir = ".sealed"
	// TerminationsDir holds the causes of ends that were reported to controllers which do not hold the call.
	TerminationsDir = ".ends"
	// QueriesDir holds the ids of calls that controllers ask the others for.
	QueriesDir = ".wanted"
	// TrashDir holds sealed ledgers that are being deleted.
	TrashDir = ".done"
)

// The directories in a ledger's.
const (
	inboxDir      = "in"
	unpackedDir   = "open"
	unpackTempDir = "open.new"
)

// InboxDir holds the calls that a controller has claimed and not yet persisted.
func InboxDir(name string) string { return path.Join(name, inboxDir) }

// separator parts the fields of a sealed ledger's directory name, which are escaped.
const separator = "@"

// SealedLedger is the ledger of a failed controller, with the controller that claimed it. The number tells it from others of the same name.
type SealedLedger struct{ Name, Number, Claimant string }

// Path is its directory.
func (s SealedLedger) Path() string {
	base := strings.Join([]string{url.QueryEscape(s.Name), s.Number, url.QueryEscape(s.Claimant)}, separator)
	return path.Join(SealedDir, base)
}

func (s SealedLedger) unpackedPath() string { return path.Join(s.Path(), unpackedDir) }

// parseSealedName reads the name of a sealed ledger's directory.
func parseSealedName(base string) (s SealedLedger, ok bool) {
	parts := strings.Split(base, separator)
	if len(parts) != 3 {
		return s, false
	}
	name, nameErr := url.QueryUnescape(parts[0])
	claimant, claimantErr := url.QueryUnescape(parts[2])
	return SealedLedger{name, parts[1], claimant}, nameErr == nil && claimantErr == nil
}
