package call

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
)

// What the module is asked in each round of the loop, and what it has done.

// now is the Unix clock, as it was at the start and has run since: a clock that is set back would leave the module
// waiting for a turn that it has been given already.
func (c *Core) now() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt)
}

// finishIteration gives the module all that the round brought, and does what it says.
func (c *Core) finishIteration() {
	for c.stepModule(); c.selection.growIfNeeded(); c.stepModule() {
	}
	if len(c.events) > 0 {
		c.loop.Post(func() {})
	}
	c.loop.Commit()
	for _, f := range c.flushers {
		f()
	}
	c.quitWhenDrained()
}

// stepModule tells the module what has happened, and does what it says.
func (c *Core) stepModule() {
	for range maxModuleSteps {
		if len(c.events) == 0 {
			break
		}
		events := c.events
		c.events = nil
		now := c.now()
		actions := c.module.Step(now, events)
		if c.log.Enabled(context.Background(), slog.LevelDebug) {
			c.trace(now, events, actions)
		}
		for _, a := range actions {
			c.perform(a)
		}
	}
}

// trace logs what the module was told and what it said.
func (c *Core) trace(now time.Duration, events []control.Event, actions []control.Action) {
	for _, e := range events {
		if _, idle := e.(control.Woken); !idle {
			c.log.Debug("told", "now", now, "event", fmt.Sprintf("%T%+v", e, e))
		}
	}
	for _, a := range actions {
		if _, idle := a.(control.Wake); !idle {
			c.log.Debug("says", "now", now, "action", fmt.Sprintf("%T%+v", a, a))
		}
	}
}

func (c *Core) perform(a control.Action) {
	switch a := a.(type) {
	case control.SetUp:
		c.startAttempt(a)
	case control.Cancel:
		if k := c.calls[string(a.ID)]; k != nil && k.attemptInProgress && a.Attempt == k.attempts-1 {
			c.cancelAttempt(k, control.Cancelled, false)
		}
	case control.Refuse:
		if k := c.calls[string(a.ID)]; k != nil && !c.selection.retryAfterGrowth(k) {
			c.rejectCall(k, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: a.HoldOff})
		}
	case control.Fail:
		if k := c.calls[string(a.ID)]; k != nil {
			c.rejectCall(k, End{Cause: CauseTemporary, Reason: failureReason(k)})
		}
	case control.Probe:
		c.dispatchers.Probe(a.Server)
	case control.Wake:
		c.loop.Stop(c.wakeTimer)
		c.wakeTimer = c.loop.After(a.After, func() { c.queueEvent(control.Woken{}) })
	case control.Log:
		c.log.Info("module", "text", a.Text)
	case control.Subscribe: // the lists here come unasked
	}
}

// failureReason says why the module failed a call.
func failureReason(k *record) Reason {
	if time.Until(k.Deadline) <= 2*answerMargin {
		return ReasonDeadline
	}
	return ReasonFailed
}

// startAttempt starts an attempt. One that can't be is told to the module as never sent: the rules hold whatever it asks.
func (c *Core) startAttempt(a control.SetUp) {
	k := c.calls[string(a.ID)]
	if k == nil || k.state != pending || k.attemptInProgress || !c.isActive(a.Server) {
		c.log.Error("attempt that must not be made", "id", a.ID, "server", a.Server)
		if k != nil && k.state == pending && !k.attemptInProgress {
			k.attempts++
			c.queueEvent(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: k.attempts - 1, Outcome: control.NotSent})
		}
		return
	}
	if k.Caller.Disconnected() || k.state != pending { // while it waited; that is told in a later turn, or was lying unread
		if k.attempts++; k.state == pending {
			c.orphanOrCancel(k)
		}
		c.queueEvent(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: k.attempts - 1, Outcome: control.NotSent, CallOver: k.state == terminated})
		return
	}
	now := time.Now()
	limit := k.Deadline.Sub(now) - answerMargin
	if a.Limit > 0 {
		limit = min(limit, a.Limit)
	}
	limit = max(limit, time.Millisecond)
	k.attemptInProgress, k.server, k.sentAt = true, a.Server, now
	k.attempts++
	c.countSetUp(a.Server, false)
	c.recordTried(k, a.Server)
	c.persistEvent(k, recovery.KindAttemptSent, nil)
	attempt := k.attempts - 1
	k.attemptTimer = c.loop.After(limit, func() {
		if k.attemptInProgress && k.attempts-1 == attempt {
			c.cancelAttempt(k, control.TimedOut, false)
		}
	})
	c.dispatchers.SetUp(a.Server, SetUp{ID: k.ID, Attempt: attempt, Class: k.Class, Called: k.Called,
		Description: k.Description, Timeout: limit})
}

// cancelAttempt gives up the attempt that is out. Its outcome is told at once; what the dispatcher still says of it is
// late. If its end has come ahead of its answer, it stood, and its call is over.
func (c *Core) cancelAttempt(k *record, o control.Outcome, callOver bool) {
	c.loop.Stop(k.attemptTimer)
	k.attemptInProgress = false
	c.dispatchers.CancelAttempt(k.server, k.ID, k.attempts-1)
	c.releaseEarlierAttempt(k)
	if k.earlyEnd != nil && !callOver {
		c.terminateUnanswered(k, k.earlyEnd.report)
		return
	}
	c.persistAttemptFailed(k, o)
	c.queueEvent(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: o,
		Elapsed: time.Since(k.sentAt), CallOver: callOver})
}
