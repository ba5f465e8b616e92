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
		if old.Caller == r.Caller && old.state != over {
			return ErrDuplicateID
		}
		// An id is never used again. Whoever sent this is no party to the call of that id, and must not go on to end it.
		c.log.Warn("set-up with a known id", "id", r.ID)
		c.end(&r, BadRequest)
		if old.state != over {
			return ErrDuplicateID
		}
		return nil
	}
	now := time.Now()
	k := &record{Request: r}
	class := c.class(r.Class)
	switch {
	case class < 0:
		c.log.Warn("set-up of an unknown class", "id", r.ID, "class", r.Class)
		c.end(&r, BadRequest)
		return nil
	case !r.Deadline.After(now):
		c.log.Debug("set-up past its time", "id", r.ID)
		c.end(&r, c.pastItsTime(&r))
		return nil
	case len(c.owing[r.Caller]) >= maxOpen || c.held+len(r.Description) > c.maxHeld:
		c.log.Warn("too many set-ups are open", "id", r.ID)
		c.end(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
		return nil
	case !c.draining.IsZero() && !c.Superseded() && now.Sub(c.draining) > lateArrivals:
		c.end(&r, End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: c.holdOff()})
		return nil
	case c.Phase() == Refusing:
		c.end(&r, c.turnAway())
		return nil
	case c.durable != nil && c.durable.refuses():
		c.end(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
		return nil
	}
	c.calls[r.ID] = k
	c.owe(k)
	c.note(k, recovery.KindAccepted, nil)
	c.limit(k)
	c.offer(k, class)
	return nil
}

// pastItsTime is the final answer to a set-up whose time was over when it was read. One that waited for that has been tried nowhere: it is
// refused. One that was sent with no time left has failed.
func (c *Core) pastItsTime(r *Request) End {
	if r.TimeLeft <= 0 {
		return End{Cause: CauseTemporary, Reason: ReasonDeadline}
	}
	return End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: c.holdOff()}
}

// RefuseOverLimit refuses a set-up whose connection there is no room for.
func (c *Core) RefuseOverLimit(r Request) {
	c.log.Warn("no room for another connection", "id", r.ID)
	c.end(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
}

// limit has a call answered at its caller's limit, come what may.
func (c *Core) limit(k *record) {
	// The module answers by itself. This is for what it could miss: a call must never be left without an answer.
	k.limit = c.loop.After(time.Until(k.Deadline)-last, func() {
		c.log.Warn("call without an answer at its limit", "id", k.ID)
		c.abandon(k)
		if c.mayRepeat(c.class(k.Class), k.attempts) {
			c.final(k, End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: c.holdOff()})
		} else {
			c.final(k, End{Cause: CauseTemporary, Reason: ReasonDeadline})
		}
	})
}

// mayRepeat reports whether a set-up of the class that has been attempted so often does no harm if it comes again, whatever became of the
// attempts.
func (c *Core) mayRepeat(class, attempts int) bool {
	return class >= 0 && (attempts == 0 || c.decisions.Classes[class].Idempotency == control.Idempotent)
}

// offer tells the module of a call.
func (c *Core) offer(k *record, class int) {
	c.selection.offered(k, c.decisions.Classes[class])
	c.tell(control.CallOffered{
		ID: control.CallID(k.ID), Class: class, Budget: time.Until(k.Deadline), Called: k.Called,
		FirstCell: k.FirstCell, Redial: k.Redial, Attempts: k.attempts, NotBefore: k.notBefore,
	})
}

// class is the place of a class in the settings; -1 if there is none of that name.
func (c *Core) class(name string) int {
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
	case k != nil && k.moving:
		c.dispatchers.Release("", id, cause)
		c.passing.finder.Terminated(id, cause)
	case k == nil:
		// A call that stood before a restart: whichever dispatcher has it releases it. A set-up that was lost
		// with the restart has nothing to release.
		if c.passing != nil && ValidID(id) {
			c.dispatchers.Release("", id, cause)
			c.passing.finder.Terminated(id, cause)
			return
		}
		if cause != CauseNormal && ValidID(id) && time.Since(c.epoch) < heritage {
			c.dispatchers.Release("", id, cause)
			c.knowOver(id) // its caller need not be told
		}
	case k.state == open && k.Caller != caller: // only whoever waits for an answer can give it up
	case k.state == open:
		c.abandon(k)
		c.note(k, recovery.KindCancelled, nil)
		c.close(k)
	case k.state == stands:
		endlog.Call(c.log, endlog.EndedByCaller, id, endlog.Server(k.server), slog.Int("cause", cause))
		c.dispatchers.Release(k.server, id, cause)
		c.tell(control.AttemptEnded{ID: control.CallID(id), Server: k.server, Attempt: k.attempts - 1,
			Outcome: control.Cancelled, CallOver: true})
		if k.Caller != caller {
			// It may come on any connection, but who waits for the call's end may be elsewhere.
			c.log.Info("call ended from another connection", "id", id, "cause", cause)
		}
		if k.Caller != caller || cause == CauseNormal {
			// With this cause a caller may give up a set-up whose answer is on its way: the call has stood, and is released here.
			c.tellOver(k.Caller, id, endOf(cause))
		}
		c.noteOver(k, endOf(cause))
		c.close(k)
		k.end = endOf(cause)
	}
}

// CallerDisconnected ends the set-ups of a connection that has closed: no answer is owed for them. Calls that stand go
// on.
func (c *Core) CallerDisconnected(caller Caller) {
	c.passing.left(caller)
	for _, id := range c.openOf(caller) {
		c.callerLeft(c.calls[id])
	}
}

// callerLeft ends an open call whose caller's connection has closed, or keeps it for one that can come back.
func (c *Core) callerLeft(k *record) {
	if k.Token != nil && c.draining.IsZero() {
		c.lose(k)
		return
	}
	c.CallerReleased(k.Caller, k.ID, CauseNormal)
}

// CallerProtocolError answers the set-ups of a connection that is about to be closed for a fault of its peer.
func (c *Core) CallerProtocolError(caller Caller) {
	for _, id := range c.openOf(caller) {
		k := c.calls[id]
		c.abandon(k)
		c.final(k, End{Cause: CauseTemporary, Reason: ReasonBadStream})
	}
}

// openOf asks no call but the caller's own: connections come and go by hundreds.
func (c *Core) openOf(caller Caller) []string { return slices.Sorted(maps.Keys(c.owing[caller])) }

// PendingOf is the number of set-ups without an answer that came from the caller, and of calls that it has come for and that are looked for.
func (c *Core) PendingOf(caller Caller) int {
	if c.passing != nil {
		return len(c.owing[caller]) + c.passing.waiting[caller]
	}
	return len(c.owing[caller])
}

// EstablishedOf is the number of calls of the caller that stand.
func (c *Core) EstablishedOf(caller Caller) int { return c.standing[caller] }

func (c *Core) owe(k *record) {
	c.owed++
	c.held += len(k.Description)
	if c.owing[k.Caller] == nil {
		c.owing[k.Caller] = map[string]*record{}
	}
	c.owing[k.Caller][k.ID] = k
}

func (c *Core) settle(k *record) {
	c.owed--
	c.held -= len(k.Description)
	delete(c.owing[k.Caller], k.ID)
	if len(c.owing[k.Caller]) == 0 {
		delete(c.owing, k.Caller)
	}
}

// forget has the module forget an open call.
func (c *Core) forget(k *record) { c.tell(control.CallerLeft{ID: control.CallID(k.ID)}) }

// abandon withdraws what is out for a call that its caller waits for no longer, and has the module forget it.
func (c *Core) abandon(k *record) {
	c.forget(k)
	if k.out {
		c.withdraw(k, control.Cancelled, true)
	}
}

// final gives a call its final answer.
func (c *Core) final(k *record, end End) {
	if k.state != open {
		return
	}
	r := k.Request
	c.note(k, recovery.KindRejected, func(e *recovery.Event) {
		e.Cause, e.Reason, e.HoldOffUs = end.Cause, string(end.Reason), end.HoldOff.Microseconds()
	})
	c.close(k)
	k.end, k.told = end, r.Caller
	c.end(&r, end)
}

// close ends the record of a call.
func (c *Core) close(k *record) {
	switch {
	case k.state == open:
		c.settle(k)
	case k.state == stands && k.Caller != nil:
		if c.standing[k.Caller]--; c.standing[k.Caller] == 0 {
			delete(c.standing, k.Caller)
		}
	}
	c.stopTimers(k)
	k.state, k.out, k.overAt = over, false, time.Now()
	k.Caller, k.Description, k.answer, k.place, k.tried, k.overtaken, k.ambiguous = nil, "", "", nil, nil, nil, nil
	c.ended = append(c.ended, k)
	for len(c.ended) > 0 && time.Since(c.ended[0].overAt) > remember {
		delete(c.calls, c.ended[0].ID)
		c.ended = c.ended[1:]
	}
}

func (c *Core) stopTimers(k *record) {
	c.loop.Stop(k.timer)
	c.loop.Stop(k.limit)
	c.loop.Stop(k.orphan)
	if k.overtaken != nil {
		c.loop.Stop(k.overtaken.timer)
	}
	if k.ambiguous != nil {
		c.loop.Stop(k.ambiguous.timer)
	}
}
