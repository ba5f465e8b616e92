package call

import (
	"errors"
	"testing"
	"time"

	"cherryrelay/control"
)

// TestAnEndBeforeItsAnswerAfterARefusal guards against an end that arrives before its answer and is delivered to
// nobody, where an earlier attempt at the same dispatcher failed without establishing the call.
func TestAnEndBeforeItsAnswerAfterARefusal(t *testing.T) {
	t.Parallel()
	for name, outcome := range map[string]control.Outcome{"full": control.Full, "an error": control.Failed, "no connection": control.Unreachable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.onSetUp = func(server control.ServerID, a SetUp) {
				if a.Attempt == 0 {
					s.core.Loop().After(time.Millisecond, func() { s.endAttempt(server, a, outcome) })
					return
				}
				s.core.Released(server, a.ID, -1, CauseNormal, nil)
				s.core.Loop().After(10*time.Millisecond, func() {
					s.answerAttempt(server, a)
					s.core.Loop().After(time.Second, s.core.Loop().Quit)
				})
			}
			s.core.Loop().Post(func() {
				s.updateList(control.Active, "a")
				_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().After(10*time.Second, s.core.Loop().Quit)
			s.core.Loop().Run()
			if s.setUps != 2 || s.answers[callID] != 1 || s.terminations[callID] != 1 || s.rejections[callID] != 0 {
				t.Errorf("%d set-ups, %d answers, %d ends, %d final answers; want 2, 1, 1, 0", s.setUps, s.answers[callID], s.terminations[callID], s.rejections[callID])
			}
		})
	}
}

// rejectsFirstAnswer is a caller to which the first answer cannot be delivered.
type rejectsFirstAnswer struct {
	*fixture
	answered bool
}

func (c *rejectsFirstAnswer) Answer(id, description string) error {
	if !c.answered {
		c.answered = true
		return errors.New("too long")
	}
	return c.fixture.Answer(id, description)
}

// TestAnEndOfAnAnswerThatCouldNotBeDelivered guards against the end of the call of an earlier attempt that is
// attributed to the attempt in progress.
func TestAnEndOfAnAnswerThatCouldNotBeDelivered(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			s.core.Loop().After(time.Millisecond, func() { s.answerAttempt(server, a) })
			return
		}
		s.core.Released(server, a.ID, -1, CauseNormal, nil)
		s.core.Loop().After(10*time.Millisecond, func() {
			s.answerAttempt(server, a)
			s.core.Loop().After(time.Second, s.core.Loop().Quit)
		})
	}
	s.core.Loop().Post(func() {
		s.updateList(control.Active, "a")
		_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: &rejectsFirstAnswer{fixture: s}, Description: "x"})
	})
	s.core.Loop().After(10*time.Second, s.core.Loop().Quit)
	s.core.Loop().Run()
	if s.setUps != 2 || s.answers[callID] != 1 || s.terminations[callID] != 0 || s.releases != 1 {
		t.Errorf("%d set-ups, %d answers, %d ends, %d releases; want 2, 1, 0, 1", s.setUps, s.answers[callID], s.terminations[callID], s.releases)
	}
}

// TestTheDecisionsAreNotifiedOfAnUnansweredCall guards against a line that counts as occupied for ever, because the end
// of a call arrived in place of its answer.
func TestTheDecisionsAreNotifiedOfAnUnansweredCall(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	notified := 0
	s.onSetUp = func(server control.ServerID, a SetUp) {
		s.core.Loop().After(time.Millisecond, func() {
			s.core.Released(server, a.ID, a.Attempt, CauseNormal, nil)
			for _, e := range s.core.events {
				if end, ok := e.(control.AttemptEnded); ok && end.CallOver && end.Server == server {
					notified++
				}
			}
			s.core.Loop().Quit()
		})
	}
	s.core.Loop().Post(func() {
		s.updateList(control.Active, "a")
		_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().Run()
	if notified != 1 {
		t.Errorf("%d events for the end of the attempt and the call, want 1", notified)
	}
}

// TestAnEndBeforeItsAnswerAsItsAttemptTimesOut guards against another attempt for a call that was established and has
// ended: its caller must get the end.
func TestAnEndBeforeItsAnswerAsItsAttemptTimesOut(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		s.core.Loop().After(time.Millisecond, func() {
			s.core.Released(server, a.ID, -1, CauseNormal, nil)
			s.core.cancelAttempt(s.core.calls[a.ID], control.TimedOut, false)
		})
	}
	s.core.Loop().Post(func() {
		s.updateList(control.Active, "a", "b")
		_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().After(time.Second, s.core.Loop().Quit)
	s.core.Loop().Run()
	if s.setUps != 1 || s.rejections[callID] != 1 {
		t.Errorf("%d set-ups, %d final answers; want 1, 1", s.setUps, s.rejections[callID])
	}
}
