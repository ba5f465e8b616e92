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

// orphanCaller stands in for a caller whose connection is gone and who may come back for its calls. What it is owed waits with them.
type orphanCaller struct{ unknownCaller }

// RecoveryStatus is what became of the calls that an earlier process left, for operators.
type RecoveryStatus struct {
	Actions      map[string]int `json:"acts"`    // calls, by what was done with them
	Reasons      map[string]int `json:"why"`     // and why
	Cut          int            `json:"cut"`     // calls that stood, and were cut once the list had come
	Waiting      int            `json:"waiting"` // open ones whose callers have not come yet
	Resumed      int            `json:"claimed"` // given to callers that came back, since the start
	Unknown      int            `json:"unknown"` // claims of calls that are not known
	Unexpected   int            `json:"strays"`  // events that did not fit
	TookUs       int64          `json:"took_us"`
	Damage       []string       `json:"damage,omitempty"`
	NotPersisted string         `json:"not_kept,omitempty"` // why the state of calls is not kept now
}

// Recover takes up the calls that an earlier process left. It comes before callers are served.
func (c *Core) Recover(b *recovery.CallTable, damage []string) {
	from := time.Now()
	c.recovered.Actions, c.recovered.Reasons = map[string]int{}, map[string]int{}
	c.recovered.Unexpected, c.recovered.Damage = b.UnexpectedEvents(), damage
	rules := recovery.Rules{Guard: c.decisions.ReleaseGuard, MaxAttempts: c.decisions.MaxAttempts}
	for _, d := range b.Plan(c.now(), rules) {
		if k := c.calls[d.ID]; k != nil { // a predecessor has handed it over, without what its caller can claim it with
			if k.state == established && d.State == recovery.StateEstablished && k.Token == nil {
				k.Token, k.answer, k.restored = d.Token, d.Answer, d.Call
			}
			continue
		}
		c.recoverCall(d)
	}
	slices.SortStableFunc(c.recentlyTerminated, func(a, b *record) int { return a.terminatedAt.Compare(b.terminatedAt) }) // forgotten in this order
	c.recovered.TookUs += time.Since(from).Microseconds()
	if n := len(c.calls); n > 0 {
		c.log.Info("calls of an earlier process", "acts", fmt.Sprint(c.recovered.Actions), "strays", b.UnexpectedEvents(), "damage", len(damage))
	}
	for _, text := range damage {
		c.log.Error("the state of calls is damaged", "damage", text)
	}
	c.verifyRecovered()
}

func (c *Core) recoverCall(d recovery.Decision) {
	now := time.Now()
	k := &record{
		Request: Request{ID: d.ID, Class: d.Class, Called: d.Called, FirstCell: d.FirstCell, Redial: d.Redial, Caller: c.orphanCaller, Token: d.Token},
		server:  control.ServerID(d.Server), attempts: d.Attempts, sentAt: now.Add(d.LastEventAt - c.now()), restored: d.Call,
	}
	act := d.Action
	// What is repeated must do no harm if it ran.
	if act == recovery.AwaitResume && !c.mayRepeat(c.classIndex(d.Class), d.Attempts) {
		act, d.Why = recovery.FailCall, "it may not be repeated"
	}
	c.recovered.Actions[act.String()]++
	c.recovered.Reasons[d.Why]++
	endlog.Call(c.log, endlog.Recovered, d.ID, endlog.Server(d.Server), slog.String("act", act.String()))
	c.calls[d.ID] = k
	if d.MustRelease {
		c.pendingReleases = append(c.pendingReleases, k)
	}
	switch act {
	case recovery.AwaitResume:
		k.Description, k.Deadline, k.notBefore, k.awaitsResume = d.Description, now.Add(d.TimeLeft), d.NotBefore, true
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

// recordEnd notes how and when a call ended, for who asks.
func (c *Core) recordEnd(k *record, at time.Time, end End) {
	k.state, k.Caller, k.end, k.terminatedAt, k.restored = terminated, nil, end, at, nil
	c.recentlyTerminated = append(c.recentlyTerminated, k)
}

// verifyRecovered holds what stood against the list, once there is one, and releases what may stand where it must not.
func (c *Core) verifyRecovered() {
	if !c.listReceived {
		return
	}
	for _, k := range c.pendingReleases {
		c.selection.includeForRelease(k.server)
		c.dispatchers.Release("", k.ID, CauseNormal) // wherever it may stand: the last that is known of it may not be all
	}
	c.pendingReleases = nil
	unchecked := c.unverified
	c.unverified = nil
	for _, k := range unchecked {
		if k.state != established || k.restored == nil {
			continue
		}
		at, listed := c.listedServer(k.server)
		if ok, why := k.restored.MayStillBeEstablished(recovery.ListEntry{Address: at.Address, Started: at.StartedAt, Listed: listed}); !ok {
			c.log.Info("call of an earlier process is cut", "id", k.ID, "server", k.server, "why", why)
			c.recovered.Cut++
			c.terminate(k, CauseTemporary, nil)
			continue
		}
		c.selection.retain(k.server)
	}
}

// cancelUnlessResumed gives an open call up unless its caller comes.
func (c *Core) cancelUnlessResumed(k *record, d time.Duration) {
	c.unlessResumed(k, d, pending, CauseNormal, func() { k.end = End{Cause: CauseTemporary, Reason: ReasonFailed} }) // for one who comes later still
}

// releaseUnlessResumed releases a call that stands unless its caller, who may not know that it does, comes for it.
func (c *Core) releaseUnlessResumed(k *record, d time.Duration) {
	c.unlessResumed(k, d, established, CauseTemporary, func() {})
}

// unlessResumed gives a call up that is still in the state, and still without its caller, after a time.
func (c *Core) unlessResumed(k *record, d time.Duration, s state, cause int, then func()) {
	c.loop.Stop(k.orphanTimer)
	k.orphanTimer = c.loop.After(d, func() {
		if k.state == s && k.Caller == c.orphanCaller {
			c.log.Info("nobody came back for a call", "id", k.ID, "stood", s == established)
			c.CallerReleased(c.orphanCaller, k.ID, cause)
			then()
		}
	})
}

// orphan keeps an open call whose connection has closed for its caller to come back.
func (c *Core) orphan(k *record) {
	c.assignCaller(k, c.orphanCaller)
	c.cancelUnlessResumed(k, min(recovery.PendingResumeTimeout, time.Until(k.Deadline)))
}

// assignCaller gives a call to another caller.
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

// ResumeRequest is a caller's word that a call of another connection is its own.
type ResumeRequest struct {
	Caller    Caller
	ID, Token string
	Answered  bool
	Deadline  time.Time // when its caller gives an open call up; zero if it does not say so
}

// maxWaitingResumes bounds claims that wait for a predecessor to end: as many as its callers can have had.
const maxWaitingResumes = 16 << 10

// ErrTooManyResumes ends a connection whose claims cannot even wait. What it claims can be claimed again.
var ErrTooManyResumes = errors.New("too many calls are resumed at once")

// ResumeCall is a caller's word that a call is its own, on whatever connection it has now. It gets what it is owed: the final
// answer if there is one, the one to come if not, and the end of a call that stands. An error calls for the end of its
// connection.
func (c *Core) ResumeCall(claim ResumeRequest) error {
	if c.awaitsLedger {
		if len(c.waitingResumes) >= maxWaitingResumes {
			return ErrTooManyResumes
		}
		c.waitingResumes = append(c.waitingResumes, claim)
		c.onResumeTimeout(claim, func() { c.expireLedgerWait(claim) })
		return nil
	}
	caller, id, token, answered := claim.Caller, claim.ID, claim.Token, claim.Answered
	k := c.calls[id]
	if (k == nil || k.transferring) && c.lookUp(claim) {
		return nil
	}
	if k == nil || !recovery.TokenMatches(token, k.Token) {
		c.rejectUnknown(caller, id, token, k == nil)
		return nil
	}
	c.recovered.Resumed++
	k.resumedAt = time.Now()
	endlog.Call(c.log, endlog.CameBack, id, endlog.Server(k.server), slog.String(endlog.StateKey, k.state.String()))
	switch {
	case k.state == terminated:
		if k.answeredTo != caller { // on the same connection it had its answer
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
		// Its caller has an answer that is not known here: what was kept of it is not all, and it can't be trusted.
		c.log.Error("a caller has the answer to a call that is open here", "id", id)
		c.assignCaller(k, caller)
		c.cancelCall(k)
		c.dispatchers.Release("", id, CauseNormal)
		c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonCut})
	default:
		if k.Caller != caller {
			c.assignCaller(k, caller)
		}
		c.shortenDeadline(k, claim.Deadline)
		if k.awaitsResume {
			k.awaitsResume = false
			class := c.classIndex(k.Class)
			if class < 0 { // other settings came meanwhile, without it: the module would never hear of the call
				c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonFailed})
				break
			}
			c.offerToModule(k, class)
		}
	}
	return nil
}

// shortenDeadline has an open call answered by the time at which its caller gives up, if that is earlier than was known: the set-up may have waited
// unread before its time was noted.
func (c *Core) shortenDeadline(k *record, by time.Time) {
	if by.IsZero() || !by.Before(k.Deadline) {
		return
	}
	k.Deadline = by
	c.loop.Stop(k.deadlineTimer)
	c.startDeadlineTimer(k)
}

// onResumeTimeout has expireLookup run before the caller of a claim gives up, if it says when that is.
func (c *Core) onResumeTimeout(claim ResumeRequest, tooLate func()) {
	if !claim.Answered && !claim.Deadline.IsZero() {
		c.loop.After(max(time.Until(claim.Deadline)-answerMargin, 0), tooLate)
	}
}

// expireLedgerWait tells a caller whose time is over that nothing is known of its call, as a predecessor has the ledger still.
func (c *Core) expireLedgerWait(claim ResumeRequest) {
	i := slices.Index(c.waitingResumes, claim)
	if i < 0 {
		return
	}
	c.waitingResumes = slices.Delete(c.waitingResumes, i, i+1)
	c.rejectUnknown(claim.Caller, claim.ID, claim.Token, false)
}

// rejectUnknown tells a caller that nothing is known of a call. With cut, nobody else can have it either.
func (c *Core) rejectUnknown(caller Caller, id, token string, cut bool) {
	c.recovered.Unknown++
	if cut && ValidID(id) {
		// Nothing is known of it, so nobody will ever be told of it: it must not stand anywhere.
		c.dispatchers.Release("", id, CauseNormal)
		c.recordTerminated(id)
		c.calls[id].Token, c.calls[id].end = recovery.HashToken(token), End{Cause: CauseTemporary, Reason: ReasonUnknown}
	}
	caller.End(id, End{Cause: CauseTemporary, Reason: ReasonUnknown})
}

// AwaitLedger has claims wait until the calls of a predecessor are known, which has the ledger until it ends. New calls are taken
// meanwhile, as one of the two must; they are kept from then on.
func (c *Core) AwaitLedger() { c.awaitsLedger = true }

// LedgerAvailable ends AwaitLedger.
func (c *Core) LedgerAvailable() {
	if !c.awaitsLedger {
		return
	}
	c.awaitsLedger = false
	claims := c.waitingResumes
	c.waitingResumes = nil
	for _, claim := range claims {
		if err := c.ResumeCall(claim); err != nil {
			c.log.Error("claim that cannot be served", "id", claim.ID, "err", err)
		}
	}
}

// RecoveryStatus is what became of the calls of an earlier process.
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

// RecoveryMetrics are as much in figures.
func (c *Core) RecoveryMetrics() []*dto.MetricFamily {
	counts := map[string]uint64{}
	for _, act := range slices.Sorted(maps.Keys(c.recovered.Actions)) {
		counts[act] = uint64(c.recovered.Actions[act])
	}
	if len(counts) == 0 {
		counts["none"] = 0
	}
	return []*dto.MetricFamily{
		telemetry.Counters("recovered_total", "Calls of an earlier process, by what was done with them.", "act", counts),
		telemetry.Counter("recovered_cut_total", "Calls of an earlier process that stood where they can't stand any more.", uint64(c.recovered.Cut)),
		telemetry.Counter("resumed_total", "Calls given to callers that came back.", uint64(c.recovered.Resumed)),
		telemetry.Counter("resumed_unknown_total", "Calls that callers came back for and that are not known.", uint64(c.recovered.Unknown)),
		telemetry.Gauge("recovery_seconds", "Time that taking them up took.", float64(c.recovered.TookUs)/1e6),
	}
}
