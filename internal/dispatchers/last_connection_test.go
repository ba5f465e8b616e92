package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestLastConnectionToNonListeningDispatcherIsKept guards against calls that stay at a dispatcher for ever, or are ended, because the
// last connection to it was abandoned while it sent nothing for a moment.
func TestLastConnectionToNonListeningDispatcherIsKept(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]initialState{"four connections": {conns: 1}, "one connection": {conns: 1, maxConns: 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, start, func(h *harness) {
				h.establish(otherCallID)
				time.Sleep(time.Second)
				h.setUpCall(testCallID)
				h.runOnLoop(func() {
					h.first.allConns[0].blockedToPool = true
					h.first.sendFinalAnswer(testCallID, 200)
					h.updateList(control.Draining, "first")
					h.first.listening = false
				})
				time.Sleep(2 * checkInterval)
				h.runOnLoop(func() { h.cancelCall(testCallID) })
				time.Sleep(cancelTimeout + 4*checkInterval)
				h.runOnLoop(func() { h.first.allConns[0].unblock() })
				h.advance(2 * unresponsiveTimeout)
				if _, held := h.first.established[testCallID]; held {
					t.Error("the dispatcher still holds the call that was answered late")
				}
				if !h.isEstablished(otherCallID, "first") {
					t.Errorf("the core does not know the call that is established there; %d ends", h.calls[otherCallID].ends)
				}
				h.runOnLoop(func() { h.endCall(h.first, otherCallID) })
				h.advance(maxTransit)
				if c := h.calls[otherCallID]; c.ends != 1 {
					t.Errorf("%d ends were reported, want the one that its dispatcher sent", c.ends)
				}
			})
		})
	}
}
