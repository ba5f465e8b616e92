package dispatchers

import (
	"slices"
	"testing"
)

// TestAnEndOnAHalfClosedConnectionClosedForInvalidInputIsReported guards against the untold end of a call whose connection was given up as dead and then closed
// here, for noise, while its dispatcher stood still: that tells the end there as it goes on, after the connection that replaces it has come up.
func TestAnEndOnAHalfClosedConnectionClosedForInvalidInputIsReported(t *testing.T) {
	t.Parallel()
	invalidInput := newStep("noise comes on the call's connection, which brings something again", 0, func(s *harness) {
		s.withConnectionOf(testCallID, func(*fakeConn) bool { return true }, func(c *fakeConn) {
			c.blockedToPool = false
			c.send([]byte("noise\r\n\r\n"))
			c.deliverToPool()
		})
	})
	reportingCall.playWithoutViolation(t, slices.Concat(stepsFor("ioqz"), []scenarioStep{invalidInput}, stepsFor("tAe")))
}
