package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// TestACallHeldByAnEarlierAttemptIsReleased guards against a call that stays established at its dispatcher by the late
// answer to an earlier attempt, when the later attempt there fails; and against a second release when a further attempt
// fails too.
func TestACallHeldByAnEarlierAttemptIsReleased(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(s *fixture, server control.ServerID){
		"it is refused": func(s *fixture, server control.ServerID) {
			s.core.AttemptEnded(server, "1", 1, control.Failed, false, nil)
		},
		"its caller cancels": func(s *fixture, _ control.ServerID) { s.core.CallerReleased(s, "1", CauseNormal) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.onSetUp = func(server control.ServerID, a SetUp) {
				delete(s.inProgress, a.ID)
				switch a.Attempt {
				case 0:
					s.notBefore[a.ID] = time.Now().Add(guard)
					s.core.AttemptEnded(server, a.ID, 0, control.Reset, false, nil)
				case 1:
					s.core.Answered(server, a.ID, 0, "late")
					if s.releases > 0 {
						t.Error("the call is released while the later attempt is in progress")
					}
					fail(s, server)
					s.core.Loop().After(10*guard, s.core.Loop().Quit)
				default:
					s.core.AttemptEnded(server, a.ID, a.Attempt, control.Failed, false, nil)
				}
			}
			s.core.Loop().Post(func() {
				s.updateList(control.Active, "a")
				_ = s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().Run()
			if s.releases != 1 {
				t.Errorf("%d releases after %d set-ups, want 1", s.releases, s.setUps)
			}
		})
	}
}
