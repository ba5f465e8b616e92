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
			withHarness(t, initialState{neverCloses: true}, func(s *harness) {
				if established {
					s.runOnLoop(func() { s.placeCall(testCallID, callTimeout) })
					s.runOnLoop(func() { s.first.sendFinalAnswer(testCallID, 200); s.first.allConns[0].deliverToPool() })
				}
				closed := func() (closed bool) {
					s.runOnLoop(func() { closed = s.first.allConns[0].closed })
					return closed
				}
				s.runOnLoop(func() { s.pool.servers["first"].conns[0].evict() })
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
	order := []scenarioStep{
		newStep("the call's connection is dead, and is evicted", 2*time.Second, func(s *harness) {
			c := s.first.established[testCallID]
			c.isolate()
			for _, poolConn := range s.pool.servers["first"].conns {
				if poolConn.conn == transportConn(c) {
					poolConn.evict()
					return
				}
			}
		}),
		newStep("the call ends", 0, func(s *harness) { s.endCall(s.first, testCallID) }),
	}
	initialState{established: true, conns: 2, reportsPeriodically: true}.playWithoutViolation(t, order)
}

// TestAnUnsentReleaseOnAnEvictedConnection guards against a call that its dispatcher keeps and nobody releases, as the release was queued
// on an evicted connection whose socket was full.
func TestAnUnsentReleaseOnAnEvictedConnection(t *testing.T) {
	t.Parallel()
	evicts := newStep("the connection with the release is evicted", 0, func(s *harness) {
		for _, poolConn := range s.pool.servers["first"].conns {
			if poolConn.conn.Unsent() > 0 {
				poolConn.evict()
				return
			}
		}
		s.violation("no release is waiting")
	})
	for name, test := range map[string]scenario{
		"the only connection": {initialState{established: true}, "jc"},
		"the only connection, where another call is established": {initialState{established: true}, "mjc"},
		"one of two": {initialState{established: true, conns: 2}, "jc"},
		"one of two, where another call is established": {initialState{established: true, conns: 2}, "mjc"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			order := append(stepsFor(test.steps), evicts)
			test.start.playWithoutViolation(t, order)
		})
	}
}

// drainFirstUseSecond establishes a call at the first dispatcher, which then drains and stops listening, and sets up another call at the
// second.
func (s *harness) drainFirstUseSecond() {
	s.establish(testCallID)
	s.runOnLoop(func() {
		s.updateList(control.Draining, "first")
		s.first.listening = false
		s.updateList(control.Active, "second")
	})
	time.Sleep(time.Second)
	s.runOnLoop(func() { s.placeCall(otherCallID, callTimeout) })
	time.Sleep(time.Second)
}

// TestTheOnlyConnectionToADrainingDispatcherIsEvictedLast guards against established calls that are ended, and lost ends, because the
// only connection to their dispatcher, which accepts no new ones, is evicted although another connection could be.
func TestTheOnlyConnectionToADrainingDispatcherIsEvictedLast(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{secondDispatcher: true}, func(s *harness) {
		s.drainFirstUseSecond()
		s.runOnLoop(func() {
			if !s.isEstablished(otherCallID, "second") {
				t.Error("no call is established at the other dispatcher")
			}
			s.pool.SetSocketBudget(1)
		})
		time.Sleep(evictedReadTimeout + checkInterval)
		s.runOnLoop(func() {
			if !s.isEstablished(testCallID, "first") || len(s.pool.servers["first"].conns) != 1 {
				t.Errorf("%d ends were reported while the call is established, want 0; %d connections, want 1", s.calls[testCallID].ends,
					len(s.pool.servers["first"].conns))
			}
			s.endCall(s.first, testCallID)
		})
		s.advance(maxTransit + deliveryInterval)
		if c := s.calls[testCallID]; c.ends != 1 {
			t.Errorf("%d ends were reported, want the one that its dispatcher sent", c.ends)
		}
	})
}

// TestAConnectionWithAReleaseToADrainingDispatcherIsEvictedLast guards against a call that its dispatcher keeps and nobody releases: the
// release waits on the only connection there, which is evicted although another connection could be, and no new one can be opened.
func TestAConnectionWithAReleaseToADrainingDispatcherIsEvictedLast(t *testing.T) {
	t.Parallel()
	withHarness(t, initialState{secondDispatcher: true}, func(s *harness) {
		s.drainFirstUseSecond()
		s.runOnLoop(func() {
			s.first.allConns[0].writeBlocked = true
			s.cancelCall(testCallID)
		})
		time.Sleep(2 * checkInterval)
		s.runOnLoop(func() {
			if !s.isEstablished(otherCallID, "second") || s.first.allConns[0].Unsent() == 0 {
				t.Error("no call is established at the other dispatcher, or no release waits")
			}
			s.pool.SetSocketBudget(1)
		})
		time.Sleep(evictedReadTimeout + checkInterval)
		s.runOnLoop(s.first.allConns[0].unblock)
		s.runOnLoop(func() {
			if _, held := s.first.established[testCallID]; held {
				t.Error("the dispatcher still holds the call")
			}
		})
	})
}
