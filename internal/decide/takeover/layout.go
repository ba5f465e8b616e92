package takeover

import (
	"net/url"
	"path"
	"strings"
)

// The directories next to those of the controllers, whose names do not begin with a dot. The names are part of the format on disk.
const (
	// SealedDir holds sealed ledgers.
	SealedDir = ".sealed"
	// TerminationsDir holds the causes of the ends that dispatchers reported to controllers which do not hold the call.
	TerminationsDir = ".ends"
	// QueriesDir holds the ids of the calls that controllers look up at the other controllers.
	QueriesDir = ".wanted"
	// TrashDir holds the sealed ledgers that are being deleted.
	TrashDir = ".done"
)

// The directories inside the directory of a ledger.
const (
	inboxDir      = "in"
	unpackedDir   = "open"
	unpackTempDir = "open.new"
)

// InboxDir returns the directory of the calls that a controller has claimed and not yet persisted.
func InboxDir(name string) string { return path.Join(name, inboxDir) }

// separator separates the escaped fields in the directory name of a sealed ledger.
const separator = "@"

// SealedLedger identifies the ledger of a failed controller and the controller that claimed it. The number distinguishes it from other ledgers
// of the same name.
type SealedLedger struct{ Name, Number, Claimant string }

// Path returns the directory of the sealed ledger.
func (s SealedLedger) Path() string {
	base := strings.Join([]string{url.QueryEscape(s.Name), s.Number, url.QueryEscape(s.Claimant)}, separator)
	return path.Join(SealedDir, base)
}

func (s SealedLedger) unpackedPath() string { return path.Join(s.Path(), unpackedDir) }

// parseSealedName parses the directory name of a sealed ledger.
func parseSealedName(base string) (s SealedLedger, ok bool) {
	parts := strings.Split(base, separator)
	if len(parts) != 3 {
		return s, false
	}
	name, nameErr := url.QueryUnescape(parts[0])
	claimant, claimantErr := url.QueryUnescape(parts[2])
	return SealedLedger{name, parts[1], claimant}, nameErr == nil && claimantErr == nil
}
