package dispatchers

import (
	"slices"
	"testing"
	"time"
)

// establishedAfterLostAttempt are the events by which the answer and the end of a first attempt are lost with its connection, and the call stands by the next
// one. The end of the first attempt is to be told again on the next connection.
func establishedAfterLostAttempt() []scenarioStep {
	return slices.Concat(stepsFor("aer"), []scenarioStep{waitStep('-', nextAttemptDelay)}, stepsFor("ad"))
}

// endReportedAndReleased is an event after which the caller must have been told the end of its call, and its dispatcher must not hold it.
func endReportedAndReleased() scenarioStep {
	return newStep("its caller and its dispatcher know that it is over", 0, func(s *harness) {
		if _, holds := s.first.established[testCallID]; holds || s.calls[testCallID].ends != 1 {
			s.violation("%d ends are told, held by its dispatcher: %v", s.calls[testCallID].ends, holds)
		}
	})
}

// TestAnEndAfterTheAnswerWithoutAReplyReleasesTheCall guards against a call that is told as over and that its dispatcher goes on to hold: the end may be
// that of a lost attempt, and nothing comes on the connection of the answer that tells.
func TestAnEndAfterTheAnswerWithoutAReplyReleasesTheCall(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]scenarioStep{
		"nothing reaches the dispatcher there": slices.Concat(stepsFor("i"), []scenarioStep{waitStep('-', 2*time.Second)}),
		"it is closed before":                  slices.Concat(stepsFor("Hd"), []scenarioStep{waitStep('-', 2*time.Second)}),
		"it is closed behind":                  slices.Concat(stepsFor("i"), []scenarioStep{waitStep('-', 500*time.Millisecond)}, stepsFor("Hd")),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttemptState.playWithoutViolation(t, slices.Concat(establishedAfterLostAttempt(), order, []scenarioStep{endReportedAndReleased()}))
		})
	}
}

// TestTheRepeatedEndOfALostAttemptDoesNotEndTheEstablishedCall guards against a call that is cut as it stands: the end of a lost attempt is read behind the
// answer to the next one, and once more on the next connection.
func TestTheRepeatedEndOfALostAttemptDoesNotEndTheEstablishedCall(t *testing.T) {
	t.Parallel()
	resetAndEnded := newStep("the oldest connection is reset, and the call ends before it is released", 0, func(s *harness) {
		s.first.openConns[0].reset()
		s.endCall(s.first, testCallID)
	})
	start := lostAttemptState
	start.endsOnNewest = false
	start.playWithoutViolation(t, slices.Concat(stepsFor("a"), []scenarioStep{resetAndEnded, waitStep('-', nextAttemptDelay)}, stepsFor("aDdd"), expectNoEnd(2*time.Second)))
}

// TestTheEndOfACallAfterTheEndOfALostAttemptIsReported guards against the untold end of a call, of which an earlier attempt's end has been read.
func TestTheEndOfACallAfterTheEndOfALostAttemptIsReported(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]scenarioStep{
		"on its own connection":               stepsFor("e"),
		"as its own connection is closed":     stepsFor("He"),
		"as its own connection is reset":      slices.Concat(stepsFor("r"), stepsFor("e")),
		"with its own connection, by a reset": stepsFor("er"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttemptState.playWithoutViolation(t, slices.Concat(establishedAfterLostAttempt(), expectNoEnd(2*time.Second), order))
		})
	}
}
