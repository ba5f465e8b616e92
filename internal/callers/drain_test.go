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

// establish runs the loop, with a call that stands on the caller's only connection. The channel is closed once the loop has ended.
func (s *harness) establish() (left <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.core.Loop().Run()
	}()
	s.runOnLoop(func() {
		s.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: testServer, Status: control.Active}, Address: "first"}}})
		s.core.DispatcherReached()
	})
	time.Sleep(time.Second)
	s.runOnLoop(func() { s.callConn = s.caller.openConn() })
	s.runOnLoop(func() { s.sendSetUp(s.callConn) })
	time.Sleep(10 * time.Millisecond)
	s.runOnLoop(func() { s.dispatchers.answer() })
	return ended
}

// endAfterClose has the only connection closed and the call end after that.
func (s *harness) endAfterClose() {
	s.runOnLoop(func() { s.callConn.close() })
	s.runOnLoop(func() { s.dispatchers.endCall() })
}

// reconnectAfter has the caller open a connection and send a set-up there, once a time has passed.
func (s *harness) reconnectAfter(after time.Duration) {
	time.Sleep(after)
	s.runOnLoop(func() { s.sendSetUp(s.caller.openConn()) })
}

// drain ends the controller as SIGTERM does, and returns when that came.
func (s *harness) drain() time.Time {
	s.runOnLoop(s.core.Drain)
	return time.Now()
}

// checkDrainTime waits for the end of the loop, and checks how long after SIGTERM it came.
func checkDrainTime(t *testing.T, left <-chan struct{}, since time.Time, least, most time.Duration) {
	t.Helper()
	<-left
	if took := time.Since(since); took < least || took > most {
		t.Errorf("the controller has ended %v after SIGTERM, want %v to %v", took, least, most)
	}
}

const (
	// minDrainTime is how soon after SIGTERM a controller may end that owes nothing.
	minDrainTime = 700 * time.Millisecond
	// maxDrainTime is when one ends that owes something still.
	maxDrainTime = 3300 * time.Millisecond
	// detectionTime is how long it may take until what happens shows.
	detectionTime = pollInterval + 50*time.Millisecond
)

// TestADrainWaitsForPendingEnds guards against the end of a call that is told to nobody: it waits for a caller to connect, and the controller
// ends before one does.
func TestADrainWaitsForPendingEnds(t *testing.T) {
	const backAfter, waited = 2 * time.Second, endTimeout - 1500*time.Millisecond
	for name, test := range map[string]struct {
		play        func(s *harness) (since time.Time)
		heard       bool
		least, most time.Duration
	}{
		"its caller connects again": {func(s *harness) time.Time {
			s.endAfterClose()
			since := s.drain()
			s.reconnectAfter(backAfter)
			return since
		}, true, backAfter, backAfter + crossingTime + detectionTime},
		"it comes in the drain, and its caller connects again": {func(s *harness) time.Time {
			since := s.drain()
			s.endAfterClose()
			s.reconnectAfter(backAfter)
			return since
		}, true, backAfter, backAfter + crossingTime + detectionTime},
		"nobody connects": {func(s *harness) time.Time {
			s.endAfterClose()
			return s.drain()
		}, false, maxDrainTime, maxDrainTime + detectionTime},
		"nobody counts on it any more": {func(s *harness) time.Time {
			s.endAfterClose()
			time.Sleep(waited)
			return s.drain()
		}, false, endTimeout - waited, endTimeout - waited + detectionTime},
		"its caller has read it": {func(s *harness) time.Time {
			s.runOnLoop(func() { s.dispatchers.endCall() })
			return s.drain()
		}, true, minDrainTime, minDrainTime + detectionTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, initialState{})
				left := s.establish()
				checkDrainTime(t, left, test.play(s), test.least, test.most)
				if s.hasReadEnd() != test.heard {
					t.Errorf("its end is read: %v, want %v", s.hasReadEnd(), test.heard)
				}
			})
		})
	}
}

// openIdleConn has the caller open a connection on which a set-up is refused at once: it has no call there.
func (s *harness) openIdleConn() *fakeConn {
	var idle *fakeConn
	s.runOnLoop(func() { idle = s.caller.openConn() })
	s.runOnLoop(func() {
		idle.sentSetUp = true
		idle.client.send(jsonl.Message{Type: "setup", ID: otherCallID, SDP: new(string), Fields: map[string]jsonl.Value{"class": "none"}})
	})
	return idle
}

// TestADrainWaitsForEndsThatCrossAClose guards against the end of a call that is told to nobody: it is told on a connection without calls that its
// caller is closing, and the controller ends before it knows of the close. Ends on the connections of their calls hold up no drain.
func TestADrainWaitsForEndsThatCrossAClose(t *testing.T) {
	const endsAt, backAfter = minDrainTime - closeTransit/2, time.Second
	ends := func(s *harness, first func()) {
		time.Sleep(endsAt)
		s.runOnLoop(func() {
			first()
			s.dispatchers.endCall()
		})
	}
	for name, test := range map[string]struct {
		play        func(s *harness) (since time.Time)
		least, most time.Duration
	}{
		"another connection closes": {func(s *harness) time.Time {
			s.runOnLoop(func() { s.callConn.close() })
			idle, since := s.openIdleConn(), s.drain()
			ends(s, idle.closeDelayed)
			s.reconnectAfter(backAfter)
			return since
		}, endsAt + backAfter, endsAt + backAfter + crossingTime + detectionTime},
		"another connection stays": {func(s *harness) time.Time {
			s.runOnLoop(func() { s.callConn.close() })
			s.openIdleConn()
			since := s.drain()
			ends(s, func() {})
			return since
		}, endsAt + crossingTime, endsAt + crossingTime + detectionTime},
		"the call's own connection is reset, which is not shown yet": {func(s *harness) time.Time {
			since := s.drain()
			time.Sleep(endsAt)
			s.runOnLoop(func() {
				s.dispatchers.endCall()
				s.caller.inputHeld = true
				s.callConn.reset()
			})
			time.Sleep(closeTransit)
			s.runOnLoop(func() { s.caller.unblock() })
			s.reconnectAfter(backAfter)
			return since
		}, endsAt + backAfter, endsAt + backAfter + crossingTime + detectionTime},
		"the call's own connection": {func(s *harness) time.Time {
			since := s.drain()
			ends(s, func() {})
			return since
		}, minDrainTime, minDrainTime + detectionTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, initialState{})
				left := s.establish()
				checkDrainTime(t, left, test.play(s), test.least, test.most)
				if !s.hasReadEnd() {
					t.Error("its end is told to nobody")
				}
			})
		})
	}
}

// TestPendingEndsGoToTheSuccessor guards against the end of a call that waits for a caller at a process that nobody connects to any more.
func TestPendingEndsGoToTheSuccessor(t *testing.T) {
	const relayBusyFor = 500 * time.Millisecond
	for name, test := range map[string]struct {
		before, after func(s *harness) // the successor begins to serve
		busy          bool             // it takes nothing for a while
	}{
		"it waits as the successor begins": {(*harness).endAfterClose, func(*harness) {}, false},
		"the successor is busy":            {(*harness).endAfterClose, func(*harness) {}, true},
		"its connection is reset with it unread": {
			func(s *harness) {
				s.runOnLoop(func() {
					s.caller.paused = true
					s.dispatchers.endCall()
				})
			},
			func(s *harness) { s.runOnLoop(func() { s.callConn.reset() }) }, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, initialState{})
				left := s.establish()
				defer func() {
					s.core.Loop().Quit()
					<-left
				}()
				test.before(s)
				var taken []string
				busy := test.busy
				s.runOnLoop(func() {
					s.core.Supersede(func(id string, _ call.End) bool {
						if !busy {
							taken = append(taken, id)
						}
						return !busy
					})
				})
				test.after(s)
				time.Sleep(relayBusyFor)
				s.runOnLoop(func() { busy = false })
				time.Sleep(maxEndDelay - relayBusyFor)
				s.runOnLoop(func() {
					if want := []string{testCallID}; !slices.Equal(taken, want) || len(s.front.pendingEnds) > 0 {
						t.Errorf("the successor has been told the ends of %v, want %v; %d wait here", taken, want, len(s.front.pendingEnds))
					}
				})
			})
		})
	}
}
