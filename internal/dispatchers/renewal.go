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

// losesEnds reports whether ends of calls may be lost with the connection as it ends for the reason, whether it was open until now or given
// up before.
func (l *link) losesEnds(reason error) bool {
	switch {
	case l.state == linkClosed, l.closedInOrder, inOrder(reason):
		return false
	case errors.Is(reason, conn.ErrClosedHere):
		return l.givenUp()
	}
	return true
}

// wantRenewal asks for a connection on which the ends are repeated that were told until now.
func (s *server) wantRenewal() {
	s.log(endlog.RenewalAsked, nil)
	s.renewal.Request(time.Now())
	s.pool.touch(s)
}

// noteLostEnds takes in that ends which were told until now may have been lost.
func (s *server) noteLostEnds() {
	s.log(endlog.RenewalAsked, nil)
	s.renewal.RecordLoss(time.Now())
	s.pool.touch(s)
}

// logEndsInDoubt logs the calls whose ends may be told on a connection that is being given up.
func (s *server) logEndsInDoubt() {
	if !endlog.Enabled(s.pool.Log) {
		return
	}
	for id := range s.pool.core.EstablishedAt(s.ID) {
		endlog.Call(s.pool.Log, endlog.InDoubt, id, endlog.Server(s.ID))
	}
}

// repeatEnds has ends repeated on new connections, one after the other, for as long as the dispatcher may tell them on one that is not read
// any more.
func (s *server) repeatEnds(now time.Time) {
	if s.holdsUnread(now) && s.hasEndsAtRisk() {
		s.renewal.RequestPeriodic(now)
	}
}

// holdsUnread reports whether the dispatcher may hold a connection for open that was given up: one that lives closes it soon.
func (s *server) holdsUnread(now time.Time) bool {
	return s.renewal.HasUnreadConnection() || slices.ContainsFunc(s.givenUp, func(l *link) bool { return now.Sub(l.since) > closesWithin })
}

// hasEndsAtRisk reports whether a call stands whose own connection is open no more: its end may come on any other.
func (s *server) hasEndsAtRisk() bool {
	for id := range s.pool.core.EstablishedAt(s.ID) {
		if answered := s.standing[id]; answered == nil || answered.over {
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
	if len(s.links) >= s.pool.links {
		idle := slices.IndexFunc(s.links, func(l *link) bool { return l.open() == 0 })
		if idle < 0 {
			s.vacate()
			return // once it has nothing to do
		}
		s.vacated = nil
		s.links[idle].retire(conn.ErrClosedHere)
	}
	if s.connect(); s.dialing {
		s.log(endlog.RenewalBegun, nil)
	}
}

// vacate has the connection with the fewest open set-ups given no more of them, unless another makes room already.
func (s *server) vacate() {
	if !slices.Contains(s.links, s.vacated) {
		s.vacated = slices.MinFunc(s.links, func(a, b *link) int { return cmp.Compare(a.open(), b.open()) })
	}
}

// vacates reports whether the connection is to make room for one that is due: set-ups go out on others that are healthy.
func (s *server) vacates(l *link) bool { return l == s.vacated && s.renewal.Pending() }

// renewalFailed takes in that a dial has failed. While calls stand it is dialled again, at the pace of the dispatcher's backoff.
func (s *server) renewalFailed() {
	if s.renewal.Pending() {
		s.log(endlog.RenewalFailed, nil)
	}
	if s.pool.core.EstablishedCount(s.ID) == 0 {
		s.renewal.Cancel()
	}
}
