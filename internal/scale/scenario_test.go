package scale

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const sampleScenario = `[scale]
controllers = 120
services = 4
regions = 2
zones = 3
rack_size = 10
list = service
changes_per_day = 864000
restarts_per_day = 8640000
compress = 2
fleet = 12000
lasting_ms = 10000
[fault a]
at_ms = 4000
for_ms = 2000
do = zone
[fault b]
at_ms = 1000
do = release
who = s2
`

func TestScenario(t *testing.T) {
	s, faults := ReadScenario([]byte(sampleScenario))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	if got := len(s.zoneNames()); got != 6 {
		t.Errorf("%d zones, want 6", got)
	}
	if got := len(s.racks()); got != 12 {
		t.Errorf("racks %v, want 12", s.racks())
	}
	if got := len(s.affectedControllers(Event{Kind: Release, Target: "s2"})); got != 30 {
		t.Errorf("%d controllers in the service, want 30", got)
	}
	plan := s.Plan(3)
	if diff := cmp.Diff(plan, s.Plan(3)); diff != "" {
		t.Errorf("the same seed gave two plans:\n%s", diff)
	}
	if cmp.Equal(plan, s.Plan(4)) {
		t.Error("two seeds gave the same plan")
	}
	count := map[EventKind]int{}
	for _, e := range plan {
		count[e.Kind]++
	}
	// 20 changes per second for ten seconds, and 2 restarts per second: one hundredth of the deployment's 200.
	if count[Change] < 100 || count[Change] > 320 || count[Restart] < 5 || count[Restart] > 50 || count[Zone] != 1 || count[Release] != 1 {
		t.Errorf("the numbers of events by kind are out of range: %v", count)
	}
}

// TestPlans checks for random scenarios that the events of a plan are in order, lie within the run and have existing targets.
func TestPlans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultScenario()
		s.Controllers = rapid.IntRange(0, 300).Draw(t, "controllers")
		s.RealControllers = 1
		s.Services = rapid.IntRange(1, 20).Draw(t, "services")
		s.Regions, s.Zones = rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 4).Draw(t, "zones")
		s.RackSize = rapid.IntRange(1, 50).Draw(t, "rack")
		s.ListByService = rapid.Bool().Draw(t, "by service")
		for _, kind := range EventKinds() {
			s.Faults = append(s.Faults, Event{At: time.Second, Kind: EventKind(kind), Target: "?"})
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		last := time.Duration(0)
		for _, e := range s.Plan(rapid.Uint64().Draw(t, "seed")) {
			if e.At < last || e.At > s.Duration {
				t.Fatalf("%v after %v", e, last)
			}
			last = e.At
			candidates := targets[e.Kind]
			if (e.Target == "") != (candidates == nil) {
				t.Fatalf("%v: a target is present or missing contrary to the kind", e)
			}
			if candidates == nil || e.Kind == Change {
				continue
			}
			if e.Kind != Zone && e.Kind != Region && e.Kind != Release && len(s.affectedControllers(e)) == 0 {
				t.Fatalf("%v affects no controller", e)
			}
		}
	})
}

// TestBadScenarios checks that Read reports each error with its line and returns no scenario, and that Check rejects an unknown target.
func TestBadScenarios(t *testing.T) {
	for text, want := range map[string]string{
		"[scale]\ncontrollers = many\n":                           "line 2: controllers: \"many\" is no whole number from 0 to 50000",
		"[scale]\n\nservices = 0\n":                               "line 3: services: \"0\" is no whole number",
		"[scale]\nlist = mine\n":                                  "line 2: list: \"mine\" is neither all nor service",
		"[scale]\ncolour = red\n":                                 "line 2: unknown key \"colour\"",
		"[scale]\nlease_ms = 10\n":                                "line 2: lease_ms: \"10\" is no whole number from 1000",
		"[fault a]\nat_ms = 1\n":                                  "line 1: [fault a] lacks the key do",
		"[fault a]\ndo = flood\n":                                 "line 2: do: \"flood\" is none of",
		"[scale]\n[fault a]\ndo = rack\nat_ms = 60000\n":          "line 2: 1m0s rack ?: the run lasts 20s",
		"[scales]\n":                                              "line 1: unknown section [scales]",
		"[fault a]\ndo = rack\nhow = well\n":                      "line 3: unknown key \"how\"",
		strings.Repeat("[fault a]\ndo = settings\n", maxFaults+1): "more than 1000 faults",
	} {
		s, faults := ReadScenario([]byte(text))
		if s != nil || len(faults) == 0 || !strings.Contains(faults[0].Error(), want) {
			t.Errorf("%.60q: %v, want %q", text, faults, want)
		}
	}
	s := DefaultScenario()
	s.Faults = []Event{{Kind: Release, Target: "s99"}}
	if err := s.Check(); err == nil || !strings.Contains(err.Error(), "there is no \"s99\"") {
		t.Errorf("a fault with an unknown service: error %v", err)
	}
}
