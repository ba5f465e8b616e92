package call

import (
	"maps"
	"slices"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/internal/telemetry"
)

// This file reports the recovery of calls to operators.

// RecoveryStatus is the result of the recovery of the previous process's calls, for operators.
type RecoveryStatus struct {
	Actions      map[string]int `json:"acts"`               // number of calls by action
	Reasons      map[string]int `json:"why"`                // number of calls by reason of the action
	Cut          int            `json:"cut"`                // established calls that were cut after the list was received
	Waiting      int            `json:"waiting"`            // pending calls whose callers have not resumed them yet
	Resumed      int            `json:"claimed"`            // calls resumed since the start
	Unknown      int            `json:"unknown"`            // resume requests for unknown calls
	Unexpected   int            `json:"strays"`             // events that did not fit the state of their calls
	TookUs       int64          `json:"took_us"`            // duration of the recovery, in µs
	Damage       []string       `json:"damage,omitempty"`   // damage found in the ledger
	NotPersisted string         `json:"not_kept,omitempty"` // why the state of calls is not persisted now
}

// RecoveryStatus returns the status of the recovery of the previous process's calls.
func (c *Core) RecoveryStatus() RecoveryStatus {
	r := c.recovered
	for _, k := range c.calls {
		if k.awaitsResume && k.state == pending {
			r.Waiting++
		}
	}
	if c.ledgerWriter != nil {
		r.NotPersisted = c.ledgerWriter.lastError
	}
	return r
}

// RecoveryMetrics returns the status of the recovery as metrics.
func (c *Core) RecoveryMetrics() []*dto.MetricFamily {
	counts := map[string]uint64{}
	for _, action := range slices.Sorted(maps.Keys(c.recovered.Actions)) {
		counts[action] = uint64(c.recovered.Actions[action])
	}
	if len(counts) == 0 {
		counts["none"] = 0
	}
	return []*dto.MetricFamily{
		telemetry.Counters("recovered_total", "Calls of an earlier process, by what was done with them.", "act", counts),
		telemetry.Counter("recovered_cut_total", "Calls of an earlier process that stood where they can't stand any more.",
			uint64(c.recovered.Cut)),
		telemetry.Counter("resumed_total", "Calls given to callers that came back.", uint64(c.recovered.Resumed)),
		telemetry.Counter("resumed_unknown_total", "Calls that callers came back for and that are not known.", uint64(c.recovered.Unknown)),
		telemetry.Gauge("recovery_seconds", "Time that taking them up took.",
			float64(c.recovered.TookUs)/1e6),
	}
}
