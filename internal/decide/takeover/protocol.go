// Package takeover decides how the calls of a failed controller pass to others: the protocol on the directory that all controllers of a site
// share, and its timing. It does no I/O: the files are behind an interface, and the clock is an argument.
// docs/takeover.md has the argument for its correctness; the model checker in the tests runs this very code.
package takeover

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
)

// Files is the directory that all controllers of a site share. Paths are relative to it. Every method is atomic to other processes, but for
// Write and Remove, which are used where no other process reads.
type Files interface {
	// List returns the sorted names in a directory; none if it does not exist.
	List(dir string) ([]string, error)
	Read(file string) ([]byte, error)
	Write(file string, text []byte) error
	// Mkdir makes a directory whose parent exists.
	Mkdir(dir string) error
	// Rename moves a file or directory. ErrNotFound says that it does not exist any more, or its new parent does not.
	Rename(from, to string) error
	// Remove removes a file, or a directory with its content; it is no error if there is none.
	Remove(path string) error
}

// ErrNotFound is the error of a file or directory that does not exist: another process has claimed it.
var ErrNotFound = errors.New("takeover: it is not there any more")

// CreateSharedDirs makes the directories beside those of the controllers.
func CreateSharedDirs(f Files) error {
	for _, dir := range []string{SealedDir, TerminationsDir, QueriesDir, TrashDir} {
		if err := ensureDir(f, dir); err != nil {
			return err
		}
	}
	return nil
}

// CreateInbox makes the inbox in a controller's own ledger.
func CreateInbox(f Files, name string) error { return ensureDir(f, InboxDir(name)) }

// ensureDir makes a directory unless it exists.
func ensureDir(f Files, dir string) error {
	exists := func() (bool, error) {
		names, err := f.List(path.Dir(dir))
		return slices.Contains(names, path.Base(dir)), err //nolint:wrapcheck // the caller's Files wrap it
	}
	if there, err := exists(); there || err != nil {
		return err
	}
	err := f.Mkdir(dir)
	if err != nil {
		if there, _ := exists(); there {
			return nil // another process was quicker
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

// Seal claims the ledger of a failed controller. From then on its owner, if it lives, sends nothing that is not in the ledger. ErrNotFound
// says that another process has claimed it.
func Seal(f Files, name, number, claimant string) (SealedLedger, error) {
	s := SealedLedger{name, number, claimant}
	return s, f.Rename(name, s.Path()) //nolint:wrapcheck // the caller's Files wrap it
}

// Reclaim claims a sealed ledger whose claimant has failed as well.
func Reclaim(f Files, s SealedLedger, claimant string) (SealedLedger, error) {
	return ReclaimAs(f, s, s.Number, claimant)
}

// ReclaimAs is Reclaim under another number.
func ReclaimAs(f Files, s SealedLedger, number, claimant string) (SealedLedger, error) {
	reclaimed := SealedLedger{s.Name, number, claimant}
	if reclaimed == s {
		return s, nil
	}
	return reclaimed, f.Rename(s.Path(), reclaimed.Path()) //nolint:wrapcheck // the caller's Files wrap it
}

// LedgerReader reads the calls of a ledger's directory, by id, each as the content of a call's file. The records of the ledger take
// precedence over its inbox.
type LedgerReader func(dir string) (map[string][]byte, error)

// Unpack writes the calls of a sealed ledger to files, one each, for others to claim. It is idempotent, also after a partial run.
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

// ClaimCall moves one call to the inbox of its claimant. ErrNotFound says that it is not in this ledger, or that another process has claimed
// it. The claimant persists the call in its own ledger before it sends anything about it, and then calls Acknowledge.
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

// ClaimedCalls returns the calls that a controller has claimed and not yet persisted.
func ClaimedCalls(f Files, claimant string) ([]string, error) {
	return f.List(InboxDir(claimant)) //nolint:wrapcheck // the caller's Files wrap it
}

// UnclaimedCalls returns the calls of a sealed ledger that nobody has claimed; unpacked is false before Unpack.
func UnclaimedCalls(f Files, s SealedLedger) (ids []string, unpacked bool, err error) {
	names, err := f.List(s.Path())
	if err != nil || !slices.Contains(names, unpackedDir) {
		return nil, false, err //nolint:wrapcheck // the caller's Files wrap it
	}
	ids, err = f.List(s.unpackedPath())
	return ids, true, err //nolint:wrapcheck // the caller's Files wrap it
}

// CreateTransferLedger makes the ledger of a live controller that holds the calls which it transfers to others: it is sealed and unpacked
// from the start, with no call.
func CreateTransferLedger(f Files, s SealedLedger) error {
	return errors.Join(ensureDir(f, s.Path()), ensureDir(f, s.unpackedPath()))
}

// TransferCall makes a call claimable that its controller gives away. Its file is in the controller's inbox, and its own ledger has dropped
// it. Before that the records count, afterwards the file: it is in one place at any time.
func TransferCall(f Files, transfer SealedLedger, id string) error {
	from := path.Join(InboxDir(transfer.Claimant), id)
	return f.Rename(from, path.Join(transfer.unpackedPath(), id)) //nolint:wrapcheck // the caller's Files wrap it
}

// Delete deletes a sealed ledger whose calls are all claimed. It is for the claimant that saw it empty after Unpack: nothing is added to it
// from then on. A call that is claimed concurrently would be lost with it.
func Delete(f Files, s SealedLedger) error {
	trash := path.Join(TrashDir, path.Base(s.Path()))
	if err := f.Rename(s.Path(), trash); err != nil {
		return err //nolint:wrapcheck // the caller's Files wrap it
	}
	return f.Remove(trash) //nolint:wrapcheck // the caller's Files wrap it
}

// FindAndClaim claims a call from whichever sealed ledger holds it; ErrNotFound says that none does.
func FindAndClaim(f Files, id, claimant string) ([]byte, SealedLedger, error) {
	all, err := SealedLedgers(f)
	if err != nil {
		return nil, SealedLedger{}, err
	}
	for _, s := range all {
		text, err := ClaimCall(f, s, id, claimant)
		if err == nil || !errors.Is(err, ErrNotFound) {
			return text, s, err
		}
	}
	return nil, SealedLedger{}, fmt.Errorf("%w: call %s", ErrNotFound, id)
}
