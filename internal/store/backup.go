package store

import "go.etcd.io/etcd/api/v3/mvccpb"

// snapshot holds the keys at one revision.
type snapshot struct {
	revision int64
	keys     map[string]*mvccpb.KeyValue
}

// snapshot returns a copy of the present keys. The caller holds the lock.
func (s *Store) snapshot() *snapshot {
	snap := &snapshot{revision: s.revision, keys: make(map[string]*mvccpb.KeyValue, len(s.keys))}
	for k, kv := range s.keys {
		snap.keys[k] = kv
	}
	return snap
}

// FreezeSerializableReads makes serializable reads keep returning the state at the time of the call if on is true,
// and the present state again otherwise. Linearizable reads always return the present state.
func (s *Store) FreezeSerializableReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if on {
		s.frozen = s.snapshot()
	}
}

// Backup returns a copy of the present keys for Restore. The result is opaque to the caller.
func (s *Store) Backup() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

// Restore replaces the contents of the store with a backup, or with nothing if the backup is nil, and sets the cluster ID, as an etcd restore
// does. All leases and the keys attached to a lease are lost. Restore must be called between Close and Listen.
func (s *Store) Restore(backup any, cluster uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap, ok := backup.(*snapshot)
	if !ok {
		snap = &snapshot{revision: 1}
	}
	s.revision, s.compacted, s.cluster = snap.revision, snap.revision, cluster
	s.keys, s.history, s.leases = map[string]*mvccpb.KeyValue{}, nil, map[int64]*lease{}
	for k, kv := range snap.keys {
		if kv.Lease == 0 {
			s.keys[k] = kv
		}
	}
	s.notifyWatches()
}
