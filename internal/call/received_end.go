package call

import (
	"fmt"
	"log/slog"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/telemetry"
)

// receivedEnd is the classification of the end of a call received from a dispatcher.
type receivedEnd string

// The first group of results notifies a caller, or may do so; the second group has no effect.
const (
	endOfCall           receivedEnd = "ended"            // the call is established here
	endBeforeAnswer     receivedEnd = "awaits_answer"    // the answer may be unread on another connection
	endWithoutAnswer    receivedEnd = "without_answer"   // the answer was lost; the set-up has failed
	endOfUnknownCall    receivedEnd = "unknown_call"     // the caller is notified on any connection
	endOtherController  receivedEnd = "other_controller" // forwarded to the controllers that may hold the call
	endOfEarlierAttempt receivedEnd = "earlier_attempt"
	endOfTerminatedCall receivedEnd = "already_over"
	endOtherDispatcher  receivedEnd = "other_dispatcher" // the call, or its attempt in progress, is at another dispatcher
	endNotEstablished   receivedEnd = "not_established"  // there is no attempt in progress
	endRepeated         receivedEnd = "repeated"         // an earlier end already waits for the answer
	endAmbiguous        receivedEnd = "ambiguous"        // belongs to the attempt in progress or to an earlier one at the same dispatcher
)

// noAttempt is the attempt number of an end that arrived on a connection without an attempt.
const noAttempt = -1

var receivedEnds = []receivedEnd{
	endOfCall, endBeforeAnswer, endWithoutAnswer, endOfUnknownCall, endOtherController,
	endOfEarlierAttempt, endOfTerminatedCall, endOtherDispatcher, endNotEstablished, endRepeated, endAmbiguous,
}

// classifyEnd determines to which call or attempt the end of a call belongs. The attempt is the one made on the
// connection on which the end arrived; -1 for none.
func (c *Core) classifyEnd(k *record, server control.ServerID, attempt int) receivedEnd {
	switch {
	case k == nil && c.transfers == nil:
		return endOfUnknownCall
	case k == nil || k.transferring: // another controller may hold it
		return endOtherController
	case attempt >= 0 && attempt < k.attempts-1: // the end of an earlier attempt, which a later one has replaced
		return endOfEarlierAttempt
	case k.state == established && k.server == server:
		return endOfCall
	case k.attemptInProgress && k.server == server && attempt >= 0: // the end of another attempt would not have arrived on this connection
		return endWithoutAnswer
	case k.attemptInProgress && k.server == server:
		return k.classifyEarlyEnd()
	case k.state == terminated:
		return endOfTerminatedCall
	case k.attemptInProgress || k.state == established:
		return endOtherDispatcher
	}
	return endNotEstablished
}

// String returns the name of the state for the log.
func (s state) String() string { return [...]string{"open", "established", "over"}[s] }

// logEnd logs the end of a call from a dispatcher, with the state of the call and the classification of the end.
func (c *Core) logEnd(server control.ServerID, id string, attempt int, k *record, result receivedEnd) {
	if !endlog.Enabled(c.log) {
		return
	}
	known := "nothing"
	if k != nil {
		known = fmt.Sprintf("%v at %s, attempt %d, in progress: %v", k.state, k.server, k.attempts-1, k.attemptInProgress)
	}
	endlog.Call(c.log, endlog.EndReceived, id, endlog.Server(server), endlog.Attempt(attempt), slog.String("known", known),
		slog.String(endlog.ResultKey, string(result)))
}

// endMetrics returns the number of received ends by their classification.
func (c *Core) endMetrics() []*dto.MetricFamily {
	counts := map[string]uint64{}
	for _, result := range receivedEnds {
		counts[string(result)] = c.endCounts[result]
	}
	return []*dto.MetricFamily{
		telemetry.Counters("ends_received_total", "Ends of calls that dispatchers have sent, by what became of them.", "result", counts),
	}
}
