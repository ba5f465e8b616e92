package takeover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	decide "cherryrelay/internal/decide/takeover"
)

const (
	// maxLookups bounds the calls that are looked up at once, as many as one connection may resume.
	maxLookups = 16 << 10
	// OwnerName is the file in a ledger's directory that holds the incarnation of its owner as a fleet member, as JSON.
	OwnerName = "owner"
	// transferNumber is the number of the transfer ledger: it belongs to a live controller and holds the calls that it hands to others.
	transferNumber = "handed"
)

// Core receives the results of the room, on its event loop.
type Core interface {
	// CallReceived delivers a claimed call, and the cause of its end if a dispatcher has reported that already (-1 if not).
	CallReceived(c *Call, over int)
	// CallNotFound reports that a call asked for with Want cannot be found; cut means that no controller can hold it.
	CallNotFound(id string, cut bool)
	// ApplyRemoteEnds delivers ends of calls that dispatchers reported to other controllers; it returns the ids of the calls held here.
	ApplyRemoteEnds(ends map[string]int) (mine []string)
	// TransferRequested delivers the calls that callers ask other controllers for.
	TransferRequested(calls map[string]Query)
	// TransferWritten reports that the file of a call passed to Give is written: the call may be removed from the own ledger.
	TransferWritten(id string)
}

// Options configure a Room.
type Options struct {
	Ledgers string        // the shared directory
	Name    string        // of the own ledger
	Key     []byte        // of the ledgers' MAC; nil for none
	Lease   time.Duration // of fleet members
	Post    func(func())  // runs a function on the event loop
	Still   func() error  // whether the own ledger still belongs to this process
	Taken   func(error)   // called when it does not: this process must drop all its calls
	// Certain returns the incarnation under which this process holds its lease, if it is certain to; nil without a fleet.
	Certain func() (decide.IncarnationID, bool)
	Fleet   decide.Membership
}

// Room is one controller's part in the failover of calls. Its exported methods may be called from any goroutine and do not wait for the disk.
type Room struct {
	options Options
	core    Core
	log     *slog.Logger
	files   files
	started time.Time

	queriesDelivered atomic.Bool // the core has handled the queries of the last scan

	wake   chan struct{}
	done   chan struct{}
	cancel context.CancelFunc

	// Queued by the exported methods for the next scan.
	mu           sync.Mutex
	lookups      map[string]lookup
	persisted    []string          // claimed calls that are in the own ledger
	terminations map[string]int    // causes of ends reported for calls that are not held here
	outgoing     map[string][]byte // encoded calls to be transferred
	released     []string          // transferred calls that have left the own ledger
	status       Shown

	// Used by the scanning goroutine only.
	owners       *decide.FailureDetector // of the owners of ledgers
	claimants    *decide.FailureDetector // of the claimants of sealed ledgers
	incarnation  decide.IncarnationID    // as written to OwnerName
	certainSince time.Duration
	inbox        map[string]bool                       // calls in the own inbox that the core knows of
	unpackedAt   map[decide.SealedLedger]time.Duration // of the own sealed ledgers with unclaimed calls
	terminatedAt map[string]time.Duration              // when termination files were written
	queriedAt    map[string]time.Time                  // modification times of the own query files
	queries      map[string]seenQuery                  // of other controllers
}

// Open starts the room of a controller that owns its ledger. It works until Close.
func Open(core Core, o Options, log *slog.Logger) (*Room, error) {
	root, err := os.OpenRoot(o.Ledgers)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Room{
		options:      o,
		core:         core,
		log:          log,
		files:        files{root},
		started:      time.Now(),
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
		cancel:       cancel,
		lookups:      map[string]lookup{},
		terminations: map[string]int{},
		outgoing:     map[string][]byte{},
		owners:       decide.NewFailureDetector(o.Name),
		claimants:    decide.NewFailureDetector(o.Name),
		inbox:        map[string]bool{},
		unpackedAt:   map[decide.SealedLedger]time.Duration{},
		terminatedAt: map[string]time.Duration{},
		queriedAt:    map[string]time.Time{},
	}
	if err := r.createDirs(); err != nil {
		cancel()
		return nil, errors.Join(err, root.Close())
	}
	go r.run(ctx)
	return r, nil
}

func (r *Room) createDirs() error {
	return errors.Join(
		decide.CreateSharedDirs(r.files),
		decide.CreateInbox(r.files, r.options.Name),
		decide.CreateTransferLedger(r.files, r.transferLedger()),
	)
}

// Close stops the room. Work under way stays in the shared directory for other controllers.
func (r *Room) Close() error {
	r.cancel()
	<-r.done
	return r.files.root.Close() //nolint:wrapcheck // its error names the path
}

func (r *Room) transferLedger() decide.SealedLedger {
	return decide.SealedLedger{Name: r.options.Name, Number: transferNumber, Claimant: r.options.Name}
}

// Lookup starts the lookup of a call for a caller that came back with a token. It returns false if too many lookups are pending.
func (r *Room) Lookup(id string, token []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, pending := r.lookups[id]; !pending {
		if len(r.lookups) >= maxLookups {
			return false
		}
		r.lookups[id] = lookup{r.now(), token}
	}
	r.scanSoon()
	return true
}

// Persisted reports that claimed calls are persisted in the own ledger.
func (r *Room) Persisted(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.persisted = append(r.persisted, ids...)
	r.scanSoon()
}

// Terminated reports the end of a call that is not held here.
func (r *Room) Terminated(id string, cause int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.terminations) < maxLookups {
		r.terminations[id] = cause
	}
	r.scanSoon()
}

// Transfer starts the transfer of a call to another controller. Core.TransferWritten follows once the call's file is written.
func (r *Room) Transfer(c *Call) error {
	text, err := encode(c, r.options.Key)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outgoing[c.ID()] = text
	r.scanSoon()
	return nil
}

// Transferred reports that transferred calls are removed from the own ledger: other controllers may claim them.
func (r *Room) Transferred(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = append(r.released, ids...)
	r.scanSoon()
}

// scanSoon wakes the scanning goroutine.
func (r *Room) scanSoon() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// now is the time since the room was opened, by the monotonic clock.
func (r *Room) now() time.Duration { return time.Since(r.started) }
