// Command 2 is the second case of the review: two successors of a controller, shortly after one another.
package main

import (
	"fmt"
	"sync"
	"time"

	"cherryrelay/internal/peer"
	"cherryrelay/review/harness"
)

const (
	left       = 3600 * time.Millisecond // the callers' patience: 40% of the 9 s of the class
	queueWait  = 3500 * time.Millisecond // of one set-up at its dispatcher's processor, of at most 3.9 s
	startGap   = 400 * time.Millisecond  // from the readiness of the first successor to the start of the second
	settleTime = 10 * time.Second        // for the replaced processes to end: SIGKILL would come after 3.7 s
	toldTime   = 7 * time.Second         // after which an event counts as told
	drainGrace = 550 * time.Millisecond  // 500 ms, and 50 ms on sockets
	callers    = 40
	slowCall   = "00000000000000a1"
)

func main() { harness.Main(play) }

func play(c *harness.Case) {
	d1, d2 := c.Dispatcher("tcp"), c.Dispatcher("tcp")
	entry := func(i int, d *peer.Dispatcher, status string) harness.Entry {
		return harness.Entry{Name: fmt.Sprintf("d%d", i+1), Address: d.Address(), Zone: "tallinn", Group: i, Status: status}
	}
	list := harness.List(1, true, entry(0, d1, "active"), entry(1, d2, "active"))
	old, moved := c.NewCoordinator("coordinator-1", list), c.NewCoordinator("coordinator-2", list)
	config := func(k *harness.Coordinator) map[string]any {
		return harness.Config(k.Address, []map[string]any{harness.Class("send-setup", "read_like")}, list)
	}

	var mu sync.Mutex
	var drainedBy time.Time // from then on no set-up may arrive at d1; zero until it is told
	late := 0
	serve := func(name string, d *peer.Dispatcher) {
		for e := range d.Events {
			if e.Kind != "setup" {
				continue
			}
			c.Log(name, "set-up %s", e.ID)
			mu.Lock()
			if name == "d1" && !drainedBy.IsZero() && time.Now().After(drainedBy) {
				late++
			}
			mu.Unlock()
			go func() {
				if e.ID == slowCall {
					time.Sleep(queueWait)
				}
				time.Sleep(20 * time.Millisecond)
				_ = e.Answer("answer to " + e.ID)
			}()
		}
	}
	go serve("d1", d1)
	go serve("d2", d2)

	p := c.NewController("n1", config(old), "")
	p.Start()
	p.WaitReady()
	go call(c, p, slowCall)
	time.Sleep(100 * time.Millisecond)
	if c.Trouble {
		s1 := p.Successor("n1-second", config(old))
		s1.Start()
		s1.WaitReady()
		time.Sleep(startGap)
	}
	s2 := p.Successor("n1-last", config(moved)) // its configuration moves discovery
	s2.Start()
	s2.WaitReady()
	time.Sleep(settleTime)
	c.Log("check", "the first process of n1 still runs: %v", p.Alive())
	old.Close()
	moved.Publish(harness.List(2, false, entry(0, d1, "leaving")))
	mu.Lock()
	drainedBy = time.Now().Add(toldTime + drainGrace)
	mu.Unlock()
	time.Sleep(toldTime + drainGrace + 100*time.Millisecond)

	var calls sync.WaitGroup
	for i := range callers {
		calls.Go(func() { call(c, p, fmt.Sprintf("%016x", 0xb00+i)) })
		time.Sleep(100 * time.Millisecond)
	}
	calls.Wait()
	if late > 0 {
		c.Break("%d of %d set-ups went to d1 more than %v after coordinator-2 had told n1 that it drains", late, callers, toldTime+drainGrace)
	}
}

// call places a call on a connection of its own and waits for its final answer.
func call(c *harness.Case, p *harness.Controller, id string) {
	caller, err := peer.DialCaller("tcp", p.Listen)
	if err != nil {
		c.Log("caller", "%s: %v", id, err)
		return
	}
	defer caller.Close()
	c.Must(caller.SetUp(id, left, 0, "offer"))
	m, err := caller.NextWithin(left + time.Second)
	if err != nil {
		c.Log("caller", "%s: %v", id, err)
		return
	}
	c.Log("caller", "%s %s cause %d", m.Type, id, m.CauseOr(0))
}
