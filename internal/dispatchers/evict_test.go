package dispatchers

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
)

// TestAConnectionThatMakesRoomIsNotHeldForLong guards against set-ups that wait for a descriptor, as one that was to make room is read on while its
// dispatcher does not close it.
func TestAConnectionThatMakesRoomIsNotHeldForLong(t *testing.T) {
	t.Parallel()
	for name, stands := range map[string]bool{"a call stands": true, "no call stands": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, orderStart{keeps: true})
				go s.core.Loop().Run()
				defer func() {
					s.core.Loop().Quit()
					synctest.Wait()
				}()
				s.do(func() { s.list(control.Active, "first") })
				time.Sleep(time.Second)
				if stands {
					s.do(func() { s.offer(orderedID, orderDeadline) })
					s.do(func() { s.first.finalAnswer(orderedID, 200); s.first.all[0].deliver() })
				}
				closed := func() (closed bool) {
					s.do(func() { closed = s.first.all[0].closed })
					return closed
				}
				s.do(func() { s.pool.servers["first"].links[0].evict() })
				if closed() == stands {
					t.Errorf("it is closed at once: %v, want %v", stands, !stands)
				}
				time.Sleep(evictedFor + checkEvery)
				if !closed() {
					t.Errorf("it is open after %v", evictedFor+checkEvery)
				}
			})
		})
	}
}

// TestAnEndOnAConnectionThatMadeRoom guards against the end of a call that is never told, as its dispatcher tells it on a connection that made room
// and that it holds for open still.
func TestAnEndOnAConnectionThatMadeRoom(t *testing.T) {
	t.Parallel()
	order := []orderEvent{
		event("the call's connection is dead, and makes room", 2*time.Second, func(s *orderSite) {
			c := s.first.established[orderedID]
			c.deaden()
			for _, l := range s.pool.servers["first"].links {
				if l.conn == connection(c) {
					l.evict()
					return
				}
			}
		}),
		event("the call ends", 0, func(s *orderSite) { s.end(s.first, orderedID) }),
	}
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{called: true, links: 2, chats: true})
		if !s.play(order) || len(s.faults) > 0 {
			t.Error(strings.Join(s.faults, "; "))
		}
	})
}
