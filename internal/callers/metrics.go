package callers

import (
	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/telemetry"
)

// EndCounts count the deliveries of the ends of established calls since the start.
type EndCounts struct {
	Written  uint64 // written to the socket, on any connection
	Queued   uint64 // queued because no connection was open for them
	Repeated uint64 // sent on another connection, as the first one ended before they were surely read
	Dropped  uint64 // dropped because no caller connected in time, or because the process ended
}

// Metrics returns the sums of several fronts' counts.
func Metrics(fronts ...*Front) []*dto.MetricFamily {
	var sum EndCounts
	for _, f := range fronts {
		sum.Written += f.endCounts.Written
		sum.Queued += f.endCounts.Queued
		sum.Repeated += f.endCounts.Repeated
		sum.Dropped += f.endCounts.Dropped
	}
	return []*dto.MetricFamily{
		telemetry.Counter("ends_told_total", "Ends of calls that were written whole to callers' connections.", sum.Written),
		telemetry.Counter("ends_waited_total", "Ends of calls that had to wait for a caller to connect.", sum.Queued),
		telemetry.Counter("ends_repeated_total", "Ends of calls told again, as their connection ended before they may have been read.", sum.Repeated),
		telemetry.Counter("ends_dropped_total", "Ends of calls given up, as no caller connected in time or before the process ended.", sum.Dropped),
	}
}
