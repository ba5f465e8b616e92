package store

import "go.etcd.io/etcd/api/v3/mvccpb"

// view is a state of the keys.
type view struct {
	revision int64
	keys     map[string]*mvccpb.KeyValue
}

func (s *Store) state() *view {
	v := &view{revision: s.revision, keys: make(map[string]*mvccpb.KeyValue, len(s.keys))}
	for k, kv := range s.keys {
		v.keys[k] = kv
	}
	return v
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
