package call

import (
	"slices"
	"time"
)

// How a controller serves out what it has taken, and ends.

// Drain serves out what was taken and then ends the loop.
func (c *Core) Drain() {
	if !c.drainingSince.IsZero() {
		c.drainsForSuccessor = false // now it is asked for
		return
	}
	c.drainingSince = time.Now()
	since := c.drainingSince
	c.log.Info("draining", "open", c.pendingCount)
	c.loop.After(lateArrivalWindow+time.Millisecond, func() {}) // a turn in which to leave
	c.loop.After(c.drainTimeout(), func() {
		if !c.drainingSince.Equal(since) {
			return // it serves again
		}
		for _, id := range c.pendingIDs() {
			k := c.calls[id]
			c.cancelCall(k)
			c.rejectCall(k, End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: c.holdOff()})
		}
	})
}

// drainTimeout is how long after SIGTERM everything is answered, in reserve before the SIGKILL that may follow.
func (c *Core) drainTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.decisions.Classes {
		longest = max(longest, class.Deadline)
	}
	most := killMaxDeadline
	if c.Superseded() {
		most = killMaxDeadlineSuperseded
	}
	return min(longest, most) + killGrace - killMargin
}

// frontsIdle reports whether callers have sent nothing that is not taken in yet.
func (c *Core) frontsIdle() bool {
	return !slices.ContainsFunc(c.fronts, func(f Front) bool { return !f.Idle() })
}

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

// quitWhenDrained ends the loop of a controller that drains once nothing is owed, nothing new can arrive, and what has arrived is taken in: a
// set-up may have come in time and lie unread, if this process had to wait for its core. The end of a call may wait for its caller to connect.
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
