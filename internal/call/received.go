package call

import (
	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/telemetry"
)

// receivedEnd is what became of the end of a call that a dispatcher has sent.
type receivedEnd string

// The results of ends that reach a caller, or may, and of those that change nothing.
const (
	endOfCall          receivedEnd = "ended"            // the call was established here
	endBeforeAnswer    receivedEnd = "awaits_answer"    // its answer may lie unread on another connection
	endWithoutAnswer   receivedEnd = "without_answer"   // its answer was lost; the set-up has failed
	endOfUnknownCall   receivedEnd = "unknown_call"     // told on any connection
	endElsewhere       receivedEnd = "other_controller" // passed on to the controllers that may hold the call
	endOfEarlier       receivedEnd = "earlier_attempt"
	endAgain           receivedEnd = "already_over"
	endOtherDispatcher receivedEnd = "other_dispatcher" // the call, or its attempt, is at another one
	endNotEstablished  receivedEnd = "not_established"  // no attempt is out
	endRepeated        receivedEnd = "repeated"         // the first one awaits the answer
	endAmbiguous       receivedEnd = "ambiguous"        // it may be that of an earlier attempt at the same dispatcher
)

var receivedEnds = []receivedEnd{
	endOfCall, endBeforeAnswer, endWithoutAnswer, endOfUnknownCall, endElsewhere,
	endOfEarlier, endAgain, endOtherDispatcher, endNotEstablished, endRepeated, endAmbiguous,
}

// unmatched says why an end matches neither the call nor an attempt at the dispatcher that has sent it.
func (k *record) unmatched() receivedEnd {
	switch {
	case k.state == over:
		return endAgain
	case k.out || k.state == stands:
		return endOtherDispatcher
	}
	return endNotEstablished
}

// endFigures are the counts of ends that were received, by what became of them.
func (c *Core) endFigures() []*dto.MetricFamily {
	counts := map[string]uint64{}
	for _, result := range receivedEnds {
		counts[string(result)] = c.received[result]
	}
	return []*dto.MetricFamily{
		telemetry.Counters("ends_received_total", "Ends of calls that dispatchers have sent, by what became of them.", "result", counts),
	}
}
