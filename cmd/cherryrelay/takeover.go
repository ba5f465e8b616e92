package main

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"strconv"
	"syscall"

	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/takeover"
)

// seek has the calls of lost controllers found, once this process has its ledger; without [fleet] ledgers it does nothing.
func (n *node) seek() {
	f, k := n.config.Fleet, n.kept
	if f == nil || f.Ledgers == "" || n.room != nil || k == nil || n.fleet == nil {
		return
	}
	certain := func() (decide.IncarnationID, bool) {
		store, incarnation, ok := n.fleet.Life()
		return decide.IncarnationID{Store: store, Number: incarnation}, ok
	}
	room, err := takeover.Open(n.core, takeover.Options{
		Ledgers: f.Ledgers, Name: n.config.Name, Key: k.key, Lease: f.Lease(), Post: n.loop.Post, Still: k.still, Taken: n.beginAnew,
		Certain: certain, Fleet: n,
	}, n.log)
	if err != nil {
		n.log.Error("calls are not passed between controllers", "err", err)
		return
	}
	n.room = room
	n.core.UseFinder(room, func() bool { _, ok := certain(); return ok }, n.beginAnew)
	n.core.AddMetrics(room.Figures)
	n.loop.Post(func() {
		if n.manage != nil {
			for path, page := range room.Pages() {
				n.manage.Show(path, page)
			}
		}
	})
}

// HasEnded reports whether an incarnation of a controller has certainly ended, with nobody in its place.
func (n *node) HasEnded(name string, l decide.IncarnationID) bool {
	return n.fleet.HasEnded(l.Store, name, l.Number)
}

// beginAnew ends all that this process does, at once, and starts the program again in its place: its calls may be another's by now, so no
// word of them may leave it any more. Its connections close, and its callers come back, here or elsewhere.
func (n *node) beginAnew(why error) {
	n.log.Error("THE CALLS OF THIS CONTROLLER ARE ANOTHER'S: it begins anew without them", "err", why)
	own, err := os.Executable()
	if err == nil {
		err = closeAtExec()
	}
	if err == nil {
		err = syscall.Exec(own, os.Args, os.Environ())
	}
	n.log.Error("the program cannot be started again", "err", err)
	os.Exit(1)
}

// closeAtExec has every descriptor beyond the standard ones close as the program is started again: netpoll's sockets would stay open, with
// callers and dispatchers at their other ends that wait for a word.
func closeAtExec() error {
	const dir, standard = "/proc/self/fd", 2
	open, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	for _, e := range open {
		if fd, err := strconv.Atoi(e.Name()); err == nil && fd > standard {
			syscall.CloseOnExec(fd)
		}
	}
	return nil
}

// watchLedger has each commit of a ledger look whether it is this process's still.
func watchLedger(d ledger.Disk) func() error { return func() error { return ledger.VerifyPath(d) } }

// directoryOf opens a ledger's directory; in a fleet, that of one which was taken in the same moment is made anew.
func directoryOf(path string, log *slog.Logger) (ledger.Disk, error) {
	d, err := ledger.OpenDirectory(path)
	if errors.Is(err, ledger.ErrSealed) {
		log.Warn("the ledger was taken while it was opened", "directory", path)
		d, err = ledger.OpenDirectory(path)
	}
	if err != nil {
		return nil, fmt.Errorf("opening the ledger: %w", err)
	}
	// Whoever owned it before was a member as which this process is none: its end is not this one's.
	if err := d.Remove(takeover.OwnerName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Join(fmt.Errorf("opening the ledger: %w", err), d.Close())
	}
	return d, nil
}
