package dispatchers

import (
	"testing"

	"cherryrelay/internal/call"
)

// TestAnAttemptAvoidsTheConnectionOfACancelledAttempt guards against a late answer to a cancelled attempt that is taken for the answer to
// the next one because a release of their call directs both to the same connection.
func TestAnAttemptAvoidsTheConnectionOfACancelledAttempt(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{}, func(s *harness) {
		s.runOnLoop(func() {
			s.calls[testCallID], s.calls[otherCallID] = &callRecord{}, &callRecord{}
			s.pool.SetUp("first", attemptOf(otherCallID, 0))
			s.pool.SetUp("first", attemptOf(testCallID, 0))
		})
		s.runOnLoop(func() { s.pool.CancelAttempt("first", testCallID, 0) })
		s.runOnLoop(func() {
			c := s.first.allConns[0]
			c.inTransit = nil // the cancelled attempt has no final answer yet
			s.first.sendFinalAnswerOn(c, otherCallID, 486)
			c.deliverToPool()
			s.pool.Release("first", testCallID, call.CauseNormal)
			s.pool.SetUp("first", attemptOf(testCallID, 1))
			poolConn := s.pool.servers["first"].conns[0]
			if i := poolConn.setUps[testCallID]; !poolConn.hasUnconfirmedRelease(testCallID) || i == nil || i.attempt != 0 {
				t.Errorf("the first connection has the release: %v, and the set-up %+v; want the set-up of attempt 0",
					poolConn.hasUnconfirmedRelease(testCallID), i)
			}
		})
	})
}
