// Package telemetry holds the metrics of a call controller and writes them in Prometheus's text format.
package telemetry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// prefix is the prefix of the names of all metrics.
const prefix = "edge_lb_"

// Metrics holds the metrics of the event loop, which alone may use them. Counters start with the process.
type Metrics struct {
	Attempts                 uint64
	InFlight                 int
	Known, Excluded          int
	ReloadsOK, ReloadsFailed uint64
	classes                  []*Class
}

// Class counts the requests of a class by their outcome.
type Class struct {
	name                    string
	Served, Refused, Failed uint64
}

// Class returns the counters of a class, which are created if there are none. A class that is removed from the settings keeps
// its counters.
func (f *Metrics) Class(name string) *Class {
	i := slices.IndexFunc(f.classes, func(c *Class) bool { return c.name == name })
	if i < 0 {
		i = len(f.classes)
		f.classes = append(f.classes, &Class{name: name})
	}
	return f.classes[i]
}

// HasClass reports whether there are counters for a class.
func (f *Metrics) HasClass(name string) bool {
	return slices.ContainsFunc(f.classes, func(c *Class) bool { return c.name == name })
}

// Text returns all metrics as text, followed by those of other parts of the program.
func (f *Metrics) Text(more ...*dto.MetricFamily) (string, error) {
	requests := family("requests_total", "Requests that have had their final answer, by class and outcome.", dto.MetricType_COUNTER)
	for _, c := range f.classes {
		for _, outcome := range []struct {
			name  string
			count uint64
		}{{"served", c.Served}, {"refused", c.Refused}, {"failed", c.Failed}} {
			requests.Metric = append(requests.Metric, &dto.Metric{
				Label:   []*dto.LabelPair{{Name: new("class"), Value: new(c.name)}, {Name: new("outcome"), Value: new(outcome.name)}},
				Counter: &dto.Counter{Value: new(float64(outcome.count))},
			})
		}
	}
	var text strings.Builder
	for _, metric := range append([]*dto.MetricFamily{
		requests,
		Counter("attempts_total", "Attempts written whole to dispatchers.", f.Attempts),
		Gauge("in_flight", "Requests taken that have not ended: set-ups without an answer, and calls that stand.", float64(f.InFlight)),
		Gauge("dispatchers_known", "Dispatchers on the list.", float64(f.Known)),
		Gauge("dispatchers_excluded", "Dispatchers on the list that are avoided now.", float64(f.Excluded)),
		Counter("reloads_ok_total", "Configurations taken at SIGHUP.", f.ReloadsOK),
		Counter("reloads_failed_total", "Configurations turned down at SIGHUP.", f.ReloadsFailed),
	}, more...) {
		if _, err := expfmt.MetricFamilyToText(&text, metric); err != nil {
			return "", fmt.Errorf("telemetry: %w", err)
		}
	}
	return text.String(), nil
}

// family returns a metric family without samples; the prefix is added to its name.
func family(name, help string, kind dto.MetricType) *dto.MetricFamily {
	return &dto.MetricFamily{Name: new(prefix + name), Help: new(help), Type: new(kind)}
}

// Counter returns a counter; the prefix is added to its name.
func Counter(name, help string, n uint64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_COUNTER)
	m.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: new(float64(n))}}}
	return m
}

// Gauge returns a gauge; the prefix is added to its name.
func Gauge(name, help string, n float64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_GAUGE)
	m.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: new(n)}}}
	return m
}

// Gauges returns a gauge for each value of a label, sorted by the values.
func Gauges(name, help, label string, values map[string]float64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_GAUGE)
	for _, value := range slices.Sorted(maps.Keys(values)) {
		m.Metric = append(m.Metric, &dto.Metric{
			Label: []*dto.LabelPair{{Name: new(label), Value: new(value)}}, Gauge: &dto.Gauge{Value: new(values[value])},
		})
	}
	return m
}

// Counters returns a counter for each value of a label, sorted by the values.
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
