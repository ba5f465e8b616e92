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
	unsentID = "00000000000000b1"
	// fillerSize is most of the largest message.
	fillerSize = 15 << 10
	// fullWith is how much waits for a socket that is full.
	fullWith = 2 * fillerSize
)

// accepts waits until the front has a connection beside another one.
func accepts(t *testing.T, f *Front, beside *Conn) (accepted *Conn) {
	t.Helper()
	for until := time.Now().Add(peer.Patience); accepted == nil; {
		onLoop(f.loop, func() {
			if i := slices.IndexFunc(f.all, func(c *Conn) bool { return c != beside }); i >= 0 {
				accepted = f.all[i]
			}
		})
		if time.Now().After(until) {
			t.Fatal("the connection is never accepted")
		}
	}
	return accepted
}

// fillSocket has the connection tell its caller, which does not read, answers of other calls until its socket takes no more. It runs on the loop, and
// what follows there at once finds the socket full: its kernel may take more later.
func fillSocket(t *testing.T, c *Conn) {
	t.Helper()
	for c.conn.Unsent() < fullWith {
		if err := c.Answer(otherID, strings.Repeat("x", fillerSize)); err != nil {
			t.Fatal(err)
		}
		c.conn.Flush()
	}
}

// TestAnAnswerThatHasNotLeftAsAnotherConnectionComes guards against an answer that is thrown away, as its connection, whose caller reads late, makes room
// for a new one.
func TestAnAnswerThatHasNotLeftAsAnotherConnectionComes(t *testing.T) {
	t.Parallel()
	core := serving()
	f := oneConnection(t, core)
	caller, first := connects(t, f, 1)
	if err := caller.SetUp(unsentID, 9*time.Second, 0, "x"); err != nil {
		t.Fatal(err)
	}
	for taken, until := false, time.Now().Add(peer.Patience); !taken; onLoop(f.loop, func() { taken = core.owes[first] == 1 }) {
		if time.Now().After(until) {
			t.Fatal("the set-up is never taken")
		}
	}
	onLoop(f.loop, func() { f.Limit(2) })
	newest, err := peer.Call("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer newest.Close()
	second := accepts(t, f, first)
	onLoop(f.loop, func() {
		core.owes[first] = 0
		fillSocket(t, first)
		if err := first.Answer(unsentID, "y"); err != nil {
			t.Error(err)
		}
		f.Limit(1)
		f.makeRoom(second)
		if first.closed || !second.overflow {
			t.Errorf("it is closed: %v; the new one waits for its refusal: %v", first.closed, second.overflow)
		}
	})
	for {
		m, err := caller.Next()
		if err != nil {
			t.Fatalf("the answer never comes: %v", err)
		}
		if m.ID == unsentID && m.Type == "answer" {
			return
		}
	}
}

// TestWhatIsNotFlushedYetMakesRoom guards against a new connection that finds no room, as the one that can go has an answer queued that its socket would
// take.
func TestWhatIsNotFlushedYetMakesRoom(t *testing.T) {
	t.Parallel()
	f := oneConnection(t, serving())
	_, c := connects(t, f, 1)
	onLoop(f.loop, func() {
		c.asked = true
		c.awaitsAnswer(time.Now().Add(time.Minute))
		c.End(unsentID, call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded})
		if f.Squeeze(); !c.closed {
			t.Error("it stays")
		}
	})
}

// TestAStalledReaderHoldsNoRoomForLong guards against a front that is kept full by a caller that does not read: its connection goes once the caller must
// have given up.
func TestAStalledReaderHoldsNoRoomForLong(t *testing.T) {
	t.Parallel()
	for what, after := range map[string]time.Duration{"it waits still": orderDeadline - time.Second, "its time is over": orderDeadline} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newOrderSite(t, orderStart{})
				stays, want := false, after < orderDeadline
				squeeze := orderEvent{'-', "a connection makes room", func(s *orderSite) bool {
					s.front.Squeeze()
					c, ok := s.first.handler.(*Conn)
					stays = ok && !c.closed
					return true
				}, 0, false}
				order := slices.Concat(spelledOrder("fE"), []orderEvent{passes('-', after), squeeze})
				if !s.play(order) || stays != want {
					t.Errorf("it stays: %v, want %v", stays, want)
				}
			})
		})
	}
}

// TestAnAnswerThatHasNotLeftAsASuccessorServes guards against an answer that is thrown away, as the controller has a successor and closes connections
// though calls stand there.
func TestAnAnswerThatHasNotLeftAsASuccessorServes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{})
		supersede := orderEvent{'-', "a successor serves", func(s *orderSite) bool {
			s.core.Supersede(func(string, call.End) bool { return false })
			return true
		}, 2 * settle, false}
		finals := 0
		readOn := orderEvent{'-', "the caller reads on", func(s *orderSite) bool {
			s.caller.goesOn()
			finals = s.finals
			return true
		}, 0, false}
		if !s.play(slices.Concat(spelledOrder("fa"), []orderEvent{supersede, readOn})) || finals != 1 {
			t.Errorf("%d final answers, want 1", finals)
		}
	})
}

// claimsCore takes claims to calls.
type claimsCore struct{ *openCore }

func (claimsCore) ResumeCall(call.ResumeRequest) error { return nil }

// TestAResumeHoldsNoConnectionForLong guards against a front that is kept full by callers that do not read, and name an hour in which they would wait for
// the answer of the call that they come back for; and against an answer that is thrown away, as its caller names no time.
func TestAResumeHoldsNoConnectionForLong(t *testing.T) {
	t.Parallel()
	const deadline = 9 * time.Second // of the only class
	for name, test := range map[string]struct {
		left  jsonl.Value
		until time.Duration
	}{
		"it names an hour":  {"3600000", deadline},
		"it names less":     {"1000", time.Second},
		"it names no time":  {"", deadline},
		"it names nonsense": {"x", deadline},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := oneConnection(t, claimsCore{serving()})
			_, c := connects(t, f, 1)
			onLoop(f.loop, func() {
				f.terms.ResumeLines(true)
				fillSocket(t, c)
				at := time.Now()
				fields := map[string]jsonl.Value{}
				if test.left != "" {
					fields["left"] = test.left
				}
				if err := c.take(&jsonl.Message{Type: "resume", ID: unsentID, Fields: fields}, at); err != nil {
					t.Error(err)
				}
				if end := at.Add(test.until); !c.holdsAnswer(end.Add(-time.Millisecond)) || c.holdsAnswer(end.Add(time.Millisecond)) {
					t.Errorf("the connection is held until %v after the resume, want %v", c.awaited.Sub(at), test.until)
				}
			})
		})
	}
}
