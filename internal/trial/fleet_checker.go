package trial

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"cherryrelay/internal/membership"
)

// FleetChecker compares the views that all controllers have of the fleet. Only one process at a time may hold the lease of a name, and no
// process may hold a lease after another process has reported the end of that incarnation. Its methods may be called from any goroutine.
type FleetChecker struct {
	mu           sync.Mutex
	firstReports map[incarnationKey]firstReport
	reports      map[incarnationKey]map[string]time.Time // when each process first reported an end
	holders      map[string]holding                      // by name
	violations   []string
	samples      int
}

// incarnationKey identifies an incarnation of a controller. Each store counts incarnations on its own.
type incarnationKey struct {
	storeID     uint64
	name        string
	incarnation int64
}

// firstReport is when the end of an incarnation was first reported, and by which process.
type firstReport struct {
	at time.Time
	by string
}

// holding is the latest lease of a name that a process reported as its own, and the interval in which it was valid.
type holding struct {
	by          string
	incarnation int64
	from, until time.Time
}

// maxViolations limits the violations that a checker keeps. It keeps the first ones, which say most about the
// cause.
const maxViolations = 50

// AddSample adds the view of a process, which was requested at asked and received at answered. The view was true at some moment between the
// two. A lease with some time left is valid at least for that time after asked, unless the process gives the lease up earlier.
func (f *FleetChecker) AddSample(process string, asked, answered time.Time, page membership.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstReports == nil {
		f.firstReports, f.holders, f.reports = map[incarnationKey]firstReport{}, map[string]holding{}, map[incarnationKey]map[string]time.Time{}
	}
	f.samples++
	for _, m := range page.Gone {
		ended := incarnationKey{m.StoreID, m.Name, m.Incarnation}
		if _, known := f.firstReports[ended]; !known {
			f.firstReports[ended] = firstReport{answered, process}
			f.reports[ended] = map[string]time.Time{}
		}
		if f.reports[ended][process].IsZero() {
			f.reports[ended][process] = answered
		}
	}
	if !page.HoldsLease {
		return
	}
	own := incarnationKey{page.StoreID, page.Name, page.Incarnation}
	if report, reported := f.firstReports[own]; reported && report.at.Before(asked) {
		f.addViolation("%s holds the lease of %s as incarnation %d, %v after %s reported its end",
			process, page.Name, page.Incarnation, asked.Sub(report.at), report.by)
	}
	if c := f.holders[page.Name]; c.by != "" && c.by != process && c.until.After(asked) && c.from.Before(asked) && c.incarnation != page.Incarnation {
		f.addViolation("%s holds the lease of %s as incarnation %d while %s holds it as %d for another %v",
			process, page.Name, page.Incarnation, c.by, c.incarnation, c.until.Sub(asked))
	}
	if c := f.holders[page.Name]; c.by == process || page.Incarnation > c.incarnation {
		f.holders[page.Name] = holding{process, page.Incarnation, asked, asked.Add(time.Duration(page.LeaseRemainingMs) * time.Millisecond)}
	}
}

// addViolation records a violation.
func (f *FleetChecker) addViolation(format string, args ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, args...))
	}
}

// Violations returns the violations and the number of samples that were checked.
func (f *FleetChecker) Violations() (violations []string, samples int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...), f.samples
}

// EndReports returns when each process first reported the end of an incarnation.
func (f *FleetChecker) EndReports(store uint64, name string, incarnation int64) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.reports[incarnationKey{store, name, incarnation}])
}

// pollInterval is the pause between two requests to the same controller.
const pollInterval = 20 * time.Millisecond

// StartPolling polls the fleet view of every controller until stop is closed. Each controller has its own goroutine, so that one that does not
// answer delays no other.
func (cl *Cluster) StartPolling(checker *FleetChecker, stop <-chan struct{}) *sync.WaitGroup {
	var polls sync.WaitGroup
	for _, c := range cl.Controllers {
		polls.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
				var page membership.Status
				asked := time.Now()
				if status, err := c.Get(membership.Path, &page); err == nil && status == 200 {
					checker.AddSample(c.Name, asked, time.Now(), page)
				}
			}
		})
	}
	return &polls
}
