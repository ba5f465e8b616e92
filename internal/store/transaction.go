package store

import (
	"bytes"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// txn does the branch that the conditions choose, and reports whether that changed anything.
func (s *Store) txn(r *etcdserverpb.TxnRequest) (resp *etcdserverpb.TxnResponse, wrote bool, err error) {
	branch, holds := s.branch(r)
	if wrote, err = s.writes(branch); err != nil {
		return nil, false, err
	}
	before := len(s.history)
	if wrote {
		s.revision++
	}
	resp = &etcdserverpb.TxnResponse{Succeeded: holds}
	for _, op := range branch {
		one, err := s.operate(op)
		if err != nil {
			return nil, false, err
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

// branch is what a transaction is to do, and whether its conditions hold.
func (s *Store) branch(r *etcdserverpb.TxnRequest) (branch []*etcdserverpb.RequestOp, holds bool) {
	holds = true
	for _, c := range r.Compare {
		holds = holds && s.compare(c)
	}
	if holds {
		return r.Success, true
	}
	return r.Failure, false
}

// writes reports whether one of the operations may change something. It is asked before anything is changed: a put with a lease that has ended is
// an error.
func (s *Store) writes(branch []*etcdserverpb.RequestOp) (writes bool, err error) {
	for _, op := range branch {
		if put := op.GetRequestPut(); put != nil && put.Lease != 0 && s.leases[put.Lease] == nil {
			return false, rpctypes.ErrGRPCLeaseNotFound
		}
		writes = writes || op.GetRequestRange() == nil
	}
	return writes, nil
}

// operate does one operation at the present revision.
func (s *Store) operate(op *etcdserverpb.RequestOp) (*etcdserverpb.ResponseOp, error) {
	done := &etcdserverpb.ResponseOp{}
	switch {
	case op.GetRequestPut() != nil:
		done.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: s.put(op.GetRequestPut())}
	case op.GetRequestDeleteRange() != nil:
		done.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: s.deleteRange(op.GetRequestDeleteRange())}
	case op.GetRequestRange() != nil:
		found, err := s.read(op.GetRequestRange())
		if err != nil {
			return nil, err
		}
		done.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: found}
	default:
		return nil, status.Error(codes.Unimplemented, "store: transactions in transactions are not kept")
	}
	return done, nil
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
