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

// EventKind is the kind of an event.
type EventKind string

// The kinds of events. Besides the faults of a scenario, Restart and Change events occur at random at the scenario's rates.
const (
	Restart   EventKind = "restart"    // a controller shuts down gracefully and starts again
	Change    EventKind = "change"     // an entry in the list of dispatchers changes
	Release   EventKind = "release"    // the controllers of a service restart one after the other
	Rack      EventKind = "rack"       // the controllers of a rack crash and start again later
	Zone      EventKind = "zone"       // a zone is cut off for a time
	Region    EventKind = "region"     // a region is cut off for a time
	StartAll  EventKind = "start all"  // all hollow controllers crash, and later start at once
	StopStore EventKind = "stop store" // the store is unavailable for a time
	Settings  EventKind = "settings"   // the settings of every controller change
)

// targets lists the possible targets of each kind of event; nil for kinds without a target.
var targets = map[EventKind]func(*Scenario) []string{
	Restart: (*Scenario).hollowNames, Change: (*Scenario).scopes, Release: (*Scenario).serviceNames, Rack: (*Scenario).racks,
	Zone: (*Scenario).zoneNames, Region: (*Scenario).regionNames, StartAll: nil, StopStore: nil, Settings: nil,
}

// Scenario describes a run. The rate of restarts is that of the whole deployment; a run has a share of it in proportion to its number of hollow
// controllers. The rate of changes applies as it is.
type Scenario struct {
	Controllers           int // hollow controllers
	RealControllers       int
	Services              int
	Regions, Zones        int // Zones is the number in each region
	RackSize              int // hollow controllers in a rack
	Dispatchers           int
	ListByService         bool // whether a controller gets only the dispatchers of its own service
	Lease                 time.Duration
	Duration              time.Duration // of the plan, after the start of the fleet
	RecoveryTime          time.Duration // time after a fault that still counts as its phase
	DeploymentSize        int           // number of controllers in the whole deployment
	RestartsPerDay        int
	ChangesPerDay         int
	TimeCompression       int // simulated seconds for each second of the run
	CallsPerSecond        int // pairs of calls at each real controller; 0 for none
	ControllersPerProcess int // hollow controllers in one process
	Faults                []Event
}

// Event is an event of a run at a time from its start. Events with a lasting effect are reverted after their duration.
type Event struct {
	At, Duration time.Duration
	Kind         EventKind
	Target       string // name of the target; "?" in a scenario picks one at random
}

func (e Event) String() string {
	text := fmt.Sprintf("%v %s", e.At, e.Kind)
	if e.Target != "" {
		text += " " + e.Target
	}
	if e.Duration > 0 {
		text += fmt.Sprintf(" for %v", e.Duration)
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

// DefaultScenario returns a scenario without faults.
func DefaultScenario() *Scenario {
	return &Scenario{Controllers: 100, Services: 10, Regions: 2, Zones: 3, RackSize: 20, Dispatchers: 20, Lease: 3 * time.Second,
		Duration: 20 * time.Second, RecoveryTime: 3 * time.Second, DeploymentSize: 37_000, RestartsPerDay: 9_900, ChangesPerDay: 14_000, TimeCompression: 10,
		CallsPerSecond: 20, ControllersPerProcess: 250}
}

// ReadScenario parses a scenario: a section [scale], and a section [fault NAME] for each fault. It returns all errors in the text, not just the first.
func ReadScenario(text []byte) (*Scenario, []inifile.Fault) {
	f, faults := inifile.Parse(text)
	if len(faults) > 0 {
		return nil, faults
	}
	r := &scenarioReader{s: DefaultScenario()}
	for i := range f.Sections {
		section := &f.Sections[i]
		if _, isFault := section.NameAfter("fault"); isFault {
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
			r.readNumber(k, &s.RealControllers, 0, maxReal)
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
			r.readMillis(k, &s.Duration, time.Second, maxLasting)
		case "recover_ms":
			r.readMillis(k, &s.RecoveryTime, 0, maxLasting)
		case "fleet":
			r.readNumber(k, &s.DeploymentSize, 1, maxPerDay)
		case "restarts_per_day":
			r.readNumber(k, &s.RestartsPerDay, 0, maxPerDay)
		case "changes_per_day":
			r.readNumber(k, &s.ChangesPerDay, 0, maxPerDay)
		case "compress":
			r.readNumber(k, &s.TimeCompression, 1, 100_000)
		case "calls_per_second":
			r.readNumber(k, &s.CallsPerSecond, 0, 1000)
		case "per_process":
			r.readNumber(k, &s.ControllersPerProcess, 1, 5000)
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
	e := Event{Target: "?"}
	for i := range section.Keys {
		switch k := &section.Keys[i]; k.Name {
		case "at_ms":
			r.readMillis(k, &e.At, 0, maxLasting)
		case "for_ms":
			r.readMillis(k, &e.Duration, 0, maxLasting)
		case "do":
			if e.Kind = EventKind(k.Value); !isKind(e.Kind) {
				r.addError(k.Line, "do: %.40q is none of %s", k.Value, strings.Join(EventKinds(), ", "))
			}
		case "who":
			e.Target = k.Value
		default:
			r.addError(k.Line, "unknown key %.40q", k.Name)
		}
	}
	if e.Kind == "" {
		r.addError(section.Line, "[%.80s] lacks the key do", section.Name)
	}
	r.s.Faults, r.faultLines = append(r.s.Faults, e), append(r.faultLines, section.Line)
}

// checkFaults checks the faults against the duration of the run. It runs last, because sections may be in any order.
func (r *scenarioReader) checkFaults() {
	for i, e := range r.s.Faults {
		if !isKind(e.Kind) {
			continue
		}
		if e.At+e.Duration > r.s.Duration {
			r.addError(r.faultLines[i], "%v: the run lasts %v", e, r.s.Duration)
		}
	}
}

// Check returns an error if the scenario cannot be run. The command line may have changed it after Read.
func (s *Scenario) Check() error {
	switch {
	case s.Controllers < 0 || s.Controllers > maxControllers:
		return fmt.Errorf("%d controllers are not between 0 and %d", s.Controllers, maxControllers)
	case s.RealControllers < 0 || s.RealControllers > maxReal:
		return fmt.Errorf("%d real controllers are not between 0 and %d", s.RealControllers, maxReal)
	case s.Controllers+s.RealControllers == 0:
		return fmt.Errorf("the scenario has no controllers")
	case s.Services < 1:
		return fmt.Errorf("%d services, at least one is required", s.Services)
	}
	for _, e := range s.Faults {
		candidates := targets[e.Kind]
		if candidates == nil || e.Target == "?" {
			continue
		}
		if !slices.Contains(candidates(s), e.Target) {
			return fmt.Errorf("%v: there is no %.40q in a run of %d controllers", e, e.Target, s.Controllers)
		}
	}
	return nil
}

// isKind reports whether the given kind of event exists.
func isKind(kind EventKind) bool { _, ok := targets[kind]; return ok }

// EventKinds returns the names of all kinds of events.
func EventKinds() []string {
	var names []string
	for kind := range targets {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// perSecond converts a daily rate of the deployment to the rate per second of a run.
func (s *Scenario) perSecond(perDay int) float64 {
	return float64(perDay) / (24 * time.Hour).Seconds() * float64(cmp.Or(s.TimeCompression, 1))
}
