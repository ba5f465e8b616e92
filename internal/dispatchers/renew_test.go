package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/internal/peer"
)

// TestARenewalThatIsRefusedIsTriedAgain: a connection has broken, and the end of a call may be told on the next one alone. The dial for it is
// refused, while another connection is open and the dispatcher speaks there: it is dialled again until one comes up.
func TestARenewalThatIsRefusedIsTriedAgain(t *testing.T) {
	t.Parallel()
	b := newBudgeted(t, 0, 1)
	b.do(func() {
		b.core.at[name(0)] = []string{"a call"}
		b.pool.Update(b.list)
	})
	b.comes(0, "opened")
	b.dispatchers[0].Stop()
	speaks := time.NewTicker(20 * time.Millisecond)
	defer speaks.Stop()
	dialled := func() (dials int, dialing bool) {
		b.do(func() { dials, dialing = b.pool.sockets.dials, b.pool.servers[name(0)].dialing })
		return dials, dialing
	}
	before, _ := dialled()
	b.do(func() { b.pool.Reconnect(name(0)) })
	speak := func(until func() bool) {
		t.Helper()
		for begun := time.Now(); !until(); <-speaks.C {
			if err := b.dispatchers[0].Report("x0:40"); err != nil {
				t.Fatal(err)
			}
			if time.Since(begun) > peer.Patience {
				t.Fatal("the dispatcher is not connected to anew")
			}
		}
	}
	speak(func() bool { // until the dial has been refused
		dials, dialing := dialled()
		return dials > before && !dialing
	})
	back := dispatcherAt(t, "tcp", b.dispatchers[0].Address())
	speak(func() bool { return back.Links() > 0 })
}
