package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"

	"cherryrelay/internal/decide/members"
)

// record is the value of a member's key, as JSON.
type record struct {
	State   members.State `json:"state"`
	Address string        `json:"address"`
}

func (f *Fleet) encodedRecord() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, _ := jsoniter.ConfigDefault.MarshalToString(record{f.state, f.options.Address}) // strings only: it cannot fail
	return text
}

// nameIsFree reports whether the own name is free. A key under a lease of this process, whose creation was never answered, is revoked.
func (f *Fleet) nameIsFree(ctx context.Context) (bool, error) {
	var resp *clientv3.GetResponse
	err := f.request(ctx, func(ctx context.Context) (err error) {
		resp, err = f.client.Get(ctx, f.key())
		return err
	})
	if err != nil {
		return false, fmt.Errorf("fleet: looking for the own name: %w", err)
	}
	f.checkStore(resp.Header)
	holder := ""
	if len(resp.Kvs) > 0 {
		kv := resp.Kvs[0]
		if slices.Contains(f.ownLeases, clientv3.LeaseID(kv.Lease)) {
			return false, f.revoke(ctx, clientv3.LeaseID(kv.Lease))
		}
		holder = fmt.Sprintf("incarnation %d: %.120s", kv.CreateRevision, kv.Value)
	}
	f.mu.Lock()
	before := f.holder
	f.holder = holder
	f.mu.Unlock()
	if holder != "" && before != holder {
		f.log.Warn("fleet: the name is in use; it is taken once the lease on it has ended", "member", f.options.Name, "by", holder)
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

// session creates the own key and keeps it alive until it is lost or the process leaves.
func (f *Fleet) session(ctx context.Context) {
	if free, err := f.nameIsFree(ctx); err != nil || !free {
		return
	}
	var id clientv3.LeaseID
	sent := f.now()
	err := f.request(ctx, func(ctx context.Context) error {
		resp, err := f.client.Grant(ctx, int64((f.options.Lease+time.Second-1)/time.Second))
		if err != nil {
			return fmt.Errorf("fleet: a lease: %w", err)
		}
		id = resp.ID
		return nil
	})
	if err != nil {
		return
	}
	if f.ownLeases = append(f.ownLeases, id); len(f.ownLeases) > maxOwnLeases {
		f.ownLeases = f.ownLeases[1:]
	}
	incarnation := f.createKey(ctx, id, sent)
	if incarnation == 0 {
		_ = f.revoke(ctx, id) // it expires otherwise
		return
	}
	f.keepAlive(ctx, id, incarnation)
	// Whether or not the store answers, this process no longer holds its name.
	f.updateView(func(now time.Duration, v *members.View) { v.RecordLeaseEnd(now, "left") })
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := f.revoke(last, id); err != nil {
		f.log.Info("fleet: the store was not told of the end", "err", err)
	}
}

// createKey creates the own key unless it exists, and returns its incarnation; 0 if that failed. After a lost answer it tries again: a key with
// this process's lease is its own.
func (f *Fleet) createKey(ctx context.Context, id clientv3.LeaseID, sent time.Duration) (incarnation int64) {
	for range renewalsPerLease {
		var resp *clientv3.TxnResponse
		err := f.request(ctx, func(ctx context.Context) (err error) {
			resp, err = f.client.Txn(ctx).
				If(clientv3.Compare(clientv3.CreateRevision(f.key()), "=", 0)).
				Then(clientv3.OpPut(f.key(), f.encodedRecord(), clientv3.WithLease(id))).
				Else(clientv3.OpGet(f.key())).Commit()
			return err
		})
		if errors.Is(err, rpctypes.ErrLeaseNotFound) || ctx.Err() != nil {
			return 0
		}
		if err != nil {
			sleep(ctx, f.options.Lease/retryFraction)
			continue
		}
		f.checkStore(resp.Header)
		incarnation := resp.Header.Revision
		if !resp.Succeeded {
			kvs := resp.Responses[0].GetResponseRange().Kvs
			if len(kvs) == 0 || kvs[0].Lease != int64(id) {
				return 0
			}
			incarnation = kvs[0].CreateRevision
		}
		f.updateView(func(now time.Duration, v *members.View) { v.RecordOwnKey(now, sent, incarnation) })
		f.mu.Lock()
		f.counts.Joins++
		f.mu.Unlock()
		return incarnation
	}
	return 0
}

// keepAlive renews the lease and verifies the own key until one of them is lost, or the process leaves.
func (f *Fleet) keepAlive(ctx context.Context, id clientv3.LeaseID, incarnation int64) {
	pause := time.Duration(0)
	written := ""
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-f.stateChanged:
		case <-time.After(pause):
		}
		pause = f.options.Lease / renewalsPerLease
		var err error
		if text := f.encodedRecord(); text != written {
			if err = f.writeRecord(ctx, id, incarnation, text); err == nil {
				written = text
			}
		}
		sent := f.now()
		if renewed := f.renewLease(ctx, id); renewed == nil {
			f.updateView(func(now time.Duration, v *members.View) { v.RecordRenewal(now, sent, incarnation) })
		} else if err = renewed; errors.Is(err, rpctypes.ErrLeaseNotFound) {
			f.updateView(func(now time.Duration, v *members.View) { v.RecordLeaseEnd(now, "the store has ended the lease") })
			return
		}
		if err == nil && turn%2 == 0 {
			var there bool
			if there, err = f.verifyKey(ctx, incarnation); err == nil && !there {
				f.updateView(func(now time.Duration, v *members.View) { v.RecordLeaseEnd(now, "the own key is gone") })
				return
			}
		}
		if err != nil {
			pause = f.options.Lease / retryFraction
		}
		if own, _, _ := f.Certain(); own == 0 { // another store
			return
		}
	}
}

func (f *Fleet) renewLease(ctx context.Context, id clientv3.LeaseID) error {
	return f.request(ctx, func(ctx context.Context) error {
		_, err := f.client.KeepAliveOnce(ctx, id)
		return err //nolint:wrapcheck // its caller compares it
	})
}

// writeRecord updates the own record, unless the key is another incarnation's.
func (f *Fleet) writeRecord(ctx context.Context, id clientv3.LeaseID, incarnation int64, text string) error {
	return f.request(ctx, func(ctx context.Context) error {
		_, err := f.client.Txn(ctx).
			If(clientv3.Compare(clientv3.CreateRevision(f.key()), "=", incarnation)).
			Then(clientv3.OpPut(f.key(), text, clientv3.WithLease(id))).Commit()
		return err //nolint:wrapcheck // counted, and retried
	})
}

// verifyKey reports whether the own key exists, and takes the store's revision from the answer.
func (f *Fleet) verifyKey(ctx context.Context, incarnation int64) (there bool, err error) {
	sent := f.now()
	var resp *clientv3.GetResponse
	if err := f.request(ctx, func(ctx context.Context) (err error) {
		resp, err = f.client.Get(ctx, f.key(), clientv3.WithKeysOnly())
		return err
	}); err != nil {
		return false, err
	}
	if !f.checkStore(resp.Header) {
		return false, nil
	}
	behind := false
	f.updateView(func(_ time.Duration, v *members.View) {
		v.RecordRevision(sent, resp.Header.Revision)
		behind = v.Behind()
	})
	if behind {
		// The progress notification follows all earlier changes on the watch.
		_ = f.request(clientv3.WithRequireLeader(ctx), f.client.RequestProgress)
	}
	return len(resp.Kvs) > 0 && resp.Kvs[0].CreateRevision == incarnation, nil
}
