package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestAnEndBeforeItsAnswerAfterAReset guards against an end that arrives before its answer and is delivered to nobody,
// because an earlier attempt at the same dispatcher may have established the call.
func TestAnEndBeforeItsAnswerAfterAReset(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			s.core.Loop().After(time.Millisecond, func() { s.endAttempt(server, a, control.Reset) })
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
}
