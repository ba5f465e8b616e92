package callers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/jsonl"
)

// callStands runs the loop, with a call that stands on the caller's only connection. The channel is closed once the loop has ended.
func (s *orderSite) callStands() (left <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.core.Loop().Run()
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
	return ended
}

// endsUnheard has the only connection closed and the call end after that.
func (s *orderSite) endsUnheard() {
	s.do(func() { s.first.close() })
	s.do(func() { s.dispatchers.ends() })
}

// connectsAgain has the caller open a connection and send a set-up there, once a time has passed.
func (s *orderSite) connectsAgain(after time.Duration) {
	time.Sleep(after)
	s.do(func() { s.setUp(s.caller.opens()) })
}

// drains ends the controller as SIGTERM does, and returns when that came.
func (s *orderSite) drains() time.Time {
	s.do(s.core.Drain)
	return time.Now()
}

// leavesAfter waits for the end of the loop, and checks how long after SIGTERM it came.
func leavesAfter(t *testing.T, left <-chan struct{}, since time.Time, least, most time.Duration) {
	t.Helper()
	<-left
	if took := time.Since(since); took < least || took > most {
		t.Errorf("the controller has ended %v after SIGTERM, want %v to %v", took, least, most)
	}
}

const (
	// earliestEnd is how soon after SIGTERM a controller may end that owes nothing.
	earliestEnd = 700 * time.Millisecond
	// latestEnd is when one ends that owes something still.
	latestEnd = 3300 * time.Millisecond
	// soon is how long it may take until what happens shows.
	soon = lookEvery + 50*time.Millisecond
)

// TestADrainStaysForEndsThatWait guards against the end of a call that is told to nobody: it waits for a caller to connect, and the controller
// ends before one does.
func TestADrainStaysForEndsThatWait(t *testing.T) {
	const backAfter, waited = 2 * time.Second, keep - 1500*time.Millisecond
	for name, test := range map[string]struct {
		play        func(s *orderSite) (since time.Time)
		heard       bool
		least, most time.Duration
	}{
		"its caller connects again": {func(s *orderSite) time.Time {
			s.endsUnheard()
			since := s.drains()
			s.connectsAgain(backAfter)
			return since
		}, true, backAfter, backAfter + recent + soon},
		"it comes in the drain, and its caller connects again": {func(s *orderSite) time.Time {
			since := s.drains()
			s.endsUnheard()
			s.connectsAgain(backAfter)
			return since
		}, true, backAfter, backAfter + recent + soon},
		"nobody connects": {func(s *orderSite) time.Time {
			s.endsUnheard()
			return s.drains()
		}, false, latestEnd, latestEnd + soon},
		"nobody counts on it any more": {func(s *orderSite) time.Time {
			s.endsUnheard()
			time.Sleep(waited)
			return s.drains()
		}, false, keep - waited, keep - waited + soon},
		"its caller has read it": {func(s *orderSite) time.Time {
			s.do(func() { s.dispatchers.ends() })
			return s.drains()
		}, true, earliestEnd, earliestEnd + soon},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, orderStart{})
				left := s.callStands()
				leavesAfter(t, left, test.play(s), test.least, test.most)
				if s.hasRead() != test.heard {
					t.Errorf("its end is read: %v, want %v", s.hasRead(), test.heard)
				}
			})
		})
	}
}

// opensIdle has the caller open a connection on which a set-up is refused at once: it has no call there.
func (s *orderSite) opensIdle() *standInConnection {
	var idle *standInConnection
	s.do(func() { idle = s.caller.opens() })
	s.do(func() {
		idle.asked = true
		idle.client.send(jsonl.Message{Type: "setup", ID: otherID, SDP: new(string), Fields: map[string]jsonl.Value{"class": "none"}})
	})
	return idle
}

// TestADrainStaysForEndsThatCrossAClose guards against the end of a call that is told to nobody: it is told on a connection without calls that its
// caller is closing, and the controller ends before it knows of the close. Ends on the connections of their calls hold up no drain.
func TestADrainStaysForEndsThatCrossAClose(t *testing.T) {
	const endsAt, backAfter = earliestEnd - finalFlight/2, time.Second
	ends := func(s *orderSite, first func()) {
		time.Sleep(endsAt)
		s.do(func() {
			first()
			s.dispatchers.ends()
		})
	}
	for name, test := range map[string]struct {
		play        func(s *orderSite) (since time.Time)
		least, most time.Duration
	}{
		"another connection closes": {func(s *orderSite) time.Time {
			s.do(func() { s.first.close() })
			idle, since := s.opensIdle(), s.drains()
			ends(s, idle.closeInFlight)
			s.connectsAgain(backAfter)
			return since
		}, endsAt + backAfter, endsAt + backAfter + recent + soon},
		"another connection stays": {func(s *orderSite) time.Time {
			s.do(func() { s.first.close() })
			s.opensIdle()
			since := s.drains()
			ends(s, func() {})
			return since
		}, endsAt + recent, endsAt + recent + soon},
		"the call's own connection is reset, which is not shown yet": {func(s *orderSite) time.Time {
			since := s.drains()
			time.Sleep(endsAt)
			s.do(func() {
				s.dispatchers.ends()
				s.caller.unshown = true
				s.first.reset()
			})
			time.Sleep(finalFlight)
			s.do(func() { s.caller.goesOn() })
			s.connectsAgain(backAfter)
			return since
		}, endsAt + backAfter, endsAt + backAfter + recent + soon},
		"the call's own connection": {func(s *orderSite) time.Time {
			since := s.drains()
			ends(s, func() {})
			return since
		}, earliestEnd, earliestEnd + soon},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, orderStart{})
				left := s.callStands()
				leavesAfter(t, left, test.play(s), test.least, test.most)
				if !s.hasRead() {
					t.Error("its end is told to nobody")
				}
			})
		})
	}
}

// TestEndsThatWaitGoToTheSuccessor guards against the end of a call that waits for a caller at a process that nobody connects to any more.
func TestEndsThatWaitGoToTheSuccessor(t *testing.T) {
	const relayBusyFor = 500 * time.Millisecond
	for name, test := range map[string]struct {
		before, after func(s *orderSite) // the successor begins to serve
		busy          bool               // it takes nothing for a while
	}{
		"it waits as the successor begins": {(*orderSite).endsUnheard, func(*orderSite) {}, false},
		"the successor is busy":            {(*orderSite).endsUnheard, func(*orderSite) {}, true},
		"its connection is reset with it unread": {
			func(s *orderSite) {
				s.do(func() {
					s.caller.still = true
					s.dispatchers.ends()
				})
			},
			func(s *orderSite) { s.do(func() { s.first.reset() }) }, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, orderStart{})
				left := s.callStands()
				defer func() {
					s.core.Loop().Quit()
					<-left
				}()
				test.before(s)
				var taken []string
				busy := test.busy
				s.do(func() {
					s.core.Supersede(func(id string, _ call.End) bool {
						if !busy {
							taken = append(taken, id)
						}
						return !busy
					})
				})
				test.after(s)
				time.Sleep(relayBusyFor)
				s.do(func() { busy = false })
				time.Sleep(toldWithin - relayBusyFor)
				s.do(func() {
					if want := []string{orderedID}; !slices.Equal(taken, want) || len(s.front.pending) > 0 {
						t.Errorf("the successor has been told the ends of %v, want %v; %d wait here", taken, want, len(s.front.pending))
					}
				})
			})
		})
	}
}
