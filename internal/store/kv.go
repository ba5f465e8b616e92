package store

import (
	"context"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// kvServer implements the KV service.
type kvServer struct {
	etcdserverpb.UnimplementedKVServer
	s *Store
}

// Range reads the keys of a range.
func (k kvServer) Range(ctx context.Context, r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	s := k.s
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	s.counts.Reads++
	resp, err := s.readRange(r)
	if unlockErr := s.unlock(ctx, false); unlockErr != nil {
		return nil, unlockErr
	}
	return resp, err
}

// Put sets a key in a transaction of its own.
func (k kvServer) Put(ctx context.Context, r *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
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

// DeleteRange removes the keys of a range in a transaction of its own.
func (k kvServer) DeleteRange(ctx context.Context, r *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	resp, err := k.Txn(ctx, &etcdserverpb.TxnRequest{Success: []*etcdserverpb.RequestOp{
		{Request: &etcdserverpb.RequestOp_RequestDeleteRange{RequestDeleteRange: r}},
	}})
	if err != nil {
		return nil, err
	}
	deleted := resp.Responses[0].GetResponseDeleteRange()
	deleted.Header = resp.Header
	return deleted, nil
}

// Txn applies all operations of one branch at one revision, or none of them.
func (k kvServer) Txn(ctx context.Context, r *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	s := k.s
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	s.counts.Writes++
	resp, wrote, err := s.txn(r)
	if unlockErr := s.unlock(ctx, wrote); unlockErr != nil {
		return nil, unlockErr
	}
	return resp, err
}

// Compact drops the history up to the requested revision.
func (k kvServer) Compact(ctx context.Context, r *etcdserverpb.CompactionRequest) (*etcdserverpb.CompactionResponse, error) {
	s := k.s
	if err := s.lock(ctx); err != nil {
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
