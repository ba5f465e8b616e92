package callers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// TestAnEndThatLiesUnreadAsItsConnectionIsReset guards against an end that is told to nobody: it left long ago for a caller that stands still
// and then closes its connection without having read it, which has its kernel send a reset.
func TestAnEndThatLiesUnreadAsItsConnectionIsReset(t *testing.T) {
	f := oneConnection(t, &openCore{owes: map[call.Caller]int{}})
	caller, first := connects(t, f, 1)
	sets(t, f, caller, first, func() {})
	onLoop(f.loop, func() {
		first.NotifyTerminated("00000000000000a1", call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded})
		f.Flush()
		if len(first.sent) != 1 || first.sent[0].leftAt.IsZero() {
			t.Fatal("the end has not left")
		}
		first.sent[0].leftAt = time.Now().Add(-2 * recent)
	})
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	for closed, until := false, time.Now().Add(peer.Patience); !closed; onLoop(f.loop, func() { closed = first.closed }) {
		if time.Now().After(until) {
			t.Fatal("the end of the connection is never told")
		}
	}
	again, next := connects(t, f, 1)
	sets(t, f, again, next, func() {})
	onLoop(f.loop, f.Flush)
	if m, err := again.Next(); err != nil || m.Type != "release" || m.ID != "00000000000000a1" {
		t.Errorf("%+v, %v: want the end on the next connection", m, err)
	}
}
