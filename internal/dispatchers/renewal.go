package dispatchers

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
)

// This file opens connections for ends of calls that may have been lost with another connection.

// mayLoseEnds reports whether ends of calls may be lost with the connection as it closes for the given reason, whether it was open or
// already abandoned.
func (c *connection) mayLoseEnds(reason error) bool {
	switch {
	case c.state == connClosed, c.closedCleanly, isCleanClose(reason):
		return false
	case errors.Is(reason, conn.ErrClosedLocally):
		return c.isAbandoned()
	}
	return true
}

// requestRenewal requests a new connection, on which the dispatcher repeats the ends that it has sent until now.
func (s *server) requestRenewal() {
	s.logStep(endlog.RenewalRequested, nil)
	s.renewal.Request(time.Now())
	s.pool.markActive(s)
}

// recordLostEnds records that ends sent until now may have been lost.
func (s *server) recordLostEnds() {
	s.logStep(endlog.RenewalRequested, nil)
	s.renewal.RecordLoss(time.Now())
	s.pool.markActive(s)
}

// logCallsAtRisk logs the calls whose ends may be sent on a connection that is being abandoned.
func (s *server) logCallsAtRisk() {
	if !endlog.Enabled(s.pool.Log) {
		return
	}
	for id := range s.pool.core.EstablishedAt(s.ID) {
		endlog.Call(s.pool.Log, endlog.EndUncertain, id, endlog.Server(s.ID))
	}
}

// requestRepeats requests new connections, one after the other, for as long as the dispatcher may send ends on a connection that is no
// longer read.
func (s *server) requestRepeats(now time.Time) {
	if s.mayHoldUnreadConn(now) && s.hasEndsAtRisk() {
		s.renewal.RequestPeriodic(now)
	}
}

// mayHoldUnreadConn reports whether the dispatcher may still hold an abandoned connection open; a working one closes it soon.
func (s *server) mayHoldUnreadConn(now time.Time) bool {
	return s.renewal.HasUnreadConnection() || slices.ContainsFunc(s.abandoned, func(c *connection) bool { return now.Sub(c.since) > responseTimeout })
}

// hasEndsAtRisk reports whether a call is established whose own connection has closed: its end may come on any other connection.
func (s *server) hasEndsAtRisk() bool {
	for id := range s.pool.core.EstablishedAt(s.ID) {
		if answeredOn := s.established[id]; answeredOn == nil || answeredOn.closed {
			return true
		}
	}
	return false
}

// renew opens the requested connection when it is due. If the dispatcher has the maximum number of connections, an idle one is closed
// first. If all have open set-ups, one of them gets no more set-ups while another is healthy.
func (s *server) renew(now time.Time) {
	if !s.renewal.Due(now) || s.dialing || !s.reachable(now) {
		return
	}
	if len(s.conns) >= s.pool.maxConns {
		idle := slices.IndexFunc(s.conns, func(c *connection) bool { return c.openSetUps() == 0 })
		if idle < 0 {
			s.startVacating()
			return // until a connection is idle
		}
		s.vacating = nil
		s.conns[idle].halfClose(conn.ErrClosedLocally)
	}
	if s.connect(); s.dialing {
		s.logStep(endlog.RenewalStarted, nil)
	}
}

// startVacating selects the connection with the fewest open set-ups to get no more of them, unless one is selected already.
func (s *server) startVacating() {
	if !slices.Contains(s.conns, s.vacating) {
		s.vacating = slices.MinFunc(s.conns, func(a, b *connection) int {
			return cmp.Compare(a.openSetUps(), b.openSetUps())
		})
	}
}

// isVacating reports whether the connection is to be replaced by the requested one. Set-ups are then sent on other healthy connections.
func (s *server) isVacating(c *connection) bool { return c == s.vacating && s.renewal.Pending() }

// renewalFailed handles a failed dial for the requested connection. While calls are established, dials continue at the pace of the
// dispatcher's backoff.
func (s *server) renewalFailed() {
	if s.renewal.Pending() {
		s.logStep(endlog.RenewalFailed, nil)
	}
	if s.pool.core.EstablishedCount(s.ID) == 0 {
		s.renewal.Cancel()
	}
}
