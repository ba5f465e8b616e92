package recovery

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

const (
	// ResumeWithin is how long after the return a call that is open waits for its caller. It dials again at once; a front
	// that moves it takes up to some seconds, but then its call has little time left.
	ResumeWithin = 3 * time.Second
	// ClaimWithin is how long a call that stands, and whose caller may not have heard so, is left standing for it to ask.
	ClaimWithin = 5 * time.Second
	// untold is how long before the last that is known of a process its words may not have reached their callers.
	untold = time.Second
	// MaxToken and MinToken bound what a caller claims its calls with. Shorter ones can be guessed.
	MinToken, MaxToken = 16, 64
)

// Rules are the settings that matter here.
type Rules struct {
	Guard       time.Duration // least gap after an attempt that may have left a trace
	MaxAttempts int           // for each call; 0 for no limit
}

// Act is what is to be done with a call.
type Act int

// The acts.
const (
	Await Act = iota + 1 // it is open: kept for who resumes it until the decision's Until
	Adopt                // it stands
	Tell                 // it has ended, and its caller may not know: told at once, and to who resumes it
	Keep                 // it had its answer, which is told to who resumes it
	Fail                 // its time ran out while nobody served: told to who resumes it
	Cut                  // it cannot be trusted: released everywhere, and told as failed or cut
)

func (a Act) String() string {
	return [...]string{"", "await", "adopt", "tell", "keep", "fail", "cut"}[a]
}

// Decision is what to do with one call.
type Decision struct {
	*Call
	Act Act
	Why string
	// Until is when an Await ends without its caller; of an Adopt, when a call of which its caller may not know is released,
	// or 0 if it knows.
	Until time.Duration
	// Left is how long its caller still waits, at most: for an Await.
	Left time.Duration
	// NotBefore is the earliest that an attempt may go out: for an Await.
	NotBefore time.Duration
	// Release has the dispatchers told to release what may stand of it.
	Release bool
}

// Plan says what to do with each call at the return, in the order of their ids.
func (b *Book) Plan(now time.Duration, r Rules) []Decision {
	var all []Decision
	for _, c := range b.Calls() {
		all = append(all, b.decide(now, r, c))
	}
	return all
}

func (b *Book) decide(now time.Duration, r Rules, c *Call) Decision {
	d := Decision{Call: c}
	switch {
	case c.State == Ended && b.last-c.At <= untold:
		d.Act, d.Why = Tell, "ended, perhaps not told"
	case c.State == Ended || c.State == Answered:
		d.Act, d.Why = Keep, "over"
	case c.Doubtful:
		d.Act, d.Why, d.Release = Cut, "something of it was lost", true
	case c.State == Standing:
		d.Act, d.Why = Adopt, "stands"
		if b.last-c.At <= untold && len(c.Token) > 0 {
			d.Why, d.Until = "stands, perhaps not told", now+ClaimWithin
		}
	default:
		d = b.open(now, r, c, d)
	}
	return d
}

// open decides on a call that is owed its final answer. Whatever was out was given up when its connection broke; it may have
// run, and what may stand of it is released.
func (b *Book) open(now time.Duration, r Rules, c *Call, d Decision) Decision {
	// The time left by the Unix clock, but never more than was left when it was last known to be alive: a clock that was
	// set back must not stretch it.
	d.Left = min(c.Deadline()-now, c.Deadline()-max(c.TakenAt(), min(b.last, c.Deadline())))
	d.Release = true
	switch {
	case d.Left <= 0:
		d.Act, d.Why = Fail, "its time ran out"
		return d
	case r.MaxAttempts > 0 && c.Attempts >= r.MaxAttempts:
		d.Act, d.Why = Fail, "no attempt is left"
		return d
	}
	d.Act, d.Why = Await, "open, held"
	if c.Out {
		d.Why = "open, with an attempt out"
	}
	// Whatever is known of its attempts may not be all: the end of what was kept may be lost without a trace, with the machine
	// if not with the process. So it is released everywhere, and the guard runs from the return. That is the most that any
	// attempt can ask for, also after a clock was set back.
	d.NotBefore = now + r.Guard
	d.Until = now + min(ResumeWithin, d.Left)
	return d
}

// Place is where a dispatcher is, as a list has it.
type Place struct {
	Address string
	Started time.Duration
	Listed  bool
}

// Stands reports whether a call that stood at a server can be trusted to stand there, now that a list has come; if not,
// why. A server that is off the list has gone, and one at another address or of a later start is another process.
func (c *Call) Stands(p Place) (ok bool, why string) {
	switch {
	case !p.Listed:
		return false, "its dispatcher is off the list"
	case p.Address != c.Address && !c.Foreign:
		return false, "its dispatcher is at another address"
	case p.Started > c.Started && p.Started > c.At:
		return false, "its dispatcher has started anew"
	}
	return true, ""
}

// Hash is what is kept of a token. Whoever reads the ledger learns no token from it.
func Hash(token string) []byte {
	if token == "" {
		return nil
	}
	sum := sha256.Sum256([]byte("cherryrelay resume " + token))
	return sum[:16]
}

// ValidToken reports whether a token may be used.
func ValidToken(token string) bool { return len(token) >= MinToken && len(token) <= MaxToken }

// Claims reports whether a token is that of a hash. A call without one can't be claimed.
func Claims(token string, hash []byte) bool {
	return len(hash) > 0 && ValidToken(token) && subtle.ConstantTimeCompare(Hash(token), hash) == 1
}
