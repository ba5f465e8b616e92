package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestAnEndAheadOfItsAnswerAfterAReset guards against the untold end of a call that came ahead of its answer, where an earlier attempt at the same
// dispatcher may have stood.
func TestAnEndAheadOfItsAnswerAfterAReset(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.react = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			s.core.Loop().After(time.Millisecond, func() { s.ended(server, a, control.Reset) })
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
}
