package dispatchers

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// What tests over an order site have in common.

// setUpTime is how long a set-up is given to be out at its dispatcher.
const setUpTime = 10 * time.Millisecond

// run runs the loop until the returned function is called.
func (s *orderSite) run() (quit func()) {
	go s.core.Loop().Run()
	return func() {
		s.core.Loop().Quit()
		synctest.Wait()
	}
}

// withSite runs a test over a site whose first dispatcher is connected to as the start says.
func withSite(t *testing.T, start orderStart, test func(s *orderSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, start)
		defer s.run()()
		s.do(func() { s.list(control.Active, "first") })
		time.Sleep(time.Second)
		for range start.links - 1 {
			s.do(func() { s.pool.Reconnect("first") })
			time.Sleep(time.Second)
		}
		test(s)
	})
}

// playWithoutFault plays an order of events, and wants it to be possible and without a fault.
func (start orderStart) playWithoutFault(t *testing.T, order []orderEvent) {
	t.Helper()
	if result := start.play(t, order); !result.possible || len(result.faults) > 0 {
		t.Errorf("order %s, possible: %v: %s", start.before+spellOrder(order), result.possible, strings.Join(result.faults, "; "))
	}
}

// attemptOf is a call's attempt of a number, for which a dispatcher has a minute.
func attemptOf(id string, number int) call.SetUp {
	return call.SetUp{ID: id, Attempt: number, Class: "c", Called: "k", Description: "x", Timeout: time.Minute}
}

// setsUp has the caller set a call up, and waits until the set-up is out.
func (s *orderSite) setsUp(id string) {
	s.do(func() { s.offer(id, orderDeadline) })
	time.Sleep(setUpTime)
}

// establish has a call set up at the first dispatcher, and answered there.
func (s *orderSite) establish(id string) {
	s.setsUp(id)
	s.do(func() { s.first.finalAnswer(id, 200) })
	time.Sleep(time.Millisecond)
	s.do(s.arrive)
}

// speaksFor has the first dispatcher report on all its connections that live for a time.
func (s *orderSite) speaksFor(d time.Duration) {
	for _, e := range speaks(d) {
		s.do(func() { e.occurs(s) })
		time.Sleep(e.after)
	}
}
