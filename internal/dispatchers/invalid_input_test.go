package dispatchers

import (
	"slices"
	"testing"
)

// TestAnEndOnAHalfClosedConnectionClosedForInvalidInputIsReported guards against the lost end of a call whose connection was half-closed
// as unresponsive, and then closed here for invalid input while its dispatcher was paused: the dispatcher sends the end there when it
// continues, after the connection that replaces it has opened.
func TestAnEndOnAHalfClosedConnectionClosedForInvalidInputIsReported(t *testing.T) {
	t.Parallel()
	invalidInput := newStep("invalid input arrives on the call's connection, which delivers again", 0, func(h *harness) {
		h.withConnectionOf(testCallID, func(*fakeConn) bool { return true }, func(c *fakeConn) {
			c.blockedToPool = false
			c.send([]byte("noise\r\n\r\n"))
			c.deliverToPool()
		})
	})
	reportingCall.playWithoutViolation(t, slices.Concat(stepsFor("ioqz"), []scenarioStep{invalidInput}, stepsFor("tAe")))
}
