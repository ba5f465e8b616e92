package trial

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Judge holds what dispatchers are told and what callers hear against the rules, over all controllers: never two attempts out, none while
// the call stands, none inside the guard, one final answer in time and one that a dispatcher gave, and nothing left over. It decides by
// what it is told and when; it does no I/O. Its methods may be called from any goroutine.
type Judge struct {
	guard, deadline time.Duration
	onSetUp         func(id string, when time.Time) // nil for nobody to be told

	mu     sync.Mutex
	calls  map[string]*judged
	faults []string
	setUps int
	finals map[string]int
}

// judged is one call, at both ends.
type judged struct {
	out, stands string    // the dispatcher at which an attempt is out, and at which the call stands
	guarded     time.Time // when its last attempt ended that may have left a trace
	released    int       // the cause with which its dispatcher has ended it
	overAt      time.Time // when it did, or it was cut
	cutAt       time.Time // when its controller has released it, since its last attempt
	releasedAt  time.Time // when its end was first written towards its controller; zero if it could not be
	toldAt      time.Time // when its caller, who had its answer, was told that it is over
	answeredAt  time.Time // when its dispatcher said that it stands

	placed   time.Time
	answered bool
	settled  bool

	trail trail
}

// tolerance is what the clocks of two ends of a loopback connection, and their goroutines, may be apart.
const tolerance = 5 * time.Millisecond

// NewJudge judges by a guard after attempts that may have left a trace, and by how long callers wait.
func NewJudge(guard, deadline time.Duration) *Judge {
	return &Judge{guard: guard, deadline: deadline, calls: map[string]*judged{}, finals: map[string]int{}}
}

func (j *Judge) call(id string) *judged {
	c := j.calls[id]
	if c == nil {
		c = &judged{}
		j.calls[id] = c
	}
	return c
}

// fault takes down a rule that was broken, with the call's trail.
func (j *Judge) fault(c *judged, format string, args ...any) {
	if len(j.faults) < maxFaults {
		j.faults = append(j.faults, fmt.Sprintf(format, args...)+"; "+c.trail.String())
	}
}

// --- What dispatchers see ---

// OnSetUp has f told of each set-up that comes to a dispatcher, while the judge waits. It comes before the first.
func (j *Judge) OnSetUp(f func(id string, when time.Time)) { j.onSetUp = f }

// SetUp is a set-up that has come whole to a dispatcher.
func (j *Judge) SetUp(id, at string, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.call(id)
	c.trail.add(when, "set up at", at)
	j.setUps++
	if j.onSetUp != nil {
		j.onSetUp(id, when)
	}
	switch {
	case c.out != "":
		j.fault(c, "%s: a second attempt at %s while one is out at %s", id, at, c.out)
	case c.stands != "":
		j.fault(c, "%s: an attempt at %s while it stands at %s", id, at, c.stands)
	case c.answered: // one that stood unheard by its caller, as its controller was killed, may be tried again once it is over
		j.fault(c, "%s: an attempt at %s after its caller was answered", id, at)
	}
	if since := when.Sub(c.guarded); since < j.guard-tolerance {
		j.fault(c, "%s: sent again after %v", id, since)
	}
	c.out, c.cutAt = at, time.Time{}
}

// GivenUp is an attempt that was withdrawn, or whose connection closed, or that broke: it may have left a trace.
func (j *Judge) GivenUp(id, at string, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.call(id); c.out == at {
		c.out, c.guarded = "", when
		c.trail.add(when, "given up at", at)
	}
}

// Refused is an attempt that its dispatcher has ended without a trace.
func (j *Judge) Refused(id, at string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.call(id); c.out == at {
		c.out = ""
		c.trail.add(time.Now(), "refused at", at)
	}
}

// Answered is an attempt that its dispatcher answers: the call stands there.
func (j *Judge) Answered(id, at string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.call(id); c.out == at {
		c.out, c.stands, c.answeredAt = "", at, time.Now()
		c.trail.add(c.answeredAt, "answered at", at)
	}
}

// AnswerUnsent is an answer that its dispatcher could not send, as its connection had been closed there: the attempt ended with that.
func (j *Judge) AnswerUnsent(id, at string, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.call(id); c.stands == at {
		c.stands, c.guarded = "", when
		c.trail.add(when, "answer not sent at", at)
	}
}

// AnswersLost are the answers that a dispatcher has sent since a time on connections that it resets now: no controller may have read them.
func (j *Judge) AnswersLost(at string, since, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.calls {
		if c.stands == at && c.answeredAt.After(since) {
			c.stands, c.guarded = "", when
			c.trail.add(when, "answer lost at", at)
		}
	}
}

// Cut is a call that stood and that a controller has released.
func (j *Judge) Cut(id, at string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.call(id); c.stands == at {
		c.stands, c.cutAt = "", time.Now()
		c.trail.add(c.cutAt, "cut at", at)
	}
}

// Over is a call that stood and that its dispatcher ends; false if it does not stand there any more.
func (j *Judge) Over(id, at string, cause int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.call(id)
	if c.stands != at {
		return false
	}
	c.stands, c.released, c.overAt, c.releasedAt = "", cause, time.Now(), time.Time{}
	c.trail.add(c.overAt, "ended at", at)
	return true
}

// Out and Stands are the dispatchers at which an attempt is out and at which the call stands; Guarded is when the last attempt that may
// have left a trace ended; Released the cause of the call's end.
func (j *Judge) Out(id string) string { return look(j, id, func(c *judged) string { return c.out }) }

// Stands is the dispatcher at which the call stands.
func (j *Judge) Stands(id string) string {
	return look(j, id, func(c *judged) string { return c.stands })
}

// Guarded is when the last attempt that may have left a trace ended.
func (j *Judge) Guarded(id string) time.Time {
	return look(j, id, func(c *judged) time.Time { return c.guarded })
}

// OverAt is when the call's dispatcher has ended it; zero if it has not.
func (j *Judge) OverAt(id string) time.Time {
	return look(j, id, func(c *judged) time.Time { return c.overAt })
}

// Released is the cause with which the call's dispatcher has ended it; 0 if it has not.
func (j *Judge) Released(id string) int {
	return look(j, id, func(c *judged) int { return c.released })
}

func look[T any](j *Judge, id string, what func(*judged) T) T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return what(j.call(id))
}

// --- What callers see ---

// Placed is a call that a caller has sent.
func (j *Judge) Placed(id string, when time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.call(id)
	c.placed = when
	c.trail.add(when, "placed", "")
}

// Heard is a message about a call that has come to its caller: an answer with its description, or a release with what was said of it.
// It reports whether the caller is owed more.
func (j *Judge) Heard(id, kind, text string, cause int, when time.Time) (owed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.calls[id]
	if c == nil || c.placed.IsZero() {
		j.fault(&judged{}, "%s: a %s for a call that nobody has placed", id, kind)
		return false
	}
	c.trail.add(when, "heard", fmt.Sprint(kind, " ", cause, " ", text))
	if c.settled {
		return false // the end of one that is over, told again
	}
	switch kind {
	case "answer":
		if c.answered {
			j.fault(c, "%s is answered twice", id)
		}
		if text != Description(id) {
			j.fault(c, "%s has an answer that no dispatcher gave: %.40q", id, text)
		}
		if took := when.Sub(c.placed); took > j.deadline {
			j.fault(c, "%s is answered after %v", id, took)
		}
		c.answered = true
		j.finals["answer"]++
		return true
	case "release":
		what := fmt.Sprint("release ", cause, " ", text)
		if c.answered {
			c.toldAt = when
			what = "after the answer: " + what
		} else if took := when.Sub(c.placed); took > j.deadline {
			j.fault(c, "%s has its final answer after %v", id, took)
		}
		j.finals[what]++
		c.settled = true
		return false
	}
	return true
}

// Description is what a dispatcher answers a call with.
func Description(id string) string { return "y" + id }

// Unsettled are the calls whose callers are owed something still: a final answer, or the end of one that stood.
func (j *Judge) Unsettled() (unanswered, untold []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, c := range j.calls {
		switch {
		case c.placed.IsZero() || c.settled:
		case c.answered:
			untold = append(untold, id)
		default:
			unanswered = append(unanswered, id)
		}
	}
	slices.Sort(unanswered)
	slices.Sort(untold)
	return unanswered, untold
}

// Left are the attempts that are out and the calls that stand, by dispatcher.
func (j *Judge) Left() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var left []string
	for id, c := range j.calls {
		if c.out != "" || c.stands != "" {
			left = append(left, fmt.Sprintf("%s out at %q, stands at %q", id, c.out, c.stands))
		}
	}
	slices.Sort(left)
	return left
}

// Verdict is what was found: the rules that were broken, the set-ups that came, and the final answers by kind.
func (j *Judge) Verdict() (faults []string, setUps int, finals map[string]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.faults), j.setUps, maps.Clone(j.finals)
}
