package dispatchers

import (
	"slices"
	"testing"
	"time"
)

// establishedAfterLostAttempt returns the steps by which the answer and the end of a first attempt are lost with its connection, and the
// next attempt establishes the call. The end of the first attempt is still to be repeated on the next connection.
func establishedAfterLostAttempt() []scenarioStep {
	return slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)}, stepsFor("ad"))
}

// endReportedAndReleased returns a step that fails unless the caller was notified of the end of its call and the dispatcher no longer
// holds it.
func endReportedAndReleased() scenarioStep {
	return newStep("its end is reported, and its dispatcher has released it", 0, func(h *harness) {
		if _, holds := h.first.established[testCallID]; holds || h.calls[testCallID].ends != 1 {
			h.violation("%d ends were reported, held by its dispatcher: %v; want 1, false", h.calls[testCallID].ends, holds)
		}
	})
}

// TestAnEndAfterTheAnswerWithoutAReplyReleasesTheCall guards against a call that is reported as ended while its dispatcher keeps it: the
// end may be that of a lost attempt, and nothing is received on the connection of the answer that shows which.
func TestAnEndAfterTheAnswerWithoutAReplyReleasesTheCall(t *testing.T) {
	t.Parallel()
	for name, steps := range map[string][]scenarioStep{
		"nothing reaches the dispatcher on its connection": slices.Concat(stepsFor("i"), []scenarioStep{waitStep('-', 2*time.Second)}),
		"its connection is closed before the end":          slices.Concat(stepsFor("Hd"), []scenarioStep{waitStep('-', 2*time.Second)}),
		"its connection is closed after the end": slices.Concat(stepsFor("i"), []scenarioStep{waitStep('-', 500*time.Millisecond)},
			stepsFor("Hd")),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttemptState.playWithoutViolation(t, slices.Concat(establishedAfterLostAttempt(), steps, []scenarioStep{endReportedAndReleased()}))
		})
	}
}

// TestTheRepeatedEndOfALostAttemptDoesNotEndTheEstablishedCall guards against a call that is ended while it is established: the end of a
// lost attempt is read after the answer to the next one, and again on the next connection.
func TestTheRepeatedEndOfALostAttemptDoesNotEndTheEstablishedCall(t *testing.T) {
	t.Parallel()
	resetAndEnded := newStep("the oldest connection is reset, and the call ends before it is released", 0, func(h *harness) {
		h.first.openConns[0].reset()
		h.endCall(h.first, testCallID)
	})
	start := lostAttemptState
	start.endsOnNewest = false
	start.playWithoutViolation(t, slices.Concat(stepsFor("a"), []scenarioStep{resetAndEnded, waitStep('-', nextAttemptDelay)},
		stepsFor("aDdd"), expectNoEnd(2*time.Second)))
}

// TestTheEndOfACallAfterTheEndOfALostAttemptIsReported guards against the lost end of a call after the end of an earlier attempt was
// read.
func TestTheEndOfACallAfterTheEndOfALostAttemptIsReported(t *testing.T) {
	t.Parallel()
	for name, steps := range map[string][]scenarioStep{
		"on its own connection":                   stepsFor("e"),
		"when its own connection is closed":       stepsFor("He"),
		"when its own connection is reset":        slices.Concat(stepsFor("r"), stepsFor("e")),
		"lost with its own connection by a reset": stepsFor("er"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttemptState.playWithoutViolation(t, slices.Concat(establishedAfterLostAttempt(), expectNoEnd(2*time.Second), steps))
		})
	}
}
