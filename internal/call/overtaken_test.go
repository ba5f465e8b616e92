package call

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherryrelay/control"
)

// message is one that comes, by its letter in an order.
type message struct {
	letter byte
	comes  func(s *site)
}

const overtakenID = "1"

// messages are what may come for one attempt: its answer, its end on the same and on another connection, the loss of its connection, and that its
// caller gives it up.
var messages = []message{
	{'A', func(s *site) { s.core.Answered("a", overtakenID, 0, "y") }},
	{'e', func(s *site) { s.core.Released("a", overtakenID, 0, CauseNormal, nil) }},
	{'E', func(s *site) { s.core.Released("a", overtakenID, -1, CauseNormal, nil) }},
	{'L', func(s *site) {
		delete(s.out, overtakenID)
		s.ready[overtakenID] = time.Now().Add(guard)
		s.core.AttemptEnded("a", overtakenID, 0, control.Reset, false, nil)
	}},
	{'C', func(s *site) { s.core.CallerReleased(s, overtakenID, CauseNormal) }},
}

// orders are all orders of any of the messages that can come about: on one connection the answer comes before the end, and nothing after its loss.
func orders(of []message) [][]message {
	var all [][]message
	var extend func(order []message)
	extend = func(order []message) {
		all = append(all, append([]message(nil), order...))
		for _, m := range of {
			letters := spell(order)
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

func spell(order []message) string {
	var letters strings.Builder
	for _, m := range order {
		letters.WriteByte(m.letter)
	}
	return letters.String()
}

// TestWhatIsSaidOfACallInEveryOrder guards against an untold end, a second final answer, and an answer that nobody waits for and nobody releases.
func TestWhatIsSaidOfACallInEveryOrder(t *testing.T) {
	for _, order := range orders(messages) {
		t.Run("order "+spell(order), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.react = func(control.ServerID, SetUp) {}
			loop := s.core.Loop()
			next := 0
			var step func()
			step = func() {
				if next == len(order) {
					loop.After(time.Second, loop.Quit)
					return
				}
				order[next].comes(s)
				next++
				loop.Post(step)
			}
			loop.Post(func() {
				s.list(control.Active, "a")
				if err := s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"}); err != nil {
					t.Error(err)
				}
			})
			loop.After(10*time.Millisecond, step) // it is out by then
			loop.Run()
			letters := spell(order)
			told := fmt.Sprintf("%d answers, %d ends, %d final answers, %d releases", s.answers[overtakenID], s.overs[overtakenID], s.finals[overtakenID], s.releases)
			if s.answers[overtakenID]+s.finals[overtakenID] > 1 || s.overs[overtakenID] > 1 {
				t.Errorf("told more than once: %s", told)
			}
			cancelled := strings.Contains(letters, "C")
			over := strings.ContainsAny(letters, "eE")
			if s.answers[overtakenID] == 1 && over && !cancelled && s.overs[overtakenID] != 1 {
				t.Errorf("its end is not told: %s", told)
			}
			if strings.HasPrefix(letters, "AC") && s.overs[overtakenID] != 1 {
				t.Errorf("the end of a call whose answer was given up on the way is not told: %s", told)
			}
			// Of an attempt whose connection is lost before its end comes, nothing more is known than that.
			if over && !strings.ContainsAny(letters, "AC") && !strings.HasPrefix(letters, "L") && s.finals[overtakenID] != 1 {
				t.Errorf("an end in place of an answer is no final answer: %s", told)
			}
			if strings.HasPrefix(letters, "CA") && s.releases == 0 {
				t.Errorf("an answer that nobody waits for is not released: %s", told)
			}
		})
	}
}

// TestAnEndOfUnknownAttempt guards against an end of an earlier attempt at the same dispatcher that is taken for that of the one that is out, on whose
// connection the dispatcher goes on to speak, and tells none.
func TestAnEndOfUnknownAttempt(t *testing.T) {
	t.Parallel()
	for name, repliesFirst := range map[string]bool{"the probe is replied to ahead of the answer": true, "it is replied to behind the answer": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.react = func(server control.ServerID, a SetUp) {
				if a.Attempt == 0 {
					delete(s.out, a.ID)
					s.ready[a.ID] = time.Now().Add(guard)
					s.core.AttemptEnded(server, a.ID, 0, control.Reset, false, nil)
					return
				}
				s.core.Released(server, a.ID, -1, CauseNormal, nil)
				s.core.Loop().After(10*time.Millisecond, func() {
					if repliesFirst {
						s.pinged(true)
					}
					s.core.Answered(server, a.ID, a.Attempt, "y")
					if !repliesFirst {
						s.core.Loop().After(10*time.Millisecond, func() { s.pinged(true) })
					}
					s.core.Loop().After(time.Second, s.core.Loop().Quit)
				})
			}
			s.core.Loop().Post(func() {
				s.list(control.Active, "a")
				_ = s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().Run()
			if s.answers[overtakenID] != 1 || s.overs[overtakenID] != 0 || s.finals[overtakenID] != 0 {
				t.Errorf("%d answers, %d ends, %d final answers; want an answer, and no more", s.answers[overtakenID], s.overs[overtakenID], s.finals[overtakenID])
			}
		})
	}
}
