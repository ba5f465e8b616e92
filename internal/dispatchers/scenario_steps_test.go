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
	run    func(h *harness) bool
	after  time.Duration // time that passes after it
	idle   bool          // nothing but time passes
}

// connInTransit returns the oldest or newest connection on which something is in transit to the pool.
func (d *fakeDispatcher) connInTransit(newest bool) *fakeConn {
	var found *fakeConn
	for _, c := range d.allConns {
		if (len(c.inTransit) > 0 || c.dispatcherClosed) && !c.closed && (found == nil || newest) {
			found = c
		}
	}
	return found
}

// deliverStep returns the run function of a step that delivers what is in transit on the oldest or newest connection.
func deliverStep(newest bool) func(*harness) bool {
	return func(h *harness) bool {
		c := h.first.connInTransit(newest)
		if c == nil || h.first.partitioned || newest && c == h.first.connInTransit(false) {
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

// baseSteps returns steps with the call, its dispatcher, their connections and the list.
func baseSteps() []scenarioStep {
	return []scenarioStep{
		{'a', "the first dispatcher answers", func(h *harness) bool { return h.first.sendFinalAnswer(testCallID, 200) }, 0, false},
		{'f', "it refuses", func(h *harness) bool { return h.first.sendFinalAnswer(testCallID, 504) }, 0, false},
		{'e', "it ends the call", func(h *harness) bool { return h.endCall(h.first, testCallID) }, 0, false},
		{'d', "what is in transit on the oldest connection arrives", deliverStep(false), 0, false},
		{'D', "what is in transit on the newest connection arrives", deliverStep(true), 0, false},
		{'r', "the oldest connection is reset", func(h *harness) bool { return h.withOldest((*fakeConn).reset) }, 0, false},
		{'h', "it closes the oldest connection cleanly", func(h *harness) bool { return h.withOldest((*fakeConn).close) }, 0, false},
		{'n', "one more connection is opened", func(h *harness) bool {
			if len(h.first.openConns) >= MaxConnections {
				return false
			}
			h.pool.Reconnect("first")
			return true
		}, 2 * checkInterval, false},
		{'c', "the caller cancels", func(h *harness) bool { return h.cancelCall(testCallID) }, 0, false},
		{'l', "the caller's connection closes", func(h *harness) bool {
			if h.callerDisconnected {
				return false
			}
			h.callerDisconnected = true
			h.core.CallerDisconnected(h)
			return true
		}, 0, false},
		{'g', "the first dispatcher drains", func(h *harness) bool { h.updateList(control.Draining, "first"); return true }, 0, false},
		{'x', "it is taken off the list", func(h *harness) bool { h.updateList(control.Removed, "first"); return true }, 0, false},
		{'y', "it is on the list", func(h *harness) bool { h.updateList(control.Active, "first"); return true }, 0, false},
		{'s', "it stops listening", func(h *harness) bool {
			wasListening := h.first.listening
			h.first.listening = false
			return wasListening
		}, 0, false},
		{'v', "it is cut off", func(h *harness) bool {
			wasPartitioned := h.first.partitioned
			h.first.partitioned = true
			return !wasPartitioned
		}, 0, false},
		{'w', "it can be reached again", func(h *harness) bool {
			if !h.first.partitioned {
				return false
			}
			h.first.reconnect()
			return true
		}, 0, false},
		{'k', "it stops", func(h *harness) bool {
			wasListening := h.first.listening
			h.first.stop()
			return wasListening
		}, 0, false},
		{'b', "it restarts", func(h *harness) bool { h.restartFirst(); return true }, 2 * checkInterval, false},
		waitStep('t', 700*time.Millisecond),
		waitStep('T', suspectAfter+3*checkInterval),
		waitStep('q', unresponsiveTimeout+10*checkInterval),
	}
}

// stallSteps returns steps with connections that are blocked while their dispatcher and its other connections work.
func stallSteps() []scenarioStep {
	return []scenarioStep{
		{'i', "nothing reaches the dispatcher on the call's connection", func(h *harness) bool {
			return h.withConnectionOf(testCallID, func(c *fakeConn) bool { return !c.blockedToDispatcher }, func(c *fakeConn) { c.blockedToDispatcher = true })
		}, 0, false},
		{'o', "nothing arrives from it there", func(h *harness) bool {
			return h.withConnectionOf(testCallID, func(c *fakeConn) bool { return !c.blockedToPool }, func(c *fakeConn) { c.blockedToPool = true })
		}, 0, false},
		{'u', "no connection is blocked any more", (*harness).unblockAll, 0, false},
		{'m', "another call is placed, and is answered", (*harness).placeOtherCall, otherCallDelay + checkInterval - answerDelay/2, false},
		{'I', "nothing reaches the dispatcher on its newest connection", func(h *harness) bool {
			return h.withNewest(func(c *fakeConn) { c.blockedToDispatcher, h.stalled = true, true })
		}, 0, false},
		{'N', "it sends a report there", func(h *harness) bool {
			return h.withNewest((*fakeConn).sendReport)
		}, 0, false},
		{'p', "the first dispatcher answers the call's attempts from now on", func(h *harness) bool {
			before := h.first.answersCall[testCallID]
			h.first.answersCall[testCallID] = true
			return !before
		}, 0, false},
		{'E', "the other call ends", func(h *harness) bool { return h.endCall(h.first, otherCallID) }, 0, false},
	}
}

// withConnectionOf calls f with the connection of a call at the first dispatcher, if there is one and may allows it.
func (h *harness) withConnectionOf(id string, may func(*fakeConn) bool, f func(*fakeConn)) bool {
	c := h.first.pending(id)
	if c == nil {
		c = h.first.established[id]
	}
	if c == nil || !may(c) {
		return false
	}
	f(c)
	h.stalled = true
	return true
}

// pauseSteps returns steps with a dispatcher that is paused and continues, and with queues that fill meanwhile.
func pauseSteps() []scenarioStep {
	return []scenarioStep{
		{'z', "the first dispatcher is paused", func(h *harness) bool {
			before := h.first.paused
			h.first.paused, h.stalled = true, true
			return !before && !h.first.partitioned
		}, 0, false},
		{'Z', "it continues", func(h *harness) bool { return h.unpauseFirst(true) }, 0, false},
		{'A', "it continues, and reads later", func(h *harness) bool { return h.unpauseFirst(false) }, 0, false},
		{'j', "the pool's side can't write on the call's connection", func(h *harness) bool {
			return h.withConnectionOf(testCallID, func(c *fakeConn) bool { return !c.writeBlocked }, func(c *fakeConn) { c.writeBlocked = true })
		}, 0, false},
		{'H', "the dispatcher closes the call's connection cleanly", func(h *harness) bool {
			may := func(c *fakeConn) bool { return !c.dispatcherClosed && !h.first.paused }
			return h.withConnectionOf(testCallID, may, (*fakeConn).close)
		}, 0, false},
		{'J', "it closes the other call's connection cleanly", func(h *harness) bool {
			may := func(c *fakeConn) bool { return !c.dispatcherClosed && !h.first.paused }
			return h.withConnectionOf(otherCallID, may, (*fakeConn).close)
		}, 0, false},
		{'V', "a connection is evicted", func(h *harness) bool {
			before := h.pool.sockets.evicting
			h.pool.SetSocketBudget(h.pool.SocketCount() - 1)
			h.pool.SetSocketBudget(0)
			h.first.hadReset = h.first.hadReset || h.pool.sockets.evicting > before
			return h.pool.sockets.evicting > before
		}, 0, false},
		{'R', "the next connection will be refused", func(h *harness) bool { h.first.refuseNext++; return true }, 0, false},
		{'B', "the next dial will time out", func(h *harness) bool { h.first.timeOutNext++; return true }, 0, false},
	}
}

// unpauseFirst ends a pause of the first dispatcher.
func (h *harness) unpauseFirst(reads bool) bool {
	if !h.first.paused {
		return false
	}
	h.first.unpause(reads)
	return true
}

// withNewest calls f with the newest open connection of the first dispatcher.
func (h *harness) withNewest(f func(*fakeConn)) bool {
	open := h.first.usableConns()
	if h.first.partitioned || len(open) == 0 {
		return false
	}
	f(open[len(open)-1])
	return true
}

// unblockAll unblocks the blocked connections to the first dispatcher.
func (h *harness) unblockAll() bool {
	stalled := false
	for _, c := range h.first.allConns {
		if c.blockedToDispatcher || c.blockedToPool || c.writeBlocked {
			stalled = true
			c.unblock()
		}
	}
	return stalled
}

// placeOtherCall has the caller set up another call, which the first dispatcher answers at once if it is placed there.
func (h *harness) placeOtherCall() bool {
	id := otherCallID
	if h.calls[id] != nil {
		id = thirdCallID
	}
	if h.calls[id] != nil || h.callerDisconnected {
		return false
	}
	h.calls[id] = &callRecord{}
	h.first.answersCall[id] = true
	h.core.Loop().After(otherCallDelay, func() { h.placeCall(id, callTimeout) })
	return true
}

// stepLetters returns the letters of the steps.
func stepLetters(steps []scenarioStep) string {
	var letters strings.Builder
	for _, step := range steps {
		letters.WriteByte(step.letter)
	}
	return letters.String()
}

// stepsFor returns the steps with the given letters.
func stepsFor(letters string) []scenarioStep {
	var steps []scenarioStep
	for _, letter := range []byte(letters) {
		for _, step := range slices.Concat(baseSteps(), stallSteps(), pauseSteps()) {
			if step.letter == letter {
				steps = append(steps, step)
			}
		}
	}
	return steps
}
