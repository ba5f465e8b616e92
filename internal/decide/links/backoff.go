package links

import "time"

const (
	// minRedialPause is the minimum pause between a failed dial, or a connection that ended at once, and the next dial. A
	// waiting set-up is delayed by no more than this.
	minRedialPause = 100 * time.Millisecond
	// maxRedialPauseActiveCalls limits the doubling pause while the dispatcher has established calls: their ends must be
	// reported within 8 s.
	maxRedialPauseActiveCalls = time.Second
	// maxRedialPause limits the pause while no call needs the dispatcher.
	maxRedialPause = 8 * time.Second
	// redialInterval is the minimum time between two redials that no call needs, over all dispatchers together.
	redialInterval = time.Second
)

// Backoff decides when a dispatcher may be dialled again after failed dials. The zero value has no failures.
type Backoff struct {
	failures int
	failedAt time.Time
	jitter   float64
}

// RecordFailure records a failed dial, or a connection that ended as soon as it was open. The jitter is a new random number
// from 0 to 1 each time. It spreads the dials of many controllers.
func (b *Backoff) RecordFailure(now time.Time, jitter float64) {
	b.failures, b.failedAt, b.jitter = b.failures+1, now, min(max(jitter, 0), 1)
}

// Failed reports whether the last dial failed.
func (b *Backoff) Failed() bool { return b.failures > 0 }

// Reset clears the failures, after a connection was established or the dispatcher is reported to have restarted.
func (b *Backoff) Reset() { *b = Backoff{} }

// pause returns the time from the last failure to the next dial for the purpose.
func (b *Backoff) pause(p Purpose) time.Duration {
	limit := maxRedialPause
	switch {
	case b.failures == 0:
		return 0
	case p == SetUp:
		return minRedialPause
	case p == ActiveCalls:
		limit = maxRedialPauseActiveCalls
	}
	pause := minRedialPause
	for n := 1; n < b.failures && pause < limit; n++ {
		pause *= 2
	}
	pause = min(pause, limit)
	if p == ActiveCalls {
		return pause
	}
	return pause/2 + time.Duration(b.jitter*float64(pause/2))
}

// NextDial returns when the dispatcher may be dialled for the purpose. The zero time means at any time.
func (b *Backoff) NextDial(p Purpose) time.Time {
	if b.failures == 0 {
		return time.Time{}
	}
	return b.failedAt.Add(b.pause(p))
}

// Due reports whether the dispatcher may be dialled for the purpose now. A clock that was set back causes no wait.
func (b *Backoff) Due(now time.Time, p Purpose) bool {
	elapsed := now.Sub(b.failedAt)
	return elapsed < 0 || elapsed >= b.pause(p)
}

// DialLimiter limits the rate of redials that no call needs, over the whole process. Where very many dispatchers refuse
// connections, each of them is dialled rarely.
type DialLimiter struct{ lastDialAt time.Time }

// Allow reports whether such a dial may begin now, and counts it if so.
func (l *DialLimiter) Allow(now time.Time) bool {
	if elapsed := now.Sub(l.lastDialAt); elapsed >= 0 && elapsed < redialInterval {
		return false
	}
	l.lastDialAt = now
	return true
}
