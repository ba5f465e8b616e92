package dispatchers

import (
	"cmp"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/decide/links"
	"cherryrelay/internal/endlog"
)

// closeExcess closes connections beyond the limit that have no open set-ups. An established call needs no connection of its own.
func (s *server) closeExcess() {
	for _, c := range slices.Clone(s.conns) {
		if len(s.conns) <= s.pool.maxConns {
			return
		}
		if c.openSetUps() == 0 {
			s.closeIdle(c)
		}
	}
}

// closeIdle half-closes an idle connection. An end may be in transit there, and the dispatcher may reset the connection while it closes.
// If calls are established, another connection is therefore opened, on which the dispatcher repeats the ends sent since.
func (s *server) closeIdle(c *connection) {
	reason := conn.ErrClosedLocally
	if s.pool.core.EstablishedCount(s.ID) > 0 {
		reason = errUnresponsive
	}
	c.halfClose(reason)
}

// server is one dispatcher and the connections to it.
type server struct {
	call.Server
	pool             *Pool
	conns            []*connection
	renewal          links.Renewal // requests new connections for ends that may have been lost
	vacating         *connection   // connection to be replaced by a requested one, or nil
	abandoned        []*connection // abandoned connections that are still read; at most MaxConnections
	dialing          bool
	backoff          links.Backoff
	waiting          []waitingSetUp
	lastReceivedAt   time.Time
	answeredSentAt   time.Time // when the latest set-up that has an answer was sent
	establishedAt    time.Time // when a call was last established here
	lastDialTimedOut bool      // whether the last dial timed out
	lastDialRefused  bool      // whether the last dial was refused
	probedAt         time.Time // when a probe was sent to check whether it responds; zero if none was
	replaced         bool      // another dispatcher has the address now
	releases         []release
	process          int                  // number of processes that have run under its name
	established      map[string]*lifetime // for each established call, the connection on which the answer was received
	deferredReleases map[string]deferredRelease
	demand           links.Demand

	active            bool      // visited in the next check
	dialQueued        bool      // in the queue of dials that no call needs
	dialDueAt         time.Time // when that dial is due
	awaitsSocket      bool      // waits for an evicted connection to end
	disconnectedSince time.Time // when it last lost its last open connection

	processes      []*remoteProcess // the processes that connections lead to, in the order in which they were connected to
	firstProcess   *remoteProcess   // the first of them since the dispatcher last restarted, or nil
	dialTimedOutAt time.Time        // when a dial last timed out
}

// waitingSetUp is an attempt that waits for a connection.
type waitingSetUp struct {
	call.SetUp
	queuedAt, deadline time.Time
}

// withTimeLeft returns the set-up with the time that is left; ok is false if none is. The timeout sent to the dispatcher is how long the
// controller will still wait. With the full timeout, the dispatcher would still work on the set-up when the controller has cancelled it,
// and the next attempt would be made before the end of the guard.
func (w *waitingSetUp) withTimeLeft(now time.Time) (a call.SetUp, ok bool) {
	a = w.SetUp
	a.Timeout -= max(now.Sub(w.queuedAt), 0)
	return a, a.Timeout > 0
}

// failExpired reports the attempts for which no connection opened in time as unreachable, or all of them if now is zero.
func (s *server) failExpired(now time.Time) {
	for len(s.waiting) > 0 && (now.After(s.waiting[0].deadline) || now.IsZero()) {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.pool.core.AttemptEnded(s.ID, w.ID, w.Attempt, control.Unreachable, false, nil)
	}
}

// obsolete reports whether the entry of the dispatcher is no longer in use: another dispatcher has its address, or it is off the list. A
// dispatcher that was taken off the list by an operator and whose calls may continue is kept until they have ended.
func (s *server) obsolete() bool {
	return s.replaced || s.Status == control.Removed && !(s.CallsContinue && s.pool.core.EstablishedCount(s.ID) > 0)
}

// wantedConns returns the target number of connections.
func (s *server) wantedConns(now time.Time) int {
	return s.demand.Target(now, s.oldestWithoutInput(now), s.pool.maxConns)
}

// oldestWithoutInput returns the age of the oldest open set-up since which its connection has received nothing.
func (s *server) oldestWithoutInput(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, c := range s.conns {
		for _, setUp := range c.setUps {
			if setUp.cancelledAt.IsZero() && c.lastReceivedAt.Before(setUp.sentAt) {
				oldest = max(oldest, now.Sub(setUp.sentAt))
			}
		}
	}
	return oldest
}

// hasCalls reports whether set-ups are open or calls are established at the dispatcher.
func (s *server) hasCalls() bool {
	return s.openSetUps() > 0 || s.pool.establishedCount(s.ID, time.Now()) > 0
}

func (s *server) openSetUps() int {
	n := 0
	for _, c := range s.conns {
		n += c.openSetUps()
	}
	return n
}

// sendWaiting sends what waits for a connection. Releases go first, so that none ends a later set-up with the same id.
func (s *server) sendWaiting(c *connection) {
	if !s.sendReleases(c) {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		if a, ok := w.withTimeLeft(time.Now()); ok {
			s.connAfterRelease(a.ID, c).setUp(a)
		} else {
			s.pool.core.AttemptEnded(s.ID, w.ID, w.Attempt, control.Unreachable, false, nil)
		}
	}
}

// disconnect abandons all connections, fails the open attempts and releases the established calls. The dispatcher may still run without
// listening: its connections are read for a while longer. If no connection is open, the releases wait for one.
func (s *server) disconnect(reason error) {
	s.abandonAll(reason, slices.Sorted(s.pool.core.EstablishedAt(s.ID)))
}

// abandonAll is like disconnect, but releases the given established calls only.
func (s *server) abandonAll(reason error, established []string) {
	latest := s.latestConn()
	toRelease := s.collectReleases(established)
	if len(s.conns)+len(toRelease) > 0 {
		s.logGivenUp(reason, len(toRelease))
		s.logStep(endlog.AllConnectionsAbandoned, reason)
	}
	for _, c := range slices.Clone(s.conns) {
		if len(c.setUps) > 0 || c == latest && len(toRelease) > 0 {
			c.drain(reason)
			continue
		}
		c.conn.Close(reason)
		c.Closed(reason)
	}
	if latest != nil {
		for _, r := range toRelease {
			latest.sendRelease(r)
		}
	} else {
		s.releases = append(s.releases, toRelease...)
	}
	s.failExpired(time.Time{})
	s.renewal.SetUnreadConnection(false)
	clear(s.established)
}

// latestConn returns the ready connection with the latest input, or nil.
func (s *server) latestConn() *connection {
	var best *connection
	for _, c := range s.conns {
		if c.ready() && c.incompleteSince.IsZero() && (best == nil || c.lastReceivedAt.After(best.lastReceivedAt)) {
			best = c
		}
	}
	return best
}

// leastLoaded returns the connection for a set-up: the one with the lowest load, so that few set-ups are lost with any connection. An
// attempt is not sent on the connection of an earlier attempt of its call, where a late answer to that one could be taken for its own.
func (s *server) leastLoaded(id string) *connection {
	var least *connection
	now := time.Now()
	for i, c := range s.conns {
		if !c.ready() || !c.incompleteSince.IsZero() || c.setUps[id] != nil || i >= s.pool.maxConns { // connections beyond the limit are to be closed
			continue
		}
		if least == nil || s.compareForSetUp(c, least, now) < 0 {
			least = c
		}
	}
	return least
}

// compareForSetUp orders connections by their suitability for one more set-up, best first: healthy ones before others, and of these,
// those that are not to be replaced before the one that is.
func (s *server) compareForSetUp(a, b *connection, now time.Time) int {
	switch {
	case a.healthy(now) != b.healthy(now):
		return compareBool(b.healthy(now), a.healthy(now))
	case s.isVacating(a) != s.isVacating(b):
		return compareBool(s.isVacating(a), s.isVacating(b))
	}
	return cmp.Compare(a.load(), b.load())
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// ensureCapacity reports whether one more connection may be opened. At the limit, it half-closes an idle connection without input for
// long.
func (s *server) ensureCapacity(now time.Time) bool {
	if len(s.conns) < s.pool.maxConns {
		return true
	}
	for _, c := range s.conns {
		if c.openSetUps() == 0 && !c.healthy(now) {
			c.halfClose(conn.ErrClosedLocally)
			return true
		}
	}
	return false
}
