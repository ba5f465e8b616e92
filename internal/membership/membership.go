// Package membership keeps a controller's place among those that serve the same site: its key in etcd under a lease, and a view of the
// others. What is certain is decided in decide/members; nothing here runs on the event loop, and a store that stalls costs calls
// nothing.
package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"

	"cherryrelay/internal/decide/members"
)

const (
	// DefaultLease, LeastLease and MostLease bound the lease: below a second, a pause of the collector or the store's disk would end it.
	DefaultLease = 3 * time.Second
	LeastLease   = time.Second
	MostLease    = 30 * time.Second
	// renewals in a lease, each of which may fail before the own certainty ends; looks come with every second one.
	renewals = 3
	// retryPart of a lease is the pause after a request that failed.
	retryPart = 12
	// leaveWithin bounds how long an end waits for the store to hear of it. The lease tells it otherwise.
	leaveWithin = 500 * time.Millisecond
	// keepMine bounds the leases of its own that a process knows again on a key whose making was not answered.
	keepMine = 16
)

// Options say who this is and where the fleet's keys are.
type Options struct {
	Name    string
	Address string // where it takes calls, for operators to see
	Prefix  string // ends in a slash
	Lease   time.Duration
}

// Counts are what was asked of the store and what came of it.
type Counts struct{ Requests, Failed, Reads, Joins uint64 }

// Fleet is one process's side of the membership. Its methods may be called from any goroutine and do not wait for the store.
type Fleet struct {
	client *clientv3.Client
	o      Options
	log    *slog.Logger
	begun  time.Time // its monotonic reading is the zero of the view's clock
	ended  chan struct{}
	cancel context.CancelFunc
	said   chan struct{} // the own state has changed
	moved  chan struct{} // the store is another one: read anew

	mu     sync.Mutex
	view   *members.View
	state  members.State
	holder string // who has the own name, as it stands in the store; empty if it is free or this process's
	counts Counts
	mine   []clientv3.LeaseID
	told   int // the next event of the history that is to be logged
}

// Start joins the fleet in the background, as joining. The client need not have reached the store, and is not closed by the fleet.
func Start(client *clientv3.Client, o Options, log *slog.Logger) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{client: client, o: o, log: log, begun: time.Now(), ended: make(chan struct{}), cancel: cancel,
		said: make(chan struct{}, 1), moved: make(chan struct{}, 1), view: members.New(o.Name, o.Lease), state: members.Joining}
	go f.run(ctx)
	return f
}

// Close leaves the fleet: the store is told, for a bounded time.
func (f *Fleet) Close() {
	f.cancel()
	<-f.ended
}

// Say tells the fleet another state of this process.
func (f *Fleet) Say(s members.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == s {
		return
	}
	f.state = s
	select {
	case f.said <- struct{}{}:
	default:
	}
}

// now is the view's clock: monotonic, whatever is done to the wall's.
func (f *Fleet) now() time.Duration { return time.Since(f.begun) }

// with has the view for itself, and logs what has happened in it.
func (f *Fleet) with(do func(now time.Duration, v *members.View)) {
	f.mu.Lock()
	now := f.now()
	do(now, f.view)
	f.view.Certain(now)
	var fresh []members.Event
	fresh, f.told = f.view.History(f.told)
	f.mu.Unlock()
	for _, e := range fresh {
		f.log.Info("fleet", "what", string(e.Kind), "member", e.Name, "incarnation", e.Incarnation, "state", string(e.State), "cause", e.Cause)
	}
}

// Certain reports whether this process has its name for itself, as which incarnation, and for how long still if nothing more is heard.
func (f *Fleet) Certain() (incarnation int64, left time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	incarnation, until, ok := f.view.Certain(now)
	return incarnation, until - now, ok
}

// Life is as which incarnation, of which store, this process has its name for itself now; not ok if it is not certain.
func (f *Fleet) Life() (store uint64, incarnation int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation, _, ok = f.view.Certain(f.now())
	return f.view.Cluster(), incarnation, ok
}

// HasEnded reports whether an incarnation has certainly ended, and nobody is a member under its name, by a view that may be acted on.
func (f *Fleet) HasEnded(store uint64, name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.view.Actable(f.now()) || !f.view.HasEnded(store, name, incarnation) {
		return false
	}
	return !slices.ContainsFunc(f.view.Members(), func(m members.Member) bool { return m.Name == name })
}

// request counts a request and bounds it.
func (f *Fleet) request(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, f.o.Lease/renewals)
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

// store takes in which store answered. It reports false if it is another one.
func (f *Fleet) store(h *etcdserverpb.ResponseHeader) bool {
	same := true
	f.with(func(now time.Duration, v *members.View) { same = v.Store(now, h.ClusterId, h.Revision) })
	if !same {
		select {
		case f.moved <- struct{}{}:
		default:
		}
	}
	return same
}

func (f *Fleet) key() string { return f.o.Prefix + f.o.Name }

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Fleet) run(ctx context.Context) {
	defer close(f.ended)
	var following sync.WaitGroup
	following.Go(func() { f.follow(ctx) })
	for ctx.Err() == nil {
		f.session(ctx)
		wait(ctx, f.o.Lease/retryPart)
	}
	following.Wait()
}

// value is what stands under the own key.
type value struct {
	State   members.State `json:"state"`
	Address string        `json:"address"`
}

func (f *Fleet) value() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, _ := jsoniter.ConfigDefault.MarshalToString(value{f.state, f.o.Address}) // strings alone: it cannot fail
	return text
}

// free looks whether the own name can be had. A key of a lease of this process's own, whose making was never answered, is given up.
func (f *Fleet) free(ctx context.Context) (bool, error) {
	var resp *clientv3.GetResponse
	err := f.request(ctx, func(ctx context.Context) (err error) {
		resp, err = f.client.Get(ctx, f.key())
		return err
	})
	if err != nil {
		return false, fmt.Errorf("fleet: looking for the own name: %w", err)
	}
	f.store(resp.Header)
	holder := ""
	if len(resp.Kvs) > 0 {
		kv := resp.Kvs[0]
		if slices.Contains(f.mine, clientv3.LeaseID(kv.Lease)) {
			return false, f.revoke(ctx, clientv3.LeaseID(kv.Lease))
		}
		holder = fmt.Sprintf("incarnation %d: %.120s", kv.CreateRevision, kv.Value)
	}
	f.mu.Lock()
	before := f.holder
	f.holder = holder
	f.mu.Unlock()
	if holder != "" && before != holder {
		f.log.Warn("fleet: the name is in use; it is taken once the lease on it has ended", "member", f.o.Name, "by", holder)
	}
	return holder == "", nil
}

func (f *Fleet) revoke(ctx context.Context, id clientv3.LeaseID) error {
	return f.request(ctx, func(ctx context.Context) error {
		if _, err := f.client.Revoke(ctx, id); err != nil && !errors.Is(err, rpctypes.ErrLeaseNotFound) {
			return fmt.Errorf("fleet: giving up a lease: %w", err)
		}
		return nil
	})
}

// session makes the own key and holds it as long as the store lets it be held.
func (f *Fleet) session(ctx context.Context) {
	if free, err := f.free(ctx); err != nil || !free {
		return
	}
	var id clientv3.LeaseID
	sent := f.now()
	err := f.request(ctx, func(ctx context.Context) error {
		resp, err := f.client.Grant(ctx, int64((f.o.Lease+time.Second-1)/time.Second))
		if err != nil {
			return fmt.Errorf("fleet: a lease: %w", err)
		}
		id = resp.ID
		return nil
	})
	if err != nil {
		return
	}
	if f.mine = append(f.mine, id); len(f.mine) > keepMine {
		f.mine = f.mine[1:]
	}
	incarnation := f.make(ctx, id, sent)
	if incarnation == 0 {
		_ = f.revoke(ctx, id) // it ends by itself otherwise
		return
	}
	f.hold(ctx, id, incarnation)
	// Told or not, what this process thinks of itself ends here; on the way out the store is told, too.
	f.with(func(now time.Duration, v *members.View) { v.Ended(now, "left") })
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveWithin)
	defer cancel()
	if err := f.revoke(last, id); err != nil {
		f.log.Info("fleet: the store was not told of the end", "err", err)
	}
}

// make makes the own key where there is none, and returns its incarnation; 0 if it could not be had. An answer that was lost is asked for
// again: the key is this process's if it has its lease.
func (f *Fleet) make(ctx context.Context, id clientv3.LeaseID, sent time.Duration) (incarnation int64) {
	for range renewals {
		var resp *clientv3.TxnResponse
		err := f.request(ctx, func(ctx context.Context) (err error) {
			resp, err = f.client.Txn(ctx).
				If(clientv3.Compare(clientv3.CreateRevision(f.key()), "=", 0)).
				Then(clientv3.OpPut(f.key(), f.value(), clientv3.WithLease(id))).
				Else(clientv3.OpGet(f.key())).Commit()
			return err
		})
		if errors.Is(err, rpctypes.ErrLeaseNotFound) || ctx.Err() != nil {
			return 0
		}
		if err != nil {
			wait(ctx, f.o.Lease/retryPart)
			continue
		}
		f.store(resp.Header)
		incarnation := resp.Header.Revision
		if !resp.Succeeded {
			kvs := resp.Responses[0].GetResponseRange().Kvs
			if len(kvs) == 0 || kvs[0].Lease != int64(id) {
				return 0
			}
			incarnation = kvs[0].CreateRevision
		}
		f.with(func(now time.Duration, v *members.View) { v.Held(now, sent, incarnation) })
		f.mu.Lock()
		f.counts.Joins++
		f.mu.Unlock()
		return incarnation
	}
	return 0
}

// hold renews the lease and looks after the own key until one of them is gone, or the process leaves.
func (f *Fleet) hold(ctx context.Context, id clientv3.LeaseID, incarnation int64) {
	pause := time.Duration(0)
	written := ""
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-f.said:
		case <-time.After(pause):
		}
		pause = f.o.Lease / renewals
		var err error
		if text := f.value(); text != written {
			if err = f.write(ctx, id, incarnation, text); err == nil {
				written = text
			}
		}
		sent := f.now()
		if renewed := f.renew(ctx, id); renewed == nil {
			f.with(func(now time.Duration, v *members.View) { v.Renewed(now, sent, incarnation) })
		} else if err = renewed; errors.Is(err, rpctypes.ErrLeaseNotFound) {
			f.with(func(now time.Duration, v *members.View) { v.Ended(now, "the store has ended the lease") })
			return
		}
		if err == nil && turn%2 == 0 {
			var there bool
			if there, err = f.look(ctx, incarnation); err == nil && !there {
				f.with(func(now time.Duration, v *members.View) { v.Ended(now, "the own key is gone") })
				return
			}
		}
		if err != nil {
			pause = f.o.Lease / retryPart
		}
		if own, _, _ := f.Certain(); own == 0 { // another store
			return
		}
	}
}

func (f *Fleet) renew(ctx context.Context, id clientv3.LeaseID) error {
	return f.request(ctx, func(ctx context.Context) error {
		_, err := f.client.KeepAliveOnce(ctx, id)
		return err //nolint:wrapcheck // it is looked at by its kind
	})
}

// write puts the own value, on the own key alone.
func (f *Fleet) write(ctx context.Context, id clientv3.LeaseID, incarnation int64, text string) error {
	return f.request(ctx, func(ctx context.Context) error {
		_, err := f.client.Txn(ctx).
			If(clientv3.Compare(clientv3.CreateRevision(f.key()), "=", incarnation)).
			Then(clientv3.OpPut(f.key(), text, clientv3.WithLease(id))).Commit()
		return err //nolint:wrapcheck // counted, and tried again
	})
}

// look reads the own key, and the store's revision with it.
func (f *Fleet) look(ctx context.Context, incarnation int64) (there bool, err error) {
	sent := f.now()
	var resp *clientv3.GetResponse
	if err := f.request(ctx, func(ctx context.Context) (err error) {
		resp, err = f.client.Get(ctx, f.key(), clientv3.WithKeysOnly())
		return err
	}); err != nil {
		return false, err
	}
	if !f.store(resp.Header) {
		return false, nil
	}
	behind := false
	f.with(func(_ time.Duration, v *members.View) {
		v.Looked(sent, resp.Header.Revision)
		behind = v.Behind()
	})
	if behind {
		// The answer comes on the watch, once it has told all before.
		_ = f.request(clientv3.WithRequireLeader(ctx), f.client.RequestProgress)
	}
	return len(resp.Kvs) > 0 && resp.Kvs[0].CreateRevision == incarnation, nil
}

// --- The others ---

// follow keeps the view of the others. Whatever ends the watch, the keys are read anew.
func (f *Fleet) follow(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.read(ctx)
		if err == nil {
			err = f.watch(ctx, revision+1)
		}
		if ctx.Err() == nil {
			f.log.Info("fleet: the members are read anew", "err", err)
			wait(ctx, f.o.Lease/retryPart)
		}
	}
}

func (f *Fleet) read(ctx context.Context) (int64, error) {
	sent := f.now()
	var resp *clientv3.GetResponse
	if err := f.request(ctx, func(ctx context.Context) (err error) {
		resp, err = f.client.Get(ctx, f.o.Prefix, clientv3.WithPrefix())
		return err
	}); err != nil {
		return 0, fmt.Errorf("fleet: reading the members: %w", err)
	}
	f.store(resp.Header)
	var entries []members.Entry
	for _, kv := range resp.Kvs {
		entries = append(entries, f.entry(kv))
	}
	f.with(func(now time.Duration, v *members.View) { v.Read(now, sent, resp.Header.Revision, entries) })
	f.mu.Lock()
	f.counts.Reads++
	f.mu.Unlock()
	return resp.Header.Revision, nil
}

// entry reads a key. One whose value makes no sense still holds its name.
func (f *Fleet) entry(kv *mvccpb.KeyValue) members.Entry {
	var v value
	if err := jsoniter.ConfigDefault.Unmarshal(kv.Value, &v); err != nil || !v.State.Known() {
		f.log.Error("fleet: a member's key that cannot be read", "key", string(kv.Key), "err", err)
		v = value{State: members.Joining}
	}
	return members.Entry{Name: strings.TrimPrefix(string(kv.Key), f.o.Prefix), Incarnation: kv.CreateRevision, Revision: kv.ModRevision,
		State: v.State, Address: v.Address}
}

var (
	errMoved  = errors.New("the store is another one")
	errSilent = errors.New("the watch tells nothing")
)

// watch takes in changes until the watch ends, another store answers, or looks tell of changes that the watch does not.
func (f *Fleet) watch(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	told := f.client.Watch(ctx, f.o.Prefix, clientv3.WithPrefix(), clientv3.WithRev(revision))
	behind := time.Duration(0) // since when
	looks := time.NewTicker(f.o.Lease / renewals)
	defer looks.Stop()
	for {
		select {
		case <-f.moved:
			return errMoved
		case <-looks.C:
			is := false
			f.with(func(_ time.Duration, v *members.View) { is = v.Behind() })
			switch now := f.now(); {
			case !is:
				behind = 0
			case behind == 0:
				behind = now
			case now-behind > f.o.Lease:
				return errSilent
			}
		case resp, more := <-told:
			if !more {
				return errors.New("the watch ended")
			}
			if err := resp.Err(); err != nil {
				return fmt.Errorf("watching: %w", err)
			}
			// The header of changes may be ahead of them: they are whole up to the last one.
			whole := resp.Header.Revision
			var changes []members.Change
			for _, e := range resp.Events {
				whole = e.Kv.ModRevision
				if e.Type == mvccpb.Event_DELETE {
					gone := members.Entry{Name: strings.TrimPrefix(string(e.Kv.Key), f.o.Prefix), Revision: e.Kv.ModRevision}
					changes = append(changes, members.Change{Entry: gone, Deleted: true})
				} else {
					changes = append(changes, members.Change{Entry: f.entry(e.Kv)})
				}
			}
			if len(resp.Events) > 0 || resp.IsProgressNotify() {
				f.with(func(now time.Duration, v *members.View) { v.Watched(now, whole, changes) })
			}
		}
	}
}
