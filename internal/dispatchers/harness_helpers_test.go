package dispatchers

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// This file has helpers for tests with a harness.

// setUpDelay is the time after which a set-up has reached its dispatcher.
const setUpDelay = 10 * time.Millisecond

// run runs the event loop until the returned function is called.
func (s *harness) run() (quit func()) {
	go s.core.Loop().Run()
	return func() {
		s.core.Loop().Quit()
		synctest.Wait()
	}
}

// withHarness runs a test with a harness whose first dispatcher has the connections of the initial state.
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

// playWithoutViolation plays a sequence of steps, and requires it to be possible and without a violation.
func (start initialState) playWithoutViolation(t *testing.T, order []scenarioStep) {
	t.Helper()
	if result := start.play(t, order); !result.possible || len(result.violations) > 0 {
		t.Errorf("steps %s, possible: %v: %s", start.prefix+stepLetters(order), result.possible, strings.Join(result.violations, "; "))
	}
}

// attemptOf returns an attempt of a call with the given number and a timeout of a minute.
func attemptOf(id string, number int) call.SetUp {
	return call.SetUp{ID: id, Attempt: number, Class: "c", Called: "k", Description: "x", Timeout: time.Minute}
}

// setUpCall has the caller set a call up, and waits until the set-up has reached the dispatcher.
func (s *harness) setUpCall(id string) {
	s.runOnLoop(func() { s.placeCall(id, callTimeout) })
	time.Sleep(setUpDelay)
}

// establish sets a call up at the first dispatcher, which answers it.
func (s *harness) establish(id string) {
	s.setUpCall(id)
	s.runOnLoop(func() { s.first.sendFinalAnswer(id, 200) })
	time.Sleep(time.Millisecond)
	s.runOnLoop(s.deliverAll)
}

// reportFor has the first dispatcher send reports on all its working connections for a time.
func (s *harness) reportFor(d time.Duration) {
	for _, e := range reportSteps(d) {
		s.runOnLoop(func() { e.run(s) })
		time.Sleep(e.after)
	}
}
