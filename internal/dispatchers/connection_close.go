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

// How connections to dispatchers end.

// halfClose gives the connection up. Its set-ups end at once, but an end of a call may be on its way here: a dispatcher that
// has sent it does not send it again. So this side is closed alone, and the rest is read until the dispatcher closes too.
func (c *connection) halfClose(reason error) { c.halfCloseWithin(reason, halfCloseTimeout) }

// halfCloseWithin is retire with a bound on how long the connection is still read.
func (c *connection) halfCloseWithin(reason error, within time.Duration) {
	c.conn.Flush() // what the socket takes has left
	c.abandon(reason, connHalfClosed)
	c.conn.Finish(within)
}

// drain gives the connection up whose dispatcher may live, though it counts as gone. Its set-ups end at once and are cancelled. A call that the
// dispatcher has established meanwhile is released, as are those that it had: it may have no other connection, and listen no more.
func (c *connection) drain(reason error) {
	c.abandon(reason, connDraining)
	for id, setUp := range c.setUps {
		if setUp.cancelledAt.IsZero() {
			c.cancelSetUp(id, setUp)
		}
	}
	c.server.pool.loop.After(halfCloseTimeout, func() { c.conn.Close(conn.ErrClosedHere) })
}

// abandon ends the set-ups on an open connection, which is read on in the given state.
func (c *connection) abandon(reason error, state connState) {
	s, setUps := c.server, c.setUps
	c.suspect = !errors.Is(reason, conn.ErrClosedHere)
	if c.suspect {
		s.logCallsAtRisk()
		s.requestRenewal()
	}
	c.detach(reason)
	c.state, c.setUps, c.stateSince = state, setUps, time.Now()
	c.logStep(endlog.LinkGivenUp, reason)
	s.pool.markActive(s)
	if s.abandoned = append(s.abandoned, c); len(s.abandoned) > MaxConnections { // of one dispatcher, so many are held at most
		s.abandoned[0].logStep(endlog.LinkPushedOut, reason)
		s.abandoned[0].conn.Abort(conn.ErrClosedHere)
		s.abandoned = s.abandoned[1:]
	}
	s.updateConnected()
}

// Closed takes in that the connection has ended.
func (c *connection) Closed(reason error) {
	s, setUps := c.server, c.setUps
	c.logStep(endlog.LinkEnded, reason)
	if c.mayLoseEnds(reason) {
		s.recordLostEnds()
	}
	if c.state != connClosed && closedForFault(reason) {
		s.renewal.SetUnreadConnection(true) // its dispatcher may tell ends here until it sees the close
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

// isCleanClose reports whether a connection was ended by its dispatcher, behind all that it had to say.
func isCleanClose(reason error) bool {
	return errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrReset)
}

// closedForFault reports whether this side closed a connection for a fault. What its dispatcher sends there after that is discarded.
func closedForFault(reason error) bool {
	return !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedHere)
}

// finishClose takes in the end of a connection that had been given up.
func (c *connection) finishClose(reason error) {
	s := c.server
	if errors.Is(reason, conn.ErrClosedHere) && !c.closedCleanly && (c.isAbandoned() || !c.evicted) {
		s.renewal.SetUnreadConnection(true) // its dispatcher may hold it for open still
	}
	if c.suspect && s.hasEndsAtRisk() {
		s.requestRenewal() // its dispatcher may have told ends here until now, and reset it as it saw the close
	}
	c.state, c.setUps = connClosed, nil
	c.requeueUnconfirmed()
	s.abandoned = slices.DeleteFunc(s.abandoned, func(o *connection) bool { return o == c })
	s.updateConnected()
}

// detach ends the set-ups that were open on the connection.
func (c *connection) detach(reason error) {
	c.state, c.lifetime.closed = connClosed, true
	s := c.server
	s.probedAt = time.Time{} // it may have gone out here
	s.pool.markActive(s)
	if closedForFault(reason) && !errors.Is(reason, errUnresponsive) {
		s.pool.Log.Warn("connection to dispatcher closed", "server", s.ID, "reason", reason)
	}
	s.conns = slices.DeleteFunc(s.conns, func(o *connection) bool { return o == c })
	s.updateConnected()
	c.failSetUps()
	c.requeueUnconfirmed()
	if len(s.conns) == 0 {
		s.disconnectedSince = time.Now()
		s.generation++
	}
	if now := time.Now(); now.Sub(c.openedAt) < minConnLifetime {
		s.backoff.RecordFailure(now, rand.Float64())
	}
	if len(s.conns) == 0 || len(s.conns) < s.wantedConns(time.Now()) {
		s.connect()
	}
}

// failSetUps tells the core that the set-ups on the connection have broken, in the order of their ids.
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
