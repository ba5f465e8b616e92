// Package store stands in for etcd in tests and trials: its KV, Watch and Lease services over gRPC, written from their published
// definitions, in memory, with faults on command. It is one server; what it answers is linearizable but for reads that ask for less.
package store

import (
	"fmt"
	"net"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
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

// New returns a store with nothing in it. The cluster's number tells it from another one.
func New(cluster uint64) *Store {
	return &Store{cluster: cluster, revision: 1, keys: map[string]*mvccpb.KeyValue{}, leases: map[int64]*lease{}, nextLease: 1000,
		changed: make(chan struct{}), stalled: make(chan struct{})}
}

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

func (s *Store) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: s.cluster, MemberId: 1, Revision: s.revision, RaftTerm: 2}
}

// tell wakes the watches.
func (s *Store) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}
