// Package store stands in for etcd in tests and trials: its KV, Watch and Lease services over gRPC, written from their published
// definitions, in memory, with faults on command. It is one server; what it answers is linearizable but for reads that ask for less.
package store

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Store is the stand-in. Its zero value is not ready: use New.
type Store struct {
	mu        sync.Mutex
	cluster   uint64
	revision  int64
	compacted int64
	keys      map[string]*mvccpb.KeyValue
	history   []*mvccpb.Event // by revision, from compacted+1 on
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed when there is something new to watch
	older     *view         // what reads that ask for no quorum get; nil for the present
	faults    Faults
	stalled   chan struct{} // closed when a stall ends
	counts    Counts

	server   *grpc.Server
	address  string
	ended    chan struct{}
	watchers int
}

// view is a state of the keys.
type view struct {
	revision int64
	keys     map[string]*mvccpb.KeyValue
}

// lease ends at its time, with all its keys.
type lease struct {
	id   int64
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// Faults are what goes wrong until it is set otherwise.
type Faults struct {
	Stall bool // nothing is taken in or answered, and leases do not end: their time goes on once the stall is over
	// Late is how long answers take on their way, after the work is done.
	Late time.Duration
	// Lost is how many of the next writes are done and then answered too late for anybody: the call ends with the client's patience.
	Lost int
	// Deaf watches are told nothing, and do not end.
	Deaf bool
}

// Counts are what was asked of the store, and what it told its watches: Notices are messages, Events the changes in them.
type Counts struct {
	Reads, Writes, Renewals, Watches, Progress int
	Notices, Events                            int
}

// Sum is all requests.
func (c Counts) Sum() int { return c.Reads + c.Writes + c.Renewals + c.Watches + c.Progress }

// New returns a store with nothing in it. The cluster's number tells it from another one.
func New(cluster uint64) *Store {
	return &Store{cluster: cluster, revision: 1, keys: map[string]*mvccpb.KeyValue{}, leases: map[int64]*lease{}, nextLease: 1000,
		changed: make(chan struct{}), stalled: make(chan struct{})}
}

// tickEvery is how exactly leases end.
const tickEvery = 10 * time.Millisecond

// Listen serves at an address until Close; 127.0.0.1:0 draws one.
func (s *Store) Listen(address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	server := grpc.NewServer()
	etcdserverpb.RegisterKVServer(server, kv{s: s})
	etcdserverpb.RegisterWatchServer(server, watch{s: s})
	etcdserverpb.RegisterLeaseServer(server, leasing{s: s})
	ended := make(chan struct{})
	s.mu.Lock()
	s.server, s.address, s.ended = server, ln.Addr().String(), ended
	for _, l := range s.leases { // a store that is back gives every lease its whole time again, as etcd does
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go s.tick(ended)
	return s.address, nil
}

// Close ends the service, its connections with it. What it holds stays, and Listen begins again.
func (s *Store) Close() {
	s.mu.Lock()
	server, ended := s.server, s.ended
	s.server, s.ended = nil, nil
	s.mu.Unlock()
	if server != nil {
		close(ended)
		server.Stop()
	}
}

// tick ends leases. While the store stalls their time stands still.
func (s *Store) tick(ended chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-ended:
			return
		case <-time.After(tickEvery):
		}
		now := time.Now()
		s.mu.Lock()
		for _, id := range s.sorted() {
			l := s.leases[id]
			if s.faults.Stall {
				l.ends = l.ends.Add(now.Sub(last))
			} else if now.After(l.ends) {
				s.endLease(l)
			}
		}
		s.mu.Unlock()
		last = now
	}
}

// sorted are the leases in order, so that they end in the same order each time.
func (s *Store) sorted() []int64 {
	ids := make([]int64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *Store) endLease(l *lease) {
	delete(s.leases, l.id)
	if len(l.keys) == 0 {
		return
	}
	s.revision++
	names := make([]string, 0, len(l.keys))
	for key := range l.keys {
		names = append(names, key)
	}
	slices.Sort(names)
	for _, key := range names {
		s.delete(key)
	}
	s.tell()
}

// delete takes a key out at the present revision.
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

// tell wakes the watches.
func (s *Store) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// --- On command ---

// Fault sets what goes wrong from now on.
func (s *Store) Fault(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Stall && !f.Stall {
		close(s.stalled)
		s.stalled = make(chan struct{})
	}
	wake := s.faults.Deaf && !f.Deaf
	s.faults = f
	if wake {
		s.tell()
	}
}

// LoseLeases ends the leases of the keys below a prefix before their time.
func (s *Store) LoseLeases(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.sorted() {
		for key := range s.leases[id].keys {
			if bytes.HasPrefix([]byte(key), []byte(prefix)) {
				s.endLease(s.leases[id])
				break
			}
		}
	}
}

// Hold has reads that ask for no quorum answered from the present state until Hold(false).
func (s *Store) Hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.older = nil
	if on {
		s.older = s.state()
	}
}

func (s *Store) state() *view {
	v := &view{revision: s.revision, keys: make(map[string]*mvccpb.KeyValue, len(s.keys))}
	for k, kv := range s.keys {
		v.keys[k] = kv
	}
	return v
}

// Backup is a state to go back to.
func (s *Store) Backup() any { // its type is the store's own
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state()
}

// Restore puts the store back to a state, or to none if it is nil, as after a restore from a backup; its leases are lost. It is to be
// called between Close and Listen.
func (s *Store) Restore(backup any, cluster uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := backup.(*view)
	if !ok {
		v = &view{revision: 1}
	}
	s.revision, s.compacted, s.cluster = v.revision, v.revision, cluster
	s.keys, s.history, s.leases = map[string]*mvccpb.KeyValue{}, nil, map[int64]*lease{}
	for k, kv := range v.keys {
		if kv.Lease == 0 {
			s.keys[k] = kv
		}
	}
	s.tell()
}

// Compact forgets what was before the present revision: a watch from before it ends.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(s.revision)
}

func (s *Store) compact(at int64) {
	s.compacted = max(s.compacted, at)
	s.history = slices.DeleteFunc(s.history, func(e *mvccpb.Event) bool { return e.Kv.ModRevision <= s.compacted })
}

// Put sets a key as a client would; an empty value deletes it.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == "" {
		s.delete(key)
	} else {
		s.put(&etcdserverpb.PutRequest{Key: []byte(key), Value: []byte(value)})
	}
	s.tell()
}

// Counts tells what was asked so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Size is how many keys, events and leases the store holds, and how many watches it serves.
func (s *Store) Size() (keys, events, leases, watchers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys), len(s.history), len(s.leases), s.watchers
}

// Keys are the keys below a prefix, in order.
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

// --- What the services share ---

func (s *Store) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: s.cluster, MemberId: 1, Revision: s.revision, RaftTerm: 2}
}

// enter waits for a stall to end, then locks.
func (s *Store) enter(ctx context.Context) error {
	for {
		s.mu.Lock()
		if !s.faults.Stall {
			return nil
		}
		stalled := s.stalled
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-stalled:
		}
	}
}

// leave unlocks, and holds the answer back as the faults say.
func (s *Store) leave(ctx context.Context, wrote bool) error {
	late := s.faults.Late
	lost := wrote && s.faults.Lost > 0
	if lost {
		s.faults.Lost--
	}
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	return sleep(ctx, late)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-time.After(d):
		return nil
	}
}

func within(key string, from, to []byte) bool {
	switch {
	case len(to) == 0:
		return key == string(from)
	case len(to) == 1 && to[0] == 0:
		return key >= string(from)
	}
	return key >= string(from) && key < string(to)
}

// --- KV ---

type kv struct {
	etcdserverpb.UnimplementedKVServer
	s *Store
}

func (k kv) Range(ctx context.Context, r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	s := k.s
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	s.counts.Reads++
	resp, err := s.read(r)
	if late := s.leave(ctx, false); late != nil {
		return nil, late
	}
	return resp, err
}

func (s *Store) read(r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	header, keys := s.header(), s.keys
	if r.Serializable && s.older != nil {
		header.Revision, keys = s.older.revision, s.older.keys
	}
	if r.Revision != 0 && r.Revision != header.Revision {
		return nil, status.Error(codes.Unimplemented, "store: reads of the past are not kept")
	}
	resp := &etcdserverpb.RangeResponse{Header: header}
	for key, kv := range keys {
		if within(key, r.Key, r.RangeEnd) {
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

func (k kv) Put(ctx context.Context, r *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	resp, err := k.Txn(ctx, &etcdserverpb.TxnRequest{Success: []*etcdserverpb.RequestOp{
		{Request: &etcdserverpb.RequestOp_RequestPut{RequestPut: r}},
	}})
	if err != nil {
		return nil, err
	}
	put := resp.Responses[0].GetResponsePut()
	put.Header = resp.Header
	return put, nil
}

func (k kv) DeleteRange(ctx context.Context, r *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	resp, err := k.Txn(ctx, &etcdserverpb.TxnRequest{Success: []*etcdserverpb.RequestOp{
		{Request: &etcdserverpb.RequestOp_RequestDeleteRange{RequestDeleteRange: r}},
	}})
	if err != nil {
		return nil, err
	}
	gone := resp.Responses[0].GetResponseDeleteRange()
	gone.Header = resp.Header
	return gone, nil
}

// Txn does all of one branch at one revision, or nothing.
func (k kv) Txn(ctx context.Context, r *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	s := k.s
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	s.counts.Writes++
	resp, wrote, err := s.txn(r)
	if late := s.leave(ctx, wrote); late != nil {
		return nil, late
	}
	return resp, err
}

func (s *Store) txn(r *etcdserverpb.TxnRequest) (resp *etcdserverpb.TxnResponse, wrote bool, err error) {
	holds := true
	for _, c := range r.Compare {
		holds = holds && s.compare(c)
	}
	branch := r.Failure
	if holds {
		branch = r.Success
	}
	for _, op := range branch { // before anything is changed
		if put := op.GetRequestPut(); put != nil && put.Lease != 0 && s.leases[put.Lease] == nil {
			return nil, false, rpctypes.ErrGRPCLeaseNotFound
		}
		wrote = wrote || op.GetRequestRange() == nil
	}
	before := len(s.history)
	if wrote {
		s.revision++
	}
	resp = &etcdserverpb.TxnResponse{Succeeded: holds}
	for _, op := range branch {
		one := &etcdserverpb.ResponseOp{}
		switch {
		case op.GetRequestPut() != nil:
			one.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: s.put(op.GetRequestPut())}
		case op.GetRequestDeleteRange() != nil:
			one.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: s.deleteRange(op.GetRequestDeleteRange())}
		case op.GetRequestRange() != nil:
			found, err := s.read(op.GetRequestRange())
			if err != nil {
				return nil, false, err
			}
			one.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: found}
		default:
			return nil, false, status.Error(codes.Unimplemented, "store: transactions in transactions are not kept")
		}
		resp.Responses = append(resp.Responses, one)
	}
	if len(s.history) > before {
		s.tell()
	} else if wrote { // nothing was there to delete
		s.revision--
		wrote = false
	}
	resp.Header = s.header()
	return resp, wrote, nil
}

// compare is one condition of a transaction; a key that is not there has zeros.
func (s *Store) compare(c *etcdserverpb.Compare) bool {
	kv := s.keys[string(c.Key)]
	if kv == nil {
		kv = &mvccpb.KeyValue{}
	}
	var order int
	switch c.Target {
	case etcdserverpb.Compare_VERSION:
		order = compareInt(kv.Version, c.GetVersion())
	case etcdserverpb.Compare_CREATE:
		order = compareInt(kv.CreateRevision, c.GetCreateRevision())
	case etcdserverpb.Compare_MOD:
		order = compareInt(kv.ModRevision, c.GetModRevision())
	case etcdserverpb.Compare_LEASE:
		order = compareInt(kv.Lease, c.GetLease())
	default:
		order = bytes.Compare(kv.Value, c.GetValue())
	}
	switch c.Result {
	case etcdserverpb.Compare_EQUAL:
		return order == 0
	case etcdserverpb.Compare_NOT_EQUAL:
		return order != 0
	case etcdserverpb.Compare_GREATER:
		return order > 0
	default:
		return order < 0
	}
}

func compareInt(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

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

func (s *Store) deleteRange(r *etcdserverpb.DeleteRangeRequest) *etcdserverpb.DeleteRangeResponse {
	resp := &etcdserverpb.DeleteRangeResponse{}
	var names []string
	for key := range s.keys {
		if within(key, r.Key, r.RangeEnd) {
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

func (k kv) Compact(ctx context.Context, r *etcdserverpb.CompactionRequest) (*etcdserverpb.CompactionResponse, error) {
	s := k.s
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	switch {
	case r.Revision <= s.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	case r.Revision > s.revision:
		return nil, rpctypes.ErrGRPCFutureRev
	}
	s.compact(r.Revision)
	return &etcdserverpb.CompactionResponse{Header: s.header()}, nil
}
