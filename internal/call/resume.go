package call

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/endlog"
)

// This file serves callers that resume calls which were set up on another connection.

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
