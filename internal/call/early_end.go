package call

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

// answerTimeout is how long to wait for the answer to a set-up after the end of its call has arrived on another
// connection. The end of an established call must reach its caller within a second.
const answerTimeout = 500 * time.Millisecond

// earlyEnd is the end of a call that was read before its answer, on another connection.
type earlyEnd struct {
	cause  int
	report []float64
	timer  *Timer // limits the wait for the answer
}

// classifyEarlyEnd classifies the end of a pending call that the dispatcher of its attempt in progress sent on another
// connection. If an earlier attempt may have established the call there, the end may belong to that attempt.
func (k *record) classifyEarlyEnd() receivedEnd {
	switch {
	case k.earlyEnd != nil:
		return endRepeated
	case k.triedEarlier():
		return endAmbiguous
	}
	return endBeforeAnswer
}

// holdEarlyEnd stores the early end of a call and waits for the answer, which may be unread on the connection of the
// attempt. If the answer does not arrive in time, it was lost.
func (c *Core) holdEarlyEnd(k *record, cause int, report []float64) {
	attempt := k.attempts
	k.earlyEnd = &earlyEnd{cause: cause, report: report, timer: c.loop.After(answerTimeout, func() {
		if k.attemptInProgress && k.attempts == attempt {
			c.cancelAttempt(k, control.TimedOut, false)
		}
	})}
}

// terminateUnanswered ends a call that was established and terminated at its dispatcher, and whose answer was lost or
// is late. Its caller must get the end of an established call within a second, which another attempt would delay.
func (c *Core) terminateUnanswered(k *record, report []float64) {
	k.attemptInProgress = false
	endlog.Call(c.log, endlog.TerminatedWithoutAnswer, k.ID, endlog.Server(k.server))
	c.queueEvent(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: control.Reset,
		Elapsed: time.Since(k.sentAt), CallOver: true, Report: report})
	c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonFailed})
}

// applyEarlyEnd terminates an established call whose end arrived before its answer.
func (c *Core) applyEarlyEnd(k *record) {
	if end := k.earlyEnd; end != nil && k.state == established {
		c.terminate(k, end.cause, end.report)
	}
}

// triedAttempt is an attempt that may have established its call.
type triedAttempt struct {
	server      control.ServerID
	number      int
	established bool // its answer has arrived, but did not establish the call here
}

// recordTried records the dispatcher of a new attempt, and discards stored ends, as they belong to earlier attempts.
func (c *Core) recordTried(k *record, server control.ServerID) {
	k.tried = append(k.tried, triedAttempt{server: server, number: k.attempts - 1})
	c.dropEarlyEnd(k)
	c.dropAmbiguous(k)
}

// markEstablished records that an attempt other than the one in progress has established the call.
func (k *record) markEstablished(attempt int) {
	for i := range k.tried {
		if k.tried[i].number == attempt {
			k.tried[i].established = true
		}
	}
}

// triedEarlier reports whether an attempt before the latest one may have established the call at the same dispatcher.
func (k *record) triedEarlier() bool {
	return slices.ContainsFunc(k.earlierAttempts(), func(a triedAttempt) bool { return a.server == k.server })
}

// earlierEstablished reports whether an earlier attempt is known to have established the call at the dispatcher of the
// latest one.
func (k *record) earlierEstablished() bool {
	return slices.ContainsFunc(k.earlierAttempts(), func(a triedAttempt) bool { return a.server == k.server && a.established })
}

// earlierAttempts returns the attempts before the latest one that may have established the call.
func (k *record) earlierAttempts() []triedAttempt { return k.tried[:max(len(k.tried)-1, 0)] }

// dropRefused removes an attempt that its dispatcher refused, or that never ran, from those that may have established
// the call. A refusal that arrives after the attempt was cancelled proves the same: it takes the place of the answer.
func (k *record) dropRefused(attempt int, o control.Outcome) {
	switch o {
	case control.Failed, control.Full, control.Unreachable, control.NotSent, control.Cancelled:
		k.tried = slices.DeleteFunc(k.tried, func(a triedAttempt) bool { return a.number == attempt })
	}
}

// dropEarlyEnd discards an early end.
func (c *Core) dropEarlyEnd(k *record) {
	if k.earlyEnd != nil {
		c.loop.Stop(k.earlyEnd.timer)
		k.earlyEnd = nil
	}
}
