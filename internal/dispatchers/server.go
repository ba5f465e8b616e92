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

// closeExcess closes connections beyond the limit, as far as no set-up is open on them. A call that stands needs none of its own.
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

// closeIdle gives up a connection that has nothing to do. An end may be on its way there, and its dispatcher may reset it in the moment in
// which it closes: while calls stand, another connection brings what has been told since.
func (s *server) closeIdle(c *connection) {
	reason := conn.ErrClosedHere
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
	renewal          links.Renewal // of connections, for ends that may have been lost
	vacating         *connection   // to make room for one, if one is due; nil if none is
	abandoned        []*connection // that are still read; MaxConnections at most
	dialing          bool
	backoff          links.Backoff
	waiting          []waitingSetUp
	lastReceivedAt   time.Time
	answeredSentAt   time.Time // when the latest set-up was sent that has an answer
	establishedAt    time.Time // when a call last came to stand here
	lastDialTimedOut bool      // the last connection tried did not come up in time
	lastDialRefused  bool      // the last connection tried was refused
	probedAt         time.Time // when a probe was sent to see whether it lives; zero for never
	replaced         bool      // another dispatcher has its address now
	releases         []release
	process          int                  // counts the processes that have run under its name
	established      map[string]*lifetime // of the connection on which the set-up was answered, for each call that stands
	deferredReleases map[string]deferredRelease
	demand           links.Demand

	active            bool      // it is looked at with the next check
	dialQueued        bool      // it is in the queue of those that no call needs
	dialDueAt         time.Time // there
	awaitsSocket      bool      // room is being made for a connection
	disconnectedSince time.Time // when it last came to have no open connection
	generation        int       // counts how often it did
}

// waitingSetUp is an attempt for which there is no connection yet.
type waitingSetUp struct {
	call.SetUp
	queuedAt, deadline time.Time
}

// withTimeLeft is the set-up as it is to be sent by now; not ok if its time has passed. What it tells its dispatcher is how long the
// controller will wait: told the whole limit, the dispatcher would still have it out when the controller has given it up,
// and the next attempt would come before the end of the guard.
func (w *waitingSetUp) withTimeLeft(now time.Time) (a call.SetUp, ok bool) {
	a = w.SetUp
	a.Timeout -= max(now.Sub(w.queuedAt), 0)
	return a, a.Timeout > 0
}

// failExpired tells of attempts that no connection came up for: they never ran.
func (s *server) failExpired(now time.Time) {
	for len(s.waiting) > 0 && (now.After(s.waiting[0].deadline) || now.IsZero()) {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.pool.core.AttemptEnded(s.ID, w.ID, w.Attempt, control.Unreachable, false, nil)
	}
}

// obsolete reports whether nothing is to be expected of a dispatcher any more: its place is another's, or it is off the list. One
// that people left out, and whose calls may go on, is kept until they have ended.
func (s *server) obsolete() bool {
	return s.replaced || s.Status == control.Removed && !(s.CallsContinue && s.pool.core.EstablishedCount(s.ID) > 0)
}

// wantedConns is how many connections there should be.
func (s *server) wantedConns(now time.Time) int {
	return s.demand.Target(now, s.oldestWithoutInput(now), s.pool.maxConns)
}

// oldestWithoutInput is the age of the oldest open set-up since which nothing has come on its connection.
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

// hasCalls reports whether a dispatcher has anything to say: set-ups are open at it, or calls stand.
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

// sendWaiting sends what has waited for a connection. Releases go first: a set-up under the same id is not to be ended by one.
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

// disconnect gives up all connections, ends what was under way, and releases what stood. The dispatcher may live, and not listen any more: what it
// still says is taken for a while. Where no connection is open, releases wait for one.
func (s *server) disconnect(reason error) {
	latest := s.latestConn()
	toRelease := s.collectReleases()
	if len(s.conns)+len(toRelease) > 0 {
		s.logStep(endlog.Dropped, reason)
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

// latestConn is the connection that was heard from last.
func (s *server) latestConn() *connection {
	var best *connection
	for _, c := range s.conns {
		if c.ready() && c.incompleteSince.IsZero() && (best == nil || c.lastReceivedAt.After(best.lastReceivedAt)) {
			best = c
		}
	}
	return best
}

// leastLoaded is the connection for a set-up: the one with the fewest, so that little is lost with any. An attempt does not
// follow an earlier one of its call on the same connection, where a late answer to that could be taken for its own.
func (s *server) leastLoaded(id string) *connection {
	var least *connection
	now := time.Now()
	for i, c := range s.conns {
		if !c.ready() || !c.incompleteSince.IsZero() || c.setUps[id] != nil || i >= s.pool.maxConns { // beyond those, one is to go
			continue
		}
		if least == nil || s.compareForSetUp(c, least, now) < 0 {
			least = c
		}
	}
	return least
}

// compareForSetUp orders connections by how well one more set-up goes on them, the best first: healthy ones, and of these first those that make no
// room for another.
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

// ensureCapacity reports whether one more connection may be opened. One that has long been silent and has nothing to do makes room.
func (s *server) ensureCapacity(now time.Time) bool {
	if len(s.conns) < s.pool.maxConns {
		return true
	}
	for _, c := range s.conns {
		if c.openSetUps() == 0 && !c.healthy(now) {
			c.halfClose(conn.ErrClosedHere)
			return true
		}
	}
	return false
}
