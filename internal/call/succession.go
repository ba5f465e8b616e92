package call

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/endlog"
)

const (
	// serveOut is how long after its successor began to serve a process that nobody ends goes on before it ends itself.
	serveOut = 2 * time.Second
	// emptyWithin bounds how long one that ends waits for the connections that are left: nothing is owed on them.
	emptyWithin = 2500 * time.Millisecond
)

// AwaitPredecessor has the core take no callers while a predecessor serves them: it is not ready until Begin.
func (c *Core) AwaitPredecessor() { c.waits = true }

// AwaitsPredecessor reports whether a predecessor still serves.
func (c *Core) AwaitsPredecessor() bool { return c.waits }

// CanPlaceCalls reports whether calls can be placed, so that Begin may come.
func (c *Core) CanPlaceCalls() bool { return c.able() }

// StartServing ends Await.
func (c *Core) StartServing() { c.waits = false }

// Supersede tells that a successor serves callers now. Set-ups that were taken are answered here, ends of calls are told
// through relay, as long as it takes them, and then the process ends.
func (c *Core) Supersede(relay func(id string, end End) bool) {
	c.superseded, c.relay = time.Now(), relay
	since := c.superseded
	c.log.Info("a successor serves", "open", c.owed)
	c.loop.After(serveOut, func() { c.endForSuccessor(since) })
}

// endForSuccessor ends a process that has had the successor since then, and that nobody has asked to end.
func (c *Core) endForSuccessor(since time.Time) {
	if c.superseded.Equal(since) && c.draining.IsZero() {
		c.Drain()
		c.byItself = true
	}
}

// SuccessorEnded takes callers again: the successor is no more.
func (c *Core) SuccessorEnded() {
	if c.Superseded() {
		c.superseded, c.relay = time.Time{}, nil
		if c.byItself && !c.left {
			c.byItself, c.draining = false, time.Time{}
		}
		c.log.Warn("the successor is no more")
	}
}

// Superseded reports whether a successor serves.
func (c *Core) Superseded() bool { return !c.superseded.IsZero() }

// keepsCallers reports whether a superseded process that ends still has connections on which something may arrive.
func (c *Core) keepsCallers() bool {
	return c.Superseded() && time.Since(c.draining) < emptyWithin &&
		slices.ContainsFunc(c.fronts, func(f Front) bool { return f.Connections() > 0 })
}

// tellOver tells a caller that a call that stood has ended; with a successor, that one does, as callers are there.
func (c *Core) tellOver(caller Caller, id string, end End) {
	if !c.RelayToSuccessor(id, end) {
		caller.NotifyTerminated(id, end)
	}
}

// RelayToSuccessor leaves the end of a call to the successor, and reports whether that has taken it. It is false without one.
func (c *Core) RelayToSuccessor(id string, end End) bool {
	if c.relay != nil && c.relay(id, end) {
		endlog.Call(c.log, endlog.ToSuccessor, id)
		return true
	}
	return false
}

// EachEstablishedCall calls f for each call that stands, in the order of their ids.
func (c *Core) EachEstablishedCall(f func(id string, server control.ServerID)) {
	var ids []string
	for id, k := range c.calls {
		if k.state == stands {
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
		c.calls[id] = &record{Request: Request{ID: id, Caller: c.heir}, state: stands, server: server, attempts: 1, sentAt: time.Now()}
		c.standing[c.heir]++
		c.selection.keep(server)
	}
}

// heir stands in for the callers of calls from another process: they are on whatever connection there is.
type heir struct{ core *Core }

func (h *heir) Answer(string, string) error { return nil } // none of its calls is open
func (h *heir) End(string, End)             {}
func (h *heir) Disconnected() bool          { return false }

func (h *heir) NotifyTerminated(id string, end End) {
	for _, f := range h.core.fronts {
		f.Release(id, end)
	}
}
