package links

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSocketQuota: both parts together never exceed what there is, callers have what is kept for them and what they hold, up to their bound, and
// dispatchers have the rest.
func TestSocketQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := SocketQuota{Sockets: rapid.IntRange(2, 2000).Draw(t, "sockets")}
		s.MaxCallers = rapid.IntRange(1, s.Sockets-1).Draw(t, "callers")
		s.Reserved = rapid.IntRange(0, s.MaxCallers).Draw(t, "kept")
		s.Headroom = rapid.IntRange(1, 64).Draw(t, "ahead")
		connected := rapid.IntRange(0, s.MaxCallers).Draw(t, "connected")
		callers, dispatchers := s.Divide(connected)
		if callers+dispatchers != s.Sockets || callers > s.MaxCallers || callers < s.Reserved || callers < connected || dispatchers < 1 {
			t.Fatalf("%d and %d of %d", callers, dispatchers, s.Sockets)
		}
		if callers < min(connected+s.Headroom, s.MaxCallers) {
			t.Fatalf("%d are connected, and %d may be", connected, callers)
		}
		held := rapid.IntRange(0, s.Sockets).Draw(t, "held")
		if accept := s.CallerLimit(connected, held); accept > callers || accept > 1 && accept+held > s.Sockets || held <= dispatchers && accept != callers {
			t.Fatalf("with %d sockets to dispatchers %d callers may be connected", held, accept)
		}
	})
}
