package scale

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. It is stored as JSON.
type Report struct {
	Command         string         `json:"command"` // command line that repeats the run
	Version         string         `json:"version"`
	Seed            uint64         `json:"seed"`
	Controllers     int            `json:"controllers"`
	Real            int            `json:"real"`
	Services        int            `json:"services"`
	Dispatchers     int            `json:"dispatchers"`
	TimeCompression int            `json:"compress"`
	LeaseMs         int64          `json:"lease_ms"`
	Events          []string       `json:"events"`
	Phases          []Phase        `json:"phases"`
	Staleness       []StalenessRow `json:"staleness"`
	Latency         *Latency       `json:"latency"` // nil without real controllers
	Violations      []string       `json:"faults"`  // violations of the rules of a run
	MemoryMB        int64          `json:"memory_mb"`
	Processes       int            `json:"processes"`
	Elapsed         time.Duration  `json:"took_ns"`
}

// Passed reports whether the run violated no rule.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

// Phase summarizes a part of the run: the start, the time without faults, the time of a kind of fault, or the settling at the end.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Kinds   []Cost  `json:"kinds"`
	// Rates over all controllers: of requests to the store, of watch messages and of connections that dispatchers accepted.
	Requests            float64 `json:"requests_per_second"`
	WatchMessages       float64 `json:"notices_per_second"` // messages that the store sent to watches
	Changes             float64 `json:"changes_per_second"` // in those messages
	AcceptedConnections float64 `json:"accepted_per_second"`
}

// Cost is the average resource usage of one controller of a kind.
type Cost struct {
	Kind           string  `json:"kind"`
	Count          int     `json:"count"`
	ProcessorShare float64 `json:"processor_percent"` // percent of a core
	MemoryKB       float64 `json:"memory_kb"`         // resident
	Bytes          float64 `json:"bytes_per_second"`  // to and from the store
	Sockets        float64 `json:"sockets"`
	FailedDials    float64 `json:"failed_dials_per_second"`
}

// StalenessRow is the staleness of the changes of one kind that were made in a phase, at one kind of controllers.
type StalenessRow struct {
	Phase  string    `json:"phase"`
	Kind   string    `json:"kind"`
	Change EventKind `json:"change"`
	Staleness
}

// Latency is the distribution of the time from a set-up to its answer, in microseconds, directly at a dispatcher and through a real controller.
type Latency struct {
	Calls      int       `json:"calls"`
	Refused    int       `json:"refused"`
	Unanswered int       `json:"unanswered"`
	Direct     Quantiles `json:"direct_us"`
	Relayed    Quantiles `json:"relayed_us"`
}

// Quantiles are the quantiles of a histogram.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
}

// The phases that are not named after a kind of fault.
const (
	startPhase    = "start"
	OrdinaryPhase = "ordinary"
	settlePhase   = "settling" // after the plan, until every controller has every change
)

// span is a period of the run that belongs to a phase.
type span struct {
	phase    string
	from, to time.Duration
}

// faultSpans returns the periods of faults, each with its recovery time. They may overlap.
func (s *Scenario) faultSpans(plan []Event) []span {
	var all []span
	for _, e := range plan {
		if e.Kind != Restart && e.Kind != Change {
			all = append(all, span{string(e.Kind), e.At, e.At + e.Duration + s.RecoveryTime})
		}
	}
	return all
}

// phaseAt returns the phase of a point in time. Where periods of faults overlap, the fault that began last determines the phase.
func phaseAt(spans []span, at time.Duration) string {
	phase := OrdinaryPhase
	for _, s := range spans {
		if at >= s.from && at < s.to {
			phase = s.phase
		}
	}
	return phase
}

// summarizePhases aggregates the samples by phase.
func summarizePhases(samples []sample, phaseOf func(time.Time) string, s *Scenario) []Phase {
	type sum struct {
		Phase
		cost map[string]Cost
	}
	found := map[string]*sum{}
	var order []string
	for i := 1; i < len(samples); i++ {
		a, b := &samples[i-1], &samples[i]
		name := phaseOf(b.at)
		if name == OrdinaryPhase { // an interval in which a fault began or ended belongs to the fault
			name = phaseOf(a.at)
		}
		p := found[name]
		if p == nil {
			p = &sum{Phase: Phase{Name: name}, cost: map[string]Cost{}}
			found[name], order = p, append(order, name)
		}
		seconds := b.at.Sub(a.at).Seconds()
		p.Seconds += seconds
		p.Requests += float64(b.store.Total() - a.store.Total())
		p.WatchMessages += float64(b.store.Notices - a.store.Notices)
		p.Changes += float64(b.store.Events - a.store.Events)
		p.AcceptedConnections += float64(b.accepted - a.accepted)
		for kind, used := range b.usage {
			c := p.cost[kind]
			c.ProcessorShare += 100 * (used.Processor - a.usage[kind].Processor).Seconds()
			c.MemoryKB += float64(used.Memory) / 1024 * seconds
			c.Bytes += float64(b.bytes[kind] - a.bytes[kind])
			c.Sockets += float64(used.Sockets) * seconds
			c.FailedDials += float64(b.failedDials[kind] - a.failedDials[kind])
			p.cost[kind] = c
		}
	}
	var all []Phase
	for _, name := range order {
		p := found[name]
		for kind, c := range p.cost {
			p.Kinds = append(p.Kinds, s.perController(kind, c, p.Seconds))
		}
		slices.SortFunc(p.Kinds, func(a, b Cost) int { return cmp.Compare(a.Kind, b.Kind) })
		p.Requests, p.WatchMessages, p.Changes, p.AcceptedConnections = p.Requests/p.Seconds, p.WatchMessages/p.Seconds, p.Changes/p.Seconds, p.AcceptedConnections/p.Seconds
		all = append(all, p.Phase)
	}
	return all
}

// perController divides the totals of a kind by the time and by the number of its controllers.
func (s *Scenario) perController(kind string, c Cost, seconds float64) Cost {
	c.Kind, c.Count = kind, 1
	switch kind {
	case HollowKind:
		c.Count = s.Controllers
	case RealKind:
		c.Count = s.RealControllers
	}
	divisor := seconds * float64(max(c.Count, 1))
	c.ProcessorShare, c.MemoryKB, c.Bytes, c.Sockets, c.FailedDials = c.ProcessorShare/divisor, c.MemoryKB/divisor,
		c.Bytes/divisor, c.Sockets/divisor, c.FailedDials/divisor
	return c
}

// stalenessRows lists the staleness sorted by phase, kind of change and kind of controller.
func stalenessRows(found map[stalenessKey]*hdrhistogram.Histogram) []StalenessRow {
	var all []StalenessRow
	for key, h := range found {
		all = append(all, StalenessRow{key.phase, key.kind, key.change, stalenessOf(h)})
	}
	slices.SortFunc(all, func(a, b StalenessRow) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Change, b.Change), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d hollow and %d real controllers in %d services, %d dispatchers, lease %v, %d events, seed %d, %s, version %s\n",
		r.Controllers, r.Real, r.Services, r.Dispatchers,
		time.Duration(r.LeaseMs)*time.Millisecond, len(r.Events), r.Seed, r.Elapsed.Round(time.Second), r.Version)
	fmt.Fprintf(out, "%d processes, at most %d MB of memory together\n", r.Processes, r.MemoryMB)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "phase\ts\tkind\tcount\tcore %\tKB\tstore B/s\tsockets\tfailed dials/s")
	for _, p := range r.Phases {
		for _, c := range p.Kinds {
			fmt.Fprintf(table, "%s\t%.1f\t%s\t%d\t%.3f\t%.0f\t%.0f\t%.1f\t%.3f\n", p.Name, p.Seconds, c.Kind, c.Count, c.ProcessorShare, c.MemoryKB, c.Bytes,
				c.Sockets, c.FailedDials)
		}
	}
	fmt.Fprintln(table, "\nphase\tstore requests/s\ta controller\twatch messages/s\tchanges in them/s\tmessages/s a controller\tdials taken/s")
	all := float64(max(r.Controllers+r.Real, 1))
	for _, p := range r.Phases {
		fmt.Fprintf(table, "%s\t%.0f\t%.2f\t%.0f\t%.0f\t%.2f\t%.1f\n", p.Name, p.Requests, p.Requests/all, p.WatchMessages, p.Changes,
			(2*p.Requests+p.WatchMessages)/all, p.AcceptedConnections)
	}
	fmt.Fprintln(table, "\nin force after, made in\tchange\tkind\tcount\tp50 ms\tp99 ms\tlast ms")
	for _, f := range r.Staleness {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\n", f.Phase, f.Change, f.Kind, f.Count, f.P50, f.P99, f.Max)
	}
	if l := r.Latency; l != nil {
		fmt.Fprintln(table, "\nset-up to answer\tcalls\tp50 us\tp90 us\tp99 us\tmax us")
		fmt.Fprintf(table, "direct\t%d\t%d\t%d\t%d\t%d\n", l.Calls, l.Direct.P50, l.Direct.P90, l.Direct.P99, l.Direct.Max)
		fmt.Fprintf(table, "through a real controller\t%d\t%d\t%d\t%d\t%d\n", l.Calls, l.Relayed.P50, l.Relayed.P90, l.Relayed.P99, l.Relayed.Max)
		fmt.Fprintf(table, "added\t%d refused, %d unanswered\t%d\t%d\t%d\n", l.Refused, l.Unanswered, l.Relayed.P50-l.Direct.P50,
			l.Relayed.P90-l.Direct.P90, l.Relayed.P99-l.Direct.P99)
	}
	if err := table.Flush(); err != nil {
		return err //nolint:wrapcheck // the error needs no context
	}
	for _, f := range r.Violations {
		fmt.Fprintln(out, "broken:", f)
	}
	fmt.Fprintln(out, "play it again:", r.Command)
	return nil
}
