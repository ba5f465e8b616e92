package store

import (
	"context"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// leaseServer implements the Lease service.
type leaseServer struct {
	etcdserverpb.UnimplementedLeaseServer
	s *Store
}

// LeaseGrant creates a lease. An ID of 0 lets the store choose one.
func (l leaseServer) LeaseGrant(ctx context.Context, r *etcdserverpb.LeaseGrantRequest) (*etcdserverpb.LeaseGrantResponse, error) {
	s := l.s
	if err := s.lock(ctx); err != nil {
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
	s.leases[id] = &lease{id: id, ttl: ttl, expiresAt: time.Now().Add(ttl), keys: map[string]bool{}}
	resp := &etcdserverpb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: r.TTL}
	if err := s.unlock(ctx, true); err != nil {
		return nil, err
	}
	return resp, nil
}

// LeaseRevoke ends a lease and deletes its keys.
func (l leaseServer) LeaseRevoke(ctx context.Context, r *etcdserverpb.LeaseRevokeRequest) (*etcdserverpb.LeaseRevokeResponse, error) {
	s := l.s
	if err := s.lock(ctx); err != nil {
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
	if err := s.unlock(ctx, true); err != nil {
		return nil, err
	}
	return resp, nil
}

// LeaseKeepAlive renews leases. The response for a lease that has ended has a TTL of 0.
func (l leaseServer) LeaseKeepAlive(stream etcdserverpb.Lease_LeaseKeepAliveServer) error {
	s := l.s
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.lock(stream.Context()); err != nil {
			return err
		}
		s.counts.Renewals++
		resp := &etcdserverpb.LeaseKeepAliveResponse{Header: s.header(), ID: r.ID}
		if found := s.leases[r.ID]; found != nil {
			found.expiresAt = time.Now().Add(found.ttl)
			resp.TTL = int64(found.ttl / time.Second)
		}
		if err := s.unlock(stream.Context(), true); err != nil {
			return err
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

// LeaseTimeToLive returns the remaining time and the keys of a lease. The TTL is -1 if the lease has ended.
func (l leaseServer) LeaseTimeToLive(ctx context.Context, r *etcdserverpb.LeaseTimeToLiveRequest) (*etcdserverpb.LeaseTimeToLiveResponse, error) {
	s := l.s
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	s.counts.Reads++
	resp := &etcdserverpb.LeaseTimeToLiveResponse{Header: s.header(), ID: r.ID, TTL: -1}
	if found := s.leases[r.ID]; found != nil {
		resp.TTL, resp.GrantedTTL = int64(time.Until(found.expiresAt)/time.Second), int64(found.ttl/time.Second)
		for key := range found.keys {
			resp.Keys = append(resp.Keys, []byte(key))
		}
	}
	if err := s.unlock(ctx, false); err != nil {
		return nil, err
	}
	return resp, nil
}
