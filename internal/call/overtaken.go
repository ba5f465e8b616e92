package call

import (
	"slices"
	"time"

	"cherryrelay/control"
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

// overtakes takes in the end of a call that is still open, from the dispatcher at which its attempt is out, on another connection than that of
// the attempt. The answer may lie unread on that one; if it does not come, it was lost. If the call was tried there before, the end may be of
// an earlier attempt, and says nothing of this one. It returns what became of the end.
func (c *Core) overtakes(k *record, cause int, report []float64) receivedEnd {
	if k.overtaken != nil {
		return endRepeated
	}
	if slices.Contains(k.tried[:len(k.tried)-1], k.server) {
		return endAmbiguous
	}
	attempt := k.attempts
	k.overtaken = &overtaking{cause: cause, report: report, timer: c.loop.After(answerWithin, func() {
		if k.out && k.attempts == attempt {
			c.endUnanswered(k, report)
		}
	})}
	return endBeforeAnswer
}

// endUnanswered ends a call that stood and is over at its dispatcher, and whose answer was lost or is late. Its caller is owed the end of what
// has stood, within a second: another attempt would keep it from that.
func (c *Core) endUnanswered(k *record, report []float64) {
	k.out = false
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

// noteTried keeps where a call was tried, and drops the end that an earlier attempt may have had.
func (c *Core) noteTried(k *record, server control.ServerID) {
	k.tried = append(k.tried, server)
	c.dropOvertaken(k)
}

func (c *Core) dropOvertaken(k *record) {
	if k.overtaken != nil {
		c.loop.Stop(k.overtaken.timer)
		k.overtaken = nil
	}
}
