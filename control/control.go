package control

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// controlPeriod is the paper's CCperiod. Troubles here last seconds; much less holds too few starts.
	controlPeriod = 700 * time.Millisecond
	// ratePeriod is what a count must span to stand for a rate.
	ratePeriod = 2 * time.Second
	// minStarts is what an update interval (OPPUI) must hold: it is as many control periods as that takes.
	minStarts = 2
	// maxOccupancy, minOccupancy and tooHigh are the paper's max.occup, min.occup and occ.too.high.
	maxOccupancy = 0.9
	minOccupancy = 0.75
	tooHigh      = 1.2
	// minFraction is the paper's min.fraction.calls, with the value it names.
	minFraction = 0.75
	// maxIncrease, maxDecrease and extraDecrement bound one resizing.
	maxIncrease    = 0.5
	maxDecrease    = 0.15
	extraDecrement = 0.1
	// leastShare of its part of the node's arrivals is what a window keeps, so that it can grow back.
	leastShare = 0.4
	// targetShare of the tightest aim is the wait that counts as full occupancy.
	targetShare = 0.2
	// suspectShare of the tightest aim without an answer makes a server suspect.
	suspectShare = 0.45
	// memory is the age at which a delay counts half against a new one: of few, the last is all that is known.
	memory = time.Second
	// fullRest is how long a server that answered full, or could not be reached, is left alone.
	fullRest = 250 * time.Millisecond
	// doubtShare of the tightest aim, doubtRest at most, is the first rest in doubt; mostRest the longest told.
	doubtShare      = 0.33
	doubtRest       = 500 * time.Millisecond
	mostRest        = 4 * time.Second
	unreachableRest = time.Second
	// trialGap bounds a rest, which doubles each time in a row, to so many times the first.
	trialGap = 16
	// silenceCold is the silence after which a server that answers again is taken for a cold one.
	silenceCold = 3 * time.Second
	// firstRate is the least rate, in starts a second, that all nodes together are taken to have.
	firstRate = 1.0
	// listRetry is the wait before the server list is asked for again.
	listRetry = time.Second
)

// Controller decides for one access node. It is not safe for concurrent use.
type Controller struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	actions   []Action
	servers   []*server // in the order of their first appearance
	byID      map[ServerID]*server
	calls     map[CallID]*call
	held      []*call               // waiting for a window, in order of arrival
	last      map[string]*server    // by class
	unserved  map[try]time.Duration // first tries of calls that did not stand
	tries     []*call               // those calls, in order
	aim       time.Duration         // the tightest aim
	offers    int                   // calls offered since startedAt, the first turn
	startedAt time.Duration
	listAt    time.Duration // when to ask for the list; 0 for never
	wakeAt    time.Duration // the Wake that is under way; 0 for none
	perLine   float64       // rate that servers tell, for each of their lines
	quickest  time.Duration // what a set-up takes at the server that answers fastest
	quiet     time.Duration // lowest delay seen at any server
}

// call is a call that is owed a final answer.
type call struct {
	id       CallID
	class    *Class // as it was when the call came
	most     int    // attempts that it may have; 0 for no limit
	first    int    // cell of the server of first choice
	transit  bool
	called   string
	firstAt  time.Duration // the caller's first try
	aimAt    time.Duration
	deadline time.Duration
	readyAt  time.Duration // not to be sent before
	attempts int
	at       *server // the attempt under way, if any
	sentAt   time.Duration
	undone   bool
	ranAt    *server // first server that may have run it
	ranSince time.Duration
}

// try is what the tries of one caller have in common.
type try struct {
	called string
	class  string
	first  int
}

// server is what the node knows of one core server.
type server struct {
	ServerEntry
	out       []*call       // attempts without an answer, oldest first
	own       int           // lines that this node's calls have, those being set up included
	shortAt   time.Duration // when it last had no line; 0 for never
	restUntil time.Duration
	restAt    time.Duration // when the last rest began
	rest      time.Duration // how long that was; 0 once a call has stood
	lines     float64       // its size; 1 if unknown
	free      int           // lines free at the last report, less own starts since; -1 if unknown
	spare     int           // this node's part of them, for calls of second choice; -1 if unknown
	turn      float64       // how far it is behind its part by weight, in starts times weights
	full      bool          // answered full in this update interval
	suspect   bool
	suspectAt time.Duration
	goneAt    time.Duration // when the list last had it, if it is removed
	heardAt   time.Duration // last answer, or first start after one
	latest    time.Duration // when the latest set-up was sent that has stood
	coldFrom  time.Duration // when it was seen to start
	cold      bool
	quiet     time.Duration // lowest delay seen
	delay     time.Duration // smoothed delay of own set-ups beyond quiet
	delayAt   time.Duration // when it was last seen

	open     bool
	limit    float64       // N, starts a control period
	credit   float64       // starts that the window allows by now; what is not a whole one is carried on
	periodAt time.Duration // start of this control period
	rolledAt time.Duration // last turn
	accepted int           // starts in this update interval
	answers  int           // answers in this update interval
	starts   float64       // starts while it was neither cold nor suspect, lately
	stood    float64       // calls that stood promptly while the server was warm, lately
	watched  time.Duration // the time in which they did, but for that in which it was suspect
	overhead float64
	util     float64 // sum of reported utilisations in this interval
	reports  int
	wait     time.Duration // last reported wait of this interval
	able     float64       // last reported rate; 0 if unknown
}

// New returns a Controller for one access node that has just started.
func New(s Settings, seed uint64) (*Controller, error) {
	c := &Controller{
		rng:      rand.New(rand.NewPCG(seed, seed)),
		byID:     map[ServerID]*server{},
		calls:    map[CallID]*call{},
		last:     map[string]*server{},
		unserved: map[try]time.Duration{},
	}
	if err := c.UpdateSettings(s); err != nil {
		return nil, err
	}
	return c, nil
}

// UpdateSettings gives the controller other settings; with an error, it keeps those it has. Calls keep the class
// they came with and the fewer attempts, and all that is known of servers stays.
func (c *Controller) UpdateSettings(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	if s.ListOnDemand && !c.settings.ListOnDemand {
		c.listAt = 1
	}
	for _, k := range c.calls {
		if s.MaxAttempts > 0 && (k.most == 0 || s.MaxAttempts < k.most) {
			k.most = s.MaxAttempts
		}
	}
	c.settings, c.aim = s, s.aim()
	return nil
}

// Step takes what has happened by now and returns what to do, in order.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = now, nil
	if c.startedAt == 0 {
		c.startedAt = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case ListReceived:
			c.listReceived(e)
		case CallOffered:
			c.offered(e)
		case CallStands:
			c.stands(e)
		case AttemptEnded:
			c.ended(e)
		case CallerLeft:
			if k := c.calls[e.ID]; k != nil {
				c.lose(k)
			}
		case ReportReceived:
			if s := c.byID[e.Server]; s != nil && e.OK {
				c.report(s, e.Report)
			}
		case Woken:
			if c.wakeAt <= now {
				c.wakeAt = 0
			}
		}
	}
	c.askForList()
	for _, s := range c.servers {
		c.roll(s)
		c.watch(s)
	}
	c.lookAhead()
	c.release()
	c.giveUp()
	c.planWake()
	return c.actions
}

func (c *Controller) do(a Action) { c.actions = append(c.actions, a) }

// --- Windows ---

// roll lets the window of a server allow what the time since the last turn is worth, and resizes it at the
// end of an update interval. N may be much less than one, but not than the node's part of the rate that the
// server tells. What gathers makes no more than the wanted wait, if all nodes send theirs at once.
func (c *Controller) roll(s *server) {
	since := c.now - s.rolledAt
	s.rolledAt = c.now
	if s.open {
		s.limit = 0
	}
	s.limit = max(s.limit, c.able(s)/float64(max(c.settings.Nodes, 1))*controlPeriod.Seconds())
	most := max(1, s.limit*targetShare*c.aim.Seconds()/controlPeriod.Seconds())
	if s.cold {
		s.limit, most = c.coldRate(s)*controlPeriod.Seconds(), 1
	}
	s.credit = min(s.credit+s.limit*since.Seconds()/controlPeriod.Seconds(), most)
	if s.Status == Active && !s.cold && !s.suspect {
		if s.watched += since; s.watched > ratePeriod && s.starts >= 4*minStarts {
			s.watched, s.starts, s.stood = s.watched/2, s.starts/2, s.stood/2
		}
	}
	for c.now-s.periodAt >= controlPeriod {
		s.periodAt += controlPeriod
		if !s.cold && s.answers > 0 && (s.accepted >= minStarts || c.occupancy(s) >= tooHigh) {
			c.update(s)
		}
	}
}

// update closes an update interval.
func (c *Controller) update(s *server) {
	mean := perSecond(s.starts, s.watched) * controlPeriod.Seconds()
	occupancy := c.occupancy(s)
	past := s.limit
	if s.open {
		past = mean
	}
	mean = min(mean, past)
	if occupancy >= minOccupancy || !s.open && mean >= minFraction*past {
		s.limit = max(resize(past, mean, occupancy, s.overhead), leastShare*c.part(s)*controlPeriod.Seconds())
		if s.open {
			s.open, s.credit = false, c.rng.Float64()
		}
	} // Else light traffic says nothing of what the server could do: the window stays as it is.
	s.accepted, s.answers, s.util, s.reports, s.full, s.wait = 0, 0, 0, 0, false, 0
}

// occupancy of the update interval: the reported utilisation, or the delay of own set-ups over the target
// wait if that is more. The age of a set-up without an answer is a lower bound on its delay.
func (c *Controller) occupancy(s *server) float64 {
	target := targetShare * float64(c.aim)
	occupancy := float64(max(s.delay, c.age(s)-s.quiet)) / target
	if s.full {
		occupancy = max(occupancy, tooHigh)
	}
	return max(occupancy, cmp.Or(s.util/float64(max(s.reports, 1)), float64(s.wait)/target))
}

// resize is the paper's rule for the next N: past is the last N, mean the starts a period while it held. It
// is rounded down where it is used. The rise by one call makes up for that, so it is left out below one.
func resize(past, mean, occupancy, overhead float64) float64 {
	prelim := mean
	if occupancy > overhead {
		prelim = (maxOccupancy - overhead) / (occupancy - overhead) * mean
	}
	if occupancy >= tooHigh {
		return max(prelim, past*(1-maxDecrease)) * (1 - extraDecrement)
	}
	if prelim-past >= 1 && maxIncrease*past < 1 && past >= 1 {
		return past + 1
	}
	return min(max(prelim, past*(1-maxDecrease)), past*(1+maxIncrease))
}

// Avoids reports whether a listed server gets no calls now, or none but trial ones.
func (c *Controller) Avoids(now time.Duration, id ServerID) bool {
	s := c.byID[id]
	return s == nil || s.Status != Active || s.suspect || now < s.restUntil
}

// allows reports whether the server can be sent one more set-up now, as first choice or not. Even an open
// window holds those of second choice to the node's part of the rate that the server tells: what spills over
// from large servers would jam small ones, with little from each of many nodes. So it is for calls of first
// choice while lines are short and the node has its part of them.
func (c *Controller) allows(s *server, first bool) bool {
	if s.Status != Active || c.now < s.restUntil || s.free == 0 || s.spare == 0 && (!first || c.hasPart(s)) ||
		s.rest > 0 && len(s.out) > 0 { // one at a time until a call has stood
		return false
	}
	if s.suspect && !s.cold { // a trial call, of second choice only where none of first choice has come
		return first || c.now-s.restUntil > trialGap*doubtRest
	}
	return s.credit >= 1 || s.open && (first || s.limit == 0)
}

// --- Route ---

// permitted reports whether a set-up of the call may go to the server at all.
func (c *Controller) permitted(k *call, s *server) bool {
	class := k.class
	if s.Status != Active || len(class.Cells) > 0 && !slices.Contains(class.Cells, s.Cell) {
		return false
	}
	if c.settings.Layout == Network && (s.Cell == c.settings.OwnCell || k.transit && s.Cell != k.first) {
		return false
	}
	if k.ranAt == nil || class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == NonIdempotent || c.now-k.ranSince >= class.DedupWindow {
		return false
	}
	switch class.DedupScope {
	case DedupZone:
		return s.Zone == k.ranAt.Zone
	case DedupCell:
		return s.Cell == k.ranAt.Cell
	}
	return true
}

// route picks a server whose window allows the call: the one of first choice, else the one that last took its
// class while no set-up waits there, else one at random, which then is kept. Where there are weights, those
// of first choice, else all, take turns by them. It returns nil if the call has to wait.
func (c *Controller) route(k *call) *server {
	var allowed, first []*server
	home := func(s *server) bool { return s.Cell == k.first && c.permitted(k, s) }
	homeless := !slices.ContainsFunc(c.servers, home) // without a first choice, all are as good
	for _, s := range c.servers {
		if c.permitted(k, s) && c.allows(s, homeless || s.Cell == k.first) {
			if s.Cell == k.first {
				first = append(first, s)
			}
			allowed = append(allowed, s)
		}
	}
	switch {
	case len(allowed) == 0:
		return nil
	case len(first) > 0:
		return inTurn(first)
	case slices.ContainsFunc(allowed, func(s *server) bool { return s.Weight > 0 }):
		return inTurn(allowed)
	}
	if last := c.last[k.class.Name]; !slices.Contains(allowed, last) || len(last.out) > 0 {
		c.last[k.class.Name] = c.draw(allowed)
	}
	return c.last[k.class.Name]
}

// hasPart reports whether the server was short of lines lately, and the node has its even part of them.
func (c *Controller) hasPart(s *server) bool {
	return s.shortAt > 0 && c.now-s.shortAt < mostRest && s.own*max(c.settings.Nodes, 1) >= int(s.lines)
}

// draw picks a server at random, by what each can take.
func (c *Controller) draw(from []*server) *server {
	drawn, total := from[0], 0.0
	for _, s := range from {
		able := cmp.Or(c.able(s), s.lines)
		if total += able; c.rng.Float64()*total < able {
			drawn = s
		}
	}
	return drawn
}

// inTurn picks the server that is furthest behind its part by weight; without weights, the first.
func inTurn(allowed []*server) *server {
	next, total := allowed[0], 0.0
	for _, s := range allowed {
		s.turn += float64(s.Weight)
		total += float64(s.Weight)
		if s.turn > next.turn {
			next = s
		}
	}
	next.turn -= total
	return next
}

// --- Held calls ---

func (c *Controller) offered(e CallOffered) {
	if c.calls[e.ID] != nil || e.Class < 0 || e.Class >= len(c.settings.Classes) {
		return
	}
	class := &c.settings.Classes[e.Class]
	k := &call{
		id: e.ID, class: class, most: c.settings.MaxAttempts, first: e.FirstCell, transit: e.Transit,
		called: e.Called, firstAt: c.now,
		deadline: c.now + e.Budget, readyAt: max(c.now, e.NotBefore), attempts: e.Attempts,
	}
	// The aim counts from the caller's first try. Not every caller says that it dials again, so calls to
	// the same number are taken for the same caller's while one that was not served may still come back.
	if t, ok := c.unserved[k.try()]; ok && c.now-t < class.Deadline {
		k.firstAt = t
	} else if e.Redial {
		k.firstAt = c.now - class.Aim
	}
	k.aimAt = k.firstAt + class.Aim
	c.offers++
	c.calls[k.id] = k
	c.held = append(c.held, k)
}

func (k *call) try() try { return try{k.called, k.class.Name, k.first} }

// lose forgets a call that did not stand, but for when its caller first tried.
func (c *Controller) lose(k *call) {
	c.forget(k)
	if k.called == "" {
		return
	}
	c.unserved[k.try()] = k.firstAt
	c.tries = append(c.tries, k)
	for len(c.tries) > 0 && c.now-c.tries[0].firstAt > c.tries[0].class.Deadline {
		if old := c.tries[0]; c.unserved[old.try()] == old.firstAt {
			delete(c.unserved, old.try())
		}
		c.tries = c.tries[1:]
	}
}

// forget ends the node's part in a call.
func (c *Controller) forget(k *call) {
	delete(c.calls, k.id)
	k.at.drop(k)
	c.held = slices.DeleteFunc(c.held, func(o *call) bool { return o == k })
}

// value is what the call earns if it is sent to a server now.
func (c *Controller) value(k *call) float64 {
	if c.late(k) {
		return k.class.Worth * k.class.LateShare
	}
	return k.class.Worth
}

// late reports whether the call can no longer stand within its aim.
func (c *Controller) late(k *call) bool {
	return c.now+c.quickest > k.aimAt
}

// lookAhead sets quickest for this turn, 0 if no server is known to answer, and perLine.
func (c *Controller) lookAhead() {
	c.quickest = math.MaxInt64
	able, lines := 0.0, 1.0
	for _, s := range c.servers {
		if s.able > 0 {
			able, lines = able+s.able, lines+s.lines
		}
		if s.Status == Active && !s.suspect {
			c.quickest = min(c.quickest, s.quiet+s.delay)
		}
	}
	c.perLine = able / lines
	if c.quickest == math.MaxInt64 {
		c.quickest = 0
	}
}

// release sends held calls as far as the windows allow, those first that earn most, then the newest: in
// a jam the oldest would all stand just too late.
func (c *Controller) release() {
	queue := slices.Clone(c.held)
	slices.Reverse(queue)
	slices.SortStableFunc(queue, func(a, b *call) int { return cmp.Compare(c.value(b), c.value(a)) })
	for _, k := range queue {
		if k.readyAt <= c.now && c.now < k.deadline-2*c.settings.Tick && !k.spent() {
			if s := c.route(k); s != nil {
				c.send(k, s)
			}
		}
	}
}

// giveUp answers the held calls that are out of time or attempts, or that are late while others wait.
func (c *Controller) giveUp() {
	pressed := false
	for _, k := range c.held {
		pressed = pressed || k.readyAt <= c.now && !c.late(k)
	}
	for _, k := range slices.Clone(c.held) {
		if k.spent() || c.now >= k.deadline-2*c.settings.Tick || !c.possible(k) || pressed && c.late(k) {
			c.refuse(k)
		}
	}
}

// spent reports whether the call has had all its attempts.
func (k *call) spent() bool { return k.most > 0 && k.attempts >= k.most }

// possible reports whether any server that is known may ever take the call.
func (c *Controller) possible(k *call) bool {
	for _, s := range c.servers {
		if c.permitted(k, s) {
			return true
		}
	}
	return false
}

// refuse gives the call its final answer, with a time to come back where that does no harm.
func (c *Controller) refuse(k *call) {
	class := k.class
	c.lose(k)
	if k.ranAt != nil && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != DedupAll) {
		c.do(Fail{ID: k.id})
		return
	}
	refusal := Refuse{ID: k.id}
	if c.settings.MayHoldOff {
		refusal.HoldOff = c.settings.MaxHoldOff
	}
	c.do(refusal)
}

// --- Attempts ---

// send starts an attempt.
func (c *Controller) send(k *call, s *server) {
	c.held = slices.DeleteFunc(c.held, func(o *call) bool { return o == k })
	k.attempts++
	k.at, k.sentAt, k.undone = s, c.now, false
	if len(s.out) == 0 {
		s.heardAt = c.now
	}
	s.out = append(s.out, k)
	s.accepted++
	s.own++
	s.credit = max(0, s.credit-1)
	if !s.cold && !s.suspect {
		s.starts++
	}
	if s.free > 0 {
		s.free, s.spare = s.free-1, max(s.spare-1, 0)
	}
	limit := time.Duration(0)
	if s.suspect {
		limit = c.aim // a trial call that comes later tells nothing new, and its repeats feed the queue
	}
	c.do(SetUp{ID: k.id, Server: s.ID, Limit: limit})
}

func (c *Controller) stands(e CallStands) {
	s := c.byID[e.Server]
	if s != nil && c.overtaken(s, c.now-e.Elapsed) {
		s.heardAt = c.now // what kept this answer was not the processor
		s.answers++
	} else if s != nil {
		s.latest = max(s.latest, c.now-e.Elapsed)
		if s.quiet == 0 || e.Elapsed < s.quiet {
			s.quiet = e.Elapsed
		}
		if c.quiet == 0 || e.Elapsed < c.quiet {
			c.quiet = e.Elapsed
		}
		if e.Elapsed-c.quiet <= c.patience() {
			if !s.cold {
				s.stood++
			}
			c.heard(s)
		} else {
			// Alive, but with a queue that trial calls must let drain.
			s.heardAt = c.now
			c.doubt(s, c.now-e.Elapsed)
		}
		gap := float64(c.now - s.delayAt)
		s.delay += time.Duration(gap / (gap + float64(memory)) * float64(e.Elapsed-s.quiet-s.delay))
		s.delayAt = c.now
		s.answers++
	}
	if k := c.calls[e.ID]; k != nil {
		c.forget(k)
	}
}

func (c *Controller) ended(e AttemptEnded) {
	s, k := c.byID[e.Server], c.calls[e.ID]
	if s != nil {
		c.report(s, e.Report)
		s.own = max(s.own-1, 0)
		switch e.Outcome {
		case Completed:
			if s.free >= 0 && !c.hasPart(s) { // else it is left to those that have fewer
				s.free, s.spare = s.free+1, s.spare+1 // the call's own line
			}
		case Full:
			s.heardAt = c.now
			if e.NoLine {
				s.shortAt = c.now
				c.rest(s, fullRest, -1) // a longer one each time would leave the lines to whoever has them
			} else {
				// Its queue is at its limit: nothing sent now can stand in time.
				c.doubt(s, c.now-e.Elapsed)
			}
			c.unstick(s)
		case Unreachable:
			s.restUntil = max(s.restUntil, c.now+unreachableRest)
			c.doubt(s, c.now-e.Elapsed)
		case TimedOut:
			if !c.overtaken(s, c.now-e.Elapsed) {
				c.doubt(s, c.now-e.Elapsed)
			}
		}
	}
	if k == nil || k.at == nil || k.attempts-1 != e.Attempt {
		return
	}
	k.at.drop(k)
	if k.ranAt == nil && e.Outcome.mayHaveRun() {
		k.ranAt, k.ranSince = k.at, k.sentAt
	}
	k.at = nil
	if e.CallOver {
		c.forget(k)
		return
	}
	if e.Outcome.mayLinger() {
		k.readyAt = c.now + c.settings.ReleaseGuard
	}
	if c.now >= k.deadline-2*c.settings.Tick {
		c.lose(k)
		c.do(Fail{ID: k.id})
		return
	}
	c.held = append(c.held, k)
}

// unstick has classes that keep to the server choose anew.
func (c *Controller) unstick(s *server) {
	maps.DeleteFunc(c.last, func(_ string, last *server) bool { return last == s })
}

// drop takes the attempt of a call off the list of those without an answer.
func (s *server) drop(k *call) {
	if s == nil {
		return
	}
	s.out = slices.DeleteFunc(s.out, func(o *call) bool { return o == k })
}

// --- Server health ---

// overtaken reports whether a later set-up has overtaken one that was sent to the server then. The processor
// takes them in turn, so that one was lost, or its answer was: its age tells of no queue.
func (c *Controller) overtaken(s *server, sentAt time.Duration) bool {
	return s.latest-sentAt > max(s.quiet, 4*c.settings.Tick)
}

// age of the oldest set-up that waits at the server without an answer.
func (c *Controller) age(s *server) time.Duration {
	for _, k := range s.out {
		if !c.overtaken(s, k.sentAt) {
			return c.now - k.sentAt
		}
	}
	return 0
}

// watch makes a server suspect when a set-up stays too long without an answer. It guards against every cause
// of silence, and against feeding a queue that is too long already.
func (c *Controller) watch(s *server) {
	limit := c.patience()
	if c.age(s)-c.quiet > limit && !s.suspect {
		c.doubt(s, c.now-c.age(s))
	}
	if !s.suspect || c.now-s.heardAt < limit || !c.settings.MayCancel {
		return
	}
	// Nothing at all comes back: take the calls that have time left to a server that answers.
	healthy := func(o *server) bool { return o.Status == Active && !o.suspect }
	if !slices.ContainsFunc(c.servers, healthy) {
		return
	}
	for _, k := range s.out {
		trial := k == s.out[len(s.out)-1]
		if !trial && !k.undone && c.now-k.sentAt >= limit && c.now+c.settings.ReleaseGuard < k.deadline {
			k.undone = true
			c.do(Cancel{ID: k.id, Attempt: k.attempts - 1})
		}
	}
}

// patience is how long a set-up may go without an answer before its server is suspect.
func (c *Controller) patience() time.Duration { return time.Duration(suspectShare * float64(c.aim)) }

// doubt makes a server suspect: it gets trial calls only, ever more seldom, until one stands promptly or it
// tells of a short wait. A queue that is too long feeds itself, as every set-up that waits is repeated; only
// a rest lets it drain. What became of set-ups sent before the server was suspect tells nothing new.
func (c *Controller) doubt(s *server, sentAt time.Duration) {
	if s.suspect && sentAt < s.suspectAt {
		return
	}
	if !s.suspect {
		s.suspect, s.suspectAt = true, c.now
		s.full = true
		c.update(s)
	}
	c.rest(s, min(doubtRest, max(fullRest, time.Duration(doubtShare*float64(c.aim)))), sentAt)
}

// rest leaves a server alone for a while, which doubles each time in a row. The end of a set-up that was sent
// before the last rest tells nothing new: many that were out at once end alike.
func (c *Controller) rest(s *server, least, sentAt time.Duration) {
	if sentAt >= s.restAt {
		s.rest *= 2
	}
	s.restAt = c.now
	s.rest = min(max(s.rest, least), trialGap*least)
	s.restUntil = max(s.restUntil, c.now+s.rest+time.Duration(c.rng.Int64N(int64(s.rest)/2+1)))
}

// part is the part of the node's arrivals a second that falls to a server: by weight, or an even one.
func (c *Controller) part(s *server) float64 {
	weight, of := 1, len(c.servers)
	if s.Weight > 0 {
		weight, of = s.Weight, 0
		for _, o := range c.servers {
			of += o.Weight
		}
	}
	arrivals := perSecond(float64(c.offers), c.now-c.startedAt)
	return max(arrivals*float64(weight)/float64(of), c.leastRate())
}

// heard notes a prompt answer. A server that was silent for long may have started anew.
func (c *Controller) heard(s *server) {
	if s.suspect && c.now-s.heardAt >= silenceCold {
		c.startCold(s, c.now)
	}
	s.suspect, s.rest = false, 0
	s.heardAt = c.now
}

func (c *Controller) report(s *server, figures []float64) {
	fields, peers := c.settings.ReportFields, max(c.settings.Nodes, 1)
	for i, v := range figures {
		if i >= len(fields) || v < 0 {
			continue
		}
		switch fields[i] {
		case FreeLines:
			// All nodes read this figure, and what their calls of second choice take must not exceed it.
			s.free, s.spare = int(v), int(v/float64(peers)+c.rng.Float64())
		case Lines:
			s.lines = max(v, 1)
		case QueueWait:
			s.wait = max(0, time.Duration(v*float64(time.Millisecond)))
			if s.suspect {
				c.relieve(s)
			}
		case MaxRate:
			s.able = v
		case Utilisation:
			s.util += v
			s.reports++
			if v < minOccupancy && (s.overhead == 0 || v < s.overhead) {
				s.overhead = v // the paper measures it in light traffic
			}
		}
	}
}

// relieve takes in the wait that a suspect server tells. A long one is the rest that it needs. A short one
// ends the doubt after the rest; until a call has stood it gets one at a time, and the next rest is longer.
func (c *Controller) relieve(s *server) {
	over := s.wait - time.Duration(targetShare*float64(c.aim))
	if over > 0 {
		s.restUntil = max(s.restUntil, c.now+min(over, mostRest)+time.Duration(c.rng.Int64N(int64(fullRest))))
	} else if c.now >= s.restUntil {
		s.suspect, s.credit = false, c.rng.Float64()
	}
}

func (c *Controller) listReceived(e ListReceived) {
	if e.Failed {
		c.listAt = c.now + listRetry
		return
	}
	named := map[ServerID]bool{}
	for _, entry := range e.Entries {
		named[entry.ID] = true
		s := c.byID[entry.ID]
		if s == nil {
			s = &server{open: true, heardAt: c.now, rolledAt: c.now, free: -1, spare: -1, lines: 1}
			s.credit = c.rng.Float64()
			s.periodAt = c.now - time.Duration(c.rng.Int64N(int64(controlPeriod)))
			s.delayAt = s.periodAt
			c.byID[entry.ID] = s
			c.servers = append(c.servers, s)
		}
		restarted := entry.StartedAt != s.StartedAt
		s.ServerEntry = entry
		if restarted && entry.StartedAt > 0 && c.now-entry.StartedAt < c.settings.WarmUpTime {
			c.startCold(s, entry.StartedAt)
		}
	}
	for _, s := range c.servers {
		if e.Whole && !named[s.ID] {
			s.Status = Removed
		}
		if s.Status != Removed {
			s.goneAt = c.now
		}
	}
	c.retire()
}

// retire forgets servers that have long been gone. Until then one in its place learns from it what to expect.
func (c *Controller) retire() {
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		old := s.Status == Removed && len(s.out) == 0 && c.now-s.goneAt > 2*max(c.settings.WarmUpTime, controlPeriod)
		if old {
			delete(c.byID, s.ID)
			c.unstick(s)
		}
		return old
	})
}

func (c *Controller) askForList() {
	if c.listAt > 0 && c.now >= c.listAt {
		c.listAt = 0
		c.do(Subscribe{})
	}
}

// --- Cold starts ---

// startCold marks a server as started at the given time: coldRate makes its window until it is warm.
func (c *Controller) startCold(s *server, at time.Duration) {
	s.cold, s.coldFrom, s.suspect = true, at, false
	s.open, s.credit = false, c.rng.Float64()
	s.delay = 0
	c.do(Log{Text: "server " + string(s.ID) + " starts cold"})
}

// coldRate is how many starts a second a cold server is sent: this node's part of what a warm one gets, cut
// to the share it can do by now, times half of the multiple that pushes it over. So the sum of all is safe.
func (c *Controller) coldRate(s *server) float64 {
	since := float64(c.now-s.coldFrom) / float64(max(c.settings.WarmUpTime, 1))
	s.cold = since < 1
	share := c.settings.ColdCapacity + (1-c.settings.ColdCapacity)*min(max(0, since), 1)
	return c.rate(s) * share * max(1, c.settings.ColdOverloadFactor/2)
}

// rate is how many starts a second this node makes to the server when it is warm. A new one gets what the one
// in its place got, or its part by size of all that the node sends: that may have been nobody's first choice.
// Others that are new have their parts as well; each reckoned as the only one, their sum was above the whole.
func (c *Controller) rate(s *server) float64 {
	if s.watched > 0 {
		return max(s.ownRate(), c.leastRate())
	}
	rate, lines, known, others, before := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, o := range c.servers {
		if o.watched > 0 && o.Cell == s.Cell && s.Weight == 0 {
			before = max(before, o.ownRate())
		}
		if o.watched > 0 && o.Status != Removed {
			rate += o.ownRate() // what a draining one took, others take now
		}
		if o != s && o.Status == Active {
			if others++; o.watched > 0 || o.size() > 1 {
				lines, known = lines+o.size(), known+1
			}
		}
	}
	mean, size := lines/max(known, 1), s.size()
	if size <= 1 && s.Weight == 0 && known > 0 {
		size = mean // its own is not told yet
	}
	return max(rate*size/(others*mean+size), before, c.leastRate())
}

// size is what a server can take against the others: its weight, or its lines.
func (s *server) size() float64 {
	return cmp.Or(float64(max(s.Weight, 0)), s.lines)
}

// able is how many set-ups a second the server can take from all nodes: as it told, or by what others tell
// for a line; 0 if none does.
func (c *Controller) able(s *server) float64 {
	return cmp.Or(s.able, s.lines*c.perLine)
}

func (s *server) ownRate() float64 { return perSecond(s.stood, s.watched) }

// perSecond is the rate of what was counted over a time. A few in less than a period may be chance.
func perSecond(count float64, over time.Duration) float64 {
	if count < 2*minStarts {
		over = max(over, ratePeriod)
	}
	return count / max(over, fullRest).Seconds()
}

// leastRate keeps this node informed, and all nodes together harmless.
func (c *Controller) leastRate() float64 { return firstRate / float64(max(c.settings.Nodes, 1)) }

// planWake asks for a turn at the next time at which something may be due.
func (c *Controller) planWake() {
	if len(c.calls) == 0 && c.listAt == 0 {
		return
	}
	next := c.now + 10*c.settings.Tick
	if len(c.held) > 0 {
		next = c.now + 2*c.settings.Tick
	}
	if c.wakeAt == 0 || next < c.wakeAt {
		c.wakeAt = next
		c.do(Wake{After: next - c.now})
	}
}
