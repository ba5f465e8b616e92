package store

import (
	"bytes"
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Keys returns the keys with a prefix in ascending order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// Put sets a key as a client would. An empty value deletes the key.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == "" {
		s.delete(key)
	} else {
		s.put(&etcdserverpb.PutRequest{Key: []byte(key), Value: []byte(value)})
	}
	s.notifyWatches()
}

// inRange reports whether a key is in a range of the etcd API: no end stands for the single key, an end of one zero byte for no upper bound.
func inRange(key string, from, to []byte) bool {
	switch {
	case len(to) == 0:
		return key == string(from)
	case len(to) == 1 && to[0] == 0:
		return key >= string(from)
	}
	return key >= string(from) && key < string(to)
}

// readRange returns the keys of a range. Serializable reads return the frozen state if there is one.
func (s *Store) readRange(r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	header, keys := s.header(), s.keys
	if r.Serializable && s.frozen != nil {
		header.Revision, keys = s.frozen.revision, s.frozen.keys
	}
	if r.Revision != 0 && r.Revision != header.Revision {
		return nil, status.Error(codes.Unimplemented, "store: reads at past revisions are not supported")
	}
	resp := &etcdserverpb.RangeResponse{Header: header}
	for key, kv := range keys {
		if inRange(key, r.Key, r.RangeEnd) {
			resp.Kvs = append(resp.Kvs, kv)
		}
	}
	slices.SortFunc(resp.Kvs, func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	resp.Count = int64(len(resp.Kvs))
	if r.Limit > 0 && resp.Count > r.Limit {
		resp.Kvs, resp.More = resp.Kvs[:r.Limit], true
	}
	if r.CountOnly {
		resp.Kvs = nil
	}
	return resp, nil
}

// put sets a key at the present revision and moves it from its old lease to its new one.
func (s *Store) put(r *etcdserverpb.PutRequest) *etcdserverpb.PutResponse {
	key := string(r.Key)
	kv := &mvccpb.KeyValue{Key: r.Key, Value: r.Value, Lease: r.Lease, CreateRevision: s.revision, ModRevision: s.revision, Version: 1}
	old := s.keys[key]
	if old != nil {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		if r.IgnoreLease {
			kv.Lease = old.Lease
		}
		if l := s.leases[old.Lease]; l != nil {
			delete(l.keys, key)
		}
	}
	if l := s.leases[kv.Lease]; l != nil {
		l.keys[key] = true
	}
	s.keys[key] = kv
	s.history = append(s.history, &mvccpb.Event{Type: mvccpb.Event_PUT, Kv: kv, PrevKv: old})
	resp := &etcdserverpb.PutResponse{}
	if r.PrevKv {
		resp.PrevKv = old
	}
	return resp
}

// delete removes a key at the present revision and returns its last value, or nil if there is no such key.
func (s *Store) delete(key string) *mvccpb.KeyValue {
	old := s.keys[key]
	if old == nil {
		return nil
	}
	delete(s.keys, key)
	if l := s.leases[old.Lease]; l != nil {
		delete(l.keys, key)
	}
	s.history = append(s.history, &mvccpb.Event{Type: mvccpb.Event_DELETE,
		Kv: &mvccpb.KeyValue{Key: []byte(key), ModRevision: s.revision}, PrevKv: old})
	return old
}

// deleteRange removes the keys of a range in ascending order.
func (s *Store) deleteRange(r *etcdserverpb.DeleteRangeRequest) *etcdserverpb.DeleteRangeResponse {
	resp := &etcdserverpb.DeleteRangeResponse{}
	var names []string
	for key := range s.keys {
		if inRange(key, r.Key, r.RangeEnd) {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	for _, key := range names {
		if old := s.delete(key); r.PrevKv {
			resp.PrevKvs = append(resp.PrevKvs, old)
		}
		resp.Deleted++
	}
	return resp
}

// Compact drops the history up to the present revision. Watches that still need it end.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(s.revision)
}

// compact drops the history up to a revision.
func (s *Store) compact(at int64) {
	s.compacted = max(s.compacted, at)
	s.history = slices.DeleteFunc(s.history, func(e *mvccpb.Event) bool { return e.Kv.ModRevision <= s.compacted })
}
