package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/control"
)

// settles is a time in which the dispatcher is looked at again, and nothing else happens.
const settles = 3 * time.Second

// addressTaken is an event in which the list tells that another dispatcher has the address of the first one.
func addressTaken() orderEvent {
	return event("the list tells of another dispatcher at its address", settles, (*orderSite).listOther)
}

// goesOnUntold is an event after which the call must not have been told as over.
func goesOnUntold() orderEvent {
	return event("its end is not told", 0, func(s *orderSite) {
		if s.calls[orderedID].overs > 0 {
			s.fault("a call is told as over that its dispatcher holds")
		}
	})
}

// allReset is an event in which all connections to the first dispatcher are reset, and it holds the call on.
func allReset() orderEvent {
	return event("all connections are reset", time.Second, func(s *orderSite) {
		for _, c := range slices.Clone(s.first.connections) {
			c.reset()
		}
		s.first.ambiguous[orderedID] = true // nobody can tell that its process lives
	})
}

// TestCallsOfADispatcherThatOutlivesItsPlaceOnTheListGoOn guards against calls that are cut as they stand: the list tells that another dispatcher has the
// address, while a connection of the one that holds them is open.
func TestCallsOfADispatcherThatOutlivesItsPlaceOnTheListGoOn(t *testing.T) {
	t.Parallel()
	for name, order := range map[string][]orderEvent{
		"the connection of the call is open":    {addressTaken(), goesOnUntold()},
		"another one is open":                   slices.Concat(spelledOrder("Hdt"), []orderEvent{addressTaken(), goesOnUntold()}),
		"it is at its address, by the list":     slices.Concat([]orderEvent{allReset()}, []orderEvent{passes('-', settles), goesOnUntold()}),
		"it is off the list, and has its place": slices.Concat([]orderEvent{allReset()}, spelledOrder("x"), []orderEvent{passes('-', settles), goesOnUntold()}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			chatting.playWithoutFault(t, order)
		})
	}
}

// TestACallThatCountsAsStrandedIsReleased guards against a call that is told as cut and that its dispatcher goes on to hold: all connections to it were
// reset, and the list tells that another one has its address.
func TestACallThatCountsAsStrandedIsReleased(t *testing.T) {
	t.Parallel()
	chatting.playWithoutFault(t, []orderEvent{allReset(), addressTaken(), bothKnowItIsOver()})
}

// TestACallAtADispatcherWhoseAddressIsTakenEndsAsTheListTells guards against the end of a call that is told late, as its dispatcher died and another one
// at its address was connected to under its name.
func TestACallAtADispatcherWhoseAddressIsTakenEndsAsTheListTells(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{links: 2, called: true, chats: true}, func(s *orderSite) {
		s.setsUp(orderedID)
		s.do(func() { s.first.finalAnswer(orderedID, 200); s.arrive() })
		time.Sleep(time.Second)
		s.do(s.arrive)
		s.do(s.takePlaceOfFirst)
		time.Sleep(time.Second)
		s.do(s.listOther)
		time.Sleep(3 * checkEvery)
		s.do(func() {
			if c := s.calls[orderedID]; c.answers != 1 || c.overs != 1 || len(s.pool.servers["first"].standing) != 0 {
				t.Errorf("%d answers, %d ends, %d entries of calls; want 1, 1, 0", c.answers, c.overs, len(s.pool.servers["first"].standing))
			}
			if s.pool.servers["other"].Status != control.Active {
				t.Error("the other dispatcher is not in use")
			}
		})
	})
}
