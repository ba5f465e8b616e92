package dispatchers

import (
	"iter"
	"maps"
	"slices"
	"time"

	"cherryrelay/internal/conn"
)

// doubt notes calls whose ends may be told on a connection that was given up, unless the dispatcher closes that soon.
func (s *server) doubt(calls iter.Seq[string]) {
	if len(s.doubtful) == 0 {
		s.doubtful, s.doubtAt = map[string]bool{}, time.Now().Add(closesWithin)
	}
	for id := range calls {
		s.doubtful[id] = true
	}
}

// doubtItsCalls doubts the calls that were answered on a connection that ends, if their dispatcher may hold one that is dead for open: their ends
// are told on any that it takes for open.
func (l *link) doubtItsCalls() {
	s := l.server
	if !s.neverClosed {
		return
	}
	s.doubt(func(yield func(string) bool) {
		for id, answered := range s.standing {
			if answered == l.lifetime && !yield(id) {
				return
			}
		}
	})
	s.unclosed = s.unclosed || len(s.doubtful) > 0
}

// settleDoubts opens new connections, one at a time, for the ends of calls in doubt, for as long as one of them stands. Once the
// dispatcher has closed all that was given up, it tells them elsewhere by itself. Those that it told on one that it closed late, after the next
// one had come up, may have gone with it: it tells them once more.
func (s *server) settleDoubts(now time.Time) {
	if len(s.doubtful) == 0 || now.Before(s.doubtAt) {
		return
	}
	if len(s.givenUp) == 0 && !s.unclosed && !s.renewOnce {
		s.doubtful = nil
		return
	}
	s.renewOnce = false
	standing := map[string]bool{}
	for id := range s.pool.core.StandAt(s.ID) {
		standing[id] = s.doubtful[id]
	}
	maps.DeleteFunc(s.doubtful, func(id string, _ bool) bool { return !standing[id] })
	if len(s.doubtful) == 0 {
		s.unclosed = false
		return
	}
	s.pool.Renew(s.ID)
	s.doubtAt = now.Add(tellAgain)
}

// renew does what Renew asked for.
func (s *server) renew(now time.Time) {
	if s.renewAt.IsZero() || now.Before(s.renewAt) || s.dialing {
		return
	}
	if len(s.links) >= s.pool.links {
		idle := slices.IndexFunc(s.links, func(l *link) bool { return l.open() == 0 })
		if idle < 0 {
			return // later
		}
		s.links[idle].retire(conn.ErrClosedHere)
	}
	if s.connect(); s.dialing {
		s.renewAt, s.renewing = time.Time{}, true
	}
}

// renewalFailed has a renewal tried again whose dial failed, while calls stand: their ends may be told on the next connection alone. The
// dispatcher's backoff sets the pace.
func (s *server) renewalFailed() {
	if !s.renewing {
		return
	}
	s.renewing = false
	if s.pool.core.Standing(s.ID) > 0 {
		s.pool.Renew(s.ID)
	}
}
