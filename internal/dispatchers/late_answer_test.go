package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestALateAnswerAtADispatcherThatRefusesIsReleased guards against a call that its dispatcher keeps and nobody releases, because the only
// connection to it is abandoned while it accepts no new ones. The end of such a call is lost as well.
func TestALateAnswerAtADispatcherThatRefusesIsReleased(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{}, func(s *harness) {
		s.setUpCall(testCallID)
		s.runOnLoop(func() {
			s.updateList(control.Draining, "first")
			s.first.listening = false
			s.first.allConns[0].blockedToDispatcher = true // it is slow to read
			s.cancelCall(testCallID)
		})
		time.Sleep(2 * checkInterval)
		s.runOnLoop(func() {
			if !s.first.sendFinalAnswer(testCallID, 200) {
				t.Error("the set-up is not open at its dispatcher")
			}
			s.deliverAll()
		})
		time.Sleep(2 * checkInterval)
		s.runOnLoop(s.first.allConns[0].unblock)
		time.Sleep(time.Second)
		s.runOnLoop(func() {
			if len(s.first.established) > 0 {
				t.Error("its dispatcher holds the call, and nobody has released it")
			}
		})
	})
}
