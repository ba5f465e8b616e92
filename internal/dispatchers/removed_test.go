package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestEndIsToldThoughItsDispatcherIsOffTheList guards against an end that a dispatcher tells on a dead connection, where it is off the list and
// speaks on another one.
func TestEndIsToldThoughItsDispatcherIsOffTheList(t *testing.T) {
	t.Parallel()
	for name, status := range map[string]control.ServerStatus{"active": control.Active, "draining": control.Draining, "removed": control.Removed, "removed long ago": control.Removed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withSite(t, orderStart{links: 2}, func(s *orderSite) {
				s.establish(orderedID)
				own := s.first.established[orderedID]
				s.do(func() {
					own.deaden()
					s.list(status, "first")
				})
				before := 8 * time.Second
				if name == "removed long ago" {
					before = 25 * time.Second
				}
				s.speaksFor(before)
				if s.calls[orderedID].overs > 0 {
					t.Fatal("it is cut while it goes on")
				}
				s.do(func() { s.tellsOn(own) })
				s.speaksFor(20 * time.Second)
				c := s.calls[orderedID]
				if late := c.overAt.Sub(c.endedAt); c.overs != 1 || late > endUntold {
					t.Errorf("%d ends, %v late; want 1 within %v", c.overs, late, endUntold)
				}
			})
		})
	}
}
