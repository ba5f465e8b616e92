package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestLastConnectionToDispatcherThatListensNoMoreIsKept guards against calls that are left at a dispatcher for good, or cut, as the last
// connection to it was given up while it was silent for a moment.
func TestLastConnectionToDispatcherThatListensNoMoreIsKept(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]orderStart{"four connections": {links: 1}, "one connection": {links: 1, most: 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withSite(t, start, func(s *orderSite) {
				s.establish(otherID)
				time.Sleep(time.Second)
				s.setsUp(orderedID)
				s.do(func() {
					s.first.all[0].mute = true
					s.first.finalAnswer(orderedID, 200)
					s.list(control.Draining, "first")
					s.first.listens = false
				})
				time.Sleep(2 * checkEvery)
				s.do(func() { s.cancel(orderedID) })
				time.Sleep(unresponsiveFor + 4*checkEvery)
				s.do(func() { s.first.all[0].flows() })
				s.pass(2 * deadAfter)
				if _, held := s.first.established[orderedID]; held {
					t.Error("the dispatcher holds the call that was answered late")
				}
				if !s.knows(otherID, "first") {
					t.Errorf("the call that stands there is not known here; %d ends", s.calls[otherID].overs)
				}
				s.do(func() { s.end(s.first, otherID) })
				s.pass(onItsWay)
				if c := s.calls[otherID]; c.overs != 1 {
					t.Errorf("%d ends as its dispatcher has told one", c.overs)
				}
			})
		})
	}
}
