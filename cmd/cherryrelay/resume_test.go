package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/trial"
)

// resumeFixture is the program in its own process, with automatic dispatchers and scripted callers.
type resumeFixture struct {
	*process
	transport   string
	checker     *trial.CallChecker
	dispatchers []*trial.Dispatcher
}

// newResumeFixture starts the program with n dispatchers that answer at once.
func newResumeFixture(t *testing.T, transport, extra string, n int) *resumeFixture {
	t.Helper()
	d := &resumeFixture{process: newProcess(t, extra), transport: transport, checker: newChecker()}
	for i := range n {
		a := startDispatcher(t, transport, fmt.Sprint("s", i), d.checker)
		a.SetBehavior(true, false)
		d.dispatchers = append(d.dispatchers, a)
	}
	d.writePool(startedLongAgo)
	d.start()
	return d
}

// writePool writes the pool file with the given start time of its dispatchers.
func (d *resumeFixture) writePool(since time.Duration) {
	d.Helper()
	var members []pool.Member
	for i, a := range d.dispatchers {
		members = append(members, pool.Member{Address: a.Address(), ServerEntry: control.ServerEntry{
			ID: control.ServerID(a.Name), Cell: i, Weight: 1, StartedAt: since}})
	}
	path := filepath.Join(d.directory, "pool.ini")
	d.must(os.WriteFile(path+".new", poolfile.Encode("v", members), 0o600))
	d.must(os.Rename(path+".new", path))
}

func (d *resumeFixture) must(err error) {
	d.Helper()
	if err != nil {
		d.Fatal(err)
	}
}

// connect opens a connection of a caller.
func (d *resumeFixture) connect() *peer.Caller {
	d.Helper()
	address := d.lines
	if d.transport == "ws" {
		address = d.api
	}
	c, err := peer.DialCaller(d.transport, address)
	d.must(err)
	d.Cleanup(func() { _ = c.Close() })
	return c
}

// setUp sends a set-up with a token, so that it can be resumed.
func (d *resumeFixture) setUp(c *peer.Caller, id string) {
	d.Helper()
	x := "x"
	d.must(c.Send(jsonl.Message{Type: "setup", ID: id, SDP: &x, Fields: map[string]jsonl.Value{
		"class": "send-setup", "tenant": "acme", "key": jsonl.Value("k" + id), "left": "9000", "token": jsonl.Value(token(id))}}))
}

func (d *resumeFixture) resume(c *peer.Caller, id, token string, answered bool) {
	d.Helper()
	fields := map[string]jsonl.Value{"token": jsonl.Value(token)}
	if answered {
		fields["answered"] = "1"
	}
	d.must(c.Send(jsonl.Message{Type: "resume", ID: id, Fields: fields}))
}

// expect requires the next message to a caller.
func (d *resumeFixture) expect(c *peer.Caller, want string) {
	d.Helper()
	m, err := c.Next()
	d.must(err)
	got := m.Type + " " + strings.TrimLeft(m.ID, "0")
	if m.Type == "release" {
		got += fmt.Sprint(" ", m.CauseOr(0))
	}
	if got != want {
		d.Fatalf("the caller got %q (%v), want %q", got, m.Fields, want)
	}
}

// expectNothing requires that a caller gets no message before the answer to a ping.
func (d *resumeFixture) expectNothing(c *peer.Caller) {
	d.Helper()
	d.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
	d.expect(c, "pong ")
}

func (d *resumeFixture) checkSettled() {
	d.Helper()
	checkAllSettled(d.T, d.checker)
}

// setUnresponsive makes the dispatchers leave set-ups unanswered, or answer them again.
func (d *resumeFixture) setUnresponsive(slow bool) {
	for _, a := range d.dispatchers {
		a.SetBehavior(!slow, slow)
	}
}

// bothFronts runs a script over both fronts.
func bothFronts(t *testing.T, script func(t *testing.T, transport string)) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			script(t, transport)
		})
	}
}

// TestOnlyTheOwnerResumes tests resume requests while the program runs and after a kill.
func TestOnlyTheOwnerResumes(t *testing.T) {
	bothFronts(t, func(t *testing.T, transport string) {
		d := newResumeFixture(t, transport, "", 2)
		c := d.connect()
		d.setUp(c, id(1))
		d.expect(c, "answer 1")
		d.setUnresponsive(true)
		d.setUp(c, id(2))
		d.waitAttempt(id(2))
		d.must(c.Close()) // the pending call is kept for its caller
		stranger := d.connect()
		d.resume(stranger, id(1), "not the token of it", false)
		d.expect(stranger, "release 1 41")
		d.resume(stranger, id(2), token(id(1)), false)
		d.expect(stranger, "release 2 41")
		d.resume(stranger, id(3), token(id(3)), false) // unknown call
		d.expect(stranger, "release 3 41")
		c = d.connect()
		d.resume(c, id(1), token(id(1)), true)
		d.resume(c, id(2), token(id(2)), false)
		d.expectNothing(c)
		d.kill()
		d.setUnresponsive(false)
		d.start()
		stranger = d.connect()
		d.resume(stranger, id(1), "not the token of it", false)
		d.expect(stranger, "release 1 41")
		// The same caller uses two connections: the later one gets the messages of the call, and nothing is answered twice on one.
		first, second := d.connect(), d.connect()
		d.resume(first, id(1), token(id(1)), false)
		d.expect(first, "answer 1")
		d.resume(first, id(1), token(id(1)), false)
		d.expectNothing(first)
		d.resume(second, id(1), token(id(1)), true)
		d.resume(first, id(2), token(id(2)), false)
		d.expect(first, "answer 2")
		d.endCall(id(1))
		d.expect(second, "release 1 16")
		d.endCall(id(2))
		d.expect(first, "release 2 16")
		d.expectNothing(stranger)
		d.checkSettled()
	})
}

// waitAttempt waits until an attempt of a call is in progress at a dispatcher.
func (d *resumeFixture) waitAttempt(id string) {
	d.Helper()
	for until := time.Now().Add(peer.Timeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if d.checker.AttemptAt(id) != "" {
			return
		}
	}
	d.Fatalf("there is no attempt of %s", id)
}

// endCall ends a call at the dispatcher that has it.
func (d *resumeFixture) endCall(id string) {
	for _, a := range d.dispatchers {
		a.EndCall(id)
	}
}

// TestKilledInTheWaitBeforeAResend: after a restart the call is sent again no sooner than the guard allows, and is answered once.
func TestKilledInTheWaitBeforeAResend(t *testing.T) {
	bothFronts(t, func(t *testing.T, transport string) {
		d := newResumeFixture(t, transport, "", 1)
		for n := range 5 {
			d.breakNext()
			c := d.connect()
			d.setUp(c, id(n+1))
			d.waitBroken(id(n + 1))
			time.Sleep(time.Duration(n*100) * time.Millisecond)
			d.kill()
			d.start()
			c = d.connect()
			d.resume(c, id(n+1), token(id(n+1)), false)
			d.expect(c, "answer "+fmt.Sprint(n+1))
			d.endCall(id(n + 1))
			d.expect(c, "release "+fmt.Sprint(n+1)+" 16")
		}
		d.checkSettled()
	})
}

// breakNext makes the next set-up break.
func (d *resumeFixture) breakNext() {
	d.dispatchers[0].FailNext(1)
}

func (d *resumeFixture) waitBroken(id string) {
	d.Helper()
	for until := time.Now().Add(peer.Timeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if !d.checker.GuardStart(id).IsZero() {
			return
		}
	}
	d.Fatalf("%s never breaks", id)
}

// TestCallsThatEndWhileTheProcessIsDown: one call ends, one is lost with its dispatcher, and the dispatcher of another is replaced by one
// that starts cold.
func TestCallsThatEndWhileTheProcessIsDown(t *testing.T) {
	bothFronts(t, func(t *testing.T, transport string) {
		d := newResumeFixture(t, transport, "", 2)
		c := d.connect()
		for n := range 3 {
			d.setUp(c, id(n+1))
			d.expect(c, fmt.Sprint("answer ", n+1))
		}
		d.kill()
		d.endCall(id(1))
		d.start()
		c = d.connect()
		for n := range 3 {
			d.resume(c, id(n+1), token(id(n+1)), true)
		}
		d.expect(c, "release 1 16")
		d.expectNothing(c) // the others are established
		d.kill()
		d.writePool(time.Duration(time.Now().UnixNano())) // other processes at the same addresses
		d.start()
		c = d.connect()
		got := map[string]bool{}
		for n := range 2 {
			d.resume(c, id(n+2), token(id(n+2)), true)
			m, err := c.Next()
			d.must(err)
			if m.CauseOr(0) != 41 {
				d.Errorf("%s is released with %d", m.ID, m.CauseOr(0))
			}
			got[m.ID] = true
		}
		if len(got) != 2 {
			d.Errorf("released: %v", got)
		}
	})
}

// TestTheLedgerIsDamagedWhileDown truncates the ledger, flips bits and empties segments, repeatedly and under load. A caller that resumes
// gets one final answer for each call, and dispatchers see no violation.
func TestTheLedgerIsDamagedWhileDown(t *testing.T) {
	damage := func(p *process, rng *rand.Rand) {
		names, err := filepath.Glob(filepath.Join(p.directory, "ledger", "*.segment"))
		if err != nil || len(names) == 0 {
			p.Fatalf("no segments: %v", err)
		}
		last := names[len(names)-1]
		text, err := os.ReadFile(last)
		if err != nil {
			p.Fatal(err)
		}
		switch rng.IntN(4) {
		case 0:
			text = text[:rng.IntN(len(text)+1)]
		case 1:
			text = text[:len(text)-min(len(text), rng.IntN(200))]
		case 2:
			text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
		case 3:
			last = names[rng.IntN(len(names))]
			text = nil
		}
		if err := os.WriteFile(last, text, 0o600); err != nil {
			p.Fatal(err)
		}
	}
	runKills(t, 12, damage)
}

// TestTwoProcessesOnOneLedgerDirectory: the second process exits with a one-line error, and the first continues to serve.
func TestTwoProcessesOnOneLedgerDirectory(t *testing.T) {
	d := newResumeFixture(t, "ws", "", 1)
	other := newProcess(t, "")
	text, err := os.ReadFile(filepath.Join(other.directory, "operator.ini"))
	d.must(err)
	text = []byte(strings.Replace(string(text), "directory = ledger", "directory = "+filepath.Join(d.directory, "ledger"), 1))
	d.must(os.WriteFile(filepath.Join(other.directory, "operator.ini"), text, 0o600))
	pool, err := os.ReadFile(filepath.Join(d.directory, "pool.ini"))
	d.must(err)
	d.must(os.WriteFile(filepath.Join(other.directory, "pool.ini"), pool, 0o600))
	other.launch()
	err = <-other.ended
	other.cmd = nil
	lines := strings.Split(strings.TrimSpace(other.log.String()), "\n")
	if err == nil || !strings.Contains(lines[len(lines)-1], "another process holds the directory") {
		t.Errorf("the second process ended with %v:\n%s", err, other.log)
	}
	c := d.connect()
	d.setUp(c, id(1))
	d.expect(c, "answer 1")
}

// TestUpgradesAndTheLedger: a successor takes over the ledger. If the old process is killed during the handover, the successor recovers its
// calls from the ledger.
func TestUpgradesAndTheLedger(t *testing.T) {
	bothFronts(t, func(t *testing.T, transport string) {
		for _, killOld := range []bool{false, true} {
			d := newResumeFixture(t, transport, "", 1)
			c := d.connect()
			d.setUp(c, id(1))
			d.expect(c, "answer 1")
			d.setUnresponsive(true)
			d.setUp(c, id(2))
			d.waitAttempt(id(2))
			old := *d.process
			d.management = freeAddress(t)
			d.launchWith("LB_MANAGEMENT=" + d.management)
			if killOld {
				d.waitLog("a predecessor serves")
				old.kill()
			}
			d.waitReady()
			d.setUnresponsive(false)
			if !killOld {
				d.answerAll() // answered by the process that accepted the set-up
				d.expect(c, "answer 2")
				if err := <-old.ended; err != nil {
					d.Errorf("the old process ended with %v", err)
				}
				d.waitLog("the predecessor has ended")
			}
			c = d.connect()
			d.resume(c, id(1), token(id(1)), true)
			d.resume(c, id(2), token(id(2)), !killOld)
			if killOld {
				d.expect(c, "answer 2")
			}
			d.expectNothing(c)
			// The successor has the ledger now and is killed in turn.
			d.kill()
			d.launchWith("LB_MANAGEMENT=" + d.management)
			d.waitReady()
			c = d.connect()
			d.resume(c, id(1), token(id(1)), true)
			d.resume(c, id(2), token(id(2)), true)
			d.expectNothing(c)
			d.endCall(id(1))
			d.expect(c, "release 1 16")
			d.endCall(id(2))
			d.expect(c, "release 2 16")
			d.checkSettled()
			d.kill()
		}
	})
}

// answerAll makes the dispatchers answer all unanswered set-ups.
func (d *resumeFixture) answerAll() {
	for _, a := range d.dispatchers {
		a.AnswerPending()
	}
}

// TestManyResumeAtOnce: all callers of a large gateway resume on one connection.
func TestManyResumeAtOnce(t *testing.T) { resumeMany(t, 2000) }

func resumeMany(t *testing.T, calls int) {
	d := newResumeFixture(t, "ws", "", 2)
	c := d.connect()
	const window = 100
	for n := 0; n < calls; n += window {
		for i := n; i < n+window; i++ {
			d.setUp(c, id(i+1))
		}
		for range window {
			m, err := c.Next()
			d.must(err)
			if m.Type != "answer" {
				d.Fatalf("%+v", m)
			}
		}
	}
	d.kill()
	start := time.Now()
	d.start()
	ready := time.Since(start)
	c = d.connect()
	got := map[string]int{}
	start = time.Now()
	// A ping after each batch is answered when the batch has been read: a connection that sends faster than it is read is closed.
	const batch = 250
	for n := 0; n < calls; n += batch {
		for i := n; i < n+batch; i++ {
			d.resume(c, id(i+1), token(id(i+1)), false)
		}
		d.must(c.Send(jsonl.Message{Type: "ping", ID: id(0)}))
		for {
			m, err := c.Next()
			d.must(err)
			if m.Type == "pong" {
				break
			}
			if m.Type != "answer" || m.Description() != "y"+m.ID {
				d.Fatalf("%+v", m)
			}
			got[m.ID]++
		}
	}
	took := time.Since(start)
	if len(got) != calls {
		d.Errorf("%d of %d calls were answered", len(got), calls)
	}
	d.expectNothing(c)
	d.checkSettled()
	t.Logf("%d established calls: ready %v after the start, all resumed after another %v", calls, ready, took)
}
