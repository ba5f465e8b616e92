package links

import "time"

const (
	// minRedialPause is the least pause between a dial that failed, or a connection that ended at once, and the next dial. It is what a
	// set-up that waits is held up by.
	minRedialPause = 100 * time.Millisecond
	// maxRedialPauseActiveCalls bounds the pause, which doubles, while calls stand at the dispatcher: their ends must be told within 8 s.
	maxRedialPauseActiveCalls = time.Second
	// maxRedialPause bounds it while no call needs the dispatcher.
	maxRedialPause = 8 * time.Second
	// redialInterval is the pace of dials that no call needs, over all dispatchers together.
	redialInterval = time.Second
)

// Backoff is when a dispatcher may be dialled after dials that failed. The zero value is that of one whose last dial did not fail.
type Backoff struct {
	failures int
	failedAt time.Time // of the last failure
	jitter   float64
}

// RecordFailure takes in that a dial failed, or that a connection ended as soon as it was open. The jitter is a number from 0 to 1, drawn anew each
// time, so that the dials of many controllers spread.
func (b *Backoff) RecordFailure(now time.Time, jitter float64) {
	b.failures, b.failedAt, b.jitter = b.failures+1, now, min(max(jitter, 0), 1)
}

// Failed reports whether the last dial failed.
func (b *Backoff) Failed() bool { return b.failures > 0 }

// Reset forgets the failures: a connection came up, or the dispatcher is said to have begun anew.
func (b *Backoff) Reset() { *b = Backoff{} }

// pause is the time from the last failure to the next dial for the purpose.
func (b *Backoff) pause(p Purpose) time.Duration {
	most := maxRedialPause
	switch {
	case b.failures == 0:
		return 0
	case p == SetUp:
		return minRedialPause
	case p == ActiveCalls:
		most = maxRedialPauseActiveCalls
	}
	pause := minRedialPause
	for n := 1; n < b.failures && pause < most; n++ {
		pause *= 2
	}
	pause = min(pause, most)
	if p == ActiveCalls {
		return pause
	}
	return pause/2 + time.Duration(b.jitter*float64(pause/2))
}

// NextDial is when the dispatcher may be dialled for the purpose; zero if at any time.
func (b *Backoff) NextDial(p Purpose) time.Time {
	if b.failures == 0 {
		return time.Time{}
	}
	return b.failedAt.Add(b.pause(p))
}

// Due reports whether the dispatcher may be dialled for the purpose. A clock that was set back holds nothing up.
func (b *Backoff) Due(now time.Time, p Purpose) bool {
	since := now.Sub(b.failedAt)
	return since < 0 || since >= b.pause(p)
}

// DialLimiter bounds the dials of a whole process that no call needs and that follow on one that failed: of very many dispatchers that refuse,
// each is dialled rarely.
type DialLimiter struct{ lastDialAt time.Time }

// Allow reports whether such a dial may begin now, and counts it if so.
func (p *DialLimiter) Allow(now time.Time) bool {
	if since := now.Sub(p.lastDialAt); since >= 0 && since < redialInterval {
		return false
	}
	p.lastDialAt = now
	return true
}
