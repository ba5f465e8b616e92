package dispatchers

import (
	"slices"
	"testing"
)

// TestALostAnswerBesideTheNextAttemptIsReleased guards against a call that its dispatcher holds and nobody releases: its answer went down with its
// connection while the next attempt was out there, which came to nothing.
func TestALostAnswerBesideTheNextAttemptIsReleased(t *testing.T) {
	t.Parallel()
	playScenarios(t, map[string]scenario{"the answer of an earlier attempt is lost": {initialState{conns: 2}, "aom"}})
}

// reportingCall is a call that stands at a dispatcher with two connections, which speaks on.
var reportingCall = initialState{established: true, conns: 2, reportsPeriodically: true}

// TestAnEndOnAConnectionClosedForInvalidInputIsReported guards against the untold end of a call whose connection was closed here, for noise, while its dispatcher
// stood still: that tells the end there as it goes on, after the connection that replaces it has come up.
func TestAnEndOnAConnectionClosedForInvalidInputIsReported(t *testing.T) {
	t.Parallel()
	invalidInput := newStep("noise comes on the call's connection", 0, func(s *harness) {
		s.withConnectionOf(testCallID, func(*fakeConn) bool { return true }, func(c *fakeConn) {
			c.send([]byte("noise\r\n\r\n"))
			c.deliverToPool()
		})
	})
	reportingCall.playWithoutViolation(t, slices.Concat(stepsFor("z"), []scenarioStep{invalidInput}, stepsFor("tAe")))
}

// TestCallsOfADispatcherWhoseAddressIsTakenEnd guards against calls that stand for good: their dispatcher died, and another one at its address was
// connected to under its name before the list told.
func TestCallsOfADispatcherWhoseAddressIsTakenEnd(t *testing.T) {
	t.Parallel()
	replaces := newStep("another dispatcher takes its place", 0, func(s *harness) {
		s.first.die()
		other := newFakeDispatcher(s)
		other.startReporting(s.network.loop)
		s.network.dispatchers["first"] = other
	})
	listed := newStep("the list tells so", 0, (*harness).listReplacement)
	reportingCall.playWithoutViolation(t, slices.Concat([]scenarioStep{replaces}, stepsFor("t"), []scenarioStep{listed}))
}
