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

// watchStream is one stream with its watches.
type watchStream struct {
	etcdserverpb.Watch_WatchServer
	s      *Store
	all    []*watching
	nextID int64
}

// Watch serves any number of watches on one stream. One goroutine reads what the client asks; the stream's own sends.
func (w watch) Watch(stream etcdserverpb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	asked := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer cancel()
		forward(ctx, stream, asked)
	}()
	served := &watchStream{Watch_WatchServer: stream, s: w.s}
	defer served.end()
	for {
		changed, err := served.notify(ctx)
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case r := <-asked:
			if err := served.answer(ctx, r); err != nil {
				return err
			}
		}
	}
}

// forward passes on what the client asks, until the stream ends.
func forward(ctx context.Context, stream etcdserverpb.Watch_WatchServer, asked chan<- *etcdserverpb.WatchRequest) {
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
}

// end takes the watches of the stream off the count.
func (w *watchStream) end() {
	w.s.mu.Lock()
	w.s.watchers -= len(w.all)
	w.s.mu.Unlock()
}

// notify tells all watches what is new. Changed is closed when there is more.
func (w *watchStream) notify(ctx context.Context) (changed <-chan struct{}, err error) {
	s := w.s
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	late := s.faults.Late
	out := w.news()
	changed = s.changed
	s.mu.Unlock()
	if len(out) > 0 {
		if err := sleep(ctx, late); err != nil {
			return nil, err
		}
	}
	for _, resp := range out {
		if err := w.Send(resp); err != nil {
			return nil, err
		}
	}
	return changed, nil
}

// news is what there is to tell; watches that end by it are taken out.
func (w *watchStream) news() (out []*etcdserverpb.WatchResponse) {
	kept := w.all[:0]
	for _, one := range w.all {
		resp, ended := w.s.news(one)
		if resp != nil {
			out = append(out, resp)
		}
		if ended {
			w.s.watchers--
		} else {
			kept = append(kept, one)
		}
	}
	w.all = kept
	return out
}

// answer does what the client asks.
func (w *watchStream) answer(ctx context.Context, r *etcdserverpb.WatchRequest) error {
	s := w.s
	if err := s.enter(ctx); err != nil {
		return err
	}
	var resp *etcdserverpb.WatchResponse
	switch {
	case r.GetCreateRequest() != nil:
		resp = w.create(r.GetCreateRequest())
	case r.GetCancelRequest() != nil:
		resp = w.cancel(r.GetCancelRequest().WatchId)
	case r.GetProgressRequest() != nil && !s.faults.Deaf:
		resp = w.progress()
	}
	late := s.faults.Late
	s.mu.Unlock()
	if err := sleep(ctx, late); err != nil {
		return err
	}
	if resp == nil {
		return nil
	}
	return w.Send(resp)
}

// create begins a watch.
func (w *watchStream) create(r *etcdserverpb.WatchCreateRequest) *etcdserverpb.WatchResponse {
	s := w.s
	s.counts.Watches++
	one := &watching{id: w.nextID, r: r, next: r.StartRevision}
	if one.next == 0 {
		one.next = s.revision + 1
	}
	w.nextID++
	w.all = append(w.all, one)
	s.watchers++
	return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: one.id, Created: true}
}

// cancel ends a watch, if there is one of that number.
func (w *watchStream) cancel(id int64) *etcdserverpb.WatchResponse {
	for i, one := range w.all {
		if one.id == id {
			w.all = append(w.all[:i], w.all[i+1:]...)
			w.s.watchers--
			break
		}
	}
	return &etcdserverpb.WatchResponse{Header: w.s.header(), WatchId: id, Canceled: true}
}

// progress answers as etcd does: for all watches of the stream at once, and only when none of them is behind; nil otherwise.
func (w *watchStream) progress() *etcdserverpb.WatchResponse {
	s := w.s
	s.counts.Progress++
	for _, one := range w.all {
		if one.next <= s.revision && s.has(one) {
			return nil
		}
	}
	return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: -1}
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
