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
	// sliceTime is how long a change of the list may hold the loop at a time; the rest of it waits for the next round.
	sliceTime = time.Millisecond
	// sliceCheckInterval is after how many entries the clock is looked at.
	sliceCheckInterval = 16
	// maxWindowWait is how long a call may wait for a window before more dispatchers are taken in for it.
	maxWindowWait = 50 * time.Millisecond
	// growthInterval is the least time between two growths for calls that wait: the first one must show what it brings.
	growthInterval = 50 * time.Millisecond
	// reachTimeout is how long after the first list none of the subset may have been reached before more are taken in.
	reachTimeout = 500 * time.Millisecond
	// shrinkIntervalShare of the time of quiet is the pace at which places are given back.
	shrinkIntervalShare = 0.25
)

// selection stands in front of Core.Update. It holds the whole list, and has the module and the connections know only of a subset of it.
// What leaves the subset is given to them as removed but lingering: nothing new goes there, and its calls go on. While the list is no
// longer than the subset's size, all passes through unchanged. Its methods do nothing on a nil selection. It runs on the loop.
type selection struct {
	core           *Core
	size           int
	shrinkAfter    time.Duration
	subset         *subset.Subset
	entries        map[control.ServerID]Server // the whole list
	announced      map[control.ServerID]bool   // known to the module and the connections as listed
	retained       map[control.ServerID]bool   // known to them as removed, while calls stand there
	queue          []*listChange               // in order
	removed        []Server                    // told ones that the list has removed since the last flush
	changed        []control.ServerID          // since then
	coveredList    bool                        // all of the list was told at the last flush
	listApplied    bool                        // a whole list has been taken in
	waiting        map[*record]time.Duration   // open calls without an attempt, and since when they could have one
	attemptRefused bool                        // an attempt was, since the last look
	nextGrowth     time.Duration               // no growth for those before
	shrinkTimer    *Timer
	nodes          int // as the module has it by now
}

// listChange is an update that is taken in by slices.
type listChange struct {
	Update
	next        int // of Servers
	named       map[control.ServerID]bool
	absentKnown bool               // gone is known
	absent      []control.ServerID // of a whole list: those that it does not name
}

// UseSubset has the core connect to a subset of the list alone. It comes before the first list; the options must pass their Check.
func (c *Core) UseSubset(o subset.Options) {
	o = o.WithDefaults()
	c.selection = &selection{
		core: c, size: o.Size, shrinkAfter: o.ShrinkAfter, subset: subset.New(o), entries: map[control.ServerID]Server{}, coveredList: true,
		announced: map[control.ServerID]bool{}, retained: map[control.ServerID]bool{}, waiting: map[*record]time.Duration{},
		nodes: c.decisions.Nodes,
	}
	c.AddMetrics(c.selection.metrics)
}

// listedServer is the list's line of a dispatcher, in the subset or not.
func (c *Core) listedServer(id control.ServerID) (Server, bool) {
	if at, known := c.knownServers[id]; known || c.selection == nil {
		return at, known
	}
	at, known := c.selection.entries[id]
	return at, known
}

// coversList reports whether the subset is the list.
func (s *selection) coversList() bool { return s == nil || len(s.entries) <= s.size }

// --- The list ---

// update takes in the list, or changes to it. It reports whether the core has been, or will be, told of it.
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

// announcedFirst puts the entries first that the module knows: a drain must not wait behind thousands that it does not know.
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

// fits reports whether the subset is the list and stays it.
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

// passThrough takes in an update that goes on as it is.
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
	s.core.applyUpdate(u)
	s.updateNodes()
}

// processQueue takes in what waits, for as long as the loop may be held, and has the rest follow in its next round.
func (s *selection) processQueue() {
	until := time.Now().Add(sliceTime)
	for len(s.queue) > 0 && s.advance(s.queue[0], until) {
		s.listApplied = s.listApplied || s.queue[0].Complete
		s.queue = s.queue[1:]
	}
	if s.core.listReceived || s.listApplied || len(s.queue) == 0 {
		s.announceChanges()
	}
	if len(s.queue) > 0 {
		s.core.loop.Post(s.processQueue)
	}
}

// advance goes on with one update. It reports whether that is done; it stops when the time is up.
func (s *selection) advance(c *listChange, until time.Time) (done bool) {
	late := func(i int) bool { return i%sliceCheckInterval == sliceCheckInterval-1 && time.Now().After(until) }
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

// applyEntry takes in one line of the list.
func (s *selection) applyEntry(e Server) {
	old, known := s.entries[e.ID]
	if e.Address == "" {
		e.Address = old.Address // a change may leave it out
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

func (s *selection) forget(id control.ServerID) {
	delete(s.entries, id)
	delete(s.announced, id)
	delete(s.retained, id)
	s.subset.Remove(id)
}

// announceChanges tells the module and the connections what differs by now.
func (s *selection) announceChanges() {
	joined, left := s.subset.Changes()
	s.changed = slices.Concat(s.changed, joined, left)
	if all := s.coversList(); all != s.coveredList {
		s.coveredList = all
		for id := range s.entries {
			if all && !s.announced[id] { // it drains: it is known like any other again
				s.changed = append(s.changed, id)
			}
		}
	}
	slices.Sort(s.changed)
	u := Update{Servers: s.removed}
	for _, id := range slices.Compact(s.changed) {
		if e, is := s.announce(id); is {
			u.Servers = append(u.Servers, e)
		}
	}
	s.removed, s.changed = nil, nil
	if s.listApplied && !s.core.listReceived {
		u = s.firstList()
	}
	if u.Complete || len(u.Servers) > 0 {
		s.core.applyUpdate(u)
	}
	s.updateNodes()
}

// announce is what the module and the connections are to know of a listed dispatcher by now, if anything.
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

func asRetained(e Server) Server {
	e.Status, e.CallsContinue = control.Removed, true
	return e
}

// firstList is the first whole list that the core is told.
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
	s.core.loop.Post(func() { // calls that an earlier process left may stand anywhere
		for _, k := range s.core.calls {
			if k.state == established {
				s.retain(k.server)
			}
		}
	})
	return u
}

// retain has the ends of calls heard that stand at a listed dispatcher outside of the subset.
func (s *selection) retain(id control.ServerID) {
	if s.coversList() || s.announced[id] {
		return
	}
	if e, listed := s.entries[id]; listed {
		s.retained[id] = true
		s.core.applyUpdate(Update{Servers: []Server{asRetained(e)}})
	}
}

// includeForRelease has the subset take in a listed dispatcher for a while, as a call that an earlier process left is to be released there.
func (s *selection) includeForRelease(id control.ServerID) {
	if s.coversList() || s.announced[id] {
		return
	}
	if e, listed := s.entries[id]; listed {
		s.subset.UseCell(s.core.now(), e.Cell)
		s.announceNeed()
	}
}

// --- Need ---

// growUntilReached takes in more dispatchers while none has been reached: until then nobody calls, and no call would show the need.
func (s *selection) growUntilReached() {
	if !s.core.reached && !s.coversList() {
		s.grow()
		s.core.loop.After(reachTimeout, s.growUntilReached)
	}
}

// callOffered has the dispatchers that a call may go to first be in the subset, before the module is told of it.
func (s *selection) callOffered(k *record, class control.Class) {
	if s.coversList() {
		return
	}
	now := s.core.now()
	s.waiting[k] = max(now, k.notBefore)
	s.subset.UseCell(now, k.FirstCell)
	places := 0
	for _, cell := range class.Cells {
		if places >= s.size {
			break
		}
		s.subset.UseCell(now, cell)
		places += s.subset.CountInCell(cell)
	}
	s.announceNeed()
}

// announceNeed tells what need has changed, and has it given back some day.
func (s *selection) announceNeed() {
	s.announceChanges()
	if s.shrinkTimer == nil && !s.subset.AtBaseSize() {
		s.shrinkTimer = s.core.loop.After(max(time.Duration(shrinkIntervalShare*float64(s.shrinkAfter)), time.Millisecond), s.shrink)
	}
}

// shrink gives back what is not needed any more.
func (s *selection) shrink() {
	s.shrinkTimer = nil
	s.subset.Shrink(s.core.now(), s.usable)
	s.announceNeed()
}

// usable reports whether the module sends calls to a dispatcher.
func (s *selection) usable(id control.ServerID) bool { return !s.core.module.Avoids(s.core.now(), id) }

// attemptFailed notes that an attempt came to nothing: when the next one may begin, and whether this one may have run.
func (s *selection) attemptFailed(k *record, o control.Outcome) {
	if s == nil {
		return
	}
	now := s.core.now()
	switch o {
	case control.TimedOut, control.Reset, control.Cancelled:
		k.notBefore = now + s.core.decisions.ReleaseGuard
	}
	switch o {
	case control.Failed, control.TimedOut, control.Reset, control.Cancelled:
		if k.firstRunAt.IsZero() {
			k.firstRunAt = k.sentAt
		}
	}
	if s.coversList() {
		return
	}
	s.attemptRefused = s.attemptRefused || o != control.Failed && o != control.NotSent
	s.waiting[k] = max(now-maxWindowWait, k.notBefore) // refused or full: unless another one takes it at once, more are needed
}

// growIfNeeded takes in more dispatchers if calls wait for want of them, or if most of those in the subset have just shown to take none: each
// would cost a call one of the attempts that it may have. It reports whether there are more now.
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

// grow takes in more dispatchers. It reports whether there are any.
func (s *selection) grow() bool {
	if s.coversList() || !s.subset.Grow(s.core.now()) {
		return false
	}
	s.core.log.Info("the subset of dispatchers has grown", "subset", s.subset.Len(), "listed", len(s.entries))
	s.announceNeed()
	return true
}

// retryAfterGrowth offers a call again that the module has refused, if there are more dispatchers that could take it. It reports whether it has:
// then nothing is to be answered yet. The attempts made and the guard carry over.
func (s *selection) retryAfterGrowth(k *record) bool {
	if s.coversList() || k.state != pending || k.attemptInProgress {
		return false
	}
	c := s.core
	class := c.classIndex(k.Class)
	most := c.decisions.MaxAttempts
	if class < 0 || most > 0 && k.attempts >= most || time.Until(k.Deadline) < max(2*answerMargin, 4*c.decisions.Tick) || !k.repeatable(&c.decisions.Classes[class]) {
		return false
	}
	if !s.grow() {
		return false
	}
	c.offerToModule(k, class)
	return true
}

// repeatable reports whether the call can go to any dispatcher that may take its class, until its deadline: the module forgets with its
// refusal where it may have run.
func (k *record) repeatable(class *control.Class) bool {
	switch {
	case k.firstRunAt.IsZero() || class.Idempotency == control.Idempotent:
		return true
	case class.Idempotency == control.IdempotentByKey && class.DedupScope == control.DedupAll:
		return k.Deadline.Sub(k.firstRunAt) < class.DedupWindow
	}
	return false
}

// --- Settings and figures ---

// scaleSettings are the settings as the module is to have them: of all controllers that share the list, the part that connects to one
// dispatcher. It is the same part as the one of the list that this controller connects to.
func (s *selection) scaleSettings(d control.Settings) control.Settings {
	if s == nil {
		return d
	}
	if listed := s.subset.Active(); !s.coversList() && listed > 0 {
		users := math.Ceil(float64(d.Nodes) * float64(s.subset.Len()) / float64(listed))
		d.Nodes = min(d.Nodes, max(int(users), 1))
	}
	return d
}

// updateNodes tells the module how many controllers share a dispatcher by now.
func (s *selection) updateNodes() {
	d := s.scaleSettings(s.core.decisions)
	if d.Nodes == s.nodes {
		return
	}
	s.nodes = d.Nodes
	if err := s.core.module.UpdateSettings(d); err != nil {
		s.core.log.Error("settings that the subset does not fit", "err", err) // they were checked as they were taken
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
