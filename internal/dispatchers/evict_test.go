package dispatchers

import (
	"testing"
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
			withSite(t, orderStart{keeps: true}, func(s *orderSite) {
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
	orderStart{called: true, links: 2, chats: true}.playWithoutFault(t, order)
}

// TestAReleaseThatHasNotLeftAsItsConnectionMakesRoom guards against a call that its dispatcher holds and nobody releases, as the release was queued on a
// connection that made room and whose socket was full.
func TestAReleaseThatHasNotLeftAsItsConnectionMakesRoom(t *testing.T) {
	t.Parallel()
	makesRoom := event("the connection with the release makes room", 0, func(s *orderSite) {
		for _, l := range s.pool.servers["first"].links {
			if l.conn.Unsent() > 0 {
				l.evict()
				return
			}
		}
		s.fault("no release waits")
	})
	for name, test := range map[string]namedOrder{
		"the only connection":                            {orderStart{called: true}, "jc"},
		"the only connection, where another call stands": {orderStart{called: true}, "mjc"},
		"one of two":                            {orderStart{called: true, links: 2}, "jc"},
		"one of two, where another call stands": {orderStart{called: true, links: 2}, "mjc"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			order := append(spelledOrder(test.order), makesRoom)
			test.start.playWithoutFault(t, order)
		})
	}
}

// drainsBesideAnother has a call established at the first dispatcher, which then drains and listens no more, and another call set up at the second.
func (s *orderSite) drainsBesideAnother() {
	s.establish(orderedID)
	s.do(func() {
		s.list(control.Draining, "first")
		s.first.listens = false
		s.list(control.Active, "second")
	})
	time.Sleep(time.Second)
	s.do(func() { s.offer(otherID, orderDeadline) })
	time.Sleep(time.Second)
}

// TestTheOnlyConnectionToADispatcherThatDrainsMakesRoomLast guards against calls that are cut as they stand, and whose ends are told to nobody, as the
// only connection to their dispatcher, which takes no new ones, makes room while another one could.
func TestTheOnlyConnectionToADispatcherThatDrainsMakesRoomLast(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{second: true}, func(s *orderSite) {
		s.drainsBesideAnother()
		s.do(func() {
			if !s.knows(otherID, "second") {
				t.Error("no call stands at the other dispatcher")
			}
			s.pool.SetSocketBudget(1)
		})
		time.Sleep(evictedFor + checkEvery)
		s.do(func() {
			if !s.knows(orderedID, "first") || len(s.pool.servers["first"].links) != 1 {
				t.Errorf("%d ends are told of the call as it stands; %d connections", s.calls[orderedID].overs, len(s.pool.servers["first"].links))
			}
			s.end(s.first, orderedID)
		})
		s.pass(onItsWay + arrivalStep)
		if c := s.calls[orderedID]; c.overs != 1 {
			t.Errorf("%d ends are told as its dispatcher has told one", c.overs)
		}
	})
}

// TestAConnectionWithAReleaseToADispatcherThatDrainsMakesRoomLast guards against a call that its dispatcher holds and nobody releases, as the release
// waits on the only connection there, which makes room while another one could, and no other can be opened.
func TestAConnectionWithAReleaseToADispatcherThatDrainsMakesRoomLast(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{second: true}, func(s *orderSite) {
		s.drainsBesideAnother()
		s.do(func() {
			s.first.all[0].full = true
			s.cancel(orderedID)
		})
		time.Sleep(2 * checkEvery)
		s.do(func() {
			if !s.knows(otherID, "second") || s.first.all[0].Unsent() == 0 {
				t.Error("no call stands at the other dispatcher, or no release waits")
			}
			s.pool.SetSocketBudget(1)
		})
		time.Sleep(evictedFor + checkEvery)
		s.do(s.first.all[0].flows)
		s.do(func() {
			if _, held := s.first.established[orderedID]; held {
				t.Error("the dispatcher holds the call")
			}
		})
	})
}
