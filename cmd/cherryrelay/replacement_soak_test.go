package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherryrelay/internal/fault"
	"cherryrelay/internal/trial"
)

// Soak test of rolling replacements: the program runs in its own process on a platform configuration, with more calls than there are lines,
// while each of its dispatchers drains, refuses connections, and ends. The end of every established call is checked against the limits of
// the protocol page.

const (
	// replacementSeeds is the number of seeds of make test, and concurrentReplacements the number of concurrent runs of the long test.
	replacementSeeds, concurrentReplacements = 6, 12
	// maxReplaced limits the dispatchers before, and after, the replacement.
	maxReplaced = 3
	// connectionDelay and connectionJitter are the delay and jitter of messages between the controller and dispatchers or callers.
	connectionDelay, connectionJitter = 3 * time.Millisecond, 22 * time.Millisecond
	// lineReportInterval is the interval at which dispatchers report their free lines.
	lineReportInterval = 200 * time.Millisecond
	// stepPause is the longest pause between two steps of a replacement, and replacementPause between the starts of two replacements.
	stepPause, replacementPause = 300 * time.Millisecond, 1500 * time.Millisecond
)

// latency is the fault rule of all connections.
var latency = fault.Rule{Forth: fault.Impairment{Delay: connectionDelay, Jitter: connectionJitter}, Back: fault.Impairment{Delay: connectionDelay, Jitter: connectionJitter}}

// replacementScenario is the scenario that a seed draws.
type replacementScenario struct {
	seed              uint64
	dispatcherCount   int // before, and after, the replacement
	work              trial.Workload
	aim               time.Duration // of the calls' class: a longer attempt may be cancelled
	slowest           time.Duration // longest time to an answer under overload
	load              float64       // set-ups as a share of the capacity of the lines; at low load, connections are often idle and overtaken
	callerIdle        time.Duration // idle time after which callers close a connection
	keepsConnections  bool          // callers keep a connection open while it has established calls
	closesConnections bool          // dispatchers close connections gracefully
	reports           bool          // dispatchers report their lines unasked
	refuses           bool          // dispatchers refuse connections while they drain
	simultaneous      bool          // all are replaced at the same time
	drainFor          time.Duration
}

func drawReplacement(seed uint64) replacementScenario {
	rng := rand.New(rand.NewPCG(seed, 0x64726169))
	ms := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
	}
	s := replacementScenario{seed: seed, dispatcherCount: 1 + rng.IntN(maxReplaced), load: 0.1 + 1.3*rng.Float64(), aim: ms(150, 1500), slowest: ms(300, 1500), callerIdle: ms(300, 4000),
		keepsConnections: rng.IntN(2) == 0, closesConnections: rng.IntN(2) == 0, reports: rng.IntN(2) == 0, refuses: rng.IntN(4) > 0, simultaneous: rng.IntN(3) == 0, drainFor: ms(1500, 4600)}
	s.work = trial.Workload{Lines: 8 + rng.IntN(16), MaxAnswerDelay: 60 * time.Millisecond, MaxCallDuration: ms(300, 2500), FailedShare: 0.1 * rng.Float64(),
		UnansweredShare: 0.3 * rng.Float64(), BriefShare: 0.1, Seed: seed}
	if s.closesConnections {
		s.work.CloseShare = 0.5
	}
	return s
}

func (s *replacementScenario) String() string {
	return fmt.Sprintf("%d dispatchers of %d lines, %.2f of set-ups unanswered, load %.2f, aim %v, answers in %v, calls of %v, drains of %v, callers' connections closed after %v, kept for established calls %v; dispatchers close %v, report %v, refuse as they drain %v, all at once %v",
		s.dispatcherCount, s.work.Lines, s.work.UnansweredShare, s.load, s.aim, s.slowest, s.work.MaxCallDuration, s.drainFor, s.callerIdle, s.keepsConnections, s.closesConnections, s.reports, s.refuses, s.simultaneous)
}

// replacementResult is the result of a run.
type replacementResult struct {
	violations []string
	log        string
	ends       int // established calls whose end was checked
	repeated   int // of these, calls with more than one attempt at the same dispatcher
	crossed    int // answers that arrived after their callers had cancelled
	counts     map[string]int
}

// eventServer is a coordinator that sends all its events to each client in order.
type eventServer struct {
	address string
	mu      sync.Mutex
	events  []string
	changed chan struct{} // closed when there is another event
}

func newEventServer(t *testing.T) *eventServer {
	t.Helper()
	l := &eventServer{changed: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(l.serve))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	l.address = strings.TrimPrefix(server.URL, "http://")
	return l
}

func (l *eventServer) serve(w http.ResponseWriter, r *http.Request) {
	sent := 0
	for {
		l.mu.Lock()
		events, changed := l.events[sent:], l.changed
		l.mu.Unlock()
		for _, e := range events {
			fmt.Fprint(w, e)
		}
		sent += len(events)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			fmt.Fprint(w, ": here\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

// publish adds an event. The initial list has number 1.
func (l *eventServer) publish(t *testing.T, changes ...map[string]any) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	index := len(l.events) + 2
	event, err := json.Marshal(listEvent(index, false, changes...))
	if err != nil {
		t.Error(err)
		return
	}
	l.events = append(l.events, fmt.Sprintf("id: %d\ndata: %s\n\n", index, event))
	close(l.changed)
	l.changed = make(chan struct{})
}

// listedDispatcher is a dispatcher behind a fault proxy, with its list entry.
type listedDispatcher struct {
	*trial.ReplaceableDispatcher
	entry map[string]any
	path  string
}

func (d *listedDispatcher) entryWithStatus(status string) map[string]any {
	entry := map[string]any{}
	for k, v := range d.entry {
		entry[k] = v
	}
	entry["status"] = status
	return entry
}

// replacementRun is the state of a run.
type replacementRun struct {
	*testing.T
	replacementScenario
	*process
	net       *fault.Net
	front     string // address for callers
	list      *eventServer
	checker   *trial.CallChecker
	rng       *rand.Rand
	callsDone chan struct{} // closed when no more calls are placed
	ended     chan struct{} // closed when the run ends
	running   sync.WaitGroup

	mu      sync.Mutex
	started []*listedDispatcher
}

// startListed starts a dispatcher behind a fault proxy of its own.
func (p *replacementRun) startListed(n int, since time.Time) *listedDispatcher {
	p.Helper()
	name := fmt.Sprint("s", n)
	work := p.work
	work.Seed = p.seed<<8 + uint64(n)
	r, err := trial.StartReplaceableDispatcher("tcp", name, formatReport(work.Lines, work.Lines), p.checker, work)
	if err != nil {
		p.Fatal(err)
	}
	p.Cleanup(r.Kill)
	address, err := p.net.AddLink("c", name, r.Address())
	if err != nil {
		p.Fatal(err)
	}
	d := &listedDispatcher{ReplaceableDispatcher: r, path: "c>" + name, entry: endpoint(name, n%p.dispatcherCount, address, since)}
	p.net.SetRule(d.path, latency)
	p.mu.Lock()
	p.started = append(p.started, d)
	p.mu.Unlock()
	p.running.Go(func() { p.runDispatcher(d, rand.New(rand.NewPCG(work.Seed, 2))) })
	return d
}

func formatReport(free, lines int) string { return fmt.Sprintf("x0:%d;x1:%d", free, lines) }

// runDispatcher makes a dispatcher report its lines and close connections, as the seed demands, until the run ends.
func (p *replacementRun) runDispatcher(d *listedDispatcher, rng *rand.Rand) {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(lineReportInterval):
		}
		if p.reports {
			_ = d.SetReport(formatReport(d.FreeLines(), p.work.Lines))
		}
		if p.closesConnections {
			d.CloseIdleConn()
		}
	}
}

// replacementProgram is the environment variable that names the program of another build to test instead.
const replacementProgram = "CHERRYRELAY_PROGRAM"

func (p *replacementRun) launchProgram() {
	p.Helper()
	program := os.Getenv(replacementProgram)
	if program == "" {
		p.launchWith(append(p.platformEnvironment(), exitWithoutDelay)...)
		return
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), append(p.platformEnvironment(), "TMPDIR="+p.directory)...)
	p.run(cmd)
}

// begin starts the dispatchers and the process.
func (p *replacementRun) begin() (old []*listedDispatcher) {
	p.Helper()
	var known []map[string]any
	for n := range p.dispatcherCount {
		d := p.startListed(n, time.Time{})
		old, known = append(old, d), append(known, d.entry)
	}
	var c map[string]any
	if err := json.Unmarshal(platformFile(p.T, 1, 2*time.Second, p.list.address, known), &c); err != nil {
		p.Fatal(err)
	}
	settings := c["settings"].(map[string]any)
	settings["tenants"] = []any{map[string]any{"name": "acme"}}
	settings["requestClasses"].([]any)[0].(map[string]any)["aimUs"] = p.aim.Microseconds()
	text, err := json.Marshal(c)
	if err != nil {
		p.Fatal(err)
	}
	p.process = newPlatformProcess(p.T, text)
	if p.front, err = p.net.AddLink("callers", "c", p.lines); err != nil {
		p.Fatal(err)
	}
	p.net.SetRule("callers>c", latency)
	p.launchProgram()
	p.waitReady()
	return old
}

// sleepRandomly sleeps for a random number of milliseconds below a limit.
func sleepRandomly(rng *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(rng.IntN(int(limit/time.Millisecond))) * time.Millisecond)
}

// replace starts a dispatcher in the place of another, which drains and ends.
func (p *replacementRun) replace(d *listedDispatcher, n int, rng *rand.Rand) {
	sleepRandomly(rng, stepPause)
	next := p.startListed(n, time.Now())
	p.list.publish(p.T, next.entry)
	next.SetMaxAnswerDelay(p.slowest)
	sleepRandomly(rng, 2*stepPause)
	p.list.publish(p.T, d.entryWithStatus("leaving"))
	if p.refuses {
		sleepRandomly(rng, stepPause)
		p.net.RefuseConns(d.path)
		d.StopListening()
	}
	time.Sleep(time.Duration(rng.Int64N(int64(p.drainFor))))
	if rng.IntN(2) == 0 {
		p.list.publish(p.T, d.entryWithStatus("left"))
		sleepRandomly(rng, stepPause)
		d.Kill()
	} else {
		d.Kill()
		sleepRandomly(rng, stepPause)
		p.list.publish(p.T, d.entryWithStatus("left"))
	}
	p.net.RefuseConns(d.path)
}

// runReplacement runs the scenario of a seed. The guard between attempts is not checked: on a busy machine dispatchers see the end of an
// attempt late. The soak test of shutdowns measures that.
func runReplacement(t *testing.T, seed uint64) replacementResult {
	t.Helper()
	p := &replacementRun{T: t, replacementScenario: drawReplacement(seed), net: fault.New(seed), list: newEventServer(t),
		checker: trial.NewCallChecker(0, 9*time.Second), rng: rand.New(rand.NewPCG(seed, 1)), callsDone: make(chan struct{}), ended: make(chan struct{})}
	t.Cleanup(p.net.Close)
	old := p.begin()
	delays := measureRunDelays(p.cmd.Process.Pid)
	c := newReplacementCallers(p)
	c.running.Go(func() { c.placeCalls(rand.New(rand.NewPCG(seed, 3))) })
	time.Sleep(time.Second)
	for _, d := range old {
		d.SetMaxAnswerDelay(p.slowest)
	}
	var replacing sync.WaitGroup
	for i, d := range old {
		rng := rand.New(rand.NewPCG(seed, uint64(10+i)))
		replacing.Go(func() { p.replace(d, p.dispatcherCount+i, rng) })
		if !p.simultaneous {
			sleepRandomly(p.rng, replacementPause)
		}
	}
	replacing.Wait()
	time.Sleep(500 * time.Millisecond)
	close(p.callsDone)
	c.running.Wait()
	r := p.check(c, delays)
	close(p.ended)
	p.running.Wait()
	c.closeAll()
	r.log = p.log.String()
	return r
}

// check ends the established calls, waits for the answers and ends that callers still expect, and returns all violations.
func (p *replacementRun) check(c *replacementCallers, delays *schedulerMeter) replacementResult {
	p.Helper()
	trial.WaitUntil(maxTimeLeft+time.Second, func() bool { return c.pendingCalls() == 0 }) // callers cancel calls without an answer
	p.mu.Lock()
	for _, d := range p.started {
		d.EndAll()
	}
	p.mu.Unlock()
	trial.WaitUntil(trial.MaxDelayAfterEnd+time.Second, func() bool {
		_, undelivered := p.checker.Unfinished()
		return len(undelivered) == 0
	})
	violations, _, counts := p.checker.Results()
	now := time.Now()
	r := replacementResult{violations: violations, crossed: c.countCrossed(), counts: counts}
	for _, e := range p.checker.Ends() {
		r.ends++
		if triedAgain(e.History) {
			r.repeated++
		}
		until := e.NotifiedAt
		if until.IsZero() {
			until = now
		}
		lateness := e.Lateness(now)
		switch {
		case e.NotifiedAt.IsZero():
			r.violations = append(r.violations, fmt.Sprintf("the end of %s is never delivered; %s", e.ID, e.History))
		case lateness > 0 && lateness > delays.delayBetween(e.EndedAt, until) && lateness > c.meter.delayBetween(e.EndedAt, until):
			r.violations = append(r.violations, fmt.Sprintf("the end of %s is delivered %v too late; %s", e.ID, lateness, e.History))
		}
	}
	return r
}

// triedAgain reports whether a call history has two set-ups at one dispatcher.
func triedAgain(history string) bool {
	at := map[string]bool{}
	for part := range strings.SplitSeq(history, ", ") {
		if _, where, ok := strings.Cut(part, " set up at "); ok {
			if at[where] {
				return true
			}
			at[where] = true
		}
	}
	return false
}

// TestReplacements guards against undelivered ends of calls while dispatchers are replaced under overload.
func TestReplacements(t *testing.T) {
	t.Parallel()
	runReplacements(t, 1, replacementSeeds, replacementSeeds)
}

// TestSoakReplacements is the long test: it runs CHERRYRELAY_SEEDS seeds from the seed CHERRYRELAY_FIRST on.
func TestSoakReplacements(t *testing.T) {
	skipUnlessSoak(t)
	runReplacements(t, environmentNumber(t, "CHERRYRELAY_FIRST", 1), environmentNumber(t, "CHERRYRELAY_SEEDS", 50), concurrentReplacements)
}

func runReplacements(t *testing.T, first, seeds, concurrent uint64) {
	t.Helper()
	slots := make(chan struct{}, concurrent)
	var ends atomic.Int64
	t.Run("plays", func(t *testing.T) {
		for seed := first; seed < first+seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				ends.Add(int64(runAndReport(t, seed)))
			})
		}
	})
	if ends.Load() == 0 {
		t.Error("no established call ended")
	}
}

// runAndReport runs a seed, logs its result, and returns the number of checked ends.
func runAndReport(t *testing.T, seed uint64) (ends int) {
	t.Helper()
	begun, s := time.Now(), drawReplacement(seed)
	r := runReplacement(t, seed)
	t.Logf("seed %d: %d ends checked, %d of calls tried again at their dispatcher, %d answers crossed a cancellation, %d connections abandoned as unresponsive, %v in all; %v; %v",
		seed, r.ends, r.repeated, r.crossed, strings.Count(r.log, "open but unresponsive"), time.Since(begun).Round(time.Millisecond), r.counts, &s)
	if len(r.violations) > 0 {
		repeatCommand := fmt.Sprintf("again with `make soak SOAK=SoakReplacements SEEDS=1 FIRST=%d`", seed)
		t.Error(failureReport(repeatCommand, r.violations, r.log))
	}
	return r.ends
}
