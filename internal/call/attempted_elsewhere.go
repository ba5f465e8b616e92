package call

import (
	"maps"
	"slices"
	"time"
)

// This file tells the two processes of an upgrade which ids the other one has sent to a dispatcher. A set-up with such an id must
// not run a second time.

// attemptedElsewhere are the ids of calls that the other process has attempted, for the retention period.
type attemptedElsewhere struct {
	receivedAt map[string]time.Time
	order      []string // the ids, in the order in which they were received
}

// contains reports whether the other process has attempted a call with the id.
func (a *attemptedElsewhere) contains(id string) bool {
	_, ok := a.receivedAt[id]
	return ok
}

// add adds an id, and drops those whose retention period is over and the oldest ones beyond the limit.
func (a *attemptedElsewhere) add(id string, limit int) {
	if a.receivedAt == nil {
		a.receivedAt = map[string]time.Time{}
	}
	if a.contains(id) {
		return
	}
	a.receivedAt[id] = time.Now()
	a.order = append(a.order, id)
	for len(a.order) > limit || time.Since(a.receivedAt[a.order[0]]) > retentionPeriod {
		delete(a.receivedAt, a.order[0])
		a.order = a.order[1:]
	}
}

// ReportAttempts calls report for each call that was attempted, and from now on for each call that is about to be attempted for the first
// time. A nil report ends that.
func (c *Core) ReportAttempts(report func(id string)) {
	if c.reportAttempt = report; report == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if c.calls[id].attempts > 0 {
			report(id)
		}
	}
}

// AttemptedElsewhere records that the other process has attempted a call. A set-up with its id is not accepted here.
func (c *Core) AttemptedElsewhere(id string) {
	if ValidID(id) && c.calls[id] == nil {
		c.attemptedElsewhere.add(id, c.recentlyTerminated.maxAttempted)
	}
}
