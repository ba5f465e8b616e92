package call

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
)

// endRecorder is a front and a finder that record the ends delivered to them, and a caller that may have disconnected.
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

// newEndRecorder returns a core with one call at the dispatcher a, established if it is answered.
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

// endsDelivered is the result of an end.
type endsDelivered struct {
	Answers, Terminations, Releases int
	ViaFront, ViaOthers             []string
}

// TestEachEndIsDeliveredOnce guards against an end that is delivered to nobody or twice, or attributed to another call,
// for each way in which an end arrives.
func TestEachEndIsDeliveredOnce(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		unanswered bool // the call is not answered yet
		end        func(e *endRecorder)
		want       endsDelivered
	}{
		"its dispatcher ends it": {false, func(e *endRecorder) { e.core.Released("a", endedID, 0, CauseNormal, nil) },
			endsDelivered{Answers: 1, Terminations: 1}},
		"another dispatcher ends a call with its id": {false, func(e *endRecorder) { e.core.Released("b", endedID, -1, CauseNormal, nil) },
			endsDelivered{Answers: 1}},
		"its dispatcher fails":     {false, func(e *endRecorder) { e.core.DispatcherFailed("a") }, endsDelivered{Answers: 1, Terminations: 1}},
		"another dispatcher fails": {false, func(e *endRecorder) { e.core.DispatcherFailed("b") }, endsDelivered{Answers: 1}},
		"another connection releases it": {false, func(e *endRecorder) { e.core.CallerReleased(&endRecorder{fixture: e.fixture}, endedID, CauseNormal) },
			endsDelivered{Answers: 1, Terminations: 1, Releases: 1}},
		"its caller releases it, or cancelled it as it was answered": {false, func(e *endRecorder) { e.core.CallerReleased(e, endedID, CauseNormal) },
			endsDelivered{Answers: 1, Terminations: 1, Releases: 1}},
		"its caller cuts it": {false, func(e *endRecorder) { e.core.CallerReleased(e, endedID, CauseTemporary) }, endsDelivered{Answers: 1, Releases: 1}},
		"a successor accepts the end": {false, func(e *endRecorder) {
			e.core.Supersede(func(id string, _ End) bool { e.viaOthers = append(e.viaOthers, id); return true })
			e.core.Released("a", endedID, 0, CauseNormal, nil)
		}, endsDelivered{Answers: 1, ViaOthers: []string{endedID}}},
		"a successor does not accept it": {false, func(e *endRecorder) {
			e.core.Supersede(func(string, End) bool { return false })
			e.core.Released("a", endedID, 0, CauseNormal, nil)
		}, endsDelivered{Answers: 1, Terminations: 1}},
		"it is from before a restart, and the end arrives twice": {false, func(e *endRecorder) {
			e.core.Released("a", unknownID, -1, CauseNormal, nil)
			e.core.Released("a", unknownID, -1, CauseNormal, nil)
		}, endsDelivered{Answers: 1, ViaFront: []string{unknownID}}},
		"its caller releases one from before a restart": {false, func(e *endRecorder) { e.core.CallerReleased(e, unknownID, CauseTemporary) },
			endsDelivered{Answers: 1, Releases: 1}},
		"another controller may hold it": {false, func(e *endRecorder) {
			e.core.UseFinder(e, func() bool { return true }, func(error) {})
			e.core.Released("a", unknownID, -1, CauseNormal, nil)
		}, endsDelivered{Answers: 1, ViaOthers: []string{unknownID}}},
		"it is being transferred to another controller": {false, func(e *endRecorder) {
			e.core.UseFinder(e, func() bool { return true }, func(error) {})
			e.core.calls[endedID].transferring = true
			e.core.Released("a", endedID, 0, CauseNormal, nil)
		}, endsDelivered{Answers: 1, ViaOthers: []string{endedID}}},
		"it was adopted, and its dispatcher fails": {false, func(e *endRecorder) {
			e.core.Adopt(unknownID, Server{ServerEntry: control.ServerEntry{ID: "b"}})
			e.core.DispatcherFailed("b")
		}, endsDelivered{Answers: 1, ViaFront: []string{unknownID}}},
		"its answer arrives after its caller has disconnected": {true, func(e *endRecorder) {
			e.disconnected = true
			e.core.Answered("a", endedID, 0, "y")
		}, endsDelivered{Releases: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndRecorder(t, !test.unanswered)
			test.end(e)
			got := endsDelivered{Answers: e.answers[endedID], Terminations: e.terminations[endedID], Releases: e.releases,
				ViaFront: e.viaFront, ViaOthers: slices.Clone(e.viaOthers)}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("delivered (-want +got):\n%s", diff)
			}
		})
	}
}
