package main

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/lists"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/takeover"
	"cherryrelay/internal/trial"
)

// takeoverFixture is a fleet whose controllers keep their ledgers in one directory, under load by callers that reconnect to any controller.
type takeoverFixture struct {
	*fleetFixture
	checker     *trial.CallChecker
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
		c := &trial.Caller{Transport: transport, Addresses: fronts, FirstCall: (i + 1) << 32, Window: window, Checker: s.checker}
		c.StartAt(i)
		s.callers = append(s.callers, c)
		s.calling.Go(func() { c.Run(s.done) })
	}
	return s
}

func (s *takeoverFixture) fronts(transport string) []string {
	var all []string
	for _, c := range s.Controllers {
		if transport == "ws" {
			all = append(all, c.APIAddress)
		} else {
			all = append(all, c.LinesAddress)
		}
	}
	return all
}

// finish waits for the callers to finish and checks all calls: every caller gets its answer and its end, no call is left at a dispatcher,
// and no accepted call is reported as unknown.
func (s *takeoverFixture) finish() map[string]int {
	s.Helper()
	close(s.done)
	s.calling.Wait()
	checkAllAnswered(s.T, s.checker)
	violations, _, finals := s.checker.Results()
	unanswered, undelivered := s.checker.Unfinished()
	if len(violations)+len(unanswered)+len(undelivered) > 0 {
		s.Errorf("violations %v, without an answer %v, without an end %v, with the last steps %q", violations, unanswered, undelivered, s.LastSteps(undelivered))
	}
	s.waitUntil("nothing is left at the dispatchers", func() bool { return len(s.checker.Remaining()) == 0 })
	s.Log(finals)
	return finals
}

// takeoverStatus returns the takeovers that a controller reports.
func takeoverStatus(c *trial.Controller) (s takeover.Status) {
	_, _ = c.Get(takeover.Path, &s) // a controller that does not answer counts as one without takeovers
	return s
}

// waitSealed waits until one of the controllers has taken over the ledger of a terminated one.
func (s *takeoverFixture) waitSealed(name string, by ...*trial.Controller) {
	s.Helper()
	s.waitUntil("the ledger of "+name+" is taken over", func() bool {
		for _, c := range by {
			for _, notified := range takeoverStatus(c).Takeovers {
				if notified.Name == name {
					return true
				}
			}
		}
		return false
	})
}

// TestALostControllersCallsGoOn: one of three controllers is killed for good under load, over each front. Its callers reconnect to the
// others and find every call: pending calls are answered, and the ends of established calls are delivered.
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

// TestTheControllerThatTookOverIsKilledToo: all but one of four are killed in quick succession, so that a controller is lost together with
// the calls that it took over.
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
		t.Errorf("the last controller reports %+v", shown)
	}
}

// TestAPausedControllerRestartsAfterTakeover: a controller under load is paused for longer than its lease and then continues with its old
// state. Others have taken over its calls by then, so it must restart without them.
func TestAPausedControllerRestartsAfterTakeover(t *testing.T) {
	runTakeoverOfLiveController(t, func(s *takeoverFixture, n1 *trial.Controller) { n1.Pause() }, func(s *takeoverFixture, n1 *trial.Controller) { n1.Resume() })
}

// runTakeoverOfLiveController disturbs the first of three controllers under load until its ledger is taken over, and then ends the
// disturbance. The controller must restart, and no call may suffer.
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

// TestAControllerCutOffFromTheStoreRestarts: a controller that reaches its callers, dispatchers and files, but not the store, is taken over
// when its lease has expired. It must notice that before it sends another message.
func TestAControllerCutOffFromTheStoreRestarts(t *testing.T) {
	runTakeoverOfLiveController(t, func(s *takeoverFixture, _ *trial.Controller) {
		s.Net.Partition([]string{"n1"}, []string{trial.StoreName})
	},
		func(s *takeoverFixture, _ *trial.Controller) { s.Net.Heal() })
}

// TestTheStoreIsLost: no controller can be known to have ended, so none is taken over, and calls continue.
func TestTheStoreIsLost(t *testing.T) {
	t.Parallel()
	s := newTakeoverFixture(t, 3, 8, "tcp")
	s.StopStore()
	time.Sleep(3 * time.Second) // three leases
	s.must(s.StartStore())
	s.waitAllServing(s.Controllers...)
	for _, c := range s.Controllers {
		if shown := takeoverStatus(c); shown.Sealed > 0 {
			t.Errorf("%s reports %+v", c.Name, shown)
		}
	}
	time.Sleep(time.Second)
	s.finish()
}

// placeCall places a call at a controller on a new connection.
func (s *takeoverFixture) placeCall(at *trial.Controller, id string) *peer.Caller {
	s.Helper()
	c, err := peer.DialCaller("tcp", at.LinesAddress)
	s.must(err)
	s.Cleanup(func() { _ = c.Close() })
	s.checker.CallPlaced(id, time.Now())
	x := "x"
	s.must(c.Send(jsonl.Message{Type: "setup", ID: id, SDP: &x, Fields: map[string]jsonl.Value{
		"class": "send-setup", "tenant": "acme", "key": jsonl.Value("k" + id), "left": "8000", "token": jsonl.Value(trial.Token(id))}}))
	return c
}

func (s *takeoverFixture) resume(at *trial.Controller, id, token string, answered bool) *peer.Caller {
	s.Helper()
	c, err := peer.DialCaller("tcp", at.LinesAddress)
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
		s.Fatalf("got %+v, %v, want %s", m, err, kind)
	}
	return m
}

// newEstablishedCall returns a fixture of two controllers, with a call established at the first.
func newEstablishedCall(t *testing.T) (*takeoverFixture, *peer.Caller) {
	t.Helper()
	t.Parallel()
	s := newTakeoverFixture(t, 2, 0, "tcp")
	for _, d := range s.dispatchers {
		d.SetBehavior(true, false)
	}
	first := s.placeCall(s.Controllers[0], id(1))
	s.expect(first, "answer")
	return s, first
}

// TestACallerResumesAtAnotherController: a caller resumes its call while the first controller is alive, and its end is delivered at the
// other.
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
		if s.checker.EstablishedAt(id(1)) == d.Name {
			d.EndCall(id(1))
		}
	}
	s.expect(second, "release")
	if transferred := takeoverStatus(s.Controllers[0]).Transferred; transferred != 1 {
		t.Errorf("n1 transferred %d calls, want 1", transferred)
	}
}

// TestAResumeWithAnotherTokenIsRejected: a resume request with another token is answered as unknown, and the call continues.
func TestAResumeWithAnotherTokenIsRejected(t *testing.T) {
	s, first := newEstablishedCall(t)
	stranger := s.resume(s.Controllers[1], id(1), "a token of somebody else", false)
	if m := s.expect(stranger, "release"); m.CauseOr(0) != 41 {
		t.Errorf("the caller with another token got %+v", m)
	}
	if s.checker.EstablishedAt(id(1)) == "" {
		t.Error("the call was cut")
	}
	s.must(first.Release(id(1), 16))
	s.waitUntil("its caller ends it", func() bool { return s.checker.EstablishedAt(id(1)) == "" })
}

// TestTheAttemptOfAPausedControllerFailsOnce guards against an attempt whose controller is paused past its lease and finds the answer when
// it continues: its caller, now at another controller, is notified once of the failure, the established call is cut, and the paused
// controller sends no message.
func TestTheAttemptOfAPausedControllerFailsOnce(t *testing.T) {
	t.Parallel()
	s := newTakeoverFixture(t, 2, 0, "tcp")
	n1, n2 := s.Controllers[0], s.Controllers[1]
	for _, d := range s.dispatchers {
		d.SetBehavior(false, true)
	}
	first := s.placeCall(n1, id(1))
	s.waitUntil("its attempt is in progress", func() bool { return s.checker.AttemptAt(id(1)) != "" })
	before := n1.Fleet().Incarnation
	n1.Pause()
	for _, d := range s.dispatchers {
		d.AnswerPending() // unread by the paused controller
	}
	s.waitSealed("n1", n2)
	second := s.resume(n2, id(1), trial.Token(id(1)), false)
	if m := s.expect(second, "release"); m.CauseOr(0) != 41 {
		t.Errorf("its caller got %+v, want a failure", m)
	}
	notifiedAt := time.Now()
	s.waitUntil("the call is cut", func() bool { return s.checker.EstablishedAt(id(1)) == "" })
	if took := time.Since(notifiedAt); took > endDeliveryLimit {
		t.Errorf("the call is cut %v after its caller was notified", took)
	}

	n1.Resume()
	s.waitNewIncarnation(n1, before)
	if m, err := first.Next(); err == nil {
		t.Errorf("the paused controller sent %+v when it continued", m)
	}
	if m, err := second.NextWithin(time.Second); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("its caller got another message: %+v, %v", m, err)
	}
	if violations, setUps, _ := s.checker.Results(); setUps != 1 || len(violations)+len(s.checker.Remaining()) > 0 {
		t.Errorf("%d set-ups, want one; violations %v, left %v", setUps, violations, s.checker.Remaining())
	}
}

// TestATakenOverCallStandsAtAnUnlistedDispatcher guards against a call that is told as over by the controller that has taken it over, as
// that one's list does not name its dispatcher yet.
func TestATakenOverCallStandsAtAnUnlistedDispatcher(t *testing.T) {
	t.Parallel()
	s := newTakeoverFixture(t, 2, 0, "tcp")
	n1, n2, d3 := s.Controllers[0], s.Controllers[1], s.dispatchers[2]
	for _, d := range s.dispatchers {
		d.SetBehavior(true, false)
	}
	s.removeFromList(n1, d3.Name)
	var at int
	s.waitUntil("a call is established at d3", func() bool {
		at++
		s.expect(s.placeCall(n2, id(at)), "answer")
		return s.checker.EstablishedAt(id(at)) == d3.Name
	})
	s.must(n2.Kill())
	s.waitSealed("n2", n1)
	second := s.resume(n1, id(at), trial.Token(id(at)), true)
	s.expectNothing(second)
	d3.EndCall(id(at))
	if m := s.expect(second, "release"); m.CauseOr(0) != 16 {
		t.Errorf("the caller got %+v", m)
	}
}

// removeFromList removes a dispatcher from the pool file of a controller.
func (s *takeoverFixture) removeFromList(c *trial.Controller, dispatcher string) {
	s.Helper()
	path := filepath.Join(s.directory, c.Name, "pool.ini")
	text, err := os.ReadFile(path)
	s.must(err)
	members := slices.DeleteFunc(poolfile.Parse(text, nil).Servers, func(m pool.Member) bool { return string(m.ID) == dispatcher })
	s.must(os.WriteFile(path+".new", poolfile.Encode("without "+dispatcher, members), 0o600))
	s.must(os.Rename(path+".new", path))
	s.waitUntil(c.Name+" has the new list", func() bool {
		var state lists.State
		_, err := c.Get(lists.StatePath, &state)
		return err == nil && state.Servers == len(members)
	})
}

// expectNothing requires that a caller has got no message by the answer to a ping.
func (s *takeoverFixture) expectNothing(c *peer.Caller) {
	s.Helper()
	s.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
	s.expect(c, "pong")
}
