package links

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestAllows(t *testing.T) {
	const budget = 16
	for purpose, limit := range map[Purpose]int{Draining: 8, Preconnect: 14, ActiveCalls: 16, SetUp: 16} {
		for held := range 2 * budget {
			if got := Budget(budget).Allows(purpose, held); got != (held < limit) {
				t.Errorf("purpose %d with %d sockets held: allowed %v", purpose, held, got)
			}
		}
		if !Budget(0).Allows(purpose, 1<<20) {
			t.Errorf("purpose %d is limited without a budget", purpose)
		}
	}
}

// TestEvict lists connections in the order in which they are to be evicted. Each one alone must be evicted exactly for the
// purposes that may evict it, and of several the first one must go.
func TestEvict(t *testing.T) {
	now := start.Add(time.Hour)
	connections := []Connection{
		{HalfClosed: true, PendingSetUps: 3, Since: now, UsedAt: now},
		{Draining: true, Sole: true, Since: now, UsedAt: now},
		{Since: now, UsedAt: now},
		{Sole: true, UsedAt: now.Add(-time.Minute)},
		{Sole: true, UsedAt: now.Add(-time.Second)},
		{HalfClosed: true, HasCalls: true, Since: now.Add(-settleTime), UsedAt: start},
		{Sole: true, HasCalls: true, Since: now.Add(-settleTime), UsedAt: now.Add(-time.Second)},
		{Sole: true, HasCalls: true, HasReceived: true, Since: now.Add(-settleTimeReceived), UsedAt: now},
		{Draining: true, Sole: true, HasCalls: true, Since: now.Add(-settleTime), UsedAt: start},
	}
	protected := []Connection{
		{PendingSetUps: 1}, {Sole: true, PendingSetUps: 2, HasCalls: true}, {Draining: true, PendingSetUps: 1},
		{Sole: true, HasCalls: true, Since: now.Add(-settleTime + 1)},
		{HalfClosed: true, HasCalls: true, HasReceived: true, Since: now.Add(-settleTime + 1)},
		{Sole: true, HasCalls: true, HasReceived: true, Since: now.Add(-settleTimeReceived + 1)},
		{Draining: true, Sole: true, HasCalls: true, Since: now.Add(-settleTime + 1)},
	}
	for _, test := range []struct {
		purpose     Purpose
		unconnected time.Duration
		evictable   int // the number of connections, from the first, that may be evicted
	}{
		{Draining, time.Hour, 0}, {Preconnect, time.Hour, 2}, {ActiveCalls, 0, 5},
		{ActiveCalls, maxUnconnected, len(connections)}, {SetUp, 0, len(connections)},
	} {
		for i, c := range connections {
			if got := Evict(now, test.purpose, test.unconnected, append(protected, c)); got >= 0 != (i < test.evictable) || got >= 0 && got != len(protected) {
				t.Errorf("purpose %d, connection %d: evicted %d", test.purpose, i, got)
			}
			want := i
			if i >= test.evictable {
				want = -1
			}
			reversed := append([]Connection(nil), protected...)
			for j := len(connections) - 1; j >= i; j-- {
				reversed = append(reversed, connections[j])
			}
			if got := Evict(now, test.purpose, test.unconnected, reversed); got >= 0 != (want >= 0) || got >= 0 && reversed[got] != connections[want] {
				t.Errorf("purpose %d, connections from %d on: evicted %d", test.purpose, i, got)
			}
		}
	}
}

// TestEvictInvariants checks that no open connection with a pending set-up is evicted, that the only connection to a dispatcher
// with established calls is evicted neither before it has settled nor while a cheaper one is available, and that a set-up can
// evict any connection that is idle and settled.
func TestEvictInvariants(t *testing.T) {
	now := start.Add(time.Hour)
	pastTime := rapid.Map(rapid.Int64Range(-int64(time.Second), int64(5*time.Second)), func(d int64) time.Time { return now.Add(-time.Duration(d)) })
	anyConnection := rapid.Custom(func(t *rapid.T) Connection {
		return Connection{
			Draining: rapid.Bool().Draw(t, "draining"), Sole: rapid.Bool().Draw(t, "sole"), HalfClosed: rapid.Bool().Draw(t, "half-closed"),
			HasCalls: rapid.Bool().Draw(t, "has calls"), HasReceived: rapid.Bool().Draw(t, "has received"),
			PendingSetUps: rapid.IntRange(0, 2).Draw(t, "pending set-ups"), Since: pastTime.Draw(t, "since"),
			UsedAt: pastTime.Draw(t, "used"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.SliceOfN(anyConnection, 0, 12).Draw(t, "connections")
		purpose := Purpose(rapid.IntRange(int(Draining), int(SetUp)).Draw(t, "purpose"))
		unconnected := time.Duration(rapid.Int64Range(0, int64(2*maxUnconnected)).Draw(t, "unconnected"))
		i := Evict(now, purpose, unconnected, connections)
		idleWithoutCalls, settledIdle := false, false
		for _, c := range connections {
			idle := c.HalfClosed || c.PendingSetUps == 0
			idleWithoutCalls = idleWithoutCalls || idle && !c.HasCalls
			settledIdle = settledIdle || idle && now.Sub(c.Since) >= settleTime
		}
		if i < 0 {
			if purpose == SetUp && (idleWithoutCalls || settledIdle) {
				t.Fatal("no connection is evicted for a set-up")
			}
			return
		}
		c := connections[i]
		switch {
		case !c.HalfClosed && c.PendingSetUps > 0:
			t.Fatal("an open connection with a pending set-up is evicted")
		case c.HasCalls && c.Sole && !c.HalfClosed && (now.Sub(c.Since) < settleTimeReceived ||
			!c.HasReceived && now.Sub(c.Since) < settleTime || purpose <= Preconnect || idleWithoutCalls):
			t.Fatalf("the only connection to a dispatcher with calls is evicted for purpose %d", purpose)
		case purpose == Preconnect && !c.Draining && !c.HalfClosed:
			t.Fatal("an active dispatcher's connection is evicted for one that no call needs")
		}
		others := slices.Delete(slices.Clone(connections), i, i+1)
		if j := Evict(now, purpose, unconnected, others); j >= 0 {
			other := others[j]
			a, _ := c.rank(now)
			if b, _ := other.rank(now); b < a || b == a && other.UsedAt.Before(c.UsedAt) {
				t.Fatal("a connection of lower rank or less recent use is kept")
			}
		}
	})
}
