package call

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

const (
	// drainDelay is how long after its successor began to serve a process that nobody ends goes on before it ends itself.
	drainDelay = 2 * time.Second
	// connectionsTimeout bounds how long one that ends waits for the connections that are left: nothing is owed on them.
	connectionsTimeout = 2500 * time.Millisecond
)

// AwaitPredecessor has the core take no callers while a predecessor serves them: it is not ready until Begin.
func (c *Core) AwaitPredecessor() { c.awaitsPredecessor = true }

// AwaitsPredecessor reports whether a predecessor still serves.
func (c *Core) AwaitsPredecessor() bool { return c.awaitsPredecessor }

// CanPlaceCalls reports whether calls can be placed, so that Begin may come.
func (c *Core) CanPlaceCalls() bool { return c.placesCalls() }

// StartServing ends Await.
func (c *Core) StartServing() { c.awaitsPredecessor = false }

// Supersede tells that a successor serves callers now. Set-ups that were taken are answered here, ends of calls are told
// through relay, as long as it takes them, and then the process ends.
func (c *Core) Supersede(relay func(id string, end End) bool) {
	c.supersededAt, c.relayEnd = time.Now(), relay
	since := c.supersededAt
	c.log.Info("a successor serves", "open", c.pendingCount)
	c.loop.After(drainDelay, func() { c.drainForSuccessor(since) })
}

// drainForSuccessor ends a process that has had the successor since then, and that nobody has asked to end.
func (c *Core) drainForSuccessor(since time.Time) {
	if c.supersededAt.Equal(since) && c.drainingSince.IsZero() {
		c.Drain()
		c.drainsForSuccessor = true
	}
}

// SuccessorEnded takes callers again: the successor is no more.
func (c *Core) SuccessorEnded() {
	if c.Superseded() {
		c.supersededAt, c.relayEnd = time.Time{}, nil
		if c.drainsForSuccessor && !c.quitting {
			c.drainsForSuccessor, c.drainingSince = false, time.Time{}
		}
		c.log.Warn("the successor is no more")
	}
}

// Superseded reports whether a successor serves.
func (c *Core) Superseded() bool { return !c.supersededAt.IsZero() }

// hasOpenConnections reports whether a superseded process that ends still has connections on which something may arrive.
func (c *Core) hasOpenConnections() bool {
	return c.Superseded() && time.Since(c.drainingSince) < connectionsTimeout &&
		slices.ContainsFunc(c.fronts, func(f Front) bool { return f.Connections() > 0 })
}

// notifyTerminated tells a caller that a call that stood has ended; with a successor, that one does, as callers are there.
func (c *Core) notifyTerminated(caller Caller, id string, end End) {
	if !c.RelayToSuccessor(id, end) {
		caller.NotifyTerminated(id, end)
	}
}

// RelayToSuccessor leaves the end of a call to the successor, and reports whether that has taken it. It is false without one.
func (c *Core) RelayToSuccessor(id string, end End) bool {
	if c.relayEnd != nil && c.relayEnd(id, end) {
		endlog.Call(c.log, endlog.ToSuccessor, id)
		return true
	}
	return false
}

// EachEstablishedCall calls f for each call that stands, in the order of their ids.
func (c *Core) EachEstablishedCall(f func(id string, server control.ServerID)) {
	var ids []string
	for id, k := range c.calls {
		if k.state == established {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		f(id, c.calls[id].server)
	}
}

// Adopt takes over a call that stands, from a predecessor that ends.
func (c *Core) Adopt(id string, server control.ServerID) {
	if c.calls[id] == nil {
		c.calls[id] = &record{Request: Request{ID: id, Caller: c.unknownCaller}, state: established, server: server, attempts: 1, sentAt: time.Now()}
		c.establishedByCaller[c.unknownCaller]++
		c.selection.retain(server)
	}
}

// unknownCaller stands in for the callers of calls from another process: they are on whatever connection there is.
type unknownCaller struct{ core *Core }

func (h *unknownCaller) Answer(string, string) error { return nil } // none of its calls is open
func (h *unknownCaller) End(string, End)             {}
func (h *unknownCaller) Disconnected() bool          { return false }

func (h *unknownCaller) NotifyTerminated(id string, end End) {
	for _, f := range h.core.fronts {
		f.Release(id, end)
	}
}
