package dispatchers

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
)

// Connections that are opened for the ends of calls that may have been lost with another one.

// mayLoseEnds reports whether ends of calls may be lost with the connection as it ends for the reason, whether it was open until now or given
// up before.
func (c *connection) mayLoseEnds(reason error) bool {
	switch {
	case c.state == connClosed, c.closedCleanly, isCleanClose(reason):
		return false
	case errors.Is(reason, conn.ErrClosedHere):
		return c.isAbandoned()
	}
	return true
}

// requestRenewal asks for a connection on which the ends are repeated that were told until now.
func (s *server) requestRenewal() {
	s.logStep(endlog.RenewalAsked, nil)
	s.renewal.Request(time.Now())
	s.pool.markActive(s)
}

// recordLostEnds takes in that ends which were told until now may have been lost.
func (s *server) recordLostEnds() {
	s.logStep(endlog.RenewalAsked, nil)
	s.renewal.RecordLoss(time.Now())
	s.pool.markActive(s)
}

// logCallsAtRisk logs the calls whose ends may be told on a connection that is being given up.
func (s *server) logCallsAtRisk() {
	if !endlog.Enabled(s.pool.Log) {
		return
	}
	for id := range s.pool.core.EstablishedAt(s.ID) {
		endlog.Call(s.pool.Log, endlog.InDoubt, id, endlog.Server(s.ID))
	}
}

// requestRepeats has ends repeated on new connections, one after the other, for as long as the dispatcher may tell them on one that is not read
// any more.
func (s *server) requestRepeats(now time.Time) {
	if s.mayHoldUnreadConn(now) && s.hasEndsAtRisk() {
		s.renewal.RequestPeriodic(now)
	}
}

// mayHoldUnreadConn reports whether the dispatcher may hold a connection for open that was given up: one that lives closes it soon.
func (s *server) mayHoldUnreadConn(now time.Time) bool {
	return s.renewal.HasUnreadConnection() || slices.ContainsFunc(s.abandoned, func(c *connection) bool { return now.Sub(c.stateSince) > responseTimeout })
}

// hasEndsAtRisk reports whether a call stands whose own connection is open no more: its end may come on any other.
func (s *server) hasEndsAtRisk() bool {
	for id := range s.pool.core.EstablishedAt(s.ID) {
		if answeredOn := s.established[id]; answeredOn == nil || answeredOn.closed {
			return true
		}
	}
	return false
}

// renew opens the connection that is due. Where there are as many as there may be, one that has nothing to do makes room. If each has set-ups
// open, one is given no more of them while another is healthy.
func (s *server) renew(now time.Time) {
	if !s.renewal.Due(now) || s.dialing || !s.reachable(now) {
		return
	}
	if len(s.conns) >= s.pool.maxConns {
		idle := slices.IndexFunc(s.conns, func(c *connection) bool { return c.openSetUps() == 0 })
		if idle < 0 {
			s.startVacating()
			return // once it has nothing to do
		}
		s.vacating = nil
		s.conns[idle].halfClose(conn.ErrClosedHere)
	}
	if s.connect(); s.dialing {
		s.logStep(endlog.RenewalBegun, nil)
	}
}

// startVacating has the connection with the fewest open set-ups given no more of them, unless another makes room already.
func (s *server) startVacating() {
	if !slices.Contains(s.conns, s.vacating) {
		s.vacating = slices.MinFunc(s.conns, func(a, b *connection) int { return cmp.Compare(a.openSetUps(), b.openSetUps()) })
	}
}

// isVacating reports whether the connection is to make room for one that is due: set-ups go out on others that are healthy.
func (s *server) isVacating(c *connection) bool { return c == s.vacating && s.renewal.Pending() }

// renewalFailed takes in that a dial has failed. While calls stand it is dialled again, at the pace of the dispatcher's backoff.
func (s *server) renewalFailed() {
	if s.renewal.Pending() {
		s.logStep(endlog.RenewalFailed, nil)
	}
	if s.pool.core.EstablishedCount(s.ID) == 0 {
		s.renewal.Cancel()
	}
}
