package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/peer"
)

// activeNames returns the names of the dispatchers that the next check visits.
func (fx *poolFixture) activeNames() (names []control.ServerID) {
	fx.runOnLoop(func() {
		for _, s := range fx.pool.active {
			names = append(names, s.ID)
		}
	})
	slices.Sort(names)
	return names
}

// waitActive waits until the next check visits exactly these dispatchers.
func (fx *poolFixture) waitActive(what string, want ...control.ServerID) {
	fx.Helper()
	for until := time.Now().Add(peer.Timeout); ; time.Sleep(10 * time.Millisecond) {
		got := fx.activeNames()
		if slices.Equal(got, want) {
			return
		}
		if time.Now().After(until) {
			fx.Fatalf("%s: the next check visits %v, want %v", what, got, want)
		}
	}
}

// TestOnlyActiveDispatchersAreChecked checks that of a list of working and refusing dispatchers none is checked while nothing happens,
// while a dispatcher is checked from a set-up to the end of its call, and also if a predecessor has left a call there.
func TestOnlyActiveDispatchersAreChecked(t *testing.T) {
	t.Parallel()
	const n, refuse = 40, 10
	fx := newPoolFixture(t, 0, n)
	for _, d := range fx.dispatchers[:refuse] {
		d.Kill()
	}
	fx.runOnLoop(func() { fx.pool.Update(fx.list) })
	fx.waitActive("idle")
	fx.runOnLoop(func() {
		waiting := 0
		for _, s := range fx.pool.order {
			if s.dialQueued || s.dialing || s.active { // its dial may be due at this moment
				waiting++
			}
		}
		if waiting != refuse || len(fx.pool.connected) != n-refuse {
			t.Errorf("%d wait to be dialled, %d have connections", waiting, len(fx.pool.connected))
		}
	})
	fx.setUp(n-1, "a")
	e := fx.waitFor(n-1, "setup")
	fx.waitActive("a set-up is open", dispatcherName(n-1))
	if err := e.Answer("y"); err != nil {
		t.Fatal(err)
	}
	for established := false; !established; {
		fx.runOnLoop(func() { established = len(fx.core.calls[dispatcherName(n-1)]) > 0 })
	}
	fx.runOnLoop(func() { fx.core.calls[dispatcherName(n-2)] = []string{"of a predecessor"} })
	fx.waitActive("calls are established", dispatcherName(n-2), dispatcherName(n-1))
	fx.runOnLoop(func() { clear(fx.core.calls) })
	fx.waitActive("all have ended")
	fx.runOnLoop(func() {
		shorter := fx.list
		shorter.Servers = shorter.Servers[refuse:]
		fx.pool.Update(shorter)
	})
	fx.waitActive("some are removed")
	fx.runOnLoop(func() {
		if len(fx.pool.order) != n-refuse || len(fx.pool.servers) != n-refuse || len(fx.pool.byAddress) != n-refuse {
			t.Errorf("%d, %d and %d dispatchers are kept", len(fx.pool.order), len(fx.pool.servers), len(fx.pool.byAddress))
		}
	})
}
