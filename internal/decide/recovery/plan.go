package recovery

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

const (
	// PendingResumeTimeout is how long after the restart an open call waits for its caller. Callers dial again at once; a load balancer may take
	// some seconds to move one, but then its call has little time left.
	PendingResumeTimeout = 3 * time.Second
	// EstablishedResumeTimeout is how long an established call, whose caller may not have received the answer, waits to be claimed.
	EstablishedResumeTimeout = 5 * time.Second
	// unconfirmedWindow is how long before its last known event a process may have sent messages that did not reach their receivers.
	unconfirmedWindow = time.Second
	// MinTokenLength and MaxTokenLength bound the length of the tokens with which callers claim calls. Shorter ones can be guessed.
	MinTokenLength, MaxTokenLength = 16, 64
)

// Rules are the settings that recovery depends on.
type Rules struct {
	Guard       time.Duration // least delay after an attempt that may have had an effect
	MaxAttempts int           // for each call; 0 for no limit
}

// Action is the action decided on for a call.
type Action int

// The acts.
const (
	AwaitResume   Action = iota + 1 // it is open: wait until the decision's Until for its caller to resume it
	AdoptCall                       // it is established: keep it
	NotifyCaller                    // it was terminated, and its caller may not know: notify it at once, and when it resumes
	RepeatOutcome                   // it was rejected: repeat that to its caller when it resumes
	FailCall                        // it expired during the outage: tell its caller when it resumes
	ReleaseCall                     // its state is not trusted: release it at all dispatchers, and report it as failed or cut
)

func (a Action) String() string {
	return [...]string{"", "await", "adopt", "tell", "keep", "fail", "cut"}[a]
}

// Decision is the decision on one call.
type Decision struct {
	*Call
	Action Action
	Why    string
	// ResumeDeadline is when an Await ends without its caller; of an Adopt, when a call whose caller may not know of it is released, or 0 if the
	// caller knows.
	ResumeDeadline time.Duration
	// TimeLeft is how long the caller of an Await still waits, at most.
	TimeLeft time.Duration
	// NotBefore is the earliest time for the next attempt of an Await.
	NotBefore time.Duration
	// MustRelease means that dispatchers are told to release the call, in case an attempt had an effect.
	MustRelease bool
}

// Plan decides on each call at the restart, sorted by id.
func (b *CallTable) Plan(now time.Duration, r Rules) []Decision {
	var all []Decision
	for _, c := range b.Calls() {
		all = append(all, b.decide(now, r, c))
	}
	return all
}

func (b *CallTable) decide(now time.Duration, r Rules, c *Call) Decision {
	d := Decision{Call: c}
	switch {
	case c.State == StateTerminated && b.last-c.LastEventAt <= unconfirmedWindow:
		d.Action, d.Why = NotifyCaller, "ended, perhaps not told"
	case c.State == StateTerminated || c.State == StateRejected:
		d.Action, d.Why = RepeatOutcome, "over"
	case c.Doubtful:
		d.Action, d.Why, d.MustRelease = ReleaseCall, "something of it was lost", true
	case c.State == StateEstablished:
		d.Action, d.Why = AdoptCall, "stands"
		if b.last-c.LastEventAt <= unconfirmedWindow && len(c.Token) > 0 {
			d.Why, d.ResumeDeadline = "stands, perhaps not told", now+EstablishedResumeTimeout
		}
	default:
		d = b.decideOpen(now, r, c, d)
	}
	return d
}

// decideOpen decides on a call whose caller waits for its final answer. An attempt that was in progress was abandoned as its connection broke;
// it may have had an effect, so it is released.
func (b *CallTable) decideOpen(now time.Duration, r Rules, c *Call, d Decision) Decision {
	// The time left by the Unix clock, but never more than was left when it was last known to be alive: a clock that was
	// set back must not stretch it.
	d.TimeLeft = min(c.Deadline()-now, c.Deadline()-max(c.AcceptedAt(), min(b.last, c.Deadline())))
	d.MustRelease = true
	switch {
	case d.TimeLeft <= 0:
		d.Action, d.Why = FailCall, "its time ran out"
		return d
	case r.MaxAttempts > 0 && c.Attempts >= r.MaxAttempts:
		d.Action, d.Why = FailCall, "no attempt is left"
		return d
	}
	d.Action, d.Why = AwaitResume, "open, held"
	if c.AttemptInProgress {
		d.Why = "open, with an attempt out"
	}
	// Whatever is known of its attempts may not be all: the end of what was kept may be lost without a trace, with the machine
	// if not with the process. So it is released everywhere, and the guard runs from the return. That is the most that any
	// attempt can ask for, also after a clock was set back.
	d.NotBefore = now + r.Guard
	d.ResumeDeadline = now + min(PendingResumeTimeout, d.TimeLeft)
	return d
}

// ListEntry is a dispatcher's entry in the list.
type ListEntry struct {
	Address string
	Started time.Duration
	Listed  bool
}

// MayStillBeEstablished reports whether an established call can still be so at its dispatcher, by its entry in the list; if not, why. A dispatcher that is
// not listed has gone, and one at another address or with a later start is another process.
func (c *Call) MayStillBeEstablished(p ListEntry) (ok bool, why string) {
	switch {
	case !p.Listed:
		return false, "its dispatcher is off the list"
	case p.Address != c.Address && !c.FromOtherController:
		return false, "its dispatcher is at another address"
	case p.Started > c.ServerStarted && p.Started > c.LastEventAt:
		return false, "its dispatcher has started anew"
	}
	return true, ""
}

// HashToken returns the hash of a token, which is logged in place of the token.
func HashToken(token string) []byte {
	if token == "" {
		return nil
	}
	sum := sha256.Sum256([]byte("cherryrelay resume " + token))
	return sum[:16]
}

// ValidToken reports whether the length of a token is allowed.
func ValidToken(token string) bool {
	return len(token) >= MinTokenLength && len(token) <= MaxTokenLength
}

// TokenMatches reports whether a token has a hash, in constant time. A call without a hash cannot be claimed.
func TokenMatches(token string, hash []byte) bool {
	return len(hash) > 0 && ValidToken(token) && subtle.ConstantTimeCompare(HashToken(token), hash) == 1
}
