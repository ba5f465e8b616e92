package store

import (
	"bytes"
	"slices"
	"time"
)

// lease ends at its time, with all its keys.
type lease struct {
	id   int64
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// tickEvery is how exactly leases end.
const tickEvery = 10 * time.Millisecond

// tick ends leases. While the store stalls their time stands still.
func (s *Store) tick(ended chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-ended:
			return
		case <-time.After(tickEvery):
		}
		now := time.Now()
		s.mu.Lock()
		for _, id := range s.sorted() {
			l := s.leases[id]
			if s.faults.Stall {
				l.ends = l.ends.Add(now.Sub(last))
			} else if now.After(l.ends) {
				s.endLease(l)
			}
		}
		s.mu.Unlock()
		last = now
	}
}

// sorted are the leases in order, so that they end in the same order each time.
func (s *Store) sorted() []int64 {
	ids := make([]int64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

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
	s.tell()
}

// LoseLeases ends the leases of the keys below a prefix before their time.
func (s *Store) LoseLeases(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.sorted() {
		for key := range s.leases[id].keys {
			if bytes.HasPrefix([]byte(key), []byte(prefix)) {
				s.endLease(s.leases[id])
				break
			}
		}
	}
}
