package call

import (
	"math"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/decide/subset"
	"cherryrelay/internal/telemetry"
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

// --- The list ---

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

// hasAddress reports whether an entry of the list has the address.
func (s *selection) hasAddress(address string) bool {
	if s == nil {
		return false
	}
	for _, entry := range s.entries {
		if entry.Address == address {
			return true
		}
	}
	return false
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

// --- Growing and shrinking ---

// growUntilReached grows the subset while no dispatcher has been reached: until then there are no calls that would show
// the need.
func (s *selection) growUntilReached() {
	if !s.core.reached && !s.coversList() {
		s.grow()
		s.core.loop.After(reachTimeout, s.growUntilReached)
	}
}

// callOffered adds the dispatchers that a call may try first to the subset, before the module learns of the call.
func (s *selection) callOffered(k *record, class control.Class) {
	if s.coversList() {
		return
	}
	now := s.core.now()
	s.waiting[k] = max(now, k.notBefore)
	s.subset.UseCell(now, k.FirstCell)
	count := 0
	for _, cell := range class.Cells {
		if count >= s.size {
			break
		}
		s.subset.UseCell(now, cell)
		count += s.subset.CountInCell(cell)
	}
	s.announceNeed()
}

// announceNeed announces changes of the subset, and schedules its shrinking.
func (s *selection) announceNeed() {
	s.announceChanges()
	if s.shrinkTimer == nil && !s.subset.AtBaseSize() {
		s.shrinkTimer = s.core.loop.After(max(time.Duration(shrinkIntervalShare*float64(s.shrinkAfter)), time.Millisecond), s.shrink)
	}
}

// shrink removes the dispatchers that are no longer needed.
func (s *selection) shrink() {
	s.shrinkTimer = nil
	s.subset.Shrink(s.core.now(), s.usable)
	s.announceNeed()
}

// usable reports whether the module sends calls to a dispatcher.
func (s *selection) usable(id control.ServerID) bool { return !s.core.module.Avoids(s.core.now(), id) }

// attemptFailed records that an attempt failed, and when the next one may begin.
func (s *selection) attemptFailed(k *record, o control.Outcome) {
	if s == nil {
		return
	}
	now := s.core.now()
	if o.MayStillRun() {
		k.notBefore = now + s.core.decisions.ReleaseGuard
	}
	if s.coversList() {
		return
	}
	s.attemptRefused = s.attemptRefused || o != control.Failed && o != control.NotSent
	s.waiting[k] = max(now-maxWindowWait, k.notBefore) // refused or full: unless another dispatcher accepts it at once, more are needed
}

// growIfNeeded grows the subset if calls wait for a window, or if most of its dispatchers have just refused calls: each
// of them would cost a call one of its allowed attempts. It reports whether the subset has grown.
func (s *selection) growIfNeeded() bool {
	if s == nil || len(s.waiting) == 0 && !s.attemptRefused {
		return false
	}
	now := s.core.now()
	needed := s.attemptRefused && s.subset.TooFewUsable(s.usable)
	s.attemptRefused = false
	for k, since := range s.waiting {
		switch {
		case k.state != pending || k.attemptInProgress || k.transferring:
			delete(s.waiting, k)
		case now-since >= maxWindowWait:
			needed = true
		}
	}
	if !needed || now < s.nextGrowth {
		return false
	}
	s.nextGrowth = now + growthInterval
	return s.grow()
}

// grow adds dispatchers to the subset. It reports whether there were any to add.
func (s *selection) grow() bool {
	if s.coversList() || !s.subset.Grow(s.core.now()) {
		return false
	}
	s.core.log.Info("subset of dispatchers has grown", "subset", s.subset.Len(), "listed", len(s.entries))
	s.announceNeed()
	return true
}

// retryAfterGrowth offers a call again that the module has refused, if the subset can grow. It reports whether it has,
// in which case there is no final answer yet. The number of attempts and the guard carry over.
func (s *selection) retryAfterGrowth(k *record) bool {
	if s.coversList() || k.state != pending || k.attemptInProgress {
		return false
	}
	c := s.core
	class := c.classIndex(k.Class)
	maxAttempts := c.decisions.MaxAttempts
	if class < 0 || maxAttempts > 0 && k.attempts >= maxAttempts || time.Until(k.Deadline) < max(2*answerMargin, 4*c.decisions.Tick) ||
		!k.mayBeOfferedAgain(&c.decisions.Classes[class]) {
		return false
	}
	if !s.grow() {
		return false
	}
	c.offerToModule(k, class)
	return true
}

// --- Settings and metrics ---

// scaleSettings returns the settings for the module, with the number of controllers that connect to one dispatcher
// instead of the number of all controllers. It is reduced by the share of the list that this controller connects to.
func (s *selection) scaleSettings(d control.Settings) control.Settings {
	if s == nil {
		return d
	}
	if listed := s.subset.ActiveCount(); !s.coversList() && listed > 0 {
		connected := math.Ceil(float64(d.Nodes) * float64(s.subset.Len()) / float64(listed))
		d.Nodes = min(d.Nodes, max(int(connected), 1))
	}
	return d
}

// updateNodes tells the module how many controllers currently share a dispatcher.
func (s *selection) updateNodes() {
	d := s.scaleSettings(s.core.decisions)
	if d.Nodes == s.nodes {
		return
	}
	s.nodes = d.Nodes
	if err := s.core.module.UpdateSettings(d); err != nil {
		s.core.log.Error("settings rejected for the subset", "err", err) // they were validated when they were loaded
	}
}

func (s *selection) metrics() []*dto.MetricFamily {
	return []*dto.MetricFamily{
		telemetry.Gauge("subset_listed", "Dispatchers in the list.", float64(len(s.entries))),
		telemetry.Gauge("subset_size", "Dispatchers of the list that this controller connects to.", float64(len(s.announced))),
		telemetry.Gauge("subset_waiting", "Changes of the list that are not taken in yet.", float64(len(s.queue))),
		telemetry.Counter("subset_growths_total", "Times that more dispatchers were needed.", uint64(s.subset.Growths())),
	}
}
