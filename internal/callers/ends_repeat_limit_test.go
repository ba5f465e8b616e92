package callers

import (
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// TestEndIsNotRepeatedForever guards against ends that are repeated forever, and accumulate, when a caller ends each of its
// connections by a reset.
func TestEndIsNotRepeatedForever(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, initialState{})
		go h.core.Loop().Run()
		defer func() {
			h.core.Loop().Quit()
			synctest.Wait()
		}()
		h.runOnLoop(func() {
			h.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: testServer, Status: control.Active}, Address: "first"}}})
			h.core.DispatcherReached()
		})
		time.Sleep(time.Second)
		h.runOnLoop(func() { h.callConn = h.caller.openConn() })
		h.runOnLoop(func() { h.sendSetUp(h.callConn) })
		time.Sleep(10 * time.Millisecond)
		h.runOnLoop(func() { h.dispatchers.answer() })
		time.Sleep(time.Second)
		h.runOnLoop(func() { h.dispatchers.endCall() })
		last, endedAt := h.callConn, time.Now()
		for time.Since(endedAt) < 4*endTimeout {
			time.Sleep(time.Second)
			h.runOnLoop(last.reset)
			h.runOnLoop(func() { last = h.caller.openConn() })
			h.runOnLoop(func() { h.sendSetUp(last) })
		}
		count := len(h.endsRead)
		if count < 2 {
			t.Fatalf("the end was sent %d times, want it repeated after the first reset", count)
		}
		h.runOnLoop(func() {
			for _, c := range h.front.conns {
				if len(c.sentEnds) > 0 {
					t.Errorf("the end is still kept for repetition %v after it, sent %d times so far", time.Since(endedAt), count)
				}
			}
			if n := len(h.front.pendingEnds); n > 0 {
				t.Errorf("%d ends are pending", n)
			}
		})
	})
}
