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

// setUpDelay is how long a set-up is given to be out at its dispatcher.
const setUpDelay = 10 * time.Millisecond

// run runs the loop until the returned function is called.
func (s *harness) run() (quit func()) {
	go s.core.Loop().Run()
	return func() {
		s.core.Loop().Quit()
		synctest.Wait()
	}
}

// withHarness runs a test over a site whose first dispatcher is connected to as the start says.
func withHarness(t *testing.T, start initialState, test func(s *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t, start)
		defer s.run()()
		s.runOnLoop(func() { s.updateList(control.Active, "first") })
		time.Sleep(time.Second)
		for range start.conns - 1 {
			s.runOnLoop(func() { s.pool.Reconnect("first") })
			time.Sleep(time.Second)
		}
		test(s)
	})
}

// playWithoutViolation plays an order of events, and wants it to be possible and without a fault.
func (start initialState) playWithoutViolation(t *testing.T, order []scenarioStep) {
	t.Helper()
	if result := start.play(t, order); !result.possible || len(result.violations) > 0 {
		t.Errorf("order %s, possible: %v: %s", start.prefix+stepLetters(order), result.possible, strings.Join(result.violations, "; "))
	}
}

// attemptOf is a call's attempt of a number, for which a dispatcher has a minute.
func attemptOf(id string, number int) call.SetUp {
	return call.SetUp{ID: id, Attempt: number, Class: "c", Called: "k", Description: "x", Timeout: time.Minute}
}

// setUpCall has the caller set a call up, and waits until the set-up is out.
func (s *harness) setUpCall(id string) {
	s.runOnLoop(func() { s.placeCall(id, callTimeout) })
	time.Sleep(setUpDelay)
}

// establish has a call set up at the first dispatcher, and answered there.
func (s *harness) establish(id string) {
	s.setUpCall(id)
	s.runOnLoop(func() { s.first.sendFinalAnswer(id, 200) })
	time.Sleep(time.Millisecond)
	s.runOnLoop(s.deliverAll)
}

// reportFor has the first dispatcher report on all its connections that live for a time.
func (s *harness) reportFor(d time.Duration) {
	for _, e := range reportSteps(d) {
		s.runOnLoop(func() { e.run(s) })
		time.Sleep(e.after)
	}
}
