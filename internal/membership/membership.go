// Package membership is the client side of the fleet's membership: it keeps a controller's key in etcd under a lease, and a view of the other
// members. What is certain is decided in decide/members. Nothing here runs on the event loop: a store that stalls does not delay calls.
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
	// DefaultLease is the TTL of the lease; LeastLease and MostLease bound it. Below a second, a pause of the garbage collector or of the
	// store's disk would end it.
	DefaultLease = 3 * time.Second
	LeastLease   = time.Second
	MostLease    = 30 * time.Second
	// renewalsPerLease is the number of keepalives in a TTL. The own key is verified with every second one.
	renewalsPerLease = 3
	// retryFraction of the TTL is the pause after a failed request.
	retryFraction = 12
	// revokeTimeout bounds how long Close waits for the store. The lease expires otherwise.
	revokeTimeout = 500 * time.Millisecond
	// maxOwnLeases bounds the leases that a process remembers, to recognise a key of its own whose creation was not answered.
	maxOwnLeases = 16
)

// Options configure a Fleet.
type Options struct {
	Name    string
	Address string // where the controller takes calls, for operators
	Prefix  string // of the fleet's keys; ends in a slash
	Lease   time.Duration
}

// Counts are numbers of requests to the store since the start.
type Counts struct{ Requests, Failed, Reads, Joins uint64 }

// Fleet is one process's view of the membership. Its methods may be called from any goroutine and do not wait for the store.
type Fleet struct {
	client       *clientv3.Client
	options      Options
	log          *slog.Logger
	started      time.Time // zero of the view's monotonic clock
	done         chan struct{}
	cancel       context.CancelFunc
	stateChanged chan struct{} // the own record is to be written
	storeChanged chan struct{} // another store answered: read the members again

	mu           sync.Mutex
	view         *members.View
	state        members.State
	holder       string // who holds the own name in the store; empty if it is free or this process's
	counts       Counts
	ownLeases    []clientv3.LeaseID
	loggedEvents int // index of the next history event to log
}

// Start joins the fleet in the background, in the state Joining. The client need not be connected; the Fleet does not close it.
func Start(client *clientv3.Client, o Options, log *slog.Logger) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{client: client, options: o, log: log, started: time.Now(), done: make(chan struct{}), cancel: cancel,
		stateChanged: make(chan struct{}, 1), storeChanged: make(chan struct{}, 1), view: members.New(o.Name, o.Lease), state: members.Joining}
	go f.run(ctx)
	return f
}

// Close leaves the fleet: it revokes the lease, within a bounded time.
func (f *Fleet) Close() {
	f.cancel()
	<-f.done
}

// Say publishes a new state of this process.
func (f *Fleet) Say(s members.State) {
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

// now is the view's clock, which is monotonic.
func (f *Fleet) now() time.Duration { return time.Since(f.started) }

// updateView runs an update on the view under the lock, and logs the events that it causes.
func (f *Fleet) updateView(update func(now time.Duration, v *members.View)) {
	f.mu.Lock()
	now := f.now()
	update(now, f.view)
	f.view.HoldsLease(now)
	var fresh []members.Event
	fresh, f.loggedEvents = f.view.History(f.loggedEvents)
	f.mu.Unlock()
	for _, e := range fresh {
		f.log.Info("fleet", "what", string(e.Kind), "member", e.Name, "incarnation", e.Incarnation, "state", string(e.State), "cause", e.Cause)
	}
}

// Certain reports whether this process certainly holds its name, its incarnation, and how long that holds without another renewal.
func (f *Fleet) Certain() (incarnation int64, left time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	incarnation, until, ok := f.view.HoldsLease(now)
	return incarnation, until - now, ok
}

// Life returns the incarnation under which this process certainly holds its name, and the id of the store that counted it.
func (f *Fleet) Life() (store uint64, incarnation int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation, _, ok = f.view.HoldsLease(f.now())
	return f.view.StoreID(), incarnation, ok
}

// HasEnded reports whether an incarnation has certainly ended and no member has its name, by a view that is fresh enough to act on.
func (f *Fleet) HasEnded(store uint64, name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.view.Actable(f.now()) || !f.view.HasEnded(store, name, incarnation) {
		return false
	}
	return !slices.ContainsFunc(f.view.Members(), func(m members.Member) bool { return m.Name == name })
}

// request runs a request to the store with a timeout, and counts it.
func (f *Fleet) request(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Lease/renewalsPerLease)
	defer cancel()
	err := do(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Requests++
	if err != nil {
		f.counts.Failed++
	}
	return err
}

// checkStore records which store answered. It returns false if it is another one than before.
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

func (f *Fleet) key() string { return f.options.Prefix + f.options.Name }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Fleet) run(ctx context.Context) {
	defer close(f.done)
	var following sync.WaitGroup
	following.Go(func() { f.watchMembers(ctx) })
	for ctx.Err() == nil {
		f.session(ctx)
		sleep(ctx, f.options.Lease/retryFraction)
	}
	following.Wait()
}
