package store

// Counts are what was asked of the store, and what it told its watches: Notices are messages, Events the changes in them.
type Counts struct {
	Reads, Writes, Renewals, Watches, Progress int
	Notices, Events                            int
}

// Sum is all requests.
func (c Counts) Sum() int { return c.Reads + c.Writes + c.Renewals + c.Watches + c.Progress }

// Counts tells what was asked so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Size is how many keys, events and leases the store holds, and how many watches it serves.
func (s *Store) Size() (keys, events, leases, watchers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys), len(s.history), len(s.leases), s.watchers
}
