// Package membership is the client side of the fleet's membership. It keeps a controller's key in etcd under a lease, and maintains a view of
// the other members. Package decide/members decides what follows from the answers of the store: whether this process holds its lease, and
// which members have ended. Nothing here runs on the event loop, so a store that stalls does not delay calls.
package membership

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	clientv3 "go.etcd.io/etcd/client/v3"

	"cherryrelay/internal/decide/members"
)

const (
	// DefaultLease is the TTL of the lease if none is configured. MinLease and MaxLease bound the configured value: a lease of less than a
	// second could expire during a pause of the garbage collector or of the store's disk.
	DefaultLease = 3 * time.Second
	MinLease     = time.Second
	MaxLease     = 30 * time.Second
	// renewalsPerLease is the number of lease renewals per TTL. Every second renewal also verifies the own key.
	renewalsPerLease = 3
	// retryFraction is the divisor of the TTL that gives the pause after a failed request.
	retryFraction = 12
	// revokeTimeout bounds how long Close waits for the store to revoke the lease. A lease that is not revoked expires.
	revokeTimeout = 500 * time.Millisecond
	// maxOwnLeases bounds the lease ids that a process keeps to recognise its own key if the reply to the key's creation was lost.
	maxOwnLeases = 16
)

// Options are the settings for Start.
type Options struct {
	Name    string        // of this controller
	Address string        // on which the controller accepts calls; shown to operators
	Prefix  string        // of the fleet's keys; ends in a slash
	Lease   time.Duration // TTL of the lease
}

// Counts holds the numbers of requests to the store, of those that failed, of complete reads of the members, and of created own keys since
// the start.
type Counts struct{ Requests, Failed, Reads, Joins uint64 }

// Fleet keeps this process's membership and its view of the other members. Except for Close, its methods do not wait for the store; all may be
// called from any goroutine.
type Fleet struct {
	client       *clientv3.Client
	options      Options
	log          *slog.Logger
	started      time.Time     // origin of the view's monotonic clock
	done         chan struct{} // closed when run returns
	cancel       context.CancelFunc
	stateChanged chan struct{} // signals that the own record has to be written
	storeChanged chan struct{} // signals that the store was replaced: the members have to be read again

	mu           sync.Mutex
	view         *members.View
	state        members.State
	holder       string // other holder of the own name in the store; empty if there is none
	counts       Counts
	ownLeases    []clientv3.LeaseID // the latest leases of this process
	loggedEvents int                // index of the next event of the history to log
}

// Start joins the fleet in the background, in the state Joining. The client need not be connected yet, and Close does not close it.
func Start(client *clientv3.Client, o Options, log *slog.Logger) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{client: client, options: o, log: log, started: time.Now(), done: make(chan struct{}), cancel: cancel,
		stateChanged: make(chan struct{}, 1), storeChanged: make(chan struct{}, 1), view: members.New(o.Name, o.Lease), state: members.Joining}
	go f.run(ctx)
	return f
}

// Close leaves the fleet. It revokes the lease, and waits at most revokeTimeout for the store to do so.
func (f *Fleet) Close() {
	f.cancel()
	<-f.done
}

// SetState publishes the state of this process.
func (f *Fleet) SetState(s members.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == s {
		return
	}
	f.state = s
	select {
	case f.stateChanged <- struct{}{}:
	default:
	}
}

// now returns the time since the start, by the monotonic clock of the view.
func (f *Fleet) now() time.Duration { return time.Since(f.started) }

// updateView applies an update to the view under the lock, and logs the events that result from it.
func (f *Fleet) updateView(update func(now time.Duration, v *members.View)) {
	f.mu.Lock()
	now := f.now()
	update(now, f.view)
	f.view.HoldsLease(now)
	var newEvents []members.Event
	newEvents, f.loggedEvents = f.view.History(f.loggedEvents)
	f.mu.Unlock()
	for _, e := range newEvents {
		f.log.Info("fleet", "what", string(e.Kind), "member", e.Name, "incarnation", e.Incarnation, "state", string(e.State), "cause", e.Cause)
	}
}

// HoldsLease reports whether this process holds its lease, and how long it will do so without another renewal. The incarnation is that of the own
// key, or 0 if there is none.
func (f *Fleet) HoldsLease() (incarnation int64, remaining time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	incarnation, until, ok := f.view.HoldsLease(now)
	return incarnation, until - now, ok
}

// Incarnation returns the incarnation under which this process holds its lease, and the id of the store that assigned it.
func (f *Fleet) Incarnation() (store uint64, incarnation int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation, _, ok = f.view.HoldsLease(f.now())
	return f.view.StoreID(), incarnation, ok
}

// HasEnded reports whether an incarnation has certainly ended and no member uses its name now. It returns false while the view is too old to
// act on.
func (f *Fleet) HasEnded(store uint64, name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.view.Actable(f.now()) || !f.view.HasEnded(store, name, incarnation) {
		return false
	}
	return !slices.ContainsFunc(f.view.Members(), func(m members.Member) bool { return m.Name == name })
}

// request sends a request to the store with a timeout, and counts it.
func (f *Fleet) request(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Lease/renewalsPerLease)
	defer cancel()
	err := send(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Requests++
	if err != nil {
		f.counts.Failed++
	}
	return err
}

// checkStore records which store answered. It returns false if another store answered than before, or if the store went back to an earlier
// revision.
func (f *Fleet) checkStore(h *etcdserverpb.ResponseHeader) bool {
	same := true
	f.updateView(func(now time.Duration, v *members.View) { same = v.ObserveStore(now, h.ClusterId, h.Revision) })
	if !same {
		select {
		case f.storeChanged <- struct{}{}:
		default:
		}
	}
	return same
}

// key returns the own key.
func (f *Fleet) key() string { return f.options.Prefix + f.options.Name }

// sleep waits for a duration, or until the context is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// run keeps this process a member, one session after another, until the context is cancelled.
func (f *Fleet) run(ctx context.Context) {
	defer close(f.done)
	var watcher sync.WaitGroup
	watcher.Go(func() { f.watchMembers(ctx) })
	for ctx.Err() == nil {
		f.session(ctx)
		sleep(ctx, f.options.Lease/retryFraction)
	}
	watcher.Wait()
}
