package callers

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

const (
	unsentCallID = "00000000000000b1"
	// fillerSize is most of the maximum message size.
	fillerSize = 15 << 10
	// fullQueueSize is the unsent output at which the socket counts as full.
	fullQueueSize = 2 * fillerSize
)

// awaitAccepted waits until the front has a second connection.
func awaitAccepted(t *testing.T, f *Front, other *Conn) (accepted *Conn) {
	t.Helper()
	for until := time.Now().Add(peer.Timeout); accepted == nil; {
		onLoop(f.loop, func() {
			if i := slices.IndexFunc(f.conns, func(c *Conn) bool { return c != other }); i >= 0 {
				accepted = f.conns[i]
			}
		})
		if time.Now().After(until) {
			t.Fatal("the connection is never accepted")
		}
	}
	return accepted
}

// fillSocket sends answers of other calls to a caller that does not read until the socket is full. It runs on the loop. The
// socket is full only for what the same function does next, since the kernel may accept more later.
func fillSocket(t *testing.T, c *Conn) {
	t.Helper()
	for c.conn.Unsent() < fullQueueSize {
		if err := c.Answer(otherCallID, strings.Repeat("x", fillerSize)); err != nil {
			t.Fatal(err)
		}
		c.conn.Flush()
	}
}

// TestAnUnsentAnswerAsAnotherConnectionOpens guards against a discarded answer: its caller reads late, and its connection is
// evicted for a new one.
func TestAnUnsentAnswerAsAnotherConnectionOpens(t *testing.T) {
	t.Parallel()
	core := newStubCore()
	f := newSmallFront(t, core)
	caller, first := connect(t, f, 1)
	if err := caller.SetUp(unsentCallID, 9*time.Second, 0, "x"); err != nil {
		t.Fatal(err)
	}
	for accepted, until := false, time.Now().Add(peer.Timeout); !accepted; onLoop(f.loop, func() { accepted = core.pending[first] == 1 }) {
		if time.Now().After(until) {
			t.Fatal("the set-up is never accepted")
		}
	}
	onLoop(f.loop, func() { f.SetMaxConnections(2) })
	newest, err := peer.DialCaller("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer newest.Close()
	second := awaitAccepted(t, f, first)
	onLoop(f.loop, func() {
		core.pending[first] = 0
		fillSocket(t, first)
		if err := first.Answer(unsentCallID, "y"); err != nil {
			t.Error(err)
		}
		f.SetMaxConnections(1)
		f.evict(second)
		if first.closed || !second.overflow {
			t.Errorf("closed: %v; overflow of the new connection: %v", first.closed, second.overflow)
		}
	})
	for {
		m, err := caller.Next()
		if err != nil {
			t.Fatalf("the answer never arrives: %v", err)
		}
		if m.ID == unsentCallID && m.Type == "answer" {
			return
		}
	}
}

// TestAConnectionWithUnflushedOutputIsEvicted guards against refusing a new connection because the one that can be evicted has a
// queued answer, although its socket would accept it.
func TestAConnectionWithUnflushedOutputIsEvicted(t *testing.T) {
	t.Parallel()
	f := newSmallFront(t, newStubCore())
	_, c := connect(t, f, 1)
	onLoop(f.loop, func() {
		c.receivedRequest = true
		c.extendAnswerDeadline(time.Now().Add(time.Minute))
		c.End(unsentCallID, call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded})
		if f.EvictOne(); !c.closed {
			t.Error("the connection was not evicted")
		}
	})
}

// TestAStalledReaderHoldsNoConnectionForLong guards against a front that stays full because a caller does not read: its
// connection can be evicted once its deadline has passed.
func TestAStalledReaderHoldsNoConnectionForLong(t *testing.T) {
	t.Parallel()
	for name, after := range map[string]time.Duration{"before the deadline": callTimeout - time.Second, "at the deadline": callTimeout} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, initialState{})
				stays, want := false, after < callTimeout
				evict := scenarioStep{'-', "a connection is evicted", func(h *harness) bool {
					h.front.EvictOne()
					c, ok := h.callConn.handler.(*Conn)
					stays = ok && !c.closed
					return true
				}, 0, false}
				steps := slices.Concat(stepsFor("fE"), []scenarioStep{waitStep('-', after), evict})
				if !h.play(steps) || stays != want {
					t.Errorf("the connection stays open: %v, want %v", stays, want)
				}
			})
		})
	}
}

// TestAnUnsentAnswerAsASuccessorServes guards against a discarded answer: a successor serves, and the controller closes
// connections although they have established calls.
func TestAnUnsentAnswerAsASuccessorServes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, initialState{})
		supersede := scenarioStep{'-', "a successor serves", func(h *harness) bool {
			h.core.Supersede(func(string, call.End) bool { return false })
			return true
		}, 2 * newConnGracePeriod, false}
		finalAnswers := 0
		readOn := scenarioStep{'-', "the caller reads on", func(h *harness) bool {
			h.caller.unblock()
			finalAnswers = h.finalAnswers
			return true
		}, 0, false}
		if !h.play(slices.Concat(stepsFor("fa"), []scenarioStep{supersede, readOn})) || finalAnswers != 1 {
			t.Errorf("%d final answers, want 1", finalAnswers)
		}
	})
}

// resumeCore accepts resume requests.
type resumeCore struct{ *stubCore }

func (resumeCore) ResumeCall(call.ResumeRequest) error { return nil }

// TestAResumeHoldsNoConnectionForLong guards against a front that stays full because callers do not read, and resume calls with a
// time left of an hour; and against a discarded answer of a caller that names no time.
func TestAResumeHoldsNoConnectionForLong(t *testing.T) {
	t.Parallel()
	const deadline = 9 * time.Second // timeout of the only class
	for name, test := range map[string]struct {
		left  jsonl.Value
		until time.Duration
	}{
		"an hour left":    {"3600000", deadline},
		"less time left":  {"1000", time.Second},
		"no time named":   {"", deadline},
		"an invalid time": {"x", deadline},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSmallFront(t, resumeCore{newStubCore()})
			_, c := connect(t, f, 1)
			onLoop(f.loop, func() {
				f.rules.SetResumeOverLines(true)
				fillSocket(t, c)
				at := time.Now()
				fields := map[string]jsonl.Value{}
				if test.left != "" {
					fields["left"] = test.left
				}
				if err := c.handle(&jsonl.Message{Type: "resume", ID: unsentCallID, Fields: fields}, at); err != nil {
					t.Error(err)
				}
				if end := at.Add(test.until); !c.hasUnsentAnswer(end.Add(-time.Millisecond)) || c.hasUnsentAnswer(end.Add(time.Millisecond)) {
					t.Errorf("the connection is held until %v after the resume, want %v", c.answerDeadline.Sub(at), test.until)
				}
			})
		})
	}
}
