package recovery

import (
	"crypto/sha256"
	"crypto/subtle"
	"time"
)

const (
	// PendingResumeTimeout is how long after the restart a pending call waits for its caller to resume it. Callers reconnect at once. A
	// load balancer may take some seconds to route a caller elsewhere, but by then its call has little time left.
	PendingResumeTimeout = 3 * time.Second
	// EstablishedResumeTimeout is how long an established call whose answer is unconfirmed waits for its caller to resume it.
	EstablishedResumeTimeout = 5 * time.Second
	// unconfirmedWindow is the length of the period before the last known event of a process in which its messages may not have been delivered.
	unconfirmedWindow = time.Second
	// MinTokenLength and MaxTokenLength bound the length of the tokens with which callers resume calls, in bytes. Shorter tokens can be guessed.
	MinTokenLength, MaxTokenLength = 16, 64
)

// Rules holds the settings that recovery depends on.
type Rules struct {
	Guard       time.Duration // minimum delay after an attempt that may have reached a dispatcher
	MaxAttempts int           // per call; 0 for no limit
}

// Action is what recovery does with a call.
type Action int

// The actions.
const (
	AwaitResume   Action = iota + 1 // the call is pending: wait until ResumeDeadline for its caller to resume it
	AdoptCall                       // the call is established: continue it
	NotifyCaller                    // the call was terminated, and its caller may not know: notify it at once, and again when it resumes
	RepeatOutcome                   // the call was rejected or terminated: report that to its caller when it resumes
	FailCall                        // the call cannot be attempted any more: report the failure to its caller when it resumes
	ReleaseCall                     // events of the call may be missing: release it at all dispatchers, and report it as failed or cut
)

func (a Action) String() string {
	return [...]string{"", "await", "adopt", "tell", "keep", "fail", "cut"}[a]
}

// Decision is what recovery does with one call, and why.
type Decision struct {
	*Call
	Action Action
	Why    string
	// ResumeDeadline is the time by which the caller must resume the call. With AwaitResume the call is cancelled then, and with AdoptCall it
	// is released. It is 0 for an adopted call whose answer counts as delivered or whose caller has no token to resume it with.
	ResumeDeadline time.Duration
	// TimeLeft is the longest time for which the caller of an AwaitResume still waits.
	TimeLeft time.Duration
	// NotBefore is the earliest time of the next attempt of an AwaitResume.
	NotBefore time.Duration
	// MustRelease is set if all dispatchers must release the call, as an attempt may have reached one of them.
	MustRelease bool
}

// Plan returns the decisions on all calls at a restart, sorted by call id.
func (t *CallTable) Plan(now time.Duration, r Rules) []Decision {
	var all []Decision
	for _, c := range t.Calls() {
		all = append(all, t.decide(now, r, c))
	}
	return all
}

func (t *CallTable) decide(now time.Duration, r Rules, c *Call) Decision {
	d := Decision{Call: c}
	switch {
	case c.State == StateTerminated && t.lastAlive-c.LastEventAt <= unconfirmedWindow:
		d.Action, d.Why = NotifyCaller, "ended, perhaps not told"
	case c.State == StateTerminated || c.State == StateRejected:
		d.Action, d.Why = RepeatOutcome, "over"
	case c.Doubtful:
		d.Action, d.Why, d.MustRelease = ReleaseCall, "something of it was lost", true
	case c.State == StateEstablished:
		d.Action, d.Why = AdoptCall, "stands"
		if t.lastAlive-c.LastEventAt <= unconfirmedWindow && len(c.Token) > 0 {
			d.Why, d.ResumeDeadline = "stands, perhaps not told", now+EstablishedResumeTimeout
		}
	default:
		d = t.decidePending(now, r, c, d)
	}
	return d
}

// decidePending decides on a call whose caller waits for the final answer. An attempt that was in progress was abandoned when its connection
// closed. It may have reached the dispatcher, so the call is released there.
func (t *CallTable) decidePending(now time.Duration, r Rules, c *Call, d Decision) Decision {
	// The time left by the Unix clock, but no more than was left when the process was last known to be alive: setting the
	// clock back must not extend the deadline.
	d.TimeLeft = min(c.Deadline()-now, c.Deadline()-max(c.AcceptedAt(), min(t.lastAlive, c.Deadline())))
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
	// The last events may be missing without a trace after a crash of the machine, so there may have been attempts that are
	// not known here. The call is therefore released everywhere, and the guard starts at the restart. No attempt can require
	// a later time, even if the clock was set back.
	d.NotBefore = now + r.Guard
	d.ResumeDeadline = now + min(PendingResumeTimeout, d.TimeLeft)
	return d
}

// HashToken returns the hash of a token. The ledger stores it instead of the token.
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

// TokenMatches reports in constant time whether a token has the given hash. A call without a hash cannot be resumed.
func TokenMatches(token string, hash []byte) bool {
	return len(hash) > 0 && ValidToken(token) && subtle.ConstantTimeCompare(HashToken(token), hash) == 1
}
