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

// TestWhatBecameOfReceivedEnds guards against ends of calls from dispatchers that are dropped without a trace.
func TestWhatBecameOfReceivedEnds(t *testing.T) {
	const id = "00000000000000c1"
	answer := func(s *site) { s.core.Answered("a", id, -1, "y") }
	end := func(server control.ServerID, attempt int) func(*site) {
		return func(s *site) { s.core.Released(server, id, attempt, CauseNormal, nil) }
	}
	lost := func(s *site) { s.ended("a", SetUp{ID: id}, control.Reset) }
	for name, test := range map[string]struct {
		offered bool // a call is set up at the dispatcher a
		steps   []func(*site)
		want    map[receivedEnd]uint64
	}{
		"it was established":        {true, []func(*site){answer, end("a", 0)}, map[receivedEnd]uint64{endOfCall: 1}},
		"twice":                     {true, []func(*site){answer, end("a", 0), end("a", -1)}, map[receivedEnd]uint64{endOfCall: 1, endAgain: 1}},
		"before its answer":         {true, []func(*site){end("a", -1), answer}, map[receivedEnd]uint64{endBeforeAnswer: 1}},
		"twice before its answer":   {true, []func(*site){end("a", -1), end("a", -1)}, map[receivedEnd]uint64{endBeforeAnswer: 1, endRepeated: 1}},
		"with its answer lost":      {true, []func(*site){end("a", 0)}, map[receivedEnd]uint64{endWithoutAnswer: 1}},
		"nothing is known of it":    {false, []func(*site){end("a", -1), end("a", -1)}, map[receivedEnd]uint64{endOfUnknownCall: 1, endAgain: 1}},
		"it is at another one":      {true, []func(*site){answer, end("b", -1)}, map[receivedEnd]uint64{endOtherDispatcher: 1}},
		"its attempt is at another": {true, []func(*site){end("b", -1)}, map[receivedEnd]uint64{endOtherDispatcher: 1}},
		"no attempt is out":         {true, []func(*site){lost, end("a", -1)}, map[receivedEnd]uint64{endNotEstablished: 1}},
		"of the attempt before": {true, []func(*site){func(s *site) { s.core.calls[id].attempts = 2 }, end("a", 0)},
			map[receivedEnd]uint64{endOfEarlier: 1}},
		"it was tried there before": {true, []func(*site){func(s *site) { s.core.noteTried(s.core.calls[id], "a") }, end("a", -1)},
			map[receivedEnd]uint64{endAmbiguous: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			steps := func() {
				for _, step := range test.steps {
					step(s)
				}
				s.core.Loop().Quit()
			}
			s.react = func(control.ServerID, SetUp) { s.core.Loop().Post(steps) }
			s.core.Loop().Post(func() {
				s.list(control.Active, "a")
				if !test.offered {
					steps()
					return
				}
				_ = s.core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().Run()
			if diff := cmp.Diff(test.want, s.core.received); diff != "" {
				t.Errorf("ends received (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTheStepsOfAnswersAndEndsAreLogged guards against answers that establish nothing, and calls that end, without the log saying why.
func TestTheStepsOfAnswersAndEndsAreLogged(t *testing.T) {
	const id = "00000000000000c2"
	answered := func(server control.ServerID, attempt int) func(*site) {
		return func(s *site) { s.core.Answered(server, id, attempt, "y") }
	}
	established := answered("a", 0)
	for step, steps := range map[endlog.Step][]func(*site){
		endlog.AnswerAgain:     {established, established},
		endlog.AnswerOfEarlier: {func(s *site) { s.core.calls[id].attempts = 2 }, established},
		endlog.AnswerUnwanted:  {answered("b", -1)},
		endlog.AnswerUnfit:     {func(s *site) { s.core.calls[id].Caller = unfit{s} }, established},
		endlog.Established:     {established},
		endlog.WithoutAnswer:   {func(s *site) { s.core.Released("a", id, 0, CauseNormal, nil) }},
		endlog.Over:            {established, func(s *site) { s.core.DispatcherFailed("a") }},
		endlog.CountsAsGone:    {established, func(s *site) { s.core.DispatcherFailed("a") }},
		endlog.EndedByCaller:   {established, func(s *site) { s.core.CallerReleased(s, id, CauseNormal) }},
		endlog.ToSuccessor: {established, func(s *site) { s.core.Supersede(func(string, End) bool { return true }) },
			func(s *site) { s.core.Released("a", id, 0, CauseNormal, nil) }},
	} {
		t.Run(string(step), func(t *testing.T) {
			var log bytes.Buffer
			s := newSite(t)
			s.core.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			s.react = func(_ control.ServerID, a SetUp) {
				delete(s.out, a.ID)
				s.core.Loop().Post(func() {
					for _, step := range steps {
						step(s)
					}
					s.core.Loop().Quit()
				})
			}
			s.core.Loop().Post(func() {
				s.list(control.Active, "a")
				_ = s.core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
			})
			s.core.Loop().Run()
			if !strings.Contains(strings.ReplaceAll(log.String(), `"`, ""), fmt.Sprintf("step=%s ", step)) {
				t.Errorf("not logged:\n%s", &log)
			}
		})
	}
}

// unfit is a caller that no answer can be told to.
type unfit struct{ *site }

// Answer refuses the description.
func (unfit) Answer(string, string) error { return errors.New("too long") }
