package trial

import (
	"cmp"
	"slices"
	"time"
)

// The bounds of the protocol page within which the end of a call that stood is told to its caller, and what each may be longer on sockets.
const (
	ToldAfterRelease = time.Second
	ToldAfterEnd     = 8 * time.Second
	SocketSlack      = 50 * time.Millisecond
)

// End is the end of a call whose caller has had its answer.
type End struct {
	ID         string
	OverAt     time.Time // when it was over; zero if it is not, as far as is known
	ReleasedAt time.Time // when its dispatcher first wrote its release, or had that of the controller; zero for neither
	ToldAt     time.Time // when its caller was told; zero if it was not
	Trail      string
}

// Due is when the caller must have been told.
func (e End) Due() time.Time {
	due := e.OverAt.Add(ToldAfterEnd)
	if released := e.ReleasedAt.Add(ToldAfterRelease); !e.ReleasedAt.IsZero() && released.Before(due) {
		due = released
	}
	return due.Add(SocketSlack)
}

// Late is by how much the caller was told too late, or is not told by now; zero or less if it is in time.
func (e End) Late(now time.Time) time.Duration {
	if e.OverAt.IsZero() {
		return 0
	}
	if !e.ToldAt.IsZero() {
		now = e.ToldAt
	}
	return now.Sub(e.Due())
}

// Ends are those of all calls whose callers have had an answer, in the order of their ids. Calls that their callers have ended are left out.
func (j *Judge) Ends() []End {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ends []End
	for id, c := range j.calls {
		if c.answered && !(c.settled && c.toldAt.IsZero()) {
			e := End{id, c.overAt, c.releasedAt, c.toldAt, c.trail.String()}
			if !c.cutAt.IsZero() {
				e.OverAt, e.ReleasedAt = c.cutAt, c.cutAt
			}
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.ID, b.ID) })
	return ends
}

// ReleaseSent notes that the dispatcher of a call that is over has written its release.
func (j *Judge) ReleaseSent(id, at string, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.call(id)
	c.trail.add(when, "release sent by", at)
	if c.releasedAt.IsZero() {
		c.releasedAt = when
	}
}

// CallerLeft notes that a caller has given its set-up up or ended its call: it is owed nothing more.
func (j *Judge) CallerLeft(id string, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.call(id)
	c.trail.add(when, "left by its caller", "")
	c.settled = true
}
