package scale

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The kinds of controllers.
const (
	HollowKind = "hollow"
	RealKind   = "real"
)

// issuedChange records when a change was made.
type issuedChange struct {
	kind   EventKind
	scope  string
	number int
	at     time.Time
	phase  string
}

// Staleness is the distribution of the time from a change until a controller has applied it, over the controllers that were running when the
// change was made.
type Staleness struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"last_ms"`
}

// maxStaleness is the largest value of a histogram, in microseconds.
const maxStaleness = int64(time.Hour / time.Microsecond)

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxStaleness, 3) }

// millis converts microseconds to milliseconds.
func millis(us int64) float64 { return float64(us) / 1000 }

// stalenessOf returns the staleness that a histogram contains.
func stalenessOf(h *hdrhistogram.Histogram) Staleness {
	return Staleness{Count: int(h.TotalCount()), P50: millis(h.ValueAtQuantile(50)), P99: millis(h.ValueAtQuantile(99)), Max: millis(h.Max())}
}

// stalenessKey identifies a histogram of staleness.
type stalenessKey struct {
	phase, kind string
	change      EventKind
}

// stream identifies a sequence of numbered changes: those of the list of one scope, or those of the settings.
type stream struct {
	kind  EventKind
	scope string
}

// activationTimes returns histograms of the time from a change until a controller has applied it. A controller that has applied a change counts as
// having all earlier changes of the stream. Changes in the first list after a start are not timed.
func activationTimes(issued []issuedChange, applied []AppliedChange, kindOf func(controller string) string) map[stalenessKey]*hdrhistogram.Histogram {
	changes := map[stream][]issuedChange{}
	for _, c := range issued {
		s := stream{c.kind, c.scope}
		changes[s] = append(changes[s], c)
	}
	slices.SortStableFunc(applied, func(a, b AppliedChange) int { return cmp.Compare(a.AtNs, b.AtNs) })
	type controllerStream struct {
		controller string
		stream     stream
	}
	lastApplied := map[controllerStream]int{} // number of the last change that a controller has applied
	histograms := map[stalenessKey]*hdrhistogram.Histogram{}
	for _, a := range applied {
		s := stream{a.Kind, a.Scope}
		id := controllerStream{a.Controller, s}
		number := a.Number
		if number < 0 { // the log of a real controller contains only the status: take the last change to that status that had been made by then
			number = lastWithStatus(changes[s], -1-number, a.AtNs)
		}
		if a.First {
			lastApplied[id] = max(number, 0)
			continue
		}
		for _, c := range changes[s] {
			if c.number <= lastApplied[id] || c.number > number {
				continue
			}
			key := stalenessKey{c.phase, kindOf(a.Controller), c.kind}
			if histograms[key] == nil {
				histograms[key] = newHistogram()
			}
			_ = histograms[key].RecordValue(max((a.AtNs-c.at.UnixNano())/1000, 1)) // fails only for more than maxStaleness, and no run lasts that long
		}
		lastApplied[id] = max(lastApplied[id], number)
	}
	return histograms
}

// lastWithStatus returns the number of the last change to a status that was made by the given time, or 0.
func lastWithStatus(changes []issuedChange, status int, atNs int64) int {
	last := 0
	for _, c := range changes {
		if int(markerStatus(c.number)) == status && c.at.UnixNano() <= atNs {
			last = c.number
		}
	}
	return last
}
