package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// lastEndCaller is a caller that keeps the last end that it was told.
type lastEndCaller struct {
	*fixture
	end End
}

func (l *lastEndCaller) End(_ string, e End) { l.end = e }

// TestSetUpThatExpiredUnreadIsRefused guards against set-ups that lay unread for all their time in an overload and were told to have failed
// on their way: nothing was tried for them, so their callers are told that, and when to come back.
func TestSetUpThatExpiredUnreadIsRefused(t *testing.T) {
	s := newFixture(t)
	caller := &lastEndCaller{fixture: s}
	if err := s.core.Offer(Request{ID: "1", Class: "c", TimeLeft: time.Second, Deadline: time.Now().Add(-time.Millisecond), Caller: caller}); err != nil {
		t.Fatal(err)
	}
	if want := (End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: s.core.holdOff()}); caller.end != want || want.HoldOff == 0 {
		t.Errorf("the caller is told %+v, want %+v", caller.end, want)
	}
}

// TestASetUpSentWithNoTimeLeftFails guards against one that is told to come back: its caller does not wait.
func TestASetUpSentWithNoTimeLeftFails(t *testing.T) {
	s := newFixture(t)
	caller := &lastEndCaller{fixture: s}
	if err := s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now(), Caller: caller}); err != nil {
		t.Fatal(err)
	}
	if want := (End{Cause: CauseTemporary, Reason: ReasonDeadline}); caller.end != want {
		t.Errorf("the caller is told %+v, want %+v", caller.end, want)
	}
}

// TestExpiredCallThatMayHaveRunIsNotRefused guards against callers that are told that their set-up may come again at once, where an attempt
// was out that must not be repeated.
func TestExpiredCallThatMayHaveRunIsNotRefused(t *testing.T) {
	for name, c := range map[string]struct {
		effect  control.Idempotency
		servers []control.ServerID
		want    int
	}{
		"attempted, and harmful to repeat":     {control.NonIdempotent, []control.ServerID{"a"}, CauseTemporary},
		"attempted, and harmless to repeat":    {control.Idempotent, []control.ServerID{"a"}, CauseCongestion},
		"not attempted, and harmful to repeat": {control.NonIdempotent, nil, CauseCongestion},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.core.decisions.Classes[0].Idempotency = c.effect
			s.onSetUp = func(control.ServerID, SetUp) {} // silent
			s.updateList(control.Active, c.servers...)
			caller := &lastEndCaller{fixture: s}
			if err := s.core.Offer(Request{ID: "1", Class: "c", TimeLeft: time.Second, Deadline: time.Now().Add(time.Second), Caller: caller}); err != nil {
				t.Fatal(err)
			}
			limit := s.core.calls["1"].deadlineTimer
			if len(c.servers) > 0 {
				s.core.finishIteration()
			}
			limit.f() // before the module has answered
			if caller.end.Cause != c.want || caller.end.Reason != ReasonDeadline {
				t.Errorf("after %d set-ups the caller is told %+v, want cause %d", s.setUps, caller.end, c.want)
			}
		})
	}
}
