package call

import (
	"iter"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/subset"
)

const (
	// sliceTime is how long a change of the list may occupy the loop at a time; the rest is applied in the next
	// iterations.
	sliceTime = time.Millisecond
	// sliceCheckInterval is the number of entries after which the clock is checked.
	sliceCheckInterval = 16
	// maxWindowWait is how long a call may wait for a window before more dispatchers are added to the subset for it.
	maxWindowWait = 50 * time.Millisecond
	// growthInterval is the least time between two growths for waiting calls: the first must have time to take effect.
	growthInterval = 50 * time.Millisecond
	// reachTimeout is how long no dispatcher of the subset may have been reached after the first list before more are
	// added.
	reachTimeout = 500 * time.Millisecond
	// shrinkIntervalShare is the interval between attempts to shrink the subset, as a share of shrinkAfter.
	shrinkIntervalShare = 0.25
)

// selection filters the updates passed to Core.Update. It holds the whole list, and announces only a subset of it to
// the module and the connections. A dispatcher that leaves the subset is announced as removed with its calls
// continuing: it gets no new calls, and its established calls go on. While the list is no longer than the subset's
// size, updates are passed on unchanged. Its methods do nothing on a nil selection. It runs on the loop.
type selection struct {
	core           *Core
	size           int
	shrinkAfter    time.Duration
	subset         *subset.Subset
	entries        map[control.ServerID]Server // the whole list
	announced      map[control.ServerID]bool   // announced to the module and the connections as listed
	retained       map[control.ServerID]bool   // announced as removed, with calls continuing
	queue          []*listChange               // updates in progress, in the order of their arrival
	removed        []Server                    // announced ones that the list has removed since the last announcement
	changed        []control.ServerID          // to be announced again
	coveredList    bool                        // the subset was the whole list at the last announcement
	listApplied    bool                        // a complete list has been applied
	waiting        map[*record]time.Duration   // pending calls without an attempt, and since when they could have had one
	attemptRefused bool                        // an attempt was refused since the last call of growIfNeeded
	nextGrowth     time.Duration               // the subset does not grow for waiting calls before that
	shrinkTimer    *Timer
	nodes          int // as last passed to the module
}

// listChange is an update that is applied in slices.
type listChange struct {
	Update
	next        int // index in Servers
	named       map[control.ServerID]bool
	absentKnown bool               // absent has been computed
	absent      []control.ServerID // listed servers that a complete list does not name
	applied     func()             // called when the change has been applied and announced, unless it is nil
}

// UseSubset makes the core connect to a subset of the list only. It must be called before the first list arrives; the
// options must pass their Check.
func (c *Core) UseSubset(o subset.Options) {
	o = o.WithDefaults()
	c.selection = &selection{
		core: c, size: o.Size, shrinkAfter: o.ShrinkAfter, subset: subset.New(o), entries: map[control.ServerID]Server{}, coveredList: true,
		announced: map[control.ServerID]bool{}, retained: map[control.ServerID]bool{}, waiting: map[*record]time.Duration{},
		nodes: c.decisions.Nodes,
	}
	c.AddMetrics(c.selection.metrics)
}

// listedServer returns the list's entry of a dispatcher, whether it is in the subset or not.
func (c *Core) listedServer(id control.ServerID) (Server, bool) {
	if entry, known := c.knownServers[id]; known || c.selection == nil {
		return entry, known
	}
	entry, known := c.selection.entries[id]
	return entry, known
}

// coversList reports whether the subset is the whole list.
func (s *selection) coversList() bool { return s == nil || len(s.entries) <= s.size }

// update applies a list, or changes to it, and announces the result to the core. It returns false, and does nothing,
// without a subset.
func (s *selection) update(u Update) bool {
	if s == nil {
		return false
	}
	if len(s.queue) == 0 && s.fits(u) {
		s.passThrough(u)
		return true
	}
	c := &listChange{Update: u}
	if u.Complete {
		c.named = make(map[control.ServerID]bool, len(u.Servers))
	}
	if len(s.queue) == 0 {
		c.Servers = s.announcedFirst(u.Servers)
	}
	if s.queue = append(s.queue, c); len(s.queue) == 1 {
		s.processQueue()
	}
	return true
}

// afterUpdates calls f once the updates that have arrived are applied.
func (s *selection) afterUpdates(f func()) {
	if s == nil || len(s.queue) == 0 {
		f()
		return
	}
	s.queue = append(s.queue, &listChange{applied: f})
}

// unannounced returns the listed dispatchers that are not announced, in no particular order.
func (s *selection) unannounced() iter.Seq[Server] {
	return func(yield func(Server) bool) {
		if s == nil {
			return
		}
		for id, entry := range s.entries {
			if !s.announced[id] && !yield(entry) {
				return
			}
		}
	}
}

// announcedFirst moves the entries of announced dispatchers to the front, so that a drain does not wait behind thousands
// of others.
func (s *selection) announcedFirst(servers []Server) []Server {
	first, rest := make([]Server, 0, len(servers)), make([]Server, 0, len(servers))
	for _, e := range servers {
		if s.announced[e.ID] {
			first = append(first, e)
		} else {
			rest = append(rest, e)
		}
	}
	return append(first, rest...)
}

// fits reports whether the subset is the whole list, and stays so after the update.
func (s *selection) fits(u Update) bool {
	if !s.coversList() || len(u.Servers) > 2*s.size {
		return false
	}
	n := len(s.entries)
	if u.Complete {
		n = 0
	}
	for _, e := range u.Servers {
		_, known := s.entries[e.ID]
		switch {
		case e.Status != control.Removed && (u.Complete || !known):
			n++
		case e.Status == control.Removed && known && !u.Complete:
			n--
		}
	}
	return n <= s.size
}

// passThrough applies an update that is passed on unchanged.
func (s *selection) passThrough(u Update) {
	named := map[control.ServerID]bool{}
	for _, e := range u.Servers {
		named[e.ID] = true
		s.applyEntry(e)
	}
	for id := range s.entries {
		if u.Complete && !named[id] {
			s.forget(id)
		}
	}
	s.removed, s.changed = nil, nil
	s.subset.Changes()
	for id := range s.entries {
		s.announced[id] = true
	}
	s.listApplied = s.listApplied || u.Complete
	s.core.receiveUpdate(u)
	s.updateNodes()
}

// processQueue applies queued updates for at most sliceTime, and schedules the rest for the next iteration.
func (s *selection) processQueue() {
	deadline := time.Now().Add(sliceTime)
	var applied []func()
	for len(s.queue) > 0 && s.advance(s.queue[0], deadline) {
		s.listApplied = s.listApplied || s.queue[0].Complete
		if f := s.queue[0].applied; f != nil {
			applied = append(applied, f)
		}
		s.queue = s.queue[1:]
	}
	if s.core.listReceived || s.listApplied || len(s.queue) == 0 {
		s.announceChanges()
	}
	s.core.verifyRecovered(nil) // of dispatchers outside the subset nothing was announced
	for _, f := range applied {
		f()
	}
	if len(s.queue) > 0 {
		s.core.loop.Post(s.processQueue)
	}
}

// advance continues one update. It stops at the deadline, and reports whether the update is complete.
func (s *selection) advance(c *listChange, deadline time.Time) (done bool) {
	late := func(i int) bool { return i%sliceCheckInterval == sliceCheckInterval-1 && time.Now().After(deadline) }
	for c.next < len(c.Servers) {
		e := c.Servers[c.next]
		if c.named != nil {
			c.named[e.ID] = true
		}
		s.applyEntry(e)
		if c.next++; late(c.next) {
			return false
		}
	}
	if c.Complete && !c.absentKnown {
		for id := range s.entries {
			if !c.named[id] {
				c.absent = append(c.absent, id)
			}
		}
		slices.Sort(c.absent)
		c.absentKnown = true
	}
	for len(c.absent) > 0 {
		s.applyEntry(Server{ServerEntry: control.ServerEntry{ID: c.absent[0], Status: control.Removed}})
		if c.absent = c.absent[1:]; late(len(c.absent)) {
			return false
		}
	}
	return true
}

// applyEntry applies one entry of the list.
func (s *selection) applyEntry(e Server) {
	old, known := s.entries[e.ID]
	if e.Address == "" {
		e.Address = old.Address // changes may omit the address
	}
	if e.Status == control.Removed {
		if s.announced[e.ID] || s.retained[e.ID] {
			s.removed = append(s.removed, e)
		}
		s.forget(e.ID)
		return
	}
	if known && e == old {
		return
	}
	s.entries[e.ID] = e
	s.subset.Put(subset.Entry{ID: e.ID, Zone: e.Zone, Cell: e.Cell, Active: e.Status == control.Active})
	if s.announced[e.ID] || s.retained[e.ID] && (e.StartedAt != old.StartedAt || e.Address != old.Address) {
		s.changed = append(s.changed, e.ID)
	}
}

// forget drops a dispatcher that the list has removed.
func (s *selection) forget(id control.ServerID) {
	delete(s.entries, id)
	delete(s.announced, id)
	delete(s.retained, id)
	s.subset.Remove(id)
}

// announceChanges announces to the module and the connections what has changed.
func (s *selection) announceChanges() {
	joined, left := s.subset.Changes()
	s.changed = slices.Concat(s.changed, joined, left)
	if covers := s.coversList(); covers != s.coveredList {
		s.coveredList = covers
		for id := range s.entries {
			if covers && !s.announced[id] { // one that was outside the subset, as it drains, is announced like any other again
				s.changed = append(s.changed, id)
			}
		}
	}
	slices.Sort(s.changed)
	u := Update{Servers: s.removed}
	for _, id := range slices.Compact(s.changed) {
		if e, ok := s.announce(id); ok {
			u.Servers = append(u.Servers, e)
		}
	}
	s.removed, s.changed = nil, nil
	if s.listApplied && !s.core.listReceived {
		u = s.firstList()
	}
	if u.Complete || len(u.Servers) > 0 {
		s.core.receiveUpdate(u)
	}
	s.updateNodes()
}

// announce returns what is to be announced of a listed dispatcher, if anything.
func (s *selection) announce(id control.ServerID) (Server, bool) {
	e, listed := s.entries[id]
	switch {
	case !listed:
		return e, false
	case s.coversList() || s.subset.Has(id) || s.announced[id] && e.Status != control.Active:
		s.announced[id] = true
		delete(s.retained, id)
		return e, true
	case s.announced[id] || s.retained[id]:
		delete(s.announced, id)
		s.retained[id] = true
		return asRetained(e), true
	}
	return e, false
}

// asRetained returns the entry of a dispatcher that leaves the subset.
func asRetained(e Server) Server {
	e.Status, e.CallsContinue = control.Removed, true
	return e
}

// firstList returns the first complete list for the core.
func (s *selection) firstList() Update {
	u := Update{Complete: true}
	for id := range s.announced {
		u.Servers = append(u.Servers, s.entries[id])
	}
	slices.SortFunc(u.Servers, func(a, b Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.core.loop.After(reachTimeout, s.growUntilReached)
	s.core.loop.Post(func() { // calls of the previous process may be established at any dispatcher
		for _, k := range s.core.calls {
			if k.state == established {
				s.retain(k.server)
			}
		}
	})
	return u
}

// retain announces a listed dispatcher outside the subset as one with calls, so that their ends are received.
func (s *selection) retain(id control.ServerID) {
	if s.coversList() || s.announced[id] {
		return
	}
	if e, listed := s.entries[id]; listed {
		s.retained[id] = true
		s.core.applyUpdate(Update{Servers: []Server{asRetained(e)}})
	}
}

// includeForRelease adds a listed dispatcher to the subset for some time, so that a call of the previous process can be
// released there.
func (s *selection) includeForRelease(id control.ServerID) {
	if s.coversList() || s.announced[id] {
		return
	}
	if e, listed := s.entries[id]; listed {
		s.subset.UseCell(s.core.now(), e.Cell)
		s.announceNeed()
	}
}
