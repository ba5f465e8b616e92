package scale

import (
	"math/rand/v2"
	"slices"
	"time"
)

// planStream selects a random sequence for the plan that differs from the sequences of other parts with the same seed.
const planStream = 0x7363616c65

// maxPlannedEvents limits the number of events in a plan.
const maxPlannedEvents = 100_000

// Plan returns the events of a run in the order of time. The same seed gives the same plan. The scenario must have passed Check.
func (s *Scenario) Plan(seed uint64) []Event {
	rng := rand.New(rand.NewPCG(seed, planStream))
	var plan []Event
	for _, e := range s.Faults {
		switch candidates := targets[e.Kind]; {
		case candidates == nil:
			e.Target = ""
		case e.Target == "?":
			e.Target = pickRandom(rng, candidates(s))
		}
		if e.Target != "" || targets[e.Kind] == nil {
			plan = append(plan, e)
		}
	}
	share := float64(s.Controllers) / float64(s.DeploymentSize)
	plan = s.appendRandom(plan, rng, Restart, share*s.perSecond(s.RestartsPerDay), s.hollowNames())
	plan = s.appendRandom(plan, rng, Change, s.perSecond(s.ChangesPerDay), s.scopes())
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

// appendRandom appends events with exponentially distributed gaps, perSecond of them each second on average, up to maxPlannedEvents.
func (s *Scenario) appendRandom(plan []Event, rng *rand.Rand, do EventKind, perSecond float64, candidates []string) []Event {
	if perSecond <= 0 || len(candidates) == 0 {
		return plan
	}
	at := time.Duration(0)
	for len(plan) < maxPlannedEvents {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= s.Duration {
			break
		}
		plan = append(plan, Event{At: at.Truncate(time.Millisecond), Kind: do, Target: pickRandom(rng, candidates)})
	}
	return plan
}

// pickRandom picks a name at random; it returns "" if there is none.
func pickRandom(rng *rand.Rand, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rng.IntN(len(candidates))]
}
