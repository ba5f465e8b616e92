package call

import (
	"testing"
	"testing/synctest"
	"time"
)

// reading is a front with something unread.
type reading struct {
	unread bool
	asked  int
}

func (r *reading) Release(string, End) {}
func (r *reading) Connections() int    { return 1 }
func (r *reading) Idle() bool          { r.asked++; return !r.unread }

// TestWhatLiesUnreadIsTakenInBeforeTheEnd: a controller that has served out does not end while something of its callers' lies unread, as
// what came in time may after a pause; but it does end before it would be killed.
func TestWhatLiesUnreadIsTakenInBeforeTheEnd(t *testing.T) {
	for name, test := range map[string]struct {
		readAfter time.Duration // 0 for never
		least     time.Duration
		most      time.Duration
	}{
		"nothing unread":      {time.Nanosecond, lateArrivals, lateArrivals + 50*time.Millisecond},
		"unread for a second": {time.Second, time.Second, time.Second + 50*time.Millisecond},
		"unread for good":     {0, killAfter, killMost + killAfter - 200*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := newSite(t).core
				loop := core.Loop()
				front := &reading{unread: true}
				core.AddFront(front)
				since := time.Now()
				loop.Post(func() {
					core.Drain()
					if test.readAfter > 0 {
						loop.After(test.readAfter, func() { front.unread = false })
					}
					var look func()
					look = func() { loop.After(10*time.Millisecond, look) } // a turn now and then, as fronts have
					look()
				})
				loop.Run()
				if took := time.Since(since); took < test.least || took > test.most || front.asked == 0 {
					t.Errorf("ended after %v, want %v to %v", took, test.least, test.most)
				}
			})
		})
	}
}
