// Package scale runs large fleets of controllers on one machine to measure them. Most controllers are hollow: they accept no calls, and many run
// in one process. A few real controllers are processes of the program and carry calls. The store and the dispatchers are fakes. A scenario
// injects faults; the report shows the resource usage of each controller and how long a change takes until controllers have applied it.
// docs/scale.md describes scenarios and results.
package scale

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cherryrelay/internal/inifile"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events. Besides the faults of a scenario, Restart and Change events occur at random at the scenario's rates.
const (
	Restart   Kind = "restart"    // a controller shuts down gracefully and starts again
	Change    Kind = "change"     // an entry in the list of dispatchers changes
	Release   Kind = "release"    // the controllers of a service restart one after the other
	Rack      Kind = "rack"       // the controllers of a rack crash and start again later
	Zone      Kind = "zone"       // a zone is cut off for a time
	Region    Kind = "region"     // a region is cut off for a time
	StartAll  Kind = "start all"  // all hollow controllers crash, and later start at once
	StopStore Kind = "stop store" // the store is unavailable for a time
	Settings  Kind = "settings"   // the settings of every controller change
)

// targets lists the possible targets of each kind of event; nil for kinds without a target.
var targets = map[Kind]func(*Scenario) []string{
	Restart: (*Scenario).hollowNames, Change: (*Scenario).scopes, Release: (*Scenario).serviceNames, Rack: (*Scenario).racks,
	Zone: (*Scenario).zoneNames, Region: (*Scenario).regionNames, StartAll: nil, StopStore: nil, Settings: nil,
}

// Scenario describes a run. The rate of restarts is that of the whole deployment; a run has a share of it in proportion to its number of hollow
// controllers. The rate of changes applies as it is.
type Scenario struct {
	Controllers    int // hollow controllers
	Real           int
	Services       int
	Regions, Zones int // Zones is the number in each region
	RackSize       int // hollow controllers in a rack
	Dispatchers    int
	ListByService  bool // whether a controller gets only the dispatchers of its own service
	Lease          time.Duration
	Lasting        time.Duration // of the plan, after the start of the fleet
	Recover        time.Duration // time after a fault that still counts as its phase
	Fleet          int           // number of controllers in the whole deployment
	RestartsPerDay int
	ChangesPerDay  int
	Compress       int // simulated seconds for each second of the run
	CallsPerSecond int // pairs of calls at each real controller; 0 for none
	PerProcess     int // hollow controllers in one process
	Faults         []Event
}

// Event is an event of a run at a time from its start. Events with a lasting effect are reverted after their duration.
type Event struct {
	At, For time.Duration
	Do      Kind
	Who     string // name of the target; "?" in a scenario picks one at random
}

func (e Event) String() string {
	text := fmt.Sprintf("%v %s", e.At, e.Do)
	if e.Who != "" {
		text += " " + e.Who
	}
	if e.For > 0 {
		text += fmt.Sprintf(" for %v", e.For)
	}
	return text
}

// The limits of a scenario.
const (
	maxControllers = 50_000
	maxReal        = 64
	maxDispatchers = 10_000
	maxLasting     = time.Hour
	maxPerDay      = 100_000_000
	maxFaults      = 1000
)

// Default returns a scenario without faults.
func Default() *Scenario {
	return &Scenario{Controllers: 100, Services: 10, Regions: 2, Zones: 3, RackSize: 20, Dispatchers: 20, Lease: 3 * time.Second,
		Lasting: 20 * time.Second, Recover: 3 * time.Second, Fleet: 37_000, RestartsPerDay: 9_900, ChangesPerDay: 14_000, Compress: 10,
		CallsPerSecond: 20, PerProcess: 250}
}

// Read parses a scenario: a section [scale], and a section [fault NAME] for each fault. It returns all errors in the text, not just the first.
func Read(text []byte) (*Scenario, []inifile.Fault) {
	f, faults := inifile.Parse(text)
	if len(faults) > 0 {
		return nil, faults
	}
	r := &scenarioReader{s: Default()}
	for i := range f.Sections {
		section := &f.Sections[i]
		if _, isFault := section.Named("fault"); isFault {
			r.readFault(section)
		} else if section.Name == "scale" {
			r.readScale(section)
		} else {
			r.addError(section.Line, "unknown section [%.80s]", section.Name)
		}
	}
	r.checkFaults()
	if len(r.errors) > 0 {
		return nil, r.errors
	}
	return r.s, nil
}

// scenarioReader fills a scenario from the sections of a file and collects errors.
type scenarioReader struct {
	s          *Scenario
	faultLines []int // line numbers of the sections of s.Faults
	errors     []inifile.Fault
}

func (r *scenarioReader) addError(line int, format string, args ...any) {
	r.errors = append(r.errors, inifile.Fault{Line: line, Text: fmt.Sprintf(format, args...)})
}

func (r *scenarioReader) readNumber(k *inifile.Key, result *int, lowest, highest int) {
	n, fault := k.Number(lowest, highest)
	if fault != nil {
		r.errors = append(r.errors, *fault)
		return
	}
	*result = n
}

func (r *scenarioReader) readMillis(k *inifile.Key, result *time.Duration, lowest, highest time.Duration) {
	ms := 0
	r.readNumber(k, &ms, int(lowest.Milliseconds()), int(highest.Milliseconds()))
	*result = time.Duration(ms) * time.Millisecond
}

func (r *scenarioReader) readScale(section *inifile.Section) {
	s := r.s
	for i := range section.Keys {
		switch k := &section.Keys[i]; k.Name {
		case "controllers":
			r.readNumber(k, &s.Controllers, 0, maxControllers)
		case "real":
			r.readNumber(k, &s.Real, 0, maxReal)
		case "services":
			r.readNumber(k, &s.Services, 1, maxControllers)
		case "regions":
			r.readNumber(k, &s.Regions, 1, 100)
		case "zones":
			r.readNumber(k, &s.Zones, 1, 100)
		case "rack_size":
			r.readNumber(k, &s.RackSize, 1, maxControllers)
		case "dispatchers":
			r.readNumber(k, &s.Dispatchers, 1, maxDispatchers)
		case "list":
			if s.ListByService = k.Value == "service"; !s.ListByService && k.Value != "all" {
				r.addError(k.Line, "list: %.40q is neither all nor service", k.Value)
			}
		case "lease_ms":
			r.readMillis(k, &s.Lease, time.Second, 30*time.Second)
		case "lasting_ms":
			r.readMillis(k, &s.Lasting, time.Second, maxLasting)
		case "recover_ms":
			r.readMillis(k, &s.Recover, 0, maxLasting)
		case "fleet":
			r.readNumber(k, &s.Fleet, 1, maxPerDay)
		case "restarts_per_day":
			r.readNumber(k, &s.RestartsPerDay, 0, maxPerDay)
		case "changes_per_day":
			r.readNumber(k, &s.ChangesPerDay, 0, maxPerDay)
		case "compress":
			r.readNumber(k, &s.Compress, 1, 100_000)
		case "calls_per_second":
			r.readNumber(k, &s.CallsPerSecond, 0, 1000)
		case "per_process":
			r.readNumber(k, &s.PerProcess, 1, 5000)
		default:
			r.addError(k.Line, "unknown key %.40q", k.Name)
		}
	}
}

func (r *scenarioReader) readFault(section *inifile.Section) {
	if len(r.s.Faults) == maxFaults {
		r.addError(section.Line, "more than %d faults", maxFaults)
		return
	}
	e := Event{Who: "?"}
	for i := range section.Keys {
		switch k := &section.Keys[i]; k.Name {
		case "at_ms":
			r.readMillis(k, &e.At, 0, maxLasting)
		case "for_ms":
			r.readMillis(k, &e.For, 0, maxLasting)
		case "do":
			if e.Do = Kind(k.Value); !isKind(e.Do) {
				r.addError(k.Line, "do: %.40q is none of %s", k.Value, strings.Join(Kinds(), ", "))
			}
		case "who":
			e.Who = k.Value
		default:
			r.addError(k.Line, "unknown key %.40q", k.Name)
		}
	}
	if e.Do == "" {
		r.addError(section.Line, "[%.80s] lacks the key do", section.Name)
	}
	r.s.Faults, r.faultLines = append(r.s.Faults, e), append(r.faultLines, section.Line)
}

// checkFaults checks the faults against the duration of the run. It runs last, because sections may be in any order.
func (r *scenarioReader) checkFaults() {
	for i, e := range r.s.Faults {
		if !isKind(e.Do) {
			continue
		}
		if e.At+e.For > r.s.Lasting {
			r.addError(r.faultLines[i], "%v: the run lasts %v", e, r.s.Lasting)
		}
	}
}

// Check returns an error if the scenario cannot be run. The command line may have changed it after Read.
func (s *Scenario) Check() error {
	switch {
	case s.Controllers < 0 || s.Controllers > maxControllers:
		return fmt.Errorf("%d controllers are not between 0 and %d", s.Controllers, maxControllers)
	case s.Real < 0 || s.Real > maxReal:
		return fmt.Errorf("%d real controllers are not between 0 and %d", s.Real, maxReal)
	case s.Controllers+s.Real == 0:
		return fmt.Errorf("the scenario has no controllers")
	case s.Services < 1:
		return fmt.Errorf("%d services, at least one is required", s.Services)
	}
	for _, e := range s.Faults {
		candidates := targets[e.Do]
		if candidates == nil || e.Who == "?" {
			continue
		}
		if !slices.Contains(candidates(s), e.Who) {
			return fmt.Errorf("%v: there is no %.40q in a run of %d controllers", e, e.Who, s.Controllers)
		}
	}
	return nil
}

// isKind reports whether the given kind of event exists.
func isKind(kind Kind) bool { _, ok := targets[kind]; return ok }

// Kinds returns the names of all kinds of events.
func Kinds() []string {
	var names []string
	for kind := range targets {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// perSecond converts a daily rate of the deployment to the rate per second of a run.
func (s *Scenario) perSecond(perDay int) float64 {
	return float64(perDay) / (24 * time.Hour).Seconds() * float64(cmp.Or(s.Compress, 1))
}
