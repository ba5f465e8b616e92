package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestWhatHasWaitedTellsWhatIsLeft: a set-up that waited for its connection was sent with its whole limit.
func TestWhatHasWaitedTellsWhatIsLeft(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for waited, want := range map[time.Duration]time.Duration{
		0: 400 * time.Millisecond, 153 * time.Millisecond: 247 * time.Millisecond, 400 * time.Millisecond: 0, time.Second: 0,
		-time.Second: 400 * time.Millisecond, // a clock that was set back
	} {
		w := waiting{SetUp: call.SetUp{ID: "1", Limit: 400 * time.Millisecond}, since: start}
		a, ok := w.due(start.Add(waited))
		if ok != (want > 0) || ok && a.Limit != want {
			t.Errorf("after %v: %v, %v, want %v", waited, a.Limit, ok, want)
		}
	}
}
