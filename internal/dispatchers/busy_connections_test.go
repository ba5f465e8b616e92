package dispatchers

import (
	"fmt"
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestEndIsReportedWhenAllConnectionsAreBusy guards against an end that was sent on an unresponsive connection and that no new connection
// brings, as none of the others is ever without a set-up.
func TestEndIsReportedWhenAllConnectionsAreBusy(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2, maxConns: 2}, func(h *harness) {
		const step, open = reportInterval, 4 // number of set-ups open at once
		offered := 0x100
		busy := func(d time.Duration) {
			for range d / step {
				offered++
				h.runOnLoop(func() {
					id := fmt.Sprintf("%016x", offered)
					h.calls[id] = &callRecord{}
					h.pool.SetUp("first", call.SetUp{ID: id, Timeout: callTimeout})
				})
				h.runOnLoop(func() { h.first.sendFinalAnswer(fmt.Sprintf("%016x", offered-open), 504) })
				h.advance(step / 2)
				h.runOnLoop(h.deliverAll)
				for _, e := range reportSteps(step) {
					h.runOnLoop(func() { e.run(h) })
				}
				h.advance(step / 2)
				h.runOnLoop(h.deliverAll)
			}
		}
		h.establish(testCallID)
		own := h.first.established[testCallID]
		h.runOnLoop(own.isolate)
		busy(3 * unresponsiveTimeout)
		h.runOnLoop(func() { h.sendEndOn(own) })
		busy(3 * unresponsiveTimeout)
		c := h.calls[testCallID]
		if late := c.endReportedAt.Sub(c.endedAt); c.ends != 1 || late > endTimeout {
			t.Errorf("%d ends, %v late; want 1 within %v", c.ends, late, endTimeout)
		}
	})
}
