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

// trim closes connections beyond the limit, as far as no set-up is open on them. A call that stands needs none of its own.
func (s *server) trim() {
	for _, l := range slices.Clone(s.links) {
		if len(s.links) <= s.pool.links {
			return
		}
		if l.open() == 0 {
			s.letGo(l)
		}
	}
}

// letGo gives up a connection that has nothing to do. An end may be on its way there, and its dispatcher may reset it in the moment in
// which it closes: while calls stand, another connection brings what has been told since.
func (s *server) letGo(l *link) {
	reason := conn.ErrClosedHere
	if s.pool.core.EstablishedCount(s.ID) > 0 {
		reason = errDead
	}
	l.retire(reason)
}

// server is one dispatcher and the connections to it.
type server struct {
	call.Server
	pool         *Pool
	links        []*link
	renewal      links.Renewal // of connections, for ends that may have been lost
	vacated      *link         // to make room for one, if one is due; nil if none is
	givenUp      []*link       // that are still read; MaxConnections at most
	dialing      bool
	backoff      links.Backoff
	waiting      []waiting
	heardAt      time.Time
	answered     time.Time // when the latest set-up was sent that has an answer
	answeredAt   time.Time // when a call last came to stand here
	dialTimedOut bool      // the last connection tried did not come up in time
	refuses      bool      // the last connection tried was refused
	probedAt     time.Time // when a probe was sent to see whether it lives; zero for never
	replaced     bool      // another dispatcher has its address now
	releases     []release
	process      int                  // counts the processes that have run under its name
	standing     map[string]*lifetime // of the connection on which the set-up was answered, for each call that stands
	early        map[string]earlyRelease
	demand       links.Demand

	active       bool      // it is looked at with the next check
	queued       bool      // it is in the queue of those that no call needs
	due          time.Time // there
	starved      bool      // room is being made for a connection
	withoutSince time.Time // when it last came to have no open connection
	generation   int       // counts how often it did
}

// waiting is an attempt for which there is no connection yet.
type waiting struct {
	call.SetUp
	since, until time.Time
}

// due is the set-up as it is to be sent by now; not ok if its time has passed. What it tells its dispatcher is how long the
// controller will wait: told the whole limit, the dispatcher would still have it out when the controller has given it up,
// and the next attempt would come before the end of the guard.
func (w *waiting) due(now time.Time) (a call.SetUp, ok bool) {
	a = w.SetUp
	a.Timeout -= max(now.Sub(w.since), 0)
	return a, a.Timeout > 0
}

// expire tells of attempts that no connection came up for: they never ran.
func (s *server) expire(now time.Time) {
	for len(s.waiting) > 0 && (now.After(s.waiting[0].until) || now.IsZero()) {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.pool.core.AttemptEnded(s.ID, w.ID, w.Attempt, control.Unreachable, false, nil)
	}
}

// gone reports whether nothing is to be expected of a dispatcher any more: its place is another's, or it is off the list. One
// that people left out, and whose calls may go on, is kept until they have ended.
func (s *server) gone() bool {
	return s.replaced || s.Status == control.Removed && !(s.CallsContinue && s.pool.core.EstablishedCount(s.ID) > 0)
}

// wanted is how many connections there should be.
func (s *server) wanted(now time.Time) int {
	return s.demand.Target(now, s.oldestUnheard(now), s.pool.links)
}

// oldestUnheard is the age of the oldest open set-up since which nothing has come on its connection.
func (s *server) oldestUnheard(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, l := range s.links {
		for _, i := range l.invites {
			if i.withdrawn.IsZero() && l.heardAt.Before(i.sentAt) {
				oldest = max(oldest, now.Sub(i.sentAt))
			}
		}
	}
	return oldest
}

// holds reports whether a dispatcher has anything to say: set-ups are open at it, or calls stand.
func (s *server) holds() bool { return s.openSetUps() > 0 || s.pool.standingAt(s.ID, time.Now()) > 0 }

func (s *server) openSetUps() int {
	n := 0
	for _, l := range s.links {
		n += l.open()
	}
	return n
}

// serve sends what has waited for a connection. Releases go first: a set-up under the same id is not to be ended by one.
func (s *server) serve(l *link) {
	if !s.serveReleases(l) {
		return
	}
	waited := s.waiting
	s.waiting = nil
	for _, w := range waited {
		if a, ok := w.due(time.Now()); ok {
			s.behindRelease(a.ID, l).setUp(a)
		} else {
			s.pool.core.AttemptEnded(s.ID, w.ID, w.Attempt, control.Unreachable, false, nil)
		}
	}
}

// drop gives up all connections, ends what was under way, and releases what stood. The dispatcher may live, and not listen any more: what it
// still says is taken for a while. Where no connection is open, releases wait for one.
func (s *server) drop(reason error) {
	heard := s.best()
	pending := s.takeReleases()
	if len(s.links)+len(pending) > 0 {
		s.log(endlog.Dropped, reason)
	}
	for _, l := range slices.Clone(s.links) {
		if len(l.invites) > 0 || l == heard && len(pending) > 0 {
			l.drain(reason)
			continue
		}
		l.conn.Close(reason)
		l.Closed(reason)
	}
	if heard != nil {
		for _, r := range pending {
			heard.release(r)
		}
	} else {
		s.releases = append(s.releases, pending...)
	}
	s.expire(time.Time{})
	s.renewal.SetUnreadConnection(false)
	clear(s.standing)
}

// best is the connection that was heard from last.
func (s *server) best() *link {
	var best *link
	for _, l := range s.links {
		if l.ready() && l.partial.IsZero() && (best == nil || l.heardAt.After(best.heardAt)) {
			best = l
		}
	}
	return best
}

// least is the connection for a set-up: the one with the fewest, so that little is lost with any. An attempt does not
// follow an earlier one of its call on the same connection, where a late answer to that could be taken for its own.
func (s *server) least(id string) *link {
	var least *link
	now := time.Now()
	for i, l := range s.links {
		if !l.ready() || !l.partial.IsZero() || l.invites[id] != nil || i >= s.pool.links { // beyond those, one is to go
			continue
		}
		if least == nil || s.compareForSetUp(l, least, now) < 0 {
			least = l
		}
	}
	return least
}

// compareForSetUp orders connections by how well one more set-up goes on them, the best first: healthy ones, and of these first those that make no
// room for another.
func (s *server) compareForSetUp(a, b *link, now time.Time) int {
	switch {
	case a.healthy(now) != b.healthy(now):
		return boolOrder(b.healthy(now), a.healthy(now))
	case s.vacates(a) != s.vacates(b):
		return boolOrder(s.vacates(a), s.vacates(b))
	}
	return cmp.Compare(a.load(), b.load())
}

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// room reports whether one more connection may be opened. One that has long been silent and has nothing to do makes room.
func (s *server) room(now time.Time) bool {
	if len(s.links) < s.pool.links {
		return true
	}
	for _, l := range s.links {
		if l.open() == 0 && !l.healthy(now) {
			l.retire(conn.ErrClosedHere)
			return true
		}
	}
	return false
}
