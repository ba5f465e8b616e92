package dispatchers

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/internal/decide/links"
)

// Orders in which the end of a call goes down with a connection, while the dispatcher speaks on another one: only a further connection brings it.

// reportInterval is how often the dispatcher speaks on a connection that lives.
const reportInterval = 500 * time.Millisecond

// wantedFor is how long a second connection is wanted after two set-ups were open at once, but for a moment.
const wantedFor = 4100 * time.Millisecond

// newStep is one that always can be, and that is followed by nothing else for a time.
func newStep(what string, after time.Duration, f func(s *harness)) scenarioStep {
	return scenarioStep{'-', what, func(s *harness) bool { f(s); return true }, after, false}
}

// isolate has nothing get through any more on a connection, which both sides hold for open.
func (s *fakeConn) isolate() {
	s.dispatcher = &fakeDispatcher{harness: s.dispatcher.harness, partitioned: true}
}

// reportSteps has the first dispatcher report on all its connections that live for a time, which arrives at once.
func reportSteps(d time.Duration) []scenarioStep {
	var events []scenarioStep
	for range d / reportInterval {
		events = append(events, newStep("it reports", reportInterval, func(s *harness) {
			for _, c := range s.first.usableConns() {
				if c.dispatcher == s.first {
					c.sendReport()
				}
			}
		}))
	}
	return events
}

// sendEndOn has the first dispatcher end the call and tell it on a connection, where it does not arrive yet, and on the next one that opens.
func (s *harness) sendEndOn(c *fakeConn) {
	delete(s.first.established, testCallID)
	s.first.endsToRepeat = append(s.first.endsToRepeat, testCallID)
	c.send(releaseOf(testCallID))
	s.calls[testCallID].endedAt = time.Now()
}

// lostEnd is an order in which the end of a call goes down with a connection.
type lostEnd struct {
	start initialState
	steps []scenarioStep
}

// lostEnds are the orders. A set-up goes out on the first connection.
func lostEnds() map[string]lostEnd {
	called := initialState{conns: 2, established: true}
	sendsEnd := newStep("the end is told on the first connection", 0, func(s *harness) { s.sendEndOn(s.first.allConns[0]) })
	resetsFirst := newStep("the first connection is reset", 0, func(s *harness) { s.first.allConns[0].reset() })
	blocksFirst := newStep("the first connection is dead", 0, func(s *harness) { s.first.allConns[0].isolate() })
	resetsAndRefuses := newStep("the first connection is reset as two are wanted for the last time, and a dial is refused", 0, func(s *harness) {
		server := s.pool.servers["first"]
		server.demand = links.Demand{}
		server.demand.Observe(time.Now().Add(-wantedFor), 2)
		s.first.listening = false
		s.first.allConns[0].reset()
	})
	listens := newStep("it listens again", 0, func(s *harness) { s.first.listening = true })
	opensThird := newStep("a third connection is opened", time.Second, func(s *harness) { s.pool.Reconnect("first") })
	blocksSecond := newStep("the second connection is dead", 0, func(s *harness) { s.first.allConns[1].isolate() })
	answers := newStep("it answers", 0, func(s *harness) {
		s.first.sendFinalAnswer(testCallID, 200)
		s.deliverAll()
	})
	closesFirst := newStep("the first connection is closed in good order", 50*time.Millisecond, func(s *harness) {
		s.first.allConns[0].close()
		s.first.allConns[0].deliverToPool()
	})
	sendsEndOnSecond := newStep("the end is told on the second connection", 0, func(s *harness) { s.sendEndOn(s.first.allConns[1]) })
	reportsLong := reportSteps(20 * time.Second)
	return map[string]lostEnd{
		"it is reset":                          {called, slices.Concat([]scenarioStep{sendsEnd, resetsFirst}, reportsLong)},
		"it is reset, and a dial is refused":   {called, slices.Concat([]scenarioStep{sendsEnd, resetsAndRefuses}, reportSteps(time.Second), []scenarioStep{listens}, reportsLong)},
		"it is dead":                           {called, slices.Concat([]scenarioStep{blocksFirst, sendsEnd}, reportsLong)},
		"it is dead and was given up":          {called, slices.Concat([]scenarioStep{blocksFirst}, reportSteps(8*time.Second), []scenarioStep{sendsEnd}, reportsLong)},
		"it is dead and was given up for long": {called, slices.Concat([]scenarioStep{blocksFirst}, reportSteps(25*time.Second), []scenarioStep{sendsEnd}, reportsLong)},
		"it was given up and is reset":         {called, slices.Concat([]scenarioStep{blocksFirst}, reportSteps(6*time.Second), []scenarioStep{sendsEnd, resetsFirst}, reportsLong)},
		"the call came to stand after it was given up": {initialState{conns: 2}, slices.Concat([]scenarioStep{opensThird, blocksSecond}, reportSteps(7*time.Second),
			[]scenarioStep{answers, closesFirst, sendsEndOnSecond}, reportsLong)},
	}
}

// TestEndsLostWithAConnectionAreReported guards against the end of a call that is told on a connection that never brings it, while others live.
func TestEndsLostWithAConnectionAreReported(t *testing.T) {
	t.Parallel()
	for name, test := range lostEnds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, test.start)
				possible := s.play(test.steps)
				if c := s.calls[testCallID]; !possible || len(s.violations) > 0 || c.ends != 1 {
					t.Errorf("%d answers, %d ends: %s", c.answers, c.ends, strings.Join(s.violations, "; "))
				}
			})
		})
	}
}

// TestEndsOnAnUnclosedConnectionAreRepeated guards against ends on a dead connection of calls that came to stand after all that were in doubt.
func TestEndsOnAnUnclosedConnectionAreRepeated(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{conns: 2}, func(s *harness) {
		establish := func(id string) { // the answer arrives with what the dispatcher says next
			s.setUpCall(id)
			s.runOnLoop(func() { s.first.sendFinalAnswer(id, 200); s.deliverAll() })
		}
		establish(testCallID)
		dead := s.first.allConns[1]
		s.runOnLoop(dead.isolate)
		s.reportFor(12 * time.Second)
		s.runOnLoop(func() { s.first.endCall(testCallID); s.deliverAll() })
		s.reportFor(6 * time.Second)
		establish(otherCallID)
		s.runOnLoop(func() {
			c := s.first.established[otherCallID]
			c.close()
			c.deliverToPool()
		})
		s.runOnLoop(func() {
			delete(s.first.established, otherCallID)
			s.first.endsToRepeat = append(s.first.endsToRepeat, otherCallID)
			dead.send(releaseOf(otherCallID))
		})
		endedAt := time.Now()
		s.reportFor(20 * time.Second)
		for id, c := range s.calls {
			if c.answers != 1 || c.ends != 1 {
				t.Errorf("%s: %d answers, %d ends; want 1, 1", id, c.answers, c.ends)
			}
		}
		if took := s.calls[otherCallID].endReportedAt.Sub(endedAt); took > endTimeout {
			t.Errorf("the last end after %v, want within %v", took, endTimeout)
		}
	})
}
