package pool

import (
	"fmt"
	"slices"
	"strings"

	"cherryrelay/control"
)

// Change is what a set that comes into force changes, by name. A dispatcher may be in several of the lists.
type Change struct {
	Added      []control.ServerID `json:"added,omitempty"`
	Removed    []control.ServerID `json:"removed,omitempty"`
	Moved      []control.ServerID `json:"moved,omitempty"`     // another address: another process
	Restarted  []control.ServerID `json:"restarted,omitempty"` // a later start at the same address
	Reweighted []control.ServerID `json:"weighed,omitempty"`   // another weight
	Updated    []control.ServerID `json:"restated,omitempty"`  // another status, zone or group
}

// addDifference notes how a member differs from the one in force.
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
	for _, l := range c.lists() {
		slices.Sort(*l)
	}
}

// ids are all that the change names, each once, in order.
func (c *Change) ids() []control.ServerID {
	var all []control.ServerID
	for _, l := range c.lists() {
		all = append(all, *l...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Empty reports whether nothing changes.
func (c *Change) Empty() bool {
	return !slices.ContainsFunc(c.lists(), func(l *[]control.ServerID) bool { return len(*l) > 0 })
}

// maxChangeNames bounds how many names of each kind a kept change has: a set of 10,000 may change as a whole, and 64 such
// changes are kept.
const maxChangeNames = 20

// truncated is a copy with few names of each kind, to be kept, and the number of all.
func (c *Change) truncated() (Change, int) {
	var short Change
	to := short.lists()
	for i, l := range c.lists() {
		if n := min(len(*l), maxChangeNames); n > 0 {
			*to[i] = slices.Clone((*l)[:n])
		}
	}
	return short, len(c.ids())
}

// String is for people and logs.
func (c *Change) String() string {
	if c.Empty() {
		return "nothing changes"
	}
	var parts []string
	for i, l := range c.lists() {
		if len(*l) == 0 {
			continue
		}
		names := ""
		for j, id := range *l {
			if j == maxChangeNames {
				names += fmt.Sprintf(" and %d more", len(*l)-j)
				break
			}
			names += " " + string(id)
		}
		parts = append(parts, [...]string{"added", "removed", "moved", "restarted", "weighed", "restated"}[i]+names)
	}
	return strings.Join(parts, "; ")
}

// Compare tells how one set differs from another, as if it came into force after it.
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
