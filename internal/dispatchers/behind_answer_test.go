package dispatchers

import (
	"slices"
	"testing"
	"time"
)

// standsAfterLostAttempt are the events by which the answer and the end of a first attempt are lost with its connection, and the call stands by the next
// one. The end of the first attempt is to be told again on the next connection.
func standsAfterLostAttempt() []orderEvent {
	return slices.Concat(spelledOrder("aer"), []orderEvent{passes('-', nextIsOut)}, spelledOrder("ad"))
}

// bothKnowItIsOver is an event after which the caller must have been told the end of its call, and its dispatcher must not hold it.
func bothKnowItIsOver() orderEvent {
	return event("its caller and its dispatcher know that it is over", 0, func(s *orderSite) {
		if _, holds := s.first.established[orderedID]; holds || s.calls[orderedID].overs != 1 {
			s.fault("%d ends are told, held by its dispatcher: %v", s.calls[orderedID].overs, holds)
		}
	})
}

// TestAnEndBehindTheAnswerWithoutAReplyReleasesTheCall guards against a call that is told as over and that its dispatcher goes on to hold: the end may be
// that of a lost attempt, and nothing comes on the connection of the answer that tells.
func TestAnEndBehindTheAnswerWithoutAReplyReleasesTheCall(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]orderEvent{
		"nothing reaches the dispatcher there": slices.Concat(spelledOrder("i"), []orderEvent{passes('-', 2*time.Second)}),
		"it is closed before":                  slices.Concat(spelledOrder("Hd"), []orderEvent{passes('-', 2*time.Second)}),
		"it is closed behind":                  slices.Concat(spelledOrder("i"), []orderEvent{passes('-', 500*time.Millisecond)}, spelledOrder("Hd")),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttempt.playWithoutFault(t, slices.Concat(standsAfterLostAttempt(), order, []orderEvent{bothKnowItIsOver()}))
		})
	}
}

// TestTheRepeatedEndOfALostAttemptLeavesTheCallThatStands guards against a call that is cut as it stands: the end of a lost attempt is read behind the
// answer to the next one, and once more on the next connection.
func TestTheRepeatedEndOfALostAttemptLeavesTheCallThatStands(t *testing.T) {
	t.Parallel()
	lostAndEnded := event("the oldest connection is reset, and the call ends before it is released", 0, func(s *orderSite) {
		s.first.connections[0].reset()
		s.end(s.first, orderedID)
	})
	start := lostAttempt
	start.newest = false
	start.playWithoutFault(t, slices.Concat(spelledOrder("a"), []orderEvent{lostAndEnded, passes('-', nextIsOut)}, spelledOrder("aDdd"), notTold(2*time.Second)))
}

// TestTheEndOfACallAfterTheEndOfALostAttemptIsTold guards against the untold end of a call, of which an earlier attempt's end has been read.
func TestTheEndOfACallAfterTheEndOfALostAttemptIsTold(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]orderEvent{
		"on its own connection":               spelledOrder("e"),
		"as its own connection is closed":     spelledOrder("He"),
		"as its own connection is reset":      slices.Concat(spelledOrder("r"), spelledOrder("e")),
		"with its own connection, by a reset": spelledOrder("er"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttempt.playWithoutFault(t, slices.Concat(standsAfterLostAttempt(), notTold(2*time.Second), order))
		})
	}
}
