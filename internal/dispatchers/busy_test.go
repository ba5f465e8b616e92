package dispatchers

import (
	"fmt"
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestEndIsToldThoughAllConnectionsAreBusy guards against an end that was told on a dead connection, and that no further one brings, as none of
// the others is ever without a set-up.
func TestEndIsToldThoughAllConnectionsAreBusy(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{links: 2, most: 2}, func(s *orderSite) {
		const step, open = reportEvery, 4 // set-ups are open at once
		offered := 0x100
		busy := func(d time.Duration) {
			for range d / step {
				offered++
				s.do(func() {
					id := fmt.Sprintf("%016x", offered)
					s.calls[id] = &orderedCall{}
					s.pool.SetUp("first", call.SetUp{ID: id, Timeout: orderDeadline})
				})
				s.do(func() { s.first.finalAnswer(fmt.Sprintf("%016x", offered-open), 504) })
				s.pass(step / 2)
				s.do(s.arrive)
				for _, e := range speaks(step) {
					s.do(func() { e.occurs(s) })
				}
				s.pass(step / 2)
				s.do(s.arrive)
			}
		}
		s.establish(orderedID)
		own := s.first.established[orderedID]
		s.do(own.deaden)
		busy(3 * deadAfter)
		s.do(func() { s.tellsOn(own) })
		busy(3 * deadAfter)
		c := s.calls[orderedID]
		if late := c.overAt.Sub(c.endedAt); c.overs != 1 || late > endUntold {
			t.Errorf("%d ends, %v late; want 1 within %v", c.overs, late, endUntold)
		}
	})
}
