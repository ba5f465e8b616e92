package main

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"cherryrelay/internal/trial"
)

// The limits that the soak test of shutdowns checks for callers are those of the protocol page.
const (
	// maxAnswerDelay is the time after its deadline in which a final answer may still come; it earns nothing then.
	maxAnswerDelay = 500 * time.Millisecond
	// maxCrossingTime is the time before the end of its connection in which a set-up counts as crossing that end.
	maxCrossingTime = 20 * time.Millisecond
	// endDeliveryLimit is the time in which the end of an established call must be delivered. protocolSlack is added to each limit.
	endDeliveryLimit, protocolSlack = time.Second, 50 * time.Millisecond
	// maxAttemptDelay is the time after its caller's cancellation in which an attempt may still start.
	maxAttemptDelay = 100 * time.Millisecond
)

// shutdownCall is the caller's state of one set-up.
type shutdownCall struct {
	written     time.Time
	sent        time.Time // time when the kernel had its last byte; zero if it never had
	left        time.Duration
	finals      int
	finalAt     time.Time
	established bool
	endReported bool      // the end of the established call was delivered
	cancelledAt time.Time // when its caller cancelled it
	released    bool      // by a release message, which also ends a call that is established by then
	crossed     bool      // its connection ended while it was written
	lost        bool      // its connection ended without an answer
	excluded    bool      // its caller does not read
	refused     bool      // its final answer tells its caller that another try does no harm
}

// shutdownChecker collects the messages of callers and checks them. It is safe for concurrent use.
type shutdownChecker struct {
	meter         *schedulerMeter
	nonIdempotent bool            // the class of all calls must not be repeated
	process       *schedulerMeter // delays that the tested process is excused for; nil for none

	mu         sync.Mutex
	calls      map[string]*shutdownCall
	violations []string
	endReports map[string]time.Time // times of delivered ends by call ID, on any connection
	connected  []interval           // times in which a caller was connected
}

// interval is the time in which a connection was open.
type interval struct{ from, to time.Time }

func newShutdownChecker() *shutdownChecker {
	return &shutdownChecker{meter: startMeter(), calls: map[string]*shutdownCall{}, endReports: map[string]time.Time{}}
}

func (j *shutdownChecker) addViolation(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

func (j *shutdownChecker) markWritten(id string, at time.Time, left time.Duration, excluded bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[id] = &shutdownCall{written: at, left: left, excluded: excluded}
}

// markSent records that the kernel has the set-ups.
func (j *shutdownChecker) markSent(ids []string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range ids {
		j.calls[id].sent = at
	}
}

// markCancelled records that a caller has cancelled a set-up or closed its connection before the answer.
func (j *shutdownChecker) markCancelled(id string, at time.Time, released bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.calls[id]; c != nil {
		c.released = c.released || released
	}
	if c := j.calls[id]; c != nil && c.finals == 0 && c.cancelledAt.IsZero() {
		c.cancelledAt = at
	}
}

// markReceived records a message: an answer, or a release, which is a final answer or the end of an established call.
func (j *shutdownChecker) markReceived(id, kind, description string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := j.calls[id]
	switch {
	case c == nil:
		j.addViolation("%s: a %s for a set-up that no caller sent", id, kind)
		return
	case kind == "release" && c.established, kind == "release" && c.finals == 0 && !c.cancelledAt.IsZero():
		c.endReported = true
		if _, known := j.endReports[id]; !known {
			j.endReports[id] = at
		}
		return
	}
	if c.finals++; c.finals > 1 {
		j.addViolation("%s: a second final answer: %s", id, kind)
		return
	}
	c.finalAt = at
	if kind == "answer" {
		c.established = true
		if description != trial.Description(id) {
			j.addViolation("%s: an answer that no dispatcher gave: %.40q", id, description)
		}
	}
}

// markRefused records a final answer that tells the caller that another try does no harm. It must be called before markReceived.
func (j *shutdownChecker) markRefused(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c := j.calls[id]; c != nil && c.finals == 0 {
		c.refused = true
	}
}

// markConnectionEnded records that a connection with the given set-ups has ended, at a time on the kernel's clock.
func (j *shutdownChecker) markConnectionEnded(ids []string, from, kernel, seen time.Time, reason error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.connected = append(j.connected, interval{from, kernel})
	for _, id := range ids {
		c := j.calls[id]
		if c.finals > 0 || !c.cancelledAt.IsZero() || c.excluded {
			continue
		}
		before := kernel.Sub(c.sent)
		if c.lost = !c.sent.IsZero() && j.exceeds(before, maxCrossingTime, c.sent, seen); c.lost {
			j.addViolation("%s: its connection ended %v after it was written, without an answer: %v", id, before, reason)
		}
		c.crossed = !c.lost
	}
}

// markCrossed records set-ups of a connection that ended before its caller noticed: those that the controller had not received crossed the
// end.
func (j *shutdownChecker) markCrossed(ids []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range ids {
		if c := j.calls[id]; c.finals == 0 && c.cancelledAt.IsZero() && !c.lost {
			c.crossed = true
		}
	}
}

// check returns all violations, also those that dispatchers saw. livedUntil is when the process ended.
func (j *shutdownChecker) check(dispatchers *trial.CallChecker, arrivals map[string][]time.Time, livedUntil time.Time) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	violations, _, _ := dispatchers.Results()
	violations = append(violations, j.violations...)
	for id, c := range j.calls {
		if late := c.finalAt.Sub(c.written) - c.left; c.finals > 0 && c.cancelledAt.IsZero() && j.exceeds(late, maxAnswerDelay, c.written, c.finalAt) {
			violations = append(violations, fmt.Sprintf("%s: answered %v after its deadline of %v", id, late, c.left))
		}
		if c.finals == 0 && c.cancelledAt.IsZero() && !c.crossed && !c.lost && !c.excluded {
			violations = append(violations, fmt.Sprintf("%s: no answer, written %v before the end", id, livedUntil.Sub(c.written)))
		}
		if j.nonIdempotent && c.refused && dispatchers.MayHaveRun(id) {
			violations = append(violations, fmt.Sprintf("%s: refused %v after it was written although an attempt may have run", id, c.finalAt.Sub(c.written)))
		}
		for _, at := range arrivals[id] {
			if late := at.Sub(c.cancelledAt); !c.cancelledAt.IsZero() && j.exceeds(late, maxAttemptDelay+protocolSlack, c.cancelledAt, at) {
				violations = append(violations, fmt.Sprintf("%s: an attempt began %v after its caller had cancelled", id, late))
			}
			if late := at.Sub(c.finalAt); c.finals > 0 && !c.excluded && j.exceeds(late, maxAttemptDelay+protocolSlack, c.finalAt, at) {
				violations = append(violations, fmt.Sprintf("%s: an attempt began %v after its final answer", id, late))
			}
		}
		over := dispatchers.EndedAt(id)
		const within = endDeliveryLimit + protocolSlack
		due := over.Add(within)
		if !c.established || c.released || over.IsZero() || due.After(livedUntil) || !j.reachable(over, due) {
			continue
		}
		if at, delivered := j.endReports[id]; !delivered || j.exceeds(at.Sub(over), within, over, at) {
			violations = append(violations, fmt.Sprintf("%s: its end was delivered: %v, %v after it; it ended %v before the process and %v after its answer; cancelled: %v", id, delivered, at.Sub(over), livedUntil.Sub(over),
				over.Sub(c.finalAt), !c.cancelledAt.IsZero()))
		}
	}
	slices.Sort(violations)
	return violations
}

// exceeds reports whether a time between two instants exceeds its limit by more than the delays measured between them.
func (j *shutdownChecker) exceeds(took, limit time.Duration, from, to time.Time) bool {
	if took <= limit || took-j.meter.delayBetween(from, to) <= limit {
		return false
	}
	return j.process == nil || took-j.process.delayBetween(from, to) > limit
}

// reachable reports whether one connection was open during the whole time.
func (j *shutdownChecker) reachable(from, to time.Time) bool {
	return slices.ContainsFunc(j.connected, func(i interval) bool { return i.from.Before(from) && i.to.After(to) })
}

// countCrossed returns the number of set-ups that crossed the end of their connection.
func (j *shutdownChecker) countCrossed() (n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.calls {
		if c.crossed {
			n++
		}
	}
	return n
}

// TestTheShutdownCheckerDetectsViolations tests the checker with missing, duplicate, late and invented answers, a close before the answer,
// an attempt after a cancellation, and an undelivered end.
func TestTheShutdownCheckerDetectsViolations(t *testing.T) {
	t.Parallel()
	const call = "1"
	begun := time.Now().Add(-time.Hour) // before the measurements of any meter
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		play func(j *shutdownChecker, d *trial.CallChecker) (arrivals []time.Time)
		ok   bool
	}{
		"valid": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markReceived(call, "answer", trial.Description(call), at(500))
			return []time.Time{at(10)}
		}, true},
		"refused": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markReceived(call, "release", "", at(500))
			return nil
		}, true},
		"no answer": {func(*shutdownChecker, *trial.CallChecker) []time.Time { return nil }, false},
		"two answers": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markReceived(call, "answer", trial.Description(call), at(500))
			j.markReceived(call, "answer", trial.Description(call), at(501))
			return nil
		}, false},
		"late": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markReceived(call, "release", "", at(1501))
			return nil
		}, false},
		"invented answer": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markReceived(call, "answer", "something", at(500))
			return nil
		}, false},
		"closed before the answer": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markConnectionEnded([]string{call}, at(-100), at(21), at(21), nil)
			return nil
		}, false},
		"crossed the close": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markConnectionEnded([]string{call}, at(-100), at(20), at(20), nil)
			return nil
		}, true},
		"sent after a cancellation": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markCancelled(call, at(100), true)
			return []time.Time{at(251)}
		}, false},
		"sent after its answer": {func(j *shutdownChecker, _ *trial.CallChecker) []time.Time {
			j.markReceived(call, "release", "", at(100))
			return []time.Time{at(251)}
		}, false},
		"refused while its attempt may run": {func(j *shutdownChecker, d *trial.CallChecker) []time.Time {
			j.nonIdempotent = true
			d.SetUpReceived(call, "d1", at(10))
			j.markRefused(call)
			j.markReceived(call, "release", "", at(500))
			return nil
		}, false},
		"refused after an attempt that never ran": {func(j *shutdownChecker, d *trial.CallChecker) []time.Time {
			j.nonIdempotent = true
			d.SetUpReceived(call, "d1", at(10))
			d.AttemptRefused(call, "d1")
			j.markRefused(call)
			j.markReceived(call, "release", "", at(500))
			return nil
		}, true},
		"sent again although it may have run": {func(j *shutdownChecker, d *trial.CallChecker) []time.Time {
			d.ForbidRepeats()
			d.SetUpReceived(call, "d1", at(10))
			d.AttemptAborted(call, "d1", at(20))
			d.SetUpReceived(call, "d2", at(600))
			j.markReceived(call, "release", "", at(700))
			return nil
		}, false},
		"two attempts in progress": {func(j *shutdownChecker, d *trial.CallChecker) []time.Time {
			d.SetUpReceived(call, "d1", at(10))
			d.SetUpReceived(call, "d2", at(20))
			j.markReceived(call, "release", "", at(500))
			return nil
		}, false},
		"inside the guard": {func(j *shutdownChecker, d *trial.CallChecker) []time.Time {
			d.SetUpReceived(call, "d1", at(10))
			d.AttemptAborted(call, "d1", at(20))
			d.SetUpReceived(call, "d2", at(400))
			j.markReceived(call, "release", "", at(500))
			return nil
		}, false},
		"an undelivered end": {func(j *shutdownChecker, d *trial.CallChecker) []time.Time {
			d.SetUpReceived(call, "d1", at(10))
			d.AttemptAnswered(call, "d1")
			j.markReceived(call, "answer", trial.Description(call), at(500))
			d.CallEnded(call, "d1", 16)
			j.markConnectionEnded(nil, at(-100), time.Now().Add(time.Hour), at(0), nil)
			return nil
		}, false},
	} {
		j, d := newShutdownChecker(), trial.NewCallChecker(guard, time.Hour)
		j.markWritten(call, at(0), time.Second, false)
		j.markSent([]string{call}, at(0))
		arrivals := test.play(j, d)
		violations := j.check(d, map[string][]time.Time{call: arrivals}, time.Now().Add(time.Hour))
		if (len(violations) == 0) != test.ok {
			t.Errorf("%s: %q, want it to pass: %v", name, violations, test.ok)
		}
	}
}

// TestADelayRecordedAfterTheAnswerCounts guards against a checker that blames a process for an excused delay: a delay is recorded when it
// has ended, which may be after the answer that it delayed. A delay at another time excuses nothing.
func TestADelayRecordedAfterTheAnswerCounts(t *testing.T) {
	t.Parallel()
	const call, left, late, delay = "1", time.Second, 700 * time.Millisecond, 400 * time.Millisecond
	begun := time.Now().Add(-time.Hour) // before the measurements of any meter
	answered := begun.Add(left + late)
	for name, test := range map[string]struct {
		delayEnded time.Time
		ok         bool
	}{
		"it lasted until after the answer": {answered.Add(delay / 10), true},
		"it began after the answer":        {answered.Add(2 * delay), false},
	} {
		j := newShutdownChecker()
		j.process = &schedulerMeter{}
		j.markWritten(call, begun, left, false)
		j.markReceived(call, "release", "", answered)
		j.process.add(schedulerDelay{end: test.delayEnded, lost: delay})
		violations := j.check(trial.NewCallChecker(guard, time.Hour), nil, time.Now())
		if (len(violations) == 0) != test.ok {
			t.Errorf("%s: %q, want it to pass: %v", name, violations, test.ok)
		}
	}
}
