package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestAnEvictedConnectionIsClosedSoon guards against set-ups that wait for a descriptor because an evicted connection is read on while
// its dispatcher does not close it.
func TestAnEvictedConnectionIsClosedSoon(t *testing.T) {
	t.Parallel()
	for name, established := range map[string]bool{"a call is established": true, "no call is established": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, initialState{neverCloses: true}, func(h *harness) {
				if established {
					h.runOnLoop(func() { h.placeCall(testCallID, callTimeout) })
					h.runOnLoop(func() { h.first.sendFinalAnswer(testCallID, 200); h.first.allConns[0].deliverToPool() })
				}
				closed := func() (closed bool) {
					h.runOnLoop(func() { closed = h.first.allConns[0].closed })
					return closed
				}
				h.runOnLoop(func() { h.pool.servers["first"].conns[0].evict() })
				if closed() == established {
					t.Errorf("it is closed at once: %v, want %v", established, !established)
				}
				time.Sleep(evictedReadTimeout + checkInterval)
				if !closed() {
					t.Errorf("it is open after %v", evictedReadTimeout+checkInterval)
				}
			})
		})
	}
}

// TestAnEndOnAnEvictedConnection guards against the end of a call that is never reported because its dispatcher sends it on a connection
// that was evicted here and that the dispatcher still holds open.
func TestAnEndOnAnEvictedConnection(t *testing.T) {
	t.Parallel()
	steps := []scenarioStep{
		newStep("the call's connection is unresponsive, and is evicted", 2*time.Second, func(h *harness) {
			c := h.first.established[testCallID]
			c.isolate()
			for _, poolConn := range h.pool.servers["first"].conns {
				if poolConn.conn == transportConn(c) {
					poolConn.evict()
					return
				}
			}
		}),
		newStep("the call ends", 0, func(h *harness) { h.endCall(h.first, testCallID) }),
	}
	initialState{established: true, conns: 2, reportsPeriodically: true}.playWithoutViolation(t, steps)
}

// TestAnUnsentReleaseOnAnEvictedConnection guards against a call that its dispatcher keeps and nobody releases, as the release was queued
// on an evicted connection whose socket was full.
func TestAnUnsentReleaseOnAnEvictedConnection(t *testing.T) {
	t.Parallel()
	evicts := newStep("the connection with the release is evicted", 0, func(h *harness) {
		for _, poolConn := range h.pool.servers["first"].conns {
			if poolConn.conn.Unsent() > 0 {
				poolConn.evict()
				return
			}
		}
		h.violation("no release is waiting")
	})
	for name, test := range map[string]scenario{
		"the only connection": {initialState{established: true}, "jc"},
		"the only connection, where another call is established": {initialState{established: true}, "mjc"},
		"one of two": {initialState{established: true, conns: 2}, "jc"},
		"one of two, where another call is established": {initialState{established: true, conns: 2}, "mjc"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := append(stepsFor(test.steps), evicts)
			test.start.playWithoutViolation(t, steps)
		})
	}
}

// drainFirstUseSecond establishes a call at the first dispatcher, which then drains and stops listening, and sets up another call at the
// second.
func (h *harness) drainFirstUseSecond() {
	h.establish(testCallID)
	h.runOnLoop(func() {
		h.updateList(control.Draining, "first")
		h.first.listening = false
		h.updateList(control.Active, "second")
	})
	time.Sleep(time.Second)
	h.runOnLoop(func() { h.placeCall(otherCallID, callTimeout) })
	time.Sleep(time.Second)
}

// TestTheOnlyConnectionToADrainingDispatcherIsEvictedLast guards against established calls that are ended, and lost ends, because the
// only connection to their dispatcher, which accepts no new ones, is evicted although another connection could be.
func TestTheOnlyConnectionToADrainingDispatcherIsEvictedLast(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{secondDispatcher: true}, func(h *harness) {
		h.drainFirstUseSecond()
		h.runOnLoop(func() {
			if !h.isEstablished(otherCallID, "second") {
				t.Error("no call is established at the other dispatcher")
			}
			h.pool.SetSocketBudget(1)
		})
		time.Sleep(evictedReadTimeout + checkInterval)
		h.runOnLoop(func() {
			if !h.isEstablished(testCallID, "first") || len(h.pool.servers["first"].conns) != 1 {
				t.Errorf("%d ends were reported while the call is established, want 0; %d connections, want 1", h.calls[testCallID].ends,
					len(h.pool.servers["first"].conns))
			}
			h.endCall(h.first, testCallID)
		})
		h.advance(maxTransit + deliveryInterval)
		if c := h.calls[testCallID]; c.ends != 1 {
			t.Errorf("%d ends were reported, want the one that its dispatcher sent", c.ends)
		}
	})
}

// TestAConnectionWithAReleaseToADrainingDispatcherIsEvictedLast guards against a call that its dispatcher keeps and nobody releases: the
// release waits on the only connection there, which is evicted although another connection could be, and no new one can be opened.
func TestAConnectionWithAReleaseToADrainingDispatcherIsEvictedLast(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{secondDispatcher: true}, func(h *harness) {
		h.drainFirstUseSecond()
		h.runOnLoop(func() {
			h.first.allConns[0].writeBlocked = true
			h.cancelCall(testCallID)
		})
		time.Sleep(2 * checkInterval)
		h.runOnLoop(func() {
			if !h.isEstablished(otherCallID, "second") || h.first.allConns[0].Unsent() == 0 {
				t.Error("no call is established at the other dispatcher, or no release waits")
			}
			h.pool.SetSocketBudget(1)
		})
		time.Sleep(evictedReadTimeout + checkInterval)
		h.runOnLoop(h.first.allConns[0].unblock)
		h.runOnLoop(func() {
			if _, held := h.first.established[testCallID]; held {
				t.Error("the dispatcher still holds the call")
			}
		})
	})
}
