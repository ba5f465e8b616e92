package call

import "time"

// Phase is how far a controller has withdrawn from its callers, in an evacuation or in favour of a successor. Fronts
// act on it.
type Phase int

// The phases, in order. An evacuating controller passes through all of them.
const (
	Serving  Phase = iota
	Leaving        // not ready, but new set-ups are still accepted
	Closing        // connections without pending calls are closed
	Refusing       // new set-ups are refused too, so that the other connections become idle
)

const (
	// acceptAllPeriod is how long after the start of an evacuation all connections and set-ups are accepted. New ones
	// arrive for up to 0.2 s after the first negative readiness check, and readiness is checked every 0.1 s.
	acceptAllPeriod = 600 * time.Millisecond
	// refusalDelay is the time from that start until new set-ups are refused. Set-ups accepted earlier are still
	// answered; after 4 s, no connection may have a set-up from the last 2 s.
	refusalDelay = 1200 * time.Millisecond
	// evacuationHoldOff is the hold-off in refusals by a controller that withdraws: other controllers serve the callers
	// at once.
	evacuationHoldOff = 100 * time.Millisecond
)

// Phase returns the current phase.
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

// Ready reports whether callers can be served: a list has been received, a dispatcher was reached, and neither an
// evacuation nor a restart is in progress. Callers and operators get the same result.
func (c *Core) Ready() bool {
	return c.placesCalls() && !c.awaitsPredecessor && c.drainingSince.IsZero() && c.Phase() == Serving
}

// placesCalls reports whether calls can be placed.
func (c *Core) placesCalls() bool { return c.listReceived && c.reached }

// DispatcherReached records that calls can be placed at some dispatcher.
func (c *Core) DispatcherReached() { c.reached = true }

// Evacuate makes callers move to other controllers. Established calls go on, and the process keeps running so that
// Rejoin can be called.
func (c *Core) Evacuate() {
	if c.evacuatedAt.IsZero() {
		c.evacuatedAt = time.Now()
		c.log.Info("evacuating", "open", c.pendingCount)
	}
}

// Rejoin serves callers again, in any phase of an evacuation.
func (c *Core) Rejoin() {
	if !c.evacuatedAt.IsZero() {
		c.evacuatedAt = time.Time{}
		c.log.Info("back to work", "open", c.pendingCount)
	}
}

// evacuationEnd returns the final answer to a set-up that is refused because the controller withdraws.
func (c *Core) evacuationEnd() End {
	return End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: min(c.holdOff(), evacuationHoldOff)}
}
