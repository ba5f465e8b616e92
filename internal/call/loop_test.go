package call

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestUnreadInputIsProcessedBeforeOverdueTimers: a pause makes a timer overdue, and a word that came meanwhile is known to lie unread for longer than what is
// merely hoped for is waited for. It is taken in first; one that never comes is not waited for beyond a bound.
func TestUnreadInputIsProcessedBeforeOverdueTimers(t *testing.T) {
	const looks = 30 // of a millisecond at least, beyond catchUpTimeout
	for name, test := range map[string]struct {
		comes bool
		early bool // the pause falls into what was posted, before the timers of the same round
		want  []string
	}{
		"it comes":                       {true, false, []string{"word", "timer"}},
		"it never comes":                 {false, false, []string{"timer"}},
		"it comes, the pause in a round": {true, true, []string{"word", "timer"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := NewLoop()
			var order []string
			looked := 0
			l.AddIdleCheck(func() bool {
				if looked++; looked == looks && test.comes {
					l.Post(func() { order = append(order, "word") })
				}
				return looked >= looks && test.comes
			})
			var begun time.Time
			l.Post(func() {
				begun = time.Now()
				if !test.early {
					l.After(0, func() { time.Sleep(2 * pauseThreshold) }) // the pause
				}
				l.After(pauseThreshold/4, func() { order = append(order, "timer"); l.Quit() })
				if test.early {
					time.Sleep(2 * pauseThreshold)
				}
			})
			l.Run()
			if diff := cmp.Diff(test.want, order); diff != "" {
				t.Errorf("the order after a pause (-want +got):\n%s", diff)
			}
			if took := time.Since(begun); !test.comes && took < 2*pauseThreshold+catchUpUnreadTimeout {
				t.Errorf("it was not waited for: %v", took)
			}
		})
	}
}
