package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestLastConnectionToNonListeningDispatcherIsKept guards against calls that stay at a dispatcher for ever, or are ended, because the
// last connection to it was abandoned while it was silent for a moment.
func TestLastConnectionToNonListeningDispatcherIsKept(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]initialState{"four connections": {conns: 1}, "one connection": {conns: 1, maxConns: 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, start, func(s *harness) {
				s.establish(otherCallID)
				time.Sleep(time.Second)
				s.setUpCall(testCallID)
				s.runOnLoop(func() {
					s.first.allConns[0].blockedToPool = true
					s.first.sendFinalAnswer(testCallID, 200)
					s.updateList(control.Draining, "first")
					s.first.listening = false
				})
				time.Sleep(2 * checkInterval)
				s.runOnLoop(func() { s.cancelCall(testCallID) })
				time.Sleep(unresponsiveAfter + 4*checkInterval)
				s.runOnLoop(func() { s.first.allConns[0].unblock() })
				s.advance(2 * silenceTimeout)
				if _, held := s.first.established[testCallID]; held {
					t.Error("the dispatcher still holds the call that was answered late")
				}
				if !s.isEstablished(otherCallID, "first") {
					t.Errorf("the core does not know the call that is established there; %d ends", s.calls[otherCallID].ends)
				}
				s.runOnLoop(func() { s.endCall(s.first, otherCallID) })
				s.advance(maxTransit)
				if c := s.calls[otherCallID]; c.ends != 1 {
					t.Errorf("%d ends were reported, want the one that its dispatcher sent", c.ends)
				}
			})
		})
	}
}
