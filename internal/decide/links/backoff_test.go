package links

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBackoff checks that the pause grows with each failure up to its limit, that a set-up waits for the minimum pause only,
// and that Reset clears all failures.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backoff
		now := start
		limits := map[Purpose]time.Duration{
			Draining: maxRedialPause, Preconnect: maxRedialPause, ActiveCalls: maxRedialPauseActiveCalls, SetUp: minRedialPause,
		}
		for p := range limits {
			if !b.Due(now, p) {
				t.Fatalf("not due for purpose %d without a failure", p)
			}
		}
		for n := range rapid.IntRange(1, 30).Draw(t, "failures") {
			b.RecordFailure(now, rapid.Float64Range(0, 1).Draw(t, "jitter"))
			for p, limit := range limits {
				minimum := min(minRedialPause<<min(n, 20), limit)
				if p <= Preconnect {
					minimum /= 2
				}
				if b.Due(now.Add(minimum-1), p) || !b.Due(now.Add(limit), p) {
					t.Fatalf("after %d failures: due for purpose %d before %v, or not due after %v", n+1, p, minimum, limit)
				}
				if !b.Due(now.Add(-time.Hour), p) {
					t.Fatalf("not due for purpose %d after the clock was set back", p)
				}
			}
			now = now.Add(maxRedialPause)
		}
		if b.Reset(); b.Failed() || !b.Due(now.Add(-time.Hour), Preconnect) || !b.Due(now, Preconnect) {
			t.Fatal("not due right after Reset")
		}
	})
}

// TestDialLimiter checks that two dials are at least redialInterval apart, and that a dial is allowed once that time has
// passed.
func TestDialLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limiter DialLimiter
		var allowed []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(1500*time.Millisecond)).Draw(t, "gap")))
			if limiter.Allow(now) {
				allowed = append(allowed, now)
			} else if now.Sub(allowed[len(allowed)-1]) >= redialInterval {
				t.Fatal("no dial is allowed after a second without one")
			}
		}
		for i := range allowed[1:] {
			if allowed[i+1].Sub(allowed[i]) < redialInterval {
				t.Fatalf("two dials within %v", allowed[i+1].Sub(allowed[i]))
			}
		}
		if !limiter.Allow(now.Add(-time.Hour)) {
			t.Fatal("no dial is allowed after the clock was set back")
		}
	})
}
