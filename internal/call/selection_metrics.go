package call

import (
	"math"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/telemetry"
)

// This file scales the settings of the module to the subset of dispatchers, and reports the metrics of the subset.

// scaleSettings returns the settings for the module, with the number of controllers that connect to one dispatcher
// instead of the number of all controllers. It is reduced by the share of the list that this controller connects to.
func (s *selection) scaleSettings(d control.Settings) control.Settings {
	if s == nil {
		return d
	}
	if listed := s.subset.ActiveCount(); !s.coversList() && listed > 0 {
		connected := math.Ceil(float64(d.Nodes) * float64(s.subset.Len()) / float64(listed))
		d.Nodes = min(d.Nodes, max(int(connected), 1))
	}
	return d
}

// updateNodes tells the module how many controllers currently share a dispatcher.
func (s *selection) updateNodes() {
	d := s.scaleSettings(s.core.decisions)
	if d.Nodes == s.nodes {
		return
	}
	s.nodes = d.Nodes
	if err := s.core.module.UpdateSettings(d); err != nil {
		s.core.log.Error("settings rejected for the subset", "err", err) // they were validated when they were loaded
	}
}

func (s *selection) metrics() []*dto.MetricFamily {
	return []*dto.MetricFamily{
		telemetry.Gauge("subset_listed", "Dispatchers in the list.", float64(len(s.entries))),
		telemetry.Gauge("subset_size", "Dispatchers of the list that this controller connects to.", float64(len(s.announced))),
		telemetry.Gauge("subset_waiting", "Changes of the list that are not taken in yet.", float64(len(s.queue))),
		telemetry.Counter("subset_growths_total", "Times that more dispatchers were needed.", uint64(s.subset.Growths())),
	}
}
