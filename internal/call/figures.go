package call

import (
	"fmt"
	"maps"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
)

// registerClasses has the figures name all classes of the settings, from zero.
func (c *Core) registerClasses() {
	for _, class := range c.decisions.Classes {
		c.metrics.Class(class.Name)
	}
}

// reject gives a caller the final answer to a set-up that does not stand, and counts it. What callers name is counted only if
// the settings name it too: there is no end of other names.
func (c *Core) reject(r *Request, end End) {
	if c.metrics.Has(r.Class) {
		switch class := c.metrics.Class(r.Class); end.Cause {
		case CauseNoCircuit, CauseCongestion, CauseFacility:
			class.Refused++
		default:
			class.Failed++
		}
	}
	r.Caller.End(r.ID, end)
}

// Reject answers a set-up that makes no sense. One under the id of another that is open on the same connection has that one's answer.
func (c *Core) Reject(r Request) {
	if old := c.calls[r.ID]; old == nil || old.state == terminated || old.Caller != r.Caller {
		c.reject(&r, BadRequest)
	}
}

// SetUpWritten tells that all of a set-up has gone to a dispatcher.
func (c *Core) SetUpWritten() { c.metrics.Attempts++ }

// AddMetrics has the text of the figures close with those of another part.
func (c *Core) AddMetrics(part func() []*dto.MetricFamily) {
	c.metricSources = append(c.metricSources, part)
}

// Telemetry is all figures as text.
func (c *Core) Telemetry() (string, error) {
	f := &c.metrics
	f.InFlight = c.pendingCount
	for _, n := range c.establishedByCaller {
		f.InFlight += n
	}
	f.Known, f.Excluded = len(c.serverStatus), 0
	for _, id := range slices.Sorted(maps.Keys(c.serverStatus)) {
		if c.module.Avoids(c.now(), id) {
			f.Excluded++
		}
	}
	var more []*dto.MetricFamily
	for _, part := range c.metricSources {
		more = append(more, part()...)
	}
	text, err := f.Text(more...)
	if err != nil {
		return "", fmt.Errorf("telemetry after %v: %w", time.Since(c.startedAt), err)
	}
	return text, nil
}
