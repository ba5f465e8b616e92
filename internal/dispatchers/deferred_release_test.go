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
				h, core, quit := harnessWithDeferredRelease(t)
				defer quit()
				time.Sleep(test.after)
				h.runOnLoop(func() {
					c := h.first.allConns[test.closes]
					c.inTransit = nil
					c.close()
					c.deliverToPool()
				})
				h.runOnLoop(func() {
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
func harnessWithCancelledAttempt(t *testing.T) (h *harness, core *releaseRecorder, quit func()) {
	t.Helper()
	h = newHarness(t, initialState{})
	core = &releaseRecorder{fakeCore: fakeCore{outcomeRecorder: outcomeRecorder{outcomes: map[string]control.Outcome{}},
		calls: map[control.ServerID][]string{}}}
	h.pool.core = core
	quit = h.run()
	h.runOnLoop(func() { h.updateList(control.Active, "first") })
	time.Sleep(time.Second)
	h.runOnLoop(func() {
		h.calls[testCallID] = &callRecord{}
		h.pool.SetUp("first", attemptOf(testCallID, 0))
	})
	h.runOnLoop(func() { h.pool.CancelAttempt("first", testCallID, 0) })
	h.runOnLoop(func() {
		c := h.first.allConns[0]
		c.inTransit = nil
		c.sendReport()
	})
	return h, core, quit
}

// harnessWithDeferredRelease returns a harness with three connections: a release was received on the first one, where an attempt was
// cancelled, and the next attempt has established the call on the second. Its event loop runs until quit is called.
func harnessWithDeferredRelease(t *testing.T) (h *harness, core *releaseRecorder, quit func()) {
	t.Helper()
	h, core, quit = harnessWithCancelledAttempt(t)
	h.runOnLoop(func() { h.pool.SetUp("first", attemptOf(testCallID, 1)) })
	time.Sleep(time.Second)
	h.runOnLoop(func() { h.first.sendFinalAnswer(testCallID, 200); h.first.allConns[1].deliverToPool() })
	h.runOnLoop(func() { h.pool.Reconnect("first") })
	time.Sleep(time.Second)
	h.runOnLoop(h.releaseOnFirst)
	return h, core, quit
}

// releaseOnFirst delivers a release of the call on the first connection.
func (h *harness) releaseOnFirst() {
	h.first.allConns[0].send(releaseOf(testCallID))
	h.first.allConns[0].deliverToPool()
}

// connectionWithSetUp returns the connection on which the call's set-up is open at its dispatcher.
func (h *harness) connectionWithSetUp(t *testing.T) *fakeConn {
	t.Helper()
	for _, c := range h.first.allConns[1:] {
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
	refuseNext := func(t *testing.T, h *harness) (refusedConn *fakeConn) {
		h.runOnLoop(func() { h.pool.SetUp("first", attemptOf(testCallID, 1)) })
		h.runOnLoop(h.releaseOnFirst)
		refusedConn = h.connectionWithSetUp(t)
		h.runOnLoop(func() {
			h.first.sendFinalAnswerOn(refusedConn, testCallID, refused)
			refusedConn.deliverToPool()
			h.calls[otherCallID] = &callRecord{}
			h.pool.SetUp("first", attemptOf(otherCallID, 0)) // on the same connection, so that the next attempt uses another one
		})
		h.runOnLoop(func() { h.pool.SetUp("first", attemptOf(testCallID, 2)) })
		if h.connectionWithSetUp(t) == refusedConn {
			t.Fatal("the next attempt is on the same connection")
		}
		return refusedConn
	}
	for name, prepare := range map[string]func(t *testing.T, h *harness) (closing *fakeConn){
		"the next attempt had not been sent": func(t *testing.T, h *harness) *fakeConn {
			h.runOnLoop(func() {
				for _, c := range h.first.allConns[1:] {
					c.writeBlocked = true
				}
				h.pool.SetUp("first", attemptOf(testCallID, 1))
			})
			h.runOnLoop(h.releaseOnFirst)
			h.runOnLoop(func() {
				for _, c := range h.first.allConns[1:] {
					c.unblock()
				}
			})
			return h.connectionWithSetUp(t)
		},
		"the next attempt was refused": func(t *testing.T, h *harness) *fakeConn {
			refuseNext(t, h)
			return h.connectionWithSetUp(t)
		},
		"the next attempt was refused, and its connection closes": refuseNext,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h, core, quit := harnessWithCancelledAttempt(t)
				defer quit()
				for range 2 {
					h.runOnLoop(func() { h.pool.Reconnect("first") })
					time.Sleep(time.Second)
				}
				closing, c := prepare(t, h), h.connectionWithSetUp(t)
				h.runOnLoop(func() {
					h.first.sendFinalAnswerOn(c, testCallID, 200)
					c.deliverToPool()
				})
				h.runOnLoop(func() {
					closing.close()
					closing.deliverToPool()
				})
				h.runOnLoop(func() {
					if !slices.Equal(core.attempts, []int{0}) {
						t.Errorf("releases belong to the attempts %d, want only 0", core.attempts)
					}
				})
			})
		})
	}
}
