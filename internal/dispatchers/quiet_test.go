package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestLossOfAnotherConnectionCutsNoCall guards against a call that is cut, as its dispatcher listens no more, for ends that another connection
// may have lost: its own is open.
func TestLossOfAnotherConnectionCutsNoCall(t *testing.T) {
	t.Parallel()
	for name, before := range map[string]bool{"the call stands": true, "its set-up is open": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withSite(t, orderStart{links: 2}, func(s *orderSite) {
				if before {
					s.establish(orderedID)
				} else {
					s.do(func() { s.offer(orderedID, orderDeadline) })
				}
				time.Sleep(10 * time.Millisecond)
				own := s.first.established[orderedID]
				if own == nil {
					own = s.first.pending(orderedID)
				}
				s.do(func() {
					s.list(control.Draining, "first")
					s.first.listens = false
					for _, c := range s.first.open() {
						if c != own {
							c.reset()
						}
					}
				})
				time.Sleep(500 * time.Millisecond)
				s.do(func() { s.first.finalAnswer(orderedID, 200) })
				s.pass(2 * deadAfter)
				if c := s.calls[orderedID]; c.answers != 1 || c.overs != 0 {
					t.Errorf("%d answers, %d ends; want 1, 0", c.answers, c.overs)
				}
				s.do(func() { s.end(s.first, orderedID) })
				s.pass(onItsWay)
				if c := s.calls[orderedID]; c.overs != 1 {
					t.Errorf("%d ends as its dispatcher has told one", c.overs)
				}
			})
		})
	}
}
