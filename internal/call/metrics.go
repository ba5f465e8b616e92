package call

import (
	"fmt"
	"maps"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
)

// registerClasses adds all classes of the settings to the metrics, starting at zero.
func (c *Core) registerClasses() {
	for _, class := range c.decisions.Classes {
		c.metrics.Class(class.Name)
	}
}

// SetUpWritten counts a set-up that has been written to a dispatcher completely.
func (c *Core) SetUpWritten() { c.metrics.Attempts++ }

// AddMetrics appends the metrics of another component to those of the core.
func (c *Core) AddMetrics(source func() []*dto.MetricFamily) {
	c.metricSources = append(c.metricSources, source)
}

// Telemetry returns all metrics as text.
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
	for _, source := range c.metricSources {
		more = append(more, source()...)
	}
	text, err := f.Text(more...)
	if err != nil {
		return "", fmt.Errorf("telemetry after %v: %w", time.Since(c.startedAt), err)
	}
	return text, nil
}
