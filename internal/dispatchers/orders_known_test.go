package dispatchers

import (
	"slices"
	"testing"
)

// TestALostAnswerBesideTheNextAttemptIsReleased guards against a call that its dispatcher holds and nobody releases: its answer went down with its
// connection while the next attempt was out there, which came to nothing.
func TestALostAnswerBesideTheNextAttemptIsReleased(t *testing.T) {
	t.Parallel()
	playNamed(t, map[string]namedOrder{"the answer of an earlier attempt is lost": {orderStart{links: 2}, "aom"}})
}

// chatting is a call that stands at a dispatcher with two connections, which speaks on.
var chatting = orderStart{called: true, links: 2, chats: true}

// TestAnEndOnAConnectionClosedForNoiseIsTold guards against the untold end of a call whose connection was closed here, for noise, while its dispatcher
// stood still: that tells the end there as it goes on, after the connection that replaces it has come up.
func TestAnEndOnAConnectionClosedForNoiseIsTold(t *testing.T) {
	t.Parallel()
	noise := event("noise comes on the call's connection", 0, func(s *orderSite) {
		s.onConnectionOf(orderedID, func(*standInConnection) bool { return true }, func(c *standInConnection) {
			c.tell([]byte("noise\r\n\r\n"))
			c.deliver()
		})
	})
	chatting.playWithoutFault(t, slices.Concat(spelledOrder("z"), []orderEvent{noise}, spelledOrder("tAe")))
}

// TestCallsOfADispatcherWhoseAddressIsTakenEnd guards against calls that stand for good: their dispatcher died, and another one at its address was
// connected to under its name before the list told.
func TestCallsOfADispatcherWhoseAddressIsTakenEnd(t *testing.T) {
	t.Parallel()
	takesPlace := event("another dispatcher takes its place", 0, func(s *orderSite) {
		s.first.dies()
		other := newProcess(s)
		other.chat(s.network.loop)
		s.network.processes["first"] = other
	})
	told := event("the list tells so", 0, (*orderSite).listOther)
	chatting.playWithoutFault(t, slices.Concat([]orderEvent{takesPlace}, spelledOrder("t"), []orderEvent{told}))
}
