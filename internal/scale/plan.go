package scale

import (
	"math/rand/v2"
	"slices"
	"time"
)

// planStream selects a random sequence for the plan that differs from the sequences of other parts with the same seed.
const planStream = 0x7363616c65

// maxPlanned limits the number of events in a plan.
const maxPlanned = 100_000

// Plan returns the events of a run in the order of time. The same seed gives the same plan. The scenario must have passed Check.
func (s *Scenario) Plan(seed uint64) []Event {
	rng := rand.New(rand.NewPCG(seed, planStream))
	var plan []Event
	for _, e := range s.Faults {
		switch among := targets[e.Do]; {
		case among == nil:
			e.Who = ""
		case e.Who == "?":
			e.Who = draw(rng, among(s))
		}
		if e.Who != "" || targets[e.Do] == nil {
			plan = append(plan, e)
		}
	}
	share := float64(s.Controllers) / float64(s.Fleet)
	plan = s.drawn(plan, rng, Restart, share*s.perSecond(s.RestartsPerDay), s.names())
	plan = s.drawn(plan, rng, Change, s.perSecond(s.ChangesPerDay), s.scopes())
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

// drawn appends events with exponentially distributed gaps, perSecond of them each second on average, up to maxPlanned.
func (s *Scenario) drawn(plan []Event, rng *rand.Rand, do Kind, perSecond float64, among []string) []Event {
	if perSecond <= 0 || len(among) == 0 {
		return plan
	}
	at := time.Duration(0)
	for len(plan) < maxPlanned {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= s.Lasting {
			break
		}
		plan = append(plan, Event{At: at.Truncate(time.Millisecond), Do: do, Who: draw(rng, among)})
	}
	return plan
}

// draw picks a name at random; it returns "" if there is none.
func draw(rng *rand.Rand, among []string) string {
	if len(among) == 0 {
		return ""
	}
	return among[rng.IntN(len(among))]
}
