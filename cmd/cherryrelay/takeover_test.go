package main

import (
	"errors"
	"os"
	"sync"
	"testing"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/takeover"
	"cherryrelay/internal/trial"
)

// takeoverFixture is a site whose controllers keep their calls in one directory, under load by callers that come back wherever they are answered.
type takeoverFixture struct {
	*fleetFixture
	checker     *trial.Judge
	dispatchers []*trial.Dispatcher
	callers     []*trial.Caller
	done        chan struct{}
	calling     sync.WaitGroup
}

func newTakeoverFixture(t *testing.T, controllers, window int, transport string) *takeoverFixture {
	t.Helper()
	s := &takeoverFixture{checker: newChecker(), done: make(chan struct{})}
	addresses := map[string]string{}
	for _, name := range []string{"d1", "d2", "d3"} {
		d := startDispatcher(t, "tcp", name, s.checker)
		s.dispatchers = append(s.dispatchers, d)
		addresses[name] = d.Address()
	}
	s.fleetFixture = newFleetFixtureWith(t, trial.Options{Controllers: controllers, Seed: 7, Dispatchers: addresses, Ledgers: true})
	fronts := s.fronts(transport)
	for i := range s.Controllers {
		if window == 0 {
			break
		}
		c := &trial.Caller{Transport: transport, Addresses: fronts, First: (i + 1) << 32, Window: window, Judge: s.checker}
		c.From(i)
		s.callers = append(s.callers, c)
		s.calling.Go(func() { c.Run(s.done) })
	}
	return s
}

func (s *takeoverFixture) fronts(transport string) []string {
	var all []string
	for _, c := range s.Controllers {
		if transport == "ws" {
			all = append(all, c.API)
		} else {
			all = append(all, c.Lines)
		}
	}
	return all
}

// finish lets the callers come to an end, and holds all calls against the rules: every caller has its answer and its end, nothing is left
// at a dispatcher, and nobody was told that nothing is known of a call that was taken.
func (s *takeoverFixture) finish() map[string]int {
	s.Helper()
	close(s.done)
	s.calling.Wait()
	checkAllAnswered(s.T, s.checker)
	faults, _, finals := s.checker.Verdict()
	unanswered, untold := s.checker.Unsettled()
	if len(faults)+len(unanswered)+len(untold) > 0 {
		s.Errorf("faults %v, without an answer %v, without an end %v, with the last steps %q", faults, unanswered, untold, s.LastSteps(untold))
	}
	s.waitUntil("nothing is left at the dispatchers", func() bool { return len(s.checker.Left()) == 0 })
	s.Log(finals)
	return finals
}

// takeoverStatus is what a controller tells of its takeovers.
func takeoverStatus(c *trial.Controller) (s takeover.Shown) {
	_, _ = c.Ask(takeover.Path, &s) // one that does not answer has taken nothing, as far as can be seen
	return s
}

// waitSealed waits until one of the controllers has the ledger of a lost one.
func (s *takeoverFixture) waitSealed(name string, by ...*trial.Controller) {
	s.Helper()
	s.waitUntil("the ledger of "+name+" is taken", func() bool {
		for _, c := range by {
			for _, told := range takeoverStatus(c).Told {
				if told.Name == name {
					return true
				}
			}
		}
		return false
	})
}

// TestALostControllersCallsGoOn: one of three is killed for good under load, over each front. Its callers come back at the others and find
// every call: those that were open are answered, those that stood are told their end.
func TestALostControllersCallsGoOn(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			s := newTakeoverFixture(t, 3, 16, transport)
			time.Sleep(700 * time.Millisecond)
			s.must(s.Controllers[1].Kill())
			s.waitSealed("n2", s.Controllers[0], s.Controllers[2])
			time.Sleep(time.Second)
			finals := s.finish()
			if finals["answer"] < 50 {
				t.Errorf("only %v", finals)
			}
		})
	}
}

// TestTheControllerThatTookOverIsKilledToo: all but one of four are killed, each soon after the one before, so that takers are lost with what they had taken.
func TestTheControllerThatTookOverIsKilledToo(t *testing.T) {
	t.Parallel()
	s := newTakeoverFixture(t, 4, 12, "tcp")
	time.Sleep(500 * time.Millisecond)
	for i, c := range s.Controllers[:3] {
		s.must(c.Kill())
		time.Sleep(time.Duration(250+150*i) * time.Millisecond)
	}
	s.waitSealed("n3", s.Controllers[3])
	time.Sleep(time.Second)
	s.finish()
	if shown := takeoverStatus(s.Controllers[3]); shown.Sealed == 0 || shown.Failed > 0 {
		t.Errorf("the last one took %+v", shown)
	}
}

// TestAPausedControllerRestartsAfterTakeover: one stands still for longer than its lease, under load, and goes on with what it has in hand. Others have its
// calls by then, and it begins anew without them.
func TestAPausedControllerRestartsAfterTakeover(t *testing.T) {
	runTakeoverOfLiveController(t, func(s *takeoverFixture, n1 *trial.Controller) { n1.Pause() }, func(s *takeoverFixture, n1 *trial.Controller) { n1.Resume() })
}

// runTakeoverOfLiveController has the first of three controllers hurt under load until its ledger is taken, and then left alone: it begins anew, and no call
// suffers.
func runTakeoverOfLiveController(t *testing.T, hurt, heal func(s *takeoverFixture, n1 *trial.Controller)) {
	t.Helper()
	t.Parallel()
	s := newTakeoverFixture(t, 3, 16, "tcp")
	time.Sleep(500 * time.Millisecond)
	n1 := s.Controllers[0]
	before := n1.Fleet().Incarnation
	hurt(s, n1)
	s.waitSealed("n1", s.Controllers[1:]...)
	time.Sleep(300 * time.Millisecond)
	heal(s, n1)
	s.waitNewIncarnation(n1, before)
	time.Sleep(500 * time.Millisecond)
	s.finish()
}

// TestAControllerCutOffFromTheStoreRestarts: one that does not reach the store, but its callers, dispatchers and files, is taken over once its
// lease has ended; it sees that before it says another word.
func TestAControllerCutOffFromTheStoreRestarts(t *testing.T) {
	runTakeoverOfLiveController(t, func(s *takeoverFixture, _ *trial.Controller) { s.Net.Part([]string{"n1"}, []string{trial.StoreName}) },
		func(s *takeoverFixture, _ *trial.Controller) { s.Net.Heal() })
}

// TestTheStoreIsLost: nobody is certain of anybody's end, and nobody is taken over; calls go on.
func TestTheStoreIsLost(t *testing.T) {
	t.Parallel()
	s := newTakeoverFixture(t, 3, 8, "tcp")
	s.StopStore()
	time.Sleep(3 * time.Second) // three leases
	s.must(s.StartStore())
	s.waitAllServing(s.Controllers...)
	for _, c := range s.Controllers {
		if shown := takeoverStatus(c); shown.Sealed > 0 {
			t.Errorf("%s took %+v", c.Name, shown)
		}
	}
	time.Sleep(time.Second)
	s.finish()
}

// call is one call of a story: placed at a controller, and resumed at others.
func (s *takeoverFixture) placeCall(at *trial.Controller, id string) *peer.Caller {
	s.Helper()
	c, err := peer.Call("tcp", at.Lines)
	s.must(err)
	s.Cleanup(func() { _ = c.Close() })
	s.checker.Placed(id, time.Now())
	x := "x"
	s.must(c.Send(jsonl.Message{Type: "setup", ID: id, SDP: &x, Fields: map[string]jsonl.Value{
		"class": "send-setup", "tenant": "acme", "key": jsonl.Value("k" + id), "left": "8000", "token": jsonl.Value(trial.Token(id))}}))
	return c
}

func (s *takeoverFixture) resume(at *trial.Controller, id, token string, answered bool) *peer.Caller {
	s.Helper()
	c, err := peer.Call("tcp", at.Lines)
	s.must(err)
	s.Cleanup(func() { _ = c.Close() })
	fields := map[string]jsonl.Value{"token": jsonl.Value(token)}
	if answered {
		fields["answered"] = "1"
	}
	s.must(c.Send(jsonl.Message{Type: "resume", ID: id, Fields: fields}))
	return c
}

func (s *takeoverFixture) expect(c *peer.Caller, kind string) *jsonl.Message {
	s.Helper()
	m, err := c.Next()
	if err != nil || m.Type != kind {
		s.Fatalf("heard %+v, %v, want %s", m, err, kind)
	}
	return m
}

// newEstablishedCall has two controllers, and a call that stands at the first.
func newEstablishedCall(t *testing.T) (*takeoverFixture, *peer.Caller) {
	t.Helper()
	t.Parallel()
	s := newTakeoverFixture(t, 2, 0, "tcp")
	for _, d := range s.dispatchers {
		d.Act(true, false)
	}
	first := s.placeCall(s.Controllers[0], id(1))
	s.expect(first, "answer")
	return s, first
}

// TestACallerResumesAtAnotherController while its controller lives: it finds its call there, and is told its end there.
func TestACallerResumesAtAnotherController(t *testing.T) {
	s, first := newEstablishedCall(t)
	s.must(first.Close())
	begun := time.Now()
	second := s.resume(s.Controllers[1], id(1), trial.Token(id(1)), false)
	if m := s.expect(second, "answer"); m.Description() != trial.Description(id(1)) {
		t.Errorf("answer %q", m.Description())
	}
	t.Logf("after %v", time.Since(begun))
	for _, d := range s.dispatchers {
		if s.checker.Stands(id(1)) == d.Name {
			d.End(id(1))
		}
	}
	s.expect(second, "release")
	if given := takeoverStatus(s.Controllers[0]).Given; given != 1 {
		t.Errorf("n1 gave %d calls", given)
	}
}

// TestAResumeWithAnotherTokenIsRejected: who comes with another token is told that nothing is known, and the call goes on.
func TestAResumeWithAnotherTokenIsRejected(t *testing.T) {
	s, first := newEstablishedCall(t)
	stranger := s.resume(s.Controllers[1], id(1), "a token of somebody else", false)
	if m := s.expect(stranger, "release"); m.CauseOr(0) != 41 {
		t.Errorf("the stranger heard %+v", m)
	}
	if s.checker.Stands(id(1)) == "" {
		t.Error("the call was cut")
	}
	s.must(first.Release(id(1), 16))
	s.waitUntil("its caller ends it", func() bool { return s.checker.Stands(id(1)) == "" })
}

// TestTheAttemptOfAPausedControllerFailsOnce guards against an attempt whose controller stands still past its lease, and whose answer it finds as it
// goes on: its caller, who is elsewhere by then, is told once that it failed, the call that stands is cut, and the owner says nothing of it.
func TestTheAttemptOfAPausedControllerFailsOnce(t *testing.T) {
	t.Parallel()
	s := newTakeoverFixture(t, 2, 0, "tcp")
	n1, n2 := s.Controllers[0], s.Controllers[1]
	for _, d := range s.dispatchers {
		d.Act(false, true)
	}
	first := s.placeCall(n1, id(1))
	s.waitUntil("its attempt is out", func() bool { return s.checker.Out(id(1)) != "" })
	before := n1.Fleet().Incarnation
	n1.Pause()
	for _, d := range s.dispatchers {
		d.AnswerAll() // nobody reads that
	}
	s.waitSealed("n1", n2)
	second := s.resume(n2, id(1), trial.Token(id(1)), false)
	if m := s.expect(second, "release"); m.CauseOr(0) != 41 {
		t.Errorf("its caller heard %+v, want that it failed", m)
	}
	told := time.Now()
	s.waitUntil("it is cut", func() bool { return s.checker.Stands(id(1)) == "" })
	if took := time.Since(told); took > endDeliveryLimit {
		t.Errorf("it is cut %v after its caller was told", took)
	}

	n1.Resume()
	s.waitNewIncarnation(n1, before)
	if m, err := first.Next(); err == nil {
		t.Errorf("its owner said %+v as it went on", m)
	}
	if m, err := second.NextWithin(time.Second); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("its caller heard more: %+v, %v", m, err)
	}
	if faults, setUps, _ := s.checker.Verdict(); setUps != 1 || len(faults)+len(s.checker.Left()) > 0 {
		t.Errorf("%d set-ups, want one; faults %v, left %v", setUps, faults, s.checker.Left())
	}
}
