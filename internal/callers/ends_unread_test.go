package callers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// TestAnUnreadEndAsItsConnectionIsReset guards against a lost end: it was written long ago to a caller that does not read, and
// then closes its connection without having read it, so that its kernel sends a reset.
func TestAnUnreadEndAsItsConnectionIsReset(t *testing.T) {
	f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
	caller, first := connect(t, f, 1)
	sendSetUp(t, f, caller, first, func() {})
	onLoop(f.loop, func() {
		first.NotifyTerminated("00000000000000a1", call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded})
		f.Flush()
		if len(first.sentEnds) != 1 || first.sentEnds[0].sentAt.IsZero() {
			t.Fatal("the end was not written")
		}
		first.sentEnds[0].sentAt = time.Now().Add(-2 * crossingTime)
	})
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	for closed, until := false, time.Now().Add(peer.Timeout); !closed; onLoop(f.loop, func() { closed = first.closed }) {
		if time.Now().After(until) {
			t.Fatal("the end of the connection is never reported")
		}
	}
	again, next := connect(t, f, 1)
	sendSetUp(t, f, again, next, func() {})
	onLoop(f.loop, f.Flush)
	if m, err := again.Next(); err != nil || m.Type != "release" || m.ID != "00000000000000a1" {
		t.Errorf("%+v, %v: want the end on the next connection", m, err)
	}
}
