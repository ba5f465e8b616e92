package links

import "time"

// settleTime is how long a connection must have been open before it makes room while calls stand at its dispatcher: by then the dispatcher
// has repeated on it the ends that it told since the connection before. settleTimeReceived is the same where something has come on it: a
// dispatcher tells its state first, and those ends right after it.
const settleTime, settleTimeReceived = time.Second, 100 * time.Millisecond

// maxUnconnected is how long a dispatcher with calls standing stays without a connection before the connection of another such dispatcher
// makes room for it. An end is repeated on the next connection that opens and must reach its caller within 8 s.
const maxUnconnected = 2 * time.Second

// Purpose is what a connection is opened for, in rising order of need.
type Purpose int

const (
	// Draining connections go to dispatchers that drain and have no call.
	Draining Purpose = iota
	// Preconnect connections are opened before a call needs them.
	Preconnect
	// ActiveCalls connections go to dispatchers at which calls stand or set-ups are open.
	ActiveCalls
	// SetUp connections are waited for by a set-up.
	SetUp
)

// Budget is how many sockets connections to dispatchers may hold together: open ones, those being dialled, and half-closed ones. 0 is no
// bound.
type Budget int

// Allows reports whether a connection may be opened for the purpose while so many sockets are held. An eighth is reserved for calls, and
// dispatchers that drain get half of the rest of the others.
func (b Budget) Allows(p Purpose, held int) bool {
	if b <= 0 {
		return true
	}
	most := int(b)
	switch p {
	case Draining:
		most /= 2
	case Preconnect:
		most -= (most + 7) / 8
	}
	return held < max(most, 1)
}

// Exceeded reports whether more sockets are held than there may be.
func (b Budget) Exceeded(held int) bool { return b > 0 && held > int(b) }

// Connection is an open or half-closed connection, as it counts when one must be closed to make room.
type Connection struct {
	Draining      bool      // its dispatcher drains or is gone
	Sole          bool      // its dispatcher has no other open connection
	HalfClosed    bool      // given up, and still read
	HasCalls      bool      // calls stand at its dispatcher
	HasReceived   bool      // something has come on it
	PendingSetUps int       // that had no final answer here, withdrawn ones among them
	Since         time.Time // when it was opened or, if it is, half-closed
	UsedAt        time.Time // when a set-up was sent on it last; that of its opening if none was
}

// rank orders connections by how little is lost with them; ok is false for those that must stay.
func (c Connection) rank(now time.Time) (rank int, ok bool) {
	open := now.Sub(c.Since)
	rested := open >= settleTime || c.HasReceived && !c.HalfClosed && open >= settleTimeReceived
	switch {
	case c.HalfClosed && !c.HasCalls:
		return 0, true
	case c.HalfClosed:
		return 4, rested
	case c.PendingSetUps > 0:
		return 0, false
	case c.Draining && !c.HasCalls:
		return 1, true
	case !c.Sole:
		return 2, true
	case !c.HasCalls:
		return 3, true
	case c.Draining: // one that drains may take no new connection, and there would be no way to its calls
		return 6, rested
	}
	return 5, rested
}

// maxEvictionRank is the highest rank of connections that make room for the purpose. The dispatcher that asks has been without a connection for
// so long.
func (p Purpose) maxEvictionRank(without time.Duration) int {
	switch {
	case p == SetUp, p == ActiveCalls && without >= maxUnconnected:
		return 6
	case p == ActiveCalls:
		return 3
	case p == Preconnect:
		return 1
	}
	return -1
}

// Evict is the index of the connection that is closed so that another can be opened for the purpose, to a dispatcher that has been without
// one for so long; -1 if none may be. Of equals it is the one that was used least recently. One with set-ups open is never closed.
func Evict(now time.Time, p Purpose, without time.Duration, connections []Connection) int {
	least, leastRank := -1, p.maxEvictionRank(without)+1
	for i, c := range connections {
		rank, ok := c.rank(now)
		if !ok || rank > leastRank || rank == leastRank && (least < 0 || !c.UsedAt.Before(connections[least].UsedAt)) {
			continue
		}
		least, leastRank = i, rank
	}
	return least
}
