package dispatchers

import "testing"

// TestAnEndOnAConnectionThatIsAbandonedLate guards against an end that is reported more than 8 s late because the connection that it was
// lost on is found unresponsive late, and the next one is opened later still.
func TestAnEndOnAConnectionThatIsAbandonedLate(t *testing.T) {
	t.Parallel()
	const reportPeriod = silenceThreshold - checkInterval // no connection is opened because of silence
	var dead *fakeConn
	order := []scenarioStep{newStep("the call ends, and its connection is dead", reportPeriod, func(s *harness) {
		dead = s.first.established[testCallID]
		dead.blockedToPool = true
		s.endCall(s.first, testCallID)
	})}
	for range 3 {
		order = append(order, newStep("another connection brings a report", reportPeriod, func(s *harness) {
			for _, c := range s.first.openConns {
				if c != dead {
					c.sendReport()
					return
				}
			}
		}))
	}
	initialState{established: true, conns: 2}.playWithoutViolation(t, order)
}
