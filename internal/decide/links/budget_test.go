package links

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestAllows(t *testing.T) {
	const budget = 16
	for purpose, most := range map[Purpose]int{Draining: 8, Preconnect: 14, ActiveCalls: 16, SetUp: 16} {
		for held := range 2 * budget {
			if got := Budget(budget).Allows(purpose, held); got != (held < most) {
				t.Errorf("purpose %d with %d held: %v", purpose, held, got)
			}
		}
		if !Budget(0).Allows(purpose, 1<<20) {
			t.Errorf("purpose %d is bounded where there is no bound", purpose)
		}
	}
}

// TestEvict: the connections are given by names in the order of what is closed first. Each one alone must go where it may, and of all of
// them the first.
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
	kept := []Connection{
		{PendingSetUps: 1}, {Sole: true, PendingSetUps: 2, HasCalls: true}, {Draining: true, PendingSetUps: 1},
		{Sole: true, HasCalls: true, Since: now.Add(-settleTime + 1)},
		{HalfClosed: true, HasCalls: true, HasReceived: true, Since: now.Add(-settleTime + 1)},
		{Sole: true, HasCalls: true, HasReceived: true, Since: now.Add(-settleTimeReceived + 1)},
		{Draining: true, Sole: true, HasCalls: true, Since: now.Add(-settleTime + 1)},
	}
	for _, test := range []struct {
		purpose Purpose
		without time.Duration
		may     int // so many of the connections
	}{
		{Draining, time.Hour, 0}, {Preconnect, time.Hour, 2}, {ActiveCalls, 0, 5}, {ActiveCalls, maxUnconnected, len(connections)}, {SetUp, 0, len(connections)},
	} {
		for i, c := range connections {
			if got := Evict(now, test.purpose, test.without, append(kept, c)); got >= 0 != (i < test.may) || got >= 0 && got != len(kept) {
				t.Errorf("purpose %d, connection %d: %d makes room", test.purpose, i, got)
			}
			want := i
			if i >= test.may {
				want = -1
			}
			backwards := append([]Connection(nil), kept...)
			for j := len(connections) - 1; j >= i; j-- {
				backwards = append(backwards, connections[j])
			}
			if got := Evict(now, test.purpose, test.without, backwards); got >= 0 != (want >= 0) || got >= 0 && backwards[got] != connections[want] {
				t.Errorf("purpose %d, of those from %d: %d makes room", test.purpose, i, got)
			}
		}
	}
}

// TestEvictInvariants: whatever the connections, none with a set-up open is closed, none where calls stand before it is settled or while
// another can make room, and a set-up finds one wherever one is idle and settled.
func TestEvictInvariants(t *testing.T) {
	now := start.Add(time.Hour)
	ago := rapid.Map(rapid.Int64Range(-int64(time.Second), int64(5*time.Second)), func(d int64) time.Time { return now.Add(-time.Duration(d)) })
	connection := rapid.Custom(func(t *rapid.T) Connection {
		return Connection{
			Draining: rapid.Bool().Draw(t, "drains"), Sole: rapid.Bool().Draw(t, "sole"), HalfClosed: rapid.Bool().Draw(t, "half-closed"),
			HasCalls: rapid.Bool().Draw(t, "standing"), HasReceived: rapid.Bool().Draw(t, "heard"), PendingSetUps: rapid.IntRange(0, 2).Draw(t, "set-ups"), Since: ago.Draw(t, "since"),
			UsedAt: ago.Draw(t, "used"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.SliceOfN(connection, 0, 12).Draw(t, "connections")
		purpose := Purpose(rapid.IntRange(int(Draining), int(SetUp)).Draw(t, "purpose"))
		without := time.Duration(rapid.Int64Range(0, int64(2*maxUnconnected)).Draw(t, "without"))
		i := Evict(now, purpose, without, connections)
		free, settledIdle := false, false
		for _, c := range connections {
			idle := c.HalfClosed || c.PendingSetUps == 0
			free = free || idle && !c.HasCalls
			settledIdle = settledIdle || idle && now.Sub(c.Since) >= settleTime
		}
		if i < 0 {
			if purpose == SetUp && (free || settledIdle) {
				t.Fatal("a set-up finds no room")
			}
			return
		}
		c := connections[i]
		switch {
		case !c.HalfClosed && c.PendingSetUps > 0:
			t.Fatal("one with a set-up open is closed")
		case c.HasCalls && c.Sole && !c.HalfClosed && (now.Sub(c.Since) < settleTimeReceived || !c.HasReceived && now.Sub(c.Since) < settleTime || purpose <= Preconnect || free):
			t.Fatalf("the only one to a dispatcher with calls is closed for purpose %d", purpose)
		case purpose == Preconnect && !c.Draining && !c.HalfClosed:
			t.Fatal("a live dispatcher's makes room for what nobody needs yet")
		}
		others := slices.Delete(slices.Clone(connections), i, i+1)
		if j := Evict(now, purpose, without, others); j >= 0 {
			other := others[j]
			a, _ := c.rank(now)
			if b, _ := other.rank(now); b < a || b == a && other.UsedAt.Before(c.UsedAt) {
				t.Fatal("one that is missed less is kept")
			}
		}
	})
}
