package call

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
)

// recorder is a front, a caller and the dispatchers of a core that recovers calls. It records what it receives.
type recorder struct {
	stubDispatchers
	core     *Core
	messages []string
}

func (r *recorder) add(format string, args ...any) {
	r.messages = append(r.messages, fmt.Sprintf(format, args...))
}
func (r *recorder) Idle() bool                { return true }
func (r *recorder) Connections() int          { return 1 }
func (r *recorder) Answer(id, d string) error { r.add("answer %s %s", id, d); return nil }
func (r *recorder) End(id string, e End)      { r.add("end %s %d %s", id, e.Cause, e.Reason) }
func (r *recorder) Disconnected() bool        { return false }
func (r *recorder) NotifyTerminated(id string, e End) {
	r.add("terminated %s %d %s", id, e.Cause, e.Reason)
}
func (r *recorder) SetUp(server control.ServerID, a SetUp)       { r.add("set-up %s", a.ID) }
func (r *recorder) Release(_ control.ServerID, id string, _ int) { r.add("dispatchers release %s", id) }

// recordingFront receives the ends of calls whose callers have no known connection.
type recordingFront struct{ *recorder }

func (f recordingFront) Release(id string, e End) { f.add("front %s %d %s", id, e.Cause, e.Reason) }

const callToken = "a token of some caller"

// TestRecoverCalls checks, for each kind of call left by the previous process, the messages to callers and dispatchers:
// at once, when the list arrives, and when the caller resumes the call.
func TestRecoverCalls(t *testing.T) {
	const id = "00000000000000aa"
	for name, test := range map[string]struct {
		events         func(now time.Duration) []recovery.Event
		atOnce, listed []string
		resumed        []string
		actions        map[string]int
	}{
		"pending, with an attempt in progress": {
			func(now time.Duration) []recovery.Event {
				return []recovery.Event{accepted(id, now), event(recovery.KindAttemptSent, id, now)}
			}, nil, []string{"dispatchers release " + id}, []string{"set-up " + id}, map[string]int{"await": 1}},
		"established": {
			func(now time.Duration) []recovery.Event {
				return []recovery.Event{accepted(id, now), event(recovery.KindAttemptSent, id, now), event(recovery.KindEstablished, id, now)}
			}, nil, nil, []string{"answer " + id + " y"}, map[string]int{"adopt": 1}},
		"established at a removed dispatcher": {
			func(now time.Duration) []recovery.Event {
				e := event(recovery.KindEstablished, id, now)
				e.Server = "gone"
				return []recovery.Event{accepted(id, now), event(recovery.KindAttemptSent, id, now), e}
			}, nil, []string{"front " + id + " 41 cut"}, []string{"end " + id + " 41 cut"}, map[string]int{"adopt": 1}},
		"terminated, notification unconfirmed": {
			func(now time.Duration) []recovery.Event {
				e := event(recovery.KindTerminated, id, now)
				e.Cause, e.Reason = 16, "ended"
				return []recovery.Event{accepted(id, now), event(recovery.KindAttemptSent, id, now), event(recovery.KindEstablished, id, now), e}
			}, []string{"front " + id + " 16 ended"}, nil, []string{"end " + id + " 16 ended"}, map[string]int{"tell": 1}},
		"refused": {
			func(now time.Duration) []recovery.Event {
				e := event(recovery.KindRejected, id, now)
				e.Cause, e.Reason = 42, "refused"
				return []recovery.Event{accepted(id, now), e}
			}, nil, nil, []string{"end " + id + " 42 refused"}, map[string]int{"keep": 1}},
		"expired": {
			func(now time.Duration) []recovery.Event {
				return []recovery.Event{accepted(id, now-time.Minute), event(recovery.KindAttemptSent, id, now-time.Minute)}
			}, nil, []string{"dispatchers release " + id}, []string{"end " + id + " 41 deadline"}, map[string]int{"fail": 1}},
		"doubtful, and established": {
			func(now time.Duration) []recovery.Event {
				return []recovery.Event{event(recovery.KindEstablished, id, now)}
			},
			[]string{"front " + id + " 41 cut"}, []string{"dispatchers release " + id}, []string{"end " + id + " 41 unknown"}, map[string]int{"cut": 1}},
		"unknown": {
			func(time.Duration) []recovery.Event { return nil },
			nil, nil, []string{"dispatchers release " + id, "end " + id + " 41 unknown"}, map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			core := newFixture(t).core
			s := &recorder{core: core}
			core.SetDispatchers(s)
			core.AddFront(recordingFront{s})
			b := recovery.NewCallTable()
			for _, e := range test.events(core.now()) {
				b.Apply(e)
			}
			expect := func(when string, want []string) {
				t.Helper()
				core.finishIteration()
				if diff := cmp.Diff(want, s.messages); diff != "" {
					t.Errorf("%s (-want +got):\n%s", when, diff)
				}
				s.messages = nil
			}
			core.Recover(b, nil)
			expect("at once", test.atOnce)
			core.Update(Update{Complete: true, Servers: []Server{{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"}}})
			expect("when the list has arrived", test.listed)
			if err := core.ResumeCall(ResumeRequest{Caller: s, ID: id, Token: callToken}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(guard + 20*time.Millisecond) // an attempt waits for the guard
			core.queueEvent(control.Woken{})
			expect("when its caller resumes it", test.resumed)
			if err := core.ResumeCall(ResumeRequest{Caller: s, ID: id, Token: callToken}); err != nil {
				t.Fatal(err)
			}
			if test.actions["fail"]+test.actions["keep"]+test.actions["await"]+test.actions["adopt"] > 0 {
				expect("when its caller resumes it again", nil)
			}
			if diff := cmp.Diff(test.actions, core.RecoveryStatus().Actions); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
		})
	}
}

// accepted returns the event of a set-up that was accepted at a time, with a deadline 9 s later.
func accepted(id string, at time.Duration) recovery.Event {
	e := event(recovery.KindAccepted, id, at)
	e.Class, e.Called, e.Description, e.Token = "c", "k", "x", recovery.HashToken(callToken)
	e.DeadlineUs = (at + 9*time.Second).Microseconds()
	return e
}

// event returns an event of a call at the dispatcher a.
func event(kind recovery.Kind, id string, at time.Duration) recovery.Event {
	e := recovery.Event{Kind: kind, ID: id, AtUs: at.Microseconds()}
	if kind == recovery.KindAttemptSent || kind == recovery.KindEstablished {
		e.Server, e.Address, e.Description = "a", "127.0.0.1:1", "y"
	}
	return e
}

// TestOrphanedCallsExpire checks that a pending call whose caller does not resume it is cancelled, and that an
// established one, of which the caller may not know, is released.
func TestOrphanedCallsExpire(t *testing.T) {
	core := newFixture(t).core
	s := &recorder{core: core}
	core.SetDispatchers(s)
	core.AddFront(recordingFront{s})
	b := recovery.NewCallTable()
	for n, kind := range []recovery.Kind{recovery.KindAttemptSent, recovery.KindEstablished} {
		id := fmt.Sprintf("%016x", n+1)
		b.Apply(accepted(id, core.now()))
		b.Apply(event(recovery.KindAttemptSent, id, core.now()))
		if kind == recovery.KindEstablished {
			b.Apply(event(kind, id, core.now()))
		}
	}
	loop := core.Loop()
	loop.Post(func() {
		core.Recover(b, nil)
		core.Update(Update{Complete: true, Servers: []Server{{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"}}})
		loop.After(recovery.EstablishedResumeTimeout+200*time.Millisecond, loop.Quit)
	})
	loop.Run()
	// The first call is released when the list arrives, like every pending call; it is not sent anywhere.
	want := []string{"dispatchers release 0000000000000001", "dispatchers release 0000000000000002"}
	if diff := cmp.Diff(want, s.messages); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
	if n := core.pendingCount + core.establishedByCaller[core.orphanCaller]; n > 0 {
		t.Errorf("%d calls are left", n)
	}
}

// resumedAfterReload recovers a call from the events, applies settings whose only class has the name and the semantics,
// resumes the call, and returns the messages by the end of that iteration and those by the end of the guard.
func resumedAfterReload(t *testing.T, id, name, semantics string, events func(now time.Duration) []recovery.Event) (atOnce, afterGuard []string) {
	t.Helper()
	fix := newFixture(t)
	core := fix.core
	s := &recorder{core: core}
	core.SetDispatchers(s)
	core.AddFront(recordingFront{s})
	b := recovery.NewCallTable()
	for _, e := range events(core.now()) {
		b.Apply(e)
	}
	core.Recover(b, nil)
	core.Update(Update{Complete: true, Servers: []Server{{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"}}})
	core.finishIteration()
	other := *fix.settings
	other.RequestClasses = slices.Clone(other.RequestClasses)
	other.RequestClasses[0].Name, other.RequestClasses[0].Semantics = name, semantics
	if err := core.Reconfigure(&other); err != nil {
		t.Fatal(err)
	}
	if err := core.ResumeCall(ResumeRequest{Caller: s, ID: id, Token: callToken}); err != nil {
		t.Fatal(err)
	}
	core.finishIteration()
	atOnce = slices.Clone(s.messages)
	time.Sleep(guard + 20*time.Millisecond) // an attempt would wait for the guard
	core.queueEvent(control.Woken{})
	core.finishIteration()
	return atOnce, s.messages
}

// TestClassRemovedWhileCallAwaitsResume guards against a call that is only answered at its deadline, because its class
// was removed from the settings before its caller resumed it, and so the module did not know the call.
func TestClassRemovedWhileCallAwaitsResume(t *testing.T) {
	const id = "00000000000000aa"
	atOnce, afterGuard := resumedAfterReload(t, id, "another", "read_like", func(now time.Duration) []recovery.Event {
		return []recovery.Event{accepted(id, now)}
	})
	want := []string{"dispatchers release " + id, "end " + id + " 41 failed"}
	if diff := cmp.Diff([][]string{want, want}, [][]string{atOnce, afterGuard}); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
}

// TestClassThatMustNotBeRepeatedAnyMoreWhileCallAwaitsResume guards against another attempt for a call that may have run,
// after its class was changed in the settings before its caller resumed it.
func TestClassThatMustNotBeRepeatedAnyMoreWhileCallAwaitsResume(t *testing.T) {
	const id = "00000000000000aa"
	atOnce, afterGuard := resumedAfterReload(t, id, "c", "non_idempotent", func(now time.Duration) []recovery.Event {
		return []recovery.Event{accepted(id, now), event(recovery.KindAttemptSent, id, now)}
	})
	want := []string{"dispatchers release " + id, "end " + id + " 41 failed"}
	if diff := cmp.Diff([][]string{want, want}, [][]string{atOnce, afterGuard}); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
}
