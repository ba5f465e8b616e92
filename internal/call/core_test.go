package call

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"

	"cherryrelay/control"
	"cherryrelay/internal/settings"
)

// site stands in for callers and dispatchers, and keeps the rules' books: it runs on the core's loop, so its times are
// those of the core.
type site struct {
	t     *testing.T
	core  *Core
	out   map[string]control.ServerID
	ready map[string]time.Time
	finals,
	answers, overs map[string]int
	releases int
	drained  map[control.ServerID]bool
	setUps   int
	pings    []func(replied bool)
	react    func(server control.ServerID, a SetUp)
	settings *settings.Settings
}

func (s *site) Update(Update)                         {}
func (s *site) Release(control.ServerID, string, int) { s.releases++ }
func (s *site) Probe(control.ServerID)                {}
func (s *site) Answer(id, _ string) error             { s.answers[id]++; return nil }
func (s *site) End(id string, _ End)                  { s.finals[id]++ }
func (s *site) Disconnected() bool                    { return false }
func (s *site) NotifyTerminated(id string, _ End)     { s.overs[id]++ }
func (s *site) Reconnect(control.ServerID)            {}

// Ping keeps what is to be called as the reply to a probe comes.
func (s *site) Ping(_ control.ServerID, _ string, _ int, done func(bool)) {
	s.pings = append(s.pings, done)
}

// pinged tells of each probe that its reply has come, or that the connection has ended.
func (s *site) pinged(replied bool) {
	pings := s.pings
	s.pings = nil
	for _, done := range pings {
		done(replied)
	}
}

func (s *site) CancelAttempt(_ control.ServerID, id string, _ int) {
	delete(s.out, id)
	s.ready[id] = time.Now().Add(guard)
}

func (s *site) SetUp(server control.ServerID, a SetUp) {
	if at, ok := s.out[a.ID]; ok {
		s.t.Errorf("call %s goes to %s while it is out at %s", a.ID, server, at)
	}
	if early := time.Until(s.ready[a.ID]); early > 0 {
		s.t.Errorf("call %s goes out again %v too soon", a.ID, early)
	}
	if s.drained[server] {
		s.t.Errorf("call %s goes to %s, which drains", a.ID, server)
	}
	s.out[a.ID] = server
	s.setUps++
	s.react(server, a)
}

// ended has an attempt end without an answer, if it is still out.
func (s *site) ended(server control.ServerID, a SetUp, o control.Outcome) {
	if s.out[a.ID] != server {
		return
	}
	delete(s.out, a.ID)
	if o == control.Reset {
		s.ready[a.ID] = time.Now().Add(guard)
	}
	s.core.AttemptEnded(server, a.ID, a.Attempt, o, false, nil)
}

// answered has an attempt answered, if it is still out.
func (s *site) answered(server control.ServerID, a SetUp) {
	if s.out[a.ID] == server {
		delete(s.out, a.ID)
		s.core.Answered(server, a.ID, a.Attempt, "d")
	}
}

const guard = 60 * time.Millisecond

func newSite(t *testing.T) *site {
	t.Helper()
	set := new(settings.Settings)
	if err := jsoniter.UnmarshalFromString(fmt.Sprintf(`{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,
"sendCap":5},"familyInfo":{"guardUs":%d,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,
"report":{"fields":["idle"]},"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like",
"worth":1}],"resolutionUs":5000,"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`, guard.Microseconds()), set); err != nil {
		t.Fatal(err)
	}
	core, err := New(NewLoop(), slog.New(slog.DiscardHandler), set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, core: core, settings: set, out: map[string]control.ServerID{}, ready: map[string]time.Time{}, finals: map[string]int{},
		answers: map[string]int{}, overs: map[string]int{}, drained: map[control.ServerID]bool{}}
	core.SetDispatchers(s)
	return s
}

func (s *site) list(status control.ServerStatus, names ...control.ServerID) {
	var u Update
	for i, name := range names {
		u.Servers = append(u.Servers, Server{ServerEntry: control.ServerEntry{ID: name, Cell: i, Status: status}})
		s.drained[name] = status != control.Active
	}
	s.core.Update(u)
}

// TestEveryCallIsAnsweredOnceAndByTheRules has dispatchers that are silent, break set-ups, refuse them, or answer them
// late and twice, and one that drains half-way.
func TestEveryCallIsAnsweredOnceAndByTheRules(t *testing.T) {
	s := newSite(t)
	loop := s.core.Loop()
	s.react = func(server control.ServerID, a SetUp) {
		switch s.setUps % 5 {
		case 0: // silent, but for an answer when it has long been withdrawn
			loop.After(700*time.Millisecond, func() { s.core.Answered(server, a.ID, a.Attempt, "late") })
		case 1:
			loop.After(5*time.Millisecond, func() { s.ended(server, a, control.Reset) })
		case 2:
			loop.After(5*time.Millisecond, func() { s.ended(server, a, control.Full) })
		default:
			loop.After(5*time.Millisecond, func() {
				if s.out[a.ID] == server {
					delete(s.out, a.ID)
				}
				s.core.Answered(server, a.ID, a.Attempt, "y")
				s.core.Answered(server, a.ID, a.Attempt, "y")
			})
		}
	}
	const calls = 120
	loop.Post(func() { s.list(control.Active, "a", "b", "c") })
	for i := range calls {
		loop.Post(func() {
			loop.After(time.Duration(i)*5*time.Millisecond, func() {
				_ = s.core.Offer(Request{ID: fmt.Sprint(i), Class: "c", FirstCell: i % 3, Deadline: time.Now().Add(500 * time.Millisecond), Caller: s})
			})
		})
	}
	loop.Post(func() {
		loop.After(300*time.Millisecond, func() { s.list(control.Draining, "a") })
		loop.After(2*time.Second, loop.Quit)
	})
	loop.Run()
	stood := 0
	for i := range calls {
		id := fmt.Sprint(i)
		stood += s.answers[id]
		if n := s.finals[id] + s.answers[id]; n != 1 {
			t.Errorf("call %s has %d final answers", id, n)
		}
	}
	if stood == 0 || stood == calls {
		t.Errorf("%d of %d calls stood, want some", stood, calls)
	}
}

// TestAHeldCallIsRefusedAtOnce: what the module gives up on is answered in the same turn, with a time to come back.
func TestAHeldCallIsRefusedAtOnce(t *testing.T) {
	s := newSite(t)
	s.react = func(control.ServerID, SetUp) { t.Error("a call was sent where no dispatcher is known") }
	s.core.Update(Update{Complete: true})
	_ = s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s})
	s.core.turn()
	if s.finals["1"] != 1 {
		t.Error("a call that no dispatcher can take is not refused in its first turn")
	}
}

// TestNothingIsKeptOfYesterday runs many calls, callers and dispatchers through, and counts what is kept.
func TestNothingIsKeptOfYesterday(t *testing.T) {
	s := newSite(t)
	s.react = func(server control.ServerID, a SetUp) {
		delete(s.out, a.ID)
		s.core.Answered(server, a.ID, a.Attempt, "y")
		s.core.Released(server, a.ID, a.Attempt, CauseNormal, nil)
	}
	for i := range 500 {
		s.list(control.Active, control.ServerID(fmt.Sprint("s", i)))
		caller := &site{t: t, answers: map[string]int{}, finals: map[string]int{}, overs: map[string]int{}}
		_ = s.core.Offer(Request{ID: fmt.Sprint("a", i), Class: "c", Deadline: time.Now().Add(time.Minute), Caller: caller, Description: "x"})
		_ = s.core.Offer(Request{ID: fmt.Sprint("b", i), Class: "c", Deadline: time.Now().Add(time.Minute), Caller: caller, Description: "x"})
		s.core.CallerDisconnected(caller)
		s.core.turn()
		s.core.Update(Update{Servers: []Server{{ServerEntry: control.ServerEntry{ID: control.ServerID(fmt.Sprint("s", i)), Status: control.Removed}}}})
	}
	for _, k := range s.core.ended {
		k.overAt = k.overAt.Add(-remember) // as if it were later
	}
	_ = s.core.Offer(Request{ID: "last", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	s.core.CallerReleased(s, "last", CauseNormal)
	got := map[string]int{"calls": len(s.core.calls), "ended": len(s.core.ended), "owing": len(s.core.owing) + len(s.core.standing), "status": len(s.core.status),
		"owed": s.core.owed, "held": s.core.held, "timers": len(s.core.loop.timers)}
	want := map[string]int{"calls": 1, "ended": 1, "owing": 0, "status": 0, "owed": 0, "held": 0, "timers": 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("kept (-want +got):\n%s", diff)
	}
}

// TestALateAnswerDoesNotCutTheNextAttempt: a set-up was reset with its link, and a second attempt at the same
// dispatcher was out when the first one's answer came after all. It was released, under the id of both: the call that
// stood then was over, and its caller never heard of that.
func TestALateAnswerDoesNotCutTheNextAttempt(t *testing.T) {
	s := newSite(t)
	s.react = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			delete(s.out, a.ID)
			s.ready[a.ID] = time.Now().Add(guard)
			s.core.AttemptEnded(server, a.ID, 0, control.Reset, false, nil)
			return
		}
		s.core.Answered(server, a.ID, 0, "late")
		s.core.Released(server, a.ID, 0, CauseNormal, nil)
		s.core.Answered(server, a.ID, 1, "y")
		s.core.Answered(server, a.ID, 0, "late")
		s.core.Released(server, a.ID, 1, CauseNormal, nil)
		s.core.Loop().Quit()
	}
	s.core.Loop().Post(func() {
		s.list(control.Active, "a")
		_ = s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().Run()
	got := map[string]int{"set-ups": s.setUps, "answers": s.answers["1"], "overs": s.overs["1"], "finals": s.finals["1"], "releases": s.releases}
	if diff := cmp.Diff(map[string]int{"set-ups": 2, "answers": 1, "overs": 1, "finals": 0, "releases": 0}, got); diff != "" {
		t.Errorf("what the call came to (-want +got):\n%s", diff)
	}
}

// TestTheEndOfACallWhoseAnswerIsMissing: a dispatcher released a call whose answer had not come. It was set up again, and as
// it stood then, its caller was not told in time that it had been over.
func TestTheEndOfACallWhoseAnswerIsMissing(t *testing.T) {
	s := newSite(t)
	s.react = func(server control.ServerID, a SetUp) {
		s.core.Released(server, a.ID, a.Attempt, CauseNormal, nil)
		s.core.Loop().After(2*guard, func() {
			s.core.Answered(server, a.ID, a.Attempt, "late")
			s.core.Loop().Quit()
		})
	}
	s.core.Loop().Post(func() {
		s.list(control.Active, "a")
		_ = s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().Run()
	got := map[string]int{"set-ups": s.setUps, "answers": s.answers["1"], "overs": s.overs["1"], "finals": s.finals["1"]}
	if diff := cmp.Diff(map[string]int{"set-ups": 1, "answers": 0, "overs": 0, "finals": 1}, got); diff != "" {
		t.Errorf("what the call came to (-want +got):\n%s", diff)
	}
}

// TestAnEndForASuccessorsSake: a process that ends only because it has a successor serves on when that is gone. One that is
// to end, ends.
func TestAnEndForASuccessorsSake(t *testing.T) {
	for _, test := range []struct {
		asked bool
		want  bool
	}{{false, true}, {true, false}} {
		s := newSite(t)
		c := s.core
		c.Update(Update{Complete: true})
		c.DispatcherReached()
		c.Supersede(func(string, End) bool { return true })
		if c.Ready() || c.Phase() != Closing {
			t.Errorf("with a successor: ready %v in phase %v", c.Ready(), c.Phase())
		}
		c.endForSuccessor(c.superseded)
		if test.asked {
			c.Drain()
		}
		c.SuccessorEnded()
		if got := c.Ready(); got != test.want {
			t.Errorf("asked to end: %v; ready: %v", test.asked, got)
		}
	}
}
