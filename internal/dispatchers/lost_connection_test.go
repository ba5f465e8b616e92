package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestLossOfAnotherConnectionEndsNoCall guards against a call that is ended because its dispatcher has stopped listening and another
// connection may have lost ends: the call's own connection is open.
func TestLossOfAnotherConnectionEndsNoCall(t *testing.T) {
	t.Parallel()
	for name, established := range map[string]bool{"the call is established": true, "its set-up is open": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, initialState{conns: 2}, func(h *harness) {
				if established {
					h.establish(testCallID)
				} else {
					h.runOnLoop(func() { h.placeCall(testCallID, callTimeout) })
				}
				time.Sleep(10 * time.Millisecond)
				own := h.first.established[testCallID]
				if own == nil {
					own = h.first.pending(testCallID)
				}
				h.runOnLoop(func() {
					h.updateList(control.Draining, "first")
					h.first.listening = false
					for _, c := range h.first.usableConns() {
						if c != own {
							c.reset()
						}
					}
				})
				time.Sleep(500 * time.Millisecond)
				h.runOnLoop(func() { h.first.sendFinalAnswer(testCallID, 200) })
				h.advance(2 * unresponsiveTimeout)
				if c := h.calls[testCallID]; c.answers != 1 || c.ends != 0 {
					t.Errorf("%d answers, %d ends; want 1, 0", c.answers, c.ends)
				}
				h.runOnLoop(func() { h.endCall(h.first, testCallID) })
				h.advance(maxTransit)
				if c := h.calls[testCallID]; c.ends != 1 {
					t.Errorf("%d ends were reported, want the one that its dispatcher sent", c.ends)
				}
			})
		})
	}
}
