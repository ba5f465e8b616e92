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

// overflowShare is the part of the connections that may be open for a moment beyond the bound, while idle ones make room.
const overflowShare = 0.25

// overflowTimeout is how long a connection beyond the bound may bring no set-up while others wait to be accepted. A set-up that crosses a close
// within as much is sent again, by the protocol.
const overflowTimeout = 50 * time.Millisecond

// Most is how many may be open at once for a moment.
func (b Bounds) Most() int {
	if b.Connections == 0 {
		return 0
	}
	return b.Connections + 1 + int(overflowShare*float64(b.Connections))
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
func (f *Front) Squeeze() { f.evict(nil) }

// Scarce sets whether descriptors are so few that who comes now is turned away, unless another connection makes room: the last ones are
// kept for that, so that nobody waits in vain to be accepted.
func (f *Front) Scarce(scarce bool) { f.descriptorsScarce = scarce }

// keepPriority says what a connection without an open set-up is worth keeping for: least if nothing was ever asked on it, most if
// a call of it stands, as its caller keeps it then.
func (f *Front) keepPriority(c *Conn) int {
	switch {
	case f.core.EstablishedOf(c) > 0:
		return 2
	case c.receivedRequest || c.receivedPing:
		return 1
	}
	return 0
}

// overLimit reports whether there are more connections than are to stay.
func (f *Front) overLimit() bool {
	return f.descriptorsScarce || f.bounds.Connections > 0 && len(f.conns) > f.bounds.Connections
}

// evict closes the connection that is missed least, and the oldest of these. If each is needed, holds an answer that may still be read, or is too
// new to tell, the newest stays, within Most, until its set-ups have been refused.
func (f *Front) evict(newest *Conn) {
	var least *Conn
	now := time.Now()
	for _, c := range f.conns {
		if c.closed || c == newest || c.partial || f.core.PendingOf(c) > 0 || c.hasUnsentAnswer(now) {
			continue
		}
		better := -1
		if least != nil {
			better = cmp.Or(cmp.Compare(f.keepPriority(c), f.keepPriority(least)), c.lastUsedAt.Compare(least.lastUsedAt))
		}
		if better < 0 && c.conn.Quiet() {
			least = c
		}
	}
	switch {
	case least != nil && (least.receivedRequest || least.receivedPing || now.Sub(least.waitingSince) > newConnGracePeriod) && least.conn.AllTaken():
		least.closeNow(conn.ErrClosedHere)
	case newest != nil:
		newest.overflow = true
	}
}

// poll closes connections that are of no use. Those with a call are left alone, unless they stopped inside a message; a
// controller that withdraws keeps only those with a call: the end of one that stands must be told within a second, and
// unless there is a successor, nobody else may be there to hear it.
func (f *Front) poll() {
	now := time.Now()
	closing := f.core.Phase() >= call.Closing
	pace, silent := pollInterval, f.bounds.Silent
	switch {
	case closing:
		pace, silent = fastPollInterval, silent/2
	case f.listener.Full():
		pace = fastPollInterval
	}
	for _, c := range slices.Clone(f.conns) {
		switch {
		case c.closed:
		case c.partial && now.Sub(c.waitingSince) > silent:
			c.closeIncomplete()
		case c.hasUnsentAnswer(now): // its caller may read on in time
		case c.overflow && f.listener.Full() && now.Sub(c.waitingSince) > overflowTimeout:
			c.closeOverflow()
		case closing && f.core.PendingOf(c) == 0 && (f.core.EstablishedOf(c) == 0 || f.core.Superseded()) && now.Sub(c.waitingSince) > newConnGracePeriod &&
			!slices.ContainsFunc(c.sentEnds, c.maybeUnread) && c.conn.Quiet() && c.conn.AllTaken():
			c.closeNow(conn.ErrClosedHere)
		case f.core.PendingOf(c) > 0 || f.core.EstablishedOf(c) > 0 || !c.conn.Quiet():
		case !c.hasSent && now.Sub(c.waitingSince) > f.bounds.Silent && c.conn.AllTaken():
			c.closeNow(errNoMessage)
		case now.Sub(c.lastUsedAt) > f.bounds.Idle && c.conn.AllTaken():
			c.closeNow(conn.ErrClosedHere)
		}
	}
	f.deliverPending()
	f.loop.After(pace, f.poll)
}

// extendAnswerDeadline notes that a caller waits here for a final answer until then.
func (c *Conn) extendAnswerDeadline(until time.Time) {
	if until.After(c.answerDeadline) {
		c.answerDeadline = until
	}
}

// earlier is the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hasUnsentAnswer reports whether something waits for a socket that takes no more while a caller may still wait for a final answer here, which would be
// thrown away with the connection. A caller that stands still holds its connection until it must have given up, and no longer.
func (c *Conn) hasUnsentAnswer(now time.Time) bool {
	if c.conn.Unsent() == 0 || now.After(c.answerDeadline) {
		return false
	}
	c.conn.Flush()
	return c.conn.Unsent() > 0
}

// refusesOverflow reports whether set-ups on the connection are refused, as there is no room for it.
func (c *Conn) refusesOverflow() bool {
	if c.overflow && !c.front.overLimit() {
		c.overflow, c.refusedSetUp = false, false
	}
	c.refusedSetUp = c.refusedSetUp || c.overflow
	return c.overflow
}

// canCloseOverflow reports whether a connection whose set-ups were refused can be closed with nothing of its caller's unread.
func (c *Conn) canCloseOverflow(in *ring.Buffer) bool {
	return c.refusedSetUp && in.Len() == 0 && c.conn.Quiet() && c.conn.AllTaken()
}

// closeOverflow closes a connection beyond the bound that is of no use by now, so that those that wait to be accepted have their turn.
func (c *Conn) closeOverflow() {
	c.conn.Hear()
	switch {
	case c.closed:
	case !c.overflow || c.front.core.PendingOf(c) > 0: // a set-up waited for its turn, and there is room for it by now
	case c.partial:
		c.closeIncomplete()
	case c.conn.Quiet() && c.conn.AllTaken():
		c.closeNow(errNoMessage)
	}
}

// closeIncomplete closes a connection on which the rest of a message has not come, unless it has come by now.
func (c *Conn) closeIncomplete() {
	since := c.waitingSince
	c.conn.Hear()
	if !c.closed && c.partial && c.waitingSince.Equal(since) && !c.conn.Unread() && c.conn.AllTaken() {
		c.closeWithError(errIncompleteMessage)
	}
}
