package dispatchers

import (
	"slices"
	"strings"
	"time"

	"cherryrelay/control"
)

// scenarioStep is a step of a scenario. Its run function reports whether the step was possible.
type scenarioStep struct {
	letter byte
	name   string
	run    func(s *harness) bool
	after  time.Duration // time that passes after it
	idle   bool          // nothing but time passes
}

// connInTransit returns the oldest or newest connection on which something is in transit to the pool.
func (p *fakeDispatcher) connInTransit(newest bool) *fakeConn {
	var found *fakeConn
	for _, c := range p.allConns {
		if (len(c.inTransit) > 0 || c.dispatcherClosed) && !c.closed && (found == nil || newest) {
			found = c
		}
	}
	return found
}

func deliverStep(newest bool) func(*harness) bool {
	return func(s *harness) bool {
		c := s.first.connInTransit(newest)
		if c == nil || s.first.partitioned || newest && c == s.first.connInTransit(false) {
			return false
		}
		c.deliverToPool()
		return true
	}
}

// waitStep returns a step in which nothing happens for a time.
func waitStep(letter byte, d time.Duration) scenarioStep {
	return scenarioStep{letter, "time passes: " + d.String(), func(*harness) bool { return true }, d, true}
}

func baseSteps() []scenarioStep {
	return []scenarioStep{
		{'a', "the first dispatcher answers", func(s *harness) bool { return s.first.sendFinalAnswer(testCallID, 200) }, 0, false},
		{'f', "it refuses", func(s *harness) bool { return s.first.sendFinalAnswer(testCallID, 504) }, 0, false},
		{'e', "it ends the call", func(s *harness) bool { return s.endCall(s.first, testCallID) }, 0, false},
		{'d', "what is in transit on the oldest connection arrives", deliverStep(false), 0, false},
		{'D', "what is in transit on the newest connection arrives", deliverStep(true), 0, false},
		{'r', "the oldest connection is reset", func(s *harness) bool { return s.withOldest((*fakeConn).reset) }, 0, false},
		{'h', "it closes the oldest connection cleanly", func(s *harness) bool { return s.withOldest((*fakeConn).close) }, 0, false},
		{'n', "one more connection is opened", func(s *harness) bool {
			if len(s.first.openConns) >= MaxConnections {
				return false
			}
			s.pool.Reconnect("first")
			return true
		}, 2 * checkInterval, false},
		{'c', "the caller cancels", func(s *harness) bool { return s.cancelCall(testCallID) }, 0, false},
		{'l', "the caller's connection closes", func(s *harness) bool {
			if s.callerDisconnected {
				return false
			}
			s.callerDisconnected = true
			s.core.CallerDisconnected(s)
			return true
		}, 0, false},
		{'g', "the first dispatcher drains", func(s *harness) bool { s.updateList(control.Draining, "first"); return true }, 0, false},
		{'x', "it is taken off the list", func(s *harness) bool { s.updateList(control.Removed, "first"); return true }, 0, false},
		{'y', "it is on the list", func(s *harness) bool { s.updateList(control.Active, "first"); return true }, 0, false},
		{'s', "it stops listening", func(s *harness) bool {
			listened := s.first.listening
			s.first.listening = false
			return listened
		}, 0, false},
		{'v', "it is cut off", func(s *harness) bool {
			cutOff := s.first.partitioned
			s.first.partitioned = true
			return !cutOff
		}, 0, false},
		{'w', "it can be reached again", func(s *harness) bool {
			if !s.first.partitioned {
				return false
			}
			s.first.reconnect()
			return true
		}, 0, false},
		{'k', "it stops", func(s *harness) bool {
			listened := s.first.listening
			s.first.die()
			return listened
		}, 0, false},
		{'b', "it restarts", func(s *harness) bool { s.restartFirst(); return true }, 2 * checkInterval, false},
		waitStep('t', 700*time.Millisecond),
		waitStep('T', silenceThreshold+3*checkInterval),
		waitStep('q', silenceTimeout+10*checkInterval),
	}
}

// stallSteps returns steps with connections that are blocked while their dispatcher and its other connections work.
func stallSteps() []scenarioStep {
	return []scenarioStep{
		{'i', "nothing reaches the dispatcher on the call's connection", func(s *harness) bool {
			return s.withConnectionOf(testCallID, func(c *fakeConn) bool { return !c.blockedToDispatcher }, func(c *fakeConn) { c.blockedToDispatcher = true })
		}, 0, false},
		{'o', "nothing arrives from it there", func(s *harness) bool {
			return s.withConnectionOf(testCallID, func(c *fakeConn) bool { return !c.blockedToPool }, func(c *fakeConn) { c.blockedToPool = true })
		}, 0, false},
		{'u', "no connection is blocked any more", (*harness).unblockAll, 0, false},
		{'m', "another call is placed, and is answered", (*harness).placeOtherCall, otherCallDelay + checkInterval - answerDelay/2, false},
		{'I', "nothing reaches the dispatcher on its newest connection", func(s *harness) bool {
			return s.withNewest(func(c *fakeConn) { c.blockedToDispatcher, s.stalled = true, true })
		}, 0, false},
		{'N', "it sends a report there", func(s *harness) bool {
			return s.withNewest((*fakeConn).sendReport)
		}, 0, false},
		{'p', "the first dispatcher answers the call's attempts from now on", func(s *harness) bool {
			before := s.first.answersCall[testCallID]
			s.first.answersCall[testCallID] = true
			return !before
		}, 0, false},
		{'E', "the other call ends", func(s *harness) bool { return s.endCall(s.first, otherCallID) }, 0, false},
	}
}

// withConnectionOf calls f with the connection of a call at the first dispatcher, if there is one and may allows it.
func (s *harness) withConnectionOf(id string, may func(*fakeConn) bool, f func(*fakeConn)) bool {
	c := s.first.pending(id)
	if c == nil {
		c = s.first.established[id]
	}
	if c == nil || !may(c) {
		return false
	}
	f(c)
	s.stalled = true
	return true
}

// pauseSteps returns steps with a dispatcher that is paused and continues, and with queues that fill meanwhile.
func pauseSteps() []scenarioStep {
	return []scenarioStep{
		{'z', "the first dispatcher is paused", func(s *harness) bool {
			before := s.first.paused
			s.first.paused, s.stalled = true, true
			return !before && !s.first.partitioned
		}, 0, false},
		{'Z', "it continues", func(s *harness) bool { return s.unpauseFirst(true) }, 0, false},
		{'A', "it continues, and reads later", func(s *harness) bool { return s.unpauseFirst(false) }, 0, false},
		{'j', "the pool's side can't write on the call's connection", func(s *harness) bool {
			return s.withConnectionOf(testCallID, func(c *fakeConn) bool { return !c.writeBlocked }, func(c *fakeConn) { c.writeBlocked = true })
		}, 0, false},
		{'H', "the dispatcher closes the call's connection cleanly", func(s *harness) bool {
			may := func(c *fakeConn) bool { return !c.dispatcherClosed && !s.first.paused }
			return s.withConnectionOf(testCallID, may, (*fakeConn).close)
		}, 0, false},
		{'J', "it closes the other call's connection cleanly", func(s *harness) bool {
			may := func(c *fakeConn) bool { return !c.dispatcherClosed && !s.first.paused }
			return s.withConnectionOf(otherCallID, may, (*fakeConn).close)
		}, 0, false},
		{'V', "a connection is evicted", func(s *harness) bool {
			before := s.pool.sockets.evicting
			s.pool.SetSocketBudget(s.pool.SocketCount() - 1)
			s.pool.SetSocketBudget(0)
			s.first.hadReset = s.first.hadReset || s.pool.sockets.evicting > before
			return s.pool.sockets.evicting > before
		}, 0, false},
		{'R', "the next connection will be refused", func(s *harness) bool { s.first.refuseNext++; return true }, 0, false},
		{'B', "the next dial will time out", func(s *harness) bool { s.first.timeOutNext++; return true }, 0, false},
	}
}

// unpauseFirst ends a pause of the first dispatcher.
func (s *harness) unpauseFirst(reads bool) bool {
	if !s.first.paused {
		return false
	}
	s.first.unpause(reads)
	return true
}

// withNewest calls f with the newest open connection of the first dispatcher.
func (s *harness) withNewest(f func(*fakeConn)) bool {
	open := s.first.usableConns()
	if s.first.partitioned || len(open) == 0 {
		return false
	}
	f(open[len(open)-1])
	return true
}

// unblockAll unblocks the blocked connections to the first dispatcher.
func (s *harness) unblockAll() bool {
	stalled := false
	for _, c := range s.first.allConns {
		if c.blockedToDispatcher || c.blockedToPool || c.writeBlocked {
			stalled = true
			c.unblock()
		}
	}
	return stalled
}

// placeOtherCall has the caller set up another call, which the first dispatcher answers at once if it is placed there.
func (s *harness) placeOtherCall() bool {
	id := otherCallID
	if s.calls[id] != nil {
		id = thirdCallID
	}
	if s.calls[id] != nil || s.callerDisconnected {
		return false
	}
	s.calls[id] = &callRecord{}
	s.first.answersCall[id] = true
	s.core.Loop().After(otherCallDelay, func() { s.placeCall(id, callTimeout) })
	return true
}

func stepLetters(order []scenarioStep) string {
	var letters strings.Builder
	for _, e := range order {
		letters.WriteByte(e.letter)
	}
	return letters.String()
}

// stepsFor returns the steps with the given letters.
func stepsFor(letters string) []scenarioStep {
	var order []scenarioStep
	for _, letter := range []byte(letters) {
		for _, e := range slices.Concat(baseSteps(), stallSteps(), pauseSteps()) {
			if e.letter == letter {
				order = append(order, e)
			}
		}
	}
	return order
}
