package call

import (
	"slices"

	"cherryrelay/control"
)

// This file handles the list of dispatchers.

// Update applies a list of dispatchers, or changes to it.
func (c *Core) Update(u Update) {
	if !c.selection.update(u) {
		c.receiveUpdate(u)
	}
}

// receiveUpdate applies an update that the list has received, and checks the calls of other processes against it.
func (c *Core) receiveUpdate(u Update) {
	c.verifyRecovered(c.applyUpdate(u))
	c.forgetAdoptedDispatchers()
}

// applyUpdate passes an update on to the module and the connections. It returns the entries that the update removes.
func (c *Core) applyUpdate(u Update) (removed map[control.ServerID]Server) {
	removed = map[control.ServerID]Server{}
	named := map[control.ServerID]bool{}
	entries := make([]control.ServerEntry, 0, len(u.Servers))
	var added []control.ServerID // at an address of which the list did not know
	for _, s := range u.Servers {
		entries = append(entries, s.ServerEntry)
		old := c.knownServers[s.ID]
		if s.Address == "" {
			s.Address = old.Address
		}
		if s.Status != control.Removed && s.Address != old.Address {
			added = append(added, s.ID)
		}
		if s.Status == control.Removed {
			removed[s.ID] = s
		}
		named[s.ID] = true
		c.knownServers[s.ID] = s
		delete(c.adoptedDispatchers, s.ID)
		c.setStatus(s.ID, s.Status) // also drops the entry of a removed dispatcher
	}
	if u.Complete {
		var missing []control.ServerID
		for id := range c.serverStatus {
			if !named[id] {
				missing = append(missing, id)
			}
		}
		slices.Sort(missing)
		for _, id := range missing {
			c.setStatus(id, control.Removed)
			removed[id] = Server{ServerEntry: control.ServerEntry{ID: id, Status: control.Removed}}
		}
		c.listReceived = true
	}
	c.dispatchers.Update(u)
	c.sendUnplacedReleases(added)
	c.queueEvent(control.ListReceived{Entries: entries, Whole: u.Complete})
	return removed
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
