package store

import (
	"context"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// kv is the KV service.
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
