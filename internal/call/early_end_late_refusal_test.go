package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestAnEndBeforeItsAnswerAfterALateRefusal guards against an end that arrives before its answer and is delivered to
// nobody, where an earlier attempt at the same dispatcher was cancelled and refused after that: that attempt has
// established nothing, so the end cannot belong to it.
func TestAnEndBeforeItsAnswerAfterALateRefusal(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		outcome    control.Outcome
		duringNext bool // the refusal arrives while the next attempt is in progress
	}{
		"as cancelled, before the next attempt": {control.Cancelled, false},
		"as cancelled, during the next attempt": {control.Cancelled, true},
		"as failed, before the next attempt":    {control.Failed, false},
		"as full, during the next attempt":      {control.Full, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			refuse := func(server control.ServerID, id string) { s.core.AttemptEnded(server, id, 0, test.outcome, false, nil) }
			s.onSetUp = func(server control.ServerID, a SetUp) {
				if a.Attempt == 0 {
					s.core.Loop().After(time.Millisecond, func() {
						s.core.cancelAttempt(s.core.calls[a.ID], control.TimedOut, false)
						if !test.duringNext {
							refuse(server, a.ID)
						}
					})
					return
				}
				if test.duringNext {
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
