package call

import (
	"fmt"
	"maps"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
)

// showClasses has the figures name all classes of the settings, from zero.
func (c *Core) showClasses() {
	for _, class := range c.decisions.Classes {
		c.figures.Class(class.Name)
	}
}

// end gives a caller the final answer to a set-up that does not stand, and counts it. What callers name is counted only if
// the settings name it too: there is no end of other names.
func (c *Core) end(r *Request, end End) {
	if c.figures.Has(r.Class) {
		switch class := c.figures.Class(r.Class); end.Cause {
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
	if old := c.calls[r.ID]; old == nil || old.state == over || old.Caller != r.Caller {
		c.end(&r, BadRequest)
	}
}

// SetUpWritten tells that all of a set-up has gone to a dispatcher.
func (c *Core) SetUpWritten() { c.figures.Attempts++ }

// AddMetrics has the text of the figures close with those of another part.
func (c *Core) AddMetrics(part func() []*dto.MetricFamily) { c.parts = append(c.parts, part) }

// Telemetry is all figures as text.
func (c *Core) Telemetry() (string, error) {
	f := &c.figures
	f.InFlight = c.owed
	for _, n := range c.standing {
		f.InFlight += n
	}
	f.Known, f.Excluded = len(c.status), 0
	for _, id := range slices.Sorted(maps.Keys(c.status)) {
		if c.module.Avoids(c.now(), id) {
			f.Excluded++
		}
	}
	var more []*dto.MetricFamily
	for _, part := range c.parts {
		more = append(more, part()...)
	}
	text, err := f.Text(more...)
	if err != nil {
		return "", fmt.Errorf("telemetry after %v: %w", time.Since(c.epoch), err)
	}
	return text, nil
}
