package dispatchers

import (
	"maps"
	"slices"
	"time"
)

// deferredRelease is a release that came on the connection of an earlier attempt while that of the attempt that stands, or may as its answer is read, was
// open here. Its dispatcher may have closed the latter, and the close not have been read yet: then it is the end of the call that stands.
type deferredRelease struct {
	cause       int
	report      []float64
	receivedAt  time.Time
	awaitsClose *lifetime // the connection that its dispatcher may have closed
}

// laterAttemptConn is the connection of a later attempt than the given one, whose call a release on this connection ends if its dispatcher has closed that;
// nil if there is none.
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

// deliverDeferred ends the calls that stood on a connection that its dispatcher has closed, and whose releases were read before the close.
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
