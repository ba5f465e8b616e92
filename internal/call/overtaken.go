package call

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

// answerTimeout is how long the answer to a set-up is waited for after the end of its call has come on another connection. What has stood is
// to be released towards its caller within a second of its end.
const answerTimeout = 500 * time.Millisecond

// earlyEnd is the end of a call that was read before its answer, as it came on another connection.
type earlyEnd struct {
	cause  int
	report []float64
	timer  *Timer // when the answer is waited for no longer
}

// classifyEarlyEnd says what the end of a call is taken for that is still open, from the dispatcher at which its attempt is out, on another
// connection than that of the attempt. If an earlier attempt may have established the call there, the end may be of that one.
func (k *record) classifyEarlyEnd() receivedEnd {
	switch {
	case k.earlyEnd != nil:
		return endRepeated
	case k.triedEarlier():
		return endAmbiguous
	}
	return endBeforeAnswer
}

// holdEarlyEnd takes in such an end. The answer may lie unread on the connection of the attempt; if it does not come, it was lost.
func (c *Core) holdEarlyEnd(k *record, cause int, report []float64) {
	attempt := k.attempts
	k.earlyEnd = &earlyEnd{cause: cause, report: report, timer: c.loop.After(answerTimeout, func() {
		if k.attemptInProgress && k.attempts == attempt {
			c.cancelAttempt(k, control.TimedOut, false)
		}
	})}
}

// terminateUnanswered ends a call that stood and is over at its dispatcher, and whose answer was lost or is late. Its caller is owed the end of what
// has stood, within a second: another attempt would keep it from that.
func (c *Core) terminateUnanswered(k *record, report []float64) {
	k.attemptInProgress = false
	endlog.Call(c.log, endlog.WithoutAnswer, k.ID, endlog.Server(k.server))
	c.queueEvent(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: control.Reset,
		Elapsed: time.Since(k.sentAt), CallOver: true, Report: report})
	c.rejectCall(k, End{Cause: CauseTemporary, Reason: ReasonFailed})
}

// applyEarlyEnd tells the end of a call, if that came before its answer did.
func (c *Core) applyEarlyEnd(k *record) {
	if o := k.earlyEnd; o != nil && k.state == established {
		c.terminate(k, o.cause, o.report)
	}
}

// triedAttempt is an attempt that may have established its call.
type triedAttempt struct {
	server      control.ServerID
	number      int
	established bool // its answer has come, though it established nothing here
}

// recordTried keeps where a call was tried, and drops the ends that earlier attempts may have had.
func (c *Core) recordTried(k *record, server control.ServerID) {
	k.tried = append(k.tried, triedAttempt{server: server, number: k.attempts - 1})
	c.dropEarlyEnd(k)
	c.dropAmbiguous(k)
}

// markEstablished keeps that a call was established by an attempt other than the one that is out.
func (k *record) markEstablished(attempt int) {
	for i := range k.tried {
		if k.tried[i].number == attempt {
			k.tried[i].established = true
		}
	}
}

// triedEarlier reports whether an earlier attempt than the latest one may have established the call at the same dispatcher.
func (k *record) triedEarlier() bool {
	return slices.ContainsFunc(k.earlierAttempts(), func(a triedAttempt) bool { return a.server == k.server })
}

// earlierEstablished reports whether the dispatcher of the attempt that is out is known to have established the call by an earlier one.
func (k *record) earlierEstablished() bool {
	return slices.ContainsFunc(k.earlierAttempts(), func(a triedAttempt) bool { return a.server == k.server && a.established })
}

// earlierAttempts are those before the latest one that may have established the call.
func (k *record) earlierAttempts() []triedAttempt { return k.tried[:max(len(k.tried)-1, 0)] }

// dropRefused drops an attempt from those that may have established the call, if its dispatcher refused it or it never ran. A refusal
// that comes after the attempt was withdrawn tells as much: it stands in place of the answer.
func (k *record) dropRefused(attempt int, o control.Outcome) {
	switch o {
	case control.Failed, control.Full, control.Unreachable, control.NotSent, control.Cancelled:
		k.tried = slices.DeleteFunc(k.tried, func(a triedAttempt) bool { return a.number == attempt })
	}
}

func (c *Core) dropEarlyEnd(k *record) {
	if k.earlyEnd != nil {
		c.loop.Stop(k.earlyEnd.timer)
		k.earlyEnd = nil
	}
}
