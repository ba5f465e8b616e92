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
func (h *harness) run() (quit func()) {
	go h.core.Loop().Run()
	return func() {
		h.core.Loop().Quit()
		synctest.Wait()
	}
}

// withHarness runs a test with a harness whose first dispatcher has the connections of the initial state.
func withHarness(t *testing.T, start initialState, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, start)
		defer h.run()()
		h.runOnLoop(func() { h.updateList(control.Active, "first") })
		time.Sleep(time.Second)
		for range start.conns - 1 {
			h.runOnLoop(func() { h.pool.Reconnect("first") })
			time.Sleep(time.Second)
		}
		test(h)
	})
}

// playWithoutViolation plays a sequence of steps, and requires it to be possible and without a violation.
func (start initialState) playWithoutViolation(t *testing.T, steps []scenarioStep) {
	t.Helper()
	if result := start.play(t, steps); !result.possible || len(result.violations) > 0 {
		t.Errorf("steps %s, possible: %v: %s", start.prefix+stepLetters(steps), result.possible, strings.Join(result.violations, "; "))
	}
}

// attemptOf returns an attempt of a call with the given number and a timeout of a minute.
func attemptOf(id string, number int) call.SetUp {
	return call.SetUp{ID: id, Attempt: number, Class: "c", Called: "k", Description: "x", Timeout: time.Minute}
}

// setUpCall has the caller set a call up, and waits until the set-up has reached the dispatcher.
func (h *harness) setUpCall(id string) {
	h.runOnLoop(func() { h.placeCall(id, callTimeout) })
	time.Sleep(setUpDelay)
}

// establish sets a call up at the first dispatcher, which answers it.
func (h *harness) establish(id string) {
	h.setUpCall(id)
	h.runOnLoop(func() { h.first.sendFinalAnswer(id, 200) })
	time.Sleep(time.Millisecond)
	h.runOnLoop(h.deliverAll)
}

// reportFor has the first dispatcher send reports on all its working connections for a time.
func (h *harness) reportFor(d time.Duration) {
	for _, step := range reportSteps(d) {
		h.runOnLoop(func() { step.run(h) })
		time.Sleep(step.after)
	}
}
