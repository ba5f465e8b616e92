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

// paper is a ledger of a test: it keeps what was committed, and fails when told to.
type paper struct {
	records, batch, state [][]byte
	on, fails, begins     bool
	commits               int
}

func (p *paper) Append(r []byte) error { p.batch = append(p.batch, r); return nil }
func (p *paper) HasPending() bool      { return len(p.batch) > 0 }
func (p *paper) Enabled() bool         { return p.on }
func (p *paper) Metrics() ledger.Metrics {
	return ledger.Metrics{Enabled: p.on, Commits: uint64(p.commits)}
}
func (p *paper) BeginEpoch(state [][]byte) error {
	p.state, p.begins, p.on, p.batch = state, true, false, nil
	return nil
}

func (p *paper) Commit() error {
	if p.fails {
		p.on, p.batch = false, nil
		return errors.New("no space left")
	}
	p.records = append(p.records, p.batch...)
	p.batch = nil
	p.commits++
	return nil
}

func (p *paper) EpochResult() (bool, error) {
	if !p.begins {
		return false, nil
	}
	p.begins = false
	if p.fails {
		return true, errors.New("still no space left")
	}
	p.records, p.on = p.state, true
	return true, nil
}

// mute are dispatchers that say nothing: the test speaks for them.
type mute struct{}

func (mute) Update(Update)                               {}
func (mute) SetUp(control.ServerID, SetUp)               {}
func (mute) Reconnect(control.ServerID)                  {}
func (mute) CancelAttempt(control.ServerID, string, int) {}
func (mute) Release(control.ServerID, string, int)       {}
func (mute) Probe(control.ServerID)                      {}

// Ping has no reply.
func (mute) Ping(control.ServerID, string, int, func(bool)) {}

// durableSite is a core with two dispatchers.
func durableSite(t *testing.T) (*Core, *site) {
	s := newSite(t)
	s.core.SetDispatchers(mute{})
	s.list(control.Active, "a", "b")
	s.core.turn()
	return s.core, s
}

// TestTheLedgerHasWhatTheCoreHas plays calls at random and holds, after every turn, what was committed against what the core
// knows: a crash then would find just that.
func TestTheLedgerHasWhatTheCoreHas(t *testing.T) {
	core, s := durableSite(t)
	p := &paper{}
	core.UseLedger(p, false)
	core.BeginLedger(time.Second)
	rng := rand.New(rand.NewPCG(5, 6))
	ids := 0
	check := func() {
		book, err := recovery.Replay(p.records, nil)
		if err != nil || book.UnexpectedEvents() > 0 {
			t.Fatalf("%v, %d events that do not fit", err, book.UnexpectedEvents())
		}
		got, want := map[string]string{}, map[string]string{}
		for _, c := range book.Calls() {
			if c.State > recovery.StateEstablished && core.calls[c.ID] == nil {
				continue // the core has forgotten it by now
			}
			if got[c.ID] = fmt.Sprint(c.State, c.Cause); c.State <= recovery.StateEstablished {
				got[c.ID] = fmt.Sprint(c.State, c.Attempts, c.AttemptInProgress, c.Server)
			}
		}
		for id, k := range core.calls {
			if k.state == over && k.end.Cause == 0 {
				continue // given up: nobody will ask
			}
			c := core.known(k)
			if want[id] = fmt.Sprint(c.State, c.Cause); k.state != over {
				want[id] = fmt.Sprint(c.State, k.attempts, k.out, string(k.server))
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
			case k.state == open && k.out && rng.IntN(3) == 0:
				core.Answered(k.server, id, k.attempts-1, "y"+id)
			case k.state == open && k.out && rng.IntN(3) == 0:
				core.AttemptEnded(k.server, id, k.attempts-1, []control.Outcome{control.Failed, control.Full, control.Reset}[rng.IntN(3)], true, nil)
			case k.state == open && rng.IntN(8) == 0:
				core.CallerReleased(k.Caller, id, CauseNormal)
			case k.state == stands && rng.IntN(3) == 0:
				core.Released(k.server, id, k.attempts-1, []int{CauseNormal, CauseTemporary}[rng.IntN(2)], nil)
			case k.state == stands && rng.IntN(8) == 0:
				core.CallerReleased(k.Caller, id, CauseTemporary)
			}
		}
		core.turn()
		if step%10 == 0 {
			check()
		}
		if step%500 == 499 { // it fails for a while, and begins anew
			p.fails = true
			core.note(&record{Request: Request{ID: "00000000000000ff"}}, recovery.KindCancelled, nil)
			core.turn()
			if p.on || core.RecoveryStatus().NotPersisted == "" {
				t.Fatal("it failed, and nobody says so")
			}
			p.fails = false
			core.durable.begin()
			core.durable.look()
			if !p.on || core.RecoveryStatus().NotPersisted != "" {
				t.Fatal("it does not begin anew")
			}
			check()
		}
	}
	if p.commits > 2000 {
		t.Errorf("%d commits for 2000 turns", p.commits)
	}
}

// TestNewCallsMayBeRefusedWhileNothingIsKept, if the operator has it so.
func TestNewCallsMayBeRefusedWhileNothingIsKept(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		core, s := durableSite(t)
		p := &paper{}
		core.UseLedger(p, refuse)
		core.BeginLedger(time.Second)
		p.fails = true
		for n := range 2 {
			id := fmt.Sprintf("%016x", n+1)
			if err := core.Offer(Request{ID: id, Class: "c", Called: "k", Description: "x", Deadline: time.Now().Add(time.Minute), Caller: s}); err != nil {
				t.Fatal(err)
			}
			core.turn()
		}
		if got := s.finals[fmt.Sprintf("%016x", 2)] == 1; got != refuse {
			t.Errorf("refuse %v: the second is refused %v", refuse, got)
		}
		if s.finals[fmt.Sprintf("%016x", 1)] > 0 {
			t.Error("a call that was taken is refused")
		}
	}
}
