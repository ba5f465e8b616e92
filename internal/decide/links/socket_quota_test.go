package links

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSocketQuota checks that both parts together never exceed the total, that callers get what is reserved for them and what
// they hold, up to their limit, and that dispatchers get the rest.
func TestSocketQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := SocketQuota{Sockets: rapid.IntRange(2, 2000).Draw(t, "sockets")}
		s.MaxCallers = rapid.IntRange(1, s.Sockets-1).Draw(t, "max callers")
		s.Reserved = rapid.IntRange(0, s.MaxCallers).Draw(t, "reserved")
		s.Headroom = rapid.IntRange(1, 64).Draw(t, "headroom")
		connected := rapid.IntRange(0, s.MaxCallers).Draw(t, "connected")
		callers, dispatchers := s.Divide(connected)
		if callers+dispatchers != s.Sockets || callers > s.MaxCallers || callers < s.Reserved || callers < connected || dispatchers < 1 {
			t.Fatalf("%d sockets for callers and %d for dispatchers, %d in total", callers, dispatchers, s.Sockets)
		}
		if callers < min(connected+s.Headroom, s.MaxCallers) {
			t.Fatalf("%d callers are connected, the limit is %d", connected, callers)
		}
		heldByDispatchers := rapid.IntRange(0, s.Sockets).Draw(t, "held")
		if accept := s.CallerLimit(connected, heldByDispatchers); accept > callers ||
			accept > 1 && accept+heldByDispatchers > s.Sockets || heldByDispatchers <= dispatchers && accept != callers {
			t.Fatalf("with %d sockets held for dispatchers, %d callers may be connected", heldByDispatchers, accept)
		}
	})
}
