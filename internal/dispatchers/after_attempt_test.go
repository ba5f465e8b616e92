package dispatchers

import (
	"testing"

	"cherryrelay/internal/call"
)

// TestAnAttemptDoesNotFollowAReleaseToWhereAnEarlierOneWas guards against a late answer to a withdrawn attempt that is taken for that of the next one,
// as a release of their call has both go out on the same connection.
func TestAnAttemptDoesNotFollowAReleaseToWhereAnEarlierOneWas(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{}, func(s *orderSite) {
		s.do(func() {
			s.calls[orderedID], s.calls[otherID] = &orderedCall{}, &orderedCall{}
			s.pool.SetUp("first", attemptOf(otherID, 0))
			s.pool.SetUp("first", attemptOf(orderedID, 0))
		})
		s.do(func() { s.pool.CancelAttempt("first", orderedID, 0) })
		s.do(func() {
			c := s.first.all[0]
			c.flight = nil // the withdrawn attempt has no final answer yet
			s.first.finalAnswerOn(c, otherID, 486)
			c.deliver()
			s.pool.Release("first", orderedID, call.CauseNormal)
			s.pool.SetUp("first", attemptOf(orderedID, 1))
			l := s.pool.servers["first"].links[0]
			if i := l.invites[orderedID]; !l.releases(orderedID) || i == nil || i.attempt != 0 {
				t.Errorf("the first connection has the release: %v, and the set-up %+v; want that of attempt 0", l.releases(orderedID), i)
			}
		})
	})
}
