// Package links decides how many connections a controller keeps to each dispatcher, when it dials them, and which one it evicts
// when sockets run out. It does no I/O, and the time is an argument; docs/links.md explains the rules.
package links

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of a peak of concurrent set-ups. Bursts recur within some tens of seconds; a longer
	// half-life would open connections that are never needed.
	demandHalfLife = 10 * time.Second
	// suspectAfter is the age of an unanswered set-up at which a second connection is opened. Only another connection can
	// distinguish an unresponsive connection from a slow dispatcher. It is several times the usual answer time, and well below
	// the time after which a call is cancelled.
	suspectAfter = 400 * time.Millisecond
)

// Demand tracks how many connections to one dispatcher are needed. The zero value is ready to use.
type Demand struct {
	peak float64 // concurrent set-ups, as of at
	at   time.Time
}

// Observe records the number of set-ups that are open at once.
func (d *Demand) Observe(now time.Time, open int) {
	d.peak, d.at = max(d.decayedPeak(now), float64(open)), now
}

// decayedPeak returns the peak, reduced by its age. A clock that was set back reduces nothing.
func (d *Demand) decayedPeak(now time.Time) float64 {
	age := max(now.Sub(d.at), 0)
	return d.peak * math.Exp2(-float64(age)/float64(demandHalfLife))
}

// Target returns how many connections to keep, from 1 to limit. There is always one, so that no call waits for a handshake and
// unsolicited messages of the dispatcher arrive. There are as many as set-ups were recently open at once, since a connection
// that breaks takes its set-ups with it. There is a second one if a set-up has been unanswered for long enough to make the only
// connection suspect.
func (d *Demand) Target(now time.Time, oldestUnanswered time.Duration, limit int) int {
	target := int(math.Ceil(d.decayedPeak(now) - 0.5)) // after one half-life, a single set-up counts as half and is rounded down
	if IsSuspect(oldestUnanswered) {
		target = max(target, 2)
	}
	return max(1, min(target, limit))
}

// IsSuspect reports whether a set-up that has been unanswered for the given time makes its connection suspect.
func IsSuspect(unanswered time.Duration) bool { return unanswered >= suspectAfter }
