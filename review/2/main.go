// Command 2 is the second case of the review: a planned restart while a set-up that may not be repeated waits at a dispatcher.
package main

import (
	"strconv"
	"syscall"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
	"cherryrelay/review/harness"
)

const (
	left       = 3600 * time.Millisecond // the caller's patience: 40% of the 9 s of the class
	queueWait  = 3500 * time.Millisecond // at the dispatcher's processor, of at most 3.9 s
	class      = "hold-set"
	first      = "00000000000000a1"
	second     = "00000000000000a2"
	restartLag = 100 * time.Millisecond // from the end of the process to the next start
)

func main() { harness.Main(play) }

func play(c *harness.Case) {
	d := c.Dispatcher("tcp")
	runs := make(chan string, 16)
	go func() {
		wait := queueWait // for the first set-up; the queue is short again afterwards
		for e := range d.Events {
			c.Log("d1", "%s %s", e.Kind, e.ID)
			if e.Kind != "setup" {
				continue
			}
			go func(wait time.Duration) {
				time.Sleep(wait)
				c.Log("d1", "set-up %s has run", e.ID)
				runs <- e.ID
				_ = e.Answer("table held for " + e.ID)
			}(wait)
			wait = 20 * time.Millisecond
		}
	}()
	p := c.NewController("n1", harness.Config("", []map[string]any{harness.Class(class, "non_idempotent")},
		harness.List(1, true, harness.Entry{Name: "d1", Address: d.Address(), Zone: "tallinn", Status: "active"})), "")
	p.Start()
	p.WaitReady()
	m := call(c, p, first, func() {
		if c.Trouble {
			p.Signal(syscall.SIGTERM)
		}
	})
	switch m.CauseOr(0) {
	case 34, 42, 102:
		if m.Type == "release" {
			c.Break("set-up %s of a class that may not be repeated was refused (cause %d: trying again is harmless) although its attempt had "+
				"arrived at the dispatcher and no outcome shows that it never ran", first, m.CauseOr(0))
		}
	default:
		return
	}
	// The caller does what the refusal allows.
	wait, _ := strconv.Atoi(string(m.Fields["wait"]))
	if !p.WaitEnd(5 * time.Second) {
		c.Fatal("the process has not ended")
	}
	time.Sleep(restartLag)
	p.Start()
	p.WaitReady()
	time.Sleep(time.Duration(wait) * time.Millisecond)
	call(c, p, second, func() {})
	ran := 0
	for len(runs) > 0 {
		<-runs
		ran++
	}
	c.Log("check", "the dispatcher has run %d set-ups for this one wish of the caller", ran)
}

// call places a call on a new connection and returns its final answer. It runs after shortly after the set-up.
func call(c *harness.Case, p *harness.Controller, id string, after func()) *jsonl.Message {
	caller, err := peer.DialCaller("tcp", p.Listen)
	c.Must(err)
	caller.Class = class
	m := caller.SetUpMessage(id, left, 0, "table for four")
	m.Fields["key"] = "tel-6b5sum7ecwe"
	c.Must(caller.Send(m))
	c.Log("caller", "set-up %s sent", id)
	time.Sleep(50 * time.Millisecond)
	after()
	answer, err := caller.NextWithin(left + time.Second)
	c.Must(err)
	c.Log("caller", "%s %s cause %d fields %v", answer.Type, answer.ID, answer.CauseOr(0), answer.Fields)
	return answer
}
