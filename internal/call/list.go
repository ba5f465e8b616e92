package call

import (
	"slices"

	"cherryrelay/control"
)

// What the list says of dispatchers.

// Update takes in the list of dispatchers, or changes to it.
func (c *Core) Update(u Update) {
	if !c.selection.update(u) {
		c.take(u)
	}
}

// take takes in what the module and the connections are to know of the list.
func (c *Core) take(u Update) {
	named := map[control.ServerID]bool{}
	entries := make([]control.ServerEntry, 0, len(u.Servers))
	for _, s := range u.Servers {
		named[s.ID] = true
		entries = append(entries, s.ServerEntry)
		if s.Address == "" {
			s.Address = c.places[s.ID].Address
		}
		c.places[s.ID] = s
		c.setStatus(s.ID, s.Status) // which forgets the place of one that is gone
	}
	if u.Complete {
		var gone []control.ServerID
		for id := range c.status {
			if !named[id] {
				gone = append(gone, id)
			}
		}
		slices.Sort(gone)
		for _, id := range gone {
			c.setStatus(id, control.Removed)
		}
		c.listed = true
	}
	c.dispatchers.Update(u)
	c.tell(control.ListReceived{Entries: entries, Whole: u.Complete})
	c.checkRecovered()
}

func (c *Core) setStatus(id control.ServerID, status control.ServerStatus) {
	if old, ok := c.status[id]; !ok && status != control.Removed || ok && old != status {
		c.log.Info("dispatcher", "server", id, "status", int(status))
	}
	if status == control.Removed {
		delete(c.status, id)
		c.forgetAsks(id)
		delete(c.places, id) // they come and go under new names all day
		return
	}
	c.status[id] = status
}

// active reports whether the list has a dispatcher as taking calls.
func (c *Core) active(id control.ServerID) bool {
	status, ok := c.status[id]
	return ok && status == control.Active
}
