package main

import (
	"strings"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// A set-up on a new connection must be answered before the connection is closed.

// expectAnswerBeforeClose expects the answer to a set-up before the end of its connection.
func (f *fixture) expectAnswerBeforeClose(c *peer.Caller, n int) {
	f.Helper()
	m, err := c.Next()
	if err != nil || m.ID != id(n) || m.Type != "release" {
		f.Errorf("%+v, %v: want the answer to the set-up on a new connection", m, err)
	}
}

// fillConnections opens connections up to the limit of the node. Each has a pending set-up, so that none can be evicted.
func (f *fixture) fillConnections(n int) {
	f.Helper()
	for i := range n {
		c := f.connect()
		f.must(c.SetUp(id(0x100+i), longTimeout, 0, "x"))
		f.recordEvent(0)
	}
}

// refusals are the cases in which the controller closes a new connection with a set-up.
var refusals = map[string]struct {
	bounds callers.Bounds
	ask    func(f *fixture) *peer.Caller // a new connection on which the complete set-up 1 has been sent
}{
	"no connection can be evicted": {callers.Bounds{MaxConnections: 2, MessageTimeout: longTimeout, IdleTimeout: longTimeout}, func(f *fixture) *peer.Caller {
		f.fillConnections(2)
		c := f.connect()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		return c
	}},
	"draining, after the time for new set-ups": {callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout}, func(f *fixture) *peer.Caller {
		f.fillConnections(1) // keeps it from exiting
		f.node.drain()
		time.Sleep(800 * time.Millisecond)
		c := f.connect()
		f.must(c.SetUp(id(1), longTimeout, 0, "x"))
		return c
	}},
	"an invalid message follows": {callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout}, func(f *fixture) *peer.Caller {
		c := f.connect()
		resumeLoop := f.pauseLoop()
		f.must(c.SendRaw(append(f.encodeSetUp(c, 1), c.Frame([]byte(`{"type":"setup",`))...)))
		resumeLoop()
		return c
	}},
}

func (f *fixture) encodeSetUp(c *peer.Caller, n int) []byte {
	f.Helper()
	text, err := jsonl.Append(nil, c.SetUpMessage(id(n), longTimeout, 0, "x"))
	f.must(err)
	return c.Frame(text)
}

// TestANewConnectionsSetUpIsAnsweredBeforeItsClose runs each of the cases over JSON lines.
func TestANewConnectionsSetUpIsAnsweredBeforeItsClose(t *testing.T) {
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "tcp", "tcp", refusal.bounds)
			f.expectAnswerBeforeClose(refusal.ask(f), 1)
		})
	}
}

// TestASetUpBeyondTheConnectionLimitIsAnswered: the listener itself closes connections beyond the limit and its reserve. The reserve is
// held by connections that are queued for the loop.
func TestASetUpBeyondTheConnectionLimitIsAnswered(t *testing.T) {
	t.Parallel()
	bounds := callers.Bounds{MaxConnections: 2, MessageTimeout: longTimeout, IdleTimeout: longTimeout}
	f := newFixture(t, "tcp", "tcp", bounds)
	f.fillConnections(bounds.MaxConnections)
	resumeLoop := f.pauseLoop()
	for range bounds.MaxOpen() - bounds.MaxConnections {
		before := f.node.loop.Pending()
		f.connect()
		f.waitQueued(before + 1)
	}
	c := f.connect()
	f.must(c.SetUp(id(1), longTimeout, 0, "x"))
	resumeLoop()
	m, err := c.Next()
	if err != nil || m.ID != id(1) || m.Type != "release" || m.CauseOr(0) != call.CauseCongestion || m.Fields["wait"] == "" {
		t.Errorf("%+v, %v: want a refusal with a retry time", m, err)
	}
}

// TestASetUpAheadOfAFloodIsAnswered: behind a set-up that is queued for the loop, more input arrives than the ring buffer holds.
func TestASetUpAheadOfAFloodIsAnswered(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "tcp", "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
	c := f.connect()
	resumeLoop := f.pauseLoop()
	before := f.node.loop.Pending()
	f.must(c.SendRaw(f.encodeSetUp(c, 1)))
	f.waitQueued(before + 1)
	flood := c.Frame([]byte(`{"type":"progress","id":"` + id(2) + `","fields":{}}`))
	flood = []byte(strings.Repeat(string(flood), 1<<20/len(flood)))
	f.must(c.SetWriteDeadline(time.Now().Add(time.Second)))
	_ = c.SendRaw(flood) // the connection is closed meanwhile, or not read any more
	resumeLoop()
	f.expectAnswerBeforeClose(c, 1)
}
