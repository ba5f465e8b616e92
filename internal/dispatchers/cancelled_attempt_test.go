package dispatchers

import (
	"testing"

	"cherryrelay/internal/call"
)

// TestAnAttemptAvoidsTheConnectionOfACancelledAttempt guards against a late answer to a cancelled attempt that is taken for the answer to
// the next one because a release of their call directs both to the same connection.
func TestAnAttemptAvoidsTheConnectionOfACancelledAttempt(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{}, func(h *harness) {
		h.runOnLoop(func() {
			h.calls[testCallID], h.calls[otherCallID] = &callRecord{}, &callRecord{}
			h.pool.SetUp("first", attemptOf(otherCallID, 0))
			h.pool.SetUp("first", attemptOf(testCallID, 0))
		})
		h.runOnLoop(func() { h.pool.CancelAttempt("first", testCallID, 0) })
		h.runOnLoop(func() {
			c := h.first.allConns[0]
			c.inTransit = nil // the cancelled attempt has no final answer yet
			h.first.sendFinalAnswerOn(c, otherCallID, 486)
			c.deliverToPool()
			h.pool.Release("first", testCallID, call.CauseNormal)
			h.pool.SetUp("first", attemptOf(testCallID, 1))
			poolConn := h.pool.servers["first"].conns[0]
			if setUp := poolConn.setUps[testCallID]; !poolConn.hasUnconfirmedRelease(testCallID) || setUp == nil || setUp.attempt != 0 {
				t.Errorf("the first connection has the release: %v, and the set-up %+v; want the set-up of attempt 0",
					poolConn.hasUnconfirmedRelease(testCallID), setUp)
			}
		})
	})
}
