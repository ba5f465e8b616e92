package store

import (
	"bytes"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// txn applies the branch that the conditions select, and reports whether it changed anything.
func (s *Store) txn(r *etcdserverpb.TxnRequest) (resp *etcdserverpb.TxnResponse, wrote bool, err error) {
	branch, holds := s.selectBranch(r)
	if wrote, err = s.checkWrites(branch); err != nil {
		return nil, false, err
	}
	before := len(s.history)
	if wrote {
		s.revision++
	}
	resp = &etcdserverpb.TxnResponse{Succeeded: holds}
	for _, op := range branch {
		opResp, err := s.apply(op)
		if err != nil {
			return nil, false, err
		}
		resp.Responses = append(resp.Responses, opResp)
	}
	if len(s.history) > before {
		s.notifyWatches()
	} else if wrote { // all deletions found no key
		s.revision--
		wrote = false
	}
	resp.Header = s.header()
	return resp, wrote, nil
}

// selectBranch returns the operations to apply, and whether the conditions hold.
func (s *Store) selectBranch(r *etcdserverpb.TxnRequest) (branch []*etcdserverpb.RequestOp, holds bool) {
	holds = true
	for _, c := range r.Compare {
		holds = holds && s.evaluate(c)
	}
	if holds {
		return r.Success, true
	}
	return r.Failure, false
}

// checkWrites reports whether one of the operations may change something. It runs before any change, because a put with a lease that has
// ended makes the whole transaction fail.
func (s *Store) checkWrites(branch []*etcdserverpb.RequestOp) (writes bool, err error) {
	for _, op := range branch {
		if put := op.GetRequestPut(); put != nil && put.Lease != 0 && s.leases[put.Lease] == nil {
			return false, rpctypes.ErrGRPCLeaseNotFound
		}
		writes = writes || op.GetRequestRange() == nil
	}
	return writes, nil
}

// apply applies one operation at the present revision.
func (s *Store) apply(op *etcdserverpb.RequestOp) (*etcdserverpb.ResponseOp, error) {
	resp := &etcdserverpb.ResponseOp{}
	switch {
	case op.GetRequestPut() != nil:
		resp.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: s.put(op.GetRequestPut())}
	case op.GetRequestDeleteRange() != nil:
		resp.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: s.deleteRange(op.GetRequestDeleteRange())}
	case op.GetRequestRange() != nil:
		rangeResp, err := s.readRange(op.GetRequestRange())
		if err != nil {
			return nil, err
		}
		resp.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: rangeResp}
	default:
		return nil, status.Error(codes.Unimplemented, "store: nested transactions are not supported")
	}
	return resp, nil
}

// evaluate reports whether a condition of a transaction holds. A key that does not exist compares as if all its fields were zero.
func (s *Store) evaluate(c *etcdserverpb.Compare) bool {
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

// compareInt returns -1, 0 or 1, like bytes.Compare.
func compareInt(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
