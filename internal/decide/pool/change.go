package pool

import (
	"fmt"
	"slices"
	"strings"

	"cherryrelay/control"
)

// Change lists the dispatchers that a new active set changes. A dispatcher may be in several of the lists.
type Change struct {
	Added      []control.ServerID `json:"added,omitempty"`
	Removed    []control.ServerID `json:"removed,omitempty"`
	Moved      []control.ServerID `json:"moved,omitempty"`     // the address changed, so it is another process
	Restarted  []control.ServerID `json:"restarted,omitempty"` // restarted at the same address
	Reweighted []control.ServerID `json:"weighed,omitempty"`   // the weight changed
	Updated    []control.ServerID `json:"restated,omitempty"`  // the status, zone or group changed
}

// addDifference adds the differences between an active entry and its replacement. old is nil for a new dispatcher.
func (c *Change) addDifference(old, e *entry) {
	id := e.ID
	if old == nil {
		c.Added = append(c.Added, id)
		return
	}
	switch {
	case old.Address != e.Address:
		c.Moved = append(c.Moved, id)
	case old.StartedAt != e.StartedAt:
		c.Restarted = append(c.Restarted, id)
	}
	if old.Weight != e.Weight {
		c.Reweighted = append(c.Reweighted, id)
	}
	if old.Status != e.Status || old.Zone != e.Zone || old.Cell != e.Cell {
		c.Updated = append(c.Updated, id)
	}
}

func (c *Change) lists() []*[]control.ServerID {
	return []*[]control.ServerID{&c.Added, &c.Removed, &c.Moved, &c.Restarted, &c.Reweighted, &c.Updated}
}

func (c *Change) sort() {
	for _, list := range c.lists() {
		slices.Sort(*list)
	}
}

// ids returns the sorted names of all changed dispatchers, each once.
func (c *Change) ids() []control.ServerID {
	var all []control.ServerID
	for _, list := range c.lists() {
		all = append(all, *list...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Empty reports whether nothing changes.
func (c *Change) Empty() bool {
	return !slices.ContainsFunc(c.lists(), func(list *[]control.ServerID) bool { return len(*list) > 0 })
}

// maxChangeNames limits the names of each kind in a stored or printed change. A set of 10,000 dispatchers may change as a
// whole, and 64 such changes are kept.
const maxChangeNames = 20

// truncated returns a copy with at most maxChangeNames names of each kind, and the number of all changed dispatchers.
func (c *Change) truncated() (Change, int) {
	var shortened Change
	to := shortened.lists()
	for i, list := range c.lists() {
		if n := min(len(*list), maxChangeNames); n > 0 {
			*to[i] = slices.Clone((*list)[:n])
		}
	}
	return shortened, len(c.ids())
}

// String describes the change for logs and operators.
func (c *Change) String() string {
	if c.Empty() {
		return "nothing changes"
	}
	var parts []string
	for i, list := range c.lists() {
		if len(*list) == 0 {
			continue
		}
		names := ""
		for j, id := range *list {
			if j == maxChangeNames {
				names += fmt.Sprintf(" and %d more", len(*list)-j)
				break
			}
			names += " " + string(id)
		}
		parts = append(parts, [...]string{"added", "removed", "moved", "restarted", "weighed", "restated"}[i]+names)
	}
	return strings.Join(parts, "; ")
}

// Compare returns how one set differs from another, as if it became active after it.
func Compare(before, after []Member) Change {
	old := make(map[control.ServerID]*entry, len(before))
	for _, m := range before {
		if m.Status != control.Removed {
			old[m.ID] = &entry{Member: m}
		}
	}
	var change Change
	for _, m := range after {
		if m.Status == control.Removed {
			continue
		}
		change.addDifference(old[m.ID], &entry{Member: m})
		delete(old, m.ID)
	}
	for id := range old {
		change.Removed = append(change.Removed, id)
	}
	change.sort()
	return change
}
