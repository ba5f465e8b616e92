package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const lease = 3 * time.Second

// defaultOptions returns a simulation with all kinds of faults. Its clocks differ by as much as the margin allows.
func defaultOptions() simulationOptions {
	return simulationOptions{lease: lease, maxDrift: 0.06, lossRate: 0.2, maxDelay: lease / 4}
}

// TestOneHolderPerName simulates processes, a store, and a network with losses, delays, pauses, partitions, crashes and
// restored stores. No two processes may hold the lease of one name, and no holder may have ended according to another process.
func TestOneHolderPerName(t *testing.T) {
	leasesGained := 0
	rapid.Check(t, func(t *rapid.T) {
		o := defaultOptions()
		o.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss rate")
		o.maxDelay = time.Duration(rapid.IntRange(1, 3000).Draw(t, "max delay")) * time.Millisecond
		violations, gained := runSimulation(rapid.Uint64().Draw(t, "seed"), o, 40)
		if leasesGained += gained; violations != "" {
			t.Fatal(violations)
		}
	})
	if leasesGained < 500 {
		t.Errorf("leases were gained only %d times: the simulation tested too little", leasesGained)
	}
}

// TestSimulationDetectsViolations plants faults that break the assumptions or the rules, and checks that the simulation detects
// each one.
func TestSimulationDetectsViolations(t *testing.T) {
	for name, plantViolation := range map[string]func(*simulationOptions){
		"clocks differ by more than the margin": func(o *simulationOptions) { o.maxDrift = 0.3 },
		"lease counted from the answer":         func(o *simulationOptions) { o.leaseFromAnswer = true },
		"old view ends its members":             func(o *simulationOptions) { o.endOnOldView = true },
		"restored store not noticed":            func(o *simulationOptions) { o.ignoreRestore = true },
	} {
		t.Run(name, func(t *testing.T) {
			o := defaultOptions()
			plantViolation(&o)
			for seed := range uint64(400) {
				if violations, _ := runSimulation(seed, o, 40); violations != "" {
					t.Logf("detected with seed %d: %s", seed, violations)
					return
				}
			}
			t.Error("not detected in 400 simulations")
		})
	}
}

func entry(name string, incarnation, revision int64, s State) Entry {
	return Entry{Name: name, Incarnation: incarnation, Revision: revision, State: s}
}

func TestHoldsLease(t *testing.T) {
	v := New("a", lease)
	checkHoldsLease := func(at time.Duration, want bool) {
		t.Helper()
		if _, _, ok := v.HoldsLease(at); ok != want {
			t.Errorf("at %v: holds lease %v, want %v", at, ok, want)
		}
	}
	checkHoldsLease(0, false)
	v.RecordOwnKey(time.Second, 0, 7) // requested at 0, answered at 1 s
	effectiveLease := lease - Margin(lease)
	checkHoldsLease(effectiveLease-1, true)
	checkHoldsLease(effectiveLease, false)
	v.RecordRenewal(effectiveLease+time.Second, time.Second, 7) // a late answer counts from the time of its request
	checkHoldsLease(time.Second+effectiveLease-1, true)
	checkHoldsLease(time.Second+effectiveLease, false)
	v.RecordRenewal(5*time.Second, 5*time.Second, 6) // of another incarnation
	checkHoldsLease(5*time.Second, false)
	v.RecordRenewal(5*time.Second, 5*time.Second, 7)
	checkHoldsLease(5*time.Second, true)
	v.RecordLeaseEnd(6*time.Second, "revoked")
	checkHoldsLease(6*time.Second, false)
	v.RecordRenewal(6*time.Second, 6*time.Second, 7) // an ended lease is not renewed
	checkHoldsLease(6*time.Second, false)
	v.RecordOwnKey(7*time.Second, 7*time.Second, 9)
	checkHoldsLease(7*time.Second, true)
}

func TestHasEnded(t *testing.T) {
	v := New("a", lease)
	v.ObserveStore(0, 1, 10)
	v.ApplyRead(0, 0, 10, []Entry{entry("a", 2, 2, Serving), entry("b", 3, 9, Serving), entry("c", 4, 4, Serving)})
	if v.ApplyRead(1, 1, 9, nil) {
		t.Error("a read older than the view was applied")
	}
	v.ApplyChanges(2, 12, []Change{{entry("b", 3, 11, Leaving), false}, {Entry{Name: "c", Revision: 12}, true}, {Entry{Name: "b", Revision: 9}, true}})
	v.ApplyChanges(3, 14, []Change{{entry("c", 14, 14, Joining), false}})
	for _, c := range []struct {
		name        string
		incarnation int64
		ended       bool
	}{{"a", 2, false}, {"b", 3, false}, {"c", 4, true}, {"c", 14, false}, {"d", 1, false}} {
		if got := v.HasEnded(1, c.name, c.incarnation); got != c.ended {
			t.Errorf("%s, incarnation %d: ended %v", c.name, c.incarnation, got)
		}
	}
	var seen []string
	for _, m := range v.Members() {
		seen = append(seen, fmt.Sprint(m.Name, " ", m.Incarnation, " ", m.State))
	}
	if diff := cmp.Diff([]string{"a 2 serving", "b 3 leaving", "c 14 joining"}, seen); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
	// In another store, or one restored to an earlier state, a missing member has not ended.
	for i, replacement := range []struct {
		storeID  uint64
		revision int64
	}{{2, 20}, {2, 5}} {
		if v.ObserveStore(4, replacement.storeID, replacement.revision) {
			t.Errorf("store %d was not recognised as another one", i)
		}
		v.ApplyRead(5, 5, replacement.revision, nil)
		if v.HasEnded(1, "b", 3) || v.HasEnded(2, "b", 3) || v.HasEnded(2, "a", 2) {
			t.Error("a member that is missing from another store counts as ended")
		}
	}
}

func TestViewAge(t *testing.T) {
	v := New("a", lease)
	if _, loaded := v.Age(0); loaded {
		t.Error("the age is known before the first read")
	}
	v.RecordOwnKey(0, 0, 1)
	v.ApplyRead(time.Second, 0, 10, nil)
	v.RecordRevision(2*time.Second, 15) // the store is ahead of the watch
	if age, _ := v.Age(3 * time.Second); age != 3*time.Second || !v.Behind() {
		t.Errorf("age %v, behind %v", age, v.Behind())
	}
	v.ApplyChanges(3*time.Second, 15, nil)
	if age, _ := v.Age(3 * time.Second); age != time.Second || v.Behind() {
		t.Errorf("age %v, behind %v after the watch caught up", age, v.Behind())
	}
	v.RecordRenewal(8*time.Second, 8*time.Second, 1)
	if !v.Actable(8*time.Second) || v.Actable(8*time.Second+1) {
		t.Error("the view must be actable until it is two leases old, and not after that")
	}
}

// TestMemoryIsBounded adds and removes 5,000 names. What is kept of them must not grow beyond the limits.
func TestMemoryIsBounded(t *testing.T) {
	v := New("a", lease)
	v.ApplyRead(0, 0, 1, nil)
	for i := range int64(5000) {
		v.ApplyChanges(time.Duration(i), 3+2*i, []Change{
			{entry(fmt.Sprint("n", i), 2+2*i, 2+2*i, Serving), false}, {Entry{Name: fmt.Sprint("n", i), Revision: 3 + 2*i}, true}})
		v.RecordRevision(time.Duration(i), 1<<40+i)
	}
	if len(v.members) > 0 || len(v.gone) > maxGone || len(v.history) > maxHistory || len(v.samples) > 8 {
		t.Errorf("%d members, %d gone, %d events, %d samples", len(v.members), len(v.gone), len(v.history), len(v.samples))
	}
	events, next := v.History(9995)
	if len(events) != 5 || next != 10000 {
		t.Errorf("%d events from 9995 on, the next is %d", len(events), next)
	}
}
