package dispatchers

import (
	"maps"
	"slices"
	"time"
)

// earlyRelease is a release that came on the connection of an earlier attempt while that of the attempt that stands, or may as its answer is read, was
// open here. Its dispatcher may have closed the latter, and the close not have been read yet: then it is the end of the call that stands.
type earlyRelease struct {
	cause  int
	report []float64
	at     time.Time
	awaits *lifetime // the connection that its dispatcher may have closed
}

// awaitsClose is the connection of a later attempt than the given one, whose call a release on this connection ends if its dispatcher has closed that;
// nil if there is none.
func (l *link) awaitsClose(id string, attempt int) *lifetime {
	if attempt == noAttempt {
		return nil
	}
	if answered := l.server.standing[id]; answered != nil {
		if answered == l.lifetime {
			return nil
		}
		return answered
	}
	for _, o := range l.server.links {
		if i := o.invitedWith(id); i != nil && i.attempt > attempt && i.withdrawn.IsZero() {
			return o.lifetime
		}
	}
	return nil
}

// keepEarly keeps a release for closesWithin.
func (s *server) keepEarly(id string, r earlyRelease) {
	if s.early == nil {
		s.early = map[string]earlyRelease{}
	}
	maps.DeleteFunc(s.early, func(_ string, o earlyRelease) bool { return r.at.Sub(o.at) > closesWithin })
	s.early[id] = r
}

// tellEarly ends the calls that stood on a connection that its dispatcher has closed, and whose releases were read before the close.
func (s *server) tellEarly(closed *lifetime) {
	for _, id := range slices.Sorted(maps.Keys(s.early)) {
		r := s.early[id]
		if s.standing[id] != closed || r.awaits != closed {
			continue
		}
		delete(s.early, id)
		if time.Since(r.at) > closesWithin {
			continue
		}
		delete(s.standing, id)
		s.pool.core.Released(s.ID, id, noAttempt, r.cause, r.report)
	}
}
