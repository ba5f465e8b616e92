package trial

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const scenarioText = `[trial]
controllers = 4
lease_ms = 2000
lasting_ms = 20000
every_ms = 500
drawn = kill, pause, part, compact
[step a]
at_ms = 1000
do = kill
who = *
for_ms = 200
[step b]
at_ms = 500
do = stall store
for_ms = 100
`

// TestScenarios checks that a scenario is read as written and that its plan is sorted and depends on the seed alone.
func TestScenarios(t *testing.T) {
	s, faults := ReadScenario([]byte(scenarioText))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.Controllers != 4 || s.Lease != 2*time.Second || len(s.RandomActions) != 4 || len(s.Steps) != 2 {
		t.Errorf("read as %+v", s)
	}
	plan := s.Plan(7)
	if diff := cmp.Diff(plan, s.Plan(7)); diff != "" {
		t.Errorf("two plans of the same seed differ:\n%s", diff)
	}
	if cmp.Equal(plan, s.Plan(8)) {
		t.Error("two seeds have the same plan")
	}
	if len(plan) < 20 || plan[0].Action != "stall store" || plan[0].Target != "" || plan[1].String() != "1s kill n1 for 200ms" || plan[4].Target != "n4" {
		t.Errorf("plan %v", plan)
	}
	for i, step := range plan {
		if i > 0 && step.At < plan[i-1].At || step.At > s.Duration {
			t.Errorf("step %d of the plan is out of order: %v", i, step)
		}
	}
}

// TestBadScenarios checks that a fault is reported, with its line where it has one, and that no scenario is returned with it.
func TestBadScenarios(t *testing.T) {
	for text, want := range map[string]string{
		"[trial]\ncontrollers = 0\n":                                "line 2: controllers: \"0\" is no whole number from 1 to 32",
		"[trial]\nlease_ms = soon\n":                                "line 2: lease_ms: \"soon\" is no whole number",
		"[trial]\ncolour = red\n":                                   "line 2: unknown key \"colour\"",
		"[trial]\ndrawn = kill, dance\n":                            "line 2: drawn: \"dance\" is none of",
		"[step a]\nat_ms = 1\n":                                     "line 1: [step a] lacks the key do",
		"[step a]\ndo = kill\nwho = n9\n":                           "there is no controller \"n9\"",
		"[step a]\ndo = kill\nat_ms = 60000\n":                      "the trial lasts 10s",
		"[steps]\n":                                                 "line 1: unknown section [steps]",
		"[step a]\ndo = sing\nhow = well\n":                         "line 2: do: \"sing\" is none of",
		strings.Repeat("[step a]\ndo = compact\n", maxSteps+1) + "": fmt.Sprintf("more than %d steps", maxSteps),
	} {
		s, faults := ReadScenario([]byte(text))
		if s != nil || len(faults) == 0 || !strings.Contains(faults[0].Error(), want) {
			t.Errorf("%.60q: %v, want %q", text, faults, want)
		}
	}
}
