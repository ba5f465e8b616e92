package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cherryrelay/internal/inifile"
)

// Scenario describes a trial.
type Scenario struct {
	Controllers, Dispatchers int
	Callers                  int           // for each controller
	Window                   int           // maximum number of open calls of each caller
	Lease, Duration          time.Duration // of the controllers; of the trial
	Steps                    []Step
	RandomActions            []string      // actions of the random steps, which the seed determines
	MeanInterval             time.Duration // mean interval between random steps
}

// Step is an action on one controller ("n1"), all of them ("*") or a random one ("?"), which is undone after a duration.
type Step struct {
	At, Duration   time.Duration // time since the start of the trial; duration of the effect
	Action, Target string        // action; controller, empty for an action that affects none
}

func (s Step) String() string {
	text := fmt.Sprintf("%v %s", s.At, s.Action)
	if s.Target != "" {
		text += " " + s.Target
	}
	if s.Duration > 0 {
		text += fmt.Sprintf(" for %v", s.Duration)
	}
	return text
}

// actions has the known actions: whether each affects a controller, and whether it lasts for a duration.
var actions = map[string]struct{ who, lasts bool }{
	"kill": {true, true}, "stop": {true, true}, "pause": {true, true}, "part": {true, true}, "mute": {true, true}, "slow": {true, true},
	"cut": {true, false}, "stall store": {false, true}, "stop store": {false, true}, "deafen store": {false, true}, "compact": {false, false},
	"lose answers": {false, false}, "part dispatchers": {true, true}, "slow dispatchers": {true, true}, "crawl": {true, true},
	"upgrade": {true, false},
}

// The limits of a scenario on one machine.
const (
	maxControllers = 32
	maxLasting     = time.Hour
	maxSteps       = 10_000
)

// ReadScenario reads a scenario with a section [trial] and a section [step ...] for each step. It returns either the scenario or all faults
// of the text.
func ReadScenario(text []byte) (*Scenario, []inifile.Fault) {
	f, faults := inifile.Parse(text)
	if len(faults) > 0 {
		return nil, faults
	}
	s := &Scenario{Controllers: 3, Dispatchers: 2, Callers: 1, Window: 8, Lease: time.Second, Duration: 10 * time.Second, MeanInterval: 500 * time.Millisecond}
	addFault := func(line int, format string, args ...any) {
		faults = append(faults, inifile.Fault{Line: line, Text: fmt.Sprintf(format, args...)})
	}
	number := func(k *inifile.Key, lowest, highest int) int {
		n, problem := k.Number(lowest, highest)
		if problem != nil {
			faults = append(faults, *problem)
		}
		return n
	}
	millis := func(k *inifile.Key, lowest, highest time.Duration) time.Duration {
		return time.Duration(number(k, int(lowest.Milliseconds()), int(highest.Milliseconds()))) * time.Millisecond
	}
	for i := range f.Sections {
		section := &f.Sections[i]
		if _, isStep := section.NameAfter("step"); isStep {
			if len(s.Steps) == maxSteps {
				addFault(section.Line, "more than %d steps", maxSteps)
				break
			}
			step := Step{Target: "?"}
			for j := range section.Keys {
				switch k := &section.Keys[j]; k.Name {
				case "at_ms":
					step.At = millis(k, 0, maxLasting)
				case "for_ms":
					step.Duration = millis(k, 0, maxLasting)
				case "do":
					if step.Action = k.Value; !isAction(step.Action) {
						addFault(k.Line, "do: %.40q is none of %s", step.Action, strings.Join(Actions(), ", "))
					}
				case "who":
					step.Target = k.Value
				default:
					addFault(k.Line, "unknown key %.40q", k.Name)
				}
			}
			if step.Action == "" {
				addFault(section.Line, "[%.80s] lacks the key do", section.Name)
			}
			if !actions[step.Action].who {
				step.Target = ""
			}
			s.Steps = append(s.Steps, step)
			continue
		}
		if section.Name != "trial" {
			addFault(section.Line, "unknown section [%.80s]", section.Name)
			continue
		}
		for j := range section.Keys {
			switch k := &section.Keys[j]; k.Name {
			case "controllers":
				s.Controllers = number(k, 1, maxControllers)
			case "dispatchers":
				s.Dispatchers = number(k, 1, maxControllers)
			case "callers":
				s.Callers = number(k, 0, maxControllers)
			case "window":
				s.Window = number(k, 1, 1000)
			case "lease_ms":
				s.Lease = millis(k, time.Second, 30*time.Second)
			case "lasting_ms":
				s.Duration = millis(k, time.Second, maxLasting)
			case "every_ms":
				s.MeanInterval = millis(k, 10*time.Millisecond, maxLasting)
			case "drawn":
				for item := range strings.SplitSeq(k.Value, ",") {
					action := strings.TrimSpace(item)
					if !isAction(action) {
						addFault(k.Line, "drawn: %.40q is none of %s", action, strings.Join(Actions(), ", "))
					}
					s.RandomActions = append(s.RandomActions, action)
				}
			default:
				addFault(k.Line, "unknown key %.40q", k.Name)
			}
		}
	}
	for _, step := range s.Steps {
		if step.Target != "" && step.Target != "?" && step.Target != "*" && !slices.Contains(s.controllerNames(), step.Target) {
			addFault(0, "%v: there is no controller %.40q", step, step.Target)
		}
		if step.At > s.Duration {
			addFault(0, "%v: the trial lasts %v", step, s.Duration)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// isAction reports whether an action is known.
func isAction(action string) bool { _, ok := actions[action]; return ok }

// Actions returns the names of all actions, sorted.
func Actions() []string {
	var names []string
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// controllerNames returns the names of all controllers.
func (s *Scenario) controllerNames() []string {
	var names []string
	for i := range s.Controllers {
		names = append(names, fmt.Sprint("n", i+1))
	}
	return names
}

// Plan returns all steps in the order of their times, with the random choices made. The same seed results in the same plan.
func (s *Scenario) Plan(seed uint64) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x7472)) // independent of the random numbers of the links
	names := s.controllerNames()
	var plan []Step
	for _, step := range s.Steps {
		switch step.Target {
		case "?":
			step.Target = names[rng.IntN(len(names))]
			plan = append(plan, step)
		case "*":
			for _, name := range names {
				step.Target = name
				plan = append(plan, step)
			}
		default:
			plan = append(plan, step)
		}
	}
	if len(s.RandomActions) > 0 {
		// No random step starts in the last two leases, so that all are undone before the end.
		for at := s.Lease; at < s.Duration-2*s.Lease && len(plan) < maxSteps; at += s.MeanInterval/2 + time.Duration(rng.Int64N(int64(s.MeanInterval))) {
			step := Step{At: at, Action: s.RandomActions[rng.IntN(len(s.RandomActions))]}
			if actions[step.Action].who {
				step.Target = names[rng.IntN(len(names))]
			}
			if actions[step.Action].lasts {
				step.Duration = time.Duration(rng.Int64N(int64(2 * s.Lease)))
			}
			plan = append(plan, step)
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}
