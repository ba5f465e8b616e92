package main

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/config"
	"cherryrelay/internal/peer"
)

// newFixtureWithoutList returns a node without a list, with a coordinator at the address unless it is empty.
func newFixtureWithoutList(t *testing.T, coordinator string) *fixture {
	t.Helper()
	c := new(config.Config)
	c.Listen, c.Seed, c.Coordinator, c.Settings = "127.0.0.1:0", "1", coordinator, testSettings(t)
	n, err := startWithBounds(c, slog.New(slog.DiscardHandler), callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{T: t, node: n, transport: "tcp", done: make(chan error, 1)}
	go func() { f.done <- n.run() }()
	t.Cleanup(n.loop.Quit)
	return f
}

// setList applies a list with n dispatchers to the node.
func (f *fixture) setList(n int, address func(i int) string) {
	u := call.Update{Complete: true}
	for i := range n {
		u.Servers = append(u.Servers, call.Server{ServerEntry: control.ServerEntry{ID: control.ServerID(fmt.Sprint("d", i)), Cell: i}, Address: address(i)})
	}
	applied := make(chan struct{})
	f.node.loop.Post(func() { f.node.core.Update(u); close(applied) })
	<-applied
}

// waitDrained waits until a draining node ends.
func (f *fixture) waitDrained(since time.Time) {
	f.Helper()
	select {
	case err := <-f.done:
		if took := time.Since(since); err != nil || took < 700*time.Millisecond {
			f.Errorf("ended with %v after %v: late set-ups must be served", err, took)
		}
	case <-time.After(peer.Timeout):
		f.Fatal("the node does not end")
	}
}

// TestDrainAtAnyMoment drains before the first list, while 300 dispatchers refuse connections or do not answer, and while the coordinator
// changes.
func TestDrainAtAnyMoment(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0") // connections open, and nothing is sent on them
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	unused := freeAddress(t)
	for name, before := range map[string]func(f *fixture){
		"no list":         func(*fixture) {},
		"an empty list":   func(f *fixture) { f.setList(0, nil) },
		"300 that refuse": func(f *fixture) { f.setList(300, func(int) string { return unused }) },
		"300 that do not answer": func(f *fixture) {
			f.setList(300, func(int) string { return listener.Addr().String() })
			f.setList(300, func(int) string { return unused })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureWithoutList(t, unused)
			before(f)
			since := time.Now()
			f.node.drain()
			f.waitDrained(since)
		})
	}
	for name, order := range map[string][2]bool{"reload, then drain": {true, false}, "drain, then reload": {false, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other, asked := startListServer(t, "")
			f := newFixtureWithoutList(t, unused)
			since := time.Now()
			for _, reload := range order {
				if reload {
					c := *f.node.config
					c.Coordinator = other
					f.node.reload(&c, nil)
				} else {
					f.node.drain()
				}
			}
			waitRequested(t, asked, "0")
			f.waitDrained(since)
		})
	}
}

// TestAListThatComesLate: a call before the first list is answered by its deadline, and a call after the list is set up.
func TestAListThatComesLate(t *testing.T) {
	t.Parallel()
	f := newFixtureWithoutList(t, "")
	c, err := peer.DialCaller("tcp", f.node.lines.Address())
	f.must(err)
	defer c.Close()
	f.must(c.SetUp(id(1), 600*time.Millisecond, 0, "early"))
	if m, err := c.Next(); err != nil || m.ID != id(1) || m.Type != "release" {
		t.Fatalf("%+v, %v: want a final answer", m, err)
	}
	f.setList(0, nil)
	f.must(c.SetUp(id(2), 600*time.Millisecond, 0, "still early"))
	if m, err := c.Next(); err != nil || m.ID != id(2) || m.Type != "release" {
		t.Fatalf("%+v, %v: want a final answer", m, err)
	}
	d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40")
	f.must(err)
	defer d.Kill()
	f.setList(1, func(int) string { return d.Address() })
	f.must(c.SetUp(id(3), peer.Timeout, 0, "late"))
	e, err := d.Next()
	f.must(err)
	f.must(e.Answer("yes"))
	if m, err := c.Next(); err != nil || m.ID != id(3) || m.Type != "answer" {
		t.Errorf("%+v, %v: want the answer", m, err)
	}
}

// TestStartedAgainUnderItsName: a controller that was killed leaves its dispatchers with connections that look open. The next controller
// under its name still reaches them, and gets an end that is sent on a connection of the killed one.
func TestStartedAgainUnderItsName(t *testing.T) {
	t.Parallel()
	d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	establish := func(f *fixture, number int) (*peer.Caller, peer.Event) {
		c, err := peer.DialCaller("tcp", f.node.lines.Address())
		f.must(err)
		f.Cleanup(func() { _ = c.Close() })
		f.must(c.SetUp(id(number), peer.Timeout, 0, "d"))
		e, err := d.Next()
		f.must(err)
		f.must(e.Answer("yes"))
		_, err = c.Next()
		f.must(err)
		return c, e
	}
	killed := newFixtureWithoutList(t, "")
	killed.setList(1, func(int) string { return d.Address() })
	establish(killed, 1)
	hold, free := make(chan struct{}), make(chan struct{})
	killed.node.loop.Post(func() { close(hold); <-free }) // its loop blocks from here on: its connections stay open and it sends nothing
	<-hold
	defer close(free)
	next := newFixtureWithoutList(t, "")
	next.setList(1, func(int) string { return d.Address() })
	c, e := establish(next, 2)
	next.must(e.ReleaseOnConn(id(2), call.CauseNormal))
	if m, err := c.NextWithin(time.Second); err != nil || m.ID != id(2) || m.CauseOr(0) != call.CauseNormal {
		t.Errorf("%+v, %v: want the end of the call within a second", m, err)
	}
	next.must(d.Release(id(1), call.CauseNormal)) // of the killed controller, sent on the newest connection
	if m, err := c.Next(); err != nil || m.ID != id(1) {
		t.Errorf("%+v, %v: want the end of the earlier call", m, err)
	}
}
