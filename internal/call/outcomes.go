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

// What dispatchers say of attempts, and of calls that stand.

// Answered tells that a dispatcher says that a call stands, and reports whether it does by that. Nobody waits for it if the attempt was
// withdrawn or the caller has left; then the dispatcher's call is released.
func (c *Core) Answered(server control.ServerID, id string, attempt int, description string) bool {
	k := c.calls[id]
	if k != nil && k.state == established && k.server == server {
		endlog.Call(c.log, endlog.AnswerAgain, id, endlog.Server(server), endlog.Attempt(attempt))
		return false // said twice, or late, of an earlier attempt
	}
	if k != nil && k.attemptInProgress && k.server == server && attempt >= 0 && attempt < k.attempts-1 {
		// An earlier attempt's, late. A release would go out under the id that both have, and cut the call that the later
		// one is about to stand as. It goes out if that one comes to nothing.
		k.heldByEarlierAttempt = true
		k.markEstablished(attempt)
		endlog.Call(c.log, endlog.AnswerOfEarlier, id, endlog.Server(server), endlog.Attempt(attempt))
		return false
	}
	if k != nil && k.state == pending && k.Caller.Disconnected() && k.state == pending {
		c.orphanOrCancel(k) // before the answer came: whoever leaves later has had it, and its call stands
	}
	if k == nil || !k.attemptInProgress || k.server != server || attempt >= 0 && attempt != k.attempts-1 {
		if k != nil {
			k.markEstablished(attempt)
		}
		endlog.Call(c.log, endlog.AnswerUnwanted, id, endlog.Server(server), endlog.Attempt(attempt))
		c.dispatchers.Release(server, id, CauseNormal)
		return false
	}
	if err := k.Caller.Answer(id, description); err != nil {
		c.log.Warn("answer that cannot be passed on", "id", id, "server", server, "err", err)
		endlog.Call(c.log, endlog.AnswerUnfit, id, endlog.Server(server), endlog.Attempt(attempt))
		c.dispatchers.Release(server, id, CauseNormal)
		c.AttemptEnded(server, id, attempt, control.Failed, false, nil)
		k.tried = append(k.tried, triedAttempt{server, k.attempts - 1, true}) // it was established there
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

// AttemptEnded tells the outcome of an attempt that does not stand. The outcome of one that was withdrawn has been told
// already: its report counts, and that it was refused.
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
	if k.earlyEnd != nil { // it stood, whatever has become of its answer
		c.terminateUnanswered(k, report)
		return
	}
	k.attemptInProgress = false
	c.releaseEarlierAttempt(k)
	if noLine {
		c.countSetUp(server, true)
	}
	k.dropRefused(k.attempts-1, o)
	c.persistAttemptFailed(k, o)
	c.queueEvent(control.AttemptEnded{ID: control.CallID(id), Server: server, Attempt: k.attempts - 1, Outcome: o,
		Elapsed: time.Since(k.sentAt), NoLine: noLine, Report: report})
}

// releaseEarlierAttempt releases the call that the dispatcher holds by an earlier attempt, as a later one there has come to nothing.
func (c *Core) releaseEarlierAttempt(k *record) {
	if k.heldByEarlierAttempt {
		k.heldByEarlierAttempt = false
		c.dispatchers.Release(k.server, k.ID, CauseNormal)
	}
}

// LoadReported brings a load report outside an attempt.
func (c *Core) LoadReported(server control.ServerID, report []float64) {
	if len(report) > 0 {
		c.queueEvent(control.ReportReceived{Server: server, OK: true, Report: report})
	}
}

// DispatcherFailed tells that a dispatcher is no more. Its calls were cut, and it can't say so itself.
func (c *Core) DispatcherFailed(server control.ServerID) {
	cut := slices.Sorted(c.EstablishedAt(server))
	if len(cut) > 0 {
		endlog.Dispatcher(c.log, endlog.CountsAsGone, string(server), slog.Int("calls", len(cut)))
	}
	for _, id := range cut {
		c.terminate(c.calls[id], CauseTemporary, nil)
	}
	if len(cut) > 0 {
		c.log.Warn("dispatcher died with calls", "server", server, "calls", len(cut))
	}
}

// EstablishedAt names the calls that stand at a dispatcher, in no order.
func (c *Core) EstablishedAt(server control.ServerID) iter.Seq[string] {
	return func(yield func(string) bool) {
		for id, k := range c.calls {
			if k.state == established && k.server == server && !yield(id) {
				return
			}
		}
	}
}

// EstablishedCount is their number.
func (c *Core) EstablishedCount(server control.ServerID) int {
	n := 0
	for range c.EstablishedAt(server) {
		n++
	}
	return n
}

// EachEstablished calls f with the dispatcher of each call that stands, in no order.
func (c *Core) EachEstablished(f func(server control.ServerID)) {
	for _, k := range c.calls {
		if k.state == established {
			f(k.server)
		}
	}
}
