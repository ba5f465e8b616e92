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
	// sliceCheck is after how many entries the clock is looked at.
	sliceCheck = 16
	// heldFor is how long a call may wait for a window before more dispatchers are taken in for it.
	heldFor = 50 * time.Millisecond
	// growthPause is the least time between two growths for calls that wait: the first one must show what it brings.
	growthPause = 50 * time.Millisecond
	// reachWithin is how long after the first list none of the subset may have been reached before more are taken in.
	reachWithin = 500 * time.Millisecond
	// restShare of the time of quiet is the pace at which places are given back.
	restShare = 0.25
)

// selection stands in front of Core.Update. It holds the whole list, and has the module and the connections know only of a subset of it.
// What leaves the subset is given to them as removed but lingering: nothing new goes there, and its calls go on. While the list is no
// longer than the subset's size, all passes through unchanged. Its methods do nothing on a nil selection. It runs on the loop.
type selection struct {
	core    *Core
	size    int
	quiet   time.Duration
	subset  *subset.Subset
	entries map[control.ServerID]Server // the whole list
	told    map[control.ServerID]bool   // known to the module and the connections as listed
	lingers map[control.ServerID]bool   // known to them as removed, while calls stand there
	queue   []*listChange               // in order
	removed []Server                    // told ones that the list has removed since the last flush
	changed []control.ServerID          // since then
	was     bool                        // all of the list was told at the last flush
	whole   bool                        // a whole list has been taken in
	waiting map[*record]time.Duration   // open calls without an attempt, and since when they could have one
	refused bool                        // an attempt was, since the last look
	growAt  time.Duration               // no growth for those before
	resting *Timer
	peers   int // as the module has it by now
}

// listChange is an update that is taken in by slices.
type listChange struct {
	Update
	next  int // of Servers
	named map[control.ServerID]bool
	swept bool               // gone is known
	gone  []control.ServerID // of a whole list: those that it does not name
}

// UseSubset has the core connect to a subset of the list alone. It comes before the first list; the options must pass their Check.
func (c *Core) UseSubset(o subset.Options) {
	o = o.WithDefaults()
	c.selection = &selection{
		core: c, size: o.Size, quiet: o.ShrinkAfter, subset: subset.New(o), entries: map[control.ServerID]Server{}, was: true,
		told: map[control.ServerID]bool{}, lingers: map[control.ServerID]bool{}, waiting: map[*record]time.Duration{},
		peers: c.decisions.Nodes,
	}
	c.AddMetrics(c.selection.figures)
}

// place is the list's line of a dispatcher, in the subset or not.
func (c *Core) place(id control.ServerID) (Server, bool) {
	if at, known := c.places[id]; known || c.selection == nil {
		return at, known
	}
	at, known := c.selection.entries[id]
	return at, known
}

// all reports whether the subset is the list.
func (s *selection) all() bool { return s == nil || len(s.entries) <= s.size }

// --- The list ---

// update takes in the list, or changes to it. It reports whether the core has been, or will be, told of it.
func (s *selection) update(u Update) bool {
	if s == nil {
		return false
	}
	if len(s.queue) == 0 && s.fits(u) {
		s.pass(u)
		return true
	}
	c := &listChange{Update: u}
	if u.Complete {
		c.named = make(map[control.ServerID]bool, len(u.Servers))
	}
	if len(s.queue) == 0 {
		c.Servers = s.toldFirst(u.Servers)
	}
	if s.queue = append(s.queue, c); len(s.queue) == 1 {
		s.work()
	}
	return true
}

// toldFirst puts the entries first that the module knows: a drain must not wait behind thousands that it does not know.
func (s *selection) toldFirst(servers []Server) []Server {
	first, rest := make([]Server, 0, len(servers)), make([]Server, 0, len(servers))
	for _, e := range servers {
		if s.told[e.ID] {
			first = append(first, e)
		} else {
			rest = append(rest, e)
		}
	}
	return append(first, rest...)
}

// fits reports whether the subset is the list and stays it.
func (s *selection) fits(u Update) bool {
	if !s.all() || len(u.Servers) > 2*s.size {
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

// pass takes in an update that goes on as it is.
func (s *selection) pass(u Update) {
	named := map[control.ServerID]bool{}
	for _, e := range u.Servers {
		named[e.ID] = true
		s.apply(e)
	}
	for id := range s.entries {
		if u.Complete && !named[id] {
			s.forget(id)
		}
	}
	s.removed, s.changed = nil, nil
	s.subset.Changes()
	for id := range s.entries {
		s.told[id] = true
	}
	s.whole = s.whole || u.Complete
	s.core.take(u)
	s.retune()
}

// work takes in what waits, for as long as the loop may be held, and has the rest follow in its next round.
func (s *selection) work() {
	until := time.Now().Add(sliceTime)
	for len(s.queue) > 0 && s.advance(s.queue[0], until) {
		s.whole = s.whole || s.queue[0].Complete
		s.queue = s.queue[1:]
	}
	if s.core.listed || s.whole || len(s.queue) == 0 {
		s.flush()
	}
	if len(s.queue) > 0 {
		s.core.loop.Post(s.work)
	}
}

// advance goes on with one update. It reports whether that is done; it stops when the time is up.
func (s *selection) advance(c *listChange, until time.Time) (done bool) {
	late := func(i int) bool { return i%sliceCheck == sliceCheck-1 && time.Now().After(until) }
	for c.next < len(c.Servers) {
		e := c.Servers[c.next]
		if c.named != nil {
			c.named[e.ID] = true
		}
		s.apply(e)
		if c.next++; late(c.next) {
			return false
		}
	}
	if c.Complete && !c.swept {
		for id := range s.entries {
			if !c.named[id] {
				c.gone = append(c.gone, id)
			}
		}
		slices.Sort(c.gone)
		c.swept = true
	}
	for len(c.gone) > 0 {
		s.apply(Server{ServerEntry: control.ServerEntry{ID: c.gone[0], Status: control.Removed}})
		if c.gone = c.gone[1:]; late(len(c.gone)) {
			return false
		}
	}
	return true
}

// apply takes in one line of the list.
func (s *selection) apply(e Server) {
	old, known := s.entries[e.ID]
	if e.Address == "" {
		e.Address = old.Address // a change may leave it out
	}
	if e.Status == control.Removed {
		if s.told[e.ID] || s.lingers[e.ID] {
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
	if s.told[e.ID] || s.lingers[e.ID] && (e.StartedAt != old.StartedAt || e.Address != old.Address) {
		s.changed = append(s.changed, e.ID)
	}
}

func (s *selection) forget(id control.ServerID) {
	delete(s.entries, id)
	delete(s.told, id)
	delete(s.lingers, id)
	s.subset.Remove(id)
}

// flush tells the module and the connections what differs by now.
func (s *selection) flush() {
	joined, left := s.subset.Changes()
	s.changed = slices.Concat(s.changed, joined, left)
	if all := s.all(); all != s.was {
		s.was = all
		for id := range s.entries {
			if all && !s.told[id] { // it drains: it is known like any other again
				s.changed = append(s.changed, id)
			}
		}
	}
	slices.Sort(s.changed)
	u := Update{Servers: s.removed}
	for _, id := range slices.Compact(s.changed) {
		if e, is := s.tell(id); is {
			u.Servers = append(u.Servers, e)
		}
	}
	s.removed, s.changed = nil, nil
	if s.whole && !s.core.listed {
		u = s.first()
	}
	if u.Complete || len(u.Servers) > 0 {
		s.core.take(u)
	}
	s.retune()
}

// tell is what the module and the connections are to know of a listed dispatcher by now, if anything.
func (s *selection) tell(id control.ServerID) (Server, bool) {
	e, listed := s.entries[id]
	switch {
	case !listed:
		return e, false
	case s.all() || s.subset.Has(id) || s.told[id] && e.Status != control.Active:
		s.told[id] = true
		delete(s.lingers, id)
		return e, true
	case s.told[id] || s.lingers[id]:
		delete(s.told, id)
		s.lingers[id] = true
		return lingering(e), true
	}
	return e, false
}

func lingering(e Server) Server {
	e.Status, e.CallsContinue = control.Removed, true
	return e
}

// first is the first whole list that the core is told.
func (s *selection) first() Update {
	u := Update{Complete: true}
	for id := range s.told {
		u.Servers = append(u.Servers, s.entries[id])
	}
	slices.SortFunc(u.Servers, func(a, b Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.core.loop.After(reachWithin, s.untilReached)
	s.core.loop.Post(func() { // calls that an earlier process left may stand anywhere
		for _, k := range s.core.calls {
			if k.state == stands {
				s.keep(k.server)
			}
		}
	})
	return u
}

// keep has the ends of calls heard that stand at a listed dispatcher outside of the subset.
func (s *selection) keep(id control.ServerID) {
	if s.all() || s.told[id] {
		return
	}
	if e, listed := s.entries[id]; listed {
		s.lingers[id] = true
		s.core.take(Update{Servers: []Server{lingering(e)}})
	}
}

// reach has the subset take in a listed dispatcher for a while, as a call that an earlier process left is to be released there.
func (s *selection) reach(id control.ServerID) {
	if s.all() || s.told[id] {
		return
	}
	if e, listed := s.entries[id]; listed {
		s.subset.UseCell(s.core.now(), e.Cell)
		s.flushNeed()
	}
}

// --- Need ---

// untilReached takes in more dispatchers while none has been reached: until then nobody calls, and no call would show the need.
func (s *selection) untilReached() {
	if !s.core.reached && !s.all() {
		s.grow()
		s.core.loop.After(reachWithin, s.untilReached)
	}
}

// offered has the dispatchers that a call may go to first be in the subset, before the module is told of it.
func (s *selection) offered(k *record, class control.Class) {
	if s.all() {
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
	s.flushNeed()
}

// flushNeed tells what need has changed, and has it given back some day.
func (s *selection) flushNeed() {
	s.flush()
	if s.resting == nil && !s.subset.AtBaseSize() {
		s.resting = s.core.loop.After(max(time.Duration(restShare*float64(s.quiet)), time.Millisecond), s.rest)
	}
}

// rest gives back what is not needed any more.
func (s *selection) rest() {
	s.resting = nil
	s.subset.Shrink(s.core.now(), s.sound)
	s.flushNeed()
}

// sound reports whether the module sends calls to a dispatcher.
func (s *selection) sound(id control.ServerID) bool { return !s.core.module.Avoids(s.core.now(), id) }

// ended notes that an attempt came to nothing: when the next one may begin, and whether this one may have run.
func (s *selection) ended(k *record, o control.Outcome) {
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
		if k.ranSince.IsZero() {
			k.ranSince = k.sentAt
		}
	}
	if s.all() {
		return
	}
	s.refused = s.refused || o != control.Failed && o != control.NotSent
	s.waiting[k] = max(now-heldFor, k.notBefore) // refused or full: unless another one takes it at once, more are needed
}

// relieve takes in more dispatchers if calls wait for want of them, or if most of those in the subset have just shown to take none: each
// would cost a call one of the attempts that it may have. It reports whether there are more now.
func (s *selection) relieve() bool {
	if s == nil || len(s.waiting) == 0 && !s.refused {
		return false
	}
	now := s.core.now()
	needed := s.refused && s.subset.TooFewUsable(s.sound)
	s.refused = false
	for k, since := range s.waiting {
		switch {
		case k.state != open || k.out || k.moving:
			delete(s.waiting, k)
		case now-since >= heldFor:
			needed = true
		}
	}
	if !needed || now < s.growAt {
		return false
	}
	s.growAt = now + growthPause
	return s.grow()
}

// grow takes in more dispatchers. It reports whether there are any.
func (s *selection) grow() bool {
	if s.all() || !s.subset.Grow(s.core.now()) {
		return false
	}
	s.core.log.Info("the subset of dispatchers has grown", "subset", s.subset.Len(), "listed", len(s.entries))
	s.flushNeed()
	return true
}

// retries offers a call again that the module has refused, if there are more dispatchers that could take it. It reports whether it has:
// then nothing is to be answered yet. The attempts made and the guard carry over.
func (s *selection) retries(k *record) bool {
	if s.all() || k.state != open || k.out {
		return false
	}
	c := s.core
	class := c.class(k.Class)
	most := c.decisions.MaxAttempts
	if class < 0 || most > 0 && k.attempts >= most || time.Until(k.Deadline) < max(2*early, 4*c.decisions.Tick) || !k.repeatable(&c.decisions.Classes[class]) {
		return false
	}
	if !s.grow() {
		return false
	}
	c.offer(k, class)
	return true
}

// repeatable reports whether the call can go to any dispatcher that may take its class, until its deadline: the module forgets with its
// refusal where it may have run.
func (k *record) repeatable(class *control.Class) bool {
	switch {
	case k.ranSince.IsZero() || class.Idempotency == control.Idempotent:
		return true
	case class.Idempotency == control.IdempotentByKey && class.DedupScope == control.DedupAll:
		return k.Deadline.Sub(k.ranSince) < class.DedupWindow
	}
	return false
}

// --- Settings and figures ---

// scaled are the settings as the module is to have them: of all controllers that share the list, the part that connects to one
// dispatcher. It is the same part as the one of the list that this controller connects to.
func (s *selection) scaled(d control.Settings) control.Settings {
	if s == nil {
		return d
	}
	if listed := s.subset.Active(); !s.all() && listed > 0 {
		users := math.Ceil(float64(d.Nodes) * float64(s.subset.Len()) / float64(listed))
		d.Nodes = min(d.Nodes, max(int(users), 1))
	}
	return d
}

// retune tells the module how many controllers share a dispatcher by now.
func (s *selection) retune() {
	d := s.scaled(s.core.decisions)
	if d.Nodes == s.peers {
		return
	}
	s.peers = d.Nodes
	if err := s.core.module.UpdateSettings(d); err != nil {
		s.core.log.Error("settings that the subset does not fit", "err", err) // they were checked as they were taken
	}
}

func (s *selection) figures() []*dto.MetricFamily {
	return []*dto.MetricFamily{
		telemetry.Gauge("subset_listed", "Dispatchers in the list.", float64(len(s.entries))),
		telemetry.Gauge("subset_size", "Dispatchers of the list that this controller connects to.", float64(len(s.told))),
		telemetry.Gauge("subset_waiting", "Changes of the list that are not taken in yet.", float64(len(s.queue))),
		telemetry.Counter("subset_growths_total", "Times that more dispatchers were needed.", uint64(s.subset.Growths())),
	}
}
