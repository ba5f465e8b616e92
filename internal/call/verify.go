package call

import "cherryrelay/internal/decide/recovery"

// This file checks the calls of other processes against the list of dispatchers.

// verifyRecovered checks recovered established calls against the list once there is one, and releases calls that must
// not be established.
func (c *Core) verifyRecovered() {
	if !c.listReceived {
		return
	}
	for _, k := range c.pendingReleases {
		c.selection.includeForRelease(k.server)
		c.dispatchers.Release("", k.ID, CauseNormal) // at all dispatchers: the last known one may not be the only one
	}
	c.pendingReleases = nil
	unverified := c.unverified
	c.unverified = nil
	for _, k := range unverified {
		if k.state != established || k.restored == nil {
			continue
		}
		entry, listed := c.listedServer(k.server)
		if ok, why := k.restored.MayStillBeEstablished(recovery.ListEntry{Address: entry.Address, Started: entry.StartedAt, Listed: listed}); !ok {
			c.log.Info("call of the previous process is cut", "id", k.ID, "server", k.server, "why", why)
			c.recovered.Cut++
			c.terminate(k, CauseTemporary, nil)
			continue
		}
		c.selection.retain(k.server)
	}
}

// ContinuesAt reports whether a call of another process is known to be established at the process of its dispatcher that a
// new entry of the list describes.
func (c *Core) ContinuesAt(entry Server, id string) bool {
	k := c.calls[id]
	if k == nil || k.restored == nil || k.restored.Address != entry.Address {
		return false
	}
	ok, _ := k.restored.MayStillBeEstablished(listEntry(entry))
	return ok
}

// listEntry returns the entry of a listed dispatcher in the form that the recovery decisions use.
func listEntry(entry Server) recovery.ListEntry {
	return recovery.ListEntry{Address: entry.Address, Started: entry.StartedAt, Listed: true}
}
