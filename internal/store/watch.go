package store

import (
	"context"
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
)

// watchServer implements the Watch service.
type watchServer struct {
	etcdserverpb.UnimplementedWatchServer
	s *Store
}

// watcher is one watch of a stream.
type watcher struct {
	id           int64
	request      *etcdserverpb.WatchCreateRequest
	nextRevision int64 // first revision that was not checked for events yet
}

// watchStream is a stream with all its watches.
type watchStream struct {
	etcdserverpb.Watch_WatchServer
	s        *Store
	watchers []*watcher
	nextID   int64
}

// Watch serves any number of watches on one stream. A second goroutine receives the requests; all responses are sent by the goroutine that
// runs Watch.
func (w watchServer) Watch(stream etcdserverpb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	requests := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer cancel()
		forwardRequests(ctx, stream, requests)
	}()
	ws := &watchStream{Watch_WatchServer: stream, s: w.s}
	defer ws.removeWatchers()
	for {
		changed, err := ws.notify(ctx)
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case r := <-requests:
			if err := ws.handle(ctx, r); err != nil {
				return err
			}
		}
	}
}

// forwardRequests sends the requests of the client to a channel until the stream ends.
func forwardRequests(ctx context.Context, stream etcdserverpb.Watch_WatchServer, requests chan<- *etcdserverpb.WatchRequest) {
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case requests <- r:
		case <-ctx.Done():
			return
		}
	}
}

// removeWatchers subtracts the watches of the stream from the store's count.
func (w *watchStream) removeWatchers() {
	w.s.mu.Lock()
	w.s.watchers -= len(w.watchers)
	w.s.mu.Unlock()
}

// notify sends the pending events of all watches. The returned channel is closed at the next change.
func (w *watchStream) notify(ctx context.Context) (changed <-chan struct{}, err error) {
	s := w.s
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	delay := s.faults.ResponseDelay
	responses := w.pendingResponses()
	changed = s.changed
	s.mu.Unlock()
	if len(responses) > 0 {
		if err := sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
	for _, resp := range responses {
		if err := w.Send(resp); err != nil {
			return nil, err
		}
	}
	return changed, nil
}

// pendingResponses returns the pending responses of all watches, and removes the watches that end with theirs.
func (w *watchStream) pendingResponses() (responses []*etcdserverpb.WatchResponse) {
	kept := w.watchers[:0]
	for _, wr := range w.watchers {
		resp, ended := w.s.pendingResponse(wr)
		if resp != nil {
			responses = append(responses, resp)
		}
		if ended {
			w.s.watchers--
		} else {
			kept = append(kept, wr)
		}
	}
	w.watchers = kept
	return responses
}

// handle executes one request of the client and sends the response, if there is one.
func (w *watchStream) handle(ctx context.Context, r *etcdserverpb.WatchRequest) error {
	s := w.s
	if err := s.lock(ctx); err != nil {
		return err
	}
	var resp *etcdserverpb.WatchResponse
	switch {
	case r.GetCreateRequest() != nil:
		resp = w.create(r.GetCreateRequest())
	case r.GetCancelRequest() != nil:
		resp = w.cancel(r.GetCancelRequest().WatchId)
	case r.GetProgressRequest() != nil && !s.faults.MuteWatches:
		resp = w.progress()
	}
	delay := s.faults.ResponseDelay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	if resp == nil {
		return nil
	}
	return w.Send(resp)
}

// create adds a watch. Without a start revision it begins after the present one.
func (w *watchStream) create(r *etcdserverpb.WatchCreateRequest) *etcdserverpb.WatchResponse {
	s := w.s
	s.counts.Watches++
	wr := &watcher{id: w.nextID, request: r, nextRevision: r.StartRevision}
	if wr.nextRevision == 0 {
		wr.nextRevision = s.revision + 1
	}
	w.nextID++
	w.watchers = append(w.watchers, wr)
	s.watchers++
	return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: wr.id, Created: true}
}

// cancel removes the watch with the given ID, if it exists.
func (w *watchStream) cancel(id int64) *etcdserverpb.WatchResponse {
	for i, wr := range w.watchers {
		if wr.id == id {
			w.watchers = append(w.watchers[:i], w.watchers[i+1:]...)
			w.s.watchers--
			break
		}
	}
	return &etcdserverpb.WatchResponse{Header: w.s.header(), WatchId: id, Canceled: true}
}

// progress returns one progress notification for all watches of the stream, or nil if one of them has unsent events, as etcd does.
func (w *watchStream) progress() *etcdserverpb.WatchResponse {
	s := w.s
	s.counts.Progress++
	for _, wr := range w.watchers {
		if wr.nextRevision <= s.revision && s.hasEvents(wr) {
			return nil
		}
	}
	return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: -1}
}

// pendingResponse returns the next response of a watch, or nil, and whether it ends the watch.
func (s *Store) pendingResponse(w *watcher) (resp *etcdserverpb.WatchResponse, ended bool) {
	if w.nextRevision <= s.compacted {
		return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: w.id, Canceled: true, CompactRevision: s.compacted}, true
	}
	if s.faults.MuteWatches || w.nextRevision > s.revision {
		return nil, false
	}
	var events []*mvccpb.Event
	for _, e := range s.eventsSince(w.nextRevision) {
		if inRange(string(e.Kv.Key), w.request.Key, w.request.RangeEnd) {
			events = append(events, e)
		}
	}
	w.nextRevision = s.revision + 1
	if len(events) == 0 {
		return nil, false
	}
	s.counts.Notices++
	s.counts.Events += len(events)
	return &etcdserverpb.WatchResponse{Header: s.header(), WatchId: w.id, Events: events}, false
}

// eventsSince returns the history from a revision on. The binary search relies on the order of the revisions.
func (s *Store) eventsSince(revision int64) []*mvccpb.Event {
	first, _ := slices.BinarySearchFunc(s.history, revision, func(e *mvccpb.Event, revision int64) int {
		return compareInt(e.Kv.ModRevision, revision)
	})
	return s.history[first:]
}

// hasEvents reports whether a watch has events that were not sent yet.
func (s *Store) hasEvents(w *watcher) bool {
	for _, e := range s.eventsSince(w.nextRevision) {
		if inRange(string(e.Kv.Key), w.request.Key, w.request.RangeEnd) {
			return true
		}
	}
	return false
}
