// Package telemetry holds the figures of a call controller and writes them in Prometheus's text format.
package telemetry

import (
	"fmt"
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

// Text writes all figures.
func (f *Figures) Text() (string, error) {
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
	for _, m := range []*dto.MetricFamily{
		requests,
		counter("attempts_total", "Attempts written whole to dispatchers.", f.Attempts),
		gauge("in_flight", "Requests taken that have not ended: set-ups without an answer, and calls that stand.", f.InFlight),
		gauge("dispatchers_known", "Dispatchers on the list.", f.Known),
		gauge("dispatchers_excluded", "Dispatchers on the list that are avoided now.", f.Excluded),
		counter("reloads_ok_total", "Configurations taken at SIGHUP.", f.ReloadsOK),
		counter("reloads_failed_total", "Configurations turned down at SIGHUP.", f.ReloadsFailed),
	} {
		if _, err := expfmt.MetricFamilyToText(&text, m); err != nil {
			return "", fmt.Errorf("telemetry: %w", err)
		}
	}
	return text.String(), nil
}

func family(name, help string, kind dto.MetricType) *dto.MetricFamily {
	return &dto.MetricFamily{Name: new(prefix + name), Help: new(help), Type: new(kind)}
}

func counter(name, help string, n uint64) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_COUNTER)
	m.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: new(float64(n))}}}
	return m
}

func gauge(name, help string, n int) *dto.MetricFamily {
	m := family(name, help, dto.MetricType_GAUGE)
	m.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: new(float64(n))}}}
	return m
}
