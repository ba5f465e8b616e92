package call

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
)

// endRecorder is a front and a finder that note the ends they are told of, and a caller that may have left.
type endRecorder struct {
	*fixture
	stubFinder
	viaFront, viaOthers []string
	disconnected        bool
}

func (e *endRecorder) Release(id string, _ End)            { e.viaFront = append(e.viaFront, id) }
func (e *endRecorder) Connections() int                    { return 1 }
func (e *endRecorder) Idle() bool                          { return true }
func (e *endRecorder) Terminated(id string, _ int)         { e.viaOthers = append(e.viaOthers, id) }
func (e *endRecorder) Disconnected() bool                  { return e.disconnected }
func (e *endRecorder) NotifyTerminated(id string, end End) { e.fixture.NotifyTerminated(id, end) }
func (e *endRecorder) Answer(id, sdp string) error         { return e.fixture.Answer(id, sdp) }

const (
	endedID   = "00000000000000e1"
	unknownID = "00000000000000e2"
)

// newEndRecorder has a core with one call at the dispatcher a, which stands if it is answered.
func newEndRecorder(t *testing.T, answered bool) *endRecorder {
	t.Helper()
	e := &endRecorder{fixture: newFixture(t)}
	e.onSetUp = func(server control.ServerID, a SetUp) {
		if answered {
			e.core.Answered(server, a.ID, a.Attempt, "y")
		}
	}
	e.core.AddFront(e)
	e.updateList(control.Active, "a")
	if err := e.core.Offer(Request{ID: endedID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: e, Description: "x"}); err != nil {
		t.Fatal(err)
	}
	e.core.finishIteration()
	return e
}

// endsDelivered is what came of an end.
type endsDelivered struct {
	Answers, Overs, Releases int
	Front, Elsewhere         []string
}

// TestEachEndIsDeliveredOnce guards against an end that is told to nobody, told twice, or taken for that of another call, for each way in which one comes.
func TestEachEndIsDeliveredOnce(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		open bool // the call is not answered yet
		ends func(e *endRecorder)
		want endsDelivered
	}{
		"its dispatcher ends it":                {false, func(e *endRecorder) { e.core.Released("a", endedID, 0, CauseNormal, nil) }, endsDelivered{Answers: 1, Overs: 1}},
		"another dispatcher ends one of its id": {false, func(e *endRecorder) { e.core.Released("b", endedID, -1, CauseNormal, nil) }, endsDelivered{Answers: 1}},
		"its dispatcher dies":                   {false, func(e *endRecorder) { e.core.DispatcherFailed("a") }, endsDelivered{Answers: 1, Overs: 1}},
		"another dispatcher dies":               {false, func(e *endRecorder) { e.core.DispatcherFailed("b") }, endsDelivered{Answers: 1}},
		"another connection ends it": {false, func(e *endRecorder) { e.core.CallerReleased(&endRecorder{fixture: e.fixture}, endedID, CauseNormal) },
			endsDelivered{Answers: 1, Overs: 1, Releases: 1}},
		"its caller ends it, or gave it up as it was answered": {false, func(e *endRecorder) { e.core.CallerReleased(e, endedID, CauseNormal) },
			endsDelivered{Answers: 1, Overs: 1, Releases: 1}},
		"its caller cuts it": {false, func(e *endRecorder) { e.core.CallerReleased(e, endedID, CauseTemporary) }, endsDelivered{Answers: 1, Releases: 1}},
		"a successor takes the end": {false, func(e *endRecorder) {
			e.core.Supersede(func(id string, _ End) bool { e.viaOthers = append(e.viaOthers, id); return true })
			e.core.Released("a", endedID, 0, CauseNormal, nil)
		}, endsDelivered{Answers: 1, Elsewhere: []string{endedID}}},
		"a successor does not take it": {false, func(e *endRecorder) {
			e.core.Supersede(func(string, End) bool { return false })
			e.core.Released("a", endedID, 0, CauseNormal, nil)
		}, endsDelivered{Answers: 1, Overs: 1}},
		"it is one from before a restart, and the end comes twice": {false, func(e *endRecorder) {
			e.core.Released("a", unknownID, -1, CauseNormal, nil)
			e.core.Released("a", unknownID, -1, CauseNormal, nil)
		}, endsDelivered{Answers: 1, Front: []string{unknownID}}},
		"its caller ends one from before a restart": {false, func(e *endRecorder) { e.core.CallerReleased(e, unknownID, CauseTemporary) },
			endsDelivered{Answers: 1, Releases: 1}},
		"it may be another controller's": {false, func(e *endRecorder) {
			e.core.UseFinder(e, func() bool { return true }, func(error) {})
			e.core.Released("a", unknownID, -1, CauseNormal, nil)
		}, endsDelivered{Answers: 1, Elsewhere: []string{unknownID}}},
		"it is on its way to another controller": {false, func(e *endRecorder) {
			e.core.UseFinder(e, func() bool { return true }, func(error) {})
			e.core.calls[endedID].transferring = true
			e.core.Released("a", endedID, 0, CauseNormal, nil)
		}, endsDelivered{Answers: 1, Elsewhere: []string{endedID}}},
		"it was adopted, and its dispatcher dies": {false, func(e *endRecorder) {
			e.core.Adopt(unknownID, "b")
			e.core.DispatcherFailed("b")
		}, endsDelivered{Answers: 1, Front: []string{unknownID}}},
		"its answer comes as its caller has left": {true, func(e *endRecorder) {
			e.disconnected = true
			e.core.Answered("a", endedID, 0, "y")
		}, endsDelivered{Releases: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndRecorder(t, !test.open)
			test.ends(e)
			got := endsDelivered{Answers: e.answers[endedID], Overs: e.terminations[endedID], Releases: e.releases, Front: e.viaFront, Elsewhere: slices.Clone(e.viaOthers)}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("what was told (-want +got):\n%s", diff)
			}
		})
	}
}
