package store

// Counts holds the numbers of requests by kind, of notifications that were sent to watches, and of the events in them.
type Counts struct {
	Reads, Writes, Renewals, Watches, Progress int
	Notices, Events                            int
}

// Total returns the number of all requests.
func (c Counts) Total() int { return c.Reads + c.Writes + c.Renewals + c.Watches + c.Progress }

// Counts returns the counts since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Size returns how many keys, events and leases the store holds, and how many watches it serves.
func (s *Store) Size() (keys, events, leases, watchers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys), len(s.history), len(s.leases), s.watchers
}
