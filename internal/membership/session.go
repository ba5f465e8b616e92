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

// record is the value of a member's key, encoded as JSON.
type record struct {
	State   members.State `json:"state"`
	Address string        `json:"address"`
}

// encodedRecord returns the own record as JSON.
func (f *Fleet) encodedRecord() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, _ := jsoniter.ConfigDefault.MarshalToString(record{f.state, f.options.Address}) // a struct of strings: encoding cannot fail
	return text
}

// nameIsFree reports whether no key with the own name exists. If the key belongs to an earlier lease of this process, because the reply to its
// creation was lost, nameIsFree revokes that lease.
func (f *Fleet) nameIsFree(ctx context.Context) (bool, error) {
	var resp *clientv3.GetResponse
	err := f.request(ctx, func(ctx context.Context) (err error) {
		resp, err = f.client.Get(ctx, f.key())
		return err
	})
	if err != nil {
		return false, fmt.Errorf("fleet: reading the own key: %w", err)
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
	previous := f.holder
	f.holder = holder
	f.mu.Unlock()
	if holder != "" && previous != holder {
		f.log.Warn("fleet: the name is in use; joining once the lease of its holder has ended", "member", f.options.Name, "by", holder)
	}
	return holder == "", nil
}

// revoke revokes a lease. A lease that has expired already is not an error.
func (f *Fleet) revoke(ctx context.Context, id clientv3.LeaseID) error {
	return f.request(ctx, func(ctx context.Context) error {
		if _, err := f.client.Revoke(ctx, id); err != nil && !errors.Is(err, rpctypes.ErrLeaseNotFound) {
			return fmt.Errorf("fleet: revoking a lease: %w", err)
		}
		return nil
	})
}

// session creates the own key under a new lease, and renews the lease until the lease or the key is lost or the process leaves.
func (f *Fleet) session(ctx context.Context) {
	if free, err := f.nameIsFree(ctx); err != nil || !free {
		return
	}
	var id clientv3.LeaseID
	sent := f.now()
	err := f.request(ctx, func(ctx context.Context) error {
		resp, err := f.client.Grant(ctx, int64((f.options.Lease+time.Second-1)/time.Second))
		if err != nil {
			return fmt.Errorf("fleet: requesting a lease: %w", err)
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
		_ = f.revoke(ctx, id) // on failure, the lease expires
		return
	}
	f.keepAlive(ctx, id, incarnation)
	// This process gives up its name whether or not the store answers.
	f.updateView(func(now time.Duration, v *members.View) { v.RecordLeaseEnd(now, "left") })
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := f.revoke(revokeCtx, id); err != nil {
		f.log.Info("fleet: the lease could not be revoked and will expire", "err", err)
	}
}

// createKey creates the own key unless it exists, and returns its incarnation, or 0 on failure. It tries again after a lost reply: a key that
// then exists under this lease was created by the earlier request.
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

// keepAlive renews the lease and verifies the own key until the lease or the key is lost, or the process leaves.
func (f *Fleet) keepAlive(ctx context.Context, id clientv3.LeaseID, incarnation int64) {
	pause := time.Duration(0)
	writtenText := ""
	for iteration := 0; ; iteration++ {
		select {
		case <-ctx.Done():
			return
		case <-f.stateChanged:
		case <-time.After(pause):
		}
		pause = f.options.Lease / renewalsPerLease
		var err error
		if text := f.encodedRecord(); text != writtenText {
			if err = f.writeRecord(ctx, id, incarnation, text); err == nil {
				writtenText = text
			}
		}
		sent := f.now()
		if renewErr := f.renewLease(ctx, id); renewErr == nil {
			f.updateView(func(now time.Duration, v *members.View) { v.RecordRenewal(now, sent, incarnation) })
		} else if err = renewErr; errors.Is(err, rpctypes.ErrLeaseNotFound) {
			f.updateView(func(now time.Duration, v *members.View) { v.RecordLeaseEnd(now, "the store has ended the lease") })
			return
		}
		if err == nil && iteration%2 == 0 {
			var exists bool
			if exists, err = f.verifyKey(ctx, incarnation); err == nil && !exists {
				f.updateView(func(now time.Duration, v *members.View) { v.RecordLeaseEnd(now, "the own key is gone") })
				return
			}
		}
		if err != nil {
			pause = f.options.Lease / retryFraction
		}
		if own, _, _ := f.HoldsLease(); own == 0 { // the store was replaced, and the own key is lost with it
			return
		}
	}
}

// renewLease renews a lease once.
func (f *Fleet) renewLease(ctx context.Context, id clientv3.LeaseID) error {
	return f.request(ctx, func(ctx context.Context) error {
		_, err := f.client.KeepAliveOnce(ctx, id)
		return err //nolint:wrapcheck // the caller compares it
	})
}

// writeRecord updates the own record, unless the key belongs to another incarnation.
func (f *Fleet) writeRecord(ctx context.Context, id clientv3.LeaseID, incarnation int64, text string) error {
	return f.request(ctx, func(ctx context.Context) error {
		_, err := f.client.Txn(ctx).
			If(clientv3.Compare(clientv3.CreateRevision(f.key()), "=", incarnation)).
			Then(clientv3.OpPut(f.key(), text, clientv3.WithLease(id))).Commit()
		return err //nolint:wrapcheck // request counts it, and the caller retries
	})
}

// verifyKey reports whether the own key exists. It records the store's revision from the reply, and requests a progress notification if the
// view is behind that revision.
func (f *Fleet) verifyKey(ctx context.Context, incarnation int64) (exists bool, err error) {
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
		// The watch delivers the progress notification after all earlier changes.
		_ = f.request(clientv3.WithRequireLeader(ctx), f.client.RequestProgress)
	}
	return len(resp.Kvs) > 0 && resp.Kvs[0].CreateRevision == incarnation, nil
}
