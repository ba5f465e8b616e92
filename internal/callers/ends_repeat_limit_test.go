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
		s := newHarness(t, initialState{})
		go s.core.Loop().Run()
		defer func() {
			s.core.Loop().Quit()
			synctest.Wait()
		}()
		s.runOnLoop(func() {
			s.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: testServer, Status: control.Active}, Address: "first"}}})
			s.core.DispatcherReached()
		})
		time.Sleep(time.Second)
		s.runOnLoop(func() { s.callConn = s.caller.openConn() })
		s.runOnLoop(func() { s.sendSetUp(s.callConn) })
		time.Sleep(10 * time.Millisecond)
		s.runOnLoop(func() { s.dispatchers.answer() })
		time.Sleep(time.Second)
		s.runOnLoop(func() { s.dispatchers.endCall() })
		last, endedAt := s.callConn, time.Now()
		for time.Since(endedAt) < 4*endTimeout {
			time.Sleep(time.Second)
			s.runOnLoop(last.reset)
			s.runOnLoop(func() { last = s.caller.openConn() })
			s.runOnLoop(func() { s.sendSetUp(last) })
		}
		told := len(s.endsRead)
		if told < 2 {
			t.Fatalf("the end was sent %d times, want it repeated after the first reset", told)
		}
		s.runOnLoop(func() {
			for _, c := range s.front.conns {
				if len(c.sentEnds) > 0 {
					t.Errorf("the end is still kept for repetition %v after it, sent %d times so far", time.Since(endedAt), told)
				}
			}
			if n := len(s.front.pendingEnds); n > 0 {
				t.Errorf("%d ends are pending", n)
			}
		})
	})
}
