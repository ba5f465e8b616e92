package callers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestAnEndSentToAHealthCheckIsRepeatedAfterLong guards against a lost end: it is sent on a connection that turns out to be a
// health check after endTimeout, and the next connection closes while it is sent there.
func TestAnEndSentToAHealthCheckIsRepeatedAfterLong(t *testing.T) {
	f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
	const id = "00000000000000a1"
	caller, c := connect(t, f, 1)
	onLoop(f.loop, func() {
		c.sendEnd(callEnd{id: id, end: normalEnd, queuedAt: time.Now()})
		f.Flush()
		if len(c.sentEnds) != 1 || c.sentEnds[0].sentAt.IsZero() {
			t.Fatal("the end was not written")
		}
		c.sentEnds[0].firstSentAt = time.Now().Add(-endTimeout)
		c.markAsHealthCheck() // the connection is a health check, so the end becomes pending
	})
	closeAndWait(t, f, caller, c)
	caller, c = connect(t, f, 1)
	allowEnds(f, c)
	onLoop(f.loop, func() { f.deliverPending(); f.Flush() })
	closeAndWait(t, f, caller, c) // immediately after it
	onLoop(f.loop, func() {
		if len(f.pendingEnds) != 1 || f.pendingEnds[0].id != id {
			t.Errorf("%d ends are pending, want that one", len(f.pendingEnds))
		}
	})
}
