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
			withHarness(t, initialState{conns: 2}, func(s *harness) {
				if established {
					s.establish(testCallID)
				} else {
					s.runOnLoop(func() { s.placeCall(testCallID, callTimeout) })
				}
				time.Sleep(10 * time.Millisecond)
				own := s.first.established[testCallID]
				if own == nil {
					own = s.first.pending(testCallID)
				}
				s.runOnLoop(func() {
					s.updateList(control.Draining, "first")
					s.first.listening = false
					for _, c := range s.first.usableConns() {
						if c != own {
							c.reset()
						}
					}
				})
				time.Sleep(500 * time.Millisecond)
				s.runOnLoop(func() { s.first.sendFinalAnswer(testCallID, 200) })
				s.advance(2 * silenceTimeout)
				if c := s.calls[testCallID]; c.answers != 1 || c.ends != 0 {
					t.Errorf("%d answers, %d ends; want 1, 0", c.answers, c.ends)
				}
				s.runOnLoop(func() { s.endCall(s.first, testCallID) })
				s.advance(maxTransit)
				if c := s.calls[testCallID]; c.ends != 1 {
					t.Errorf("%d ends were reported, want the one that its dispatcher sent", c.ends)
				}
			})
		})
	}
}
