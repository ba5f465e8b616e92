package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/peer"
)

// activeNames returns the names of the dispatchers that the next check visits.
func (b *poolFixture) activeNames() (names []control.ServerID) {
	b.runOnLoop(func() {
		for _, s := range b.pool.active {
			names = append(names, s.ID)
		}
	})
	slices.Sort(names)
	return names
}

// waitActive waits until the next check visits exactly these dispatchers.
func (b *poolFixture) waitActive(what string, want ...control.ServerID) {
	b.Helper()
	for until := time.Now().Add(peer.Patience); ; time.Sleep(10 * time.Millisecond) {
		got := b.activeNames()
		if slices.Equal(got, want) {
			return
		}
		if time.Now().After(until) {
			b.Fatalf("%s: the next check visits %v, want %v", what, got, want)
		}
	}
}

// TestOnlyActiveDispatchersAreChecked checks that of a list of working and refusing dispatchers none is checked while nothing happens,
// while a dispatcher is checked from a set-up to the end of its call, and also if a predecessor has left a call there.
func TestOnlyActiveDispatchersAreChecked(t *testing.T) {
	t.Parallel()
	const n, refuse = 40, 10
	b := newPoolFixture(t, 0, n)
	for _, d := range b.dispatchers[:refuse] {
		d.Die()
	}
	b.runOnLoop(func() { b.pool.Update(b.list) })
	b.waitActive("idle")
	b.runOnLoop(func() {
		waits := 0
		for _, s := range b.pool.order {
			if s.dialQueued || s.dialing || s.active { // its dial may be due at this moment
				waits++
			}
		}
		if waits != refuse || len(b.pool.connected) != n-refuse {
			t.Errorf("%d wait to be dialled, %d have connections", waits, len(b.pool.connected))
		}
	})
	b.setUp(n-1, "a")
	e := b.waitFor(n-1, "setup")
	b.waitActive("a set-up is open", dispatcherName(n-1))
	if err := e.Answer("y"); err != nil {
		t.Fatal(err)
	}
	for established := false; !established; {
		b.runOnLoop(func() { established = len(b.core.calls[dispatcherName(n-1)]) > 0 })
	}
	b.runOnLoop(func() { b.core.calls[dispatcherName(n-2)] = []string{"of a predecessor"} })
	b.waitActive("calls are established", dispatcherName(n-2), dispatcherName(n-1))
	b.runOnLoop(func() { clear(b.core.calls) })
	b.waitActive("all have ended")
	b.runOnLoop(func() {
		shorter := b.list
		shorter.Servers = shorter.Servers[refuse:]
		b.pool.Update(shorter)
	})
	b.waitActive("some are removed")
	b.runOnLoop(func() {
		if len(b.pool.order) != n-refuse || len(b.pool.servers) != n-refuse || len(b.pool.byAddress) != n-refuse {
			t.Errorf("%d, %d and %d dispatchers are kept", len(b.pool.order), len(b.pool.servers), len(b.pool.byAddress))
		}
	})
}
