// Package links decides how many connections a dispatcher is worth to one controller. It does no I/O, and the clock is an
// argument; docs/links.md weighs the rules.
package links

import (
	"math"
	"time"
)

const (
	// demandHalfLife is how long a number of set-ups that were open at once counts for half: bursts come again within some tens
	// of seconds, and a connection that is opened ahead must not be opened for nothing.
	demandHalfLife = 10 * time.Second
	// suspectAfter is the age of a set-up without a word at which one more connection is worth its cost, if there is but one: only
	// by another can a dead connection be told from a slow dispatcher. It is some times what an answer takes in calm, and
	// well before a call is given up.
	suspectAfter = 400 * time.Millisecond
)

// Demand follows what one dispatcher's connections have been needed for. The zero value is that of a new one.
type Demand struct {
	peak float64 // of set-ups open at once
	at   time.Time
}

// Observe takes in how many set-ups are open at once.
func (d *Demand) Observe(now time.Time, open int) {
	d.peak, d.at = max(d.decayedPeak(now), float64(open)), now
}

// decayedPeak is the peak as it counts by now. A clock that is set back takes nothing from it.
func (d *Demand) decayedPeak(now time.Time) float64 {
	age := max(now.Sub(d.at), 0)
	return d.peak * math.Exp2(-float64(age)/float64(demandHalfLife))
}

// Target is how many connections there should be, from 1 to most: one, so that no call has to wait for a handshake and what
// the dispatcher tells unasked arrives; as many as set-ups were open at once lately, since one that breaks takes those on it
// along; and one beside a single one on which a set-up has been without a word for so long.
func (d *Demand) Target(now time.Time, oldest time.Duration, most int) int {
	wanted := int(math.Ceil(d.decayedPeak(now) - 0.5)) // half of a set-up is what is left of one after a half-life
	if IsSuspect(oldest) {
		wanted = max(wanted, 2)
	}
	return max(1, min(wanted, most))
}

// IsSuspect reports whether a set-up of that age, without a word since, has its connection in doubt.
func IsSuspect(oldest time.Duration) bool { return oldest >= suspectAfter }
