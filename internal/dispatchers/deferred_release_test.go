package dispatchers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
)

// TestAReleaseOfAnEarlierAttemptEndsNoLaterCall guards against a release of a cancelled attempt that ends the call established by the
// next attempt at the same dispatcher, when a connection closes that is not the call's, or long after the release.
func TestAReleaseOfAnEarlierAttemptEndsNoLaterCall(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		closes int // index of the connection
		after  time.Duration
		ends   bool
	}{
		"the call's connection closes right after": {1, 0, true},
		"the call's connection closes later":       {1, 2 * responseTimeout, false},
		"another connection closes":                {2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, core, quit := harnessWithDeferredRelease(t)
				defer quit()
				time.Sleep(test.after)
				s.runOnLoop(func() {
					c := s.first.allConns[test.closes]
					c.inTransit = nil
					c.close()
					c.deliverToPool()
				})
				s.runOnLoop(func() {
					want := []int{0}
					if test.ends {
						want = append(want, noAttempt)
					}
					if !slices.Equal(core.attempts, want) {
						t.Errorf("releases belong to the attempts %d, want %d", core.attempts, want)
					}
				})
			})
		})
	}
}

// harnessWithCancelledAttempt returns a harness on whose first connection an attempt was cancelled, which has no final answer yet. Its
// event loop runs until quit is called.
func harnessWithCancelledAttempt(t *testing.T) (s *harness, core *releaseRecorder, quit func()) {
	t.Helper()
	s = newHarness(t, initialState{})
	core = &releaseRecorder{fakeCore: fakeCore{outcomeRecorder: outcomeRecorder{outcomes: map[string]control.Outcome{}},
		calls: map[control.ServerID][]string{}}}
	s.pool.core = core
	quit = s.run()
	s.runOnLoop(func() { s.updateList(control.Active, "first") })
	time.Sleep(time.Second)
	s.runOnLoop(func() {
		s.calls[testCallID] = &callRecord{}
		s.pool.SetUp("first", attemptOf(testCallID, 0))
	})
	s.runOnLoop(func() { s.pool.CancelAttempt("first", testCallID, 0) })
	s.runOnLoop(func() {
		c := s.first.allConns[0]
		c.inTransit = nil
		c.sendReport()
	})
	return s, core, quit
}

// harnessWithDeferredRelease returns a harness with three connections: a release was received on the first one, where an attempt was
// cancelled, and the next attempt has established the call on the second. Its event loop runs until quit is called.
func harnessWithDeferredRelease(t *testing.T) (s *harness, core *releaseRecorder, quit func()) {
	t.Helper()
	s, core, quit = harnessWithCancelledAttempt(t)
	s.runOnLoop(func() { s.pool.SetUp("first", attemptOf(testCallID, 1)) })
	time.Sleep(time.Second)
	s.runOnLoop(func() { s.first.sendFinalAnswer(testCallID, 200); s.first.allConns[1].deliverToPool() })
	s.runOnLoop(func() { s.pool.Reconnect("first") })
	time.Sleep(time.Second)
	s.runOnLoop(s.releaseOnFirst)
	return s, core, quit
}

// releaseOnFirst delivers a release of the call on the first connection.
func (s *harness) releaseOnFirst() {
	s.first.allConns[0].send(releaseOf(testCallID))
	s.first.allConns[0].deliverToPool()
}

// connectionWithSetUp returns the connection on which the call's set-up is open at its dispatcher.
func (s *harness) connectionWithSetUp(t *testing.T) *fakeConn {
	t.Helper()
	for _, c := range s.first.allConns[1:] {
		if _, ok := c.setUps[testCallID]; ok {
			return c
		}
	}
	t.Fatal("no connection has the set-up")
	return nil
}

// TestADeferredReleaseEndsNoCallEstablishedLater guards against an established call that is ended: a release of an earlier attempt was
// deferred until the close of a connection on which the next attempt was not sent yet, or was refused, and the call was established
// afterwards.
func TestADeferredReleaseEndsNoCallEstablishedLater(t *testing.T) {
	t.Parallel()
	const refused = 486
	refuseNext := func(t *testing.T, s *harness) (on *fakeConn) {
		s.runOnLoop(func() { s.pool.SetUp("first", attemptOf(testCallID, 1)) })
		s.runOnLoop(s.releaseOnFirst)
		on = s.connectionWithSetUp(t)
		s.runOnLoop(func() {
			s.first.sendFinalAnswerOn(on, testCallID, refused)
			on.deliverToPool()
			s.calls[otherCallID] = &callRecord{}
			s.pool.SetUp("first", attemptOf(otherCallID, 0)) // on the same connection, so that the next attempt uses another one
		})
		s.runOnLoop(func() { s.pool.SetUp("first", attemptOf(testCallID, 2)) })
		if s.connectionWithSetUp(t) == on {
			t.Fatal("the next attempt is on the same connection")
		}
		return on
	}
	for name, prepare := range map[string]func(t *testing.T, s *harness) (closes *fakeConn){
		"the next attempt had not been sent": func(t *testing.T, s *harness) *fakeConn {
			s.runOnLoop(func() {
				for _, c := range s.first.allConns[1:] {
					c.writeBlocked = true
				}
				s.pool.SetUp("first", attemptOf(testCallID, 1))
			})
			s.runOnLoop(s.releaseOnFirst)
			s.runOnLoop(func() {
				for _, c := range s.first.allConns[1:] {
					c.unblock()
				}
			})
			return s.connectionWithSetUp(t)
		},
		"the next attempt was refused": func(t *testing.T, s *harness) *fakeConn {
			refuseNext(t, s)
			return s.connectionWithSetUp(t)
		},
		"the next attempt was refused, and its connection closes": refuseNext,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, core, quit := harnessWithCancelledAttempt(t)
				defer quit()
				for range 2 {
					s.runOnLoop(func() { s.pool.Reconnect("first") })
					time.Sleep(time.Second)
				}
				closing, c := prepare(t, s), s.connectionWithSetUp(t)
				s.runOnLoop(func() {
					s.first.sendFinalAnswerOn(c, testCallID, 200)
					c.deliverToPool()
				})
				s.runOnLoop(func() {
					closing.close()
					closing.deliverToPool()
				})
				s.runOnLoop(func() {
					if !slices.Equal(core.attempts, []int{0}) {
						t.Errorf("releases belong to the attempts %d, want only 0", core.attempts)
					}
				})
			})
		})
	}
}
