package call

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

// TestReceivedEndsAreCountedByResult guards against ends received from dispatchers that are dropped without being
// counted.
func TestReceivedEndsAreCountedByResult(t *testing.T) {
	const id = "00000000000000c1"
	answer := func(s *fixture) { s.core.Answered("a", id, -1, "y") }
	end := func(server control.ServerID, attempt int) func(*fixture) {
		return func(s *fixture) { s.core.Released(server, id, attempt, CauseNormal, nil) }
	}
	reset := func(s *fixture) { s.endAttempt("a", SetUp{ID: id}, control.Reset) }
	for name, test := range map[string]struct {
		offered bool // a call is set up at the dispatcher a
		steps   []func(*fixture)
		want    map[receivedEnd]uint64
	}{
		"it was established": {true, []func(*fixture){answer, end("a", 0)}, map[receivedEnd]uint64{endOfCall: 1}},
		"twice": {true, []func(*fixture){answer, end("a", 0), end("a", -1)},
			map[receivedEnd]uint64{endOfCall: 1, endOfTerminatedCall: 1}},
		"before its answer": {true, []func(*fixture){end("a", -1), answer}, map[receivedEnd]uint64{endBeforeAnswer: 1}},
		"twice before its answer": {true, []func(*fixture){end("a", -1), end("a", -1)},
			map[receivedEnd]uint64{endBeforeAnswer: 1, endRepeated: 1}},
		"with its answer lost": {true, []func(*fixture){end("a", 0)}, map[receivedEnd]uint64{endWithoutAnswer: 1}},
		"it is unknown": {false, []func(*fixture){end("a", -1), end("a", -1)},
			map[receivedEnd]uint64{endOfUnknownCall: 1, endOfTerminatedCall: 1}},
		"it is at another dispatcher":          {true, []func(*fixture){answer, end("b", -1)}, map[receivedEnd]uint64{endOtherDispatcher: 1}},
		"its attempt is at another dispatcher": {true, []func(*fixture){end("b", -1)}, map[receivedEnd]uint64{endOtherDispatcher: 1}},
		"no attempt is in progress":            {true, []func(*fixture){reset, end("a", -1)}, map[receivedEnd]uint64{endNotEstablished: 1}},
		"of the previous attempt": {true, []func(*fixture){func(s *fixture) { s.core.calls[id].attempts = 2 }, end("a", 0)},
			map[receivedEnd]uint64{endOfEarlierAttempt: 1}},
		"it was tried there before": {true, []func(*fixture){func(s *fixture) { s.core.recordTried(s.core.calls[id], "a") }, end("a", -1)},
			map[receivedEnd]uint64{endAmbiguous: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			steps := func() {
				for _, step := range test.steps {
					step(s)
				}
				s.core.Loop().Quit()
			}
			s.onSetUp = func(control.ServerID, SetUp) { s.core.Loop().Post(steps) }
			s.core.Loop().Post(func() {
				s.updateList(control.Active, "a")
				if !test.offered {
					steps()
					return
				}
				_ = s.core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().Run()
			if diff := cmp.Diff(test.want, s.core.endCounts); diff != "" {
				t.Errorf("ends received (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTheStepsOfAnswersAndEndsAreLogged guards against answers that establish nothing, and calls that end, without a
// reason in the log.
func TestTheStepsOfAnswersAndEndsAreLogged(t *testing.T) {
	const id = "00000000000000c2"
	answered := func(server control.ServerID, attempt int) func(*fixture) {
		return func(s *fixture) { s.core.Answered(server, id, attempt, "y") }
	}
	establish := answered("a", 0)
	for step, steps := range map[endlog.Step][]func(*fixture){
		endlog.RepeatedAnswer:          {establish, establish},
		endlog.AnswerOfEarlierAttempt:  {func(s *fixture) { s.core.calls[id].attempts = 2 }, establish},
		endlog.UnexpectedAnswer:        {answered("b", -1)},
		endlog.UndeliverableAnswer:     {func(s *fixture) { s.core.calls[id].Caller = rejectsAnswers{s} }, establish},
		endlog.Established:             {establish},
		endlog.TerminatedWithoutAnswer: {func(s *fixture) { s.core.Released("a", id, 0, CauseNormal, nil) }},
		endlog.Terminated:              {establish, func(s *fixture) { s.core.DispatcherFailed("a") }},
		endlog.DispatcherPresumedGone:  {establish, func(s *fixture) { s.core.DispatcherFailed("a") }},
		endlog.TerminatedByCaller:      {establish, func(s *fixture) { s.core.CallerReleased(s, id, CauseNormal) }},
		endlog.EndHandedToSuccessor: {establish, func(s *fixture) { s.core.Supersede(func(string, End) bool { return true }) },
			func(s *fixture) { s.core.Released("a", id, 0, CauseNormal, nil) }},
	} {
		t.Run(string(step), func(t *testing.T) {
			var log bytes.Buffer
			s := newFixture(t)
			s.core.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			s.onSetUp = func(_ control.ServerID, a SetUp) {
				delete(s.inProgress, a.ID)
				s.core.Loop().Post(func() {
					for _, step := range steps {
						step(s)
					}
					s.core.Loop().Quit()
				})
			}
			s.core.Loop().Post(func() {
				s.updateList(control.Active, "a")
				_ = s.core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().Run()
			if !strings.Contains(strings.ReplaceAll(log.String(), `"`, ""), fmt.Sprintf("step=%s ", step)) {
				t.Errorf("not logged:\n%s", &log)
			}
		})
	}
}

// rejectsAnswers is a caller to which no answer can be delivered.
type rejectsAnswers struct{ *fixture }

// Answer returns an error for every description.
func (rejectsAnswers) Answer(string, string) error { return errors.New("too long") }
