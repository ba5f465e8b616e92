package callers

import (
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// TestEndIsNotToldForGood guards against ends that are told again and again, and pile up, where a caller ends each of its connections by a reset.
func TestEndIsNotToldForGood(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{})
		go s.core.Loop().Run()
		defer func() {
			s.core.Loop().Quit()
			synctest.Wait()
		}()
		s.do(func() {
			s.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: orderServer, Status: control.Active}, Address: "first"}}})
			s.core.DispatcherReached()
		})
		time.Sleep(time.Second)
		s.do(func() { s.first = s.caller.opens() })
		s.do(func() { s.setUp(s.first) })
		time.Sleep(10 * time.Millisecond)
		s.do(func() { s.dispatchers.answers() })
		time.Sleep(time.Second)
		s.do(func() { s.dispatchers.ends() })
		last, endedAt := s.first, time.Now()
		for time.Since(endedAt) < 4*keep {
			time.Sleep(time.Second)
			s.do(last.reset)
			s.do(func() { last = s.caller.opens() })
			s.do(func() { s.setUp(last) })
		}
		told := len(s.ends)
		if told < 2 {
			t.Fatalf("the end was told %d times, want it again after the first reset", told)
		}
		s.do(func() {
			for _, c := range s.front.all {
				if len(c.sent) > 0 {
					t.Errorf("it is kept to be told again, %v after the end, told %d times so far", time.Since(endedAt), told)
				}
			}
			if n := len(s.front.pending); n > 0 {
				t.Errorf("%d ends wait", n)
			}
		})
	})
}
