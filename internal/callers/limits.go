package callers

import (
	"cmp"
	"slices"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/ring"
)

// This file limits the number of connections, and closes those that are not needed.

// overflowShare is the share of the connections that may be open for a moment beyond the limit, while idle ones are evicted.
const overflowShare = 0.25

// overflowTimeout is how long a connection beyond the limit may stay without a set-up while others wait to be accepted. A set-up
// that crosses a close within this time is sent again, as the protocol requires.
const overflowTimeout = 50 * time.Millisecond

// MaxOpen returns the number of connections that may be open for a moment.
func (b Bounds) MaxOpen() int {
	if b.MaxConnections == 0 {
		return 0
	}
	return b.MaxConnections + 1 + int(overflowShare*float64(b.MaxConnections))
}

// SetMaxConnections sets the maximum number of open connections.
func (f *Front) SetMaxConnections(connections int) {
	f.bounds.MaxConnections = connections
	f.listener.SetMaxConnections(f.bounds.MaxOpen())
}

// LimitOpen lowers the number of open connections further when descriptors are scarce. More connections wait to be accepted.
func (f *Front) LimitOpen(maxOpen int) {
	if limit := f.bounds.MaxOpen(); limit == 0 || maxOpen < limit {
		f.listener.SetMaxConnections(maxOpen)
	} else {
		f.listener.SetMaxConnections(limit)
	}
}

// EvictOne evicts one connection that is not in use, as more connections may come than there are descriptors.
func (f *Front) EvictOne() { f.evict(nil) }

// SetDescriptorsScarce sets whether descriptors are so few that a new connection is refused unless another one can be evicted. The last
// descriptors are reserved for that, so that no caller waits in vain to be accepted.
func (f *Front) SetDescriptorsScarce(scarce bool) { f.descriptorsScarce = scarce }

// keepPriority ranks a connection without an open set-up: lowest if it never had a request or a ping, highest if it has an
// established call, since its caller keeps it open then.
func (f *Front) keepPriority(c *Conn) int {
	switch {
	case f.core.EstablishedOf(c) > 0:
		return 2
	case c.receivedRequest || c.receivedPing:
		return 1
	}
	return 0
}

// overLimit reports whether there are more connections than may stay open.
func (f *Front) overLimit() bool {
	return f.descriptorsScarce || f.bounds.MaxConnections > 0 && len(f.conns) > f.bounds.MaxConnections
}

// evict closes the connection with the lowest priority that was not used for the longest time. If each of them is in use, has an
// unsent answer or is too new, the newest connection stays, within Most, until its set-ups have been refused.
func (f *Front) evict(newest *Conn) {
	var victim *Conn
	now := time.Now()
	for _, c := range f.conns {
		if c.closed || c == newest || c.partial || f.core.PendingOf(c) > 0 || c.hasUnsentAnswer(now) {
			continue
		}
		order := -1
		if victim != nil {
			order = cmp.Or(cmp.Compare(f.keepPriority(c), f.keepPriority(victim)), c.lastUsedAt.Compare(victim.lastUsedAt))
		}
		if order < 0 && c.conn.NoPendingInput() {
			victim = c
		}
	}
	switch {
	case victim != nil && (victim.receivedRequest || victim.receivedPing || now.Sub(victim.waitingSince) > newConnGracePeriod) && victim.conn.AllInputRead():
		victim.closeNow(conn.ErrClosedLocally)
	case newest != nil:
		newest.overflow = true
	}
}

// poll closes connections that are not needed. Those with a call stay open unless a message stays incomplete. A closing
// controller keeps only those with a call: the end of an established call must be delivered within a second, and unless there is
// a successor, there may be no other connection to send it on.
func (f *Front) poll() {
	now := time.Now()
	closing := f.core.Phase() >= call.Closing
	interval, messageTimeout := pollInterval, f.bounds.MessageTimeout
	switch {
	case closing:
		interval, messageTimeout = fastPollInterval, messageTimeout/2
	case f.listener.Full():
		interval = fastPollInterval
	}
	for _, c := range slices.Clone(f.conns) {
		switch {
		case c.closed:
		case c.partial && now.Sub(c.waitingSince) > messageTimeout:
			c.closeIncomplete()
		case c.hasUnsentAnswer(now): // the caller may read it in time
		case c.overflow && f.listener.Full() && now.Sub(c.waitingSince) > overflowTimeout:
			c.closeOverflow()
		case closing && f.core.PendingOf(c) == 0 && (f.core.EstablishedOf(c) == 0 || f.core.Superseded()) && now.Sub(c.waitingSince) > newConnGracePeriod &&
			!slices.ContainsFunc(c.sentEnds, c.maybeUnread) && c.conn.NoPendingInput() && c.conn.AllInputRead():
			c.closeNow(conn.ErrClosedLocally)
		case f.core.PendingOf(c) > 0 || f.core.EstablishedOf(c) > 0 || !c.conn.NoPendingInput():
		case !c.hasSent && now.Sub(c.waitingSince) > f.bounds.MessageTimeout && c.conn.AllInputRead():
			c.closeNow(errNoMessage)
		case now.Sub(c.lastUsedAt) > f.bounds.IdleTimeout && c.conn.AllInputRead():
			c.closeNow(conn.ErrClosedLocally)
		}
	}
	f.deliverPending()
	f.loop.After(interval, f.poll)
}

// extendAnswerDeadline records that a caller waits here for a final answer until the time.
func (c *Conn) extendAnswerDeadline(until time.Time) {
	if until.After(c.answerDeadline) {
		c.answerDeadline = until
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hasUnsentAnswer reports whether there is output that the socket does not take, while a caller may still be waiting for a final
// answer here. Closing the connection would discard it. A caller that does not read keeps its connection only until its deadline.
func (c *Conn) hasUnsentAnswer(now time.Time) bool {
	if c.conn.Unsent() == 0 || now.After(c.answerDeadline) {
		return false
	}
	c.conn.Flush()
	return c.conn.Unsent() > 0
}

// refusesOverflow reports whether set-ups on the connection are refused because it exceeds the limit.
func (c *Conn) refusesOverflow() bool {
	if c.overflow && !c.front.overLimit() {
		c.overflow, c.refusedSetUp = false, false
	}
	c.refusedSetUp = c.refusedSetUp || c.overflow
	return c.overflow
}

// canCloseOverflow reports whether a connection whose set-ups were refused has no unread input, and can be closed.
func (c *Conn) canCloseOverflow(in *ring.Buffer) bool {
	return c.refusedSetUp && in.Len() == 0 && c.conn.NoPendingInput() && c.conn.AllInputRead()
}

// closeOverflow closes a connection beyond the limit that is not in use, so that waiting connections can be accepted.
func (c *Conn) closeOverflow() {
	c.conn.ProcessInput()
	switch {
	case c.closed:
	case !c.overflow || c.front.core.PendingOf(c) > 0: // a set-up was waiting to be processed, or the connection is within the limit now
	case c.partial:
		c.closeIncomplete()
	case c.conn.NoPendingInput() && c.conn.AllInputRead():
		c.closeNow(errNoMessage)
	}
}

// closeIncomplete closes a connection on which a message has stayed incomplete, unless its rest has arrived by now.
func (c *Conn) closeIncomplete() {
	since := c.waitingSince
	c.conn.ProcessInput()
	if !c.closed && c.partial && c.waitingSince.Equal(since) && !c.conn.HasUnreadInput() && c.conn.AllInputRead() {
		c.closeWithError(errIncompleteMessage)
	}
}
