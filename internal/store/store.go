// Package store is a fake etcd for tests and trials. It implements the KV, Watch and Lease services over gRPC from their published
// definitions, keeps all data in memory, and injects faults on request. It is a single server; its responses are linearizable, except
// for serializable reads.
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

// Store is a fake etcd server. Its zero value is not usable; New creates a Store.
type Store struct {
	mu         sync.Mutex
	cluster    uint64 // cluster ID
	revision   int64
	compacted  int64 // last revision without history
	keys       map[string]*mvccpb.KeyValue
	history    []*mvccpb.Event // in order of revision, from compacted+1 on
	leases     map[int64]*lease
	nextLease  int64
	changed    chan struct{} // closed and replaced at each change of the keys
	frozen     *snapshot     // state that serializable reads return; nil for the present one
	faults     Faults
	stallEnded chan struct{} // closed and replaced when a stall ends
	counts     Counts

	server   *grpc.Server
	address  string
	closed   chan struct{}
	watchers int
}

// New returns an empty store with the given cluster ID, by which clients distinguish stores.
func New(cluster uint64) *Store {
	return &Store{cluster: cluster, revision: 1, keys: map[string]*mvccpb.KeyValue{}, leases: map[int64]*lease{}, nextLease: 1000,
		changed: make(chan struct{}), stallEnded: make(chan struct{})}
}

// Listen serves at an address until Close, and returns the address. The port 0 stands for any free port.
func (s *Store) Listen(address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	server := grpc.NewServer()
	etcdserverpb.RegisterKVServer(server, kvServer{s: s})
	etcdserverpb.RegisterWatchServer(server, watchServer{s: s})
	etcdserverpb.RegisterLeaseServer(server, leaseServer{s: s})
	closed := make(chan struct{})
	s.mu.Lock()
	s.server, s.address, s.closed = server, ln.Addr().String(), closed
	for _, l := range s.leases { // etcd renews every lease for its full TTL after a restart, too
		l.expiresAt = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go s.expireLeases(closed)
	return s.address, nil
}

// Close stops the service and closes its connections. The contents stay, and Listen can be called again.
func (s *Store) Close() {
	s.mu.Lock()
	server, closed := s.server, s.closed
	s.server, s.closed = nil, nil
	s.mu.Unlock()
	if server != nil {
		close(closed)
		server.Stop()
	}
}

// header returns the header of a response at the present revision.
func (s *Store) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: s.cluster, MemberId: 1, Revision: s.revision, RaftTerm: 2}
}

// notifyWatches wakes all watch streams.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
