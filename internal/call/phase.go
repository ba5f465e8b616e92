package call

import "time"

// Phase is how far a controller has withdrawn from its callers. Fronts look at it.
type Phase int

// The phases, in their order. A controller that evacuates passes through all of them.
const (
	Serving  Phase = iota
	Leaving        // not ready, but what still arrives is taken
	Closing        // connections that are owed nothing are closed
	Refusing       // new set-ups are refused as well, so that the other connections empty
)

const (
	// acceptAllPeriod is how long after an evacuation began all is taken: newcomers arrive for 0.2 s after the first no, which
	// is asked for each 0.1 s.
	acceptAllPeriod = 600 * time.Millisecond
	// refusalDelay is when new set-ups are refused. What was taken before is still answered; by 4 s no connection may
	// have a set-up of the last 2 s.
	refusalDelay = 1200 * time.Millisecond
	// evacuationHoldOff is when callers may come back who are refused by a controller that withdraws: others serve them at once.
	evacuationHoldOff = 100 * time.Millisecond
)

// Phase is that of now.
func (c *Core) Phase() Phase {
	if c.Superseded() {
		if time.Since(c.supersededAt) < refusalDelay {
			return Closing
		}
		return Refusing
	}
	if c.evacuatedAt.IsZero() {
		return Serving
	}
	switch age := time.Since(c.evacuatedAt); {
	case age < acceptAllPeriod:
		return Leaving
	case age < refusalDelay:
		return Closing
	}
	return Refusing
}

// Ready reports whether callers can be served: a list has come, a dispatcher was reached, and neither an evacuation nor
// a restart is under way. Whoever asks, callers or operators, is told by this.
func (c *Core) Ready() bool {
	return c.placesCalls() && !c.awaitsPredecessor && c.drainingSince.IsZero() && c.Phase() == Serving
}

// placesCalls reports whether calls can be placed.
func (c *Core) placesCalls() bool { return c.listReceived && c.reached }

// DispatcherReached tells that calls can be placed at some dispatcher.
func (c *Core) DispatcherReached() { c.reached = true }

// Evacuate sends callers away. Calls that stand go on, and the process stays up for a Rejoin.
func (c *Core) Evacuate() {
	if c.evacuatedAt.IsZero() {
		c.evacuatedAt = time.Now()
		c.log.Info("evacuating", "open", c.pendingCount)
	}
}

// Rejoin takes callers again, at whatever point of an evacuation.
func (c *Core) Rejoin() {
	if !c.evacuatedAt.IsZero() {
		c.evacuatedAt = time.Time{}
		c.log.Info("back to work", "open", c.pendingCount)
	}
}

// evacuationEnd is the end of a set-up that comes while the controller withdraws.
func (c *Core) evacuationEnd() End {
	return End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: min(c.holdOff(), evacuationHoldOff)}
}
