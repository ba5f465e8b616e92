package call

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/endlog"
)

// This file handles requests from callers: set-ups and releases.

// ErrDuplicateID is returned for a set-up with the id of another call that is pending or established: any answer could
// be mistaken for that call's.
var ErrDuplicateID = errors.New("the id of the set-up is in use")

// Offer accepts a set-up. On an error, its connection must be closed.
func (c *Core) Offer(r Request) error {
	if old := c.calls[r.ID]; old != nil {
		if old.Caller == r.Caller && old.state != terminated {
			return ErrDuplicateID
		}
		// Ids are never reused. The sender has no part in the call with that id, and must not be able to release it.
		c.log.Warn("set-up with the id of a known call", "id", r.ID)
		c.reject(&r, BadRequest)
		if old.state != terminated {
			return ErrDuplicateID
		}
		return nil
	}
	if c.attemptedElsewhere.contains(r.ID) {
		c.log.Warn("set-up with the id of a call of the other process", "id", r.ID)
		c.reject(&r, BadRequest)
		return nil
	}
	now := time.Now()
	k := &record{Request: r}
	class := c.classIndex(r.Class)
	switch {
	case class < 0:
		c.log.Warn("set-up with an unknown class", "id", r.ID, "class", r.Class)
		c.reject(&r, BadRequest)
		return nil
	case !r.Deadline.After(now):
		c.log.Debug("set-up received after its deadline", "id", r.ID)
		c.reject(&r, c.expiredEnd(&r))
		return nil
	case len(c.pendingByCaller[r.Caller]) >= maxPendingPerConnection || c.descriptionBytes+len(r.Description) > c.maxDescriptionBytes:
		c.log.Warn("too many pending set-ups", "id", r.ID)
		c.reject(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
		return nil
	case !c.drainingSince.IsZero() && !c.Superseded() && now.Sub(c.drainingSince) > lateArrivalWindow:
		c.reject(&r, End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: c.holdOff()})
		return nil
	case c.Phase() == Refusing:
		c.reject(&r, c.evacuationEnd())
		return nil
	case c.ledgerWriter != nil && c.ledgerWriter.refusesCalls():
		c.reject(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
		return nil
	}
	k.class = c.decisions.Classes[class]
	c.calls[r.ID] = k
	c.addPending(k)
	c.persistEvent(k, recovery.KindAccepted, nil)
	c.startDeadlineTimer(k)
	c.offerToModule(k, class)
	return nil
}

// expiredEnd returns the final answer to a set-up that was read after its deadline. One that expired while it was
// unread has not been attempted, so it is refused. One that was sent with no time left has failed.
func (c *Core) expiredEnd(r *Request) End {
	if r.TimeLeft <= 0 {
		return End{Cause: CauseTemporary, Reason: ReasonDeadline}
	}
	return End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: c.holdOff()}
}

// startDeadlineTimer sets a timer that answers the call just before its caller's deadline, if it is still pending.
func (c *Core) startDeadlineTimer(k *record) {
	// The module normally answers in time. This is a safeguard: a call must never stay without a final answer.
	k.deadlineTimer = c.loop.After(time.Until(k.Deadline)-fallbackMargin, func() {
		c.log.Warn("call without an answer at its deadline", "id", k.ID)
		c.cancelCall(k)
		c.rejectCall(k, End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: c.holdOff()})
	})
}

// offerToModule passes a call to the decision module.
func (c *Core) offerToModule(k *record, class int) {
	c.selection.callOffered(k, c.decisions.Classes[class])
	c.queueEvent(control.CallOffered{
		ID: control.CallID(k.ID), Class: class, Budget: time.Until(k.Deadline), Called: k.Called,
		FirstCell: k.FirstCell, Redial: k.Redial, Attempts: k.attempts, NotBefore: k.notBefore,
	})
}

// classIndex returns the index of a class in the settings; -1 if there is none of that name.
func (c *Core) classIndex(name string) int {
	return slices.IndexFunc(c.decisions.Classes, func(class control.Class) bool { return class.Name == name })
}

// classByName returns the class of that name. One that is not in the settings counts as non-idempotent.
func (c *Core) classByName(name string) control.Class {
	if i := c.classIndex(name); i >= 0 {
		return c.decisions.Classes[i]
	}
	return control.Class{Name: name, Idempotency: control.NonIdempotent}
}

// holdOff returns the greatest hold-off of the settings; 0 if they do not allow any.
func (c *Core) holdOff() time.Duration {
	if !c.decisions.MayHoldOff {
		return 0
	}
	return c.decisions.MaxHoldOff
}

// CallerReleased handles a release from a caller: of a pending set-up, or of an established call.
func (c *Core) CallerReleased(caller Caller, id string, cause int) {
	k := c.calls[id]
	switch {
	case k != nil && k.transferring:
		c.releaseEverywhere(id, cause)
		c.transfers.finder.Terminated(id, cause)
	case k == nil:
		// A call that was established before a restart: the dispatcher that holds it releases it. A pending set-up that
		// was lost with the restart needs no release.
		if c.transfers != nil && ValidID(id) {
			c.releaseEverywhere(id, cause)
			c.transfers.finder.Terminated(id, cause)
			return
		}
		if cause != CauseNormal && ValidID(id) && time.Since(c.startedAt) < previousCallsWindow {
			c.releaseEverywhere(id, cause)
			c.recordTerminated(id) // its caller need not be notified
		}
	case k.state == pending && k.Caller != caller: // only the caller that waits for the answer can cancel the set-up
	case k.state == pending:
		c.cancelCall(k)
		c.persistEvent(k, recovery.KindCancelled, nil)
		c.close(k)
	case k.state == established:
		endlog.Call(c.log, endlog.TerminatedByCaller, id, endlog.Server(k.server), slog.Int("cause", cause))
		c.releaseAtDispatcher(k, cause)
		c.queueEvent(control.AttemptEnded{ID: control.CallID(id), Server: k.server, Attempt: k.attempts - 1,
			Outcome: control.Cancelled, CallOver: true})
		if k.Caller != caller {
			// The release may arrive on any connection, but the caller may expect the end on another one.
			c.log.Info("call released on another connection", "id", id, "cause", cause)
		}
		if k.Caller != caller || cause == CauseNormal {
			// With this cause a caller may cancel a set-up whose answer is on its way: the call was established, and is
			// released here.
			c.notifyTerminated(k.Caller, id, endOf(cause))
		}
		c.persistTerminated(k, endOf(cause))
		c.close(k)
		k.end = endOf(cause)
	}
}

// CallerDisconnected ends the pending calls of a connection that has closed, as they need no answer. Established calls
// go on.
func (c *Core) CallerDisconnected(caller Caller) {
	c.transfers.removeCaller(caller)
	for _, id := range c.pendingIDsOf(caller) {
		c.orphanOrCancel(c.calls[id])
	}
}

// orphanOrCancel handles the disconnection of a pending call's caller: it keeps the call if it can be resumed, and
// cancels it otherwise.
func (c *Core) orphanOrCancel(k *record) {
	if k.Token != nil && c.drainingSince.IsZero() {
		c.orphan(k)
		return
	}
	c.CallerReleased(k.Caller, k.ID, CauseNormal)
}

// CallerProtocolError answers the pending calls of a connection that is about to be closed because of an error of its
// peer.
func (c *Core) CallerProtocolError(caller Caller) {
	for _, id := range c.pendingIDsOf(caller) {
		k := c.calls[id]
		c.cancelCall(k)
		c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonBadStream})
	}
}

// pendingIDsOf returns the sorted ids of the caller's pending calls. It does not scan all calls, as connections come
// and go by the hundred.
func (c *Core) pendingIDsOf(caller Caller) []string {
	return slices.Sorted(maps.Keys(c.pendingByCaller[caller]))
}

// PendingOf returns the number of the caller's pending set-ups, plus the calls that it resumes and that are being
// looked up.
func (c *Core) PendingOf(caller Caller) int {
	if c.transfers != nil {
		return len(c.pendingByCaller[caller]) + c.transfers.resumeCounts[caller]
	}
	return len(c.pendingByCaller[caller])
}

// EstablishedOf returns the number of the caller's established calls.
func (c *Core) EstablishedOf(caller Caller) int { return c.establishedByCaller[caller] }

// addPending counts a call as a pending one of its caller.
func (c *Core) addPending(k *record) {
	c.pendingCount++
	c.descriptionBytes += len(k.Description)
	if c.pendingByCaller[k.Caller] == nil {
		c.pendingByCaller[k.Caller] = map[string]*record{}
	}
	c.pendingByCaller[k.Caller][k.ID] = k
}

// removePending undoes addPending.
func (c *Core) removePending(k *record) {
	c.pendingCount--
	c.descriptionBytes -= len(k.Description)
	delete(c.pendingByCaller[k.Caller], k.ID)
	if len(c.pendingByCaller[k.Caller]) == 0 {
		delete(c.pendingByCaller, k.Caller)
	}
}

// forgetInModule makes the module drop a pending call.
func (c *Core) forgetInModule(k *record) { c.queueEvent(control.CallerLeft{ID: control.CallID(k.ID)}) }

// cancelCall makes the module drop a call whose caller no longer waits, and cancels its attempt in progress.
func (c *Core) cancelCall(k *record) {
	c.forgetInModule(k)
	if k.attemptInProgress {
		c.cancelAttempt(k, control.Cancelled, true)
	}
}

// close marks a call as terminated, and drops calls whose retention period is over.
func (c *Core) close(k *record) {
	switch {
	case k.state == pending:
		c.removePending(k)
	case k.state == established && k.Caller != nil:
		if c.establishedByCaller[k.Caller]--; c.establishedByCaller[k.Caller] == 0 {
			delete(c.establishedByCaller, k.Caller)
		}
	}
	c.stopTimers(k)
	k.state, k.attemptInProgress, k.misplaced, k.terminatedAt = terminated, false, false, time.Now()
	k.Caller, k.Description, k.answer, k.restored, k.tried, k.earlyEnd, k.ambiguous = nil, "", "", nil, nil, nil, nil
	c.retain(k)
}

// stopTimers stops all timers of a call.
func (c *Core) stopTimers(k *record) {
	c.loop.Stop(k.attemptTimer)
	c.loop.Stop(k.deadlineTimer)
	c.loop.Stop(k.orphanTimer)
	c.loop.Stop(k.undecidedTimer)
	k.attemptTimer, k.deadlineTimer, k.orphanTimer, k.undecidedTimer = nil, nil, nil, nil
	if k.earlyEnd != nil {
		c.loop.Stop(k.earlyEnd.timer)
	}
	if k.ambiguous != nil {
		c.loop.Stop(k.ambiguous.timer)
	}
}
