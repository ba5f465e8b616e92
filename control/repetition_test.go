package control

import (
	"fmt"
	"testing"
	"time"
)

// TestRefusalsByClassAndOutcome checks, for each kind of class and each outcome of an attempt, that a call without a permitted server
// fails if its caller must not be told to try again, and is refused otherwise.
func TestRefusalsByClassAndOutcome(t *testing.T) {
	classes := map[string]struct {
		idempotency Idempotency
		scope       DedupScope
		refusable   bool // a call that may have run may be refused
	}{
		"idempotent":       {Idempotent, DedupAll, true},
		"by key, any":      {IdempotentByKey, DedupAll, true},
		"by key, one zone": {IdempotentByKey, DedupZone, false},
		"by key, one cell": {IdempotentByKey, DedupCell, false},
		"non-idempotent":   {NonIdempotent, DedupAll, false},
	}
	mayHaveRun := map[Outcome]bool{
		Failed: true, TimedOut: true, Reset: true, Cancelled: true,
		Full: false, Unreachable: false, NotSent: false,
	}
	for name, class := range classes {
		for outcome, ran := range mayHaveRun {
			t.Run(fmt.Sprint(name, "/outcome ", outcome), func(t *testing.T) {
				s := settings()
				s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = class.idempotency, class.scope, 5*time.Second
				n := newNode(t, s)
				n.step(0, newList(Active, "a"))
				n.step(ms, newOffer("1", 0, 0))
				n.step(ms, newList(Draining, "a"))
				all := n.step(ms, AttemptEnded{ID: "1", Server: "a", Outcome: outcome})
				all = append(all, n.stepFor(time.Second, 5*ms)...)
				refused, failed := len(actionsOf[Refuse](all)), len(actionsOf[Fail](all))
				if want := class.refusable || !ran; refused+failed != 1 || (refused == 1) != want {
					t.Errorf("%d refusals and %d failures, want one refusal: %v", refused, failed, want)
				}
			})
		}
		t.Run(name+"/no attempt", func(t *testing.T) {
			s := settings()
			s.Classes[0].Idempotency, s.Classes[0].DedupScope = class.idempotency, class.scope
			n := newNode(t, s)
			n.step(0, newList(Draining, "a"))
			all := n.step(ms, newOffer("1", 0, 0))
			if refused := actionsOf[Refuse](all); len(refused) != 1 {
				t.Errorf("%d refusals, want 1", len(refused))
			}
		})
	}
}
