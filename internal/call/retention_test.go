package call

import (
	"fmt"
	"testing"
	"time"

	"cherryrelay/control"
)

// TestTerminatedCallsAreLimited guards against memory that grows with set-ups that are cancelled at once and with releases of unknown
// calls, and against calls that dispatchers have received being forgotten for these.
func TestTerminatedCallsAreLimited(t *testing.T) {
	const memory, floods = 4 << 20, 100_000
	s := newFixture(t)
	s.core.LimitMemory(memory)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		delete(s.inProgress, a.ID)
		s.core.Answered(server, a.ID, a.Attempt, "y")
		s.core.Released(server, a.ID, a.Attempt, CauseNormal, nil)
	}
	s.updateList(control.Active, "a")
	offer := func(id string) {
		_ = s.core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	}
	offer("served")
	s.core.finishIteration()
	for i := range floods {
		id := fmt.Sprint("cancelled", i)
		offer(id)
		s.core.CallerReleased(s, id, CauseNormal)
		s.core.CallerReleased(s, fmt.Sprintf("%016x", i), CauseTemporary)
		if i%100 == 0 {
			s.core.finishIteration()
		}
	}
	if most := int(terminatedMemoryShare * memory / terminatedCallSize); len(s.core.calls) > most {
		t.Errorf("%d calls are kept, want at most %d", len(s.core.calls), most)
	}
	if k := s.core.calls["served"]; k == nil || k.state != terminated {
		t.Error("the call that a dispatcher has received is forgotten")
	}
	if k := s.core.calls[fmt.Sprint("cancelled", floods-1)]; k == nil {
		t.Error("the latest call is forgotten")
	}
}

// TestTerminatedCallsExpireWithoutAMemoryLimit guards against calls that are kept for longer than the retention period.
func TestTerminatedCallsExpireWithoutAMemoryLimit(t *testing.T) {
	s := newFixture(t)
	cancelled := func(id string) {
		_ = s.core.Offer(Request{ID: id, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
		s.core.CallerReleased(s, id, CauseNormal)
	}
	for i := range 1000 {
		cancelled(fmt.Sprint(i))
	}
	if n := len(s.core.calls); n != 1000 {
		t.Errorf("%d calls are kept within the retention period, want 1000", n)
	}
	for _, k := range s.core.recentlyTerminated.all() {
		k.terminatedAt = k.terminatedAt.Add(-retentionPeriod)
	}
	cancelled("last")
	if n := len(s.core.calls); n != 1 {
		t.Errorf("%d calls are kept after the retention period, want 1", n)
	}
}
