package dispatchers

import (
	"maps"
	"slices"
	"time"
)

// deferredRelease is a release that was received on the connection of an earlier attempt, while the connection of the established
// attempt, or of one that may be established once its answer is read, was open here. The dispatcher may have closed the latter connection
// without that being read yet; the release is then the end of the established call.
type deferredRelease struct {
	cause       int
	report      []float64
	receivedAt  time.Time
	awaitsClose *lifetime // the connection that the dispatcher may have closed
}

// laterAttemptConn returns the connection of a later attempt than the given one, if there is one. A release on this connection ends the
// call of that attempt if the dispatcher has closed that connection.
func (c *connection) laterAttemptConn(id string, attempt int) *lifetime {
	if attempt == noAttempt {
		return nil
	}
	if answeredOn := c.server.established[id]; answeredOn != nil {
		if answeredOn == c.lifetime {
			return nil
		}
		return answeredOn
	}
	for _, o := range c.server.conns {
		if setUp := o.writtenSetUp(id); setUp != nil && setUp.attempt > attempt && setUp.cancelledAt.IsZero() {
			return o.lifetime
		}
	}
	return nil
}

// deferRelease keeps a release for responseTimeout.
func (s *server) deferRelease(id string, r deferredRelease) {
	if s.deferredReleases == nil {
		s.deferredReleases = map[string]deferredRelease{}
	}
	maps.DeleteFunc(s.deferredReleases, func(_ string, o deferredRelease) bool { return r.receivedAt.Sub(o.receivedAt) > responseTimeout })
	s.deferredReleases[id] = r
}

// deliverDeferred ends the calls whose connection the dispatcher has closed and whose releases were read before the close.
func (s *server) deliverDeferred(closed *lifetime) {
	for _, id := range slices.Sorted(maps.Keys(s.deferredReleases)) {
		r := s.deferredReleases[id]
		if s.established[id] != closed || r.awaitsClose != closed {
			continue
		}
		delete(s.deferredReleases, id)
		if time.Since(r.receivedAt) > responseTimeout {
			continue
		}
		delete(s.established, id)
		s.pool.core.Released(s.ID, id, noAttempt, r.cause, r.report)
	}
}
