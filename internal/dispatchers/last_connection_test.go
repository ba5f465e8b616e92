package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestALateAnswerAtADispatcherThatRefusesIsReleased guards against a call that its dispatcher holds and nobody releases, as the only connection to it
// is given up while it takes no new ones. Its end is told to nobody either.
func TestALateAnswerAtADispatcherThatRefusesIsReleased(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{}, func(s *orderSite) {
		s.setsUp(orderedID)
		s.do(func() {
			s.list(control.Draining, "first")
			s.first.listens = false
			s.first.all[0].deaf = true // it is slow to read
			s.cancel(orderedID)
		})
		time.Sleep(2 * checkEvery)
		s.do(func() {
			if !s.first.finalAnswer(orderedID, 200) {
				t.Error("the set-up is not open at its dispatcher")
			}
			s.arrive()
		})
		time.Sleep(2 * checkEvery)
		s.do(s.first.all[0].flows)
		time.Sleep(time.Second)
		s.do(func() {
			if len(s.first.established) > 0 {
				t.Error("its dispatcher holds the call, and nobody releases it")
			}
		})
	})
}
