package trial

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// CallChecker checks the rules for every call, over all controllers, from the messages that dispatchers and callers receive:
//
//   - A call has at most one attempt in progress, and none while it is established or after its caller was answered.
//   - After an attempt that may have left a trace at its dispatcher, the next one comes no earlier than after the guard.
//   - A caller receives one final answer before the deadline, and an answer is one that a dispatcher sent.
//
// Judge.Remaining and Judge.Unfinished return what remains at the end. The checker does no I/O: it depends only on the events that are reported
// to it and their times. Its methods may be called from any goroutine.
type CallChecker struct {
	guard, deadline time.Duration
	onSetUp         func(id string, when time.Time) // may be nil
	nonIdempotent   bool

	mu           sync.Mutex
	calls        map[string]*callState
	violations   []string
	setUps       int
	finalAnswers map[string]int
}

// callState is what dispatchers and callers have reported of a call.
type callState struct {
	attemptAt, establishedAt string    // dispatchers of the attempt in progress and of the established call
	guardStart               time.Time // when the last attempt ended that may have left a trace
	releaseCause             int       // cause with which its dispatcher has ended it
	endedAt                  time.Time // when its dispatcher has ended it
	releasedByControllerAt   time.Time // when its controller has released it, after the latest attempt
	releaseSentAt            time.Time // when its dispatcher first sent the release; zero if it has not
	notifiedAt               time.Time // when its caller, after an answer, was notified of the end
	answeredAt               time.Time // when its dispatcher answered
	setUps, refused          int       // attempts that dispatchers have received, and those of them that never ran

	placedAt time.Time
	answered bool // its caller has received an answer
	finished bool // its caller expects no further message

	history callHistory
}

// clockTolerance is the largest difference between the times that the two ends of a loopback connection record for one event.
const clockTolerance = 5 * time.Millisecond

// NewCallChecker returns a checker for a guard time after attempts that may have left a trace, and for a deadline of final answers, counted from
// the set-up.
func NewCallChecker(guard, deadline time.Duration) *CallChecker {
	return &CallChecker{guard: guard, deadline: deadline, calls: map[string]*callState{}, finalAnswers: map[string]int{}}
}

// state returns the state of a call and creates it if needed.
func (cc *CallChecker) state(id string) *callState {
	c := cc.calls[id]
	if c == nil {
		c = &callState{}
		cc.calls[id] = c
	}
	return c
}

// addViolation records a violation with the history of the call.
func (cc *CallChecker) addViolation(c *callState, format string, args ...any) {
	if len(cc.violations) < maxViolations {
		cc.violations = append(cc.violations, fmt.Sprintf(format, args...)+"; "+c.history.String())
	}
}

// --- Events at dispatchers ---

// OnSetUp registers a function that is called for each set-up that a dispatcher receives, while the checker is locked. It must be called
// before the first set-up.
func (cc *CallChecker) OnSetUp(f func(id string, when time.Time)) { cc.onSetUp = f }

// ForbidRepeats makes an attempt a violation if an earlier one of its call may have run. It must be called before the first set-up.
func (cc *CallChecker) ForbidRepeats() { cc.nonIdempotent = true }

// mayHaveRun reports whether a dispatcher has received an attempt that it has not refused.
func (c *callState) mayHaveRun() bool { return c.setUps > c.refused }

// MayHaveRun reports whether a dispatcher has received an attempt of the call that it has not refused.
func (cc *CallChecker) MayHaveRun(id string) bool { return readState(cc, id, (*callState).mayHaveRun) }

// SetUpReceived records that a dispatcher has received a complete set-up.
func (cc *CallChecker) SetUpReceived(id, dispatcher string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.state(id)
	c.history.add(when, "set up at", dispatcher)
	cc.setUps++
	if cc.onSetUp != nil {
		cc.onSetUp(id, when)
	}
	switch {
	case c.attemptAt != "":
		cc.addViolation(c, "%s: a second attempt at %s while one is in progress at %s", id, dispatcher, c.attemptAt)
	case c.establishedAt != "":
		cc.addViolation(c, "%s: an attempt at %s while the call is established at %s", id, dispatcher, c.establishedAt)
	case c.answered: // without an answer at its caller, as after the kill of its controller, a terminated call may be attempted again
		cc.addViolation(c, "%s: an attempt at %s after its caller was answered", id, dispatcher)
	case cc.nonIdempotent && c.mayHaveRun():
		cc.addViolation(c, "%s: an attempt at %s although an earlier one may have run", id, dispatcher)
	}
	c.setUps++
	if elapsed := when.Sub(c.guardStart); elapsed < cc.guard-clockTolerance {
		cc.addViolation(c, "%s: sent again %v after the last attempt", id, elapsed)
	}
	c.attemptAt, c.releasedByControllerAt = dispatcher, time.Time{}
}

// AttemptAborted records that an attempt was cancelled or failed, or that its connection closed. Such an attempt may have left a trace at its
// dispatcher.
func (cc *CallChecker) AttemptAborted(id, dispatcher string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c := cc.state(id); c.attemptAt == dispatcher {
		c.attemptAt, c.guardStart = "", when
		c.history.add(when, "aborted at", dispatcher)
	}
}

// AttemptRefused records that a dispatcher has refused an attempt, which leaves no trace.
func (cc *CallChecker) AttemptRefused(id, dispatcher string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c := cc.state(id); c.attemptAt == dispatcher {
		c.attemptAt = ""
		c.refused++
		c.history.add(time.Now(), "refused at", dispatcher)
	}
}

// AttemptAnswered records that a dispatcher answers an attempt, which establishes the call there.
func (cc *CallChecker) AttemptAnswered(id, dispatcher string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c := cc.state(id); c.attemptAt == dispatcher {
		c.attemptAt, c.establishedAt, c.answeredAt = "", dispatcher, time.Now()
		c.history.add(c.answeredAt, "answered at", dispatcher)
	}
}

// AnswerNotSent records that a dispatcher could not send an answer, as it had closed the connection. The attempt ended with the close.
func (cc *CallChecker) AnswerNotSent(id, dispatcher string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c := cc.state(id); c.establishedAt == dispatcher {
		c.establishedAt, c.guardStart = "", when
		c.history.add(when, "answer not sent at", dispatcher)
	}
}

// AnswersLost records that a dispatcher resets its connections. The answers that it has sent since the given time may never have been read.
func (cc *CallChecker) AnswersLost(dispatcher string, since, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for _, c := range cc.calls {
		if c.establishedAt == dispatcher && c.answeredAt.After(since) {
			c.establishedAt, c.guardStart = "", when
			c.history.add(when, "answer lost at", dispatcher)
		}
	}
}

// ReleasedByController records that a controller has released an established call.
func (cc *CallChecker) ReleasedByController(id, dispatcher string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if c := cc.state(id); c.establishedAt == dispatcher {
		c.establishedAt, c.releasedByControllerAt = "", time.Now()
		c.history.add(c.releasedByControllerAt, "released by its controller at", dispatcher)
	}
}

// CallEnded records that a dispatcher ends an established call. It returns false if the call is not established there.
func (cc *CallChecker) CallEnded(id, dispatcher string, cause int) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.state(id)
	if c.establishedAt != dispatcher {
		return false
	}
	c.establishedAt, c.releaseCause, c.endedAt, c.releaseSentAt = "", cause, time.Now(), time.Time{}
	c.history.add(c.endedAt, "ended at", dispatcher)
	return true
}

// AttemptAt returns the dispatcher of the attempt in progress; empty if there is none.
func (cc *CallChecker) AttemptAt(id string) string {
	return readState(cc, id, func(c *callState) string { return c.attemptAt })
}

// EstablishedAt returns the dispatcher at which the call is established; empty if there is none.
func (cc *CallChecker) EstablishedAt(id string) string {
	return readState(cc, id, func(c *callState) string { return c.establishedAt })
}

// GuardStart returns when the last attempt that may have left a trace ended.
func (cc *CallChecker) GuardStart(id string) time.Time {
	return readState(cc, id, func(c *callState) time.Time { return c.guardStart })
}

// EndedAt returns when the call's dispatcher has ended it; zero if it has not.
func (cc *CallChecker) EndedAt(id string) time.Time {
	return readState(cc, id, func(c *callState) time.Time { return c.endedAt })
}

// ReleaseCause returns the cause with which the call's dispatcher has ended it; 0 if it has not.
func (cc *CallChecker) ReleaseCause(id string) int {
	return readState(cc, id, func(c *callState) int { return c.releaseCause })
}

// readState returns what read returns for the state of a call, under the lock of the checker.
func readState[T any](cc *CallChecker, id string, read func(*callState) T) T {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return read(cc.state(id))
}

// --- Events at callers ---

// CallPlaced records that a caller sends a set-up.
func (cc *CallChecker) CallPlaced(id string, when time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.state(id)
	c.placedAt = when
	c.history.add(when, "placed", "")
}

// MessageReceived records that a caller has received a message of a kind about its call. The text is the description of an answer or the error of a
// release. It reports whether the caller expects further messages.
func (cc *CallChecker) MessageReceived(id, kind, text string, cause int, when time.Time) (unfinished bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c := cc.calls[id]
	if c == nil || c.placedAt.IsZero() {
		cc.addViolation(&callState{}, "%s: a %s for a call that nobody has placed", id, kind)
		return false
	}
	c.history.add(when, "heard", fmt.Sprint(kind, " ", cause, " ", text))
	if c.finished {
		return false // a repeated notification of the end
	}
	switch kind {
	case "answer":
		if c.answered {
			cc.addViolation(c, "%s is answered twice", id)
		}
		if text != Description(id) {
			cc.addViolation(c, "%s has an answer that no dispatcher gave: %.40q", id, text)
		}
		if elapsed := when.Sub(c.placedAt); elapsed > cc.deadline {
			cc.addViolation(c, "%s is answered after %v", id, elapsed)
		}
		c.answered = true
		cc.finalAnswers["answer"]++
		return true
	case "release":
		outcome := fmt.Sprint("release ", cause, " ", text)
		if c.answered {
			c.notifiedAt = when
			outcome = "after the answer: " + outcome
		} else if elapsed := when.Sub(c.placedAt); elapsed > cc.deadline {
			cc.addViolation(c, "%s has its final answer after %v", id, elapsed)
		}
		cc.finalAnswers[outcome]++
		c.finished = true
		return false
	}
	return true
}

// Description returns the session description in the answer to a call.
func Description(id string) string { return "y" + id }

// Unfinished returns the calls whose callers wait for a final answer, and those whose callers were answered and not notified of the end.
func (cc *CallChecker) Unfinished() (unanswered, unnotified []string) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for id, c := range cc.calls {
		switch {
		case c.placedAt.IsZero() || c.finished:
		case c.answered:
			unnotified = append(unnotified, id)
		default:
			unanswered = append(unanswered, id)
		}
	}
	slices.Sort(unanswered)
	slices.Sort(unnotified)
	return unanswered, unnotified
}

// Remaining lists the calls with an attempt in progress and the established calls, with their dispatchers.
func (cc *CallChecker) Remaining() []string {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	var remaining []string
	for id, c := range cc.calls {
		if c.attemptAt != "" || c.establishedAt != "" {
			remaining = append(remaining, fmt.Sprintf("%s: attempt in progress at %q, established at %q", id, c.attemptAt, c.establishedAt))
		}
	}
	slices.Sort(remaining)
	return remaining
}

// Results returns the violations, the number of set-ups that dispatchers received, and the numbers of final answers and ends by kind.
func (cc *CallChecker) Results() (violations []string, setUps int, finalAnswers map[string]int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return slices.Clone(cc.violations), cc.setUps, maps.Clone(cc.finalAnswers)
}
