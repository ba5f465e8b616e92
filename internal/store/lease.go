package store

import (
	"bytes"
	"slices"
	"time"
)

// lease is a lease with the keys that are deleted when it ends.
type lease struct {
	id        int64
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// leaseCheckInterval is the interval at which leases are checked for expiry.
const leaseCheckInterval = 10 * time.Millisecond

// expireLeases ends expired leases until the store is closed. A stall postpones the expiry of all leases by its duration.
func (s *Store) expireLeases(closed chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-closed:
			return
		case <-time.After(leaseCheckInterval):
		}
		now := time.Now()
		s.mu.Lock()
		for _, id := range s.sortedLeaseIDs() {
			l := s.leases[id]
			if s.faults.Stall {
				l.expiresAt = l.expiresAt.Add(now.Sub(last))
			} else if now.After(l.expiresAt) {
				s.endLease(l)
			}
		}
		s.mu.Unlock()
		last = now
	}
}

// sortedLeaseIDs returns the lease IDs in ascending order, so that leases end in the same order in each run.
func (s *Store) sortedLeaseIDs() []int64 {
	ids := make([]int64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// endLease removes a lease and deletes its keys at one new revision.
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
	s.notifyWatches()
}

// ExpireLeases ends all leases that have a key with the prefix, before they expire.
func (s *Store) ExpireLeases(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.sortedLeaseIDs() {
		for key := range s.leases[id].keys {
			if bytes.HasPrefix([]byte(key), []byte(prefix)) {
				s.endLease(s.leases[id])
				break
			}
		}
	}
}
