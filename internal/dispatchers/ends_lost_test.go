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

// reportEvery is how often the dispatcher speaks on a connection that lives.
const reportEvery = 500 * time.Millisecond

// wantedFor is how long a second connection is wanted after two set-ups were open at once, but for a moment.
const wantedFor = 4100 * time.Millisecond

// event is one that always can be, and that is followed by nothing else for a time.
func event(what string, after time.Duration, f func(s *orderSite)) orderEvent {
	return orderEvent{'-', what, func(s *orderSite) bool { f(s); return true }, after, false}
}

// deaden has nothing get through any more on a connection, which both sides hold for open.
func (s *standInConnection) deaden() {
	s.process = &process{site: s.process.site, cutOff: true}
}

// speaks has the first dispatcher report on all its connections that live for a time, which arrives at once.
func speaks(d time.Duration) []orderEvent {
	var events []orderEvent
	for range d / reportEvery {
		events = append(events, event("it reports", reportEvery, func(s *orderSite) {
			for _, c := range s.first.open() {
				if c.process == s.first {
					c.reports()
				}
			}
		}))
	}
	return events
}

// tellsOn has the first dispatcher end the call and tell it on a connection, where it does not arrive yet, and on the next one that opens.
func (s *orderSite) tellsOn(c *standInConnection) {
	delete(s.first.established, orderedID)
	s.first.repeats = append(s.first.repeats, orderedID)
	c.tell(byeOf(orderedID))
	s.calls[orderedID].endedAt = time.Now()
}

// endLost is an order in which the end of a call goes down with a connection.
type endLost struct {
	start orderStart
	order []orderEvent
}

// endsLost are the orders. A set-up goes out on the first connection.
func endsLost() map[string]endLost {
	called := orderStart{links: 2, called: true}
	tells := event("the end is told on the first connection", 0, func(s *orderSite) { s.tellsOn(s.first.all[0]) })
	resets := event("the first connection is reset", 0, func(s *orderSite) { s.first.all[0].reset() })
	dies := event("the first connection is dead", 0, func(s *orderSite) { s.first.all[0].deaden() })
	resetsUndialled := event("the first connection is reset as two are wanted for the last time, and a dial is refused", 0, func(s *orderSite) {
		server := s.pool.servers["first"]
		server.demand = links.Demand{}
		server.demand.Observe(time.Now().Add(-wantedFor), 2)
		s.first.listens = false
		s.first.all[0].reset()
	})
	listens := event("it listens again", 0, func(s *orderSite) { s.first.listens = true })
	more := event("a third connection is opened", time.Second, func(s *orderSite) { s.pool.Reconnect("first") })
	otherDies := event("the second connection is dead", 0, func(s *orderSite) { s.first.all[1].deaden() })
	answers := event("it answers", 0, func(s *orderSite) {
		s.first.finalAnswer(orderedID, 200)
		s.arrive()
	})
	closes := event("the first connection is closed in good order", 50*time.Millisecond, func(s *orderSite) {
		s.first.all[0].close()
		s.first.all[0].deliver()
	})
	tellsOnOther := event("the end is told on the second connection", 0, func(s *orderSite) { s.tellsOn(s.first.all[1]) })
	long := speaks(20 * time.Second)
	return map[string]endLost{
		"it is reset":                          {called, slices.Concat([]orderEvent{tells, resets}, long)},
		"it is reset, and a dial is refused":   {called, slices.Concat([]orderEvent{tells, resetsUndialled}, speaks(time.Second), []orderEvent{listens}, long)},
		"it is dead":                           {called, slices.Concat([]orderEvent{dies, tells}, long)},
		"it is dead and was given up":          {called, slices.Concat([]orderEvent{dies}, speaks(8*time.Second), []orderEvent{tells}, long)},
		"it is dead and was given up for long": {called, slices.Concat([]orderEvent{dies}, speaks(25*time.Second), []orderEvent{tells}, long)},
		"it was given up and is reset":         {called, slices.Concat([]orderEvent{dies}, speaks(6*time.Second), []orderEvent{tells, resets}, long)},
		"the call came to stand after it was given up": {orderStart{links: 2}, slices.Concat([]orderEvent{more, otherDies}, speaks(7*time.Second),
			[]orderEvent{answers, closes, tellsOnOther}, long)},
	}
}

// TestEndsThatGoDownWithAConnection guards against the end of a call that is told on a connection that never brings it, while others live.
func TestEndsThatGoDownWithAConnection(t *testing.T) {
	t.Parallel()
	for name, test := range endsLost() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, test.start)
				possible := s.play(test.order)
				if c := s.calls[orderedID]; !possible || len(s.faults) > 0 || c.overs != 1 {
					t.Errorf("%d answers, %d ends: %s", c.answers, c.overs, strings.Join(s.faults, "; "))
				}
			})
		})
	}
}

// TestAConnectionThatIsNeverClosedKeepsItsDoubts guards against ends on a dead connection of calls that came to stand after all that were in doubt.
func TestAConnectionThatIsNeverClosedKeepsItsDoubts(t *testing.T) {
	t.Parallel()
	withSite(t, orderStart{links: 2}, func(s *orderSite) {
		establish := func(id string) { // the answer arrives with what the dispatcher says next
			s.setsUp(id)
			s.do(func() { s.first.finalAnswer(id, 200); s.arrive() })
		}
		establish(orderedID)
		dead := s.first.all[1]
		s.do(dead.deaden)
		s.speaksFor(12 * time.Second)
		s.do(func() { s.first.ends(orderedID); s.arrive() })
		s.speaksFor(6 * time.Second)
		establish(otherID)
		s.do(func() {
			c := s.first.established[otherID]
			c.close()
			c.deliver()
		})
		s.do(func() {
			delete(s.first.established, otherID)
			s.first.repeats = append(s.first.repeats, otherID)
			dead.tell(byeOf(otherID))
		})
		endedAt := time.Now()
		s.speaksFor(20 * time.Second)
		for id, c := range s.calls {
			if c.answers != 1 || c.overs != 1 {
				t.Errorf("%s: %d answers, %d ends; want 1, 1", id, c.answers, c.overs)
			}
		}
		if took := s.calls[otherID].overAt.Sub(endedAt); took > endUntold {
			t.Errorf("the last end after %v, want within %v", took, endUntold)
		}
	})
}
