package membership

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/etcd/api/v3/mvccpb"
	clientv3 "go.etcd.io/etcd/client/v3"

	"cherryrelay/internal/decide/members"
)

// watchMembers keeps the view of the members up to date. When a watch ends, it reads all keys again and starts another watch.
func (f *Fleet) watchMembers(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.readMembers(ctx)
		if err == nil {
			err = f.watch(ctx, revision+1)
		}
		if ctx.Err() == nil {
			f.log.Info("fleet: reading all members again", "err", err)
			sleep(ctx, f.options.Lease/retryFraction)
		}
	}
}

// readMembers reads all members into the view, and returns the revision of the store at which they were read.
func (f *Fleet) readMembers(ctx context.Context) (int64, error) {
	sent := f.now()
	var resp *clientv3.GetResponse
	if err := f.request(ctx, func(ctx context.Context) (err error) {
		resp, err = f.client.Get(ctx, f.options.Prefix, clientv3.WithPrefix())
		return err
	}); err != nil {
		return 0, fmt.Errorf("fleet: reading the members: %w", err)
	}
	f.checkStore(resp.Header)
	var entries []members.Entry
	for _, kv := range resp.Kvs {
		entries = append(entries, f.decodeEntry(kv))
	}
	f.updateView(func(now time.Duration, v *members.View) { v.ApplyRead(now, sent, resp.Header.Revision, entries) })
	f.mu.Lock()
	f.counts.Reads++
	f.mu.Unlock()
	return resp.Header.Revision, nil
}

// decodeEntry decodes a member's key. A key with an invalid value counts as a joining member, because it still occupies its name.
func (f *Fleet) decodeEntry(kv *mvccpb.KeyValue) members.Entry {
	var v record
	if err := jsoniter.ConfigDefault.Unmarshal(kv.Value, &v); err != nil || !v.State.SelfReported() {
		f.log.Error("fleet: the value of a member's key is invalid", "key", string(kv.Key), "err", err)
		v = record{State: members.Joining}
	}
	return members.Entry{Name: f.memberName(kv), Incarnation: kv.CreateRevision, Revision: kv.ModRevision,
		State: v.State, Address: v.Address}
}

// The reasons for which watch stops although etcd still serves it.
var (
	errStoreChanged = errors.New("the store was replaced or went back to an earlier revision")
	errWatchStalled = errors.New("the watch has stalled: it is behind the store's revision")
)

// watch applies changes to the view until the watch ends, the store is replaced, or the watch stalls. A watch has stalled if it has been behind
// the store's revision for a TTL.
func (f *Fleet) watch(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	responses := f.client.Watch(ctx, f.options.Prefix, clientv3.WithPrefix(), clientv3.WithRev(revision))
	behindSince := time.Duration(0) // time since the start; zero if the watch is not behind
	ticker := time.NewTicker(f.options.Lease / renewalsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-f.storeChanged:
			return errStoreChanged
		case <-ticker.C:
			behind := false
			f.updateView(func(_ time.Duration, v *members.View) { behind = v.Behind() })
			switch now := f.now(); {
			case !behind:
				behindSince = 0
			case behindSince == 0:
				behindSince = now
			case now-behindSince > f.options.Lease:
				return errWatchStalled
			}
		case resp, ok := <-responses:
			if !ok {
				return errors.New("the watch ended")
			}
			if err := resp.Err(); err != nil {
				return fmt.Errorf("watching the members: %w", err)
			}
			if len(resp.Events) > 0 || resp.IsProgressNotify() {
				complete, changes := f.decodeChanges(&resp)
				f.updateView(func(now time.Duration, v *members.View) { v.ApplyChanges(now, complete, changes) })
			}
		}
	}
}

// decodeChanges returns the changes in a response of a watch, and the revision up to which they are complete. The revision in the header may be
// higher than that of the last change.
func (f *Fleet) decodeChanges(resp *clientv3.WatchResponse) (complete int64, changes []members.Change) {
	complete = resp.Header.Revision
	for _, e := range resp.Events {
		complete = e.Kv.ModRevision
		if e.Type == mvccpb.Event_DELETE {
			deleted := members.Entry{Name: f.memberName(e.Kv), Revision: e.Kv.ModRevision}
			changes = append(changes, members.Change{Entry: deleted, Deleted: true})
		} else {
			changes = append(changes, members.Change{Entry: f.decodeEntry(e.Kv)})
		}
	}
	return complete, changes
}

// memberName returns the name of the member that a key belongs to.
func (f *Fleet) memberName(kv *mvccpb.KeyValue) string {
	return strings.TrimPrefix(string(kv.Key), f.options.Prefix)
}
