package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/trial"
)

// operatorConfig is the configuration of one controller with a ledger, both fronts, and a pool file.
var operatorConfig = `[controller]
name = n1
listen = %s
management = %s
[websocket]
listen = %s
path = /v1/calls
[pool]
file = pool.ini
[ledger]
directory = ledger
lines = true
%s
` + fmt.Sprintf(trial.SettingsFormat, 1)

// guard is the guard in operatorConfig.
const guard = 500 * time.Millisecond

// process is the program in a process of its own, which can be killed.
type process struct {
	*testing.T
	directory              string
	lines, api, management string
	extra                  string // additional keys of the ledger section
	cmd                    *exec.Cmd
	ended                  chan error
	log                    *logBuffer
}

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (d *logBuffer) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text.Write(p)
}

func (d *logBuffer) String() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text.String()
}

func newProcess(t *testing.T, extra string) *process {
	t.Helper()
	p := &process{T: t, directory: t.TempDir(), lines: freeAddress(t), api: freeAddress(t), management: freeAddress(t), extra: extra}
	text := fmt.Sprintf(operatorConfig, p.lines, p.management, p.api, extra)
	if extra == "off" { // without a ledger
		before, after, _ := strings.Cut(text, "[ledger]")
		_, after, _ = strings.Cut(after, "[settings]")
		text = before + "[settings]" + after
	}
	if err := os.WriteFile(filepath.Join(p.directory, "operator.ini"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if p.cmd != nil {
			p.kill()
		}
	})
	return p
}

// start starts the program and waits until it is ready.
func (p *process) start() {
	p.Helper()
	p.launch()
	p.waitReady()
}

// waitLog waits until the log contains a text.
func (p *process) waitLog(text string) {
	p.Helper()
	for until := time.Now().Add(peer.Timeout); !strings.Contains(p.log.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			p.Fatalf("the log never contains %q:\n%s", text, p.log)
		}
	}
}

func (p *process) waitReady() {
	p.Helper()
	for until := time.Now().Add(peer.Timeout); ; time.Sleep(2 * time.Millisecond) {
		if status, _ := httpGet(p.management, "/api/ready"); status == 200 {
			return
		}
		select {
		case err := <-p.ended:
			p.cmd = nil
			p.Fatalf("the program ended with %v:\n%s", err, p.log)
		default:
		}
		if time.Now().After(until) {
			p.Fatal("the program does not become ready")
		}
	}
}

// launch starts the program without waiting until it is ready.
func (p *process) launch() {
	p.Helper()
	p.launchWith()
}

func (p *process) launchWith(env ...string) {
	p.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "LB_OPERATOR="+filepath.Join(p.directory, "operator.ini"), "TMPDIR="+p.directory)
	cmd.Env = append(cmd.Env, env...)
	p.run(cmd)
}

// run starts a command as the process and collects its log and its exit status.
func (p *process) run(cmd *exec.Cmd) {
	p.Helper()
	ended := make(chan error, 1)
	p.cmd, p.log, p.ended = cmd, new(logBuffer), ended
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		p.Fatal(err)
	}
	go func() { ended <- cmd.Wait() }()
}

// kill kills the process with SIGKILL.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
	p.cmd = nil
}

// httpGet sends a GET request to a management address. Status 0 means that there is no answer.
func httpGet(address, path string) (status int, body string) {
	f := &fixture{}
	return f.get(address, path)
}

// startDispatcher starts a dispatcher whose behaviour depends only on the call ID.
func startDispatcher(t *testing.T, transport, name string, j *trial.CallChecker) *trial.Dispatcher {
	t.Helper()
	d, err := trial.StartDispatcher(transport, name, j)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

func newChecker() *trial.CallChecker { return trial.NewCallChecker(guard, 9*time.Second) }

func token(id string) string { return trial.Token(id) }

// checkAllSettled reports violations, and calls without a final answer or without a delivered end.
func checkAllSettled(t *testing.T, j *trial.CallChecker) {
	t.Helper()
	if _, undelivered := j.Unfinished(); len(undelivered) > 0 {
		t.Errorf("the end of %d calls is never delivered: %v", len(undelivered), undelivered[:min(len(undelivered), 20)])
	}
	checkAllAnswered(t, j)
}

// checkAllAnswered reports violations and calls without a final answer.
func checkAllAnswered(t *testing.T, j *trial.CallChecker) {
	t.Helper()
	violations, _, _ := j.Results()
	unanswered, _ := j.Unfinished()
	for _, id := range unanswered {
		violations = append(violations, id+" has no answer")
	}
	if len(violations) > 0 {
		t.Errorf("%d violations:\n%s", len(violations), strings.Join(violations[:min(len(violations), 20)], "\n"))
	}
}

// TestKilledAgainAndAgain kills the program under load and restarts it, over both fronts. All calls are followed to their end, and the
// dispatchers check the rules.
func TestKilledAgainAndAgain(t *testing.T) {
	runKills(t, 30, nil)
}

// runKills kills and restarts the program the given number of times. meanwhile changes the stored state before each restart.
func runKills(t *testing.T, times int, beforeRestart func(*process, *rand.Rand)) {
	for i, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			p := newProcess(t, "segment_mb = 1\n")
			j := newChecker()
			var members []pool.Member
			for i := range 3 {
				a := startDispatcher(t, transport, fmt.Sprint("s", i), j)
				members = append(members, pool.Member{Address: a.Address(), ServerEntry: control.ServerEntry{
					ID: control.ServerID(a.Name), Cell: i, Weight: 1, StartedAt: startedLongAgo}})
			}
			if err := os.WriteFile(filepath.Join(p.directory, "pool.ini"), poolfile.Encode("v", members), 0o600); err != nil {
				t.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(uint64(i), uint64(times)))
			p.start()
			address := p.lines
			if transport == "ws" {
				address = p.api
			}
			done := make(chan struct{})
			var all []*trial.Caller
			var running sync.WaitGroup
			for n := range 4 {
				a := &trial.Caller{Transport: transport, Addresses: []string{address}, FirstCall: (n + 1) << 32, Window: 8, Checker: j}
				all = append(all, a)
				running.Go(func() { a.Run(done) })
			}
			recovered := map[string]int{}
			for range times {
				time.Sleep(time.Duration(30+rng.IntN(30)*rng.IntN(50)) * time.Millisecond)
				p.kill()
				if beforeRestart != nil {
					beforeRestart(p, rng)
				}
				for rng.IntN(3) == 0 { // killed again while it starts, perhaps several times
					p.launch()
					time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
					p.kill()
				}
				p.start()
				addRecovered(t, p.management, recovered)
			}
			close(done)
			running.Wait()
			calls, resumes := 0, 0
			for _, a := range all {
				calls += a.Placed
				resumes += a.Resumes
			}
			_, setUps, finals := j.Results()
			for what, n := range finals {
				if beforeRestart == nil && strings.HasPrefix(what, "after the answer: ") && !strings.Contains(what, "release 16 ") {
					t.Errorf("%d established calls were cut that no dispatcher had ended: %s", n, what)
				}
			}
			checkAllSettled(t, j)
			t.Logf("%d kills, %d calls, %d set-ups at dispatchers, %d resumes; callers got %v; recovered %v", times, calls, setUps, resumes, finals, recovered)
		})
	}
}

// addRecovered adds up the actions that a process took for the calls of previous processes.
func addRecovered(t *testing.T, management string, into map[string]int) {
	t.Helper()
	_, text := httpGet(management, "/api/telemetry")
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, `edge_lb_recovered_total{act="`); ok {
			act, n, _ := strings.Cut(strings.TrimSpace(rest), `"} `)
			if k, err := strconv.Atoi(n); err == nil {
				into[act] += k
			}
		}
	}
}
