package call

import (
	"fmt"
	"log/slog"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/endlog"
)

// orphanCaller is the Caller of calls whose connection was lost and which may be resumed. Their ends are kept until
// then.
type orphanCaller struct{ unknownCaller }

// Recover restores the calls of the previous process. It must be called before callers are served.
func (c *Core) Recover(b *recovery.CallTable, damage []string) {
	start := time.Now()
	c.recovered.Actions, c.recovered.Reasons = map[string]int{}, map[string]int{}
	c.recovered.Unexpected, c.recovered.Damage = b.UnexpectedEvents(), damage
	rules := recovery.Rules{Guard: c.decisions.ReleaseGuard, MaxAttempts: c.decisions.MaxAttempts}
	for _, d := range b.Plan(c.now(), rules) {
		if k := c.calls[d.ID]; k != nil { // handed over by a predecessor, without the token needed to resume it
			if k.state == established && d.State == recovery.StateEstablished && k.Token == nil {
				k.Token, k.answer, k.restored = d.Token, d.Answer, d.Call
			}
			continue
		}
		c.recover(d)
	}
	// Calls are dropped after their retention period in this order.
	c.recentlyTerminated.sort()
	c.recovered.TookUs += time.Since(start).Microseconds()
	if n := len(c.calls); n > 0 {
		c.log.Info("calls of the previous process", "acts", fmt.Sprint(c.recovered.Actions), "strays", b.UnexpectedEvents(), "damage", len(damage))
	}
	for _, text := range damage {
		c.log.Error("the state of calls is damaged", "damage", text)
	}
	c.verifyRecovered(nil)
}

// recover restores a call of another process by the decision on it.
func (c *Core) recover(d recovery.Decision) {
	now := time.Now()
	k := &record{
		Request: Request{ID: d.ID, Class: d.Class, Called: d.Called, FirstCell: d.FirstCell, Redial: d.Redial, Caller: c.orphanCaller, Token: d.Token},
		server:  control.ServerID(d.Server), attempts: d.Attempts, sentAt: now.Add(d.LastEventAt - c.now()), restored: d.Call,
	}
	action := d.Action
	if action == recovery.AwaitResume {
		k.Deadline = now.Add(d.TimeLeft)
	}
	if d.MayHaveRun || d.AttemptInProgress {
		k.firstRunAt = unknownRunTime
	}
	// A call that may be set up again must not cause harm if an earlier attempt ran.
	current := c.classByName(d.Class)
	k.class = current
	restoreRepetition(&k.class, d.Repetition)
	if action == recovery.AwaitResume && (c.classIndex(d.Class) < 0 || !k.mayBeOfferedAgain(&current)) {
		action, d.Why = recovery.FailCall, "it may not be repeated"
	}
	c.recovered.Actions[action.String()]++
	c.recovered.Reasons[d.Why]++
	endlog.Call(c.log, endlog.Recovered, d.ID, endlog.Server(d.Server), slog.String("act", action.String()))
	c.calls[d.ID] = k
	if d.MustRelease {
		c.pendingReleases = append(c.pendingReleases, &pendingRelease{Call: d.Call})
	}
	switch action {
	case recovery.AwaitResume:
		k.Description, k.notBefore, k.awaitsResume = d.Description, d.NotBefore, true
		c.addPending(k)
		c.startDeadlineTimer(k)
		c.cancelUnlessResumed(k, d.ResumeDeadline-c.now())
	case recovery.AdoptCall:
		k.state, k.answer = established, d.Answer
		c.establishedByCaller[k.Caller]++
		c.unverified = append(c.unverified, k)
		if d.ResumeDeadline > 0 {
			c.releaseUnlessResumed(k, d.ResumeDeadline-c.now())
		}
	case recovery.NotifyCaller:
		c.recordEnd(k, k.sentAt, End{Cause: d.Cause, Reason: Reason(d.Reason), HoldOff: d.HoldOff})
		c.orphanCaller.NotifyTerminated(k.ID, k.end)
	case recovery.RepeatOutcome:
		c.recordEnd(k, k.sentAt, End{Cause: d.Cause, Reason: Reason(d.Reason), HoldOff: d.HoldOff})
	case recovery.FailCall:
		reason := ReasonFailed
		if d.TimeLeft <= 0 {
			reason = ReasonDeadline
		}
		c.recordEnd(k, now, End{Cause: CauseTemporary, Reason: reason})
	case recovery.ReleaseCall:
		if d.State == recovery.StateEstablished {
			c.recordEnd(k, now, End{Cause: CauseTemporary, Reason: ReasonCut})
			c.orphanCaller.NotifyTerminated(k.ID, k.end)
			break
		}
		c.recordEnd(k, now, End{Cause: CauseTemporary, Reason: ReasonFailed})
	}
}

// recordEnd records how and when a call ended, for a caller that resumes it.
func (c *Core) recordEnd(k *record, at time.Time, end End) {
	k.state, k.Caller, k.end, k.terminatedAt, k.restored = terminated, nil, end, at, nil
	c.recentlyTerminated.addRecovered(k)
}

// cancelUnlessResumed cancels a pending call unless its caller resumes it in time.
func (c *Core) cancelUnlessResumed(k *record, d time.Duration) {
	// The end is the answer to a later resume request.
	c.unlessResumed(k, d, pending, CauseNormal, func() { k.end = End{Cause: CauseTemporary, Reason: ReasonFailed} })
}

// releaseUnlessResumed releases an established call, whose caller may not know of it, unless the caller resumes it in
// time.
func (c *Core) releaseUnlessResumed(k *record, d time.Duration) {
	c.unlessResumed(k, d, established, CauseTemporary, func() {})
}

// unlessResumed ends a call with the cause if it is still in the state s and has not been resumed after d, and then runs
// then.
func (c *Core) unlessResumed(k *record, d time.Duration, s state, cause int, then func()) {
	c.loop.Stop(k.orphanTimer)
	k.orphanTimer = c.loop.After(d, func() {
		if k.state == s && k.Caller == c.orphanCaller {
			c.log.Info("call was not resumed", "id", k.ID, "stood", s == established)
			c.CallerReleased(c.orphanCaller, k.ID, cause)
			then()
		}
	})
}

// orphan keeps a pending call whose connection has closed, so that its caller can resume it.
func (c *Core) orphan(k *record) {
	c.assignCaller(k, c.orphanCaller)
	c.cancelUnlessResumed(k, min(recovery.PendingResumeTimeout, time.Until(k.Deadline)))
}

// assignCaller assigns a call to another caller.
func (c *Core) assignCaller(k *record, to Caller) {
	c.loop.Stop(k.orphanTimer)
	switch k.state {
	case pending:
		c.removePending(k)
		k.Caller = to
		c.addPending(k)
	case established:
		if c.establishedByCaller[k.Caller]--; c.establishedByCaller[k.Caller] == 0 {
			delete(c.establishedByCaller, k.Caller)
		}
		k.Caller = to
		c.establishedByCaller[to]++
	}
}
