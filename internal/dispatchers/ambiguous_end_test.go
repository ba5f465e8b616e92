package dispatchers

import (
	"slices"
	"testing"
	"time"
)

// lostAttempt is a dispatcher with three connections, on the oldest of which the first attempt of a call is out. It tells ends on its newest one.
var lostAttempt = orderStart{links: 3, chats: true, newest: true}

// nextIsOut is when the next attempt is out, and the next connection has not opened yet.
const nextIsOut = 100 * time.Millisecond

// TestAnEndAheadOfItsAnswerWhereAnAttemptWasLostIsTold guards against the untold end of a call whose connection its dispatcher closed, and which is read on
// another one ahead of its answer, where an earlier attempt was lost with its connection or withdrawn.
func TestAnEndAheadOfItsAnswerWhereAnAttemptWasLostIsTold(t *testing.T) {
	t.Parallel()
	withdrawn := lostAttempt
	withdrawn.doubted, withdrawn.newest = true, false
	playNamed(t, map[string]namedOrder{
		"the attempt was lost":      {lostAttempt, "rtaHeD"},
		"the attempt was withdrawn": {withdrawn, "TaHedd"},
	})
}

// notTold is an event in which time passes, after which the caller must not have been told the end of its call.
func notTold(within time.Duration) []orderEvent {
	return []orderEvent{passes('-', within), event("its end is not told yet", 0, func(s *orderSite) {
		if s.calls[orderedID].overs > 0 {
			s.fault("the end of an earlier attempt is told as that of the call")
		}
	})}
}

// TestTheEndOfALostAttemptLeavesTheNextOne guards against a call that is cut as it stands: the end of an earlier attempt, whose answer was lost with its
// connection, is read while the next attempt at the same dispatcher is out.
func TestTheEndOfALostAttemptLeavesTheNextOne(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]orderEvent{
		"the next attempt is answered later":           slices.Concat(spelledOrder("aerta"), notTold(2*time.Second)),
		"the answer to the next attempt is on its way": slices.Concat(spelledOrder("aer"), []orderEvent{passes('-', nextIsOut)}, spelledOrder("a"), notTold(2*time.Second)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lostAttempt.playWithoutFault(t, order)
		})
	}
}

// TestAnAmbiguousEndWithoutAReplyReleasesTheCall guards against a call that is told as over and that its dispatcher goes on to hold, as nobody can tell
// whose the end is: nothing reaches the dispatcher on the connection of the attempt.
func TestAnAmbiguousEndWithoutAReplyReleasesTheCall(t *testing.T) {
	t.Parallel()
	toldAndReleased := event("its end is told, and the dispatcher has released it", 0, func(s *orderSite) {
		_, holds := s.first.established[orderedID]
		if s.calls[orderedID].overs != 1 || holds {
			s.fault("%d ends are told a second after one was read, held by its dispatcher: %v", s.calls[orderedID].overs, holds)
		}
	})
	lostAttempt.playWithoutFault(t, slices.Concat(spelledOrder("aer"), []orderEvent{passes('-', nextIsOut)}, spelledOrder("ia"),
		[]orderEvent{passes('-', releaseUntold), toldAndReleased}))
}

// TestTheEndOfALostAttemptLeavesTheCallThatStands guards against a call that is cut as it stands, and that its dispatcher goes on to hold: the end of an
// earlier attempt, whose answer was lost with its connection, is read on another one behind the answer to the next attempt.
func TestTheEndOfALostAttemptLeavesTheCallThatStands(t *testing.T) {
	t.Parallel()
	lostAttempt.playWithoutFault(t, slices.Concat(spelledOrder("aer"), []orderEvent{passes('-', nextIsOut)}, spelledOrder("ad"), notTold(2*time.Second)))
}
