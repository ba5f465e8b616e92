package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestAnAttemptThatWaitedFollowsTheReleaseOfItsCall guards against a release that cuts the next attempt of its call, which waited for a connection
// and went out on a faster one.
func TestAnAttemptThatWaitedFollowsTheReleaseOfItsCall(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{}, func(s *orderSite) {
		time.Sleep(silence)
		s.do(func() {
			s.calls[orderedID] = &orderedCall{}
			s.pool.Release("first", orderedID, call.CauseNormal)
			s.pool.SetUp("first", attemptOf(orderedID, 1))
			if len(s.pool.servers["first"].waiting) != 1 {
				t.Error("the attempt does not wait for a connection")
			}
			s.first.connections[0].reports() // the one with the release is heard from again
		})
		time.Sleep(time.Second)
		s.do(func() {
			links := s.pool.servers["first"].links
			i := slices.IndexFunc(links, func(l *link) bool { return l.invites[orderedID] != nil })
			if len(links) != 2 || i < 0 {
				t.Errorf("the attempt is on connection %d of %d, want 2 of them", i, len(links))
			} else if !links[i].releases(orderedID) {
				t.Error("the attempt went out on another connection than the release of its call")
			}
		})
	})
}
