package call

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/takeover"
)

// repetitionClass is a kind of class, with what callers may be told of its calls.
type repetitionClass struct {
	idempotency control.Idempotency
	scope       control.DedupScope
	// refusable reports whether a call that may have run may be refused.
	refusable bool
}

var repetitionClasses = map[string]repetitionClass{
	"read_like":             {control.Idempotent, control.DedupAll, true},
	"idempotency_key, all":  {control.IdempotentByKey, control.DedupAll, true},
	"idempotency_key, zone": {control.IdempotentByKey, control.DedupZone, false},
	"idempotency_key, cell": {control.IdempotentByKey, control.DedupCell, false},
	"non_idempotent":        {control.NonIdempotent, control.DedupAll, false},
}

// opposite returns the semantics of a class whose calls may be refused if those of this class may not, and vice versa.
func (c repetitionClass) opposite() string {
	if c.refusable {
		return "non_idempotent"
	}
	return "read_like"
}

// attemptHistory is what has become of the attempts of a pending call.
type attemptHistory struct {
	play       func(f *refusalFixture)
	mayHaveRun bool
	inProgress bool
}

var attemptHistories = map[string]attemptHistory{
	"no attempt yet": {play: func(*refusalFixture) {}},
	"one in progress": {func(f *refusalFixture) {
		f.startAttempt()
	}, true, true},
	"one that never ran": {func(f *refusalFixture) {
		f.startAttempt()
		f.endAttempt("a", SetUp{ID: refusalCallID, Attempt: 0}, control.Full)
	}, false, false},
	"one that was cancelled before it was sent": {func(f *refusalFixture) {
		f.startAttempt()
		f.neverSent = true
		f.core.perform(control.Cancel{ID: refusalCallID})
		f.neverSent = false
	}, false, false},
	"one in the write queue": {func(f *refusalFixture) {
		f.startAttempt()
		f.neverSent = true
	}, false, true},
	"one that was cancelled": {func(f *refusalFixture) {
		f.startAttempt()
		f.core.perform(control.Cancel{ID: refusalCallID})
	}, true, false},
	"one that timed out": {func(f *refusalFixture) {
		f.startAttempt()
		f.core.calls[refusalCallID].attemptTimer.f()
	}, true, false},
	"one that failed": {func(f *refusalFixture) {
		f.startAttempt()
		f.endAttempt("a", SetUp{ID: refusalCallID, Attempt: 0}, control.Failed)
	}, true, false},
	"one that may have run, and one that never did": {func(f *refusalFixture) {
		f.startAttempt()
		f.endAttempt("a", SetUp{ID: refusalCallID, Attempt: 0}, control.Reset)
		f.startAttempt()
		f.endAttempt("a", SetUp{ID: refusalCallID, Attempt: 1}, control.Unreachable)
	}, true, false},
}

// ending is a way in which a pending call gets its final answer without an answer of a dispatcher.
type ending struct {
	play func(f *refusalFixture)
	// refuses reports whether the caller is refused, where the class and the attempts allow that.
	refuses func(class repetitionClass, history attemptHistory) bool
	// elsewhere reports whether another controller may start an attempt.
	elsewhere bool
}

func always(repetitionClass, attemptHistory) bool { return true }

// afterRestart is for endings in another process, which does not know when earlier attempts ran, and what became of one
// that was in progress.
func afterRestart(class repetitionClass, history attemptHistory) bool {
	return class.idempotency == control.Idempotent || !history.mayHaveRun && !history.inProgress
}

var endings = map[string]ending{
	"drain": {play: func(f *refusalFixture) { f.core.rejectPending() }, refuses: always},
	"hand-over": {play: func(f *refusalFixture) {
		f.core.Supersede(func(string, End) bool { return true })
		f.core.drainForSuccessor(f.core.supersededAt)
		f.core.rejectPending()
	}, refuses: always},
	"deadline": {play: func(f *refusalFixture) { f.core.calls[refusalCallID].deadlineTimer.f() }, refuses: always},
	"refusal of the module": {play: func(f *refusalFixture) {
		f.core.perform(control.Cancel{ID: refusalCallID, Attempt: f.core.calls[refusalCallID].attempts - 1}) // it refuses held calls only
		f.core.perform(control.Refuse{ID: refusalCallID})
	}, refuses: always},
	"invalid message": {play: func(f *refusalFixture) { f.core.CallerProtocolError(f.caller) },
		refuses: func(repetitionClass, attemptHistory) bool { return false }},
	"transfer to another controller": {play: func(f *refusalFixture) {
		f.core.UseFinder(&transferCounter{}, func() bool { return true }, func(error) {})
		query := takeover.Query{Token: recovery.HashToken(callToken), FirstSeen: time.Now()}
		f.core.TransferRequested(map[string]takeover.Query{refusalCallID: query})
		f.core.rejectPending()
	}, refuses: func(class repetitionClass, _ attemptHistory) bool { return class.refusable }, elsewhere: true},
	"a reload that changes the class, and a drain": {play: func(f *refusalFixture) {
		f.reload("c", f.class.opposite())
		f.core.rejectPending()
	}, refuses: always},
	"a reload that changes the class, and the deadline": {play: func(f *refusalFixture) {
		f.reload("c", f.class.opposite())
		f.core.calls[refusalCallID].deadlineTimer.f()
	}, refuses: always},
	"a reload that drops the class, and a drain": {play: func(f *refusalFixture) {
		f.reload("another", "read_like")
		f.core.rejectPending()
	}, refuses: always},
	"a reload that drops the class, and the deadline": {play: func(f *refusalFixture) {
		f.reload("another", "read_like")
		f.core.calls[refusalCallID].deadlineTimer.f()
	}, refuses: always},
	"recovery": {play: func(f *refusalFixture) {
		events := f.core.recoveryCall(f.core.calls[refusalCallID]).Events()
		f.replaceCore()
		table := recovery.NewCallTable()
		for _, e := range events {
			table.Apply(e)
		}
		f.core.Recover(table, nil)
		f.resume()
		f.core.rejectPending()
	}, refuses: afterRestart},
	"recovery by a process with another class of that name": {play: func(f *refusalFixture) {
		events := f.core.recoveryCall(f.core.calls[refusalCallID]).Events()
		f.replaceCore()
		f.reload("c", f.class.opposite())
		table := recovery.NewCallTable()
		for _, e := range events {
			table.Apply(e)
		}
		f.core.Recover(table, nil)
		f.resume()
		f.core.rejectPending()
	}, refuses: func(_ repetitionClass, history attemptHistory) bool {
		return !history.mayHaveRun && !history.inProgress
	}},
	"takeover by another controller": {play: func(f *refusalFixture) {
		events := f.core.recoveryCall(f.core.calls[refusalCallID]).Events()
		f.replaceCore()
		f.core.UseFinder(stubFinder{}, func() bool { return true }, func(error) {})
		f.resume()
		f.core.CallReceived(&takeover.Call{Events: events, LastAliveUs: f.core.now().Microseconds()}, -1)
		f.core.rejectPending()
	}, refuses: afterRestart},
}

const refusalCallID = "00000000000000ab"

// refusalFixture is a core with one pending call.
type refusalFixture struct {
	*fixture
	class  repetitionClass
	caller *lastEndCaller
}

func newRefusalFixture(t *testing.T, class repetitionClass) *refusalFixture {
	t.Helper()
	f := &refusalFixture{class: class}
	f.fixture = newFixture(t)
	f.configure()
	if err := f.core.Offer(Request{ID: refusalCallID, Class: "c", TimeLeft: 9 * time.Second, Deadline: time.Now().Add(9 * time.Second), Caller: f.caller,
		Token: recovery.HashToken(callToken), Description: "x"}); err != nil {
		t.Fatal(err)
	}
	return f
}

// configure prepares a new core.
func (f *refusalFixture) configure() {
	class := &f.core.decisions.Classes[0]
	class.Idempotency, class.DedupScope, class.DedupWindow = f.class.idempotency, f.class.scope, time.Minute
	f.onSetUp = func(control.ServerID, SetUp) {}
	f.updateList(control.Active, "a")
	f.caller = &lastEndCaller{fixture: f.fixture}
}

// replaceCore continues with the core of another process.
func (f *refusalFixture) replaceCore() {
	f.fixture = newFixture(f.t)
	f.configure()
}

// reload applies settings whose only class has the name and the semantics.
func (f *refusalFixture) reload(name, semantics string) {
	f.t.Helper()
	changed := *f.settings
	changed.RequestClasses = slices.Clone(changed.RequestClasses)
	changed.RequestClasses[0].Name, changed.RequestClasses[0].Semantics = name, semantics
	f.core.events = nil // the module must not act on the call
	if err := f.core.Reconfigure(&changed); err != nil {
		f.t.Fatal(err)
	}
}

// startAttempt starts an attempt in place of the module, which does not run.
func (f *refusalFixture) startAttempt() {
	delete(f.notBefore, refusalCallID) // the guard is the module's to keep
	f.core.perform(control.SetUp{ID: refusalCallID, Server: "a"})
}

// resume resumes the call for its caller.
func (f *refusalFixture) resume() {
	f.t.Helper()
	if err := f.core.ResumeCall(ResumeRequest{Caller: f.caller, ID: refusalCallID, Token: callToken}); err != nil {
		f.t.Fatal(err)
	}
}

// TestCallsThatMayHaveRunAreNotRefused guards against a refusal, which tells a caller that another try does no harm, of
// a call that may have run and whose class must not be repeated, on any path that ends a pending call.
func TestCallsThatMayHaveRunAreNotRefused(t *testing.T) {
	for endingName, ending := range endings {
		for className, class := range repetitionClasses {
			for historyName, history := range attemptHistories {
				t.Run(fmt.Sprint(endingName, "/", className, "/", historyName), func(t *testing.T) {
					f := newRefusalFixture(t, class)
					history.play(f)
					ending.play(f)
					if f.caller.end == (End{}) {
						t.Fatal("the caller gets no final answer")
					}
					allowed := class.refusable || !history.mayHaveRun && !ending.elsewhere
					refused := f.caller.end.Cause == CauseCongestion
					switch {
					case refused && !allowed:
						t.Errorf("the caller is refused with %+v", f.caller.end)
					case !refused && allowed && ending.refuses(class, history):
						t.Errorf("the caller is not refused, but gets %+v", f.caller.end)
					case !refused && (f.caller.end.Cause != CauseTemporary || f.caller.end.HoldOff != 0):
						t.Errorf("the call fails with %+v, want cause %d without a hold-off", f.caller.end, CauseTemporary)
					case !refused && f.caller.end.Reason == ReasonDraining:
						t.Errorf("the call fails with the reason %q, which allows another try", f.caller.end.Reason)
					}
				})
			}
		}
	}
}

// TestDrainEndsInTimeWithAttemptsInProgress guards against a shutdown that refuses what may have run, and against one
// that waits for it: all calls get their final answers before a SIGKILL may follow, and the loop ends.
func TestDrainEndsInTimeWithAttemptsInProgress(t *testing.T) {
	for name, test := range map[string]struct {
		class repetitionClass
		want  map[string]int // causes by call
	}{
		"idempotent":     {repetitionClasses["read_like"], map[string]int{"sent": CauseCongestion, "held": CauseCongestion}},
		"non-idempotent": {repetitionClasses["non_idempotent"], map[string]int{"sent": CauseTemporary, "held": CauseCongestion}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &refusalFixture{class: test.class}
				f.fixture = newFixture(t)
				f.configure()
				callers := map[string]*lastEndCaller{}
				loop := f.core.Loop()
				offer := func(id string) {
					callers[id] = &lastEndCaller{fixture: f.fixture}
					if err := f.core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(9 * time.Second), Caller: callers[id], Description: "x"}); err != nil {
						t.Error(err)
					}
				}
				var since time.Time
				loop.Post(func() {
					f.onSetUp = func(control.ServerID, SetUp) {
						f.onSetUp = func(_ control.ServerID, a SetUp) { t.Errorf("call %s is sent", a.ID) }
						loop.After(0, func() {
							f.core.Update(Update{Servers: []Server{{ServerEntry: control.ServerEntry{ID: "a", Status: control.Draining}}}})
							f.core.stepModule()
							offer("held")
							f.core.events = nil // the module, which would refuse it at once, does not learn of it
							f.core.Drain()
							since = time.Now()
						})
					}
					offer("sent")
				})
				loop.Run()
				if took := time.Since(since); took > killMaxDeadline+killGrace-200*time.Millisecond {
					t.Errorf("the shutdown took %v", took)
				}
				got := map[string]int{}
				for id, caller := range callers {
					got[id] = caller.end.Cause
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("causes of the final answers (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestCallsAreOfferedAgainByBothClasses checks which calls may be passed to the module again after a reload has changed
// their class.
func TestCallsAreOfferedAgainByBothClasses(t *testing.T) {
	for name, test := range map[string]struct {
		accepted, current control.Idempotency
		ran, want         bool
	}{
		"not attempted":                 {control.NonIdempotent, control.NonIdempotent, false, true},
		"idempotent":                    {control.Idempotent, control.Idempotent, true, true},
		"idempotent by key":             {control.IdempotentByKey, control.IdempotentByKey, true, true},
		"idempotent only when accepted": {control.Idempotent, control.NonIdempotent, true, false},
		"idempotent only now":           {control.NonIdempotent, control.Idempotent, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			class := func(idempotency control.Idempotency) control.Class {
				return control.Class{Idempotency: idempotency, DedupWindow: time.Minute}
			}
			now := time.Now()
			k := &record{class: class(test.accepted), Request: Request{Deadline: now.Add(time.Second)}}
			if test.ran {
				k.firstRunAt = now
			}
			if current := class(test.current); k.mayBeOfferedAgain(&current) != test.want {
				t.Errorf("may be offered again: %v, want %v", !test.want, test.want)
			}
		})
	}
}
