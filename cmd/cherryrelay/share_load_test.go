package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// No process may be left without calls while others refuse calls with a retry time.

// limitedDispatcher is a dispatcher with few lines. Each call occupies one for a while, and a call without a free line is refused.
type limitedDispatcher struct {
	*peer.Dispatcher
	free atomic.Int32
}

const (
	linesPerDispatcher = 6
	callDuration       = 250 * time.Millisecond
)

func startLimitedDispatcher(t *testing.T) *limitedDispatcher {
	t.Helper()
	d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", fmt.Sprintf("x0:%d;x1:%[1]d", linesPerDispatcher))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	l := &limitedDispatcher{Dispatcher: d}
	l.free.Store(linesPerDispatcher)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go l.sendReports(ended)
	go func() {
		for range d.Acks { // discarded
		}
	}()
	go func() {
		for e := range d.Events {
			if e.Kind == "setup" {
				l.handleSetUp(e)
			}
		}
	}()
	return l
}

// reportInterval is the interval at which a dispatcher reports its free lines.
const reportInterval = 100 * time.Millisecond

func (l *limitedDispatcher) sendReports(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(reportInterval):
			_ = l.SetReport(fmt.Sprintf("x0:%d;x1:%d", max(l.free.Load(), 0), linesPerDispatcher))
		}
	}
}

func (l *limitedDispatcher) handleSetUp(e peer.Event) {
	if l.free.Add(-1) < 0 {
		l.free.Add(1)
		_ = e.Refuse(peer.NoLine)
		return
	}
	_ = e.Answer("y")
	time.AfterFunc(callDuration, func() {
		l.free.Add(1)
		_ = e.ReleaseOnConn(e.ID, call.CauseNormal)
	})
}

// outcomeCount counts the answers to the callers of one process.
type outcomeCount struct{ served, refused atomic.Int32 }

// placeCalls places calls at a process at the given rate until it is stopped. It reconnects if the connection is closed.
func (n *outcomeCount) placeCalls(p *process, rate float64, base int, first func(n int) int, stop <-chan struct{}) {
	var c *peer.Caller
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for i := 1; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(time.Second) / rate)):
		}
		if c == nil {
			next, err := peer.DialCaller("tcp", p.lines)
			if err != nil {
				continue
			}
			c = next
			c.Tenant = ""
			go n.countOutcomes(c)
		}
		if c.SetUp(id(base+i), 1500*time.Millisecond, first(i), "x") != nil {
			_ = c.Close()
			c = nil
		}
	}
}

func (n *outcomeCount) countOutcomes(c *peer.Caller) {
	for {
		m, err := c.NextWithin(time.Minute)
		switch {
		case err != nil:
			return
		case m.Type == "answer":
			n.served.Add(1)
		case m.Type == "release" && m.Fields["wait"] != "":
			n.refused.Add(1)
		}
	}
}

// TestEveryProcessServesCalls: six processes place more calls than four dispatchers have lines. The callers of one process have only a
// draining dispatcher as first choice, and another process is killed and starts again. Neither process may be left without calls while
// others refuse calls with a retry time.
func TestEveryProcessServesCalls(t *testing.T) {
	const (
		processes = 6
		rate      = 24.0 // set-ups per second of each: half as many again as there are lines for
		drained   = 0
		restarted = 1
		measured  = 8 * time.Second
		least     = 0.1 // as a share of the mean of the others
	)
	discovery := startChangeCoordinator(t)
	var known []map[string]any
	for i := range 4 {
		known = append(known, endpoint(fmt.Sprint("d", i), i, startLimitedDispatcher(t).Address(), time.Time{}))
	}
	text := platformFile(t, processes, 15*time.Second, discovery.address, known)
	var all []*process
	for range processes {
		p := newPlatformProcess(t, text)
		p.launchOnPlatform()
		all = append(all, p)
	}
	for _, p := range all {
		p.waitReady()
	}
	tallies := make([]outcomeCount, processes)
	stop := make(chan struct{})
	var load sync.WaitGroup
	defer load.Wait()
	defer close(stop)
	for i, p := range all {
		first := func(n int) int { return n % 4 }
		if i == drained {
			first = func(int) int { return 0 }
		}
		load.Go(func() { tallies[i].placeCalls(p, rate, i<<16, first, stop) })
	}
	time.Sleep(3 * time.Second)
	leaving := known[0]
	leaving["status"] = "leaving"
	discovery.announce(t, leaving)
	all[restarted].kill()
	all[restarted].launchOnPlatform()
	all[restarted].waitReady()
	var before [processes]int32
	for i := range tallies {
		before[i] = tallies[i].served.Load()
		tallies[i].refused.Store(0)
	}
	time.Sleep(measured)
	var served [processes]int32
	others, refused := int32(0), int32(0)
	for i := range tallies {
		served[i] = tallies[i].served.Load() - before[i]
		refused += tallies[i].refused.Load()
		if i != drained && i != restarted {
			others += served[i]
		}
	}
	mean := float64(others) / (processes - 2)
	t.Logf("served by each: %v; %d were refused with a retry time", served, refused)
	if refused == 0 {
		t.Fatal("no call was refused: the load is too low")
	}
	for i, n := range served {
		if float64(n) < least*mean {
			t.Errorf("process %d served %d calls, the others %.0f each", i, n, mean)
		}
	}
}
