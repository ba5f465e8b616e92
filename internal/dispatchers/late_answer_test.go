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
	withHarness(t, initialState{}, func(h *harness) {
		h.setUpCall(testCallID)
		h.runOnLoop(func() {
			h.updateList(control.Draining, "first")
			h.first.listening = false
			h.first.allConns[0].blockedToDispatcher = true // it is slow to read
			h.cancelCall(testCallID)
		})
		time.Sleep(2 * checkInterval)
		h.runOnLoop(func() {
			if !h.first.sendFinalAnswer(testCallID, 200) {
				t.Error("the set-up is not open at its dispatcher")
			}
			h.deliverAll()
		})
		time.Sleep(2 * checkInterval)
		h.runOnLoop(h.first.allConns[0].unblock)
		time.Sleep(time.Second)
		h.runOnLoop(func() {
			if len(h.first.established) > 0 {
				t.Error("its dispatcher holds the call, and nobody has released it")
			}
		})
	})
}
