package call

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

// answerWithin is how long the answer to a set-up is waited for after the end of its call has come on another connection. What has stood is
// to be released towards its caller within a second of its end.
const answerWithin = 500 * time.Millisecond

// overtaking is the end of a call that was read before its answer, as it came on another connection.
type overtaking struct {
	cause  int
	report []float64
	timer  *Timer // when the answer is waited for no longer
}

// matchOvertaking says what the end of a call is taken for that is still open, from the dispatcher at which its attempt is out, on another
// connection than that of the attempt. If an earlier attempt may have established the call there, the end may be of that one.
func (k *record) matchOvertaking() receivedEnd {
	switch {
	case k.overtaken != nil:
		return endRepeated
	case k.triedBefore():
		return endAmbiguous
	}
	return endBeforeAnswer
}

// overtakes takes in such an end. The answer may lie unread on the connection of the attempt; if it does not come, it was lost.
func (c *Core) overtakes(k *record, cause int, report []float64) {
	attempt := k.attempts
	k.overtaken = &overtaking{cause: cause, report: report, timer: c.loop.After(answerWithin, func() {
		if k.out && k.attempts == attempt {
			c.withdraw(k, control.TimedOut, false)
		}
	})}
}

// endUnanswered ends a call that stood and is over at its dispatcher, and whose answer was lost or is late. Its caller is owed the end of what
// has stood, within a second: another attempt would keep it from that.
func (c *Core) endUnanswered(k *record, report []float64) {
	k.out = false
	endlog.Call(c.log, endlog.WithoutAnswer, k.ID, endlog.Server(k.server))
	c.tell(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: control.Reset,
		Elapsed: time.Since(k.sentAt), CallOver: true, Report: report})
	c.final(k, End{Cause: CauseTemporary, Reason: ReasonFailed})
}

// overtook tells the end of a call, if that came before its answer did.
func (c *Core) overtook(k *record) {
	if o := k.overtaken; o != nil && k.state == stands {
		c.finish(k, o.cause, o.report)
	}
}

// triedAttempt is an attempt that may have established its call.
type triedAttempt struct {
	server      control.ServerID
	number      int
	established bool // its answer has come, though it established nothing here
}

// noteTried keeps where a call was tried, and drops the ends that earlier attempts may have had.
func (c *Core) noteTried(k *record, server control.ServerID) {
	k.tried = append(k.tried, triedAttempt{server: server, number: k.attempts - 1})
	c.dropOvertaken(k)
	c.dropAmbiguous(k)
}

// noteEstablished keeps that a call was established by an attempt other than the one that is out.
func (k *record) noteEstablished(attempt int) {
	for i := range k.tried {
		if k.tried[i].number == attempt {
			k.tried[i].established = true
		}
	}
}

// triedBefore reports whether an earlier attempt than the latest one may have established the call at the same dispatcher.
func (k *record) triedBefore() bool {
	return slices.ContainsFunc(k.earlierAttempts(), func(a triedAttempt) bool { return a.server == k.server })
}

// earlierEstablished reports whether the dispatcher of the attempt that is out is known to have established the call by an earlier one.
func (k *record) earlierEstablished() bool {
	return slices.ContainsFunc(k.earlierAttempts(), func(a triedAttempt) bool { return a.server == k.server && a.established })
}

// earlierAttempts are those before the latest one that may have established the call.
func (k *record) earlierAttempts() []triedAttempt { return k.tried[:max(len(k.tried)-1, 0)] }

// forgetRefused drops an attempt from those that may have established the call, if its dispatcher refused it or it never ran. A refusal
// that comes after the attempt was withdrawn tells as much: it stands in place of the answer.
func (k *record) forgetRefused(attempt int, o control.Outcome) {
	switch o {
	case control.Failed, control.Full, control.Unreachable, control.NotSent, control.Cancelled:
		k.tried = slices.DeleteFunc(k.tried, func(a triedAttempt) bool { return a.number == attempt })
	}
}

func (c *Core) dropOvertaken(k *record) {
	if k.overtaken != nil {
		c.loop.Stop(k.overtaken.timer)
		k.overtaken = nil
	}
}
