package callers

import (
	"cmp"
	"slices"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/ring"
)

// How many connections there may be, and which of them go.

// spare is the part of the connections that may be open for a moment beyond the bound, while idle ones make room.
const spare = 0.25

// overflowFor is how long a connection beyond the bound may bring no set-up while others wait to be accepted. A set-up that crosses a close
// within as much is sent again, by the protocol.
const overflowFor = 50 * time.Millisecond

// Most is how many may be open at once for a moment.
func (b Bounds) Most() int {
	if b.Connections == 0 {
		return 0
	}
	return b.Connections + 1 + int(spare*float64(b.Connections))
}

// Limit sets how many connections may be open at once.
func (f *Front) Limit(connections int) {
	f.bounds.Connections = connections
	f.listener.Limit(f.bounds.Most())
}

// Accept bounds the connections that are open at once further, as descriptors are scarce: what comes beyond waits to be accepted.
func (f *Front) Accept(most int) {
	if bound := f.bounds.Most(); bound == 0 || most < bound {
		f.listener.Limit(most)
	} else {
		f.listener.Limit(bound)
	}
}

// Squeeze closes one connection that is of no use at the moment, as more may come than there are descriptors for.
func (f *Front) Squeeze() { f.makeRoom(nil) }

// Scarce sets whether descriptors are so few that who comes now is turned away, unless another connection makes room: the last ones are
// kept for that, so that nobody waits in vain to be accepted.
func (f *Front) Scarce(scarce bool) { f.scarce = scarce }

// worth says what a connection without an open set-up is worth keeping for: least if nothing was ever asked on it, most if
// a call of it stands, as its caller keeps it then.
func (f *Front) worth(c *Conn) int {
	switch {
	case f.core.EstablishedOf(c) > 0:
		return 2
	case c.asked || c.tested:
		return 1
	}
	return 0
}

// crowded reports whether there are more connections than are to stay.
func (f *Front) crowded() bool {
	return f.scarce || f.bounds.Connections > 0 && len(f.all) > f.bounds.Connections
}

// makeRoom closes the connection that is missed least, and the oldest of these. If each is needed, holds an answer that may still be read, or is too
// new to tell, the newest stays, within Most, until its set-ups have been refused.
func (f *Front) makeRoom(newest *Conn) {
	var least *Conn
	now := time.Now()
	for _, c := range f.all {
		if c.closed || c == newest || c.partial || f.core.PendingOf(c) > 0 || c.holdsAnswer(now) {
			continue
		}
		better := -1
		if least != nil {
			better = cmp.Or(cmp.Compare(f.worth(c), f.worth(least)), c.usedAt.Compare(least.usedAt))
		}
		if better < 0 && c.conn.Quiet() {
			least = c
		}
	}
	switch {
	case least != nil && (least.asked || least.tested || now.Sub(least.since) > settle) && least.conn.AllTaken():
		least.shut(conn.ErrClosedHere)
	case newest != nil:
		newest.overflow = true
	}
}

// look closes connections that are of no use. Those with a call are left alone, unless they stopped inside a message; a
// controller that withdraws keeps only those with a call: the end of one that stands must be told within a second, and
// unless there is a successor, nobody else may be there to hear it.
func (f *Front) look() {
	now := time.Now()
	closing := f.core.Phase() >= call.Closing
	pace, silent := lookEvery, f.bounds.Silent
	switch {
	case closing:
		pace, silent = lookSoon, silent/2
	case f.listener.Full():
		pace = lookSoon
	}
	for _, c := range slices.Clone(f.all) {
		switch {
		case c.closed:
		case c.partial && now.Sub(c.since) > silent:
			c.cutShort()
		case c.holdsAnswer(now): // its caller may read on in time
		case c.overflow && f.listener.Full() && now.Sub(c.since) > overflowFor:
			c.leaveOverflow()
		case closing && f.core.PendingOf(c) == 0 && (f.core.EstablishedOf(c) == 0 || f.core.Superseded()) && now.Sub(c.since) > settle &&
			!slices.ContainsFunc(c.sent, c.unheard) && c.conn.Quiet() && c.conn.AllTaken():
			c.shut(conn.ErrClosedHere)
		case f.core.PendingOf(c) > 0 || f.core.EstablishedOf(c) > 0 || !c.conn.Quiet():
		case !c.said && now.Sub(c.since) > f.bounds.Silent && c.conn.AllTaken():
			c.shut(errSilent)
		case now.Sub(c.usedAt) > f.bounds.Idle && c.conn.AllTaken():
			c.shut(conn.ErrClosedHere)
		}
	}
	f.deliver()
	f.loop.After(pace, f.look)
}

// awaitsAnswer notes that a caller waits here for a final answer until then.
func (c *Conn) awaitsAnswer(until time.Time) {
	if until.After(c.awaited) {
		c.awaited = until
	}
}

// earlier is the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// holdsAnswer reports whether something waits for a socket that takes no more while a caller may still wait for a final answer here, which would be
// thrown away with the connection. A caller that stands still holds its connection until it must have given up, and no longer.
func (c *Conn) holdsAnswer(now time.Time) bool {
	if c.conn.Unsent() == 0 || now.After(c.awaited) {
		return false
	}
	c.conn.Flush()
	return c.conn.Unsent() > 0
}

// refusesOverflow reports whether set-ups on the connection are refused, as there is no room for it.
func (c *Conn) refusesOverflow() bool {
	if c.overflow && !c.front.crowded() {
		c.overflow, c.turnedAway = false, false
	}
	c.turnedAway = c.turnedAway || c.overflow
	return c.overflow
}

// mayLeave reports whether a connection whose set-ups were refused can be closed with nothing of its caller's unread.
func (c *Conn) mayLeave(in *ring.Buffer) bool {
	return c.turnedAway && in.Len() == 0 && c.conn.Quiet() && c.conn.AllTaken()
}

// leaveOverflow closes a connection beyond the bound that is of no use by now, so that those that wait to be accepted have their turn.
func (c *Conn) leaveOverflow() {
	c.conn.Hear()
	switch {
	case c.closed:
	case !c.overflow || c.front.core.PendingOf(c) > 0: // a set-up waited for its turn, and there is room for it by now
	case c.partial:
		c.cutShort()
	case c.conn.Quiet() && c.conn.AllTaken():
		c.shut(errSilent)
	}
}

// cutShort closes a connection on which the rest of a message has not come, unless it has come by now.
func (c *Conn) cutShort() {
	since := c.since
	c.conn.Hear()
	if !c.closed && c.partial && c.since.Equal(since) && !c.conn.Unread() && c.conn.AllTaken() {
		c.fail(errCutShort)
	}
}
