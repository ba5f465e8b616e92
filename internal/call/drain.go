package call

import (
	"slices"
	"time"
)

// How a controller serves out what it has taken, and ends.

// Drain serves out what was taken and then ends the loop.
func (c *Core) Drain() {
	if !c.draining.IsZero() {
		c.byItself = false // now it is asked for
		return
	}
	c.draining = time.Now()
	since := c.draining
	c.log.Info("draining", "open", c.owed)
	c.loop.After(lateArrivals+time.Millisecond, func() {}) // a turn in which to leave
	c.loop.After(c.endsWithin(), func() {
		if !c.draining.Equal(since) {
			return // it serves again
		}
		for _, id := range c.allOpen() {
			k := c.calls[id]
			c.abandon(k)
			c.final(k, End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: c.holdOff()})
		}
	})
}

// endsWithin is how long after SIGTERM everything is answered, in reserve before the SIGKILL that may follow.
func (c *Core) endsWithin() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.decisions.Classes {
		longest = max(longest, class.Deadline)
	}
	most := killMost
	if c.Superseded() {
		most = killMostSuperseded
	}
	return min(longest, most) + killAfter - inReserve
}

// quiet reports whether callers have sent nothing that is not taken in yet.
func (c *Core) quiet() bool {
	return !slices.ContainsFunc(c.fronts, func(f Front) bool { return !f.Idle() })
}

func (c *Core) allOpen() []string {
	var ids []string
	for id, k := range c.calls {
		if k.state == open {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// leave ends the loop of a controller that drains once nothing is owed, nothing new can arrive, and what has arrived is taken in: a
// set-up may have come in time and lie unread, if this process had to wait for its core. The end of a call may wait for its caller to connect.
func (c *Core) leave() {
	if c.draining.IsZero() || c.left || c.owed > 0 {
		return
	}
	if since := time.Since(c.draining); since > lateArrivals && !c.keepsCallers() && (c.quiet() || since > c.endsWithin()) {
		c.left = true
		c.log.Info("served out")
		c.loop.Quit()
	}
}
