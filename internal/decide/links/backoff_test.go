package links

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBackoff: the pause grows from one failure to the next up to its bound, never beyond; a set-up waits for the least one alone, and a
// success forgets all.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backoff
		now := start
		bounds := map[Purpose]time.Duration{Draining: maxRedialPause, Preconnect: maxRedialPause, ActiveCalls: maxRedialPauseActiveCalls, SetUp: minRedialPause}
		for p := range bounds {
			if !b.Due(now, p) {
				t.Fatalf("one that did not fail is not due for purpose %d", p)
			}
		}
		for n := range rapid.IntRange(1, 30).Draw(t, "failures") {
			b.RecordFailure(now, rapid.Float64Range(0, 1).Draw(t, "jitter"))
			for p, most := range bounds {
				least := min(minRedialPause<<min(n, 20), most)
				if p <= Preconnect {
					least /= 2
				}
				if b.Due(now.Add(least-1), p) || !b.Due(now.Add(most), p) {
					t.Fatalf("after %d failures: due for purpose %d before %v, or not after %v", n+1, p, least, most)
				}
				if !b.Due(now.Add(-time.Hour), p) {
					t.Fatalf("a clock that was set back holds up purpose %d", p)
				}
			}
			now = now.Add(maxRedialPause)
		}
		if b.Reset(); b.Failed() || !b.Due(now.Add(-time.Hour), Preconnect) || !b.Due(now, Preconnect) {
			t.Fatal("what is reset is not due at once")
		}
	})
}

// TestDialLimiter: in any stretch of time there are no more dials than seconds, and one more; and there is one each second if they are asked for.
func TestDialLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p DialLimiter
		var taken []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "asked") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(1500*time.Millisecond)).Draw(t, "gap")))
			if p.Allow(now) {
				taken = append(taken, now)
			} else if now.Sub(taken[len(taken)-1]) >= redialInterval {
				t.Fatal("none is allowed after a second without")
			}
		}
		for i := range taken[1:] {
			if taken[i+1].Sub(taken[i]) < redialInterval {
				t.Fatalf("two within %v", taken[i+1].Sub(taken[i]))
			}
		}
		if !p.Allow(now.Add(-time.Hour)) {
			t.Fatal("a clock that was set back holds dials up")
		}
	})
}
