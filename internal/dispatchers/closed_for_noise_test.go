package dispatchers

import (
	"slices"
	"testing"
)

// TestAnEndOnAHalfClosedConnectionClosedForNoiseIsTold guards against the untold end of a call whose connection was given up as dead and then closed
// here, for noise, while its dispatcher stood still: that tells the end there as it goes on, after the connection that replaces it has come up.
func TestAnEndOnAHalfClosedConnectionClosedForNoiseIsTold(t *testing.T) {
	t.Parallel()
	noise := event("noise comes on the call's connection, which brings something again", 0, func(s *orderSite) {
		s.onConnectionOf(orderedID, func(*standInConnection) bool { return true }, func(c *standInConnection) {
			c.mute = false
			c.tell([]byte("noise\r\n\r\n"))
			c.deliver()
		})
	})
	chatting.playWithoutFault(t, slices.Concat(spelledOrder("ioqz"), []orderEvent{noise}, spelledOrder("tAe")))
}
