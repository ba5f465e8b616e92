package call

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/ledger"
)

// fakeLedger is a Ledger in memory: it keeps the committed records, and fails on request.
type fakeLedger struct {
	records, uncommitted, snapshot [][]byte
	enabled, fails, epochPending   bool
	commits                        int
}

func (l *fakeLedger) Append(r []byte) error { l.uncommitted = append(l.uncommitted, r); return nil }
func (l *fakeLedger) HasPending() bool      { return len(l.uncommitted) > 0 }
func (l *fakeLedger) Enabled() bool         { return l.enabled }
func (l *fakeLedger) Metrics() ledger.Metrics {
	return ledger.Metrics{Enabled: l.enabled, Commits: uint64(l.commits)}
}
func (l *fakeLedger) BeginEpoch(state [][]byte) error {
	l.snapshot, l.epochPending, l.enabled, l.uncommitted = state, true, false, nil
	return nil
}

func (l *fakeLedger) Commit() error {
	if l.fails {
		l.enabled, l.uncommitted = false, nil
		return errors.New("no space left")
	}
	l.records = append(l.records, l.uncommitted...)
	l.uncommitted = nil
	l.commits++
	return nil
}

func (l *fakeLedger) EpochResult() (bool, error) {
	if !l.epochPending {
		return false, nil
	}
	l.epochPending = false
	if l.fails {
		return true, errors.New("still no space left")
	}
	l.records, l.enabled = l.snapshot, true
	return true, nil
}

// stubDispatchers are dispatchers that do nothing: the test reports outcomes itself.
type stubDispatchers struct{}

func (stubDispatchers) Update(Update)                                    {}
func (stubDispatchers) SetUp(control.ServerID, SetUp)                    {}
func (stubDispatchers) Reconnect(control.ServerID)                       {}
func (stubDispatchers) CancelAttempt(control.ServerID, string, int) bool { return false }
func (stubDispatchers) Release(control.ServerID, string, int)            {}
func (stubDispatchers) Probe(control.ServerID)                           {}

// Ping gets no reply.
func (stubDispatchers) Ping(control.ServerID, string, int, func(bool)) {}

// newLedgerFixture returns a core with two dispatchers.
func newLedgerFixture(t *testing.T) (*Core, *fixture) {
	s := newFixture(t)
	s.core.SetDispatchers(stubDispatchers{})
	s.updateList(control.Active, "a", "b")
	s.core.finishIteration()
	return s.core, s
}

// TestLedgerMatchesCore runs random calls and compares, after event loop iterations, the committed records with the
// state of the core: a crash at that point would restore exactly those records.
func TestLedgerMatchesCore(t *testing.T) {
	core, s := newLedgerFixture(t)
	l := &fakeLedger{}
	core.UseLedger(l, false)
	core.BeginLedger(time.Second)
	rng := rand.New(rand.NewPCG(5, 6))
	ids := 0
	check := func() {
		table, err := recovery.Replay(l.records, nil)
		if err != nil || table.UnexpectedEvents() > 0 {
			t.Fatalf("%v, %d unexpected events", err, table.UnexpectedEvents())
		}
		got, want := map[string]string{}, map[string]string{}
		for _, c := range table.Calls() {
			if c.State > recovery.StateEstablished && core.calls[c.ID] == nil {
				continue // the core has dropped it by now
			}
			if got[c.ID] = fmt.Sprint(c.State, c.Cause); c.State <= recovery.StateEstablished {
				got[c.ID] = fmt.Sprint(c.State, c.Attempts, c.AttemptInProgress, c.Server, c.Repetition, c.State == recovery.StatePending && c.MayHaveRun)
			}
		}
		for id, k := range core.calls {
			if k.state == terminated && k.end.Cause == 0 {
				continue // cancelled by its caller, which will not resume it
			}
			c := core.recoveryCall(k)
			if want[id] = fmt.Sprint(c.State, c.Cause); k.state != terminated {
				want[id] = fmt.Sprint(c.State, k.attempts, k.attemptInProgress, string(k.server), repetitionOf(&k.class), k.state == pending && !k.firstRunAt.IsZero())
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("the core and the ledger (-core +ledger):\n%s", diff)
		}
	}
	for step := range 2000 {
		switch rng.IntN(6) {
		case 0, 1:
			ids++
			id := fmt.Sprintf("%016x", ids)
			if err := core.Offer(Request{ID: id, Class: "c", Called: "k" + id, FirstCell: rng.IntN(2), Description: "x", Deadline: time.Now().Add(time.Minute), Caller: s, Token: recovery.HashToken("a token of some caller")}); err != nil {
				t.Fatal(err)
			}
		default:
			id := fmt.Sprintf("%016x", 1+rng.IntN(ids+1))
			k := core.calls[id]
			switch {
			case k == nil:
			case k.state == pending && k.attemptInProgress && rng.IntN(3) == 0:
				core.Answered(k.server, id, k.attempts-1, "y"+id)
			case k.state == pending && k.attemptInProgress && rng.IntN(3) == 0:
				core.AttemptEnded(k.server, id, k.attempts-1, []control.Outcome{control.Failed, control.Full, control.Reset}[rng.IntN(3)], true, nil)
			case k.state == pending && rng.IntN(8) == 0:
				core.CallerReleased(k.Caller, id, CauseNormal)
			case k.state == established && rng.IntN(3) == 0:
				core.Released(k.server, id, k.attempts-1, []int{CauseNormal, CauseTemporary}[rng.IntN(2)], nil)
			case k.state == established && rng.IntN(8) == 0:
				core.CallerReleased(k.Caller, id, CauseTemporary)
			}
		}
		core.finishIteration()
		if step%10 == 0 {
			check()
		}
		if step%500 == 499 { // the ledger fails for a while, and a new epoch begins
			l.fails = true
			core.persistEvent(&record{Request: Request{ID: "00000000000000ff"}}, recovery.KindCancelled, nil)
			core.finishIteration()
			if l.enabled || core.RecoveryStatus().NotPersisted == "" {
				t.Fatal("the ledger failed, and the status does not report it")
			}
			l.fails = false
			core.ledgerWriter.beginEpoch()
			core.ledgerWriter.pollEpoch()
			if !l.enabled || core.RecoveryStatus().NotPersisted != "" {
				t.Fatal("the ledger has not begun a new epoch")
			}
			check()
		}
	}
	if l.commits > 2000 {
		t.Errorf("%d commits for 2000 iterations", l.commits)
	}
}

// TestNewCallsAreRefusedWhileLedgerIsDisabled checks that new calls are refused while the ledger is disabled, if the
// operator has configured that, and only then.
func TestNewCallsAreRefusedWhileLedgerIsDisabled(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		core, s := newLedgerFixture(t)
		l := &fakeLedger{}
		core.UseLedger(l, refuse)
		core.BeginLedger(time.Second)
		l.fails = true
		for n := range 2 {
			id := fmt.Sprintf("%016x", n+1)
			if err := core.Offer(Request{ID: id, Class: "c", Called: "k", Description: "x", Deadline: time.Now().Add(time.Minute), Caller: s}); err != nil {
				t.Fatal(err)
			}
			core.finishIteration()
		}
		if got := s.rejections[fmt.Sprintf("%016x", 2)] == 1; got != refuse {
			t.Errorf("refuse %v: the second call is refused: %v", refuse, got)
		}
		if s.rejections[fmt.Sprintf("%016x", 1)] > 0 {
			t.Error("a call that was accepted is refused")
		}
	}
}
