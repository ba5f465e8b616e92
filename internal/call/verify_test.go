package call

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/takeover"
)

// TestContinuesAt guards against recovered calls that end as the list tells of the process which they were established at.
func TestContinuesAt(t *testing.T) {
	const id, address = "00000000000000aa", "127.0.0.1:1"
	core := newFixture(t).core
	core.SetDispatchers(&recorder{core: core})
	at := core.now()
	established := event(recovery.KindEstablished, id, at)
	established.ServerStartedUs = (at - time.Hour).Microseconds()
	b := recovery.NewCallTable()
	b.Apply(accepted(id, at))
	b.Apply(event(recovery.KindAttemptSent, id, at))
	b.Apply(established)
	core.Recover(b, nil)
	for name, test := range map[string]struct {
		id, address string
		started     time.Duration
		want        bool
	}{
		"the process of the call":            {id, address, at - time.Hour, true},
		"no start is known":                  {id, address, 0, true},
		"started before the call's answer":   {id, address, at - time.Minute, true},
		"started after the call's answer":    {id, address, at + time.Minute, false},
		"at another address":                 {id, "127.0.0.1:2", at - time.Hour, false},
		"a call that was not recovered here": {"00000000000000bb", address, at - time.Hour, false},
	} {
		entry := Server{ServerEntry: control.ServerEntry{ID: "a", StartedAt: test.started}, Address: test.address}
		if got := core.ContinuesAt(entry, test.id); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// listRecorder is a recorder that also records the entries which the connections are told of without a list.
type listRecorder struct{ *recorder }

func (r listRecorder) Update(u Update) {
	for _, e := range u.Servers {
		if !u.Complete {
			r.add("dispatcher %s at %s, calls continue: %v", e.ID, e.Address, e.CallsContinue)
		}
	}
}

// unlistedFixture has a recovered call at the dispatcher "b", and has received a list that may be older, with the given entries.
func unlistedFixture(t *testing.T, id string, servers ...Server) (*Core, *recorder) {
	t.Helper()
	core := newFixture(t).core
	r := &recorder{core: core}
	core.SetDispatchers(listRecorder{r})
	core.AddFront(recordingFront{r})
	core.AwaitListConfirmation()
	established := event(recovery.KindEstablished, id, core.now())
	established.Server, established.Address = "b", "127.0.0.1:2"
	offered := accepted(id, core.now())
	offered.Token = nil // without one, nobody has to resume the call
	b := recovery.NewCallTable()
	b.Apply(offered)
	b.Apply(event(recovery.KindAttemptSent, id, core.now()))
	b.Apply(established)
	core.Recover(b, nil)
	core.Update(Update{Complete: true, Servers: servers})
	return core, r
}

// TestCallsAtUnlistedDispatchers guards against calls that are cut because a list that may be older than they are does not name their
// dispatcher, and against calls that are kept although a current list does not name it.
func TestCallsAtUnlistedDispatchers(t *testing.T) {
	const id = "00000000000000aa"
	a := Server{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"}
	b := Server{ServerEntry: control.ServerEntry{ID: "b"}, Address: "127.0.0.1:2"}
	gone := withStatus(Server{ServerEntry: control.ServerEntry{ID: "b"}}, control.Removed)
	const adopted, listed = "dispatcher b at 127.0.0.1:2, calls continue: true", "dispatcher b at 127.0.0.1:2, calls continue: false"
	const released, over = "dispatchers release " + id, "front " + id + " 41 cut"
	for name, test := range map[string]struct {
		then func(core *Core)
		want []string
	}{
		"nothing more is known":         {func(*Core) {}, []string{adopted}},
		"confirmed as of an older time": {func(core *Core) { core.ListConfirmed(core.now() - time.Hour) }, []string{adopted}},
		"confirmed":                     {func(core *Core) { core.ListConfirmed(core.now()) }, []string{adopted, released, over}},
		"listed, then confirmed": {func(core *Core) {
			core.Update(Update{Servers: []Server{b}})
			core.ListConfirmed(core.now())
		}, []string{adopted, listed}},
		"removed":                   {func(core *Core) { core.Update(Update{Servers: []Server{gone}}) }, []string{adopted, "dispatcher b at , calls continue: false", released, over}},
		"its dispatcher has failed": {func(core *Core) { core.DispatcherFailed("b") }, []string{adopted, over}},
	} {
		core, r := unlistedFixture(t, id, a)
		test.then(core)
		if diff := cmp.Diff(test.want, r.messages); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestMisplacedCalls guards against calls that end with another process that an older list has in the place of theirs, and against calls
// that are kept for good as no source confirms the list.
func TestMisplacedCalls(t *testing.T) {
	const id = "00000000000000aa"
	elsewhere := Server{ServerEntry: control.ServerEntry{ID: "b"}, Address: "127.0.0.1:3"}
	taken := Server{ServerEntry: control.ServerEntry{ID: "c"}, Address: "127.0.0.1:2"}
	takenSince := taken
	takenSince.StartedAt = time.Duration(time.Now().Add(time.Hour).UnixNano()) // a bubble has a clock of its own
	moved := Server{ServerEntry: control.ServerEntry{ID: "b"}, Address: "127.0.0.1:2"}
	over := []string{"front " + id + " 41 cut"}
	for name, test := range map[string]struct {
		entry Server
		then  func(core *Core)
		want  []string
	}{
		"the process in its place fails": {elsewhere, func(core *Core) { core.DispatcherFailed("b") }, nil},
		"the list tells of its process": {elsewhere, func(core *Core) { core.Update(Update{Servers: []Server{moved}}) },
			[]string{"dispatcher b at 127.0.0.1:2, calls continue: false"}},
		"its caller ends it, then the list tells of its process": {elsewhere, func(core *Core) {
			core.CallerReleased(core.orphanCaller, id, CauseTemporary)
			core.Update(Update{Servers: []Server{moved}})
		}, []string{"dispatchers release " + id, "dispatcher b at 127.0.0.1:2, calls continue: false", "dispatchers release " + id}},
		"the list is current":                             {elsewhere, func(core *Core) { core.ListConfirmed(core.now()) }, over},
		"the list is current, and its address is taken":   {taken, func(core *Core) { core.ListConfirmed(core.now()) }, over},
		"its address is taken by a later process":         {takenSince, func(*Core) {}, over},
		"its address is taken":                            {taken, func(*Core) {}, nil},
		"the list is not confirmed in time":               {elsewhere, runUndecidedTimeout, over},
		"the list is not confirmed, its address is taken": {taken, runUndecidedTimeout, over},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, r := unlistedFixture(t, id, test.entry)
				test.then(core)
				if diff := cmp.Diff(test.want, r.messages); diff != "" {
					t.Errorf("messages (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// runUndecidedTimeout runs the loop until undecided calls are decided.
func runUndecidedTimeout(core *Core) {
	core.loop.After(undecidedTimeout+time.Millisecond, core.loop.Quit)
	core.loop.Run()
}

// TestPendingReleasesFollowTheList guards against a release that misses the dispatcher of an attempt, as the list names it only later, and
// against one that ends a later attempt.
func TestPendingReleasesFollowTheList(t *testing.T) {
	const id = "00000000000000aa"
	core := newFixture(t).core
	r := &recorder{core: core}
	core.SetDispatchers(r)
	core.AwaitListConfirmation()
	sent := event(recovery.KindAttemptSent, id, core.now())
	b := recovery.NewCallTable()
	b.Apply(accepted(id, core.now()))
	b.Apply(sent)
	core.Recover(b, nil)
	entry := Server{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:9"}
	core.Update(Update{Complete: true, Servers: []Server{entry}})
	everywhere := []string{"dispatchers release " + id}
	if diff := cmp.Diff(everywhere, r.messages); diff != "" {
		t.Fatalf("with an older list (-want +got):\n%s", diff)
	}
	entry.Address = sent.Address
	core.Update(Update{Servers: []Server{entry}})
	if diff := cmp.Diff(append(everywhere, everywhere...), r.messages); diff != "" {
		t.Errorf("with the dispatcher's address (-want +got):\n%s", diff)
	}
	core.ListConfirmed(core.now())
	core.Update(Update{Servers: []Server{entry}})
	if len(r.messages) != 2 || len(core.pendingReleases) != 0 {
		t.Errorf("messages %q, %d releases are left", r.messages, len(core.pendingReleases))
	}
}

// TestATransferredCallIsNotCut guards against the end of a call at another controller, which has resumed it: the list was confirmed here
// only afterwards.
func TestATransferredCallIsNotCut(t *testing.T) {
	const id = "00000000000000aa"
	core, r := unlistedFixture(t, id, Server{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"})
	core.UseFinder(&transferCounter{}, func() bool { return true }, func(error) {})
	core.calls[id].Token = recovery.HashToken(callToken)
	core.TransferRequested(map[string]takeover.Query{id: {Token: recovery.HashToken(callToken), FirstSeen: time.Now()}})
	r.messages = nil
	core.ListConfirmed(core.now())
	if len(r.messages) > 0 || len(core.unverified) != 1 {
		t.Errorf("while it is transferred: messages %q, %d unverified calls", r.messages, len(core.unverified))
	}
	core.TransferWritten(id)
	core.ListConfirmed(core.now())
	if len(r.messages) > 0 || len(core.unverified) != 0 {
		t.Errorf("after it was transferred: messages %q, %d unverified calls", r.messages, len(core.unverified))
	}
}

// TestUndecidedCallsAreReceived guards against undecided calls that are forgotten as later ones are received, of which each is checked by
// itself.
func TestUndecidedCallsAreReceived(t *testing.T) {
	const calls = 200
	core, _ := unlistedFixture(t, "00000000000000aa", Server{ServerEntry: control.ServerEntry{ID: "a"}, Address: "127.0.0.1:1"})
	core.UseFinder(&transferCounter{}, func() bool { return true }, func(error) {})
	for n := range calls {
		id := fmt.Sprintf("%016x", n+1000)
		established := event(recovery.KindEstablished, id, core.now())
		established.Server, established.Address = "b", "127.0.0.1:2"
		core.CallReceived(&takeover.Call{Events: []recovery.Event{accepted(id, core.now()), event(recovery.KindAttemptSent, id, core.now()), established}}, -1)
	}
	if n := len(core.unverified); n != calls+1 {
		t.Errorf("%d calls are undecided, want %d", n, calls+1)
	}
	if len(core.adoptedDispatchers) != 1 {
		t.Errorf("connected to %v", core.adoptedDispatchers)
	}
}
