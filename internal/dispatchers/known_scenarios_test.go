package dispatchers

import (
	"slices"
	"testing"
)

// TestALostAnswerBesideTheNextAttemptIsReleased guards against a call that its dispatcher keeps and nobody releases: its answer was lost
// with its connection while the next attempt, which failed, was in progress there.
func TestALostAnswerBesideTheNextAttemptIsReleased(t *testing.T) {
	t.Parallel()
	playScenarios(t, map[string]scenario{"the answer of an earlier attempt is lost": {initialState{conns: 2}, "aom"}})
}

// reportingCall has a call established at a dispatcher with two connections, which sends reports.
var reportingCall = initialState{established: true, conns: 2, reportsPeriodically: true}

// TestAnEndOnAConnectionClosedForInvalidInputIsReported guards against the lost end of a call whose connection was closed here for
// invalid input while its dispatcher was paused: the dispatcher sends the end there when it continues, after the connection that replaces
// it has opened.
func TestAnEndOnAConnectionClosedForInvalidInputIsReported(t *testing.T) {
	t.Parallel()
	invalidInput := newStep("invalid input arrives on the call's connection", 0, func(h *harness) {
		h.withConnectionOf(testCallID, func(*fakeConn) bool { return true }, func(c *fakeConn) {
			c.send([]byte("noise\r\n\r\n"))
			c.deliverToPool()
		})
	})
	reportingCall.playWithoutViolation(t, slices.Concat(stepsFor("z"), []scenarioStep{invalidInput}, stepsFor("tAe")))
}

// TestCallsOfADispatcherWhoseAddressIsTakenEnd guards against calls that never end: their dispatcher stopped, and connections to another
// one at its address were opened under its name before the list changed.
func TestCallsOfADispatcherWhoseAddressIsTakenEnd(t *testing.T) {
	t.Parallel()
	replaces := newStep("another dispatcher starts at its address", 0, func(h *harness) {
		h.first.stop()
		other := newFakeDispatcher(h)
		other.startReporting(h.network.loop)
		h.network.dispatchers["first"] = other
	})
	listed := newStep("the list contains the other dispatcher", 0, (*harness).listReplacement)
	reportingCall.playWithoutViolation(t, slices.Concat([]scenarioStep{replaces}, stepsFor("t"), []scenarioStep{listed}))
}
