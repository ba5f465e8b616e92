package call

import (
	"time"

	"cherryrelay/control"
)

// This file sends the final answers to pending calls, and decides which of them may be refusals.

// unknownRunTime is the start of attempts of which only their number is known: so long ago that no deduplication window
// reaches back to them.
var unknownRunTime = time.Unix(0, 0)

// refuses reports whether the end tells a caller that another try does no harm.
func (e End) refuses() bool {
	switch e.Cause {
	case CauseNoCircuit, CauseCongestion, CauseFacility:
		return true
	default:
		return false
	}
}

// mayHaveRun reports whether an attempt of the call may have run at a dispatcher: it is in progress, here or at the
// controller that the call is transferred to, or it has ended without proof that it never ran.
func (k *record) mayHaveRun() bool {
	return k.attemptInProgress || k.transferring || !k.firstRunAt.IsZero()
}

// mayBeOfferedAgain reports whether a call may be passed to the module once more, which places it by the class given. The
// module then knows nothing of earlier attempts, and may send the call to any dispatcher of the class until its
// deadline. If the settings have changed since the call was accepted, both its classes must allow that.
func (k *record) mayBeOfferedAgain(class *control.Class) bool {
	if k.firstRunAt.IsZero() {
		return true
	}
	untilDeadline := k.Deadline.Sub(k.firstRunAt)
	return k.class.MayResendAnywhere(untilDeadline) && class.MayResendAnywhere(untilDeadline)
}

// rejectCall sends the final answer to a pending call. It is a failure in place of a refusal if the class of the call
// does not allow that its caller is told to try again.
func (c *Core) rejectCall(k *record, end End) {
	if k.state != pending {
		return
	}
	if end.refuses() && !k.class.MayRefuse(k.mayHaveRun()) {
		end = failureInsteadOf(end)
	}
	r := k.Request
	c.persistRejected(k, end)
	c.close(k)
	k.end, k.answeredTo = end, r.Caller
	c.reject(&r, end)
}

// failureInsteadOf returns the failure that replaces a refusal.
func failureInsteadOf(refusal End) End {
	if refusal.Reason == ReasonDeadline {
		return End{Cause: CauseTemporary, Reason: ReasonDeadline}
	}
	return End{Cause: CauseTemporary, Reason: ReasonFailed}
}

// reject sends a caller the final answer to a set-up that is not established, and counts it. It is used directly only
// for set-ups that were not accepted, and so have no attempts. Classes that callers name are only counted if they are
// in the settings, as the number of other names is unlimited.
func (c *Core) reject(r *Request, end End) {
	if c.metrics.HasClass(r.Class) {
		if class := c.metrics.Class(r.Class); end.refuses() {
			class.Refused++
		} else {
			class.Failed++
		}
	}
	r.Caller.End(r.ID, end)
}

// Reject answers an invalid set-up. If its id is that of another call of the same connection that is not terminated,
// the answer to that call serves for both.
func (c *Core) Reject(r Request) {
	if old := c.calls[r.ID]; old == nil || old.state == terminated || old.Caller != r.Caller {
		c.reject(&r, BadRequest)
	}
}

// RefuseOverLimit refuses a set-up on a connection beyond the limit of connections.
func (c *Core) RefuseOverLimit(r Request) {
	c.log.Warn("limit of connections reached", "id", r.ID)
	c.reject(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
}
