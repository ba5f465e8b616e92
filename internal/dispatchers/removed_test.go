package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestEndIsReportedWhenItsDispatcherIsOffTheList guards against the loss of an end that a dispatcher sends on an unresponsive connection
// while it is off the list and sends reports on another connection.
func TestEndIsReportedWhenItsDispatcherIsOffTheList(t *testing.T) {
	t.Parallel()
	for name, status := range map[string]control.ServerStatus{"active": control.Active, "draining": control.Draining,
		"removed": control.Removed, "removed long ago": control.Removed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, initialState{conns: 2}, func(h *harness) {
				h.establish(testCallID)
				own := h.first.established[testCallID]
				h.runOnLoop(func() {
					own.isolate()
					h.updateList(status, "first")
				})
				before := 8 * time.Second
				if name == "removed long ago" {
					before = 25 * time.Second
				}
				h.reportFor(before)
				if h.calls[testCallID].ends > 0 {
					t.Fatal("the call was reported as ended while it continues")
				}
				h.runOnLoop(func() { h.sendEndOn(own) })
				h.reportFor(20 * time.Second)
				c := h.calls[testCallID]
				if late := c.endReportedAt.Sub(c.endedAt); c.ends != 1 || late > endTimeout {
					t.Errorf("%d ends, %v late; want 1 within %v", c.ends, late, endTimeout)
				}
			})
		})
	}
}
