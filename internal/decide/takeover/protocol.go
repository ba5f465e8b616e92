// Package takeover implements the protocol by which other controllers take over the calls of a failed one, and its timing. The protocol works
// on a directory that all controllers of a site share. The package does no I/O: the files are behind an interface, and the current time is an
// argument. docs/takeover.md argues why the protocol is correct; the tests run this code in a model checker.
package takeover

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
)

// Files is the directory that all controllers of a site share. Paths are relative to it. Every method is atomic to other processes except Write
// and Remove, which are only used where no other process reads.
type Files interface {
	// List returns the sorted names in a directory; it returns none if the directory does not exist.
	List(dir string) ([]string, error)
	Read(file string) ([]byte, error)
	Write(file string, data []byte) error
	// Mkdir creates a directory whose parent exists.
	Mkdir(dir string) error
	// Rename moves a file or directory. It returns ErrNotFound if that or its new parent directory does not exist.
	Rename(from, to string) error
	// Remove removes a file, or a directory with its content. It returns no error if the path does not exist.
	Remove(path string) error
}

// ErrNotFound is returned for a file or directory that does not exist, usually because another process has claimed it.
var ErrNotFound = errors.New("takeover: the file or directory does not exist")

// CreateSharedDirs creates the directories next to those of the controllers.
func CreateSharedDirs(f Files) error {
	for _, dir := range []string{SealedDir, TerminationsDir, QueriesDir, TrashDir} {
		if err := ensureDir(f, dir); err != nil {
			return err
		}
	}
	return nil
}

// CreateInbox creates the inbox in a controller's own ledger.
func CreateInbox(f Files, name string) error { return ensureDir(f, InboxDir(name)) }

// ensureDir creates a directory unless it exists.
func ensureDir(f Files, dir string) error {
	exists := func() (bool, error) {
		names, err := f.List(path.Dir(dir))
		return slices.Contains(names, path.Base(dir)), err //nolint:wrapcheck // the caller's Files wrap it
	}
	if found, err := exists(); found || err != nil {
		return err
	}
	err := f.Mkdir(dir)
	if err != nil {
		if found, _ := exists(); found {
			return nil // another process created it first
		}
	}
	return err //nolint:wrapcheck // the caller's Files wrap it
}

// SealedLedgers returns all sealed ledgers.
func SealedLedgers(f Files) ([]SealedLedger, error) {
	names, err := f.List(SealedDir)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller's Files wrap it
	}
	var all []SealedLedger
	for _, base := range names {
		if s, ok := parseSealedName(base); ok {
			all = append(all, s)
		}
	}
	return all, nil
}

// Seal claims the ledger of a failed controller. From then on the owner, if it is still running, sends no message that is not in the ledger.
// Seal returns ErrNotFound if another process has claimed the ledger.
func Seal(f Files, name, number, claimant string) (SealedLedger, error) {
	s := SealedLedger{name, number, claimant}
	return s, f.Rename(name, s.Path()) //nolint:wrapcheck // the caller's Files wrap it
}

// Reclaim claims a sealed ledger whose claimant has failed as well.
func Reclaim(f Files, s SealedLedger, claimant string) (SealedLedger, error) {
	return ReclaimAs(f, s, s.Number, claimant)
}

// ReclaimAs is like Reclaim, but gives the sealed ledger another number.
func ReclaimAs(f Files, s SealedLedger, number, claimant string) (SealedLedger, error) {
	reclaimed := SealedLedger{s.Name, number, claimant}
	if reclaimed == s {
		return s, nil
	}
	return reclaimed, f.Rename(s.Path(), reclaimed.Path()) //nolint:wrapcheck // the caller's Files wrap it
}

// LedgerReader reads the calls in a ledger's directory. It returns the contents of a call file for each, by call id. The records of the ledger
// take precedence over its inbox.
type LedgerReader func(dir string) (map[string][]byte, error)

// Unpack writes each call of a sealed ledger to a file of its own, for any controller to claim. It is idempotent, also after a partial run.
func Unpack(f Files, s SealedLedger, read LedgerReader) error {
	names, err := f.List(s.Path())
	if err != nil || slices.Contains(names, unpackedDir) {
		return err //nolint:wrapcheck // the caller's Files wrap it
	}
	calls, err := read(s.Path())
	if err != nil {
		return err
	}
	temp := path.Join(s.Path(), unpackTempDir)
	if err := f.Remove(temp); err != nil {
		return err //nolint:wrapcheck // the caller's Files wrap it
	}
	if err := f.Mkdir(temp); err != nil {
		return err //nolint:wrapcheck // the caller's Files wrap it
	}
	for _, id := range slices.Sorted(maps.Keys(calls)) {
		if err := f.Write(path.Join(temp, id), calls[id]); err != nil {
			return err //nolint:wrapcheck // the caller's Files wrap it
		}
	}
	return f.Rename(temp, s.unpackedPath()) //nolint:wrapcheck // the caller's Files wrap it
}

// ClaimCall moves a call to the inbox of its claimant. It returns ErrNotFound if the call is not in this ledger or another process has claimed
// it. The claimant must persist the call in its own ledger before it sends any message about it, and then call Acknowledge.
func ClaimCall(f Files, s SealedLedger, id, claimant string) ([]byte, error) {
	claimed := path.Join(InboxDir(claimant), id)
	if err := f.Rename(path.Join(s.unpackedPath(), id), claimed); err != nil {
		return nil, err //nolint:wrapcheck // the caller's Files wrap it
	}
	return f.Read(claimed) //nolint:wrapcheck // the caller's Files wrap it
}

// Acknowledge deletes a claimed call from the inbox once it is persisted in its claimant's own ledger.
func Acknowledge(f Files, id, claimant string) error {
	return f.Remove(path.Join(InboxDir(claimant), id)) //nolint:wrapcheck // the caller's Files wrap it
}

// ClaimedCalls returns the ids of the calls that a controller has claimed and not yet acknowledged.
func ClaimedCalls(f Files, claimant string) ([]string, error) {
	return f.List(InboxDir(claimant)) //nolint:wrapcheck // the caller's Files wrap it
}

// UnclaimedCalls returns the ids of the calls in a sealed ledger that no controller has claimed; unpacked is false before Unpack.
func UnclaimedCalls(f Files, s SealedLedger) (ids []string, unpacked bool, err error) {
	names, err := f.List(s.Path())
	if err != nil || !slices.Contains(names, unpackedDir) {
		return nil, false, err //nolint:wrapcheck // the caller's Files wrap it
	}
	ids, err = f.List(s.unpackedPath())
	return ids, true, err //nolint:wrapcheck // the caller's Files wrap it
}

// CreateTransferLedger creates the transfer ledger of a live controller, which holds the calls that it transfers to others. It is sealed and
// unpacked from the start, and empty.
func CreateTransferLedger(f Files, s SealedLedger) error {
	return errors.Join(ensureDir(f, s.Path()), ensureDir(f, s.unpackedPath()))
}

// TransferCall makes a call of a live controller claimable by others. The call's file must be in the controller's inbox, and the controller's
// ledger must have dropped the call already: the records take precedence before that and the file after it, so the call is in one place at any
// time.
func TransferCall(f Files, transfer SealedLedger, id string) error {
	from := path.Join(InboxDir(transfer.Claimant), id)
	return f.Rename(from, path.Join(transfer.unpackedPath(), id)) //nolint:wrapcheck // the caller's Files wrap it
}

// Delete deletes a sealed ledger whose calls are all claimed. Only its claimant may call it, after it has seen the ledger empty after Unpack:
// no call is added from then on. A call that was still unclaimed would be deleted with the ledger.
func Delete(f Files, s SealedLedger) error {
	trash := path.Join(TrashDir, path.Base(s.Path()))
	if err := f.Rename(s.Path(), trash); err != nil {
		return err //nolint:wrapcheck // the caller's Files wrap it
	}
	return f.Remove(trash) //nolint:wrapcheck // the caller's Files wrap it
}

// FindAndClaim claims a call from the sealed ledger that holds it. It returns ErrNotFound if none does.
func FindAndClaim(f Files, id, claimant string) ([]byte, SealedLedger, error) {
	all, err := SealedLedgers(f)
	if err != nil {
		return nil, SealedLedger{}, err
	}
	for _, s := range all {
		data, err := ClaimCall(f, s, id, claimant)
		if err == nil || !errors.Is(err, ErrNotFound) {
			return data, s, err
		}
	}
	return nil, SealedLedger{}, fmt.Errorf("%w: call %s", ErrNotFound, id)
}
