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

// The term: a request whose new connection closes gets its answer first.

// expectAnswerBeforeClose wants the answer to a set-up ahead of the end of its connection.
func (w *fixture) expectAnswerBeforeClose(c *peer.Caller, n int) {
	w.Helper()
	m, err := c.Next()
	if err != nil || m.ID != id(n) || m.Type != "release" {
		w.Errorf("%+v, %v: want the answer to the set-up on a new connection", m, err)
	}
}

// fillConnections opens connections until the node may hold no more; each has a set-up open, so that none of them can make room.
func (w *fixture) fillConnections(n int) {
	w.Helper()
	for i := range n {
		c := w.connect()
		w.must(c.SetUp(id(0x100+i), longTimeout, 0, "x"))
		w.recordEvent(0)
	}
}

// refusals are the paths on which the controller closes a new connection on which a set-up has come.
var refusals = map[string]struct {
	bounds callers.Bounds
	ask    func(w *fixture) *peer.Caller // a new connection on which the set-up 1 has been sent whole
}{
	"no connection can make room": {callers.Bounds{Connections: 2, Silent: longTimeout, Idle: longTimeout}, func(w *fixture) *peer.Caller {
		w.fillConnections(2)
		c := w.connect()
		w.must(c.SetUp(id(1), longTimeout, 0, "x"))
		return c
	}},
	"it drains, and the time for new set-ups is over": {callers.Bounds{Silent: longTimeout, Idle: longTimeout}, func(w *fixture) *peer.Caller {
		w.fillConnections(1) // keeps it from ending
		w.node.drain()
		time.Sleep(800 * time.Millisecond)
		c := w.connect()
		w.must(c.SetUp(id(1), longTimeout, 0, "x"))
		return c
	}},
	"a fault lies behind it": {callers.Bounds{Silent: longTimeout, Idle: longTimeout}, func(w *fixture) *peer.Caller {
		c := w.connect()
		free := w.pauseLoop()
		w.must(c.SendRaw(append(w.encodeSetUp(c, 1), c.Frame([]byte(`{"type":"setup",`))...)))
		free()
		return c
	}},
}

func (w *fixture) encodeSetUp(c *peer.Caller, n int) []byte {
	w.Helper()
	text, err := jsonl.Append(nil, c.Asks(id(n), longTimeout, 0, "x"))
	w.must(err)
	return c.Frame(text)
}

// TestANewConnectionsSetUpIsAnsweredBeforeItsClose forces each of the paths over JSON lines.
func TestANewConnectionsSetUpIsAnsweredBeforeItsClose(t *testing.T) {
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, "tcp", "tcp", refusal.bounds)
			w.expectAnswerBeforeClose(refusal.ask(w), 1)
		})
	}
}

// TestASetUpBeyondTheConnectionLimitIsAnswered: the listener itself closes what comes beyond the bound, its spare part included, which is
// held by connections that lie before the loop.
func TestASetUpBeyondTheConnectionLimitIsAnswered(t *testing.T) {
	t.Parallel()
	bounds := callers.Bounds{Connections: 2, Silent: longTimeout, Idle: longTimeout}
	w := newFixture(t, "tcp", "tcp", bounds)
	w.fillConnections(bounds.Connections)
	free := w.pauseLoop()
	for range bounds.Most() - bounds.Connections {
		before := w.node.loop.Pending()
		w.connect()
		w.waitQueued(before + 1)
	}
	c := w.connect()
	w.must(c.SetUp(id(1), longTimeout, 0, "x"))
	free()
	m, err := c.Next()
	if err != nil || m.ID != id(1) || m.Type != "release" || m.CauseOr(0) != call.CauseCongestion || m.Fields["wait"] == "" {
		t.Errorf("%+v, %v: want a refusal with a time to come back", m, err)
	}
}

// TestASetUpAheadOfAFloodIsAnswered: behind a set-up that lies before the loop, more comes than may wait beyond the ring.
func TestASetUpAheadOfAFloodIsAnswered(t *testing.T) {
	t.Parallel()
	w := newFixture(t, "tcp", "tcp", callers.Bounds{Silent: longTimeout, Idle: longTimeout})
	c := w.connect()
	free := w.pauseLoop()
	before := w.node.loop.Pending()
	w.must(c.SendRaw(w.encodeSetUp(c, 1)))
	w.waitQueued(before + 1)
	flood := c.Frame([]byte(`{"type":"progress","id":"` + id(2) + `","fields":{}}`))
	flood = []byte(strings.Repeat(string(flood), 1<<20/len(flood)))
	w.must(c.SetWriteDeadline(time.Now().Add(time.Second)))
	_ = c.SendRaw(flood) // it is closed meanwhile, or read no more
	free()
	w.expectAnswerBeforeClose(c, 1)
}
