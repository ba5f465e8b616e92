package call

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/endlog"
)

// This file handles the outcomes of attempts, and failures of dispatchers.

// Answered handles an answer from a dispatcher, and reports whether it establishes the call. If the attempt was
// cancelled or the caller has disconnected, the call is released at the dispatcher.
func (c *Core) Answered(server control.ServerID, id string, attempt int, description string) bool {
	k := c.calls[id]
	if k != nil && k.state == established && k.server == server {
		endlog.Call(c.log, endlog.RepeatedAnswer, id, endlog.Server(server), endlog.Attempt(attempt))
		return false // a duplicate, or a late answer to an earlier attempt
	}
	if k != nil && k.attemptInProgress && k.server == server && attempt >= 0 && attempt < k.attempts-1 {
		// A late answer to an earlier attempt. A release would carry the id that both attempts share, and so end the
		// call that the later attempt is about to establish. It is sent if the later attempt fails.
		k.heldByEarlierAttempt = true
		k.markEstablished(attempt)
		endlog.Call(c.log, endlog.AnswerOfEarlierAttempt, id, endlog.Server(server), endlog.Attempt(attempt))
		return false
	}
	if k != nil && k.state == pending && k.Caller.Disconnected() && k.state == pending {
		c.orphanOrCancel(k) // it disconnected before the answer; a caller that disconnects later has received it, and its call goes on
	}
	if k == nil || !k.attemptInProgress || k.server != server || attempt >= 0 && attempt != k.attempts-1 {
		if k != nil {
			k.markEstablished(attempt)
		}
		endlog.Call(c.log, endlog.UnexpectedAnswer, id, endlog.Server(server), endlog.Attempt(attempt))
		c.dispatchers.Release(server, id, CauseNormal)
		return false
	}
	if err := k.Caller.Answer(id, description); err != nil {
		c.log.Warn("answer cannot be delivered to the caller", "id", id, "server", server, "err", err)
		endlog.Call(c.log, endlog.UndeliverableAnswer, id, endlog.Server(server), endlog.Attempt(attempt))
		c.dispatchers.Release(server, id, CauseNormal)
		c.AttemptEnded(server, id, attempt, control.Failed, false, nil)
		k.tried = append(k.tried, triedAttempt{server, k.attempts - 1, true}) // the dispatcher has established it
		return false
	}
	c.persistEvent(k, recovery.KindEstablished, func(e *recovery.Event) {
		if k.Token != nil {
			e.Description = description
		}
	})
	endlog.Call(c.log, endlog.Established, id, endlog.Server(server), endlog.Attempt(k.attempts-1))
	c.metrics.Class(k.Class).Served++
	c.stopTimers(k)
	c.removePending(k)
	k.attemptInProgress, k.state, k.heldByEarlierAttempt = false, established, false
	c.establishedByCaller[k.Caller]++
	k.Description, k.answeredTo = "", k.Caller
	if k.Token != nil {
		k.answer = description
	}
	if k.Caller == c.orphanCaller {
		c.releaseUnlessResumed(k, recovery.EstablishedResumeTimeout)
	}
	c.queueEvent(control.CallStands{ID: control.CallID(id), Server: server, Attempt: k.attempts - 1,
		Elapsed: time.Since(k.sentAt)})
	c.startReplyTimer(k)
	c.applyEarlyEnd(k)
	return k.state == established
}

// AttemptEnded handles the outcome of an attempt that did not establish the call. The outcome of a cancelled attempt is
// already known: only its load report and the fact that it was refused count.
func (c *Core) AttemptEnded(server control.ServerID, id string, attempt int, o control.Outcome, noLine bool, report []float64) {
	k := c.calls[id]
	if k == nil || !k.attemptInProgress || k.server != server || attempt >= 0 && attempt != k.attempts-1 {
		if k != nil && attempt >= 0 {
			k.dropRefused(attempt, o)
		}
		c.LoadReported(server, report)
		return
	}
	c.loop.Stop(k.attemptTimer)
	if k.earlyEnd != nil { // the call was established, whatever became of its answer
		c.terminateUnanswered(k, report)
		return
	}
	k.attemptInProgress = false
	c.releaseEarlierAttempt(k)
	if noLine {
		c.countSetUp(server, true)
	}
	k.dropRefused(k.attempts-1, o)
	c.recordAttemptFailed(k, o, !o.MayHaveRun())
	c.queueEvent(control.AttemptEnded{ID: control.CallID(id), Server: server, Attempt: k.attempts - 1, Outcome: o,
		Elapsed: time.Since(k.sentAt), NoLine: noLine, Report: report})
}

// releaseEarlierAttempt releases the call that the dispatcher holds by an earlier attempt, because a later attempt
// there has failed.
func (c *Core) releaseEarlierAttempt(k *record) {
	if k.heldByEarlierAttempt {
		k.heldByEarlierAttempt = false
		c.dispatchers.Release(k.server, k.ID, CauseNormal)
	}
}

// LoadReported handles a load report that does not belong to an attempt.
func (c *Core) LoadReported(server control.ServerID, report []float64) {
	if len(report) > 0 {
		c.queueEvent(control.ReportReceived{Server: server, OK: true, Report: report})
	}
}

// DispatcherFailed handles the failure of a dispatcher. Its calls were cut, which it cannot report itself.
func (c *Core) DispatcherFailed(server control.ServerID) {
	c.CallsFailed(server, slices.Sorted(c.EstablishedAt(server)))
}

// CallsFailed ends established calls whose dispatcher has failed.
func (c *Core) CallsFailed(server control.ServerID, ids []string) {
	if len(ids) == 0 {
		return
	}
	endlog.Dispatcher(c.log, endlog.DispatcherPresumedGone, string(server), slog.Int("calls", len(ids)))
	for _, id := range ids {
		c.terminate(c.calls[id], CauseTemporary, nil)
	}
	c.log.Warn("dispatcher failed with established calls", "server", server, "calls", len(ids))
}

// EstablishedAt returns the ids of the calls that are established at the listed process of a dispatcher, in no particular order.
func (c *Core) EstablishedAt(server control.ServerID) iter.Seq[string] {
	return func(yield func(string) bool) {
		for id, k := range c.calls {
			if k.state == established && k.server == server && !k.misplaced && !yield(id) {
				return
			}
		}
	}
}

// EstablishedCount returns the number of calls that are established at a dispatcher.
func (c *Core) EstablishedCount(server control.ServerID) int {
	n := 0
	for range c.EstablishedAt(server) {
		n++
	}
	return n
}

// EachEstablished calls f with the dispatcher of each established call, in no particular order.
func (c *Core) EachEstablished(f func(server control.ServerID)) {
	for _, k := range c.calls {
		if k.state == established && !k.misplaced {
			f(k.server)
		}
	}
}
