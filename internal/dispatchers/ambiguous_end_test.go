package dispatchers

import (
	"slices"
	"testing"
	"time"
)

// lostAttemptState is a dispatcher with three connections, on the oldest of which the first attempt of a call is out. It tells ends on its newest one.
var lostAttemptState = initialState{conns: 3, reportsPeriodically: true, endsOnNewest: true}

// nextAttemptDelay is when the next attempt is out, and the next connection has not opened yet.
const nextAttemptDelay = 100 * time.Millisecond

// TestAnEndAheadOfItsAnswerAfterALostAttemptIsReported guards against the untold end of a call whose connection its dispatcher closed, and which is read on
// another one ahead of its answer, where an earlier attempt was lost with its connection or withdrawn.
func TestAnEndAheadOfItsAnswerAfterALostAttemptIsReported(t *testing.T) {
	t.Parallel()
	withdrawn := lostAttemptState
	withdrawn.suspect, withdrawn.endsOnNewest = true, false
	playScenarios(t, map[string]scenario{
		"the attempt was lost":      {lostAttemptState, "rtaHeD"},
		"the attempt was withdrawn": {withdrawn, "TaHedd"},
	})
}

// expectNoEnd is an event in which time passes, after which the caller must not have been told the end of its call.
func expectNoEnd(within time.Duration) []scenarioStep {
	return []scenarioStep{waitStep('-', within), newStep("its end is not told yet", 0, func(s *harness) {
		if s.calls[testCallID].ends > 0 {
			s.violation("the end of an earlier attempt is told as that of the call")
		}
	})}
}

// TestTheEndOfALostAttemptDoesNotEndTheNextOne guards against a call that is cut as it stands: the end of an earlier attempt, whose answer was lost with its
// connection, is read while the next attempt at the same dispatcher is out.
func TestTheEndOfALostAttemptDoesNotEndTheNextOne(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]scenarioStep{
		"the next attempt is answered later":           slices.Concat(stepsFor("aerta"), expectNoEnd(2*time.Second)),
		"the answer to the next attempt is on its way": slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)}, stepsFor("a"), expectNoEnd(2*time.Second)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttemptState.playWithoutViolation(t, order)
		})
	}
}

// TestAnAmbiguousEndWithoutAReplyReleasesTheCall guards against a call that is told as over and that its dispatcher goes on to hold, as nobody can tell
// whose the end is: nothing reaches the dispatcher on the connection of the attempt.
func TestAnAmbiguousEndWithoutAReplyReleasesTheCall(t *testing.T) {
	t.Parallel()
	reportedAndReleased := newStep("its end is told, and the dispatcher has released it", 0, func(s *harness) {
		_, holds := s.first.established[testCallID]
		if s.calls[testCallID].ends != 1 || holds {
			s.violation("%d ends are told a second after one was read, held by its dispatcher: %v", s.calls[testCallID].ends, holds)
		}
	})
	lostAttemptState.playWithoutViolation(t, slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)}, stepsFor("ia"),
		[]scenarioStep{waitStep('-', releaseTimeout), reportedAndReleased}))
}

// TestTheEndOfALostAttemptDoesNotEndTheEstablishedCall guards against a call that is cut as it stands, and that its dispatcher goes on to hold: the end of an
// earlier attempt, whose answer was lost with its connection, is read on another one behind the answer to the next attempt.
func TestTheEndOfALostAttemptDoesNotEndTheEstablishedCall(t *testing.T) {
	t.Parallel()
	lostAttemptState.playWithoutViolation(t, slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)}, stepsFor("ad"), expectNoEnd(2*time.Second)))
}
