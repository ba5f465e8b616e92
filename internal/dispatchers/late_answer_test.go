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
				t.Error("its dispatcher holds the call, and nobody releases it")
			}
		})
	})
}
