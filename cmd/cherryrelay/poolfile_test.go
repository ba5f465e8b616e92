package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"

	"cherryrelay/control"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/commands"
	"cherryrelay/internal/config"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/lists"
	"cherryrelay/internal/lists/files"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/lists/stored"
	"cherryrelay/internal/peer"
)

// poolFixture is a controller that follows a pool file, and dispatchers that answer every call at once.
type poolFixture struct {
	*fixture
	dispatchers []*answeringDispatcher
	path, state string
	config      *config.Config
	log         *logRecorder
}

// answeringDispatcher is a dispatcher that answers every set-up and records its ID and time.
type answeringDispatcher struct {
	*peer.Dispatcher
	mu           sync.Mutex
	received     []arrival
	callDuration time.Duration // 0 if the caller ends the call
	ended        chan struct{}
}

type arrival struct {
	id string
	at time.Time
}

func (d *answeringDispatcher) serve() {
	defer close(d.ended)
	go func() {
		for range d.Acks { // discarded
		}
	}()
	for e := range d.Events {
		if e.Kind != "setup" {
			continue
		}
		d.mu.Lock()
		d.received = append(d.received, arrival{e.ID, e.At})
		duration := d.callDuration
		d.mu.Unlock()
		_ = e.Answer("y")
		if duration > 0 {
			time.AfterFunc(duration, func() { _ = d.Release(e.ID, 16) })
		}
	}
}

func (d *answeringDispatcher) arrivals() []arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]arrival(nil), d.received...)
}

// logRecorder is a log handler that keeps the text of the log.
type logRecorder struct {
	slog.Handler
	mu   sync.Mutex
	text bytes.Buffer
}

func newLogRecorder() *logRecorder {
	n := &logRecorder{}
	n.Handler = slog.NewTextHandler(n, nil)
	return n
}

func (n *logRecorder) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text.Write(p)
}

func (n *logRecorder) contains(text string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Contains(n.text.String(), text)
}

// newPoolFixture starts n dispatchers. The controller is started by serve.
func newPoolFixture(t *testing.T, transport string, n int) *poolFixture {
	t.Helper()
	s := &poolFixture{fixture: &fixture{T: t, transport: transport}, path: filepath.Join(t.TempDir(), "pool.ini"), state: t.TempDir(), log: newLogRecorder()}
	for range n {
		d, err := peer.StartDispatcher(transport, "127.0.0.1:0", "x0:1000000;x1:1000000")
		s.must(err)
		a := &answeringDispatcher{Dispatcher: d, ended: make(chan struct{})}
		go a.serve()
		t.Cleanup(d.Kill)
		s.dispatchers = append(s.dispatchers, a)
	}
	s.config = new(config.Config)
	s.config.Listen, s.config.Management, s.config.Seed = "127.0.0.1:0", "127.0.0.1:0", "1"
	s.config.WebSocket = &config.WebSocket{Listen: "127.0.0.1:0", Path: peer.Path}
	s.config.Settings = testSettings(t)
	s.config.Settings.FamilyInfo.AllowedPools = nil
	s.config.Pool = &files.Options{File: s.path}
	return s
}

// startedLongAgo is the start time of most dispatchers, so that none of them gets a cold start.
var startedLongAgo = time.Duration(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())

// member returns the list entry of the i-th dispatcher with a weight.
func (s *poolFixture) member(i, weight int) pool.Member {
	if weight == 0 {
		weight = pool.NoNewCalls
	}
	return pool.Member{Address: s.dispatchers[i].Address(), ServerEntry: control.ServerEntry{
		ID: control.ServerID(fmt.Sprint("s", i)), Cell: i, Weight: weight, StartedAt: startedLongAgo}}
}

// replaceFile replaces the pool file with a single rename.
func (s *poolFixture) replaceFile(text []byte) {
	s.Helper()
	s.must(os.WriteFile(s.path+".new", text, 0o600))
	s.must(os.Rename(s.path+".new", s.path))
}

// writeWeights writes a pool file with the first dispatchers and their weights.
func (s *poolFixture) writeWeights(label string, weights ...int) {
	s.Helper()
	var members []pool.Member
	for i, w := range weights {
		members = append(members, s.member(i, w))
	}
	s.replaceFile(poolfile.Encode(label, members))
}

// startController starts the controller.
func (s *poolFixture) startController() error {
	n, err := startWithBounds(s.config, slog.New(s.log), callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
	if err != nil {
		return err
	}
	s.node, s.done = n, make(chan error, 1)
	s.Cleanup(s.logOnFailure)
	done := s.done
	go func() { done <- n.run() }()
	s.Cleanup(n.loop.Quit)
	return nil
}

func (s *poolFixture) serve() {
	s.Helper()
	s.must(s.startController())
	s.waitReady()
}

// stop stops the controller.
func (s *poolFixture) stop() {
	s.Helper()
	s.node.loop.Quit()
	s.must(<-s.done)
}

// poolState returns the state of the list that the controller reports.
func (f *fixture) poolState() lists.State {
	f.Helper()
	status, text := f.request("GET", lists.StatePath)
	var s lists.State
	if err := jsoniter.UnmarshalFromString(text, &s); err != nil || status != 200 {
		f.Fatalf("%d %s: %v", status, text, err)
	}
	return s
}

// waitActive waits until a version is active and applied by the event loop.
func (f *fixture) waitActive(label string) {
	f.Helper()
	for until := time.Now().Add(peer.Timeout); ; time.Sleep(time.Millisecond) {
		s := f.poolState()
		if s.Version != nil && s.Version.Label == label {
			f.poolState() // one event loop iteration later, everything posted with the version has run
			return
		}
		if time.Now().After(until) {
			f.Fatalf("%s is not active: %+v", label, s)
		}
	}
}

// waitRefused waits until the last candidate is refused for a reason.
func (f *fixture) waitRefused(reason pool.Reason) {
	f.Helper()
	for until := time.Now().Add(peer.Timeout); ; time.Sleep(time.Millisecond) {
		if t := f.poolState().LastRefused; t != nil && t.Faults[0].Reason == reason {
			return
		} else if time.Now().After(until) {
			f.Fatalf("not refused for %s, but %+v", reason, t)
		}
	}
}

// sendSetUp sends a set-up without a first choice.
func sendSetUp(c *peer.Caller, id string) error {
	x := "x"
	return c.Send(jsonl.Message{Type: "setup", ID: id, SDP: &x, Fields: map[string]jsonl.Value{
		"class": "send-setup", "tenant": "acme", "key": jsonl.Value("k" + id), "left": jsonl.Value(strconv.Itoa(int(longTimeout.Milliseconds())))}})
}

// placeCalls places calls one after the other, ends each, and returns the number of set-ups per dispatcher.
func (s *poolFixture) placeCalls(from, n int) []int {
	s.Helper()
	before := make([]int, len(s.dispatchers))
	for i, d := range s.dispatchers {
		before[i] = len(d.arrivals())
	}
	c := s.newCaller()
	for i := range n {
		s.must(sendSetUp(c, id(from+i)))
		m, err := c.Next()
		for err == nil && m.Type == "release" && m.ID != id(from+i) {
			m, err = c.Next() // the dispatcher's end of an earlier call, which crossed that of the caller
		}
		s.must(err)
		if m.Type != "answer" || m.ID != id(from+i) {
			s.Fatalf("call %d: %+v", i, m)
		}
		s.must(c.Release(m.ID, 16))
	}
	for i, d := range s.dispatchers {
		before[i] = len(d.arrivals()) - before[i]
	}
	return before
}

func TestCallsGoByTheWeightsOfTheFile(t *testing.T) {
	const n = 2000
	s := newPoolFixture(t, "tcp", 2)
	s.writeWeights("even", 100, 100)
	s.serve()
	s.waitActive("even")
	for i, test := range []struct {
		label   string
		weights []int
		want    []int
	}{
		{"even", []int{100, 100}, []int{n / 2, n / 2}},
		{"one-to-three", []int{1, 3}, []int{n / 4, 3 * n / 4}},
		{"none-to-one", []int{0, 1}, []int{0, n}},
		{"even-again", []int{5, 5}, []int{n / 2, n / 2}},
	} {
		s.writeWeights(test.label, test.weights...)
		s.waitActive(test.label)
		got := s.placeCalls(0x10000*(i+1), n)
		for j, want := range test.want {
			if diff := got[j] - want; diff < -n/20 || diff > n/20 || want == 0 && got[j] > 0 {
				t.Errorf("%s: %v, want %v", test.label, got, test.want)
			}
		}
		t.Logf("%s: %v of %d calls", test.label, got, n)
	}
}

// TestARemovedDispatcherGetsNoNewCalls: a removed dispatcher and one with weight 0 get no new calls, and their established calls continue.
func TestARemovedDispatcherGetsNoNewCalls(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			s := newPoolFixture(t, transport, 2)
			s.writeWeights("both", 1, 1)
			s.serve()
			c := s.newCaller()
			for i, remove := range []func(){func() { s.writeWeights("idle", 0, 1) }, func() { s.replaceFile(poolfile.Encode("left", []pool.Member{s.member(1, 1)})) }} {
				s.writeWeights("both", 1, 1)
				s.waitActive("both")
				established := id(0x100 * (i + 1))
				s.must(c.SetUp(established, longTimeout, 0, "x"))
				s.recordMessage(c)
				remove()
				s.waitActive([]string{"idle", "left"}[i])
				if got := s.placeCalls(0x1000*(i+1), 20); got[0] != 0 || got[1] != 20 {
					t.Errorf("calls went to %v", got)
				}
				s.must(s.dispatchers[0].Release(established, 16))
				s.recordMessage(c)
			}
			if diff := cmp.Diff([]string{"caller: answer 100 y", "caller: release 100 16", "caller: answer 200 y", "caller: release 200 16"}, s.observed); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestCallsOfARemovedDispatcherContinue: the calls continue for longer than a removed dispatcher is waited for, and are cut when it dies.
func TestCallsOfARemovedDispatcherContinue(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			s := newPoolFixture(t, transport, 2)
			s.writeWeights("both", 1, 1)
			s.serve()
			c := s.newCaller()
			for _, n := range []int{1, 2} {
				s.must(c.SetUp(id(n), longTimeout, 0, "x"))
				s.recordMessage(c)
			}
			s.replaceFile(poolfile.Encode("left", []pool.Member{s.member(1, 1)}))
			s.waitActive("left")
			time.Sleep(3 * time.Second)
			s.must(s.dispatchers[0].Release(id(1), 16))
			s.recordMessage(c)
			s.dispatchers[0].Kill()
			s.recordMessage(c)
			if diff := cmp.Diff([]string{"caller: answer 1 y", "caller: answer 2 y", "caller: release 1 16", "caller: release 2 41"}, s.observed); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnInvalidFileLeavesTheSetActive: an invalid file does not change the active set, and operators see the reason.
func TestAnInvalidFileLeavesTheSetActive(t *testing.T) {
	s := newPoolFixture(t, "tcp", 2)
	s.writeWeights("good", 1, 1)
	s.serve()
	s.waitActive("good")
	whole := poolfile.Encode("next", []pool.Member{s.member(0, 1), s.member(1, 9)})
	for _, invalid := range []struct {
		text   []byte
		reason pool.Reason
	}{
		{whole[:len(whole)/2], pool.Unfinished},
		{bytes.Replace(whole, []byte("server s1"), []byte("server s0"), 1), pool.Duplicate},
		{poolfile.Encode("zero", []pool.Member{s.member(0, 0), s.member(1, 0)}), pool.NoneActive},
		{bytes.Replace(whole, []byte("servers = 2"), []byte("servers = 3"), 1), pool.BadCount},
		{nil, pool.Unfinished},
	} {
		s.replaceFile(invalid.text)
		s.waitRefused(invalid.reason)
		s.waitActive("good")
	}
	s.must(os.Remove(s.path))
	s.waitRefused(pool.Missing)
	if got := s.placeCalls(0x100, 20); got[0] != 10 || got[1] != 10 {
		t.Errorf("calls went to %v", got)
	}
	_, metrics := s.request("GET", "/api/telemetry")
	for _, want := range []string{`edge_lb_pool_versions_taken_total 1`, `edge_lb_pool_versions_refused_total{reason="twice"} 1`,
		`edge_lb_pool_refused 1`, `edge_lb_pool_servers 2`, `edge_lb_pool_weight 2`} {
		if !strings.Contains(metrics, want+"\n") {
			t.Errorf("the metrics do not contain %q", want)
		}
	}
	s.replaceFile(whole)
	s.waitActive("next")
	if s.poolState().LastRefused != nil {
		t.Error("the fault is still reported after a valid file")
	}
}

// TestStartsWithAnInvalidFile: with a stored set the controller serves and logs the fault. Without a stored set, or with a damaged one, it
// exits with a one-line error.
func TestStartsWithAnInvalidFile(t *testing.T) {
	s := newPoolFixture(t, "tcp", 2)
	s.config.State = &config.State{Directory: s.state}
	s.replaceFile([]byte("[pool]\n"))
	expectFailure := func() {
		t.Helper()
		if err := s.startController(); err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), s.path) {
			t.Errorf("the start returned %v", err)
		}
	}
	expectFailure()
	s.writeWeights("good", 1, 3)
	s.serve()
	s.waitActive("good")
	s.stop()
	s.replaceFile([]byte("[pool]\n"))
	s.serve()
	s.waitRefused(pool.Unfinished)
	if v := s.poolState(); v.Version.Source != pool.FromSnapshot || v.Version.Label != "good" || v.Servers != 2 || !s.log.contains("serving with the stored set") {
		t.Errorf("serves with %+v", v.Version)
	}
	if got := s.placeCalls(0x100, 40); got[0] != 10 || got[1] != 30 {
		t.Errorf("calls went to %v", got)
	}
	s.stop()
	path := filepath.Join(s.state, stored.FileName)
	text, err := os.ReadFile(path)
	s.must(err)
	s.must(os.WriteFile(path, text[:len(text)-1], 0o600))
	expectFailure()
	s.writeWeights("later", 1, 1) // with a valid file, a damaged stored set does no harm
	s.serve()
	s.waitActive("later")
	if !s.log.contains("the stored set is corrupted") {
		t.Error("the damaged stored set is not logged")
	}
}

// TestAReplacementStartsCold: a dispatcher with another name at the same address, or with the same name and a later start, starts cold. The
// established call of the old one is cut, and its caller is notified.
func TestAReplacementStartsCold(t *testing.T) {
	for name, change := range map[string]func(*pool.Member){
		"another name": func(m *pool.Member) { m.ID, m.StartedAt = "new", 0 },
		"later start":  func(m *pool.Member) { m.StartedAt = time.Duration(time.Now().UnixNano()) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newPoolFixture(t, "tcp", 2)
			s.writeWeights("old", 1, 1)
			s.serve()
			c := s.newCaller()
			s.must(c.SetUp(id(1), longTimeout, 0, "x"))
			s.recordMessage(c)
			s.dispatchers[0].ResetConns() // the old process ends
			m := s.member(0, 1)
			change(&m)
			s.replaceFile(poolfile.Encode("new", []pool.Member{m, s.member(1, 1)}))
			s.waitActive("new")
			s.recordMessage(c)
			if diff := cmp.Diff([]string{"caller: answer 1 y", "caller: release 1 41"}, s.observed); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if !s.log.contains("server " + string(m.ID) + " starts cold") {
				t.Error("it does not start cold")
			}
		})
	}
}

// TestASuccessorHasTheSameSet: upgrades during a change and while the file is invalid.
func TestASuccessorHasTheSameSet(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	s := newPoolFixture(t, "tcp", 2)
	s.config.Listen, s.config.WebSocket.Listen = freeAddress(t), freeAddress(t)
	s.config.State = &config.State{Directory: s.state}
	s.writeWeights("one", 1, 1)
	s.serve()
	s.writeWeights("two", 1, 3)
	old := s.fixture
	s.fixture = &fixture{T: t, transport: "tcp"}
	s.serve() // starts the successor
	s.waitActive("two")
	s.must(<-old.done)
	if got := s.placeCalls(0x100, 40); got[0] != 10 || got[1] != 30 {
		t.Errorf("calls went to %v", got)
	}
	s.replaceFile([]byte("["))
	s.waitRefused(pool.Unfinished)
	old = s.fixture
	s.fixture = &fixture{T: t, transport: "tcp"}
	s.serve()
	s.waitActive("two")
	s.must(<-old.done)
	if got := s.placeCalls(0x1000, 40); got[0] != 10 || got[1] != 30 {
		t.Errorf("calls went to %v", got)
	}
}

// TestReloadReadsTheFile: SIGHUP during a change activates the file of that moment.
func TestReloadReadsTheFile(t *testing.T) {
	s := newPoolFixture(t, "tcp", 2)
	s.writeWeights("one", 1, 1)
	s.serve()
	s.writeWeights("two", 1, 3)
	again := *s.config
	s.node.reload(&again, nil)
	s.writeWeights("three", 3, 1)
	s.node.reload(nil, errors.New("cannot be read"))
	s.waitActive("three")
	if got := s.placeCalls(0x100, 40); got[0] != 30 || got[1] != 10 {
		t.Errorf("calls went to %v", got)
	}
}

// runCommand runs a sub-command.
func runCommand(args ...string) (status int, out, faults string) {
	var o, f bytes.Buffer
	status = commands.Run(args, func(string) string { return "" }, &o, &f, func(commands.Options) error { return errors.New("not here") })
	return status, o.String(), f.String()
}

// TestPoolCommands queries a running controller with more servers than a page holds.
func TestPoolCommands(t *testing.T) {
	s := newPoolFixture(t, "tcp", 1)
	members := []pool.Member{s.member(0, 7)}
	for i := range 999 {
		members = append(members, pool.Member{Address: fmt.Sprintf("127.1.%d.%d:1", i/250, i%250+1), ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprintf("t%03d", i)), Zone: "tartu", Status: control.Draining, Weight: pool.NoNewCalls}})
	}
	s.replaceFile(poolfile.Encode("many", members))
	s.serve()
	s.replaceFile([]byte("[end]\n"))
	s.waitRefused(pool.BadFormat)
	at := "--management=" + s.node.manage.Address()
	status, out, faults := runCommand("pool", "show", at)
	if lines := strings.Count(out, "\n"); status != 0 || faults != "" || lines != 1000+6 || !strings.Contains(out, "version many") || !strings.Contains(out, "the first section must be [pool]") {
		t.Errorf("status %d, %d lines, faults %q: %.500s", status, lines, faults, out)
	}
	status, out, _ = runCommand("pool", "show", "--json", at)
	var set struct{ Members []lists.ServerState }
	if err := jsoniter.UnmarshalFromString(out, &set); err != nil || status != 0 || len(set.Members) != 1000 || set.Members[0].Weight != 7 {
		t.Errorf("status %d, %d members, %v", status, len(set.Members), err)
	}
	status, out, _ = runCommand("pool", "history", at)
	if status != 0 || !strings.Contains(out, "refused from file") || !strings.Contains(out, "taken from file, version many") {
		t.Errorf("status %d: %s", status, out)
	}
	if status, _, faults = runCommand("pool", "show", "--management=127.0.0.1:1"); status != 1 || strings.Count(faults, "\n") != 1 {
		t.Errorf("without a controller: status %d, %q", status, faults)
	}
}

// fileRewriter writes valid and invalid versions of the pool file.
type fileRewriter struct {
	*poolFixture
	rng      *rand.Rand
	versions []writtenVersion // the valid versions
}

type writtenVersion struct {
	label   string
	at      time.Time
	allowed map[int]bool // the dispatchers that may get calls
}

// decoy returns the index of the dispatcher that only invalid versions give a weight.
func (r *fileRewriter) decoy() int { return len(r.dispatchers) - 1 }

// next draws a version, writes it in one of several ways, and reports whether it is valid.
func (r *fileRewriter) next(n int) bool {
	v := writtenVersion{label: fmt.Sprint("v", n), allowed: map[int]bool{}}
	var members []pool.Member
	for i := range r.decoy() {
		if r.rng.IntN(3) > 0 || i == n%r.decoy() {
			m := r.member(i, r.rng.IntN(4))
			if i == n%r.decoy() {
				m.Weight = 1 + r.rng.IntN(9)
			}
			if m.Weight > 0 && i != n%r.decoy() && r.rng.IntN(6) == 0 {
				m.Status = control.Draining
			}
			v.allowed[i] = m.Weight > 0 && m.Status == control.Active
			members = append(members, m)
		}
	}
	text := poolfile.Encode(v.label, members)
	if n%3 == 2 { // invalid or incomplete
		with := append(members, r.member(r.decoy(), 9))
		switch r.rng.IntN(5) {
		case 0:
			text = poolfile.Encode(v.label, with)
			text = text[:r.rng.IntN(len(text))]
		case 1:
			text = poolfile.Encode(v.label, append(with, with[0]))
		case 2:
			text = bytes.Replace(poolfile.Encode(v.label, with), []byte("format = 1"), []byte("format = 2"), 1)
		case 3:
			text = bytes.Replace(poolfile.Encode(v.label, with), []byte("weight = 9"), []byte("weight = 9x"), 1)
		case 4:
			text = append(poolfile.Encode(v.label, with), "[server late]\n"...)
		}
		r.write(text)
		return false
	}
	v.at = time.Now()
	r.write(text)
	r.versions = append(r.versions, v)
	return true
}

func (r *fileRewriter) write(text []byte) {
	if r.rng.IntN(2) == 0 {
		r.replaceFile(text)
		return
	}
	f, err := os.Create(r.path) // in place, in two parts
	r.must(err)
	cut := r.rng.IntN(len(text) + 1)
	_, err = f.Write(text[:cut])
	r.must(err)
	time.Sleep(time.Duration(r.rng.IntN(3)) * time.Millisecond)
	_, err = f.Write(text[cut:])
	r.must(errors.Join(err, f.Close()))
}

// loadResult counts the outcomes of the calls of one connection.
type loadResult struct {
	placed, answered, refused, twice int
	err                              error
}

func (s *poolFixture) runLoad(ctx context.Context, c *peer.Caller, from int) *loadResult {
	l := &loadResult{}
	answers := map[string]int{}
	for i := from; ctx.Err() == nil; i++ {
		if l.err = sendSetUp(c, id(i)); l.err != nil {
			return l
		}
		l.placed++
		for final := false; !final; {
			m, err := c.Next()
			if err != nil {
				l.err = fmt.Errorf("call %x: %w", i, err)
				return l
			}
			switch {
			case m.Type == "answer":
				l.answered++
				answers[m.ID]++
			case m.Type == "release" && answers[m.ID] == 0:
				l.refused++
				answers[m.ID]++
			}
			if answers[m.ID] > 1 {
				l.twice++
			}
			final = m.ID == id(i)
		}
	}
	return l
}

// runRewrites replaces the pool file repeatedly under load; a third of the versions is invalid. At the end of each block the last valid
// version is active, and only its dispatchers get calls. A dispatcher that no valid version names never gets a call. If late is above 0, no
// call reaches a dispatcher later than that after a version that removes it.
func runRewrites(t *testing.T, transport string, versions int, limit time.Duration) {
	s := newPoolFixture(t, transport, 6)
	for _, d := range s.dispatchers {
		d.callDuration = 20 * time.Millisecond
	}
	r := &fileRewriter{poolFixture: s, rng: rand.New(rand.NewPCG(11, 7))}
	r.next(0)
	s.serve()
	for block := range versions / 30 {
		ctx, cancel := context.WithCancel(t.Context())
		loads := make(chan *loadResult, 3)
		for i := range cap(loads) {
			c := s.newCaller()
			go func() { loads <- s.runLoad(ctx, c, (block+1)<<24|i<<20) }()
		}
		for n := range 30 {
			r.next(block*30 + n + 1)
			time.Sleep(time.Duration(r.rng.IntN(30)) * time.Millisecond)
		}
		cancel()
		for range cap(loads) {
			l := <-loads
			if l.err != nil || l.twice > 0 || l.refused > 0 || l.answered != l.placed {
				t.Fatalf("block %d: %+v", block, *l)
			}
		}
		last := r.versions[len(r.versions)-1]
		s.waitActive(last.label)
		for i, n := range s.placeCalls((block+1)<<24|0xf<<20, 30) {
			if n > 0 && !last.allowed[i] {
				t.Errorf("block %d: %d calls at s%d, which %s does not allow", block, n, i, last.label)
			}
		}
	}
	if n := len(s.dispatchers[r.decoy()].arrivals()); n > 0 {
		t.Errorf("%d calls at a dispatcher that no valid version names", n)
	}
	total, worst := 0, time.Duration(0)
	for i, d := range s.dispatchers {
		for _, a := range d.arrivals() {
			total++
			worst = max(worst, r.sinceForbidden(i, a.at))
		}
	}
	t.Logf("%s: %d versions, %d valid, %d calls; a call came at most %v after the version that forbids it", transport, versions, len(r.versions), total, worst)
	if limit > 0 && worst > limit {
		t.Errorf("a call came %v after the version that forbids it", worst)
	}
}

// sinceForbidden returns the time since the last version that allows a dispatcher was replaced by one that does not.
func (r *fileRewriter) sinceForbidden(i int, at time.Time) time.Duration {
	var since time.Time // the first version that forbids it after the last that allows it
	for _, v := range r.versions {
		if v.at.After(at) {
			break
		}
		switch {
		case v.allowed[i]:
			since = time.Time{}
		case since.IsZero():
			since = v.at
		}
	}
	if since.IsZero() {
		return 0
	}
	return at.Sub(since)
}

func TestAFileRewrittenUnderLoad(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			runRewrites(t, transport, 210, 0)
		})
	}
}

// writeLargeSet writes a set with the given number of servers. Only the first two exist.
func (s *poolFixture) writeLargeSet(label string, servers int) {
	s.Helper()
	members := []pool.Member{s.member(0, 1), s.member(1, 1)}
	for i := 2; i < servers; i++ {
		members = append(members, pool.Member{Address: fmt.Sprintf("127.1.%d.%d:1", i/250, i%250+1), ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprintf("t%05d", i)), Status: control.Draining, Weight: 1, StartedAt: startedLongAgo}})
	}
	s.replaceFile(poolfile.Encode(label, members))
}

// logOnFailure prints the log if the test has failed.
func (s *poolFixture) logOnFailure() {
	if s.Failed() {
		s.log.mu.Lock()
		defer s.log.mu.Unlock()
		s.Logf("the log:\n%s", s.log.text.String())
	}
}
