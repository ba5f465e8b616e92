package callers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
)

// TestEndThatATestTookIsToldAgainAfterLong guards against an end that no caller has had, as a connection for tests held it for as long as one is
// told again, and the next connection closes as it is told there.
func TestEndThatATestTookIsToldAgainAfterLong(t *testing.T) {
	f := oneConnection(t, &openCore{owes: map[call.Caller]int{}})
	const id = "00000000000000a1"
	caller, c := connects(t, f, 1)
	onLoop(f.loop, func() {
		c.release(release{id: id, end: ended, at: time.Now()})
		f.Flush()
		if len(c.sent) != 1 || c.sent[0].leftAt.IsZero() {
			t.Fatal("the end has not left")
		}
		c.sent[0].firstLeftAt = time.Now().Add(-keep)
		c.passOn() // it waits: this connection is for tests
	})
	closes(t, f, caller, c)
	caller, c = connects(t, f, 1)
	settled(f, c)
	onLoop(f.loop, func() { f.deliver(); f.Flush() })
	closes(t, f, caller, c) // right behind it
	onLoop(f.loop, func() {
		if len(f.pending) != 1 || f.pending[0].id != id {
			t.Errorf("%d ends wait, want that one", len(f.pending))
		}
	})
}
