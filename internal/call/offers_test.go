package call

import (
	"testing"
	"time"
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
	if err := s.core.Offer(Request{ID: "1", Class: "c", Left: time.Second, Deadline: time.Now().Add(-time.Millisecond), Caller: caller}); err != nil {
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
