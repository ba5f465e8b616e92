package main

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/lists"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/store"
	"cherryrelay/internal/trial"
)

// These tests restart the program with a ledger while the list of dispatchers has had several events. A call that stands must not be told
// as over because of a part of the list.

// listRestart is the program with a ledger on the platform: its list comes from the known events of its file, and from a coordinator.
type listRestart struct {
	*process
	checker           *trial.CallChecker
	coordinator       *eventServer
	listening         *httptest.Server // the coordinator's; nil while it is down
	entries           []map[string]any // the first event
	events            [][]map[string]any
	d                 map[string]*trial.Dispatcher // by name and number of the process, such as d1 and d1b
	handoverDirectory string                       // where the process and its successor meet
	withoutLedger     bool
	etcd              *store.Store // the list is followed there; nil with the coordinator
	operator          string       // further sections of the operator's file
	ends              endListener  // after the restart
}

// newListRestart prepares the program with the dispatchers d0 and d1, each in a cell of its own, as the first event.
func newListRestart(t *testing.T) *listRestart {
	t.Helper()
	s := &listRestart{process: &process{T: t, directory: t.TempDir(), lines: freeAddress(t), management: freeAddress(t)},
		checker: newChecker(), d: map[string]*trial.Dispatcher{}, coordinator: &eventServer{address: freeAddress(t), changed: make(chan struct{})}}
	t.Cleanup(func() {
		if s.cmd != nil {
			s.kill()
		}
	})
	var err error
	s.handoverDirectory, err = os.MkdirTemp("", "handover") // the paths of Unix sockets must be short
	s.must(err)
	t.Cleanup(func() { _ = os.RemoveAll(s.handoverDirectory) })
	for i, name := range []string{"d0", "d1"} {
		s.entries = append(s.entries, listEntry(name, s.dispatcher(name, name).Address(), "active", i))
	}
	s.startCoordinator()
	t.Cleanup(s.stopCoordinator)
	return s
}

// dispatcher starts a process of a dispatcher that answers every set-up at once. The key names the process.
func (s *listRestart) dispatcher(key, name string) *trial.Dispatcher {
	s.Helper()
	d := startDispatcher(s.T, "tcp", name, s.checker)
	d.SetBehavior(true, false)
	s.d[key] = d
	return d
}

func (s *listRestart) must(err error) {
	s.Helper()
	if err != nil {
		s.Fatal(err)
	}
}

func (s *listRestart) startCoordinator() {
	s.Helper()
	ln, err := net.Listen("tcp", s.coordinator.address)
	for until := time.Now().Add(peer.Timeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until); { // by a socket that is about to connect
		time.Sleep(time.Millisecond)
		ln, err = net.Listen("tcp", s.coordinator.address)
	}
	s.must(err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(s.coordinator.serve))
	_ = server.Listener.Close()
	server.Listener = ln
	server.Start()
	s.listening = server
}

func (s *listRestart) stopCoordinator() {
	if s.listening != nil {
		s.listening.CloseClientConnections()
		s.listening.Close()
		s.listening = nil
	}
}

// publish adds an event that changes the list.
func (s *listRestart) publish(changes ...map[string]any) {
	s.Helper()
	s.events = append(s.events, changes)
	s.coordinator.publish(s.T, changes...)
}

// change publishes a change of the list, waits until the program has it, and returns its entry.
func (s *listRestart) change(c change) map[string]any {
	s.Helper()
	entry := c.apply(s)
	s.publish(entry)
	s.waitEntry(entry)
	return entry
}

// start starts the program with the first events of the list in its file, and waits until it is ready.
func (s *listRestart) start(known int) {
	s.Helper()
	s.writeFiles(known)
	s.launchWith("LB_CONFIG="+filepath.Join(s.directory, platformConfig), "LB_LISTEN="+s.lines, "LB_MANAGEMENT="+s.management, "TMPDIR="+s.handoverDirectory)
	s.waitReady()
}

func (s *listRestart) writeFiles(known int) {
	s.Helper()
	text, err := os.ReadFile("../../example/config.json")
	s.must(err)
	var c map[string]any
	s.must(jsoniter.Unmarshal(text, &c))
	updates := []any{listEvent(1, true, s.entries...)}
	for i, changes := range s.events[:known-1] {
		updates = append(updates, listEvent(i+2, false, changes...))
	}
	c["coordinator"] = s.coordinator.address
	if s.etcd != nil { // only one of them is possible
		c["coordinator"] = ""
	}
	c["known"] = map[string]any{"index": known, "updates": updates}
	settings, ok := c["settings"].(map[string]any)
	if !ok {
		s.Fatal("the example has no settings")
	}
	settings["tenants"] = []any{map[string]any{"name": "acme"}}
	text, err = jsoniter.Marshal(c)
	s.must(err)
	s.must(os.WriteFile(filepath.Join(s.directory, platformConfig), text, 0o600))
	operator := s.operator
	if !s.withoutLedger {
		operator += "[ledger]\ndirectory = ledger\nlines = true\n"
	}
	s.must(os.WriteFile(filepath.Join(s.directory, "operator.ini"), []byte(operator), 0o600))
}

// connect opens a connection of a caller.
func (s *listRestart) connect() *peer.Caller {
	s.Helper()
	c, err := peer.DialCaller("tcp", s.lines)
	s.must(err)
	s.Cleanup(func() { _ = c.Close() })
	return c
}

// establish places a call at the dispatcher of a cell and waits for the answer.
func (s *listRestart) establish(id string, cell int) {
	s.Helper()
	c := s.connect()
	s.checker.CallPlaced(id, time.Now())
	s.must(c.SetUp(id, 8*time.Second, cell, "x"))
	m, err := c.Next()
	s.must(err)
	if m.Type != "answer" {
		s.Fatalf("call %s got %q", id, m.Type)
	}
	time.Sleep(1100 * time.Millisecond) // the answer counts as delivered by then
	s.must(c.Close())
}

// waitEntry waits until the list in force has an entry with the address and the start time.
func (s *listRestart) waitEntry(entry map[string]any) {
	s.Helper()
	name, address, since := entry["name"], entry["address"], entry["since_ms"]
	for until := time.Now().Add(peer.Timeout); ; time.Sleep(2 * time.Millisecond) {
		var page lists.Servers
		if _, body := httpGet(s.management, lists.ServersPath); jsoniter.UnmarshalFromString(body, &page) == nil {
			for _, e := range page.Servers {
				ms := int64(0)
				if !e.Since.IsZero() {
					ms = e.Since.UnixMilli()
				}
				if e.Name == name && e.Address == address && (since == 0 || ms == since) {
					return
				}
			}
		}
		if time.Now().After(until) {
			s.Fatalf("the list never has %v", entry)
		}
	}
}

// expectStands requires that the call goes on until its dispatcher ends it, and that this end is told.
func (s *listRestart) expectStands(id, key string) {
	s.Helper()
	s.d[key].EndCall(id)
	s.ends.expectRelease(s.T, s.lines, id, 16)
}

// expectOver requires that the call is told as over, although no dispatcher reports its end.
func (s *listRestart) expectOver(id string) {
	s.Helper()
	s.ends.expectRelease(s.T, s.lines, id, 41)
}

// change is an event that changes the process of a dispatcher, and the process that calls in its cell reach afterwards.
type change struct {
	cell  int
	key   string // of the process afterwards
	apply func(s *listRestart) map[string]any
}

var changes = map[string]change{
	"added": {2, "d2", func(s *listRestart) map[string]any {
		return listEntry("d2", s.dispatcher("d2", "d2").Address(), "active", 2)
	}},
	"restarted": {1, "d1", func(s *listRestart) map[string]any {
		return s.restarted(time.Now().Add(-time.Hour)) // it is warm
	}},
	"moved": {1, "d1b", func(s *listRestart) map[string]any {
		return listEntry("d1", s.dispatcher("d1b", "d1").Address(), "active", 1)
	}},
}

// restarted returns the entry of d1 after a restart at the given time.
func (s *listRestart) restarted(at time.Time) map[string]any {
	entry := listEntry("d1", s.d["d1"].Address(), "active", 1)
	entry["since_ms"] = at.UnixMilli()
	return entry
}

// TestCallsStandAtDispatchersOfLaterEvents guards against calls that are told as over after a restart, because they were held against the
// first of several events of the list: their dispatcher was added, moved or restarted by a later one.
func TestCallsStandAtDispatchersOfLaterEvents(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newListRestart(t)
			s.expectCallsStand(change, func(map[string]any) { s.start(2) })
		})
	}
}

// TestCallsStandAsTheListCatchesUp guards against calls that are told as over after a restart, because the list of the file is older than
// they are: the stream tells of their dispatcher, of its move or of its restart.
func TestCallsStandAsTheListCatchesUp(t *testing.T) {
	for _, name := range []string{"added", "moved", "restarted"} {
		for variant, play := range map[string]struct {
			outage   time.Duration // of the coordinator, from before the restart
			operator string        // a section of the operator's file
		}{"at once": {}, "late": {outage: 1500 * time.Millisecond}, "late, with a subset": {1500 * time.Millisecond, "[subset]\nsize = 1\n"}} {
			t.Run(name+" "+variant, func(t *testing.T) {
				t.Parallel()
				s := newListRestart(t)
				s.operator = play.operator
				s.expectCallsStand(changes[name], func(entry map[string]any) {
					if play.outage > 0 {
						s.stopCoordinator()
					}
					s.start(1)
					if play.outage > 0 {
						time.Sleep(play.outage)
						s.startCoordinator()
					}
					s.waitEntry(entry)
				})
			})
		}
	}
}

// expectCallsStand establishes a call at a dispatcher that an event has changed, kills the program and requires that the call goes on after
// the restart.
func (s *listRestart) expectCallsStand(change change, restart func(entry map[string]any)) {
	s.Helper()
	s.start(1)
	s.establish(id(1), 0)
	entry := s.change(change)
	s.establish(id(2), change.cell)
	s.kill()
	restart(entry)
	s.expectStands(id(2), change.key)
	s.expectStands(id(1), "d0")
}

// TestCallsEndAtDispatchersOfLaterEvents guards against a call that is kept after a restart although its dispatcher was removed, moved or
// restarted by the last event that is known: nobody would tell its end.
func TestCallsEndAtDispatchersOfLaterEvents(t *testing.T) {
	removed := change{apply: func(s *listRestart) map[string]any {
		s.d["d1"].Kill()
		return listEntry("d1", s.d["d1"].Address(), "left", 1)
	}}
	restarted := change{apply: func(s *listRestart) map[string]any { return s.restarted(time.Now()) }}
	for name, change := range map[string]change{"removed": removed, "moved": changes["moved"], "restarted": restarted} {
		for variant, play := range map[string]struct {
			known              int // events in the file
			withoutCoordinator bool
		}{"in the file": {3, false}, "in the stream": {2, false}, "in the file alone": {3, true}} {
			t.Run(name+" "+variant, func(t *testing.T) {
				t.Parallel()
				s := newListRestart(t)
				s.start(1)
				s.publish(changes["added"].apply(s))
				s.establish(id(1), 0)
				s.establish(id(2), 1)
				s.kill()
				s.publish(change.apply(s))
				if play.withoutCoordinator {
					s.stopCoordinator()
				}
				s.start(play.known)
				s.expectOver(id(2))
				s.expectStands(id(1), "d0")
			})
		}
	}
}

// TestCallsEndAtDispatchersThatTheListOmits guards against a call that is kept although the whole list, which the coordinator confirms,
// does not name its dispatcher any more.
func TestCallsEndAtDispatchersThatTheListOmits(t *testing.T) {
	t.Parallel()
	s := newListRestart(t)
	s.start(1)
	s.establish(id(1), 0)
	s.establish(id(2), 1)
	s.kill()
	s.entries = s.entries[:1]
	s.start(1)
	s.expectOver(id(2))
	s.expectStands(id(1), "d0")
}

// TestCallsStandWithoutTheCoordinator guards against a call that is told as over because its dispatcher is missing from the file, while the
// coordinator, which knows it, cannot be reached.
func TestCallsStandWithoutTheCoordinator(t *testing.T) {
	t.Parallel()
	s := newListRestart(t)
	s.start(1)
	s.change(changes["added"])
	s.establish(id(1), 2)
	s.establish(id(2), 2)
	s.kill()
	s.stopCoordinator()
	s.start(1)
	s.expectStands(id(1), "d2")
	s.d["d2"].Kill() // its connections are reset, and new ones are refused
	s.expectOver(id(2))
}

// TestReleasesReachDispatchersOfLaterEvents guards against a call that stands for good at a dispatcher which a later event has added: its
// answer was not read before the kill, and after the restart it was released at the dispatchers of the first event alone.
func TestReleasesReachDispatchersOfLaterEvents(t *testing.T) {
	for variant, known := range map[string]int{"in the file": 2, "in the stream": 1} {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			s := newListRestart(t)
			s.start(1)
			s.change(changes["added"])
			s.d["d2"].SetBehavior(false, true)
			s.checker.CallPlaced(id(1), time.Now())
			s.must(s.connect().SetUp(id(1), 8*time.Second, 2, "x"))
			s.waitUntil("the set-up arrives", func() bool { return s.checker.AttemptAt(id(1)) == "d2" })
			s.must(s.cmd.Process.Signal(syscall.SIGSTOP))
			s.d["d2"].AnswerPending()
			s.kill()
			if at := s.checker.EstablishedAt(id(1)); at != "d2" {
				t.Fatalf("the call stands at %q", at)
			}
			s.start(known)
			s.waitUntil("the call is released", func() bool { return s.checker.EstablishedAt(id(1)) == "" })
		})
	}
}

// TestAStartDialsNoFormerAddress guards against a start that acts on the first of several events: it connects to a process that a later one
// has replaced.
func TestAStartDialsNoFormerAddress(t *testing.T) {
	t.Parallel()
	s := newListRestart(t)
	former, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err)
	accepted := make(chan struct{}, 8)
	go func() {
		for {
			c, err := former.Accept()
			if err != nil {
				close(accepted)
				return
			}
			_ = c.Close()
			accepted <- struct{}{}
		}
	}()
	s.entries[1]["address"] = former.Addr().String()
	s.publish(changes["moved"].apply(s))
	s.start(2)
	s.establish(id(1), 1)
	s.must(former.Close())
	if _, dialled := <-accepted; dialled {
		t.Error("the former address was dialled")
	}
}

// TestCallersReleasesReachDispatchersOfLaterEvents guards against a call that stands for good although its caller has ended it after a
// restart without a ledger: it was released at the dispatchers that the list named by then, and the stream told of the others later.
func TestCallersReleasesReachDispatchersOfLaterEvents(t *testing.T) {
	t.Parallel()
	s := newListRestart(t)
	s.withoutLedger = true
	s.start(1)
	s.change(changes["added"])
	s.establish(id(1), 2)
	s.kill()
	s.stopCoordinator()
	s.start(1)
	c := s.connect()
	s.must(c.Release(id(1), 31))
	s.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
	m, err := c.Next()
	s.must(err)
	if m.Type != "pong" { // the release has been read
		t.Fatalf("the caller got %s", m.Type)
	}
	s.startCoordinator()
	s.waitUntil("the call is released", func() bool { return s.checker.EstablishedAt(id(1)) == "" })
}

// waitUntil waits until a condition holds.
func (s *listRestart) waitUntil(what string, holds func() bool) {
	s.Helper()
	for until := time.Now().Add(peer.Timeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			s.Fatalf("it never comes that %s\n%s", what, s.log)
		}
	}
}

// TestCallsOfAPredecessorStandAtUnlistedDispatchers guards against a call whose end is told to nobody after a replacement: the list of the
// successor does not name its dispatcher yet.
func TestCallsOfAPredecessorStandAtUnlistedDispatchers(t *testing.T) {
	for variant, withoutLedger := range map[string]bool{"with a ledger": false, "without a ledger": true} {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			s := newListRestart(t)
			s.withoutLedger = withoutLedger
			s.start(1)
			s.change(changes["added"])
			s.establish(id(1), 2)
			s.establish(id(2), 2)
			s.establish(id(3), 0)
			s.stopCoordinator()
			s.replace(1)
			s.expectStands(id(1), "d2")
			s.d["d2"].Kill()
			s.expectOver(id(2))
			s.expectStands(id(3), "d0")
		})
	}
}

// TestCallsOfAPredecessorStandAsTheListCatchesUp guards against calls that are cut after a replacement, as the list tells the successor of
// the process at which the predecessor had them.
func TestCallsOfAPredecessorStandAsTheListCatchesUp(t *testing.T) {
	for name, change := range changes {
		for variant, outage := range map[string]bool{"at once": false, "late": true} {
			t.Run(name+" "+variant, func(t *testing.T) {
				t.Parallel()
				s := newListRestart(t)
				s.withoutLedger = true
				s.start(1)
				entry := s.change(change)
				s.establish(id(1), change.cell)
				if outage {
					s.stopCoordinator()
				}
				s.replace(1)
				if outage {
					s.startCoordinator()
				}
				s.waitEntry(entry)
				s.expectStands(id(1), change.key)
			})
		}
	}
}

// replace starts a second process at the addresses of the first, and waits until the first has ended.
func (s *listRestart) replace(known int) {
	s.Helper()
	old := *s.process
	s.Cleanup(func() {
		_ = old.cmd.Process.Kill()
	})
	s.management = freeAddress(s.T) // two processes cannot share it
	s.start(known)
	select {
	case err := <-old.ended:
		s.must(err)
	case <-time.After(peer.Timeout):
		s.Fatal("the predecessor does not end")
	}
}
