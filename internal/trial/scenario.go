package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cherryrelay/internal/inifile"
)

// Scenario is what a trial plays.
type Scenario struct {
	Controllers, Dispatchers int
	Callers                  int // at each controller
	Window                   int // calls under way of each caller
	Lease, Lasting           time.Duration
	Steps                    []Step
	Drawn                    []string      // what happens beside the steps, drawn by the seed
	Every                    time.Duration // the mean pause between two that are drawn
}

// Step is one thing that is done, to a controller ("n1"), all of them ("*"), or one that is drawn ("?"), and undone after a while.
type Step struct {
	At, For time.Duration
	Do, Who string
}

func (s Step) String() string {
	text := fmt.Sprintf("%v %s", s.At, s.Do)
	if s.Who != "" {
		text += " " + s.Who
	}
	if s.For > 0 {
		text += fmt.Sprintf(" for %v", s.For)
	}
	return text
}

// The things that can be done, and whether to a controller and for a while.
var deeds = map[string]struct{ who, lasts bool }{
	"kill": {true, true}, "stop": {true, true}, "pause": {true, true}, "part": {true, true}, "mute": {true, true}, "slow": {true, true},
	"cut": {true, false}, "stall store": {false, true}, "stop store": {false, true}, "deafen store": {false, true}, "compact": {false, false},
	"lose answers": {false, false}, "part dispatchers": {true, true}, "slow dispatchers": {true, true}, "crawl": {true, true},
	"upgrade": {true, false},
}

// The bounds of a scenario: what one machine may be asked to play.
const (
	maxControllers = 32
	maxLasting     = time.Hour
	maxSteps       = 10_000
)

// ReadScenario reads a scenario: a section [trial] and one [step ...] for each step. All faults are told.
func ReadScenario(text []byte) (*Scenario, []inifile.Fault) {
	f, faults := inifile.Parse(text)
	if len(faults) > 0 {
		return nil, faults
	}
	s := &Scenario{Controllers: 3, Dispatchers: 2, Callers: 1, Window: 8, Lease: time.Second, Lasting: 10 * time.Second, Every: 500 * time.Millisecond}
	fault := func(line int, format string, args ...any) {
		faults = append(faults, inifile.Fault{Line: line, Text: fmt.Sprintf(format, args...)})
	}
	number := func(k *inifile.Key, least, most int) int {
		n, wrong := k.Number(least, most)
		if wrong != nil {
			faults = append(faults, *wrong)
		}
		return n
	}
	millis := func(k *inifile.Key, least, most time.Duration) time.Duration {
		return time.Duration(number(k, int(least.Milliseconds()), int(most.Milliseconds()))) * time.Millisecond
	}
	for i := range f.Sections {
		section := &f.Sections[i]
		if _, is := section.Named("step"); is {
			if len(s.Steps) == maxSteps {
				fault(section.Line, "more than %d steps", maxSteps)
				break
			}
			step := Step{Who: "?"}
			for j := range section.Keys {
				switch k := &section.Keys[j]; k.Name {
				case "at_ms":
					step.At = millis(k, 0, maxLasting)
				case "for_ms":
					step.For = millis(k, 0, maxLasting)
				case "do":
					if step.Do = k.Value; !known(step.Do) {
						fault(k.Line, "do: %.40q is none of %s", step.Do, strings.Join(Deeds(), ", "))
					}
				case "who":
					step.Who = k.Value
				default:
					fault(k.Line, "unknown key %.40q", k.Name)
				}
			}
			if step.Do == "" {
				fault(section.Line, "[%.80s] lacks the key do", section.Name)
			}
			if !deeds[step.Do].who {
				step.Who = ""
			}
			s.Steps = append(s.Steps, step)
			continue
		}
		if section.Name != "trial" {
			fault(section.Line, "unknown section [%.80s]", section.Name)
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
				s.Lasting = millis(k, time.Second, maxLasting)
			case "every_ms":
				s.Every = millis(k, 10*time.Millisecond, maxLasting)
			case "drawn":
				for part := range strings.SplitSeq(k.Value, ",") {
					do := strings.TrimSpace(part)
					if !known(do) {
						fault(k.Line, "drawn: %.40q is none of %s", do, strings.Join(Deeds(), ", "))
					}
					s.Drawn = append(s.Drawn, do)
				}
			default:
				fault(k.Line, "unknown key %.40q", k.Name)
			}
		}
	}
	for _, step := range s.Steps {
		if step.Who != "" && step.Who != "?" && step.Who != "*" && !slices.Contains(s.names(), step.Who) {
			fault(0, "%v: there is no controller %.40q", step, step.Who)
		}
		if step.At > s.Lasting {
			fault(0, "%v: the trial lasts %v", step, s.Lasting)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func known(do string) bool { _, is := deeds[do]; return is }

// Deeds are the things that can be done.
func Deeds() []string {
	var all []string
	for do := range deeds {
		all = append(all, do)
	}
	slices.Sort(all)
	return all
}

func (s *Scenario) names() []string {
	var names []string
	for i := range s.Controllers {
		names = append(names, fmt.Sprint("n", i+1))
	}
	return names
}

// Plan is all that is done, in order, by a seed: the same for the same seed.
func (s *Scenario) Plan(seed uint64) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x7472)) // apart from the links' own
	names := s.names()
	var plan []Step
	for _, step := range s.Steps {
		switch step.Who {
		case "?":
			step.Who = names[rng.IntN(len(names))]
			plan = append(plan, step)
		case "*":
			for _, name := range names {
				step.Who = name
				plan = append(plan, step)
			}
		default:
			plan = append(plan, step)
		}
	}
	if len(s.Drawn) > 0 {
		// The last third of a second lease is calm, so that what was done can be undone before the end.
		for at := s.Lease; at < s.Lasting-2*s.Lease && len(plan) < maxSteps; at += s.Every/2 + time.Duration(rng.Int64N(int64(s.Every))) {
			step := Step{At: at, Do: s.Drawn[rng.IntN(len(s.Drawn))]}
			if deeds[step.Do].who {
				step.Who = names[rng.IntN(len(names))]
			}
			if deeds[step.Do].lasts {
				step.For = time.Duration(rng.Int64N(int64(2 * s.Lease)))
			}
			plan = append(plan, step)
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}
