package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const lease = 3 * time.Second

// defaultOptions is a world with a bit of everything; its clocks differ by as much as the margin allows.
func defaultOptions() simulationOptions {
	return simulationOptions{lease: lease, maxDrift: 0.06, lossRate: 0.2, maxDelay: lease / 4}
}

// TestOneHolderPerName plays processes, a store and a network that loses, delays, pauses, cuts, crashes and goes back: whatever the order, no two
// processes are certain of one name, and none is that has ended for another.
func TestOneHolderPerName(t *testing.T) {
	joins := 0
	rapid.Check(t, func(t *rapid.T) {
		o := defaultOptions()
		o.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "lost")
		o.maxDelay = time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay")) * time.Millisecond
		faults, n := runSimulation(rapid.Uint64().Draw(t, "seed"), o, 40)
		if joins += n; faults != "" {
			t.Fatal(faults)
		}
	})
	if joins < 500 {
		t.Errorf("%d times was anybody certain: nothing was tried", joins)
	}
}

// TestSimulationDetectsViolations: each of these is wrong by the note, and the world shows it.
func TestSimulationDetectsViolations(t *testing.T) {
	for name, plant := range map[string]func(*simulationOptions){
		"clocks beyond the margin":           func(o *simulationOptions) { o.maxDrift = 0.3 },
		"counted from the answer":            func(o *simulationOptions) { o.leaseFromAnswer = true },
		"a silent view ends its members":     func(o *simulationOptions) { o.endOnOldView = true },
		"a store that went back is not seen": func(o *simulationOptions) { o.ignoreRestore = true },
	} {
		t.Run(name, func(t *testing.T) {
			o := defaultOptions()
			plant(&o)
			for seed := range uint64(400) {
				if faults, _ := runSimulation(seed, o, 40); faults != "" {
					t.Logf("found by seed %d: %s", seed, faults)
					return
				}
			}
			t.Error("400 worlds did not find it")
		})
	}
}

func entry(name string, incarnation, revision int64, s State) Entry {
	return Entry{Name: name, Incarnation: incarnation, Revision: revision, State: s}
}

func TestHoldsLease(t *testing.T) {
	v := New("a", lease)
	certain := func(at time.Duration, want bool) {
		t.Helper()
		if _, _, ok := v.HoldsLease(at); ok != want {
			t.Errorf("at %v certain %v, want %v", at, ok, want)
		}
	}
	certain(0, false)
	v.RecordOwnKey(time.Second, 0, 7) // asked for at 0, answered at 1 s
	right := lease - Margin(lease)
	certain(right-1, true)
	certain(right, false)
	v.RecordRenewal(right+time.Second, time.Second, 7) // an answer that comes late counts from when it was asked for
	certain(time.Second+right-1, true)
	certain(time.Second+right, false)
	v.RecordRenewal(5*time.Second, 5*time.Second, 6) // another incarnation's
	certain(5*time.Second, false)
	v.RecordRenewal(5*time.Second, 5*time.Second, 7)
	certain(5*time.Second, true)
	v.RecordLeaseEnd(6*time.Second, "told")
	certain(6*time.Second, false)
	v.RecordRenewal(6*time.Second, 6*time.Second, 7) // what is over is not renewed
	certain(6*time.Second, false)
	v.RecordOwnKey(7*time.Second, 7*time.Second, 9)
	certain(7*time.Second, true)
}

func TestMembersEndOnlyByTheStore(t *testing.T) {
	v := New("a", lease)
	v.ObserveStore(0, 1, 10)
	v.ApplyRead(0, 0, 10, []Entry{entry("a", 2, 2, Serving), entry("b", 3, 9, Serving), entry("c", 4, 4, Serving)})
	if v.ApplyRead(1, 1, 9, nil) {
		t.Error("a read from before what is known was taken")
	}
	v.ApplyChanges(2, 12, []Change{{entry("b", 3, 11, Leaving), false}, {Entry{Name: "c", Revision: 12}, true}, {Entry{Name: "b", Revision: 9}, true}})
	v.ApplyChanges(3, 14, []Change{{entry("c", 14, 14, Joining), false}})
	for _, c := range []struct {
		name        string
		incarnation int64
		ended       bool
	}{{"a", 2, false}, {"b", 3, false}, {"c", 4, true}, {"c", 14, false}, {"d", 1, false}} {
		if got := v.HasEnded(1, c.name, c.incarnation); got != c.ended {
			t.Errorf("%s as %d has ended: %v", c.name, c.incarnation, got)
		}
	}
	var seen []string
	for _, m := range v.Members() {
		seen = append(seen, fmt.Sprint(m.Name, " ", m.Incarnation, " ", m.State))
	}
	if diff := cmp.Diff([]string{"a 2 serving", "b 3 leaving", "c 14 joining"}, seen); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
	// Another store, and one that went back: who is missing there has not ended.
	for i, moved := range []struct {
		cluster  uint64
		revision int64
	}{{2, 20}, {2, 5}} {
		if v.ObserveStore(4, moved.cluster, moved.revision) {
			t.Errorf("store %d was taken for the one before", i)
		}
		v.ApplyRead(5, 5, moved.revision, nil)
		if v.HasEnded(1, "b", 3) || v.HasEnded(2, "b", 3) || v.HasEnded(2, "a", 2) {
			t.Error("who is missing in another store is held to have ended")
		}
	}
}

func TestViewAge(t *testing.T) {
	v := New("a", lease)
	if _, known := v.Age(0); known {
		t.Error("a view that was never read is known")
	}
	v.RecordOwnKey(0, 0, 1)
	v.ApplyRead(time.Second, 0, 10, nil)
	v.RecordRevision(2*time.Second, 15) // the store has gone on, and the watch has not told
	if age, _ := v.Age(3 * time.Second); age != 3*time.Second || !v.Behind() {
		t.Errorf("age %v, behind %v", age, v.Behind())
	}
	v.ApplyChanges(3*time.Second, 15, nil)
	if age, _ := v.Age(3 * time.Second); age != time.Second || v.Behind() {
		t.Errorf("age %v, behind %v, once the watch has told all", age, v.Behind())
	}
	v.RecordRenewal(8*time.Second, 8*time.Second, 1)
	if !v.Actable(8*time.Second) || v.Actable(8*time.Second+1) {
		t.Error("a view is acted on until it is two leases old")
	}
}

// TestMemoryIsBounded: names come and go a thousand times and more; what is kept of them does not grow.
func TestMemoryIsBounded(t *testing.T) {
	v := New("a", lease)
	v.ApplyRead(0, 0, 1, nil)
	for i := range int64(5000) {
		v.ApplyChanges(time.Duration(i), 3+2*i, []Change{
			{entry(fmt.Sprint("n", i), 2+2*i, 2+2*i, Serving), false}, {Entry{Name: fmt.Sprint("n", i), Revision: 3 + 2*i}, true}})
		v.RecordRevision(time.Duration(i), 1<<40+i)
	}
	if len(v.members) > 0 || len(v.gone) > maxGone || len(v.history) > maxHistory || len(v.samples) > 8 {
		t.Errorf("%d members, %d gone, %d lines of history, %d looks", len(v.members), len(v.gone), len(v.history), len(v.samples))
	}
	events, next := v.History(9995)
	if len(events) != 5 || next != 10000 {
		t.Errorf("%d events from 9995 on, the next is %d", len(events), next)
	}
}
