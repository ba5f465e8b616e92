package call

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
)

// This file connects the core to the decision module: it passes on events and performs the actions that the module
// returns.

// now returns the Unix time of the start plus the time elapsed since by the monotonic clock. If the wall clock were set
// back, the module would otherwise wait for a time at which it has already run.
func (c *Core) now() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt)
}

// finishIteration passes the events of the iteration to the module and performs its actions, commits to the ledger, and
// sends the output.
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

// stepModule passes the queued events to the module and performs its actions.
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

// trace logs the events and the actions of a module step.
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

// perform performs an action of the module.
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
	case control.Subscribe: // updates of the list arrive without a subscription
	}
}

// failureReason returns the reason for a call that the module failed.
func failureReason(k *record) Reason {
	if time.Until(k.Deadline) <= 2*answerMargin {
		return ReasonDeadline
	}
	return ReasonFailed
}

// startAttempt starts an attempt. One that breaks the rules is not sent, whatever the module decides, and is reported to
// the module as such.
func (c *Core) startAttempt(a control.SetUp) {
	k := c.calls[string(a.ID)]
	if k == nil || k.state != pending || k.attemptInProgress || !c.isActive(a.Server) {
		c.log.Error("invalid attempt requested by the decision module", "id", a.ID, "server", a.Server)
		if k != nil && k.state == pending && !k.attemptInProgress {
			k.attempts++
			c.queueEvent(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: k.attempts - 1, Outcome: control.NotSent})
		}
		return
	}
	// The caller may have disconnected while the call waited, and that is only reported later, or was unread until now.
	if k.Caller.Disconnected() || k.state != pending {
		if k.attempts++; k.state == pending {
			c.orphanOrCancel(k)
		}
		c.queueEvent(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: k.attempts - 1, Outcome: control.NotSent, CallOver: k.state == terminated})
		return
	}
	now := time.Now()
	timeout := k.Deadline.Sub(now) - answerMargin
	if a.Limit > 0 {
		timeout = min(timeout, a.Limit)
	}
	timeout = max(timeout, time.Millisecond)
	k.attemptInProgress, k.server, k.sentAt = true, a.Server, now
	k.attempts++
	if k.attempts == 1 && c.reportAttempt != nil {
		c.reportAttempt(k.ID)
	}
	c.countSetUp(a.Server, false)
	c.recordTried(k, a.Server)
	c.persistEvent(k, recovery.KindAttemptSent, nil)
	attempt := k.attempts - 1
	k.attemptTimer = c.loop.After(timeout, func() {
		if k.attemptInProgress && k.attempts-1 == attempt {
			c.cancelAttempt(k, control.TimedOut, false)
		}
	})
	c.dispatchers.SetUp(a.Server, SetUp{ID: k.ID, Attempt: attempt, Class: k.Class, Called: k.Called,
		Description: k.Description, Timeout: timeout})
}

// cancelAttempt cancels the attempt in progress. Its outcome is reported to the module at once; later messages of the
// dispatcher about it count as late. If the end of the call arrived before its answer, the call was established and is
// terminated.
func (c *Core) cancelAttempt(k *record, o control.Outcome, callOver bool) {
	c.loop.Stop(k.attemptTimer)
	k.attemptInProgress = false
	neverSent := c.dispatchers.CancelAttempt(k.server, k.ID, k.attempts-1)
	c.releaseEarlierAttempt(k)
	if k.earlyEnd != nil && !callOver {
		c.terminateUnanswered(k, k.earlyEnd.report)
		return
	}
	c.recordAttemptFailed(k, o, neverSent || !o.MayHaveRun())
	c.queueEvent(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: o,
		Elapsed: time.Since(k.sentAt), CallOver: callOver})
}
