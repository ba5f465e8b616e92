package call

import (
	"slices"

	"cherryrelay/control"
)

// This file handles the list of dispatchers.

// Update applies a list of dispatchers, or changes to it.
func (c *Core) Update(u Update) {
	if !c.selection.update(u) {
		c.applyUpdate(u)
	}
}

// applyUpdate passes an update on to the module and the connections.
func (c *Core) applyUpdate(u Update) {
	named := map[control.ServerID]bool{}
	entries := make([]control.ServerEntry, 0, len(u.Servers))
	for _, s := range u.Servers {
		named[s.ID] = true
		entries = append(entries, s.ServerEntry)
		if s.Address == "" {
			s.Address = c.knownServers[s.ID].Address
		}
		c.knownServers[s.ID] = s
		c.setStatus(s.ID, s.Status) // also drops the entry of a removed dispatcher
	}
	if u.Complete {
		var removed []control.ServerID
		for id := range c.serverStatus {
			if !named[id] {
				removed = append(removed, id)
			}
		}
		slices.Sort(removed)
		for _, id := range removed {
			c.setStatus(id, control.Removed)
		}
		c.listReceived = true
	}
	c.dispatchers.Update(u)
	c.queueEvent(control.ListReceived{Entries: entries, Whole: u.Complete})
	c.verifyRecovered()
}

// setStatus records the status of a dispatcher in the list, and drops what is kept of a removed one.
func (c *Core) setStatus(id control.ServerID, status control.ServerStatus) {
	if old, ok := c.serverStatus[id]; !ok && status != control.Removed || ok && old != status {
		c.log.Info("dispatcher", "server", id, "status", int(status))
	}
	if status == control.Removed {
		delete(c.serverStatus, id)
		c.forgetSetUpCount(id)
		delete(c.knownServers, id) // dispatchers come and go under new names all day
		return
	}
	c.serverStatus[id] = status
}

// isActive reports whether the list names a dispatcher as active.
func (c *Core) isActive(id control.ServerID) bool {
	status, ok := c.serverStatus[id]
	return ok && status == control.Active
}
