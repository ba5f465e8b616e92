package dispatchers

import (
	"slices"
	"testing"
	"time"
)

// lostAttemptState has a dispatcher with three connections, with the first attempt of a call in progress on the oldest. It sends ends on
// its newest connection.
var lostAttemptState = initialState{conns: 3, reportsPeriodically: true, endsOnNewest: true}

// nextAttemptDelay is the time after which the next attempt was made while the next connection has not opened yet.
const nextAttemptDelay = 100 * time.Millisecond

// TestAnEndAheadOfItsAnswerAfterALostAttemptIsReported guards against the lost end of a call whose connection was closed by its
// dispatcher: the end is read on another connection before the answer, and an earlier attempt was lost with its connection or cancelled.
func TestAnEndAheadOfItsAnswerAfterALostAttemptIsReported(t *testing.T) {
	t.Parallel()
	cancelled := lostAttemptState
	cancelled.suspect, cancelled.endsOnNewest = true, false
	playScenarios(t, map[string]scenario{
		"the attempt was lost":      {lostAttemptState, "rtaHeD"},
		"the attempt was cancelled": {cancelled, "TaHedd"},
	})
}

// expectNoEnd returns steps in which time passes and that fail if the caller was notified of the end of its call.
func expectNoEnd(within time.Duration) []scenarioStep {
	return []scenarioStep{waitStep('-', within), newStep("its end is not reported yet", 0, func(h *harness) {
		if h.calls[testCallID].ends > 0 {
			h.violation("the end of an earlier attempt was reported as that of the call")
		}
	})}
}

// TestTheEndOfALostAttemptDoesNotEndTheNextOne guards against a call that is ended while it is established: the end of an earlier
// attempt, whose answer was lost with its connection, is read while the next attempt at the same dispatcher is in progress.
func TestTheEndOfALostAttemptDoesNotEndTheNextOne(t *testing.T) {
	t.Parallel()
	for name, steps := range map[string][]scenarioStep{
		"the next attempt is answered later": slices.Concat(stepsFor("aerta"), expectNoEnd(2*time.Second)),
		"the answer to the next attempt is in transit": slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)},
			stepsFor("a"), expectNoEnd(2*time.Second)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttemptState.playWithoutViolation(t, steps)
		})
	}
}

// TestAnAmbiguousEndWithoutAReplyReleasesTheCall guards against a call that is reported as ended while its dispatcher keeps it: the end
// is ambiguous, and nothing reaches the dispatcher on the connection of the attempt.
func TestAnAmbiguousEndWithoutAReplyReleasesTheCall(t *testing.T) {
	t.Parallel()
	reportedAndReleased := newStep("its end is reported, and the dispatcher has released it", 0, func(h *harness) {
		_, holds := h.first.established[testCallID]
		if h.calls[testCallID].ends != 1 || holds {
			h.violation("%d ends were reported a second after one was read, held by its dispatcher: %v; want 1, false", h.calls[testCallID].ends, holds)
		}
	})
	lostAttemptState.playWithoutViolation(t, slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)}, stepsFor("ia"),
		[]scenarioStep{waitStep('-', releaseTimeout), reportedAndReleased}))
}

// TestTheEndOfALostAttemptDoesNotEndTheEstablishedCall guards against a call that is ended while it is established, and that its
// dispatcher keeps: the end of an earlier attempt, whose answer was lost with its connection, is read on another connection after the
// answer to the next attempt.
func TestTheEndOfALostAttemptDoesNotEndTheEstablishedCall(t *testing.T) {
	t.Parallel()
	lostAttemptState.playWithoutViolation(t,
		slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)}, stepsFor("ad"), expectNoEnd(2*time.Second)))
}
