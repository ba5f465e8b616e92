// Package telemetry holds the figures of a call controller and writes them in Prometheus's text format.
package telemetry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// prefix begins every name.
const prefix = "edge_lb_"

// Figures are counted by the event loop that owns them. Counts start with the process.
type Figures struct {
	Attempts                 uint64
	InFlight                 int
	Known, Excluded          int
	ReloadsOK, ReloadsFailed uint64
	classes                  []*Class
}

// Class is what became of the requests of one class.
type Class struct {
	name                    string
	Served, Refused, Failed uint64
}

// Class is that of the name, from now on if it is a new one. One that the settings have no longer keeps its counts.
func (f *Figures) Class(name string) *Class {
	i := slices.IndexFunc(f.classes, func(c *Class) bool { return c.name == name })
	if i < 0 {
		i = len(f.classes)
		f.classes = append(f.classes, &Class{name: name})
	}
	return f.classes[i]
}

// Has reports whether the class is shown.
func (f *Figures) Has(name string) bool {
	return slices.ContainsFunc(f.classes, func(c *Class) bool { return c.name == name })
}

// Text writes all figures, and those of other parts after them.
func (f *Figures) Text(more ...*dto.MetricFamily) (string, error) {
	requests := family("requests_total", "Requests that have had their final answer, by class and outcome.", dto.MetricType_COUNTER)
	for _, c := range f.classes {
		for _, o := range []struct {
			outcome string
			count   uint64
		}{{"served", c.Served}, {"refused", c.Refused}, {"failed", c.Failed}} {
			requests.Metric = append(requests.Metric, &dto.Metric{
				Label:   []*dto.LabelPair{{Name: new("class"), Value: new(c.name)}, {Name: new("outcome"), Value: new(o.outcome)}},
				Counter: &dto.Counter{Value: new(float64(o.count))},
			})
		}
	}
	var text strings.Builder
	for _, m := range append([]*dto.MetricFamily{
		requests,
		Counter("attempts_total", "Attempts written whole to dispatchers.", f.Attempts),
		Gauge("in_flight", "Requests taken that have not ended: set-ups without an answer, and calls that stand.", float64(f.InFlight)),
		Gauge("dispatchers_known", "Dispatchers on the list.", float64(f.Known)),
		Gauge("dispatchers_excluded", "Dispatchers on the list that are avoided now.", float64(f.Excluded)),
		Counter("reloads_ok_total", "Configurations taken at SIGHUP.", f.ReloadsOK),
		Counter("reloads_failed_total", "Configurations turned down at SIGHUP.", f.ReloadsFailed),
	}, more...) {
		if _, err := expfmt.MetricFamilyToText(&text, m); err != nil {
			return "", fmt.Errorf("telemetry: %w", err)
		}
	}
	return text.String(), nil
}

func family(name, help string, kind dto.MetricType) *dto.MetricFamily {
	return &dto.MetricFamily{Name: new(prefix + name), Help: new(help), Type: new(kind)}
}

// Counter is a figure that only grows, by its name without the prefix.
func Counter(name, help string, n uint64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_COUNTER)
	m.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: new(float64(n))}}}
	return m
}

// Gauge is a figure that goes up and down.
func Gauge(name, help string, n float64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_GAUGE)
	m.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: new(n)}}}
	return m
}

// Gauges are figures that go up and down, one for each value of a label, in the order of the values.
func Gauges(name, help, label string, values map[string]float64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_GAUGE)
	for _, value := range slices.Sorted(maps.Keys(values)) {
		m.Metric = append(m.Metric, &dto.Metric{
			Label: []*dto.LabelPair{{Name: new(label), Value: new(value)}}, Gauge: &dto.Gauge{Value: new(values[value])},
		})
	}
	return m
}

// Counters are figures that only grow, one for each value of a label, in the order of the values.
func Counters(name, help, label string, counts map[string]uint64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_COUNTER)
	for _, value := range slices.Sorted(maps.Keys(counts)) {
		m.Metric = append(m.Metric, &dto.Metric{
			Label:   []*dto.LabelPair{{Name: new(label), Value: new(value)}},
			Counter: &dto.Counter{Value: new(float64(counts[value]))},
		})
	}
	return m
}
