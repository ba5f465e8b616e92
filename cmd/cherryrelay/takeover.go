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

// startTakeovers starts the takeover of calls of terminated controllers once this process has its ledger. Without [fleet] ledgers it does
// nothing.
func (n *node) startTakeovers() {
	f, k := n.config.Fleet, n.opened
	if f == nil || f.Ledgers == "" || n.takeovers != nil || k == nil || n.fleet == nil {
		return
	}
	heldIncarnation := func() (decide.IncarnationID, bool) {
		store, incarnation, ok := n.fleet.Incarnation()
		return decide.IncarnationID{Store: store, Number: incarnation}, ok
	}
	participant, err := takeover.Open(n.core, takeover.Options{
		LedgersDir: f.Ledgers, Name: n.config.Name, Key: k.key, Lease: f.Lease(), Post: n.loop.Post, VerifyOwnership: k.verify, OnSealed: n.restart,
		Incarnation: heldIncarnation, Fleet: n,
	}, n.log)
	if err != nil {
		n.log.Error("calls are not transferred between controllers", "err", err)
		return
	}
	n.takeovers = participant
	n.core.UseFinder(participant, func() bool { _, ok := heldIncarnation(); return ok }, n.restart)
	n.core.AddMetrics(participant.Metrics)
	n.loop.Post(func() {
		if n.manage != nil {
			for path, page := range participant.Pages() {
				n.manage.AddPage(path, page)
			}
		}
	})
}

// HasEnded reports whether it is certain that an incarnation of a controller has ended and no other has replaced it.
func (n *node) HasEnded(name string, l decide.IncarnationID) bool {
	return n.fleet.HasEnded(l.Store, name, l.Number)
}

// restart stops this process at once and starts the program again in its place. Another controller may have taken over its calls, so
// this process must not send any further message about them. Its connections close, and its callers reconnect here or elsewhere.
func (n *node) restart(why error) {
	n.log.Error("THE CALLS OF THIS CONTROLLER ARE ANOTHER'S: it begins anew without them", "err", why)
	program, err := os.Executable()
	if err == nil {
		err = setCloseOnExec()
	}
	if err == nil {
		err = syscall.Exec(program, os.Args, os.Environ())
	}
	n.log.Error("the program cannot be started again", "err", err)
	os.Exit(1)
}

// setCloseOnExec marks every descriptor except the standard ones as close-on-exec. Otherwise the sockets of netpoll would stay open across
// the restart, and callers and dispatchers would wait for messages on them.
func setCloseOnExec() error {
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

// ledgerVerifier returns the check, done after each commit, that the ledger still belongs to this process.
func ledgerVerifier(d ledger.Disk) func() error { return func() error { return ledger.VerifyPath(d) } }

// openLedgerDirectory opens the directory of a ledger. If another controller of the fleet takes it over at the same moment, the directory is
// created anew.
func openLedgerDirectory(path string, log *slog.Logger) (ledger.Disk, error) {
	d, err := ledger.OpenDirectory(path)
	if errors.Is(err, ledger.ErrSealed) {
		log.Warn("the ledger was taken over while it was opened", "directory", path)
		d, err = ledger.OpenDirectory(path)
	}
	if err != nil {
		return nil, fmt.Errorf("opening the ledger: %w", err)
	}
	// The file names the incarnation that owned the ledger before. The end of that incarnation is not the end of this process.
	if err := d.Remove(takeover.OwnerFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Join(fmt.Errorf("opening the ledger: %w", err), d.Close())
	}
	return d, nil
}
