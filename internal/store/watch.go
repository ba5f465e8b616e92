package store

import (
	"context"
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
)

// watch is the Watch service.
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
