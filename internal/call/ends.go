package call

import (
	"log/slog"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

// What the ends of calls that dispatchers send lead to.

// Released tells that a dispatcher has released a call that stood. The attempt is the one that was made on the connection
// that it came on; -1 for none.
func (c *Core) Released(server control.ServerID, id string, attempt, cause int, report []float64) {
	k := c.calls[id]
	result := c.classifyEnd(k, server, attempt)
	c.logEnd(server, id, attempt, k, result)
	c.applyEnd(k, id, result, cause, report)
}

// ReleasedOnOtherConnection tells that a dispatcher has released a call that stands, on another connection than that of its answer, and reports whether the call
// goes on there. The release may be that of a call which an earlier attempt has established under the same id.
func (c *Core) ReleasedOnOtherConnection(server control.ServerID, id string, cause int, report []float64) (goesOn bool) {
	k := c.calls[id]
	result := c.classifyEnd(k, server, noAttempt)
	if result == endOfCall && k.triedEarlier() {
		result = endAmbiguous
	}
	c.logEnd(server, id, noAttempt, k, result)
	c.applyEnd(k, id, result, cause, report)
	return k != nil && k.state == established && k.server == server
}

// applyEnd does what the end of a call leads to.
func (c *Core) applyEnd(k *record, id string, result receivedEnd, cause int, report []float64) {
	c.endCounts[result]++
	switch result {
	case endOtherController:
		c.transfers.finder.Terminated(id, cause)
	case endOfUnknownCall: // from before a restart: its caller still has to hear of it
		c.recordTerminated(id)
		c.notifyTerminated(c.unknownCaller, id, endOf(cause))
	case endOfCall:
		c.terminate(k, cause, report)
	case endWithoutAnswer:
		c.terminateUnanswered(k, report)
	case endBeforeAnswer:
		c.holdEarlyEnd(k, cause, report)
	case endAmbiguous:
		c.probeAmbiguous(k, cause, report)
	case endOfEarlierAttempt, endOfTerminatedCall, endOtherDispatcher, endNotEstablished, endRepeated:
	}
}

// terminate ends a call that stood.
func (c *Core) terminate(k *record, cause int, report []float64) {
	outcome := control.Completed
	if cause != CauseNormal {
		outcome = control.Reset
	}
	c.queueEvent(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: outcome,
		Elapsed: time.Since(k.sentAt), CallOver: true, Report: report})
	caller := k.Caller
	endlog.Call(c.log, endlog.Over, k.ID, endlog.Server(k.server), slog.Int("cause", cause))
	c.persistTerminated(k, endOf(cause))
	c.closeRecord(k)
	k.end = endOf(cause)
	c.notifyTerminated(caller, k.ID, endOf(cause))
}

// recordTerminated notes that a call of another process is over.
func (c *Core) recordTerminated(id string) {
	c.calls[id] = &record{Request: Request{ID: id}, state: established}
	c.closeRecord(c.calls[id])
}

// endOf is the end of a call that stood.
func endOf(cause int) End {
	if cause == CauseNormal {
		return End{Cause: cause, Reason: ReasonEnded}
	}
	return End{Cause: cause, Reason: ReasonCut}
}
