package call

import (
	"testing"
	"testing/synctest"
	"time"
)

// stubFront is a front that may have unread input.
type stubFront struct {
	unread bool
	polls  int
}

func (f *stubFront) Release(string, End) {}
func (f *stubFront) Connections() int    { return 1 }
func (f *stubFront) Idle() bool          { f.polls++; return !f.unread }

// TestDrainWaitsForUnreadInput checks that a controller that has answered all calls does not stop while input from its
// callers is unread, as set-ups that arrived in time may be after a pause; but that it stops before it would be killed.
func TestDrainWaitsForUnreadInput(t *testing.T) {
	for name, test := range map[string]struct {
		readAfter time.Duration // 0 for never
		least     time.Duration
		latest    time.Duration
	}{
		"nothing unread":      {time.Nanosecond, lateArrivalWindow, lateArrivalWindow + 50*time.Millisecond},
		"unread for a second": {time.Second, time.Second, time.Second + 50*time.Millisecond},
		"unread for ever":     {0, killGrace, killMaxDeadline + killGrace - 200*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := newFixture(t).core
				loop := core.Loop()
				front := &stubFront{unread: true}
				core.AddFront(front)
				since := time.Now()
				loop.Post(func() {
					core.Drain()
					if test.readAfter > 0 {
						loop.After(test.readAfter, func() { front.unread = false })
					}
					var poll func()
					poll = func() { loop.After(10*time.Millisecond, poll) } // fronts cause an iteration now and then
					poll()
				})
				loop.Run()
				if took := time.Since(since); took < test.least || took > test.latest || front.polls == 0 {
					t.Errorf("ended after %v, want %v to %v", took, test.least, test.latest)
				}
			})
		})
	}
}
