package call

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestUnreadInputIsProcessedBeforeOverdueTimers checks that input that is known to be unread after a pause is processed
// before the timers that became overdue, with a longer wait than for input that may merely exist; and that this wait is
// bounded.
func TestUnreadInputIsProcessedBeforeOverdueTimers(t *testing.T) {
	const wantPolls = 30 // of at least a millisecond each, beyond catchUpTimeout
	for name, test := range map[string]struct {
		arrives      bool
		duringPosted bool // the pause occurs in a posted function, before the timers of the same iteration
		want         []string
	}{
		"it arrives":                            {true, false, []string{"input", "timer"}},
		"it never arrives":                      {false, false, []string{"timer"}},
		"it arrives, the pause in an iteration": {true, true, []string{"input", "timer"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := NewLoop()
			var order []string
			polls := 0
			l.AddIdleCheck(func() bool {
				if polls++; polls == wantPolls && test.arrives {
					l.Post(func() { order = append(order, "input") })
				}
				return polls >= wantPolls && test.arrives
			})
			var started time.Time
			l.Post(func() {
				started = time.Now()
				if !test.duringPosted {
					l.After(0, func() { time.Sleep(2 * pauseThreshold) }) // the pause
				}
				l.After(pauseThreshold/4, func() { order = append(order, "timer"); l.Quit() })
				if test.duringPosted {
					time.Sleep(2 * pauseThreshold)
				}
			})
			l.Run()
			if diff := cmp.Diff(test.want, order); diff != "" {
				t.Errorf("the order after a pause (-want +got):\n%s", diff)
			}
			if took := time.Since(started); !test.arrives && took < 2*pauseThreshold+catchUpUnreadTimeout {
				t.Errorf("the loop waited for %v only", took)
			}
		})
	}
}
