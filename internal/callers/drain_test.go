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
func (h *harness) establish() (done <-chan struct{}) {
	loopEnded := make(chan struct{})
	go func() {
		defer close(loopEnded)
		h.core.Loop().Run()
	}()
	h.runOnLoop(func() {
		h.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: testServer, Status: control.Active}, Address: "first"}}})
		h.core.DispatcherReached()
	})
	time.Sleep(time.Second)
	h.runOnLoop(func() { h.callConn = h.caller.openConn() })
	h.runOnLoop(func() { h.sendSetUp(h.callConn) })
	time.Sleep(10 * time.Millisecond)
	h.runOnLoop(func() { h.dispatchers.answer() })
	return loopEnded
}

// endAfterClose closes the only connection, and then the call ends.
func (h *harness) endAfterClose() {
	h.runOnLoop(func() { h.callConn.close() })
	h.runOnLoop(func() { h.dispatchers.endCall() })
}

// reconnectAfter waits, and then has the caller open a connection and send a set-up on it.
func (h *harness) reconnectAfter(after time.Duration) {
	time.Sleep(after)
	h.runOnLoop(func() { h.sendSetUp(h.caller.openConn()) })
}

// drain starts the shutdown as SIGTERM does, and returns its time.
func (h *harness) drain() time.Time {
	h.runOnLoop(h.core.Drain)
	return time.Now()
}

// checkDrainTime waits for the end of the loop, and checks the time that it took since SIGTERM.
func checkDrainTime(t *testing.T, done <-chan struct{}, since time.Time, atLeast, atMost time.Duration) {
	t.Helper()
	<-done
	if took := time.Since(since); took < atLeast || took > atMost {
		t.Errorf("the controller ended %v after SIGTERM, want %v to %v", took, atLeast, atMost)
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
	const reconnectDelay, waitBefore = 2 * time.Second, endTimeout - 1500*time.Millisecond
	for name, test := range map[string]struct {
		play        func(h *harness) (since time.Time)
		wantRead    bool
		least, most time.Duration
	}{
		"the caller reconnects": {func(h *harness) time.Time {
			h.endAfterClose()
			since := h.drain()
			h.reconnectAfter(reconnectDelay)
			return since
		}, true, reconnectDelay, reconnectDelay + crossingTime + detectionTime},
		"the call ends during the drain, and the caller reconnects": {func(h *harness) time.Time {
			since := h.drain()
			h.endAfterClose()
			h.reconnectAfter(reconnectDelay)
			return since
		}, true, reconnectDelay, reconnectDelay + crossingTime + detectionTime},
		"no caller connects": {func(h *harness) time.Time {
			h.endAfterClose()
			return h.drain()
		}, false, maxDrainTime, maxDrainTime + detectionTime},
		"the end is about to expire": {func(h *harness) time.Time {
			h.endAfterClose()
			time.Sleep(waitBefore)
			return h.drain()
		}, false, endTimeout - waitBefore, endTimeout - waitBefore + detectionTime},
		"the caller has read it": {func(h *harness) time.Time {
			h.runOnLoop(func() { h.dispatchers.endCall() })
			return h.drain()
		}, true, minDrainTime, minDrainTime + detectionTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, initialState{})
				done := h.establish()
				checkDrainTime(t, done, test.play(h), test.least, test.most)
				if h.hasReadEnd() != test.wantRead {
					t.Errorf("the caller has read the end: %v, want %v", h.hasReadEnd(), test.wantRead)
				}
			})
		})
	}
}

// openIdleConn has the caller open a connection on which a set-up is refused at once, so that it has no call there.
func (h *harness) openIdleConn() *fakeConn {
	var idle *fakeConn
	h.runOnLoop(func() { idle = h.caller.openConn() })
	h.runOnLoop(func() {
		idle.sentSetUp = true
		idle.client.send(jsonl.Message{Type: "setup", ID: otherCallID, SDP: new(string), Fields: map[string]jsonl.Value{"class": "none"}})
	})
	return idle
}

// TestADrainWaitsForEndsThatCrossAClose guards against the lost end of a call: it is sent on a connection without calls while the
// caller closes it, and the controller ends before it notices the close. Ends on the connections of their calls do not delay a
// drain.
func TestADrainWaitsForEndsThatCrossAClose(t *testing.T) {
	const endDelay, reconnectDelay = minDrainTime - closeTransit/2, time.Second
	endCallAfterDelay := func(h *harness, before func()) {
		time.Sleep(endDelay)
		h.runOnLoop(func() {
			before()
			h.dispatchers.endCall()
		})
	}
	for name, test := range map[string]struct {
		play        func(h *harness) (since time.Time)
		least, most time.Duration
	}{
		"another connection closes": {func(h *harness) time.Time {
			h.runOnLoop(func() { h.callConn.close() })
			idle, since := h.openIdleConn(), h.drain()
			endCallAfterDelay(h, idle.closeDelayed)
			h.reconnectAfter(reconnectDelay)
			return since
		}, endDelay + reconnectDelay, endDelay + reconnectDelay + crossingTime + detectionTime},
		"another connection stays open": {func(h *harness) time.Time {
			h.runOnLoop(func() { h.callConn.close() })
			h.openIdleConn()
			since := h.drain()
			endCallAfterDelay(h, func() {})
			return since
		}, endDelay + crossingTime, endDelay + crossingTime + detectionTime},
		"the call's own connection is reset, and the reset is not delivered yet": {func(h *harness) time.Time {
			since := h.drain()
			time.Sleep(endDelay)
			h.runOnLoop(func() {
				h.dispatchers.endCall()
				h.caller.inputHeld = true
				h.callConn.reset()
			})
			time.Sleep(closeTransit)
			h.runOnLoop(func() { h.caller.unblock() })
			h.reconnectAfter(reconnectDelay)
			return since
		}, endDelay + reconnectDelay, endDelay + reconnectDelay + crossingTime + detectionTime},
		"the call's own connection": {func(h *harness) time.Time {
			since := h.drain()
			endCallAfterDelay(h, func() {})
			return since
		}, minDrainTime, minDrainTime + detectionTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, initialState{})
				done := h.establish()
				checkDrainTime(t, done, test.play(h), test.least, test.most)
				if !h.hasReadEnd() {
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
		before, after func(h *harness) // before and after the successor starts to serve
		busy          bool             // the successor accepts nothing for a while
	}{
		"an end is pending as the successor starts": {(*harness).endAfterClose, func(*harness) {}, false},
		"the successor is busy":                     {(*harness).endAfterClose, func(*harness) {}, true},
		"the connection is reset before the end is read": {
			func(h *harness) {
				h.runOnLoop(func() {
					h.caller.paused = true
					h.dispatchers.endCall()
				})
			},
			func(h *harness) { h.runOnLoop(func() { h.callConn.reset() }) }, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, initialState{})
				done := h.establish()
				defer func() {
					h.core.Loop().Quit()
					<-done
				}()
				test.before(h)
				var relayed []string
				busy := test.busy
				h.runOnLoop(func() {
					h.core.Supersede(func(id string, _ call.End) bool {
						if !busy {
							relayed = append(relayed, id)
						}
						return !busy
					})
				})
				test.after(h)
				time.Sleep(relayBusyFor)
				h.runOnLoop(func() { busy = false })
				time.Sleep(maxEndDelay - relayBusyFor)
				h.runOnLoop(func() {
					if want := []string{testCallID}; !slices.Equal(relayed, want) || len(h.front.pendingEnds) > 0 {
						t.Errorf("ends relayed to the successor: %v, want %v; %d are still pending", relayed, want, len(h.front.pendingEnds))
					}
				})
			})
		})
	}
}
