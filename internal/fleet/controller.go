package fleet

import (
	"fmt"
	"time"

	"cherryrelay/control"
)

// callID returns the identifier of one dial of a caller.
func callID(number, dial int) string { return fmt.Sprintf("%d.%d", number, dial) }

// pendingCall is a call that was offered to a controller. Each dial of a caller offers another one.
type pendingCall struct {
	id       control.CallID
	caller   *caller
	cell     int
	deadline time.Duration
	finished bool          // whether the final answer was given or the caller cancelled
	attempts int           // number of attempts sent
	attempt  *attempt      // attempt in progress; nil if there is none
	readyAt  time.Duration // end of the release guard after the last attempt
}

// attempt is a set-up that was sent to a dispatcher.
type attempt struct {
	call       *pendingCall
	number     int
	dispatcher *dispatcher // nil if the chosen dispatcher no longer exists
	controller *controller
	sentAt     time.Duration
	answered   bool
	cancelled  bool // whether the controller has stopped waiting for the answer
}

// controller models one controller: a decision module and the parts of the core that the module needs.
type controller struct {
	sim         *simulation
	index       int
	incarnation int
	module      *control.Controller
	events      []control.Event // not yet passed to the module
	calls       map[control.CallID]*pendingCall
	withdrawn   bool          // whether it gets no new calls
	wakeAt      time.Duration // when the module asked to be woken; 0 for never
}

// deliver queues an event for the next event loop iteration.
func (c *controller) deliver(e control.Event) { c.events = append(c.events, e) }

// offerCall offers a new call to the controller.
func (c *controller) offerCall(call *pendingCall) {
	c.calls[call.id] = call
	c.deliver(control.CallOffered{ID: call.id, Budget: call.deadline - c.sim.now, Called: fmt.Sprint("n", call.caller.number), FirstCell: call.cell})
}

// removeCall removes a call and cancels its attempt in progress.
func (c *controller) removeCall(call *pendingCall) {
	delete(c.calls, call.id)
	if call.attempt != nil {
		call.attempt.cancelled = true
		call.attempt = nil
	}
}

// withdraw stops new calls from reaching the controller. A killed controller also loses its calls and undelivered events; their callers dial
// again.
func (c *controller) withdraw(killed bool) {
	c.withdrawn = true
	if !killed {
		return
	}
	for _, call := range c.calls {
		call.finished = true
		if call.attempt != nil {
			call.attempt.cancelled = true
		}
		call.caller.redial(0)
	}
	c.calls, c.events = map[control.CallID]*pendingCall{}, nil
	c.incarnation++
}

// restore lets the controller receive calls again. A killed controller starts with a new decision module.
func (c *controller) restore(killed bool) {
	c.withdrawn = false
	if killed {
		module, err := control.New(c.sim.Settings, c.sim.Seed*1000+uint64(c.index)+uint64(c.incarnation)*7)
		if err == nil {
			c.module = module
		}
		c.deliver(c.sim.serverList())
	}
}

// runIteration runs one event loop iteration: it passes the queued events to the module and executes the returned actions.
func (c *controller) runIteration() {
	sim := c.sim
	sim.schedule(tick, c.runIteration)
	if c.wakeAt > 0 && sim.now >= c.wakeAt {
		c.wakeAt = 0
		c.deliver(control.Woken{})
	}
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	for _, a := range c.module.Step(clockStart+sim.now, events) {
		switch a := a.(type) {
		case control.SetUp:
			c.setUp(a)
		case control.Cancel:
			if call := c.calls[a.ID]; call != nil && call.attempt != nil && call.attempt.number == a.Attempt {
				c.endAttempt(call.attempt, control.Cancelled, false)
			}
		case control.Refuse:
			c.refuseCall(a.ID, a.HoldOff)
		case control.Fail:
			c.refuseCall(a.ID, 0)
		case control.Wake:
			c.wakeAt = sim.now + a.After
		}
	}
}

// refuseCall ends a call that the module refused or failed. The caller may wait for the hold-off before it dials again.
func (c *controller) refuseCall(id control.CallID, holdOff time.Duration) {
	call := c.calls[id]
	if call == nil || call.finished {
		return
	}
	c.sim.secondAt(c.sim.now).Refusals++
	call.finished = true
	c.removeCall(call)
	call.caller.redial(holdOff)
}

// setUp sends an attempt. It records a violation if another attempt of the call is in progress or the release guard has not ended.
func (c *controller) setUp(a control.SetUp) {
	sim, call := c.sim, c.calls[a.ID]
	if call == nil || call.finished {
		return
	}
	if call.attempt != nil || sim.now < call.readyAt {
		sim.result.Violations = append(sim.result.Violations, fmt.Sprintf(
			"%v: call %s: attempt sent while another is in progress, or within the release guard", sim.now, a.ID))
	}
	att := &attempt{call: call, number: call.attempts, controller: c, sentAt: sim.now}
	call.attempts++
	call.attempt = att
	sim.secondAt(sim.now).Attempts++
	for _, d := range sim.dispatchers {
		if d.id == a.Server {
			att.dispatcher = d
		}
	}
	timeout := call.deadline - sim.now - 25*time.Millisecond
	if a.Limit > 0 {
		timeout = min(timeout, a.Limit)
	}
	incarnation := c.incarnation
	sim.schedule(timeout, func() {
		if call.attempt == att && c.incarnation == incarnation {
			c.endAttempt(att, control.TimedOut, false)
		}
	})
	if att.dispatcher == nil { // the dispatcher was replaced, and the controller has not been notified yet
		sim.schedule(2*networkDelay, func() { c.endAttempt(att, control.Unreachable, false) })
		return
	}
	sim.schedule(networkDelay, func() { att.dispatcher.acceptSetUp(att) })
}

// endAttempt reports the outcome of an attempt to the module, unless the attempt is no longer in progress.
func (c *controller) endAttempt(att *attempt, outcome control.Outcome, noLine bool) {
	call := att.call
	if call.attempt != att {
		return
	}
	call.attempt, att.cancelled = nil, true
	switch outcome {
	case control.TimedOut, control.Cancelled, control.Reset:
		call.readyAt = c.sim.now + c.sim.Settings.ReleaseGuard
	}
	c.deliver(control.AttemptEnded{ID: call.id, Server: att.dispatcher.serverID(), Attempt: att.number, Outcome: outcome,
		Elapsed: c.sim.now - att.sentAt, NoLine: noLine})
}

// handleAnswer establishes the call of an answered attempt and schedules its end.
func (c *controller) handleAnswer(att *attempt) {
	call := att.call
	if call.attempt != att || call.finished {
		return
	}
	call.attempt, call.finished = nil, true
	delete(c.calls, call.id)
	c.deliver(control.CallStands{ID: call.id, Server: att.dispatcher.id, Attempt: att.number, Elapsed: c.sim.now - att.sentAt})
	call.caller.recordEstablished()
	if c.sim.now >= c.sim.ServedFrom {
		c.sim.result.Served[c.index]++
	}
	elapsed := c.sim.now - att.sentAt
	c.sim.schedule(time.Duration(float64(c.sim.callTime())*(0.5+c.sim.rng.Float64())), func() {
		att.dispatcher.enqueue(work{cost: endCost, onDone: func() {
			att.dispatcher.inUse--
			c.deliver(control.AttemptEnded{ID: call.id, Server: att.dispatcher.id, Attempt: att.number, Outcome: control.Completed,
				Elapsed: elapsed, CallOver: true})
		}})
	})
}
