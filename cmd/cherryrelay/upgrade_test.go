package main

import (
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	"cherryrelay/internal/handover"
	"cherryrelay/internal/management"
	"cherryrelay/internal/peer"
)

// freeAddress returns a local address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := peer.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startSuccessor starts a second node at the same addresses. It has no list yet.
func (f *fixture) startSuccessor() *fixture {
	f.Helper()
	c := *f.node.config
	n, err := startWithBounds(&c, slog.New(slog.DiscardHandler), f.node.bounds)
	f.must(err)
	next := &fixture{T: f.T, node: n, transport: f.transport, dispatchers: f.dispatchers, done: make(chan error, 1), list: f.list}
	go func() { next.done <- n.run() }()
	f.Cleanup(n.loop.Quit)
	return next
}

// sendList sends the list of dispatchers to a node.
func (f *fixture) sendList() { f.node.loop.Post(func() { f.node.core.Update(f.list) }) }

// waitReady waits until a node reports that it is ready.
func (f *fixture) waitReady() {
	f.Helper()
	for status := 0; status != 200; time.Sleep(time.Millisecond) {
		status, _ = f.request("GET", "/api/ready")
	}
}

// runUpgrade runs a script over both fronts, with a node at fixed addresses.
func runUpgrade(t *testing.T, want []string, script func(f *fixture)) {
	t.Setenv("TMPDIR", t.TempDir())
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			f := newFixtureAt(t, freeAddress(t), freeAddress(t), transport, transport, callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
			f.waitReady()
			script(f)
			if diff := cmp.Diff(want, f.observed); diff != "" {
				t.Errorf("messages of the peers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUpgrade: a second start at the same addresses used to end with an error. Now it takes over: pending set-ups are answered where they
// were accepted, and each end of a call is delivered once, by the new process.
func TestUpgrade(t *testing.T) {
	runUpgrade(t, []string{
		"d0: setup 1 x", "caller: answer 1 y", "d1: setup 2 x", "operator: /api/ready 503", "operator: /api/ready 200",
		"operator: /api/ready 503", "d1: setup 3 x", "caller: answer 3 y", "caller: answer 2 y",
		"caller: release 1 16", "caller: release 2 41", "d0: release 4 31", "caller: release 3 16",
	}, func(old *fixture) {
		idle, established, busy := old.newCaller(), old.newCaller(), old.newCaller()
		old.must(established.SetUp(id(1), longTimeout, 0, "x"))
		first := old.recordEvent(0)
		old.must(first.Answer("y"))
		old.recordMessage(established)
		old.must(busy.SetUp(id(2), longTimeout, 1, "x"))
		open := old.recordEvent(1)
		next := old.startSuccessor()
		status, _ := next.request("GET", "/api/ready")
		old.record("operator: /api/ready %d", status)
		old.recordStatus("GET", "/api/ready")
		next.sendList()
		next.waitReady()
		old.expectClosed(idle)
		old.expectClosed(established)
		old.recordStatus("GET", "/api/ready")
		c := next.newCaller()
		old.must(c.SetUp(id(3), longTimeout, 1, "x"))
		later := old.recordEvent(1)
		old.must(later.Answer("y"))
		old.recordMessage(c)
		old.must(open.Answer("y"))
		old.recordMessage(busy)
		old.expectClosed(busy)
		old.waitAck(1)
		// Ends are sent on connections of a known process. The connections of the old node stay open here, as both nodes are in one
		// process.
		old.must(first.ReleaseOnConn(id(1), 16)) // to the old node, whose caller has disconnected
		old.recordMessage(c)
		old.must(<-old.done) // it has ended by itself
		old.must(later.ReleaseOnConn(id(2), 41))
		old.recordMessage(c)
		// The caller ends a call that only the old process can have known.
		old.must(c.Release(id(4), 31))
		old.recordEvent(0)
		old.must(later.ReleaseOnConn(id(3), 16))
		old.recordMessage(c) // no other message came for the other calls
	})
}

// waitEndQueued waits until the end of a call waits for a caller to connect.
func (f *fixture) waitEndQueued() {
	f.Helper()
	const waited = "edge_lb_ends_waited_total 1"
	text := ""
	for until := time.Now().Add(peer.Timeout); !strings.Contains(text, waited); time.Sleep(time.Millisecond) {
		_, text = f.request("GET", "/api/telemetry")
		if time.Now().After(until) {
			f.Fatalf("no %q", waited)
		}
	}
}

// TestEndsThatWaitGoToTheSuccessor guards against losing the end of a call that waits at the old process for a caller to connect, while
// callers connect to the new process.
func TestEndsThatWaitGoToTheSuccessor(t *testing.T) {
	runUpgrade(t, []string{
		"d0: setup 1 x", "caller: answer 1 y", "d0: setup 2 x", "caller: release 1 16", "caller: answer 2 y",
	}, func(old *fixture) {
		disconnected := old.newCaller()
		old.must(disconnected.SetUp(id(1), longTimeout, 0, "x"))
		established := old.recordEvent(0)
		old.must(established.Answer("y"))
		old.recordMessage(disconnected)
		old.waitAck(0)
		old.must(disconnected.Close())
		old.must(established.ReleaseOnConn(id(1), 16))
		old.waitEndQueued()
		next := old.startSuccessor()
		next.sendList()
		next.waitReady()
		c := next.newCaller()
		old.must(c.SetUp(id(2), longTimeout, 0, "x"))
		e := old.recordEvent(0)
		old.recordMessage(c)
		old.must(e.Answer("y"))
		old.recordMessage(c)
		old.must(<-old.done)
	})
}

// TestASuccessorThatDies: the old process continues to serve if its successor dies, before or after it was ready, and another one may
// follow.
func TestASuccessorThatDies(t *testing.T) {
	runUpgrade(t, []string{
		"d0: setup 1 x", "caller: answer 1 y", "d0: setup 2 x", "caller: answer 2 y", "d0: setup 3 x", "caller: answer 3 y",
	}, func(old *fixture) {
		placeCall := func(f *fixture, n int) {
			t.Helper()
			c := f.newCaller()
			f.must(c.SetUp(id(n), longTimeout, 0, "x"))
			f.must(old.recordEvent(0).Answer("y"))
			old.recordMessage(c)
		}
		first := old.startSuccessor()
		placeCall(old, 1)
		first.node.loop.Quit()
		old.must(<-first.done)
		second := old.startSuccessor()
		second.sendList()
		second.waitReady()
		second.node.loop.Quit()
		old.must(<-second.done)
		for path := handover.Path(old.node.config.Listen); ; time.Sleep(time.Millisecond) {
			if _, err := os.Lstat(path); err == nil {
				break // the second node removed the path, and the old one has created it again
			}
		}
		old.waitReady()
		placeCall(old, 2)
		third := old.startSuccessor()
		third.sendList()
		third.waitReady()
		old.must(<-old.done)
		placeCall(third, 3)
	})
}

// TestForeignFilesAtTheHandoverPath: a file that is not a socket, a socket of a dead process, and one whose owner does not answer do not
// prevent a start.
func TestForeignFilesAtTheHandoverPath(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	listenUnix := func(path string) *net.UnixListener {
		l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatal(err)
		}
		l.SetUnlinkOnClose(false)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	for name, createFile := range map[string]func(path string) error{
		"file":   func(path string) error { return os.WriteFile(path, []byte("mine"), 0o600) },
		"stale":  func(path string) error { return listenUnix(path).Close() },
		"silent": func(path string) error { listenUnix(path); return nil },
		"rude": func(path string) error {
			l := listenUnix(path)
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.WriteString(nc, "{\"hello\":\"else\"}\n")
				}
			}()
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			listen := freeAddress(t)
			path := handover.Path(listen)
			if err := createFile(path); err != nil {
				t.Fatal(err)
			}
			f := newFixtureAt(t, listen, "127.0.0.1:0", "tcp", "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
			f.waitReady()
			info, err := os.Lstat(path)
			f.must(err)
			if foreign := name == "file"; foreign != info.Mode().IsRegular() || !foreign && info.Mode().Perm() != 0o600 {
				t.Errorf("%s is %v now", path, info.Mode())
			}
			f.node.loop.Quit()
			f.must(<-f.done)
			if left, _ := filepath.Glob(path + "*"); len(left) > 0 != (name == "file") {
				t.Errorf("%v is left over", left)
			}
		})
	}
}

// TestDescriptors: two processes together stay within the descriptor limit of one, with or without a second front.
func TestDescriptors(t *testing.T) {
	const (
		own        = 16 // of a program: its standard files, pollers, listeners, the list, the handover
		dispatcher = 4  // connections
		fleet      = 8  // dispatchers, twice as many as usual: during a release, old and new ones overlap
	)
	for _, sockets := range []int{256, 384, 1024} {
		for _, second := range []*config.WebSocket{nil, {}} {
			c := &config.Config{Management: "x", Operator: config.Operator{WebSocket: second}}
			c.Limits.Sockets = sockets
			connections := callerBounds(c).MaxOpen()
			if second != nil {
				connections *= 2
			}
			if all := connections + 2*(own+management.Descriptors) + dispatcher*fleet; all > sockets {
				t.Errorf("of %d descriptors, %d may be used (second front: %v)", sockets, all, second != nil)
			}
			for processes := 1; processes <= upgradeProcesses; processes++ {
				share := socketQuota(c, processes)
				for connected := range share.MaxCallers + 1 {
					callers, each := share.Divide(connected)
					if all := callers + processes*(own+management.Descriptors+each); all > sockets || each < dispatcher*fleet/4 {
						t.Fatalf("of %d descriptors, %d processes may use %d, %d for dispatchers (second front: %v)", sockets, processes, all, each, second != nil)
					}
				}
			}
		}
	}
}
