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

// fixture is a core with a fake caller and a fake dispatcher that check the rules of attempts. It runs on the core's
// event loop, so its times are those of the core.
type fixture struct {
	t          *testing.T
	core       *Core
	inProgress map[string]control.ServerID // the dispatcher of the attempt in progress, by call
	notBefore  map[string]time.Time        // the earliest time of the next attempt, by call
	rejections,
	answers, terminations map[string]int // messages to the caller, by call
	releases int
	drained  map[control.ServerID]bool
	setUps   int
	// neverSent is what CancelAttempt returns.
	neverSent bool
	pings     []func(replied bool)                   // outstanding probes
	onSetUp   func(server control.ServerID, a SetUp) // the behaviour of the dispatchers
	settings  *settings.Settings
}

func (s *fixture) Update(Update)                         {}
func (s *fixture) Release(control.ServerID, string, int) { s.releases++ }
func (s *fixture) Probe(control.ServerID)                {}
func (s *fixture) Answer(id, _ string) error             { s.answers[id]++; return nil }
func (s *fixture) End(id string, _ End)                  { s.rejections[id]++ }
func (s *fixture) Disconnected() bool                    { return false }
func (s *fixture) NotifyTerminated(id string, _ End)     { s.terminations[id]++ }
func (s *fixture) Reconnect(control.ServerID)            {}

// Ping stores the callback for the reply to a probe.
func (s *fixture) Ping(_ control.ServerID, _ string, _ int, done func(bool)) {
	s.pings = append(s.pings, done)
}

// completePings completes each outstanding probe: its reply has arrived, or the connection has ended.
func (s *fixture) completePings(replied bool) {
	pings := s.pings
	s.pings = nil
	for _, done := range pings {
		done(replied)
	}
}

func (s *fixture) CancelAttempt(_ control.ServerID, id string, _ int) bool {
	delete(s.inProgress, id)
	s.notBefore[id] = time.Now().Add(guard)
	return s.neverSent
}

func (s *fixture) SetUp(server control.ServerID, a SetUp) {
	if at, ok := s.inProgress[a.ID]; ok {
		s.t.Errorf("call %s is sent to %s while an attempt is in progress at %s", a.ID, server, at)
	}
	if wait := time.Until(s.notBefore[a.ID]); wait > 0 {
		s.t.Errorf("call %s is sent again %v too soon", a.ID, wait)
	}
	if s.drained[server] {
		s.t.Errorf("call %s is sent to %s, which drains", a.ID, server)
	}
	s.inProgress[a.ID] = server
	s.setUps++
	s.onSetUp(server, a)
}

// endAttempt ends an attempt without an answer, if it is still in progress.
func (s *fixture) endAttempt(server control.ServerID, a SetUp, o control.Outcome) {
	if s.inProgress[a.ID] != server {
		return
	}
	delete(s.inProgress, a.ID)
	if o == control.Reset {
		s.notBefore[a.ID] = time.Now().Add(guard)
	}
	s.core.AttemptEnded(server, a.ID, a.Attempt, o, false, nil)
}

// answerAttempt answers an attempt, if it is still in progress.
func (s *fixture) answerAttempt(server control.ServerID, a SetUp) {
	if s.inProgress[a.ID] == server {
		delete(s.inProgress, a.ID)
		s.core.Answered(server, a.ID, a.Attempt, "d")
	}
}

// guard is the least delay after an attempt that may have had an effect.
const guard = 60 * time.Millisecond

func newFixture(t *testing.T) *fixture {
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
	s := &fixture{t: t, core: core, settings: set, inProgress: map[string]control.ServerID{}, notBefore: map[string]time.Time{},
		rejections: map[string]int{}, answers: map[string]int{}, terminations: map[string]int{}, drained: map[control.ServerID]bool{}}
	core.SetDispatchers(s)
	return s
}

// updateList lists dispatchers with a status.
func (s *fixture) updateList(status control.ServerStatus, names ...control.ServerID) {
	var u Update
	for i, name := range names {
		u.Servers = append(u.Servers, Server{ServerEntry: control.ServerEntry{ID: name, Cell: i, Status: status}})
		s.drained[name] = status != control.Active
	}
	s.core.Update(u)
}

// TestEveryCallGetsOneFinalAnswer runs calls against dispatchers that do not answer, reset set-ups, refuse them, or
// answer them late or twice, and of which one drains half-way.
func TestEveryCallGetsOneFinalAnswer(t *testing.T) {
	s := newFixture(t)
	loop := s.core.Loop()
	s.onSetUp = func(server control.ServerID, a SetUp) {
		switch s.setUps % 5 {
		case 0: // no answer until long after the attempt was cancelled
			loop.After(700*time.Millisecond, func() { s.core.Answered(server, a.ID, a.Attempt, "late") })
		case 1:
			loop.After(5*time.Millisecond, func() { s.endAttempt(server, a, control.Reset) })
		case 2:
			loop.After(5*time.Millisecond, func() { s.endAttempt(server, a, control.Full) })
		default:
			loop.After(5*time.Millisecond, func() {
				if s.inProgress[a.ID] == server {
					delete(s.inProgress, a.ID)
				}
				s.core.Answered(server, a.ID, a.Attempt, "y")
				s.core.Answered(server, a.ID, a.Attempt, "y")
			})
		}
	}
	const calls = 120
	loop.Post(func() { s.updateList(control.Active, "a", "b", "c") })
	for i := range calls {
		loop.Post(func() {
			loop.After(time.Duration(i)*5*time.Millisecond, func() {
				_ = s.core.Offer(Request{ID: fmt.Sprint(i), Class: "c", FirstCell: i % 3, Deadline: time.Now().Add(500 * time.Millisecond), Caller: s})
			})
		})
	}
	loop.Post(func() {
		loop.After(300*time.Millisecond, func() { s.updateList(control.Draining, "a") })
		loop.After(2*time.Second, loop.Quit)
	})
	loop.Run()
	establishedCount := 0
	for i := range calls {
		id := fmt.Sprint(i)
		establishedCount += s.answers[id]
		if n := s.rejections[id] + s.answers[id]; n != 1 {
			t.Errorf("call %s has %d final answers", id, n)
		}
	}
	if establishedCount == 0 || establishedCount == calls {
		t.Errorf("%d of %d calls were established, want some", establishedCount, calls)
	}
}

// TestCallWithoutDispatcherIsRefusedAtOnce checks that a call that the module refuses is answered in the same event
// loop iteration.
func TestCallWithoutDispatcherIsRefusedAtOnce(t *testing.T) {
	s := newFixture(t)
	s.onSetUp = func(control.ServerID, SetUp) { t.Error("a call was sent where no dispatcher is known") }
	s.core.Update(Update{Complete: true})
	_ = s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s})
	s.core.finishIteration()
	if s.rejections["1"] != 1 {
		t.Error("a call that no dispatcher can accept is not refused in its first iteration")
	}
}

// TestTablesShrinkAfterCallsTerminate runs many calls, callers and dispatchers, and counts the entries that remain.
func TestTablesShrinkAfterCallsTerminate(t *testing.T) {
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		delete(s.inProgress, a.ID)
		s.core.Answered(server, a.ID, a.Attempt, "y")
		s.core.Released(server, a.ID, a.Attempt, CauseNormal, nil)
	}
	for i := range 500 {
		s.updateList(control.Active, control.ServerID(fmt.Sprint("s", i)))
		caller := &fixture{t: t, answers: map[string]int{}, rejections: map[string]int{}, terminations: map[string]int{}}
		_ = s.core.Offer(Request{ID: fmt.Sprint("a", i), Class: "c", Deadline: time.Now().Add(time.Minute), Caller: caller, Description: "x"})
		_ = s.core.Offer(Request{ID: fmt.Sprint("b", i), Class: "c", Deadline: time.Now().Add(time.Minute), Caller: caller, Description: "x"})
		s.core.CallerDisconnected(caller)
		s.core.finishIteration()
		s.core.Update(Update{Servers: []Server{{ServerEntry: control.ServerEntry{ID: control.ServerID(fmt.Sprint("s", i)), Status: control.Removed}}}})
	}
	for _, k := range s.core.recentlyTerminated.all() {
		k.terminatedAt = k.terminatedAt.Add(-retentionPeriod) // as if it had terminated earlier
	}
	_ = s.core.Offer(Request{ID: "last", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	s.core.CallerReleased(s, "last", CauseNormal)
	got := map[string]int{"calls": len(s.core.calls), "terminated": len(s.core.recentlyTerminated.all()),
		"callers": len(s.core.pendingByCaller) + len(s.core.establishedByCaller), "status": len(s.core.serverStatus),
		"pending": s.core.pendingCount, "descriptions": s.core.descriptionBytes, "timers": len(s.core.loop.timers)}
	want := map[string]int{"calls": 1, "terminated": 1, "callers": 0, "status": 0, "pending": 0, "descriptions": 0, "timers": 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("entries that remain (-want +got):\n%s", diff)
	}
}

// TestALateAnswerDoesNotReleaseTheNextAttempt guards against a release that ends the wrong call. A set-up was reset
// with its connection, and a second attempt at the same dispatcher was in progress when the first one's answer arrived
// after all. The call was released under the id that both attempts share, which ended the call that the second attempt
// established, and its caller was never notified.
func TestALateAnswerDoesNotReleaseTheNextAttempt(t *testing.T) {
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			delete(s.inProgress, a.ID)
			s.notBefore[a.ID] = time.Now().Add(guard)
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
		s.updateList(control.Active, "a")
		_ = s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().Run()
	got := map[string]int{"set-ups": s.setUps, "answers": s.answers["1"], "terminations": s.terminations["1"],
		"rejections": s.rejections["1"], "releases": s.releases}
	if diff := cmp.Diff(map[string]int{"set-ups": 2, "answers": 1, "terminations": 1, "rejections": 0, "releases": 0}, got); diff != "" {
		t.Errorf("outcome of the call (-want +got):\n%s", diff)
	}
}

// TestTheEndOfACallWhoseAnswerIsMissing guards against another attempt for a call that its dispatcher released before
// its answer arrived. The second attempt established the call, so the caller was not notified in time that the first
// call had ended.
func TestTheEndOfACallWhoseAnswerIsMissing(t *testing.T) {
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		s.core.Released(server, a.ID, a.Attempt, CauseNormal, nil)
		s.core.Loop().After(2*guard, func() {
			s.core.Answered(server, a.ID, a.Attempt, "late")
			s.core.Loop().Quit()
		})
	}
	s.core.Loop().Post(func() {
		s.updateList(control.Active, "a")
		_ = s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().Run()
	got := map[string]int{"set-ups": s.setUps, "answers": s.answers["1"], "terminations": s.terminations["1"], "rejections": s.rejections["1"]}
	if diff := cmp.Diff(map[string]int{"set-ups": 1, "answers": 0, "terminations": 0, "rejections": 1}, got); diff != "" {
		t.Errorf("outcome of the call (-want +got):\n%s", diff)
	}
}

// TestAnEndingProcessServesAgainWithoutSuccessor checks that a process that drains only for its successor serves again
// when the successor has ended, and that one whose drain was requested does not.
func TestAnEndingProcessServesAgainWithoutSuccessor(t *testing.T) {
	for _, test := range []struct {
		requested bool
		want      bool
	}{{false, true}, {true, false}} {
		s := newFixture(t)
		c := s.core
		c.Update(Update{Complete: true})
		c.DispatcherReached()
		c.Supersede(func(string, End) bool { return true })
		if c.Ready() || c.Phase() != Closing {
			t.Errorf("with a successor: ready %v in phase %v", c.Ready(), c.Phase())
		}
		c.drainForSuccessor(c.supersededAt)
		if test.requested {
			c.Drain()
		}
		c.SuccessorEnded()
		if got := c.Ready(); got != test.want {
			t.Errorf("drain requested: %v; ready: %v", test.requested, got)
		}
	}
}
