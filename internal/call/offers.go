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

// What callers ask for: set-ups, and that they are given up.

// ErrDuplicateID is a set-up under the id of another that is open, or of a call that stands, on the same connection: there
// is no answer that could not be taken for the other's.
var ErrDuplicateID = errors.New("set-up under an id that is in use")

// Offer takes in a set-up. An error calls for the end of its connection.
func (c *Core) Offer(r Request) error {
	if old := c.calls[r.ID]; old != nil {
		if old.Caller == r.Caller && old.state != terminated {
			return ErrDuplicateID
		}
		// An id is never used again. Whoever sent this is no party to the call of that id, and must not go on to end it.
		c.log.Warn("set-up with a known id", "id", r.ID)
		c.reject(&r, BadRequest)
		if old.state != terminated {
			return ErrDuplicateID
		}
		return nil
	}
	now := time.Now()
	k := &record{Request: r}
	class := c.classIndex(r.Class)
	switch {
	case class < 0:
		c.log.Warn("set-up of an unknown class", "id", r.ID, "class", r.Class)
		c.reject(&r, BadRequest)
		return nil
	case !r.Deadline.After(now):
		c.log.Debug("set-up past its time", "id", r.ID)
		c.reject(&r, c.expiredEnd(&r))
		return nil
	case len(c.pendingByCaller[r.Caller]) >= maxPendingPerConnection || c.descriptionBytes+len(r.Description) > c.maxDescriptionBytes:
		c.log.Warn("too many set-ups are open", "id", r.ID)
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
	c.calls[r.ID] = k
	c.addPending(k)
	c.persistEvent(k, recovery.KindAccepted, nil)
	c.startDeadlineTimer(k)
	c.offerToModule(k, class)
	return nil
}

// expiredEnd is the final answer to a set-up whose time was over when it was read. One that waited for that has been tried nowhere: it is
// refused. One that was sent with no time left has failed.
func (c *Core) expiredEnd(r *Request) End {
	if r.TimeLeft <= 0 {
		return End{Cause: CauseTemporary, Reason: ReasonDeadline}
	}
	return End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: c.holdOff()}
}

// RefuseOverLimit refuses a set-up whose connection there is no room for.
func (c *Core) RefuseOverLimit(r Request) {
	c.log.Warn("no room for another connection", "id", r.ID)
	c.reject(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
}

// startDeadlineTimer has a call answered at its caller's limit, come what may.
func (c *Core) startDeadlineTimer(k *record) {
	// The module answers by itself. This is for what it could miss: a call must never be left without an answer.
	k.deadlineTimer = c.loop.After(time.Until(k.Deadline)-fallbackMargin, func() {
		c.log.Warn("call without an answer at its limit", "id", k.ID)
		c.cancelCall(k)
		if c.mayRepeat(c.classIndex(k.Class), k.attempts) {
			c.rejectCall(k, End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: c.holdOff()})
		} else {
			c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonDeadline})
		}
	})
}

// mayRepeat reports whether a set-up of the class that has been attempted so often does no harm if it comes again, whatever became of the
// attempts.
func (c *Core) mayRepeat(class, attempts int) bool {
	return class >= 0 && (attempts == 0 || c.decisions.Classes[class].Idempotency == control.Idempotent)
}

// offerToModule tells the module of a call.
func (c *Core) offerToModule(k *record, class int) {
	c.selection.callOffered(k, c.decisions.Classes[class])
	c.queueEvent(control.CallOffered{
		ID: control.CallID(k.ID), Class: class, Budget: time.Until(k.Deadline), Called: k.Called,
		FirstCell: k.FirstCell, Redial: k.Redial, Attempts: k.attempts, NotBefore: k.notBefore,
	})
}

// classIndex is the place of a class in the settings; -1 if there is none of that name.
func (c *Core) classIndex(name string) int {
	return slices.IndexFunc(c.decisions.Classes, func(class control.Class) bool { return class.Name == name })
}

func (c *Core) holdOff() time.Duration {
	if !c.decisions.MayHoldOff {
		return 0
	}
	return c.decisions.MaxHoldOff
}

// CallerReleased is a caller's release: of a set-up that it no longer waits for, or of a call that stands.
func (c *Core) CallerReleased(caller Caller, id string, cause int) {
	k := c.calls[id]
	switch {
	case k != nil && k.transferring:
		c.dispatchers.Release("", id, cause)
		c.transfers.finder.Terminated(id, cause)
	case k == nil:
		// A call that stood before a restart: whichever dispatcher has it releases it. A set-up that was lost
		// with the restart has nothing to release.
		if c.transfers != nil && ValidID(id) {
			c.dispatchers.Release("", id, cause)
			c.transfers.finder.Terminated(id, cause)
			return
		}
		if cause != CauseNormal && ValidID(id) && time.Since(c.startedAt) < previousCallsWindow {
			c.dispatchers.Release("", id, cause)
			c.recordTerminated(id) // its caller need not be told
		}
	case k.state == pending && k.Caller != caller: // only whoever waits for an answer can give it up
	case k.state == pending:
		c.cancelCall(k)
		c.persistEvent(k, recovery.KindCancelled, nil)
		c.closeRecord(k)
	case k.state == established:
		endlog.Call(c.log, endlog.EndedByCaller, id, endlog.Server(k.server), slog.Int("cause", cause))
		c.dispatchers.Release(k.server, id, cause)
		c.queueEvent(control.AttemptEnded{ID: control.CallID(id), Server: k.server, Attempt: k.attempts - 1,
			Outcome: control.Cancelled, CallOver: true})
		if k.Caller != caller {
			// It may come on any connection, but who waits for the call's end may be elsewhere.
			c.log.Info("call ended from another connection", "id", id, "cause", cause)
		}
		if k.Caller != caller || cause == CauseNormal {
			// With this cause a caller may give up a set-up whose answer is on its way: the call has stood, and is released here.
			c.notifyTerminated(k.Caller, id, endOf(cause))
		}
		c.persistTerminated(k, endOf(cause))
		c.closeRecord(k)
		k.end = endOf(cause)
	}
}

// CallerDisconnected ends the set-ups of a connection that has closed: no answer is owed for them. Calls that stand go
// on.
func (c *Core) CallerDisconnected(caller Caller) {
	c.transfers.removeCaller(caller)
	for _, id := range c.pendingIDsOf(caller) {
		c.orphanOrCancel(c.calls[id])
	}
}

// orphanOrCancel ends an open call whose caller's connection has closed, or keeps it for one that can come back.
func (c *Core) orphanOrCancel(k *record) {
	if k.Token != nil && c.drainingSince.IsZero() {
		c.orphan(k)
		return
	}
	c.CallerReleased(k.Caller, k.ID, CauseNormal)
}

// CallerProtocolError answers the set-ups of a connection that is about to be closed for a fault of its peer.
func (c *Core) CallerProtocolError(caller Caller) {
	for _, id := range c.pendingIDsOf(caller) {
		k := c.calls[id]
		c.cancelCall(k)
		c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonBadStream})
	}
}

// pendingIDsOf asks no call but the caller's own: connections come and go by hundreds.
func (c *Core) pendingIDsOf(caller Caller) []string {
	return slices.Sorted(maps.Keys(c.pendingByCaller[caller]))
}

// PendingOf is the number of set-ups without an answer that came from the caller, and of calls that it has come for and that are looked for.
func (c *Core) PendingOf(caller Caller) int {
	if c.transfers != nil {
		return len(c.pendingByCaller[caller]) + c.transfers.resumeCounts[caller]
	}
	return len(c.pendingByCaller[caller])
}

// EstablishedOf is the number of calls of the caller that stand.
func (c *Core) EstablishedOf(caller Caller) int { return c.establishedByCaller[caller] }

func (c *Core) addPending(k *record) {
	c.pendingCount++
	c.descriptionBytes += len(k.Description)
	if c.pendingByCaller[k.Caller] == nil {
		c.pendingByCaller[k.Caller] = map[string]*record{}
	}
	c.pendingByCaller[k.Caller][k.ID] = k
}

func (c *Core) removePending(k *record) {
	c.pendingCount--
	c.descriptionBytes -= len(k.Description)
	delete(c.pendingByCaller[k.Caller], k.ID)
	if len(c.pendingByCaller[k.Caller]) == 0 {
		delete(c.pendingByCaller, k.Caller)
	}
}

// forgetInModule has the module forget an open call.
func (c *Core) forgetInModule(k *record) { c.queueEvent(control.CallerLeft{ID: control.CallID(k.ID)}) }

// cancelCall withdraws what is out for a call that its caller waits for no longer, and has the module forget it.
func (c *Core) cancelCall(k *record) {
	c.forgetInModule(k)
	if k.attemptInProgress {
		c.cancelAttempt(k, control.Cancelled, true)
	}
}

// rejectCall gives a call its final answer.
func (c *Core) rejectCall(k *record, end End) {
	if k.state != pending {
		return
	}
	r := k.Request
	c.persistEvent(k, recovery.KindRejected, func(e *recovery.Event) {
		e.Cause, e.Reason, e.HoldOffUs = end.Cause, string(end.Reason), end.HoldOff.Microseconds()
	})
	c.closeRecord(k)
	k.end, k.answeredTo = end, r.Caller
	c.reject(&r, end)
}

// closeRecord ends the record of a call.
func (c *Core) closeRecord(k *record) {
	switch {
	case k.state == pending:
		c.removePending(k)
	case k.state == established && k.Caller != nil:
		if c.establishedByCaller[k.Caller]--; c.establishedByCaller[k.Caller] == 0 {
			delete(c.establishedByCaller, k.Caller)
		}
	}
	c.stopTimers(k)
	k.state, k.attemptInProgress, k.terminatedAt = terminated, false, time.Now()
	k.Caller, k.Description, k.answer, k.restored, k.tried, k.earlyEnd, k.ambiguous = nil, "", "", nil, nil, nil, nil
	c.recentlyTerminated = append(c.recentlyTerminated, k)
	for len(c.recentlyTerminated) > 0 && time.Since(c.recentlyTerminated[0].terminatedAt) > retentionPeriod {
		delete(c.calls, c.recentlyTerminated[0].ID)
		c.recentlyTerminated = c.recentlyTerminated[1:]
	}
}

func (c *Core) stopTimers(k *record) {
	c.loop.Stop(k.attemptTimer)
	c.loop.Stop(k.deadlineTimer)
	c.loop.Stop(k.orphanTimer)
	if k.earlyEnd != nil {
		c.loop.Stop(k.earlyEnd.timer)
	}
	if k.ambiguous != nil {
		c.loop.Stop(k.ambiguous.timer)
	}
}
