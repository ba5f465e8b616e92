package call

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/endlog"
)

const (
	// drainDelay is how long after its successor began to serve a process starts draining by itself.
	drainDelay = 2 * time.Second
	// connectionsTimeout bounds how long a draining process waits for its remaining connections, which have no pending
	// calls.
	connectionsTimeout = 2500 * time.Millisecond
)

// AwaitPredecessor keeps the core from serving callers while a predecessor does: it is not ready until StartServing.
func (c *Core) AwaitPredecessor() { c.awaitsPredecessor = true }

// AwaitsPredecessor reports whether a predecessor still serves.
func (c *Core) AwaitsPredecessor() bool { return c.awaitsPredecessor }

// CanPlaceCalls reports whether calls can be placed, so that StartServing may be called.
func (c *Core) CanPlaceCalls() bool { return c.placesCalls() }

// StartServing lets the core serve callers, after AwaitPredecessor.
func (c *Core) StartServing() { c.awaitsPredecessor = false }

// Supersede is called when a successor begins to serve callers. Set-ups accepted before are still answered here, ends of
// calls are sent through relay while the successor accepts them, and then the process drains.
func (c *Core) Supersede(relay func(id string, end End) bool) {
	c.supersededAt, c.relayEnd = time.Now(), relay
	since := c.supersededAt
	c.log.Info("a successor serves", "open", c.pendingCount)
	c.loop.After(drainDelay, func() { c.drainForSuccessor(since) })
}

// drainForSuccessor starts draining for the successor that began to serve at the given time, unless draining was
// requested already.
func (c *Core) drainForSuccessor(since time.Time) {
	if c.supersededAt.Equal(since) && c.drainingSince.IsZero() {
		c.Drain()
		c.drainsForSuccessor = true
	}
}

// SuccessorEnded is called when the successor has ended: this process serves callers again.
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

// hasOpenConnections reports whether a draining process with a successor still has connections on which messages may
// arrive.
func (c *Core) hasOpenConnections() bool {
	return c.Superseded() && time.Since(c.drainingSince) < connectionsTimeout &&
		slices.ContainsFunc(c.fronts, func(f Front) bool { return f.Connections() > 0 })
}

// notifyTerminated notifies a caller of the end of an established call, through the successor if there is one, as
// callers are connected there.
func (c *Core) notifyTerminated(caller Caller, id string, end End) {
	if !c.RelayToSuccessor(id, end) {
		caller.NotifyTerminated(id, end)
	}
}

// RelayToSuccessor passes the end of a call to the successor, and reports whether the successor has accepted it.
// Without one, it returns false.
func (c *Core) RelayToSuccessor(id string, end End) bool {
	if c.relayEnd != nil && c.relayEnd(id, end) {
		endlog.Call(c.log, endlog.EndHandedToSuccessor, id)
		return true
	}
	return false
}

// EachEstablishedCall calls f for each established call, in the order of the ids, with the process of its dispatcher as far as it is known.
func (c *Core) EachEstablishedCall(f func(id string, at Server)) {
	var ids []string
	for id, k := range c.calls {
		if k.state == established {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		k := c.calls[id]
		address, started := c.processOf(k)
		f(id, Server{Address: address, ServerEntry: control.ServerEntry{ID: k.server, StartedAt: started}})
	}
}

// Adopt takes over an established call of a predecessor that ends.
func (c *Core) Adopt(id string, at Server) {
	if c.calls[id] != nil {
		return
	}
	k := &record{Request: Request{ID: id, Caller: c.unknownCaller}, state: established, server: at.ID, attempts: 1, sentAt: time.Now()}
	c.calls[id] = k
	c.establishedByCaller[c.unknownCaller]++
	c.selection.retain(at.ID)
	if at.Address == "" { // not known to the predecessor, or of an earlier version
		return
	}
	k.fromPredecessor = true
	k.restored = &recovery.Call{Event: recovery.Event{ID: id}, State: recovery.StateEstablished, Attempts: 1, Server: string(at.ID),
		Address: at.Address, ServerStarted: at.StartedAt, LastEventAt: c.now()}
	c.recoverAndVerify(func() { c.unverified = append(c.unverified, k) })
}

// unknownCaller is the Caller of calls of another process: their callers may be on any connection.
type unknownCaller struct{ core *Core }

func (u *unknownCaller) Answer(string, string) error { return nil } // none of its calls is pending
func (u *unknownCaller) End(string, End)             {}
func (u *unknownCaller) Disconnected() bool          { return false }

func (u *unknownCaller) NotifyTerminated(id string, end End) {
	for _, f := range u.core.fronts {
		f.Release(id, end)
	}
}
