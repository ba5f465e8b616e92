package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/call"
	"cherryrelay/internal/lists"
	"cherryrelay/internal/peer"
)

// limitedProcess is the program in a process with few descriptors, by its configuration and by the limit of the system.
type limitedProcess struct {
	*process
	sockets  int
	maxOpen  atomic.Int64  // most descriptors that were open at once
	events   chan string   // of the coordinator's stream
	done     chan struct{} // closed when the test ends
	monitors sync.WaitGroup
}

// listEntry returns the entry of a dispatcher in a list.
func listEntry(name, address, status string, group int) map[string]any {
	return map[string]any{"name": name, "address": address, "status": status, "group": group, "zone": "east", "since_ms": 0}
}

// listEvent returns an event of the list.
func listEvent(index int, whole bool, entries ...map[string]any) map[string]any {
	return map[string]any{"index": index, "endpoints": map[string]any{"index": index, "snapshot": whole, "endpoints": entries}}
}

// startLimited starts the program with the example's settings and an initial list.
func startLimited(t *testing.T, sockets int, coordinator string, known ...map[string]any) *limitedProcess {
	t.Helper()
	if _, err := os.Stat("/proc/self/fd"); err != nil {
		t.Fatal("descriptors cannot be counted here: ", err)
	}
	s := &limitedProcess{process: &process{T: t, directory: t.TempDir(), lines: freeAddress(t), management: freeAddress(t)}, sockets: sockets}
	s.events, s.done = make(chan string, 1), make(chan struct{})
	text, err := os.ReadFile("../../example/config.json")
	s.must(err)
	var c map[string]any
	s.must(jsoniter.Unmarshal(text, &c))
	c["listen"], c["management"], c["coordinator"] = s.lines, s.management, coordinator
	c["limits"] = map[string]any{"memory_mb": 256, "sockets": sockets}
	c["known"] = map[string]any{"index": 1, "updates": []any{listEvent(1, true, known...)}}
	settings, ok := c["settings"].(map[string]any)
	if !ok {
		t.Fatal("the example has no settings")
	}
	settings["tenants"] = []any{map[string]any{"name": "acme"}}
	text, err = jsoniter.Marshal(c)
	s.must(err)
	path := filepath.Join(s.directory, "config.json")
	s.must(os.WriteFile(path, text, 0o600))
	s.log, s.ended = new(logBuffer), make(chan error, 1)
	s.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, sockets), os.Args[0])
	s.cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+path, "TMPDIR="+s.directory)
	s.cmd.Stderr = s.log
	s.must(s.cmd.Start())
	cmd, ended := s.cmd, s.ended
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() {
		close(s.done)
		s.monitors.Wait()
		if s.cmd != nil {
			s.kill()
		}
	})
	s.waitReady()
	s.monitor(s.cmd.Process.Pid)
	return s
}

func (s *limitedProcess) must(err error) {
	s.Helper()
	if err != nil {
		s.Fatal(err)
	}
}

// repeat runs a step repeatedly until the test ends.
func (s *limitedProcess) repeat(pause time.Duration, step func()) {
	s.monitors.Add(1)
	go func() {
		defer s.monitors.Done()
		for {
			step()
			select {
			case <-s.done:
				return
			case <-time.After(pause):
			}
		}
	}()
}

// monitor counts the descriptors of the process and polls its management address until the test ends.
func (s *limitedProcess) monitor(pid int) {
	s.repeat(time.Millisecond, func() {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err == nil && int64(len(open)) > s.maxOpen.Load() {
			s.maxOpen.Store(int64(len(open)))
		}
	})
	s.repeat(50*time.Millisecond, func() {
		for _, path := range []string{"/api/ready", "/api/telemetry"} {
			if status, _ := httpGet(s.management, path); status != http.StatusOK {
				s.Errorf("%s answers %d", path, status)
			}
		}
	})
}

// checkDescriptors reports an error if the process used up its descriptors.
func (s *limitedProcess) checkDescriptors() {
	s.Helper()
	s.Logf("%d descriptors of %d", s.maxOpen.Load(), s.sockets)
	if maxOpen := s.maxOpen.Load(); maxOpen >= int64(s.sockets) {
		s.Errorf("%d descriptors of %d are open: none is left", maxOpen, s.sockets)
	}
	for _, text := range []string{"too many open files", "no file descriptor"} {
		if strings.Contains(s.log.String(), text) {
			s.Errorf("the log contains %q", text)
		}
	}
}

// startCoordinator serves a stream at the address with the events of s.events.
func (s *limitedProcess) startCoordinator(address string) {
	s.Helper()
	ln, err := net.Listen("tcp", address)
	s.must(err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for text := ""; ; {
			_, _ = fmt.Fprintf(w, ": here\n\n%s", text)
			_ = http.NewResponseController(w).Flush()
			select {
			case text = <-s.events:
			case <-time.After(time.Second):
				text = ""
			case <-r.Context().Done():
				return
			}
		}
	}))
	_ = server.Listener.Close()
	server.Listener = ln
	server.Start()
	s.Cleanup(server.Close)
	s.Cleanup(server.CloseClientConnections)
}

// sendChange sends a change of the list to the process.
func (s *limitedProcess) sendChange(index int, entries ...map[string]any) {
	s.Helper()
	text, err := jsoniter.MarshalToString(listEvent(index, false, entries...))
	s.must(err)
	s.events <- fmt.Sprintf("id: %d\ndata: %s\n\n", index, text)
}

// waitServers waits until the active list has the given number of dispatchers.
func (s *limitedProcess) waitServers(servers int, within time.Duration) {
	s.Helper()
	since := time.Now()
	for {
		var state lists.State
		if _, body := httpGet(s.management, lists.StatePath); jsoniter.UnmarshalFromString(body, &state) == nil && state.Servers == servers {
			break
		}
		if time.Since(since) > peer.Timeout {
			s.Fatalf("the active list has %d dispatchers, want %d", state.Servers, servers)
		}
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(since); took > within {
		s.Errorf("the list became active after %v, want %v", took, within)
	}
}

// promptDispatcher is a dispatcher that answers every set-up at once.
type promptDispatcher struct {
	*peer.Dispatcher
	calls sync.Map // the IDs of the answered set-ups
}

func startPromptDispatcher(t *testing.T) *promptDispatcher {
	t.Helper()
	p, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	d := &promptDispatcher{Dispatcher: p}
	go func() {
		for e := range d.Events {
			if e.Kind == "setup" {
				d.calls.Store(e.ID, nil)
				_ = e.Answer("yes")
			}
		}
	}()
	go func() {
		for range d.Acks {
		}
	}()
	return d
}

// listenSilently listens at an address where connections open and nothing is sent on them.
func listenSilently(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// placeCall places a call, requires its final answer in time, and reports whether the call is established.
func (s *limitedProcess) placeCall(c *peer.Caller, number, first int) (established bool) {
	s.Helper()
	const left = 8 * time.Second
	if err := c.SetUp(id(number), left, first, "x"); err != nil {
		s.Errorf("call %d: %v", number, err)
		return false
	}
	for {
		m, err := c.NextWithin(left + left/2)
		if err != nil {
			s.Errorf("call %d has no final answer: %v", number, err)
			return false
		}
		if m.ID == id(number) { // otherwise it is the end of another call
			return m.Type == "answer"
		}
	}
}

// TestManyMoreDispatchersThanDescriptors: the list has 300 dispatchers, most of which drain, refuse connections, or accept them without
// sending anything. The program may hold 192 descriptors. Connections to dispatchers used up all of them, and callers were not accepted for
// seconds.
func TestManyMoreDispatchersThanDescriptors(t *testing.T) {
	const live, drain, refuse, silent, sockets = 40, 60, 120, 80, 192
	var known []map[string]any
	var dispatchers []*promptDispatcher
	add := func(address, status string) {
		known = append(known, listEntry(fmt.Sprint("d", len(known)), address, status, len(known)))
	}
	for range live {
		dispatchers = append(dispatchers, startPromptDispatcher(t))
		add(dispatchers[len(dispatchers)-1].Address(), "active")
	}
	for range drain {
		add(listenSilently(t), "leaving")
	}
	for i := range refuse {
		add(fmt.Sprintf("127.0.9.%d:1", i+1), "active")
	}
	for range silent {
		add(listenSilently(t), "active")
	}
	coordinator := freeAddress(t)
	s := startLimited(t, sockets, coordinator, known...)
	s.startCoordinator(coordinator)

	// A third of the descriptors is reserved for callers.
	const callers, calls = sockets / 3, 5
	var all sync.WaitGroup
	var connections [live]*peer.Caller
	var established atomic.Int64
	for i := range callers {
		c, err := peer.DialCaller("tcp", s.lines)
		s.must(err)
		defer c.Close()
		if i < live {
			connections[i] = c
		}
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range calls {
				if s.placeCall(c, 1+i*calls+n, (i+n)%live) {
					established.Add(1)
				}
			}
		}()
	}
	all.Wait()
	if least := int64(callers * calls * 9 / 10); established.Load() < least {
		t.Errorf("of %d calls %d are established, want %d", callers*calls, established.Load(), least)
	}

	newest := startPromptDispatcher(t)
	s.sendChange(2, listEntry("newest", newest.Address(), "active", len(known)), listEntry("d0", dispatchers[0].Address(), "leaving", 0))
	s.waitServers(len(known)+1, time.Second)
	if !s.placeCall(connections[0], 1000, len(known)) {
		t.Error("the call to the newest dispatcher is not established")
	}

	// A call is established at each of the live dispatchers, which then end it. They report the end on an open connection, and on those
	// that open later.
	dispatchers = append(dispatchers, newest)
	for i, c := range connections {
		all.Add(1)
		go func() {
			defer all.Done()
			first := i
			if i == 0 {
				first = len(known)
			}
			if !s.placeCall(c, 2000+i, first) {
				connections[i] = nil
			}
		}()
	}
	all.Wait()
	since := time.Now()
	for _, d := range dispatchers {
		s.repeat(20*time.Millisecond, func() {
			d.calls.Range(func(id, _ any) bool { return d.Release(fmt.Sprint(id), call.CauseNormal) == nil })
		})
	}
	for i, c := range connections {
		for c != nil {
			m, err := c.NextWithin(8 * time.Second)
			if err != nil {
				t.Fatalf("the end of call %d is not delivered: %v", 2000+i, err)
			}
			if m.Type == "release" && m.ID == id(2000+i) {
				break
			}
		}
	}
	took := time.Since(since)
	t.Logf("%d of %d calls were established; the last end was delivered after %v", established.Load(), callers*calls, took)
	if took > 8*time.Second {
		t.Errorf("the last end was delivered after %v", took)
	}
	s.checkDescriptors()
}

// TestIdleClientsWhileDiscoveryIsDown: idle clients take every connection they can get and reconnect when they are closed, while no
// coordinator answers and most dispatchers of the list send nothing. The controller still reconnects to the other dispatchers and answers
// operators. When the coordinator returns, its list becomes active within a second.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const sockets, clients = 160, 300
	coordinator := freeAddress(t)
	var known []map[string]any
	var dispatchers []*promptDispatcher
	for i := range 8 {
		dispatchers = append(dispatchers, startPromptDispatcher(t))
		known = append(known, listEntry(fmt.Sprint("d", i), dispatchers[i].Address(), "active", i))
	}
	for i := range 60 {
		known = append(known, listEntry(fmt.Sprint("silent", i), listenSilently(t), "active", len(known)))
	}
	s := startLimited(t, sockets, coordinator, known...)
	c, err := peer.DialCaller("tcp", s.lines)
	s.must(err)
	defer c.Close()
	s.placeCall(c, 1, 0)
	var refused atomic.Int64
	for range clients {
		s.repeat(time.Millisecond, func() {
			idle, err := net.Dial("tcp", s.lines)
			if err != nil {
				return
			}
			defer idle.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = idle.Read(make([]byte, 1))
			}()
			select {
			case <-ended:
				refused.Add(1)
			case <-s.done:
			}
		})
	}
	for until := time.Now().Add(peer.Timeout); refused.Load() < clients; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the idle clients never exceed the limit")
		}
	}
	for i, d := range dispatchers {
		d.ResetConns()
		if !s.placeCall(c, 10+i, i) {
			t.Errorf("the call to dispatcher %d is not established", i)
		}
	}
	s.startCoordinator(coordinator)
	newest := startPromptDispatcher(t)
	s.sendChange(2, listEntry("newest", newest.Address(), "active", len(known)))
	s.waitServers(len(known)+1, time.Second)
	if !s.placeCall(c, 100, len(known)) {
		t.Error("the call to the newest dispatcher is not established")
	}
	if maxOpen := s.maxOpen.Load(); maxOpen < sockets/2 {
		t.Errorf("%d descriptors of %d: the clients do not use them up", maxOpen, sockets)
	}
	s.checkDescriptors()
}
