package call

import (
	"fmt"
	"log/slog"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/telemetry"
)

// receivedEnd is what became of the end of a call that a dispatcher has sent.
type receivedEnd string

// The results of ends that reach a caller, or may, and of those that change nothing.
const (
	endOfCall           receivedEnd = "ended"            // the call was established here
	endBeforeAnswer     receivedEnd = "awaits_answer"    // its answer may lie unread on another connection
	endWithoutAnswer    receivedEnd = "without_answer"   // its answer was lost; the set-up has failed
	endOfUnknownCall    receivedEnd = "unknown_call"     // told on any connection
	endOtherController  receivedEnd = "other_controller" // passed on to the controllers that may hold the call
	endOfEarlierAttempt receivedEnd = "earlier_attempt"
	endOfTerminatedCall receivedEnd = "already_over"
	endOtherDispatcher  receivedEnd = "other_dispatcher" // the call, or its attempt, is at another one
	endNotEstablished   receivedEnd = "not_established"  // no attempt is out
	endRepeated         receivedEnd = "repeated"         // the first one awaits the answer
	endAmbiguous        receivedEnd = "ambiguous"        // of the attempt that is out, or of an earlier one at the same dispatcher
)

// noAttempt is the number of an attempt where an end came on a connection on which none was made.
const noAttempt = -1

var receivedEnds = []receivedEnd{
	endOfCall, endBeforeAnswer, endWithoutAnswer, endOfUnknownCall, endOtherController,
	endOfEarlierAttempt, endOfTerminatedCall, endOtherDispatcher, endNotEstablished, endRepeated, endAmbiguous,
}

// classifyEnd says what the end of a call from a dispatcher is the end of. The attempt is the one that was made on the connection that it came
// on; -1 for none.
func (c *Core) classifyEnd(k *record, server control.ServerID, attempt int) receivedEnd {
	switch {
	case k == nil && c.transfers == nil:
		return endOfUnknownCall
	case k == nil || k.transferring: // another controller may have it
		return endOtherController
	case attempt >= 0 && attempt < k.attempts-1: // what an earlier attempt led to; a later one has taken its place
		return endOfEarlierAttempt
	case k.state == established && k.server == server:
		return endOfCall
	case k.attemptInProgress && k.server == server && attempt >= 0: // were it another attempt's, it would not have come there
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

// String names the state in the log.
func (s state) String() string { return [...]string{"open", "established", "over"}[s] }

// logEnd logs the end of a call from a dispatcher, with what is known of the call, and what the end is taken for.
func (c *Core) logEnd(server control.ServerID, id string, attempt int, k *record, result receivedEnd) {
	if !endlog.Enabled(c.log) {
		return
	}
	known := "nothing"
	if k != nil {
		known = fmt.Sprintf("%v at %s, attempt %d, out: %v", k.state, k.server, k.attempts-1, k.attemptInProgress)
	}
	endlog.Call(c.log, endlog.EndReceived, id, endlog.Server(server), endlog.Attempt(attempt), slog.String("known", known),
		slog.String(endlog.ResultKey, string(result)))
}

// endMetrics are the counts of ends that were received, by what became of them.
func (c *Core) endMetrics() []*dto.MetricFamily {
	counts := map[string]uint64{}
	for _, result := range receivedEnds {
		counts[string(result)] = c.endCounts[result]
	}
	return []*dto.MetricFamily{
		telemetry.Counters("ends_received_total", "Ends of calls that dispatchers have sent, by what became of them.", "result", counts),
	}
}
