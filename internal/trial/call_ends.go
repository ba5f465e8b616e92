package trial

import (
	"cmp"
	"slices"
	"time"
)

// The protocol limits the delay until the caller of an established call is notified of its end.
const (
	ToldAfterRelease = time.Second           // after its dispatcher has sent the release
	ToldAfterEnd     = 8 * time.Second       // after the end itself
	SocketSlack      = 50 * time.Millisecond // added to either limit, for delays of sockets
)

// End describes the end of a call whose caller has received an answer.
type End struct {
	ID         string
	OverAt     time.Time // when the call ended; zero if no end is known
	ReleasedAt time.Time // when its dispatcher first sent a release, or received that of the controller; zero for neither
	ToldAt     time.Time // when its caller was notified; zero if it was not
	Trail      string    // the history of the call
}

// Due returns the deadline for notifying the caller.
func (e End) Due() time.Time {
	due := e.OverAt.Add(ToldAfterEnd)
	if released := e.ReleasedAt.Add(ToldAfterRelease); !e.ReleasedAt.IsZero() && released.Before(due) {
		due = released
	}
	return due.Add(SocketSlack)
}

// Late returns how long after the deadline the caller was notified, with now as the time for a caller that was not notified yet. It
// returns zero or less if the deadline is met, and zero if the call has not ended.
func (e End) Late(now time.Time) time.Duration {
	if e.OverAt.IsZero() {
		return 0
	}
	if !e.ToldAt.IsZero() {
		now = e.ToldAt
	}
	return now.Sub(e.Due())
}

// Ends returns the ends of all calls whose callers have received an answer, sorted by id. It leaves out calls that their callers have ended.
func (cc *Judge) Ends() []End {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	var ends []End
	for id, c := range cc.calls {
		if c.answered && !(c.finished && c.notifiedAt.IsZero()) {
			e := End{id, c.endedAt, c.releaseSentAt, c.notifiedAt, c.history.String()}
			if !c.releasedByControllerAt.IsZero() {
				e.OverAt, e.ReleasedAt = c.releasedByControllerAt, c.releasedByControllerAt
			}
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.ID, b.ID) })
	return ends
}

// ReleaseSent records that the dispatcher of a terminated call has sent its release.
func (cc *Judge) ReleaseSent(id, dispatcher string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.state(id)
	c.history.add(when, "release sent by", dispatcher)
	if c.releaseSentAt.IsZero() {
		c.releaseSentAt = when
	}
}

// CallerLeft records that a caller has cancelled its set-up or ended its call. It expects no further message.
func (cc *Judge) CallerLeft(id string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.state(id)
	c.history.add(when, "cancelled or ended by its caller", "")
	c.finished = true
}
