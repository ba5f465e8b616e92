package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/internal/peer"
)

// TestARenewalThatIsRefusedIsTriedAgain checks that a dispatcher is dialled until a connection opens if a connection has broken, the end
// of a call may be repeated only on the next one, and the dial for it is refused while another connection is open and brings reports.
func TestARenewalThatIsRefusedIsTriedAgain(t *testing.T) {
	t.Parallel()
	fx := newPoolFixture(t, 0, 1)
	fx.runOnLoop(func() {
		fx.core.calls[dispatcherName(0)] = []string{"a call"}
		fx.pool.Update(fx.list)
	})
	fx.waitFor(0, "opened")
	fx.dispatchers[0].StopListening()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	dialState := func() (dials int, dialing bool) {
		fx.runOnLoop(func() { dials, dialing = fx.pool.sockets.dialCount, fx.pool.servers[dispatcherName(0)].dialing })
		return dials, dialing
	}
	before, _ := dialState()
	fx.runOnLoop(func() { fx.pool.Reconnect(dispatcherName(0)) })
	reportUntil := func(until func() bool) {
		t.Helper()
		for begun := time.Now(); !until(); <-ticker.C {
			if err := fx.dispatchers[0].SetReport("x0:40"); err != nil {
				t.Fatal(err)
			}
			if time.Since(begun) > peer.Timeout {
				t.Fatal("no new connection to the dispatcher was opened")
			}
		}
	}
	reportUntil(func() bool { // until the dial has been refused
		dials, dialing := dialState()
		return dials > before && !dialing
	})
	restarted := dispatcherAt(t, "tcp", fx.dispatchers[0].Address())
	reportUntil(func() bool { return restarted.ConnCount() > 0 })
}
