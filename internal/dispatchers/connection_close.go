package dispatchers

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
)

// This file closes connections to dispatchers.

// halfClose closes this side of the connection and fails its set-ups. The end of a call may be in transit, and a dispatcher that has sent
// an end does not send it again. The connection is therefore read until the dispatcher closes its side too.
func (c *connection) halfClose(reason error) { c.halfCloseWithin(reason, halfCloseTimeout) }

// halfCloseWithin is halfClose with a limit on how long the connection is still read.
func (c *connection) halfCloseWithin(reason error, within time.Duration) {
	c.conn.Flush() // send what the socket accepts
	c.abandon(reason, connHalfClosed)
	c.conn.CloseWrite(within)
}

// drain abandons the connection of a dispatcher that may still run although it counts as lost. Its set-ups fail at once and are
// cancelled. Calls that the dispatcher has established meanwhile are released, and so are its earlier ones: it may have no other
// connection, and may have stopped listening.
func (c *connection) drain(reason error) {
	c.abandon(reason, connDraining)
	for id, setUp := range c.setUps {
		if setUp.cancelledAt.IsZero() {
			c.cancelSetUp(id, setUp)
		}
	}
	c.server.pool.loop.After(halfCloseTimeout, func() { c.conn.Close(conn.ErrClosedLocally) })
}

// abandon fails the set-ups on an open connection, which is read on in the given state.
func (c *connection) abandon(reason error, state connState) {
	s, setUps := c.server, c.setUps
	c.suspect = !errors.Is(reason, conn.ErrClosedLocally)
	if c.suspect {
		c.remote.identity().unresponsive = true
		s.logCallsAtRisk()
		s.requestRenewal()
	}
	c.detach(reason)
	c.state, c.setUps, c.since = state, setUps, time.Now()
	c.logStep(endlog.ConnectionAbandoned, reason)
	s.pool.markActive(s)
	if s.abandoned = append(s.abandoned, c); len(s.abandoned) > MaxConnections { // limits the abandoned connections per dispatcher
		s.abandoned[0].logStep(endlog.ConnectionEvicted, reason)
		s.abandoned[0].conn.Abort(conn.ErrClosedLocally)
		s.abandoned = s.abandoned[1:]
	}
	s.updateConnected()
}

// Closed handles the end of the connection.
func (c *connection) Closed(reason error) {
	s, setUps := c.server, c.setUps
	c.logStep(endlog.ConnectionEnded, reason)
	if isCleanClose(reason) && c.state != connClosed {
		s.recordInput(c.remote, c.conn.EndedAt())
	}
	if c.mayLoseEnds(reason) {
		s.recordLostEnds()
	}
	if c.state != connClosed && closedForFault(reason) {
		s.renewal.SetUnreadConnection(true) // the dispatcher may send ends here until it notices the close
	}
	if c.state == connOpen {
		c.detach(reason)
	} else {
		c.finishClose(reason)
	}
	s.deliverDeferred(c.lifetime)
	c.failPings()
	if !isCleanClose(reason) {
		c.releaseUnknownOutcomes(setUps)
	}
	if best := s.latestConn(); best != nil {
		s.sendReleases(best)
	}
}

// isCleanClose reports whether the dispatcher closed the connection after all its messages.
func isCleanClose(reason error) bool {
	return errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrReset)
}

// closedForFault reports whether this side closed the connection because of a fault. What the dispatcher sends there afterwards is
// discarded.
func closedForFault(reason error) bool {
	return !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedLocally)
}

// finishClose handles the end of an abandoned connection.
func (c *connection) finishClose(reason error) {
	s := c.server
	if errors.Is(reason, conn.ErrClosedLocally) && !c.closedCleanly && (c.isAbandoned() || !c.evicted) {
		s.renewal.SetUnreadConnection(true) // the dispatcher may still hold it open
	}
	if c.suspect && s.hasEndsAtRisk() {
		s.requestRenewal() // the dispatcher may have sent ends here until now, and reset the connection when it noticed the close
	}
	c.state, c.setUps = connClosed, nil
	c.requeueUnconfirmed()
	s.abandoned = slices.DeleteFunc(s.abandoned, func(o *connection) bool { return o == c })
	s.updateConnected()
}

// detach removes the connection from its dispatcher and fails its open set-ups.
func (c *connection) detach(reason error) {
	c.state, c.lifetime.closed = connClosed, true
	s := c.server
	s.probedAt = time.Time{} // the probe may have been sent here
	s.pool.markActive(s)
	c.logClosed(reason)
	s.conns = slices.DeleteFunc(s.conns, func(o *connection) bool { return o == c })
	s.updateConnected()
	c.failSetUps()
	c.requeueUnconfirmed()
	if len(s.conns) == 0 {
		s.disconnectedSince = time.Now()
	}
	if now := time.Now(); now.Sub(c.openedAt) < minConnLifetime {
		s.backoff.RecordFailure(now, rand.Float64())
	}
	if len(s.conns) == 0 || len(s.conns) < s.wantedConns(time.Now()) {
		s.connect()
	}
}

// failSetUps reports to the core that the set-ups on the connection were reset, in the order of their ids.
func (c *connection) failSetUps() {
	s := c.server
	ids := make([]string, 0, len(c.setUps))
	for id := range c.setUps {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if setUp := c.setUps[id]; setUp.cancelledAt.IsZero() {
			s.pool.core.AttemptEnded(s.ID, id, setUp.attempt, control.Reset, false, nil)
		}
	}
	c.setUps = nil
}
