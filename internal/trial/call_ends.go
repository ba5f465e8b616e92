package trial

import (
	"cmp"
	"slices"
	"time"
)

// The protocol limits the delay until the caller of an established call is notified of its end.
const (
	MaxDelayAfterRelease = time.Second           // after its dispatcher has sent the release
	MaxDelayAfterEnd     = 8 * time.Second       // after the end itself
	SocketSlack          = 50 * time.Millisecond // added to either limit, for delays of sockets
)

// CallEnd describes the end of a call whose caller has received an answer.
type CallEnd struct {
	ID            string
	EndedAt       time.Time // when the call ended; zero if no end is known
	ReleaseSentAt time.Time // when its dispatcher first sent a release, or received that of the controller; zero for neither
	NotifiedAt    time.Time // when its caller was notified; zero if it was not
	History       string    // the history of the call
}

// Deadline returns the deadline for notifying the caller.
func (e CallEnd) Deadline() time.Time {
	due := e.EndedAt.Add(MaxDelayAfterEnd)
	if released := e.ReleaseSentAt.Add(MaxDelayAfterRelease); !e.ReleaseSentAt.IsZero() && released.Before(due) {
		due = released
	}
	return due.Add(SocketSlack)
}

// Lateness returns how long after the deadline the caller was notified, with now as the time for a caller that was not notified yet. It
// returns zero or less if the deadline is met, and zero if the call has not ended.
func (e CallEnd) Lateness(now time.Time) time.Duration {
	if e.EndedAt.IsZero() {
		return 0
	}
	if !e.NotifiedAt.IsZero() {
		now = e.NotifiedAt
	}
	return now.Sub(e.Deadline())
}

// Ends returns the ends of all calls whose callers have received an answer, sorted by id. It leaves out calls that their callers have ended.
func (cc *CallChecker) Ends() []CallEnd {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	var ends []CallEnd
	for id, c := range cc.calls {
		if c.answered && !(c.finished && c.notifiedAt.IsZero()) {
			e := CallEnd{id, c.endedAt, c.releaseSentAt, c.notifiedAt, c.history.String()}
			if !c.releasedByControllerAt.IsZero() {
				e.EndedAt, e.ReleaseSentAt = c.releasedByControllerAt, c.releasedByControllerAt
			}
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b CallEnd) int { return cmp.Compare(a.ID, b.ID) })
	return ends
}

// ReleaseSent records that the dispatcher of a terminated call has sent its release.
func (cc *CallChecker) ReleaseSent(id, dispatcher string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.state(id)
	c.history.add(when, "release sent by", dispatcher)
	if c.releaseSentAt.IsZero() {
		c.releaseSentAt = when
	}
}

// CallerFinished records that a caller has cancelled its set-up or ended its call. It expects no further message.
func (cc *CallChecker) CallerFinished(id string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.state(id)
	c.history.add(when, "cancelled or ended by its caller", "")
	c.finished = true
}
