package main

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// finalAnswers reads messages until the connection ends and returns the final answers to the set-ups with the given numbers.
func (f *fixture) finalAnswers(c *peer.Caller, numbers ...int) map[int]*jsonl.Message {
	f.Helper()
	answers := map[int]*jsonl.Message{}
	for {
		m, err := c.Next()
		if err != nil {
			break
		}
		for _, n := range numbers {
			if m.ID == id(n) && answers[n] != nil {
				f.Errorf("set-up %d has a second answer: %+v", n, m)
			} else if m.ID == id(n) {
				answers[n] = m
			}
		}
	}
	for _, n := range numbers {
		if answers[n] == nil {
			f.Errorf("set-up %d has no answer", n)
		}
	}
	return answers
}

// encodeSetUps returns the frames of several set-ups, to be sent in one segment.
func (f *fixture) encodeSetUps(c *peer.Caller, numbers ...int) []byte {
	f.Helper()
	var text []byte
	for _, n := range numbers {
		text = append(text, f.encodeSetUp(c, n)...)
	}
	return text
}

// TestEverySetUpBeyondTheConnectionLimitIsRefused guards against set-ups that are lost behind the first refusal.
func TestEverySetUpBeyondTheConnectionLimitIsRefused(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, transport, "tcp", callers.Bounds{MaxConnections: 2, MessageTimeout: longTimeout, IdleTimeout: longTimeout})
			f.fillConnections(2)
			c := f.connect()
			f.must(c.SendRaw(f.encodeSetUps(c, 1, 2, 3)))
			for n, m := range f.finalAnswers(c, 1, 2, 3) {
				if m.CauseOr(0) != call.CauseCongestion || m.Fields["wait"] == "" {
					t.Errorf("set-up %d got %+v: want a refusal with a retry time", n, m)
				}
			}
		})
	}
}

// TestSetUpsBehindAFaultAreAnswered guards against set-ups that are lost behind a message that closes the connection.
func TestSetUpsBehindAFaultAreAnswered(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, transport, "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
			c := f.connect()
			f.must(c.SendRaw(f.encodeSetUps(c, 1, 1, 2, 3))) // the second set-up 1 cannot be distinguished from the first
			f.finalAnswers(c, 1, 2, 3)
		})
	}
}

// TestASetUpAheadOfAFloodOverTheAPI is TestASetUpAheadOfAFloodIsAnswered for the call-control API.
func TestASetUpAheadOfAFloodOverTheAPI(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "ws", "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
	c := f.connect()
	resumeLoop := f.pauseLoop()
	before := f.node.loop.Pending()
	f.must(c.SendRaw(f.encodeSetUp(c, 1)))
	f.waitQueued(before + 1)
	text := c.Frame([]byte(`{"type":"progress","id":"` + id(2) + `","fields":{}}`))
	var flood []byte
	for len(flood) < 1<<20 {
		flood = append(flood, text...)
	}
	f.must(c.SetWriteDeadline(time.Now().Add(time.Second)))
	_ = c.SendRaw(flood)
	resumeLoop()
	f.finalAnswers(c, 1)
}

// TestASetUpCompletedAsItsTimeoutExpires guards against a set-up that is lost because its last part arrives at the moment of its timeout.
func TestASetUpCompletedAsItsTimeoutExpires(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, transport, "tcp", callers.Bounds{MessageTimeout: timeout, IdleTimeout: longTimeout})
			c := f.connect()
			text := f.encodeSetUp(c, 1)
			f.must(c.SendRaw(text[:len(text)/2]))
			time.Sleep(timeout / 2) // until the first half has been read
			resumeLoop := f.pauseLoop()
			before := f.node.loop.Pending()
			f.must(c.SendRaw(text[len(text)/2:]))
			f.waitQueued(before + 1)
			time.Sleep(timeout) // until the timeout has expired
			resumeLoop()
			f.must(f.recordEvent(0).Answer("y"))
			if m := f.nextMessage(c); m.Type != "answer" {
				t.Errorf("%+v: want the answer", m)
			}
		})
	}
}

func (f *fixture) nextMessage(c *peer.Caller) *jsonl.Message {
	f.Helper()
	m, err := c.Next()
	f.must(err)
	return m
}

// TestAnEndThatHasNotLeftAsItsConnectionEnds guards against losing the end of a call that is queued on a connection while its caller closes
// it.
func TestAnEndThatHasNotLeftAsItsConnectionEnds(t *testing.T) {
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, transport, "tcp", callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout})
			other, ending := f.newCaller(), f.newCaller()
			for n, c := range []*peer.Caller{other, ending} {
				f.must(c.SetUp(id(n+1), longTimeout, 0, "x"))
				f.must(f.recordEvent(0).Answer("y"))
				f.recordMessage(c)
			}
			resumeLoop := f.pauseLoop()
			before := f.node.loop.Pending()
			f.must(f.dispatchers[0].Release(id(2), call.CauseNormal))
			f.waitQueued(before + 1)
			f.node.loop.Post(func() { // in the same event loop iteration, after the end
				_ = ending.Close()
				time.Sleep(400 * time.Millisecond)
			})
			resumeLoop()
			if m := f.nextMessage(other); m.Type != "release" || m.ID != id(2) {
				t.Errorf("%+v: want the end of the other call", m)
			}
		})
	}
}
