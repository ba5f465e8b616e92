package call

import (
	"slices"
	"time"
)

// This file implements draining: a controller answers the set-ups that it has accepted, and stops.

// Drain answers the accepted set-ups and then stops the event loop.
func (c *Core) Drain() {
	if !c.drainingSince.IsZero() {
		c.drainsForSuccessor = false // now it is requested from outside
		return
	}
	c.drainingSince = time.Now()
	since := c.drainingSince
	c.log.Info("draining", "open", c.pendingCount)
	c.loop.After(lateArrivalWindow+time.Millisecond, func() {}) // an iteration in which quitWhenDrained runs
	c.loop.After(c.drainTimeout(), func() {
		if !c.drainingSince.Equal(since) {
			return // draining was called off
		}
		c.rejectPending()
	})
}

// rejectPending ends all pending calls because the controller stops.
func (c *Core) rejectPending() {
	for _, id := range c.pendingIDs() {
		k := c.calls[id]
		c.cancelCall(k)
		c.rejectCall(k, End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: c.holdOff()})
	}
}

// drainTimeout returns how long after SIGTERM the last pending calls are answered: killMargin before a SIGKILL that may
// follow.
func (c *Core) drainTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.decisions.Classes {
		longest = max(longest, class.Deadline)
	}
	maxDeadline := killMaxDeadline
	if c.Superseded() {
		maxDeadline = killMaxDeadlineSuperseded
	}
	return min(longest, maxDeadline) + killGrace - killMargin
}

// frontsIdle reports whether no front has unread input or undelivered output.
func (c *Core) frontsIdle() bool {
	return !slices.ContainsFunc(c.fronts, func(f Front) bool { return !f.Idle() })
}

// pendingIDs returns the sorted ids of all pending calls.
func (c *Core) pendingIDs() []string {
	var ids []string
	for id, k := range c.calls {
		if k.state == pending {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// quitWhenDrained stops the event loop of a draining controller once no call is pending, no set-up can arrive any more,
// and the fronts are idle: if the process got no CPU time, a set-up that arrived in time may still be unread, and the
// end of a call may still wait for its caller to connect.
func (c *Core) quitWhenDrained() {
	if c.drainingSince.IsZero() || c.quitting || c.pendingCount > 0 {
		return
	}
	if since := time.Since(c.drainingSince); since > lateArrivalWindow && !c.hasOpenConnections() && (c.frontsIdle() || since > c.drainTimeout()) {
		c.quitting = true
		c.log.Info("served out")
		c.loop.Quit()
	}
}
