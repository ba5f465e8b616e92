package callers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestAnEndSentToAHealthCheckIsRepeatedAfterLong guards against an end that no caller has had, as a connection for tests held it for as long as one is
// told again, and the next connection closes as it is told there.
func TestAnEndSentToAHealthCheckIsRepeatedAfterLong(t *testing.T) {
	f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
	const id = "00000000000000a1"
	caller, c := connect(t, f, 1)
	onLoop(f.loop, func() {
		c.sendEnd(callEnd{id: id, end: normalEnd, queuedAt: time.Now()})
		f.Flush()
		if len(c.sentEnds) != 1 || c.sentEnds[0].sentAt.IsZero() {
			t.Fatal("the end has not left")
		}
		c.sentEnds[0].firstSentAt = time.Now().Add(-endTimeout)
		c.markAsHealthCheck() // it waits: this connection is for tests
	})
	closeAndWait(t, f, caller, c)
	caller, c = connect(t, f, 1)
	allowEnds(f, c)
	onLoop(f.loop, func() { f.deliverPending(); f.Flush() })
	closeAndWait(t, f, caller, c) // right behind it
	onLoop(f.loop, func() {
		if len(f.pendingEnds) != 1 || f.pendingEnds[0].id != id {
			t.Errorf("%d ends wait, want that one", len(f.pendingEnds))
		}
	})
}
