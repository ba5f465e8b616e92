package links

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTarget(t *testing.T) {
	for name, test := range map[string]struct {
		open             []int // set-ups open at once, observed a second apart
		wait             time.Duration
		oldestUnanswered time.Duration
		limit            int
		want             int
	}{
		"no set-up observed":               {limit: 4, want: 1},
		"one set-up at a time":             {open: []int{1, 1, 1}, limit: 4, want: 1},
		"three set-ups at once":            {open: []int{1, 3, 1}, limit: 4, want: 3},
		"more than the limit":              {open: []int{9}, limit: 4, want: 4},
		"old burst":                        {open: []int{4}, wait: time.Minute, limit: 4, want: 1},
		"burst of one half-life ago":       {open: []int{4}, wait: demandHalfLife, limit: 4, want: 2},
		"suspect connection":               {open: []int{1}, oldestUnanswered: suspectAfter, limit: 4, want: 2},
		"suspect connection, limit of one": {open: []int{1}, oldestUnanswered: suspectAfter, limit: 1, want: 1},
		"clock set back":                   {open: []int{3}, wait: -time.Hour, limit: 4, want: 3},
	} {
		var d Demand
		now := start
		for _, open := range test.open {
			d.Observe(now, open)
			now = now.Add(time.Second)
		}
		if len(test.open) > 0 {
			now = now.Add(-time.Second)
		}
		if got := d.Target(now.Add(test.wait), test.oldestUnanswered, test.limit); got != test.want {
			t.Errorf("%s: %d, want %d", name, got, test.want)
		}
	}
}

// TestTargetInvariants checks that the target is at least one and never above the limit, that it covers the set-ups open right
// now as far as the limit allows, and that it returns to one within a minute without set-ups.
func TestTargetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Demand
		now := start
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "gap")))
			open := rapid.IntRange(0, 12).Draw(t, "open")
			d.Observe(now, open)
			oldestUnanswered := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "oldest unanswered"))
			if got := d.Target(now, oldestUnanswered, limit); got < 1 || got > limit || got < min(open, limit) {
				t.Fatalf("target %d with %d open set-ups, limit %d", got, open, limit)
			}
		}
		if got := d.Target(now.Add(time.Minute), 0, limit); got != 1 {
			t.Fatalf("target %d after a minute without set-ups", got)
		}
	})
}
