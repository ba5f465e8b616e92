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
	// maxLookups bounds the pending lookups and the unpublished terminations. One connection may resume as many calls.
	maxLookups = 16 << 10
	// OwnerFile is the name of the file in a ledger's directory that holds the owner's incarnation as a fleet member, as JSON.
	OwnerFile = "owner"
	// transferNumber is the number of a transfer ledger, which holds the calls that a live controller transfers to others.
	transferNumber = "handed"
)

// Core receives the results of a participant. Its methods are called on the event loop.
type Core interface {
	// CallReceived delivers a claimed call, with the cause of its end, or -1 if no dispatcher has reported its end.
	CallReceived(c *Call, endCause int)
	// CallNotFound reports that a lookup has not found its call. The argument noHolder is true if no other controller can hold the call.
	CallNotFound(id string, noHolder bool)
	// ApplyRemoteEnds delivers the causes of ends that dispatchers reported to other controllers, by the id of the call. It returns the ids
	// of those calls that are held here.
	ApplyRemoteEnds(causes map[string]int) (held []string)
	// TransferRequested delivers the queries of other controllers, by the id of the call.
	TransferRequested(queries map[string]Query)
	// TransferWritten reports that the file of a call passed to Transfer is written: the call may be removed from the own ledger.
	TransferWritten(id string)
}

// Options are the settings and callbacks for Open.
type Options struct {
	LedgersDir      string        // path of the shared directory
	Name            string        // of this controller and its ledger
	Key             []byte        // for the MACs of ledgers and call files; nil if there is none
	Lease           time.Duration // TTL of the fleet members' leases
	Post            func(func())  // runs a function on the event loop
	VerifyOwnership func() error  // verifies that the own ledger still belongs to this process
	OnSealed        func(error)   // called once the own ledger is sealed by another controller: this process must drop all its calls
	// Incarnation returns the incarnation under which this process holds its lease, and whether it holds one; nil without a fleet.
	Incarnation func() (decide.IncarnationID, bool)
	Fleet       decide.Membership // nil without a fleet
}

// Participant takes part in the failover of calls on behalf of one controller. Its exported methods may be called from any goroutine; except for
// Close, they do not wait for the disk.
type Participant struct {
	options Options
	core    Core
	log     *slog.Logger
	files   files
	started time.Time // origin of the monotonic clock that now reads

	queriesDelivered atomic.Bool // the core has handled the queries that were last posted

	wake   chan struct{} // signals that a scan is due at once
	done   chan struct{} // closed when run returns
	cancel context.CancelFunc

	// Queued by the exported methods for the next scan.
	mu           sync.Mutex
	lookups      map[string]lookup // pending lookups by the id of the call
	persisted    []string          // ids of claimed calls that the own ledger now contains
	terminations map[string]int    // causes of the reported ends of calls that are not held here
	outgoing     map[string][]byte // encoded calls to transfer
	transferred  []string          // ids of transferred calls that are removed from the own ledger
	status       Status

	// Used by the scanning goroutine only.
	owners       *decide.FailureDetector               // for the owners of ledgers
	claimants    *decide.FailureDetector               // for the claimants of sealed ledgers
	incarnation  decide.IncarnationID                  // as last written to OwnerFile
	heldSince    time.Duration                         // since when this process has held its lease under one incarnation
	inbox        map[string]bool                       // ids of the calls in the own inbox that the core knows of
	unpackedAt   map[decide.SealedLedger]time.Duration // when the sealed ledgers claimed by this controller were unpacked
	terminatedAt map[string]time.Duration              // when this controller wrote its termination files
	queriedAt    map[string]time.Time                  // modification times of the own query files
	queries      map[string]seenQuery                  // queries of other controllers
}

// Open starts the participant for a controller that owns its ledger. It scans the shared directory until Close.
func Open(core Core, o Options, log *slog.Logger) (*Participant, error) {
	root, err := os.OpenRoot(o.LedgersDir)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Participant{
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
	if err := p.createDirs(); err != nil {
		cancel()
		return nil, errors.Join(err, root.Close())
	}
	go p.run(ctx)
	return p, nil
}

// createDirs creates the directories that the protocol needs, if they do not exist.
func (p *Participant) createDirs() error {
	return errors.Join(
		decide.CreateSharedDirs(p.files),
		decide.CreateInbox(p.files, p.options.Name),
		decide.CreateTransferLedger(p.files, p.transferLedger()),
	)
}

// Close stops the scans and waits for the current one. Calls whose takeover or transfer is not complete stay in the shared directory for other
// controllers.
func (p *Participant) Close() error {
	p.cancel()
	<-p.done
	return p.files.root.Close() //nolint:wrapcheck // the error names the path
}

// transferLedger returns the transfer ledger of this controller.
func (p *Participant) transferLedger() decide.SealedLedger {
	return decide.SealedLedger{Name: p.options.Name, Number: transferNumber, Claimant: p.options.Name}
}

// Lookup starts the lookup of a call that a caller wants to resume; the token is the hash of the caller's token. It returns false if too many
// lookups are pending.
func (p *Participant) Lookup(id string, token []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, pending := p.lookups[id]; !pending {
		if len(p.lookups) >= maxLookups {
			return false
		}
		p.lookups[id] = lookup{p.now(), token}
	}
	p.scanSoon()
	return true
}

// Persisted reports that claimed calls have been persisted in the own ledger.
func (p *Participant) Persisted(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.persisted = append(p.persisted, ids...)
	p.scanSoon()
}

// Terminated reports the end of a call that is not held here. The end is dropped if maxLookups of them are waiting to be published.
func (p *Participant) Terminated(id string, cause int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.terminations) < maxLookups {
		p.terminations[id] = cause
	}
	p.scanSoon()
}

// Transfer starts the transfer of a call to another controller. Core.TransferWritten follows once the call's file is written.
func (p *Participant) Transfer(c *Call) error {
	data, err := encode(c, p.options.Key)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outgoing[c.ID()] = data
	p.scanSoon()
	return nil
}

// Transferred reports that transferred calls have been removed from the own ledger: other controllers may claim them now.
func (p *Participant) Transferred(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transferred = append(p.transferred, ids...)
	p.scanSoon()
}

// scanSoon wakes the scanning goroutine.
func (p *Participant) scanSoon() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// now returns the time since Open, by the monotonic clock.
func (p *Participant) now() time.Duration { return time.Since(p.started) }
