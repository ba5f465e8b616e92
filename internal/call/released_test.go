package call

import (
	"errors"
	"testing"
	"time"

	"cherryrelay/control"
)

// TestAnEndAheadOfItsAnswerAfterARefusal guards against the untold end of a call that came ahead of its answer, where an earlier attempt at the
// same dispatcher never stood.
func TestAnEndAheadOfItsAnswerAfterARefusal(t *testing.T) {
	t.Parallel()
	for name, outcome := range map[string]control.Outcome{"full": control.Full, "an error": control.Failed, "no connection": control.Unreachable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.react = func(server control.ServerID, a SetUp) {
				if a.Attempt == 0 {
					s.core.Loop().After(time.Millisecond, func() { s.ended(server, a, outcome) })
					return
				}
				s.core.Released(server, a.ID, -1, CauseNormal, nil)
				s.core.Loop().After(10*time.Millisecond, func() {
					s.answered(server, a)
					s.core.Loop().After(time.Second, s.core.Loop().Quit)
				})
			}
			s.core.Loop().Post(func() {
				s.list(control.Active, "a")
				_ = s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().After(10*time.Second, s.core.Loop().Quit)
			s.core.Loop().Run()
			if s.setUps != 2 || s.answers[overtakenID] != 1 || s.overs[overtakenID] != 1 || s.finals[overtakenID] != 0 {
				t.Errorf("%d set-ups, %d answers, %d ends, %d final answers; want 2, 1, 1, 0", s.setUps, s.answers[overtakenID], s.overs[overtakenID], s.finals[overtakenID])
			}
		})
	}
}

// choosy is a caller to whom the first answer cannot be passed on.
type choosy struct {
	*site
	answered bool
}

func (c *choosy) Answer(id, description string) error {
	if !c.answered {
		c.answered = true
		return errors.New("too long")
	}
	return c.site.Answer(id, description)
}

// TestAnEndOfAnAnswerThatCouldNotBePassedOn guards against the end of an earlier attempt's call that is taken for that of the one that is out.
func TestAnEndOfAnAnswerThatCouldNotBePassedOn(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.react = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			s.core.Loop().After(time.Millisecond, func() { s.answered(server, a) })
			return
		}
		s.core.Released(server, a.ID, -1, CauseNormal, nil)
		s.core.Loop().After(10*time.Millisecond, func() {
			s.answered(server, a)
			s.core.Loop().After(time.Second, s.core.Loop().Quit)
		})
	}
	s.core.Loop().Post(func() {
		s.list(control.Active, "a")
		_ = s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: &choosy{site: s}, Description: "x"})
	})
	s.core.Loop().After(10*time.Second, s.core.Loop().Quit)
	s.core.Loop().Run()
	if s.setUps != 2 || s.answers[overtakenID] != 1 || s.overs[overtakenID] != 0 || s.releases != 1 {
		t.Errorf("%d set-ups, %d answers, %d ends, %d releases; want 2, 1, 0, 1", s.setUps, s.answers[overtakenID], s.overs[overtakenID], s.releases)
	}
}

// TestTheDecisionsHearOfACallThatEndedUnanswered guards against a line that counts as taken for ever, as the end of a call came in place of its answer.
func TestTheDecisionsHearOfACallThatEndedUnanswered(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	told := 0
	s.react = func(server control.ServerID, a SetUp) {
		s.core.Loop().After(time.Millisecond, func() {
			s.core.Released(server, a.ID, a.Attempt, CauseNormal, nil)
			for _, e := range s.core.events {
				if end, ok := e.(control.AttemptEnded); ok && end.CallOver && end.Server == server {
					told++
				}
			}
			s.core.Loop().Quit()
		})
	}
	s.core.Loop().Post(func() {
		s.list(control.Active, "a")
		_ = s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().Run()
	if told != 1 {
		t.Errorf("told %d times that the attempt and the call are over, want once", told)
	}
}

// TestAnEndAheadOfItsAnswerAsItsAttemptTimesOut guards against another attempt of a call that has stood and is over: its caller is owed the end.
func TestAnEndAheadOfItsAnswerAsItsAttemptTimesOut(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.react = func(server control.ServerID, a SetUp) {
		s.core.Loop().After(time.Millisecond, func() {
			s.core.Released(server, a.ID, -1, CauseNormal, nil)
			s.core.withdraw(s.core.calls[a.ID], control.TimedOut, false)
		})
	}
	s.core.Loop().Post(func() {
		s.list(control.Active, "a", "b")
		_ = s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	s.core.Loop().After(time.Second, s.core.Loop().Quit)
	s.core.Loop().Run()
	if s.setUps != 1 || s.finals[overtakenID] != 1 {
		t.Errorf("%d set-ups, %d final answers; want 1, 1", s.setUps, s.finals[overtakenID])
	}
}
