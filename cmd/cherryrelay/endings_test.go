package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/call"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// These tests send ends of calls on connections that are blocked, unresponsive or about to close; docs/crossings.md has the table.

// endDeliveryTimeout is the longest time to the delivery of an end where the dispatcher could not send a release (see the protocol page).
const endDeliveryTimeout = 8 * time.Second

// TestEndsOnADeadConnection: one of two connections to a dispatcher is unresponsive, which the dispatcher does not notice. It sends the
// ends of its calls there and never closes it. Each end is sent again on the next connection that is opened, and only such an end makes the
// node open one.
func TestEndsOnADeadConnection(t *testing.T) {
	for _, mix := range [][2]string{{"tcp", "tcp"}, {"ws", "ws"}} {
		for name, cancelled := range map[string]bool{"no cancelled set-up": false, "with a cancelled set-up": true} {
			t.Run(name+", "+mix[0]+" to "+mix[1], func(t *testing.T) {
				t.Parallel()
				f := newFixtureWithSettings(t, mix[0], mix[1], false, testSettings(t))
				f.waitConnections(0, 1)
				c := f.newCaller()
				f.must(c.SetUp(id(1), longTimeout, 0, "x"))
				live := f.recordEvent(0)
				f.waitConnections(0, 2) // a connection without any message makes the pool open another
				f.must(f.dispatchers[0].Release(id(0x66), call.CauseNormal))
				f.recordMessage(c) // on the second connection: the node has opened it
				place := func(n int) peer.Event {
					f.must(c.SetUp(id(n), longTimeout, 0, "x"))
					e := f.recordEvent(0)
					if e.SameConn(live) {
						t.Fatalf("the set-up %d was sent on the connection of the first, which is pending", n)
					}
					return e
				}
				var unresponsive peer.Event
				for n := 2; n <= 3; n++ {
					unresponsive = place(n)
					f.must(unresponsive.Answer("y"))
					f.recordMessage(c)
				}
				if cancelled {
					place(4)
					f.must(unresponsive.ReleaseOnConn(id(0x77), call.CauseNormal))
					f.recordMessage(c) // so that a message has arrived since the set-up was sent
				}
				unresponsive.DiscardInput()
				if cancelled {
					f.must(c.Release(id(4), call.CauseNormal))
				}
				f.must(live.Answer("y"))
				f.recordMessage(c)
				d := f.dispatchers[0]
				d.EnableConnEvents()
				others := 0
				for n := 2; n <= 3; n++ {
					ended := time.Now() // the dispatcher sends the end on the unresponsive connection
					for delivered := false; !delivered; time.Sleep(50 * time.Millisecond) {
						select {
						case e := <-d.Events:
							if e.Kind == "opened" {
								f.must(e.ReleaseOnConn(id(n), call.CauseNormal))
							}
						default: // other calls keep the connections busy
							others++
							f.must(live.ReleaseOnConn(id(0x1000+others), call.CauseNormal))
						}
						for received := false; !received && !delivered; {
							m, err := c.NextWithin(100 * time.Millisecond)
							if errors.Is(err, os.ErrDeadlineExceeded) {
								break
							}
							f.must(err)
							delivered, received = m.ID == id(n), m.ID == id(0x1000+others)
						}
						if time.Since(ended) > peer.Timeout {
							t.Fatalf("the end of call %d is never delivered", n)
						}
					}
					if took := time.Since(ended); took > endDeliveryTimeout {
						t.Errorf("the end of call %d was delivered after %v", n, took)
					}
				}
			})
		}
	}
}

// TestAnEndAsTheLastConnectionCloses: the end of a call and the close of the only caller's connection are queued for the loop, in both
// orders. The end must be delivered on the next connection.
func TestAnEndAsTheLastConnectionCloses(t *testing.T) {
	for kind, cancel := range cancellations {
		if kind == "release" {
			continue
		}
		for _, transport := range []string{"tcp", "ws"} {
			for _, endFirst := range []bool{true, false} {
				t.Run(fmt.Sprint(kind, ", ", transport, ", the end first: ", endFirst), func(t *testing.T) {
					t.Parallel()
					f := newFixtureWithSettings(t, transport, "tcp", false, testSettings(t))
					c := f.newCaller()
					f.must(c.SetUp(id(1), longTimeout, 0, "x"))
					e := f.recordEvent(0)
					f.must(e.Answer("y"))
					f.recordMessage(c)
					f.waitAck(0)
					resumeLoop := f.pauseLoop()
					before := f.node.loop.Pending()
					actions := []func() error{
						func() error { return e.ReleaseOnConn(id(1), call.CauseNormal) }, func() error { return cancel(f, c, 1) },
					}
					if !endFirst {
						actions[0], actions[1] = actions[1], actions[0]
					}
					for i, action := range actions {
						f.must(action())
						f.waitQueued(before + i + 1)
					}
					resumeLoop()
					other := f.newCaller()
					f.must(other.SetUp(id(2), longTimeout, 0, "x"))
					f.recordMessage(other)
					f.must(f.recordEvent(0).Answer("y"))
					f.recordMessage(other)
					want := []string{"d0: setup 1 x", "caller: answer 1 y", "caller: release 1 16", "d0: setup 2 x", "caller: answer 2 y"}
					if diff := cmp.Diff(want, f.observed); diff != "" {
						t.Errorf("messages of the peers (-want +got):\n%s", diff)
					}
				})
			}
		}
	}
}

// blockSocket fills the socket of a caller: the caller sends many pings and reads no answer until the node can write no more. It returns
// the number of unread answers.
func (f *fixture) blockSocket(c *peer.Caller) (pings int) {
	f.Helper()
	for {
		f.must(c.Send(jsonl.Message{Type: "ping", ID: strings.Repeat("0", 12<<10)})) // its answer repeats the ID
		pings++
		for since := time.Now(); !f.frontsIdle(); time.Sleep(time.Millisecond) {
			if time.Since(since) > 300*time.Millisecond { // far longer than reading one takes
				return pings
			}
		}
		if pings > 10_000 {
			f.Fatal("the socket never blocks")
		}
	}
}

// frontsIdle reports whether the fronts have no unread input and no buffered output.
func (f *fixture) frontsIdle() bool {
	idle := make(chan bool)
	f.node.loop.Post(func() { idle <- f.node.lines.Idle() && f.node.api.Idle() })
	return <-idle
}

// TestLastAnswersWaitForTheSocket: a draining controller could exit while a caller has not read its answer.
func TestLastAnswersWaitForTheSocket(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			f := newFixtureWithSettings(t, transport, "tcp", false, testSettings(t))
			c := f.newCaller()
			f.must(c.SetUp(id(1), longTimeout, 0, "x"))
			e := f.recordEvent(0)
			pings := f.blockSocket(c)
			f.must(e.Refuse(peer.NumberBusy))
			f.waitAck(0)
			f.node.drain()
			time.Sleep(900 * time.Millisecond) // beyond the time after which it would exit
			select {
			case <-f.done:
				t.Error("it exited with an undelivered answer")
			default:
			}
			for pongs := 0; ; pongs++ {
				m, err := c.Next()
				if err != nil {
					t.Fatalf("%v after %d of %d pongs: want the final answer", err, pongs, pings)
				}
				if m.Type != "pong" {
					if m.ID != id(1) || m.Type != "release" {
						t.Errorf("got %+v, want a final answer", m)
					}
					break
				}
			}
			f.must(<-f.done)
		})
	}
}

// TestASlowReaderDoesNotAffectOthers: a caller reads nothing and sends more pings than answers may be buffered. Its connection is closed
// and its set-up cancelled, and no other caller is affected.
func TestASlowReaderDoesNotAffectOthers(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			f := newFixtureWithSettings(t, transport, "tcp", false, testSettings(t))
			c, other := f.newCaller(), f.newCaller()
			f.must(c.SetUp(id(1), longTimeout, 0, "x"))
			f.recordEvent(0)
			f.must(other.SetUp(id(2), longTimeout, 1, "x"))
			e := f.recordEvent(1)
			f.blockSocket(c)
			go func() { // until its connection is closed
				for c.Send(jsonl.Message{Type: "ping", ID: strings.Repeat("0", 12<<10)}) == nil {
				}
			}()
			f.recordEvent(0)
			f.must(e.Answer("y"))
			f.recordMessage(other)
			want := []string{"d0: setup 1 x", "d1: setup 2 x", "d0: release 1 16", "caller: answer 2 y"}
			if diff := cmp.Diff(want, f.observed); diff != "" {
				t.Errorf("messages of the peers (-want +got):\n%s", diff)
			}
		})
	}
}

// TestADrainDuringAPauseIsSeenFirst: while the process is stopped, the guard of a call ends and both dispatchers get the status leaving,
// longer ago than the grace period. When the process continues, no set-up is sent to either.
func TestADrainDuringAPauseIsSeenFirst(t *testing.T) {
	t.Parallel()
	events := make(chan string)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case e := <-events:
				fmt.Fprint(w, e)
			case <-time.After(100 * time.Millisecond):
				fmt.Fprint(w, ": here\n\n")
			case <-r.Context().Done():
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(list.Close)
	t.Cleanup(list.CloseClientConnections)
	whole, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(whole), `"coordinator": ""`, `"coordinator":"`+strings.TrimPrefix(list.URL, "http://")+`"`, 1)
	var d [2]*peer.Dispatcher
	for i := range d {
		if d[i], err = peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d[i].Kill)
		text = strings.Replace(text, fmt.Sprintf("127.0.0.1:700%d", i+1), d[i].Address(), 1)
	}
	p := &process{T: t, directory: t.TempDir(), lines: freeAddress(t), management: freeAddress(t), log: new(logBuffer), ended: make(chan error, 1)}
	path := filepath.Join(p.directory, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+path, "LB_LISTEN="+p.lines, "LB_MANAGEMENT="+p.management)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, ended := p.cmd, p.ended
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() {
		if p.cmd != nil {
			p.kill()
		}
	})
	p.waitReady()
	number := 1
	sendStatus := func(status string) {
		number++
		e := fmt.Sprintf("id: %d\ndata: {\"index\":%[1]d,\"endpoints\":{\"snapshot\":false,\"endpoints\":[", number)
		for i, d := range d {
			e += fmt.Sprintf(`{"name":"toy-%d","address":%q,"group":%d,"status":%q,"since_ms":0},`, i+1, d.Address(), i, status)
		}
		events <- strings.TrimSuffix(e, ",") + "]}}\n\n"
	}
	for n := 1; n <= 6; n++ {
		c, other, e := setUpInGuard(t, p, d, n)
		p.signal(syscall.SIGSTOP)
		sendStatus("leaving")
		time.Sleep(guard + 100*time.Millisecond) // the grace period is no longer than the guard
		p.signal(syscall.SIGCONT)
		if err := e.Answer("y"); err != nil {
			t.Fatal(err)
		}
		if m, err := other.Next(); err != nil || m.Type != "answer" {
			t.Fatalf("%+v, %v: want an answer", m, err)
		}
		if m, err := c.Next(); err != nil || m.ID != id(n) || m.Type != "release" {
			t.Fatalf("%+v, %v: want a final answer: all dispatchers are leaving", m, err)
		}
		for i, d := range d {
			for len(d.Events) > 0 {
				if e := <-d.Events; e.Kind == "setup" {
					t.Errorf("round %d: dispatcher %d was sent %s, %v after its status became leaving", n, i, e.ID, guard)
				}
			}
		}
		sendStatus("active")
		for again := 1; ; again++ { // until the node has applied the change
			if err := other.SetUp(id(0x1000*n+again), 8*time.Second, 0, "x"); err != nil {
				t.Fatal(err)
			}
			select {
			case e := <-d[0].Events:
				err = e.Answer("y")
			case e := <-d[1].Events:
				err = e.Answer("y")
			case <-time.After(100 * time.Millisecond):
			}
			m, errNext := other.Next()
			if err := errors.Join(err, errNext); err != nil {
				t.Fatal(err)
			}
			if m.Type == "answer" {
				break
			}
		}
		_, _ = c.Close(), other.Close()
	}
}

// pendingFinder finds no call and never finishes its lookup.
type pendingFinder struct{ call.Finder }

func (pendingFinder) Lookup(string, []byte) bool { return true }

// TestALookupIsAnsweredInTime: callers resume calls that other controllers may have. A resume request with a time left is answered by that
// time, and one without only when the lookup has finished.
func TestALookupIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	f := newFixtureWithSettings(t, "ws", "tcp", false, testSettings(t))
	set := make(chan struct{})
	f.node.loop.Post(func() {
		f.node.core.UseFinder(pendingFinder{}, func() bool { return true }, func(err error) { t.Error(err) })
		close(set)
	})
	<-set
	c := f.newCaller()
	begun := time.Now()
	for n, left := range []string{"1200", "600", "900", ""} {
		fields := map[string]jsonl.Value{"token": "a token of some caller"}
		if left != "" {
			fields["left"] = jsonl.Value(left)
		}
		f.must(c.Send(jsonl.Message{Type: "resume", ID: id(n), Fields: fields}))
	}
	for _, want := range []struct {
		id int
		by time.Duration
	}{{1, 600 * time.Millisecond}, {2, 900 * time.Millisecond}, {0, 1200 * time.Millisecond}} {
		m, err := c.Next()
		f.must(err)
		if took := time.Since(begun); m.ID != id(want.id) || m.Type != "release" || m.Fields["error"] != "unknown" || took < want.by-100*time.Millisecond {
			t.Errorf("%+v after %v: want the final answer to %d by %v", m, took, want.id, want.by)
		}
	}
	f.node.loop.Post(func() { f.node.core.CallNotFound(id(3), false) })
	if m, err := c.Next(); err != nil || m.ID != id(3) || m.Fields["error"] != "unknown" {
		t.Errorf("%+v, %v: want the answer to the last request", m, err)
	}
}
