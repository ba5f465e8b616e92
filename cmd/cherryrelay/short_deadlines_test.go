package main

import (
	"testing"
	"time"

	"cherryrelay/internal/callers"
)

// TestLittleTimeLeft: callers have 20 to 80 ms left, and a dispatcher drops such set-ups without an answer. Each caller gets one final
// answer, no later than half a second after its deadline, and a call with time left is placed as usual.
func TestLittleTimeLeft(t *testing.T) {
	for _, mix := range [][2]string{{"tcp", "tcp"}, {"ws", "ws"}} {
		t.Run(mix[0], func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, mix[0], mix[1], callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
			meter := startMeter()
			c := f.newCaller()
			for n := range 20 {
				left := time.Duration(20+3*n) * time.Millisecond
				begun := time.Now()
				f.must(c.SetUp(id(10+n), left, n%2, "x"))
				m, err := c.Next()
				f.must(err)
				if m.ID != id(10+n) || m.Type != "release" {
					t.Fatalf("%+v: want the final answer to call %d", m, 10+n)
				}
				if late := time.Since(begun) - left; late > maxAnswerDelay && late-meter.delayBetween(begun, time.Now()) > maxAnswerDelay {
					t.Errorf("call %d is answered %v after its deadline", 10+n, late)
				}
			}
			f.must(c.SetUp(id(1), longTimeout, 0, "x"))
			e := f.nextSetUp()
			for e.ID != id(1) {
				e = f.nextSetUp()
			}
			f.must(e.Answer("y"))
			if m := f.nextMessage(c); m.ID != id(1) || m.Type != "answer" {
				t.Errorf("%+v: want the answer to the call with time left", m)
			}
		})
	}
}
