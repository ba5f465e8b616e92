package call

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherryrelay/control"
)

// message is an event of a call, with the letter that stands for it in an order.
type message struct {
	letter  byte
	deliver func(s *fixture)
}

const callID = "1"

// messages are the events that may occur for one attempt: its answer, its end on the same and on another connection,
// the loss of its connection, and the cancellation by its caller.
var messages = []message{
	{'A', func(s *fixture) { s.core.Answered("a", callID, 0, "y") }},
	{'e', func(s *fixture) { s.core.Released("a", callID, 0, CauseNormal, nil) }},
	{'E', func(s *fixture) { s.core.Released("a", callID, -1, CauseNormal, nil) }},
	{'L', func(s *fixture) {
		delete(s.inProgress, callID)
		s.notBefore[callID] = time.Now().Add(guard)
		s.core.AttemptEnded("a", callID, 0, control.Reset, false, nil)
	}},
	{'C', func(s *fixture) { s.core.CallerReleased(s, callID, CauseNormal) }},
}

// feasibleOrders returns all feasible orders of all subsets of the messages: on one connection, the answer precedes the
// end, and nothing follows the loss.
func feasibleOrders(events []message) [][]message {
	var all [][]message
	var extend func(order []message)
	extend = func(order []message) {
		all = append(all, append([]message(nil), order...))
		for _, m := range events {
			letters := lettersOf(order)
			lost := strings.Contains(letters, "L")
			if strings.IndexByte(letters, m.letter) >= 0 || lost && strings.IndexByte("AeL", m.letter) >= 0 || m.letter == 'A' && strings.Contains(letters, "e") {
				continue
			}
			extend(append(append([]message(nil), order...), m))
		}
	}
	extend(nil)
	return all
}

// lettersOf returns the letters of an order.
func lettersOf(order []message) string {
	var letters strings.Builder
	for _, m := range order {
		letters.WriteByte(m.letter)
	}
	return letters.String()
}

// TestMessagesOfACallInEveryOrder guards against an end that is not delivered, a second final answer, and an answer that
// nobody waits for and whose call is not released.
func TestMessagesOfACallInEveryOrder(t *testing.T) {
	for _, order := range feasibleOrders(messages) {
		t.Run("order "+lettersOf(order), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.onSetUp = func(control.ServerID, SetUp) {}
			loop := s.core.Loop()
			next := 0
			var step func()
			step = func() {
				if next == len(order) {
					loop.After(time.Second, loop.Quit)
					return
				}
				order[next].deliver(s)
				next++
				loop.Post(step)
			}
			loop.Post(func() {
				s.updateList(control.Active, "a")
				if err := s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"}); err != nil {
					t.Error(err)
				}
			})
			loop.After(10*time.Millisecond, step) // the attempt is in progress by then
			loop.Run()
			letters := lettersOf(order)
			delivered := fmt.Sprintf("%d answers, %d ends, %d final answers, %d releases",
				s.answers[callID], s.terminations[callID], s.rejections[callID], s.releases)
			if s.answers[callID]+s.rejections[callID] > 1 || s.terminations[callID] > 1 {
				t.Errorf("delivered more than once: %s", delivered)
			}
			cancelled := strings.Contains(letters, "C")
			ended := strings.ContainsAny(letters, "eE")
			if s.answers[callID] == 1 && ended && !cancelled && s.terminations[callID] != 1 {
				t.Errorf("its end is not delivered: %s", delivered)
			}
			if strings.HasPrefix(letters, "AC") && s.terminations[callID] != 1 {
				t.Errorf("the end of a call that was cancelled while its answer was on its way is not delivered: %s", delivered)
			}
			// If the connection of the attempt is lost before the end arrives, nothing else is known of the call.
			if ended && !strings.ContainsAny(letters, "AC") && !strings.HasPrefix(letters, "L") && s.rejections[callID] != 1 {
				t.Errorf("an end without an answer has not caused a final answer: %s", delivered)
			}
			if strings.HasPrefix(letters, "CA") && s.releases == 0 {
				t.Errorf("an answer that nobody waits for is not released: %s", delivered)
			}
		})
	}
}

// TestAnEndOfUnknownAttempt guards against the end of an earlier attempt that is attributed to the attempt in progress
// at the same dispatcher, although that one's connection carries further messages and no end.
func TestAnEndOfUnknownAttempt(t *testing.T) {
	t.Parallel()
	for name, repliesFirst := range map[string]bool{"the reply to the probe arrives before the answer": true, "it arrives after the answer": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.onSetUp = func(server control.ServerID, a SetUp) {
				if a.Attempt == 0 {
					delete(s.inProgress, a.ID)
					s.notBefore[a.ID] = time.Now().Add(guard)
					s.core.AttemptEnded(server, a.ID, 0, control.Reset, false, nil)
					return
				}
				s.core.Released(server, a.ID, -1, CauseNormal, nil)
				s.core.Loop().After(10*time.Millisecond, func() {
					if repliesFirst {
						s.completePings(true)
					}
					s.core.Answered(server, a.ID, a.Attempt, "y")
					if !repliesFirst {
						s.core.Loop().After(10*time.Millisecond, func() { s.completePings(true) })
					}
					s.core.Loop().After(time.Second, s.core.Loop().Quit)
				})
			}
			s.core.Loop().Post(func() {
				s.updateList(control.Active, "a")
				_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().Run()
			if s.answers[callID] != 1 || s.terminations[callID] != 0 || s.rejections[callID] != 0 {
				t.Errorf("%d answers, %d ends, %d final answers; want only an answer", s.answers[callID], s.terminations[callID], s.rejections[callID])
			}
		})
	}
}
