package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestAnAttemptThatWaitedFollowsTheReleaseOfItsCall guards against a release that ends the next attempt of its call, which waited for a
// connection and was sent on a faster one.
func TestAnAttemptThatWaitedFollowsTheReleaseOfItsCall(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{}, func(h *harness) {
		time.Sleep(suspectAfter)
		h.runOnLoop(func() {
			h.calls[testCallID] = &callRecord{}
			h.pool.Release("first", testCallID, call.CauseNormal)
			h.pool.SetUp("first", attemptOf(testCallID, 1))
			if len(h.pool.servers["first"].waiting) != 1 {
				t.Error("the attempt does not wait for a connection")
			}
			h.first.openConns[0].sendReport() // the connection with the release receives input again
		})
		time.Sleep(time.Second)
		h.runOnLoop(func() {
			conns := h.pool.servers["first"].conns
			i := slices.IndexFunc(conns, func(poolConn *connection) bool { return poolConn.setUps[testCallID] != nil })
			if len(conns) != 2 || i < 0 {
				t.Errorf("the attempt is on connection %d of %d, want 2 of them", i, len(conns))
			} else if !conns[i].hasUnconfirmedRelease(testCallID) {
				t.Error("the attempt went out on another connection than the release of its call")
			}
		})
	})
}
