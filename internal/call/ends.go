package call

import (
	"log/slog"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

// This file handles the ends of calls that dispatchers send.

// Released handles the release of an established call by a dispatcher. The attempt is the one made on the connection on
// which the release arrived; -1 for none.
func (c *Core) Released(server control.ServerID, id string, attempt, cause int, report []float64) {
	k := c.calls[id]
	result := c.classifyEnd(k, server, attempt)
	c.logEnd(server, id, attempt, k, result)
	c.applyEnd(k, id, result, cause, report)
}

// ReleasedOnOtherConnection handles the release of an established call on a connection other than that of its answer,
// and reports whether the call is still established there. The release may belong to a call that an earlier attempt
// established under the same id.
func (c *Core) ReleasedOnOtherConnection(server control.ServerID, id string, cause int, report []float64) (stillEstablished bool) {
	k := c.calls[id]
	result := c.classifyEnd(k, server, noAttempt)
	if result == endOfCall && k.triedEarlier() {
		result = endAmbiguous
	}
	c.logEnd(server, id, noAttempt, k, result)
	c.applyEnd(k, id, result, cause, report)
	return k != nil && k.state == established && k.server == server
}

// applyEnd handles the end of a call according to its classification.
func (c *Core) applyEnd(k *record, id string, result receivedEnd, cause int, report []float64) {
	c.endCounts[result]++
	switch result {
	case endOtherController:
		c.transfers.finder.Terminated(id, cause)
	case endOfUnknownCall: // a call from before a restart: its caller must still be notified
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

// terminate ends an established call.
func (c *Core) terminate(k *record, cause int, report []float64) {
	outcome := control.Completed
	if cause != CauseNormal {
		outcome = control.Reset
	}
	c.queueEvent(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: outcome,
		Elapsed: time.Since(k.sentAt), CallOver: true, Report: report})
	caller := k.Caller
	endlog.Call(c.log, endlog.Terminated, k.ID, endlog.Server(k.server), slog.Int("cause", cause))
	c.persistTerminated(k, endOf(cause))
	c.close(k)
	k.end = endOf(cause)
	c.notifyTerminated(caller, k.ID, endOf(cause))
}

// recordTerminated records that a call of another process is terminated.
func (c *Core) recordTerminated(id string) {
	c.calls[id] = &record{Request: Request{ID: id}, state: established}
	c.close(c.calls[id])
}

// endOf returns the End of an established call that was released with the cause.
func endOf(cause int) End {
	if cause == CauseNormal {
		return End{Cause: cause, Reason: ReasonEnded}
	}
	return End{Cause: cause, Reason: ReasonCut}
}
