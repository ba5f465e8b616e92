package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/control"
)

// settleTime is a time in which the dispatcher is looked at again, and nothing else happens.
const settleTime = 3 * time.Second

// addressTaken is an event in which the list tells that another dispatcher has the address of the first one.
func addressTaken() scenarioStep {
	return newStep("the list tells of another dispatcher at its address", settleTime, (*harness).listReplacement)
}

// expectNotEnded is an event after which the call must not have been told as over.
func expectNotEnded() scenarioStep {
	return newStep("its end is not told", 0, func(s *harness) {
		if s.calls[testCallID].ends > 0 {
			s.violation("a call is told as over that its dispatcher holds")
		}
	})
}

// resetAll is an event in which all connections to the first dispatcher are reset, and it holds the call on.
func resetAll() scenarioStep {
	return newStep("all connections are reset", time.Second, func(s *harness) {
		for _, c := range slices.Clone(s.first.openConns) {
			c.reset()
		}
		s.first.ambiguous[testCallID] = true // nobody can tell that its process lives
	})
}

// TestCallsOfAReplacedDispatcherContinue guards against calls that are cut as they stand: the list tells that another dispatcher has the
// address, while a connection of the one that holds them is open.
func TestCallsOfAReplacedDispatcherContinue(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]scenarioStep{
		"the connection of the call is open":    {addressTaken(), expectNotEnded()},
		"another one is open":                   slices.Concat(stepsFor("Hdt"), []scenarioStep{addressTaken(), expectNotEnded()}),
		"it is at its address, by the list":     slices.Concat([]scenarioStep{resetAll()}, []scenarioStep{waitStep('-', settleTime), expectNotEnded()}),
		"it is off the list, and has its place": slices.Concat([]scenarioStep{resetAll()}, stepsFor("x"), []scenarioStep{waitStep('-', settleTime), expectNotEnded()}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reportingCall.playWithoutViolation(t, order)
		})
	}
}

// TestAnOrphanedCallIsReleased guards against a call that is told as cut and that its dispatcher goes on to hold: all connections to it were
// reset, and the list tells that another one has its address.
func TestAnOrphanedCallIsReleased(t *testing.T) {
	t.Parallel()
	reportingCall.playWithoutViolation(t, []scenarioStep{resetAll(), addressTaken(), endReportedAndReleased()})
}

// TestCallsEndWhenTheListReplacesTheirDispatcher guards against the end of a call that is told late, as its dispatcher died and another one
// at its address was connected to under its name.
func TestCallsEndWhenTheListReplacesTheirDispatcher(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2, established: true, reportsPeriodically: true}, func(s *harness) {
		s.setUpCall(testCallID)
		s.runOnLoop(func() { s.first.sendFinalAnswer(testCallID, 200); s.deliverAll() })
		time.Sleep(time.Second)
		s.runOnLoop(s.deliverAll)
		s.runOnLoop(s.replaceFirst)
		time.Sleep(time.Second)
		s.runOnLoop(s.listReplacement)
		time.Sleep(3 * checkInterval)
		s.runOnLoop(func() {
			if c := s.calls[testCallID]; c.answers != 1 || c.ends != 1 || len(s.pool.servers["first"].established) != 0 {
				t.Errorf("%d answers, %d ends, %d entries of calls; want 1, 1, 0", c.answers, c.ends, len(s.pool.servers["first"].established))
			}
			if s.pool.servers["other"].Status != control.Active {
				t.Error("the other dispatcher is not in use")
			}
		})
	})
}
