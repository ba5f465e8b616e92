package pool

import "cherryrelay/control"

// Fold combines updates that follow each other into one with the same result. Members are in the order in which they were first named. A
// member that was removed on the way is kept as Removed, as its removal is certain, while one that is missing may just be unknown yet.
func Fold(updates []Update) Update {
	if len(updates) == 1 {
		return updates[0]
	}
	f := folder{positions: map[control.ServerID]int{}}
	for _, u := range updates {
		f.add(u)
	}
	return f.result
}

// folder combines updates.
type folder struct {
	result    Update
	positions map[control.ServerID]int // of the members in result.Servers
}

func (f *folder) add(u Update) {
	if u.Complete {
		f.result.Complete = true
		f.removeUnnamed(u.Servers)
	}
	for _, m := range u.Servers {
		i, known := f.positions[m.ID]
		if !known {
			f.positions[m.ID] = len(f.result.Servers)
			f.result.Servers = append(f.result.Servers, m)
			continue
		}
		if m.Address == "" {
			m.Address = f.result.Servers[i].Address // a change may omit it
		}
		f.result.Servers[i] = m
	}
}

// removeUnnamed removes the members that a complete list does not name.
func (f *folder) removeUnnamed(named []Member) {
	listed := make(map[control.ServerID]bool, len(named))
	for _, m := range named {
		listed[m.ID] = true
	}
	for i := range f.result.Servers {
		if m := &f.result.Servers[i]; !listed[m.ID] {
			m.Status, m.CallsContinue = control.Removed, false
		}
	}
}
