package dispatchers

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/internal/decide/links"
)

// This file has scenarios in which the end of a call is lost with a connection while the dispatcher sends on another one: only a further
// connection brings the end.

// reportInterval is the interval at which the dispatcher sends reports on a working connection.
const reportInterval = 500 * time.Millisecond

// wantedFor is how long a second connection stays wanted after two set-ups were open at once, less a short time.
const wantedFor = 4100 * time.Millisecond

// newStep returns a step that is always possible and is followed by a time in which nothing else happens.
func newStep(name string, after time.Duration, f func(h *harness)) scenarioStep {
	return scenarioStep{'-', name, func(h *harness) bool { f(h); return true }, after, false}
}

// isolate blocks a connection in both directions while both sides hold it open.
func (c *fakeConn) isolate() {
	c.dispatcher = &fakeDispatcher{harness: c.dispatcher.harness, partitioned: true}
}

// reportSteps returns steps in which the first dispatcher sends reports on all its working connections for a time. They arrive at once.
func reportSteps(d time.Duration) []scenarioStep {
	var steps []scenarioStep
	for range d / reportInterval {
		steps = append(steps, newStep("it sends reports", reportInterval, func(h *harness) {
			for _, c := range h.first.usableConns() {
				if c.dispatcher == h.first {
					c.sendReport()
				}
			}
		}))
	}
	return steps
}

// sendEndOn has the first dispatcher end the call and send the end on a connection, where it is not delivered yet, and on the next one
// that opens.
func (h *harness) sendEndOn(c *fakeConn) {
	delete(h.first.established, testCallID)
	h.first.endsToRepeat = append(h.first.endsToRepeat, testCallID)
	c.send(releaseOf(testCallID))
	h.calls[testCallID].endedAt = time.Now()
}

// lostEnd is a scenario in which the end of a call is lost with a connection.
type lostEnd struct {
	start initialState
	steps []scenarioStep
}

// lostEnds returns the scenarios. A set-up is sent on the first connection.
func lostEnds() map[string]lostEnd {
	establishedState := initialState{conns: 2, established: true}
	sendsEnd := newStep("the end is sent on the first connection", 0, func(h *harness) { h.sendEndOn(h.first.allConns[0]) })
	resetsFirst := newStep("the first connection is reset", 0, func(h *harness) { h.first.allConns[0].reset() })
	blocksFirst := newStep("the first connection is unresponsive", 0, func(h *harness) { h.first.allConns[0].isolate() })
	resetsAndRefuses := newStep("the first connection is reset just before a second one is no longer wanted, and a dial is refused", 0,
		func(h *harness) {
			server := h.pool.servers["first"]
			server.demand = links.Demand{}
			server.demand.Observe(time.Now().Add(-wantedFor), 2)
			h.first.listening = false
			h.first.allConns[0].reset()
		})
	listens := newStep("it listens again", 0, func(h *harness) { h.first.listening = true })
	opensThird := newStep("a third connection is opened", time.Second, func(h *harness) { h.pool.Reconnect("first") })
	blocksSecond := newStep("the second connection is unresponsive", 0, func(h *harness) { h.first.allConns[1].isolate() })
	answers := newStep("it answers", 0, func(h *harness) {
		h.first.sendFinalAnswer(testCallID, 200)
		h.deliverAll()
	})
	closesFirst := newStep("the first connection is closed cleanly", 50*time.Millisecond, func(h *harness) {
		h.first.allConns[0].close()
		h.first.allConns[0].deliverToPool()
	})
	sendsEndOnSecond := newStep("the end is sent on the second connection", 0, func(h *harness) { h.sendEndOn(h.first.allConns[1]) })
	reportsLong := reportSteps(20 * time.Second)
	return map[string]lostEnd{
		"it is reset": {establishedState, slices.Concat([]scenarioStep{sendsEnd, resetsFirst}, reportsLong)},
		"it is reset, and a dial is refused": {establishedState,
			slices.Concat([]scenarioStep{sendsEnd, resetsAndRefuses}, reportSteps(time.Second), []scenarioStep{listens}, reportsLong)},
		"it is unresponsive": {establishedState, slices.Concat([]scenarioStep{blocksFirst, sendsEnd}, reportsLong)},
		"it is unresponsive and was abandoned": {establishedState,
			slices.Concat([]scenarioStep{blocksFirst}, reportSteps(8*time.Second), []scenarioStep{sendsEnd}, reportsLong)},
		"it is unresponsive and was abandoned long ago": {establishedState,
			slices.Concat([]scenarioStep{blocksFirst}, reportSteps(25*time.Second), []scenarioStep{sendsEnd}, reportsLong)},
		"it was abandoned and is reset": {establishedState,
			slices.Concat([]scenarioStep{blocksFirst}, reportSteps(6*time.Second), []scenarioStep{sendsEnd, resetsFirst}, reportsLong)},
		"the call was established after it was abandoned": {initialState{conns: 2},
			slices.Concat([]scenarioStep{opensThird, blocksSecond}, reportSteps(7*time.Second),
				[]scenarioStep{answers, closesFirst, sendsEndOnSecond}, reportsLong)},
	}
}

// TestEndsLostWithAConnectionAreReported guards against the end of a call that is sent on a connection which never delivers it, while
// other connections work.
func TestEndsLostWithAConnectionAreReported(t *testing.T) {
	t.Parallel()
	for name, test := range lostEnds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, test.start)
				possible := h.play(test.steps)
				if c := h.calls[testCallID]; !possible || len(h.violations) > 0 || c.ends != 1 {
					t.Errorf("%d answers, %d ends: %s", c.answers, c.ends, strings.Join(h.violations, "; "))
				}
			})
		})
	}
}

// TestEndsOnAnUnclosedConnectionAreRepeated guards against lost ends on an unresponsive connection of calls that were established after
// all calls at risk had ended.
func TestEndsOnAnUnclosedConnectionAreRepeated(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2}, func(h *harness) {
		establish := func(id string) { // the answer arrives with the next message of the dispatcher
			h.setUpCall(id)
			h.runOnLoop(func() { h.first.sendFinalAnswer(id, 200); h.deliverAll() })
		}
		establish(testCallID)
		stalled := h.first.allConns[1]
		h.runOnLoop(stalled.isolate)
		h.reportFor(12 * time.Second)
		h.runOnLoop(func() { h.first.endCall(testCallID); h.deliverAll() })
		h.reportFor(6 * time.Second)
		establish(otherCallID)
		h.runOnLoop(func() {
			c := h.first.established[otherCallID]
			c.close()
			c.deliverToPool()
		})
		h.runOnLoop(func() {
			delete(h.first.established, otherCallID)
			h.first.endsToRepeat = append(h.first.endsToRepeat, otherCallID)
			stalled.send(releaseOf(otherCallID))
		})
		endedAt := time.Now()
		h.reportFor(20 * time.Second)
		for id, c := range h.calls {
			if c.answers != 1 || c.ends != 1 {
				t.Errorf("%s: %d answers, %d ends; want 1, 1", id, c.answers, c.ends)
			}
		}
		if took := h.calls[otherCallID].endReportedAt.Sub(endedAt); took > endTimeout {
			t.Errorf("the last end was reported after %v, want within %v", took, endTimeout)
		}
	})
}
