package dispatchers

import (
	"fmt"
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestEndIsReportedWhenAllConnectionsAreBusy guards against an end that was sent on a dead connection and that no new connection brings,
// as none of the others is ever without a set-up.
func TestEndIsReportedWhenAllConnectionsAreBusy(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2, maxConns: 2}, func(s *harness) {
		const step, open = reportInterval, 4 // number of set-ups open at once
		offered := 0x100
		busy := func(d time.Duration) {
			for range d / step {
				offered++
				s.runOnLoop(func() {
					id := fmt.Sprintf("%016x", offered)
					s.calls[id] = &callRecord{}
					s.pool.SetUp("first", call.SetUp{ID: id, Timeout: callTimeout})
				})
				s.runOnLoop(func() { s.first.sendFinalAnswer(fmt.Sprintf("%016x", offered-open), 504) })
				s.advance(step / 2)
				s.runOnLoop(s.deliverAll)
				for _, e := range reportSteps(step) {
					s.runOnLoop(func() { e.run(s) })
				}
				s.advance(step / 2)
				s.runOnLoop(s.deliverAll)
			}
		}
		s.establish(testCallID)
		own := s.first.established[testCallID]
		s.runOnLoop(own.isolate)
		busy(3 * silenceTimeout)
		s.runOnLoop(func() { s.sendEndOn(own) })
		busy(3 * silenceTimeout)
		c := s.calls[testCallID]
		if late := c.endReportedAt.Sub(c.endedAt); c.ends != 1 || late > endTimeout {
			t.Errorf("%d ends, %v late; want 1 within %v", c.ends, late, endTimeout)
		}
	})
}
