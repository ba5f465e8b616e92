package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// These tests stop a process and continue it. Expired timers and input that arrived meanwhile are then ready at once, and their order
// decides.

// startWithDispatchers starts the program, without a ledger, with two scripted dispatchers.
func startWithDispatchers(t *testing.T) (*process, [2]*peer.Dispatcher) {
	t.Helper()
	p := newProcess(t, "off")
	var d [2]*peer.Dispatcher
	pool := "[pool]\nformat = 1\nversion = 1\nservers = 2\n"
	for i := range d {
		var err error
		if d[i], err = peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d[i].Kill)
		pool += fmt.Sprintf("[server d%d]\naddress = %s\ngroup = %d\nweight = 1\n", i, d[i].Address(), i)
	}
	if err := os.WriteFile(filepath.Join(p.directory, "pool.ini"), []byte(pool+"[end]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	return p, d
}

func (p *process) signal(s syscall.Signal) {
	p.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.Fatal(err)
	}
}

// nextSetUp waits for a set-up at either dispatcher.
func nextSetUp(t *testing.T, d [2]*peer.Dispatcher) peer.Event {
	t.Helper()
	for timeout := time.After(peer.Timeout); ; {
		var e peer.Event
		select {
		case e = <-d[0].Events:
		case e = <-d[1].Events:
		case <-timeout:
			t.Fatal("no set-up arrives")
		}
		if e.Kind == "setup" {
			return e
		}
	}
}

// setUpInGuard places a call that waits in the guard and another whose attempt is in progress.
func setUpInGuard(t *testing.T, p *process, d [2]*peer.Dispatcher, n int) (c, other *peer.Caller, attempt peer.Event) {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	c, err = peer.DialCaller("tcp", p.lines)
	must(err)
	other, err = peer.DialCaller("tcp", p.lines)
	must(err)
	must(c.SetUp(id(n), 8*time.Second, n%2, "x"))
	must(nextSetUp(t, d).Refuse(peer.TemporaryFailure)) // the guard starts here
	must(other.SetUp(id(0x100+n), 8*time.Second, (n+1)%2, "x"))
	return c, other, nextSetUp(t, d) // the refusal arrived before: the guard's timer runs
}

// TestASetUpCancelledDuringAPauseIsNotSent: while the process is stopped, the guard of a call ends and its caller cancels or disconnects.
// The set-up was sent, as the timer and the cancellation were ready at the same time.
func TestASetUpCancelledDuringAPauseIsNotSent(t *testing.T) {
	t.Parallel()
	p, d := startWithDispatchers(t)
	for n := 1; n <= 12; n++ {
		c, other, e := setUpInGuard(t, p, d, n)
		p.signal(syscall.SIGSTOP)
		cancel := []func() error{c.Reset, func() error { return c.Release(id(n), call.CauseNormal) }, c.Close}[n%3]
		if err := cancel(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(guard + 100*time.Millisecond)
		p.signal(syscall.SIGCONT)
		if err := e.Answer("y"); err != nil {
			t.Fatal(err)
		}
		if m, err := other.Next(); err != nil || m.Type != "answer" {
			t.Fatalf("%+v, %v: want an answer", m, err)
		}
		if err := other.SetUp(id(0x200+n), 9*time.Second, n%2, "x"); err != nil {
			t.Fatal(err)
		}
		for {
			e := nextSetUp(t, d)
			if e.ID == id(0x200+n) {
				break
			}
			t.Errorf("round %d: %s was sent %v after its caller had cancelled", n, e.ID, guard)
		}
		_, _ = c.Close(), other.Close()
	}
}

// TestASetUpDuringAPauseBeforeTheEndOfADrain: after SIGTERM the process is stopped, a set-up arrives in time, and the process continues
// after the time for new set-ups. It exited without reading the set-up.
func TestASetUpDuringAPauseBeforeTheEndOfADrain(t *testing.T) {
	t.Parallel()
	for round := 0; round < 4; {
		p, _ := startWithDispatchers(t)
		c, err := peer.DialCaller("tcp", p.lines)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.SetUp(id(1), 9*time.Second, 0, "x"); err != nil { // to make sure that the connection is open
			t.Fatal(err)
		}
		if err := c.Release(id(1), call.CauseNormal); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGTERM)
		since := time.Now()
		p.waitLog("draining")
		p.signal(syscall.SIGSTOP)
		err = c.SetUp(id(2), 4*time.Second, 0, "x")
		inTime := err == nil && time.Since(since) < 500*time.Millisecond
		time.Sleep(time.Until(since.Add(time.Second)))
		p.signal(syscall.SIGCONT)
		if !inTime {
			p.kill()
			continue // the machine was too slow to keep the order; repeat
		}
		m, err := c.Next()
		if err == nil && m.ID == id(1) { // on a busy machine the call was refused before the release arrived
			m, err = c.Next()
		}
		if err != nil || m.ID != id(2) {
			t.Errorf("%+v, %v: want a final answer to a set-up that came in time", m, err)
		}
		round++
		p.kill()
		_ = c.Close()
	}
}

// TestSignalsInADrain: SIGTERM comes twice with SIGHUP between, while one attempt is in progress and another set-up follows. Both are
// answered, and the program exits without an error.
func TestSignalsInADrain(t *testing.T) {
	t.Parallel()
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		p, d := startWithDispatchers(t)
		c, err := peer.DialCaller("tcp", p.lines)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := c.SetUp(id(1), 9*time.Second, 0, "x"); err != nil {
			t.Fatal(err)
		}
		e := nextSetUp(t, d)
		for _, s := range signals {
			p.signal(s)
		}
		p.waitLog("draining")
		if err := c.SetUp(id(2), 9*time.Second, 1, "x"); err != nil {
			t.Fatal(err)
		}
		for _, e := range []peer.Event{e, nextSetUp(t, d)} {
			if err := e.Answer("y"); err != nil {
				t.Fatal(err)
			}
			if m, err := c.Next(); err != nil || m.ID != e.ID || m.Type != "answer" {
				t.Errorf("%v: %+v, %v: want the answer to %s", signals, m, err, e.ID)
			}
		}
		select {
		case err := <-p.ended:
			if err != nil {
				t.Errorf("%v: ended with %v:\n%s", signals, err, p.log)
			}
			p.cmd = nil
		case <-time.After(peer.Timeout):
			t.Fatalf("%v: the process does not exit", signals)
		}
	}
}
