package call

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/telemetry"
)

// orphanCaller is the Caller of calls whose connection was lost and which may be resumed. Their ends are kept until
// then.
type orphanCaller struct{ unknownCaller }

// RecoveryStatus is the result of the recovery of the previous process's calls, for operators.
type RecoveryStatus struct {
	Actions      map[string]int `json:"acts"`               // number of calls by action
	Reasons      map[string]int `json:"why"`                // number of calls by reason of the action
	Cut          int            `json:"cut"`                // established calls that were cut after the list was received
	Waiting      int            `json:"waiting"`            // pending calls whose callers have not resumed them yet
	Resumed      int            `json:"claimed"`            // calls resumed since the start
	Unknown      int            `json:"unknown"`            // resume requests for unknown calls
	Unexpected   int            `json:"strays"`             // events that did not fit the state of their calls
	TookUs       int64          `json:"took_us"`            // duration of the recovery, in µs
	Damage       []string       `json:"damage,omitempty"`   // damage found in the ledger
	NotPersisted string         `json:"not_kept,omitempty"` // why the state of calls is not persisted now
}

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

// ResumeRequest is a caller's request to resume a call that was set up on another connection.
type ResumeRequest struct {
	Caller    Caller
	ID, Token string
	Answered  bool      // the caller already has the answer
	Deadline  time.Time // when the caller stops waiting for a pending call; zero if not stated
}

// maxWaitingResumes bounds the resume requests that wait for a predecessor to end: as many as its callers can have had
// calls.
const maxWaitingResumes = 16 << 10

// ErrTooManyResumes is returned for a resume request that cannot be queued; its connection must be closed. The call can
// be resumed later.
var ErrTooManyResumes = errors.New("too many resume requests are waiting")

// ResumeCall assigns a call to the caller's current connection. The caller gets the final answer, now or as soon as
// there is one, and later the end of an established call. On an error, the connection must be closed.
func (c *Core) ResumeCall(request ResumeRequest) error {
	if c.awaitsLedger {
		if len(c.waitingResumes) >= maxWaitingResumes {
			return ErrTooManyResumes
		}
		c.waitingResumes = append(c.waitingResumes, request)
		c.onResumeTimeout(request, func() { c.expireLedgerWait(request) })
		return nil
	}
	caller, id, token, answered := request.Caller, request.ID, request.Token, request.Answered
	k := c.calls[id]
	if (k == nil || k.transferring) && c.lookUp(request) {
		return nil
	}
	if k == nil || !recovery.TokenMatches(token, k.Token) {
		c.rejectUnknown(caller, id, token, k == nil)
		return nil
	}
	c.recovered.Resumed++
	k.resumedAt = time.Now()
	endlog.Call(c.log, endlog.Resumed, id, endlog.Server(k.server), slog.String(endlog.StateKey, k.state.String()))
	switch {
	case k.state == terminated:
		if k.answeredTo != caller { // on the same connection it already has its answer
			k.answeredTo = caller
			caller.End(id, k.end)
		}
	case k.state == established:
		if k.Caller != caller {
			c.assignCaller(k, caller)
		}
		if answered {
			k.answeredTo = caller
		}
		if k.answeredTo != caller {
			k.answeredTo = caller
			if err := caller.Answer(id, k.answer); err != nil {
				return fmt.Errorf("resumed call %s: %w", id, err)
			}
		}
	case answered:
		// The caller has an answer that is not known here: the persisted state of the call is incomplete, and can't be
		// trusted.
		c.log.Error("caller has the answer to a call that is pending here", "id", id)
		c.assignCaller(k, caller)
		c.cancelCall(k)
		c.releaseEverywhere(id, CauseNormal)
		c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonCut})
	default:
		if k.Caller != caller {
			c.assignCaller(k, caller)
		}
		c.shortenDeadline(k, request.Deadline)
		if k.awaitsResume {
			k.awaitsResume = false
			class := c.classIndex(k.Class)
			// The settings may have changed meanwhile: the module would not accept a call whose class they lack, and might
			// repeat one that may not be repeated any more.
			if class < 0 || !k.mayBeOfferedAgain(&c.decisions.Classes[class]) {
				c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonFailed})
				break
			}
			c.offerToModule(k, class)
		}
	}
	return nil
}

// shortenDeadline moves the deadline of a pending call to the time at which its caller stops waiting, if that is
// earlier than was known: the set-up may have been unread for some time before its deadline was computed.
func (c *Core) shortenDeadline(k *record, deadline time.Time) {
	if deadline.IsZero() || !deadline.Before(k.Deadline) {
		return
	}
	k.Deadline = deadline
	c.loop.Stop(k.deadlineTimer)
	c.startDeadlineTimer(k)
}

// onResumeTimeout runs f before the sender of a resume request stops waiting, if the request states that time.
func (c *Core) onResumeTimeout(request ResumeRequest, f func()) {
	if !request.Answered && !request.Deadline.IsZero() {
		c.loop.After(max(time.Until(request.Deadline)-answerMargin, 0), f)
	}
}

// expireLedgerWait rejects a resume request shortly before its deadline, because a predecessor still has the ledger and
// so nothing is known of the call.
func (c *Core) expireLedgerWait(request ResumeRequest) {
	i := slices.Index(c.waitingResumes, request)
	if i < 0 {
		return
	}
	c.waitingResumes = slices.Delete(c.waitingResumes, i, i+1)
	c.rejectUnknown(request.Caller, request.ID, request.Token, false)
}

// rejectUnknown rejects a resume request for an unknown call; noHolder means that no other process can hold the call
// either.
func (c *Core) rejectUnknown(caller Caller, id, token string, noHolder bool) {
	c.recovered.Unknown++
	if noHolder && ValidID(id) {
		// The call is unknown, so nobody will be notified of its end: it must not stay established anywhere.
		c.releaseEverywhere(id, CauseNormal)
		c.recordTerminated(id)
		c.calls[id].Token, c.calls[id].end = recovery.HashToken(token), End{Cause: CauseTemporary, Reason: ReasonUnknown}
	}
	caller.End(id, End{Cause: CauseTemporary, Reason: ReasonUnknown})
}

// AwaitLedger queues resume requests until the calls of a predecessor are known, which has the ledger until it ends.
// New calls are accepted meanwhile, as one of the two processes must; they are persisted from then on.
func (c *Core) AwaitLedger() { c.awaitsLedger = true }

// LedgerAvailable serves the queued resume requests, after AwaitLedger.
func (c *Core) LedgerAvailable() {
	if !c.awaitsLedger {
		return
	}
	c.awaitsLedger = false
	requests := c.waitingResumes
	c.waitingResumes = nil
	for _, request := range requests {
		if err := c.ResumeCall(request); err != nil {
			c.log.Error("resume request failed", "id", request.ID, "err", err)
		}
	}
}

// RecoveryStatus returns the status of the recovery of the previous process's calls.
func (c *Core) RecoveryStatus() RecoveryStatus {
	r := c.recovered
	for _, k := range c.calls {
		if k.awaitsResume && k.state == pending {
			r.Waiting++
		}
	}
	if c.ledgerWriter != nil {
		r.NotPersisted = c.ledgerWriter.lastError
	}
	return r
}

// RecoveryMetrics returns the status of the recovery as metrics.
func (c *Core) RecoveryMetrics() []*dto.MetricFamily {
	counts := map[string]uint64{}
	for _, action := range slices.Sorted(maps.Keys(c.recovered.Actions)) {
		counts[action] = uint64(c.recovered.Actions[action])
	}
	if len(counts) == 0 {
		counts["none"] = 0
	}
	return []*dto.MetricFamily{
		telemetry.Counters("recovered_total", "Calls of an earlier process, by what was done with them.", "act", counts),
		telemetry.Counter("recovered_cut_total", "Calls of an earlier process that stood where they can't stand any more.",
			uint64(c.recovered.Cut)),
		telemetry.Counter("resumed_total", "Calls given to callers that came back.", uint64(c.recovered.Resumed)),
		telemetry.Counter("resumed_unknown_total", "Calls that callers came back for and that are not known.", uint64(c.recovered.Unknown)),
		telemetry.Gauge("recovery_seconds", "Time that taking them up took.",
			float64(c.recovered.TookUs)/1e6),
	}
}
