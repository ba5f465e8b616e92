package call

import (
	"testing"
	"time"

	"cherryrelay/control"
)

// listener is a caller that keeps the last end that it was told.
type listener struct {
	*site
	end End
}

func (l *listener) End(_ string, e End) { l.end = e }

// TestASetUpThatWaitedPastItsTimeIsRefused guards against set-ups that lay unread for all their time in an overload and were told to have failed
// on their way: nothing was tried for them, so their callers are told that, and when to come back.
func TestASetUpThatWaitedPastItsTimeIsRefused(t *testing.T) {
	s := newSite(t)
	caller := &listener{site: s}
	if err := s.core.Offer(Request{ID: "1", Class: "c", TimeLeft: time.Second, Deadline: time.Now().Add(-time.Millisecond), Caller: caller}); err != nil {
		t.Fatal(err)
	}
	if want := (End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: s.core.holdOff()}); caller.end != want || want.HoldOff == 0 {
		t.Errorf("the caller is told %+v, want %+v", caller.end, want)
	}
}

// TestASetUpSentWithNoTimeLeftFails guards against one that is told to come back: its caller does not wait.
func TestASetUpSentWithNoTimeLeftFails(t *testing.T) {
	s := newSite(t)
	caller := &listener{site: s}
	if err := s.core.Offer(Request{ID: "1", Class: "c", Deadline: time.Now(), Caller: caller}); err != nil {
		t.Fatal(err)
	}
	if want := (End{Cause: CauseTemporary, Reason: ReasonDeadline}); caller.end != want {
		t.Errorf("the caller is told %+v, want %+v", caller.end, want)
	}
}

// TestAtItsLimitACallThatMayHaveRunIsNotRefused guards against callers that are told that their set-up may come again at once, where an attempt
// was out that must not be repeated.
func TestAtItsLimitACallThatMayHaveRunIsNotRefused(t *testing.T) {
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
			s := newSite(t)
			s.core.decisions.Classes[0].Idempotency = c.effect
			s.react = func(control.ServerID, SetUp) {} // silent
			s.list(control.Active, c.servers...)
			caller := &listener{site: s}
			if err := s.core.Offer(Request{ID: "1", Class: "c", TimeLeft: time.Second, Deadline: time.Now().Add(time.Second), Caller: caller}); err != nil {
				t.Fatal(err)
			}
			limit := s.core.calls["1"].limit
			if len(c.servers) > 0 {
				s.core.turn()
			}
			limit.f() // before the module has answered
			if caller.end.Cause != c.want || caller.end.Reason != ReasonDeadline {
				t.Errorf("after %d set-ups the caller is told %+v, want cause %d", s.setUps, caller.end, c.want)
			}
		})
	}
}
