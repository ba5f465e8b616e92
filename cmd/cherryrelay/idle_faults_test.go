package main

import (
	"testing"
	"time"

	"cherryrelay/internal/callers"
	"cherryrelay/internal/peer"
)

// idleTime is longer than a connection to a dispatcher may be idle before it becomes suspect.
const idleTime = 3 * time.Second

// TestFaultsAfterAnIdleTime: after a long idle time a dispatcher's connections are reset or unresponsive, or the dispatcher has died, at
// the moment when calls come again. Each call gets one final answer in time, and calls that another dispatcher can accept are established.
func TestFaultsAfterAnIdleTime(t *testing.T) {
	const calls, left = 8, 8 * time.Second
	for name, fault := range map[string]func(d *peer.Dispatcher, e peer.Event){
		"reset":           func(d *peer.Dispatcher, _ peer.Event) { d.ResetConns() },
		"unresponsive":    func(_ *peer.Dispatcher, e peer.Event) { e.DiscardInput() },
		"dies":            func(d *peer.Dispatcher, _ peer.Event) { d.Kill() },
		"stops listening": func(d *peer.Dispatcher, _ peer.Event) { d.StopListening() },
		"pauses":          func(d *peer.Dispatcher, _ peer.Event) { d.PauseInput(); time.AfterFunc(time.Second, d.ResumeInput) },
		"reset, again later": func(d *peer.Dispatcher, _ peer.Event) {
			d.ResetConns()
			time.AfterFunc(200*time.Millisecond, d.ResetConns)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "tcp", "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
			c := f.newCaller()
			f.must(c.SetUp(id(1), longTimeout, 0, "x"))
			first := f.recordEvent(0)
			f.must(first.Answer("y"))
			f.recordMessage(c)
			f.must(c.Release(id(1), 16))
			time.Sleep(idleTime)
			done := make(chan struct{})
			defer close(done)
			for _, d := range f.dispatchers {
				go func() {
					for {
						select {
						case e := <-d.Events:
							if e.Kind == "setup" {
								_ = e.Answer("y")
							}
						case <-done:
							return
						}
					}
				}()
			}
			fault(f.dispatchers[0], first)
			for n := range calls {
				f.must(c.SetUp(id(10+n), left, 0, "x"))
			}
			finals, established := map[string]int{}, 0
			begun := time.Now()
			for len(finals) < calls {
				m, err := c.NextWithin(left + left/2)
				if err != nil {
					t.Fatalf("%d of %d calls have a final answer: %v", len(finals), calls, err)
				}
				if finals[m.ID]++; finals[m.ID] > 1 && m.Type == "answer" {
					t.Errorf("%s has a second final answer", m.ID)
				}
				if m.Type == "answer" {
					established++
				}
			}
			t.Logf("%d of %d are established after %v", established, calls, time.Since(begun))
			if established < calls/2 || time.Since(begun) > left+time.Second {
				t.Errorf("%d of %d are established after %v", established, calls, time.Since(begun))
			}
		})
	}
}
