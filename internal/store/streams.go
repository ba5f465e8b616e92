package store

import (
	"context"
	"slices"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// --- Leases ---

type leasing struct {
	etcdserverpb.UnimplementedLeaseServer
	s *Store
}

func (l leasing) LeaseGrant(ctx context.Context, r *etcdserverpb.LeaseGrantRequest) (*etcdserverpb.LeaseGrantResponse, error) {
	s := l.s
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	s.counts.Writes++
	id := r.ID
	if id == 0 {
		s.nextLease++
		id = s.nextLease
	}
	if s.leases[id] != nil {
		s.mu.Unlock()
		return nil, rpctypes.ErrGRPCLeaseExist
	}
	ttl := time.Duration(r.TTL) * time.Second
	s.leases[id] = &lease{id: id, ttl: ttl, ends: time.Now().Add(ttl), keys: map[string]bool{}}
	resp := &etcdserverpb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: r.TTL}
	if err := s.leave(ctx, true); err != nil {
		return nil, err
	}
	return resp, nil
}

func (l leasing) LeaseRevoke(ctx context.Context, r *etcdserverpb.LeaseRevokeRequest) (*etcdserverpb.LeaseRevokeResponse, error) {
	s := l.s
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	s.counts.Writes++
	found := s.leases[r.ID]
	if found == nil {
		s.mu.Unlock()
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.endLease(found)
	resp := &etcdserverpb.LeaseRevokeResponse{Header: s.header()}
	if err := s.leave(ctx, true); err != nil {
		return nil, err
	}
	return resp, nil
}

// LeaseKeepAlive answers each renewal; a lease that has ended is answered with no time left.
func (l leasing) LeaseKeepAlive(stream etcdserverpb.Lease_LeaseKeepAliveServer) error {
	s := l.s
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.enter(stream.Context()); err != nil {
			return err
		}
		s.counts.Renewals++
		resp := &etcdserverpb.LeaseKeepAliveResponse{Header: s.header(), ID: r.ID}
		if found := s.leases[r.ID]; found != nil {
			found.ends = time.Now().Add(found.ttl)
			resp.TTL = int64(found.ttl / time.Second)
		}
		if err := s.leave(stream.Context(), true); err != nil {
			return err
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

func (l leasing) LeaseTimeToLive(ctx context.Context, r *etcdserverpb.LeaseTimeToLiveRequest) (*etcdserverpb.LeaseTimeToLiveResponse, error) {
	s := l.s
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	s.counts.Reads++
	resp := &etcdserverpb.LeaseTimeToLiveResponse{Header: s.header(), ID: r.ID, TTL: -1}
	if found := s.leases[r.ID]; found != nil {
		resp.TTL, resp.GrantedTTL = int64(time.Until(found.ends)/time.Second), int64(found.ttl/time.Second)
		for key := range found.keys {
			resp.Keys = append(resp.Keys, []byte(key))
		}
	}
	if err := s.leave(ctx, false); err != nil {
		return nil, err
	}
	return resp, nil
}

// --- Watches ---

type watch struct {
	etcdserverpb.UnimplementedWatchServer
	s *Store
}

// watching is one watch of a stream.
type watching struct {
	id   int64
	r    *etcdserverpb.WatchCreateRequest
	next int64
}

// Watch serves any number of watches on one stream. One goroutine reads what the client asks; the stream's own sends.
func (w watch) Watch(stream etcdserverpb.Watch_WatchServer) error {
	s := w.s
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	asked := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer cancel()
		for {
			r, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case asked <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	var all []*watching
	nextID := int64(0)
	defer func() {
		s.mu.Lock()
		s.watchers -= len(all)
		s.mu.Unlock()
	}()
	for {
		if err := s.enter(ctx); err != nil {
			return err
		}
		late := s.faults.Late
		var out []*etcdserverpb.WatchResponse
		kept := all[:0]
		for _, one := range all {
			resp, ended := s.news(one)
			if resp != nil {
				out = append(out, resp)
			}
			if ended {
				s.watchers--
			} else {
				kept = append(kept, one)
			}
		}
		all = kept
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			if err := sleep(ctx, late); err != nil {
				return err
			}
		}
		for _, resp := range out {
			if err := stream.Send(resp); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case r := <-asked:
			if err := s.enter(ctx); err != nil {
				return err
			}
			var resp *etcdserverpb.WatchResponse
			switch {
			case r.GetCreateRequest() != nil:
				s.counts.Watches++
				one := &watching{id: nextID, r: r.GetCreateRequest(), next: r.GetCreateRequest().StartRevision}
				if one.next == 0 {
					one.next = s.revision + 1
				}
				nextID++
				all = append(all, one)
				s.watchers++
				resp = &etcdserverpb.WatchResponse{Header: s.header(), WatchId: one.id, Created: true}
			case r.GetCancelRequest() != nil:
				id := r.GetCancelRequest().WatchId
				for i, one := range all {
					if one.id == id {
						all = append(all[:i], all[i+1:]...)
						s.watchers--
						break
					}
				}
				resp = &etcdserverpb.WatchResponse{Header: s.header(), WatchId: id, Canceled: true}
			case r.GetProgressRequest() != nil && !s.faults.Deaf:
				s.counts.Progress++
				// As etcd does: for all watches of the stream at once, and only when none of them is behind.
				resp = &etcdserverpb.WatchResponse{Header: s.header(), WatchId: -1}
				for _, one := range all {
					if one.next <= s.revision && s.has(one) {
						resp = nil
						break
					}
				}
			}
			late := s.faults.Late
			s.mu.Unlock()
			if err := sleep(ctx, late); err != nil {
				return err
			}
			if resp != nil {
				if err := stream.Send(resp); err != nil {
					return err
				}
			}
		}
	}
}

// news is what a watch has to be told, and whether that ends it.
func (s *Store) news(w *watching) (resp *etcdserverpb.WatchResponse, ended bool) {
	if w.next <= s.compacted {
		return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: w.id, Canceled: true, CompactRevision: s.compacted}, true
	}
	if s.faults.Deaf || w.next > s.revision {
		return nil, false
	}
	var events []*mvccpb.Event
	for _, e := range s.since(w.next) {
		if within(string(e.Kv.Key), w.r.Key, w.r.RangeEnd) {
			events = append(events, e)
		}
	}
	w.next = s.revision + 1
	if len(events) == 0 {
		return nil, false
	}
	s.counts.Notices++
	s.counts.Events += len(events)
	return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: w.id, Events: events}, false
}

// since is the history from a revision on. The events stand in the order of their revisions.
func (s *Store) since(revision int64) []*mvccpb.Event {
	first, _ := slices.BinarySearchFunc(s.history, revision, func(e *mvccpb.Event, revision int64) int {
		return compareInt(e.Kv.ModRevision, revision)
	})
	return s.history[first:]
}

// has reports whether a watch has events that it was not told.
func (s *Store) has(w *watching) bool {
	for _, e := range s.since(w.next) {
		if within(string(e.Kv.Key), w.r.Key, w.r.RangeEnd) {
			return true
		}
	}
	return false
}
