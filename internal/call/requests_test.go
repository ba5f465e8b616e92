package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// lastEndCaller is a caller that stores the last End that it received.
type lastEndCaller struct {
	*fixture
	end End
}

func (c *lastEndCaller) End(_ string, e End) { c.end = e }

// TestSetUpThatExpiredUnreadIsRefused guards against a failure as the final answer to set-ups that expired while they
// were unread in an overload. They were never attempted, so their callers get a refusal with a hold-off.
func TestSetUpThatExpiredUnreadIsRefused(t *testing.T) {
	s := newFixture(t)
	caller := &lastEndCaller{fixture: s}
	if err := s.core.Offer(Request{ID: "1", Class: "c", TimeLeft: time.Second, Deadline: time.Now().Add(-time.Millisecond), Caller: caller}); err != nil {
		t.Fatal(err)
	}
	if want := (End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: s.core.holdOff()}); caller.end != want || want.HoldOff == 0 {
		t.Errorf("the caller gets %+v, want %+v", caller.end, want)
	}
}

// TestASetUpSentWithNoTimeLeftFails guards against a refusal with a hold-off: the caller does not wait.
func TestASetUpSentWithNoTimeLeftFails(t *testing.T) {
	s := newFixture(t)
	caller := &lastEndCaller{fixture: s}
	if err := s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now(), Caller: caller}); err != nil {
		t.Fatal(err)
	}
	if want := (End{Cause: CauseTemporary, Reason: ReasonDeadline}); caller.end != want {
		t.Errorf("the caller gets %+v, want %+v", caller.end, want)
	}
}

// TestExpiredCallThatMayHaveRunIsNotRefused guards against a refusal, which invites callers to retry at once, of a
// set-up with an attempt that must not be repeated.
func TestExpiredCallThatMayHaveRunIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		idempotency control.Idempotency
		servers     []control.ServerID
		want        int
	}{
		"attempted, and harmful to repeat":     {control.NonIdempotent, []control.ServerID{"a"}, CauseTemporary},
		"attempted, and harmless to repeat":    {control.Idempotent, []control.ServerID{"a"}, CauseCongestion},
		"not attempted, and harmful to repeat": {control.NonIdempotent, nil, CauseCongestion},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.core.decisions.Classes[0].Idempotency = c.idempotency
			s.onSetUp = func(control.ServerID, SetUp) {} // no answer
			s.updateList(control.Active, c.servers...)
			caller := &lastEndCaller{fixture: s}
			if err := s.core.Offer(Request{ID: "1", Class: "c", TimeLeft: time.Second, Deadline: time.Now().Add(time.Second), Caller: caller}); err != nil {
				t.Fatal(err)
			}
			deadlineTimer := s.core.calls["1"].deadlineTimer
			if len(c.servers) > 0 {
				s.core.finishIteration()
			}
			deadlineTimer.f() // before the module has answered
			if caller.end.Cause != c.want || caller.end.Reason != ReasonDeadline {
				t.Errorf("after %d set-ups the caller gets %+v, want cause %d", s.setUps, caller.end, c.want)
			}
		})
	}
}
