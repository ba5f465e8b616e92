package links

import "time"

// settleTime is how long the connection of a dispatcher with established calls must have been open before it may be evicted. By
// then the dispatcher has repeated on it the ends that it sent since the previous connection. settleTimeReceived is the same
// for a connection on which something has been received: a dispatcher sends its state first, and repeats those ends right after
// it.
const settleTime, settleTimeReceived = time.Second, 100 * time.Millisecond

// maxUnconnected is how long a dispatcher with established calls stays without a connection before the connection of another
// such dispatcher is evicted for it. An end is repeated on the next connection that opens and must reach its caller within 8 s.
const maxUnconnected = 2 * time.Second

// Purpose is the reason for opening a connection. Higher values are more urgent.
type Purpose int

const (
	// Draining connections go to draining dispatchers without established calls.
	Draining Purpose = iota
	// Preconnect connections are opened before a call needs them.
	Preconnect
	// ActiveCalls connections go to dispatchers with established calls or pending set-ups.
	ActiveCalls
	// SetUp connections are needed by a set-up that waits for one.
	SetUp
)

// Budget is the maximum number of sockets that the connections to all dispatchers hold together: open connections, half-closed
// ones and those being dialled. 0 means no limit.
type Budget int

// Allows reports whether a connection may be opened for the purpose while held sockets are in use. An eighth of the budget is
// reserved for calls. Draining connections are allowed up to half of the budget.
func (b Budget) Allows(p Purpose, held int) bool {
	if b <= 0 {
		return true
	}
	limit := int(b)
	switch p {
	case Draining:
		limit /= 2
	case Preconnect:
		limit -= (limit + 7) / 8
	}
	return held < max(limit, 1)
}

// Exceeded reports whether more sockets are held than the budget allows.
func (b Budget) Exceeded(held int) bool { return b > 0 && held > int(b) }

// Connection describes an open or half-closed connection as a candidate for eviction.
type Connection struct {
	Draining      bool      // its dispatcher is draining or was removed
	Sole          bool      // its dispatcher has no other open connection
	HalfClosed    bool      // closed for writing, still read
	HasCalls      bool      // its dispatcher has established calls
	HasReceived   bool      // something has been received on it
	PendingSetUps int       // set-ups sent on it without a final answer, including cancelled ones
	Since         time.Time // when it was opened or, if it is half-closed, when it was half-closed
	UsedAt        time.Time // when a set-up was last sent on it, or when it was opened if none was
}

// rank orders connections by what their eviction costs, the cheapest first. ok is false for a connection that must not be
// evicted.
func (c Connection) rank(now time.Time) (rank int, ok bool) {
	age := now.Sub(c.Since)
	settled := age >= settleTime || c.HasReceived && !c.HalfClosed && age >= settleTimeReceived
	switch {
	case c.HalfClosed && !c.HasCalls:
		return 0, true
	case c.HalfClosed:
		return 4, settled
	case c.PendingSetUps > 0:
		return 0, false
	case c.Draining && !c.HasCalls:
		return 1, true
	case !c.Sole:
		return 2, true
	case !c.HasCalls:
		return 3, true
	case c.Draining: // a draining dispatcher may refuse a new connection, which would cut off its calls
		return 6, settled
	}
	return 5, settled
}

// maxEvictionRank returns the highest rank that may be evicted for the purpose. The dispatcher to connect to has had no
// connection for the given time.
func (p Purpose) maxEvictionRank(unconnected time.Duration) int {
	switch {
	case p == SetUp, p == ActiveCalls && unconnected >= maxUnconnected:
		return 6
	case p == ActiveCalls:
		return 3
	case p == Preconnect:
		return 1
	}
	return -1
}

// Evict returns the index of the connection to close so that another can be opened for the purpose, or -1 if none may be
// closed. The dispatcher to connect to has had no connection for the given time. Of connections of equal rank, Evict picks the
// least recently used one. An open connection with pending set-ups is never evicted.
func Evict(now time.Time, p Purpose, unconnected time.Duration, connections []Connection) int {
	victim, victimRank := -1, p.maxEvictionRank(unconnected)+1
	for i, c := range connections {
		rank, ok := c.rank(now)
		if !ok || rank > victimRank || rank == victimRank && (victim < 0 || !c.UsedAt.Before(connections[victim].UsedAt)) {
			continue
		}
		victim, victimRank = i, rank
	}
	return victim
}
