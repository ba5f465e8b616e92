package dispatchers

import "testing"

// TestAnEndOnAConnectionThatIsAbandonedLate guards against an end that is reported more than 8 s late because the connection that it was
// lost on is found unresponsive late, and the next one is opened later still.
func TestAnEndOnAConnectionThatIsAbandonedLate(t *testing.T) {
	t.Parallel()
	const reportPeriod = suspectAfter - checkInterval // no connection is opened for lack of input
	var stalled *fakeConn
	steps := []scenarioStep{newStep("the call ends, and its connection is unresponsive", reportPeriod, func(h *harness) {
		stalled = h.first.established[testCallID]
		stalled.blockedToPool = true
		h.endCall(h.first, testCallID)
	})}
	for range 3 {
		steps = append(steps, newStep("another connection brings a report", reportPeriod, func(h *harness) {
			for _, c := range h.first.openConns {
				if c != stalled {
					c.sendReport()
					return
				}
			}
		}))
	}
	initialState{established: true, conns: 2}.playWithoutViolation(t, steps)
}
