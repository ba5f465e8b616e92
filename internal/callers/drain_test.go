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

// establish runs the loop, with an established call on the caller's only connection. The channel is closed once the loop has
// ended.
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

// endAfterClose closes the only connection, and then the call ends.
func (s *harness) endAfterClose() {
	s.runOnLoop(func() { s.callConn.close() })
	s.runOnLoop(func() { s.dispatchers.endCall() })
}

// reconnectAfter waits, and then has the caller open a connection and send a set-up on it.
func (s *harness) reconnectAfter(after time.Duration) {
	time.Sleep(after)
	s.runOnLoop(func() { s.sendSetUp(s.caller.openConn()) })
}

// drain starts the shutdown as SIGTERM does, and returns its time.
func (s *harness) drain() time.Time {
	s.runOnLoop(s.core.Drain)
	return time.Now()
}

// checkDrainTime waits for the end of the loop, and checks the time that it took since SIGTERM.
func checkDrainTime(t *testing.T, left <-chan struct{}, since time.Time, least, most time.Duration) {
	t.Helper()
	<-left
	if took := time.Since(since); took < least || took > most {
		t.Errorf("the controller ended %v after SIGTERM, want %v to %v", took, least, most)
	}
}

const (
	// minDrainTime is the time after SIGTERM at which a controller ends that has nothing to deliver.
	minDrainTime = 700 * time.Millisecond
	// maxDrainTime is the time after SIGTERM at which a controller ends although it has something to deliver.
	maxDrainTime = 3300 * time.Millisecond
	// detectionTime is the time within which an event is noticed.
	detectionTime = pollInterval + 50*time.Millisecond
)

// TestADrainWaitsForPendingEnds guards against the lost end of a call: it waits for a caller to connect, and the controller ends
// before one does.
func TestADrainWaitsForPendingEnds(t *testing.T) {
	const backAfter, waited = 2 * time.Second, endTimeout - 1500*time.Millisecond
	for name, test := range map[string]struct {
		play        func(s *harness) (since time.Time)
		heard       bool
		least, most time.Duration
	}{
		"the caller reconnects": {func(s *harness) time.Time {
			s.endAfterClose()
			since := s.drain()
			s.reconnectAfter(backAfter)
			return since
		}, true, backAfter, backAfter + crossingTime + detectionTime},
		"the call ends during the drain, and the caller reconnects": {func(s *harness) time.Time {
			since := s.drain()
			s.endAfterClose()
			s.reconnectAfter(backAfter)
			return since
		}, true, backAfter, backAfter + crossingTime + detectionTime},
		"no caller connects": {func(s *harness) time.Time {
			s.endAfterClose()
			return s.drain()
		}, false, maxDrainTime, maxDrainTime + detectionTime},
		"the end is about to expire": {func(s *harness) time.Time {
			s.endAfterClose()
			time.Sleep(waited)
			return s.drain()
		}, false, endTimeout - waited, endTimeout - waited + detectionTime},
		"the caller has read it": {func(s *harness) time.Time {
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
					t.Errorf("the caller has read the end: %v, want %v", s.hasReadEnd(), test.heard)
				}
			})
		})
	}
}

// openIdleConn has the caller open a connection on which a set-up is refused at once, so that it has no call there.
func (s *harness) openIdleConn() *fakeConn {
	var idle *fakeConn
	s.runOnLoop(func() { idle = s.caller.openConn() })
	s.runOnLoop(func() {
		idle.sentSetUp = true
		idle.client.send(jsonl.Message{Type: "setup", ID: otherCallID, SDP: new(string), Fields: map[string]jsonl.Value{"class": "none"}})
	})
	return idle
}

// TestADrainWaitsForEndsThatCrossAClose guards against the lost end of a call: it is sent on a connection without calls while the
// caller closes it, and the controller ends before it notices the close. Ends on the connections of their calls do not delay a
// drain.
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
		"another connection stays open": {func(s *harness) time.Time {
			s.runOnLoop(func() { s.callConn.close() })
			s.openIdleConn()
			since := s.drain()
			ends(s, func() {})
			return since
		}, endsAt + crossingTime, endsAt + crossingTime + detectionTime},
		"the call's own connection is reset, and the reset is not delivered yet": {func(s *harness) time.Time {
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
					t.Error("the end of the call is lost")
				}
			})
		})
	}
}

// TestPendingEndsGoToTheSuccessor guards against an end that waits for a caller in a process to which no caller connects any
// more.
func TestPendingEndsGoToTheSuccessor(t *testing.T) {
	const relayBusyFor = 500 * time.Millisecond
	for name, test := range map[string]struct {
		before, after func(s *harness) // before and after the successor starts to serve
		busy          bool             // the successor accepts nothing for a while
	}{
		"an end is pending as the successor starts": {(*harness).endAfterClose, func(*harness) {}, false},
		"the successor is busy":                     {(*harness).endAfterClose, func(*harness) {}, true},
		"the connection is reset before the end is read": {
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
						t.Errorf("ends relayed to the successor: %v, want %v; %d are still pending", taken, want, len(s.front.pendingEnds))
					}
				})
			})
		})
	}
}
