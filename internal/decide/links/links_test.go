package links

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTarget(t *testing.T) {
	for name, test := range map[string]struct {
		open   []int // a second apart
		after  time.Duration
		oldest time.Duration
		most   int
		want   int
	}{
		"nothing yet":                      {most: 4, want: 1},
		"one at a time":                    {open: []int{1, 1, 1}, most: 4, want: 1},
		"three at once":                    {open: []int{1, 3, 1}, most: 4, want: 3},
		"more than there may be":           {open: []int{9}, most: 4, want: 4},
		"a burst of long ago":              {open: []int{4}, after: time.Minute, most: 4, want: 1},
		"a burst of one half-life ago":     {open: []int{4}, after: demandHalfLife, most: 4, want: 2},
		"without a word":                   {open: []int{1}, oldest: suspectAfter, most: 4, want: 2},
		"without a word, and room for one": {open: []int{1}, oldest: suspectAfter, most: 1, want: 1},
		"a clock that was set back":        {open: []int{3}, after: -time.Hour, most: 4, want: 3},
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
		if got := d.Target(now.Add(test.after), test.oldest, test.most); got != test.want {
			t.Errorf("%s: %d, want %d", name, got, test.want)
		}
	}
}

// TestTargetInvariants: whatever came before, there is one at least, never more than there may be, and at once as many as set-ups are
// open, if there may be; what is not needed any more is forgotten within a minute.
func TestTargetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Demand
		now := start
		most := rapid.IntRange(1, 8).Draw(t, "most")
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "gap")))
			open := rapid.IntRange(0, 12).Draw(t, "open")
			d.Observe(now, open)
			oldest := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "oldest"))
			if got := d.Target(now, oldest, most); got < 1 || got > most || got < min(open, most) {
				t.Fatalf("%d wanted with %d open, %d at most", got, open, most)
			}
		}
		if got := d.Target(now.Add(time.Minute), 0, most); got != 1 {
			t.Fatalf("%d wanted after a minute of nothing", got)
		}
	})
}
