package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/control"
)

// settleTime is long enough for the dispatcher to be checked again while nothing else happens.
const settleTime = 3 * time.Second

// addressTaken returns a step in which the list gives the address of the first dispatcher to another one.
func addressTaken() scenarioStep {
	return newStep("the list has another dispatcher at its address", settleTime, (*harness).listReplacement)
}

// expectNotEnded returns a step that fails if the end of the call was reported.
func expectNotEnded() scenarioStep {
	return newStep("its end is not reported", 0, func(h *harness) {
		if h.calls[testCallID].ends > 0 {
			h.violation("the end of a call was reported that its dispatcher still holds")
		}
	})
}

// resetAll returns a step in which all connections to the first dispatcher are reset while it keeps the call.
func resetAll() scenarioStep {
	return newStep("all connections are reset", time.Second, func(h *harness) {
		for _, c := range slices.Clone(h.first.openConns) {
			c.reset()
		}
		h.first.ambiguous[testCallID] = true // the controller can't know that its process still runs
	})
}

// TestCallsOfAReplacedDispatcherContinue guards against established calls that are ended because the list gives the address of their
// dispatcher to another one while a connection to the former is open.
func TestCallsOfAReplacedDispatcherContinue(t *testing.T) {
	t.Parallel()
	for name, steps := range map[string][]scenarioStep{
		"the connection of the call is open": {addressTaken(), expectNotEnded()},
		"another connection is open":         slices.Concat(stepsFor("Hdt"), []scenarioStep{addressTaken(), expectNotEnded()}),
		"the list has it at its address": slices.Concat([]scenarioStep{resetAll()},
			[]scenarioStep{waitStep('-', settleTime), expectNotEnded()}),
		"it is off the list, and no other has its address": slices.Concat([]scenarioStep{resetAll()}, stepsFor("x"),
			[]scenarioStep{waitStep('-', settleTime), expectNotEnded()}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reportingCall.playWithoutViolation(t, steps)
		})
	}
}

// TestAnOrphanedCallIsReleased guards against a call that is reported as ended while its dispatcher keeps it: all connections to the
// dispatcher were reset, and the list gives its address to another one.
func TestAnOrphanedCallIsReleased(t *testing.T) {
	t.Parallel()
	reportingCall.playWithoutViolation(t, []scenarioStep{resetAll(), addressTaken(), endReportedAndReleased()})
}

// TestCallsEndWhenTheListReplacesTheirDispatcher guards against the end of a call that is reported late because its dispatcher stopped
// and connections to another one at its address were opened under its name.
func TestCallsEndWhenTheListReplacesTheirDispatcher(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2, established: true, reportsPeriodically: true}, func(h *harness) {
		h.setUpCall(testCallID)
		h.runOnLoop(func() { h.first.sendFinalAnswer(testCallID, 200); h.deliverAll() })
		time.Sleep(time.Second)
		h.runOnLoop(h.deliverAll)
		h.runOnLoop(h.replaceFirst)
		time.Sleep(time.Second)
		h.runOnLoop(h.listReplacement)
		time.Sleep(3 * checkInterval)
		h.runOnLoop(func() {
			if c := h.calls[testCallID]; c.answers != 1 || c.ends != 1 || len(h.pool.servers["first"].established) != 0 {
				t.Errorf("%d answers, %d ends, %d entries of calls; want 1, 1, 0", c.answers, c.ends, len(h.pool.servers["first"].established))
			}
			if h.pool.servers["other"].Status != control.Active {
				t.Error("the other dispatcher is not active")
			}
		})
	})
}
