package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestAnEndBeforeItsAnswerAfterALateRefusal guards against the untold end of a call that came ahead of its answer, where an earlier attempt at the same
// dispatcher was withdrawn, and refused after that: it has established nothing, and the end can't be its.
func TestAnEndBeforeItsAnswerAfterALateRefusal(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		outcome   control.Outcome
		besideOut bool // it comes as the next attempt is out
	}{
		"as cancelled, before the next attempt": {control.Cancelled, false},
		"as cancelled, beside the next attempt": {control.Cancelled, true},
		"as failed, before the next attempt":    {control.Failed, false},
		"as full, beside the next attempt":      {control.Full, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			refuse := func(server control.ServerID, id string) { s.core.AttemptEnded(server, id, 0, test.outcome, false, nil) }
			s.onSetUp = func(server control.ServerID, a SetUp) {
				if a.Attempt == 0 {
					s.core.Loop().After(time.Millisecond, func() {
						s.core.cancelAttempt(s.core.calls[a.ID], control.TimedOut, false)
						if !test.besideOut {
							refuse(server, a.ID)
						}
					})
					return
				}
				if test.besideOut {
					refuse(server, a.ID)
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
