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
	// controlPeriod is the paper's CCperiod. It is short because overloads last only seconds here; a much
	// shorter one would contain too few starts.
	controlPeriod = 700 * time.Millisecond
	// minRatePeriod is the shortest time over which a count is converted to a rate.
	minRatePeriod = 2 * time.Second
	// minIntervalStarts is the number of starts after which an update interval (OPPUI) ends. The interval
	// lasts as many control periods as that takes.
	minIntervalStarts = 2
	// maxOccupancy, minOccupancy and tooHighOccupancy are max.occup, min.occup and occ.too.high of the paper.
	maxOccupancy     = 0.9
	minOccupancy     = 0.75
	tooHighOccupancy = 1.2
	// minFractionCalls is the paper's min.fraction.calls, with the paper's value.
	minFractionCalls = 0.75
	// maxIncrease, maxDecrease and extraDecrement are limits of one change of a window, as shares of it.
	maxIncrease    = 0.5
	maxDecrease    = 0.15
	extraDecrement = 0.1
	// minWindowShare is the smallest window, as a share of the node's arrivals for the server. It lets a
	// window grow back.
	minWindowShare = 0.4
	// targetWaitShare is the wait that counts as full occupancy, as a share of the tightest aim.
	targetWaitShare = 0.2
	// suspectDelayShare is the delay that makes a server suspect, as a share of the tightest aim.
	suspectDelayShare = 0.45
	// delayHalfLife is the age at which the smoothed delay and a new delay have equal weight. The weight
	// depends on age because with few calls the newest delay is all that is known.
	delayHalfLife = time.Second
	// fullBackOff is the back-off of a server that answered full, and the shortest one of a suspect server.
	fullBackOff = 250 * time.Millisecond
	// suspectBackOffShare is the first back-off of a suspect server, as a share of the tightest aim;
	// maxFirstBackOff is its upper limit. maxReportedBackOff is the longest back-off for a reported wait.
	suspectBackOffShare = 0.33
	maxFirstBackOff     = 500 * time.Millisecond
	maxReportedBackOff  = 4 * time.Second
	unreachableBackOff  = time.Second
	// maxBackOffFactor limits repeated back-offs, which double each time, to this multiple of the first.
	maxBackOffFactor = 16
	// coldSilence is the time without answers after which a server that answers again is treated as cold.
	coldSilence = 3 * time.Second
	// minTotalRate is the lowest rate that is assumed for all nodes together, in starts per second.
	minTotalRate = 1.0
	// listRetryDelay is the delay before the server list is requested again after a failure.
	listRetryDelay = time.Second
)

// Controller makes the decisions of one access node. It is not safe for concurrent use.
type Controller struct {
	settings      Settings
	rng           *rand.Rand
	now           time.Duration
	actions       []Action
	servers       []*server // in the order of their first appearance
	byID          map[ServerID]*server
	calls         map[CallID]*call
	held          []*call                     // calls without an attempt in progress, in order of addition
	lastByClass   map[string]*server          // last server selected, by the name of the class
	firstTries    map[callerKey]time.Duration // times of the first tries of unserved calls
	unservedCalls []*call                     // calls that were not answered, in the order of their removal
	tightestAim   time.Duration               // the shortest aim of all classes
	offeredCalls  int                         // calls offered since startedAt
	startedAt     time.Duration               // time of the first step
	listRequestAt time.Duration               // when to request the server list; 0 for never
	wakeAt        time.Duration               // time of the pending Wake; 0 for none
	ratePerLine   float64                     // mean reported rate per line
	minSetUpTime  time.Duration               // expected set-up time at the fastest server
	minDelay      time.Duration               // lowest delay of any server
}

// call is a pending call: one without a final answer.
type call struct {
	id           CallID
	class        *Class // as configured when the call arrived
	maxAttempts  int    // 0 for no limit
	firstCell    int    // cell of the servers of first choice
	transit      bool   // may only go to firstCell
	calledNumber string
	firstTriedAt time.Duration // time of the caller's first try
	aimDeadline  time.Duration // when the aim is missed
	deadline     time.Duration // when the caller's try ends
	notBefore    time.Duration // earliest time of the next attempt
	attempts     int           // attempts so far
	server       *server       // server of the attempt in progress; nil for none
	sentAt       time.Duration // start of the latest attempt
	cancelSent   bool          // the attempt in progress has been cancelled
	ranOn        *server       // first server that may have run the set-up; nil for none
	ranSentAt    time.Duration // start of the attempt at ranOn
}

// callerKey identifies the repeated calls of one caller.
type callerKey struct {
	calledNumber string
	class        string
	firstCell    int
}

// server holds the state that the node keeps for one core server.
type server struct {
	ServerEntry
	inProgress         []*call       // attempts in progress, oldest first
	ownLines           int           // lines of this node's calls and attempts
	noLineAt           time.Duration // when it last had no line; 0 for never
	backOffUntil       time.Duration // end of the back-off
	backOffSince       time.Duration // start of the last back-off
	backOff            time.Duration // length of the last back-off; 0 after a prompt answer
	lines              float64       // 1 if unknown
	freeLines          int           // lines free at the last report, less own starts since; -1 if unknown
	overflowLines      int           // this node's share of freeLines, for overflow; -1 if unknown
	currentWeight      float64       // balance of the weighted round-robin, in starts times weights
	wasFull            bool          // answered full or became suspect in this update interval
	suspect            bool          // gets trial calls only
	suspectSince       time.Duration
	lastListedAt       time.Duration // time of the last list in which it was not removed
	lastAnswerAt       time.Duration // last answer, or first start after a time without attempts in progress
	lastAnsweredSentAt time.Duration // start of the latest attempt that was answered
	coldSince          time.Duration // start time of a cold server
	cold               bool          // started recently, with reduced capacity
	minDelay           time.Duration // lowest delay of an answer
	excessDelay        time.Duration // smoothed delay of own set-ups beyond minDelay
	excessDelayAt      time.Duration // time of the last update of excessDelay

	unlimited       bool          // has no window yet
	window          float64       // the paper's N, in starts per control period
	credit          float64       // starts that the window allows now; fractions are carried over
	periodStart     time.Duration // start of this control period
	advancedAt      time.Duration // time of the last step
	intervalStarts  int           // starts in this update interval
	intervalAnswers int           // answers in this update interval
	recentStarts    float64       // starts while neither cold nor suspect; halved at times
	promptAnswers   float64       // prompt answers while warm; halved with recentStarts
	observedTime    time.Duration // time while neither cold nor suspect; halved with recentStarts
	overhead        float64       // lowest reported utilisation, the paper's overhead
	utilSum         float64       // sum of the utilisations reported in this update interval
	utilReports     int           // number of utilisations in utilSum
	reportedWait    time.Duration // last wait reported in this update interval
	reportedRate    float64       // last reported rate; 0 if unknown
}

// New returns a Controller for one access node that has just started.
func New(s Settings, seed uint64) (*Controller, error) {
	c := &Controller{
		rng:         rand.New(rand.NewPCG(seed, seed)),
		byID:        map[ServerID]*server{},
		calls:       map[CallID]*call{},
		lastByClass: map[string]*server{},
		firstTries:  map[callerKey]time.Duration{},
	}
	if err := c.UpdateSettings(s); err != nil {
		return nil, err
	}
	return c, nil
}

// UpdateSettings replaces the settings, or returns an error and keeps the current ones. Pending calls keep
// their class and the lower of the two limits on attempts. The state of all servers is kept.
func (c *Controller) UpdateSettings(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	if s.ListOnDemand && !c.settings.ListOnDemand {
		c.listRequestAt = 1
	}
	for _, k := range c.calls {
		if s.MaxAttempts > 0 && (k.maxAttempts == 0 || s.MaxAttempts < k.maxAttempts) {
			k.maxAttempts = s.MaxAttempts
		}
	}
	c.settings, c.tightestAim = s, s.tightestAim()
	return nil
}

// Step processes the events up to now and returns the actions to carry out, in order.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = now, nil
	if c.startedAt == 0 {
		c.startedAt = now
	}
	for _, e := range events {
		switch e := e.(type) {
		case ListReceived:
			c.handleListReceived(e)
		case CallOffered:
			c.handleCallOffered(e)
		case CallStands:
			c.handleCallStands(e)
		case AttemptEnded:
			c.handleAttemptEnded(e)
		case CallerLeft:
			if k := c.calls[e.ID]; k != nil {
				c.removeUnserved(k)
			}
		case ReportReceived:
			if s := c.byID[e.Server]; s != nil && e.OK {
				c.applyReport(s, e.Report)
			}
		case Woken:
			if c.wakeAt <= now {
				c.wakeAt = 0
			}
		}
	}
	c.requestList()
	for _, s := range c.servers {
		c.advanceWindow(s)
		c.checkHealth(s)
	}
	c.updateEstimates()
	c.sendHeld()
	c.refuseExpired()
	c.scheduleWake()
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// --- Windows ---

// advanceWindow adds the credit for the time since the last step and resizes the window at the end of an
// update interval. The window may be much less than one start per period, but not less than this node's
// share of the reported rate. The credit is limited so that the queue stays within the target wait even if
// all nodes spend theirs at once.
func (c *Controller) advanceWindow(s *server) {
	elapsed := c.now - s.advancedAt
	s.advancedAt = c.now
	if s.unlimited {
		s.window = 0
	}
	s.window = max(s.window, c.capacityRate(s)/float64(max(c.settings.Nodes, 1))*controlPeriod.Seconds())
	maxCredit := max(1, s.window*targetWaitShare*c.tightestAim.Seconds()/controlPeriod.Seconds())
	if s.cold {
		s.window, maxCredit = c.coldRate(s)*controlPeriod.Seconds(), 1
	}
	s.credit = min(s.credit+s.window*elapsed.Seconds()/controlPeriod.Seconds(), maxCredit)
	if s.Status == Active && !s.cold && !s.suspect {
		if s.observedTime += elapsed; s.observedTime > minRatePeriod && s.recentStarts >= 4*minIntervalStarts {
			s.observedTime, s.recentStarts, s.promptAnswers = s.observedTime/2, s.recentStarts/2, s.promptAnswers/2
		}
	}
	for c.now-s.periodStart >= controlPeriod {
		s.periodStart += controlPeriod
		if !s.cold && s.intervalAnswers > 0 &&
			(s.intervalStarts >= minIntervalStarts || c.occupancy(s) >= tooHighOccupancy) {
			c.updateWindow(s)
		}
	}
}

// updateWindow resizes the window at the end of an update interval and starts the next interval.
func (c *Controller) updateWindow(s *server) {
	meanStarts := perSecond(s.recentStarts, s.observedTime) * controlPeriod.Seconds()
	occupancy := c.occupancy(s)
	previous := s.window
	if s.unlimited {
		previous = meanStarts
	}
	meanStarts = min(meanStarts, previous)
	if occupancy >= minOccupancy || !s.unlimited && meanStarts >= minFractionCalls*previous {
		s.window = max(resize(previous, meanStarts, occupancy, s.overhead),
			minWindowShare*c.arrivalShare(s)*controlPeriod.Seconds())
		if s.unlimited {
			s.unlimited, s.credit = false, c.rng.Float64()
		}
	} // Otherwise traffic was too light to show what the server can process, and the window stays as it is.
	s.intervalStarts, s.intervalAnswers, s.utilSum, s.utilReports, s.wasFull, s.reportedWait =
		0, 0, 0, 0, false, 0
}

// occupancy returns the occupancy of a server in the update interval. It is the larger of the reported
// utilisation (or the reported wait as a share of the target wait) and the delay of own set-ups as a share
// of the target wait. The age of an attempt in progress is a lower bound of its delay.
func (c *Controller) occupancy(s *server) float64 {
	target := targetWaitShare * float64(c.tightestAim)
	occupancy := float64(max(s.excessDelay, c.oldestAge(s)-s.minDelay)) / target
	if s.wasFull {
		occupancy = max(occupancy, tooHighOccupancy)
	}
	return max(occupancy, cmp.Or(s.utilSum/float64(max(s.utilReports, 1)), float64(s.reportedWait)/target))
}

// resize applies the paper's rule for the next window N. previous is the last N, meanStarts the mean number
// of starts per period under it. The paper rounds N down where it is used and increases a small N by a
// whole call to compensate; below one, the increase is left out.
func resize(previous, meanStarts, occupancy, overhead float64) float64 {
	prelim := meanStarts
	if occupancy > overhead {
		prelim = (maxOccupancy - overhead) / (occupancy - overhead) * meanStarts
	}
	if occupancy >= tooHighOccupancy {
		return max(prelim, previous*(1-maxDecrease)) * (1 - extraDecrement)
	}
	if prelim-previous >= 1 && maxIncrease*previous < 1 && previous >= 1 {
		return previous + 1
	}
	return min(max(prelim, previous*(1-maxDecrease)), previous*(1+maxIncrease))
}

// Avoids reports whether the server gets no calls at the moment, or only trial calls.
func (c *Controller) Avoids(now time.Duration, id ServerID) bool {
	s := c.byID[id]
	return s == nil || s.Status != Active || s.suspect || now < s.backOffUntil
}

// allows reports whether the server may be sent one more set-up now, as first choice or as overflow.
// Overflow goes to servers that are not the call's first choice. It is limited to this node's share of the
// reported rate and of the free lines, even without a window: a little overflow from large servers, sent by
// each of many nodes, would overload small ones. While a server is short of lines and this node has its
// share of them, the limit on free lines applies to first-choice calls, too.
func (c *Controller) allows(s *server, firstChoice bool) bool {
	if s.Status != Active || c.now < s.backOffUntil || s.freeLines == 0 ||
		s.overflowLines == 0 && (!firstChoice || c.hasLineShare(s)) ||
		s.backOff > 0 && len(s.inProgress) > 0 { // one at a time until a call has been answered
		return false
	}
	if s.suspect && !s.cold { // a trial call; overflow only if no first-choice call came for long
		return firstChoice || c.now-s.backOffUntil > maxBackOffFactor*maxFirstBackOff
	}
	return s.credit >= 1 || s.unlimited && (firstChoice || s.window == 0)
}

// --- Selection of servers ---

// permitted reports whether the class of the call and the layout permit it to go to the server.
func (c *Controller) permitted(k *call, s *server) bool {
	class := k.class
	if s.Status != Active || len(class.Cells) > 0 && !slices.Contains(class.Cells, s.Cell) {
		return false
	}
	if c.settings.Layout == Network && (s.Cell == c.settings.OwnCell || k.transit && s.Cell != k.firstCell) {
		return false
	}
	return k.ranOn == nil || class.mayResendTo(s, k.ranOn, c.now-k.ranSentAt)
}

// selectServer picks a server whose window allows the call, or returns nil if the call has to wait. Servers
// of first choice come first, and share calls by weight. Overflow is shared by weight if any server has one.
// If not, a class stays with its last server while no set-up waits there, and then moves to a random one.
func (c *Controller) selectServer(k *call) *server {
	var allowed, firstChoice []*server
	isFirstChoice := func(s *server) bool { return s.Cell == k.firstCell && c.permitted(k, s) }
	noFirstChoice := !slices.ContainsFunc(c.servers, isFirstChoice) // then all servers are equal
	for _, s := range c.servers {
		if c.permitted(k, s) && c.allows(s, noFirstChoice || s.Cell == k.firstCell) {
			if s.Cell == k.firstCell {
				firstChoice = append(firstChoice, s)
			}
			allowed = append(allowed, s)
		}
	}
	switch {
	case len(allowed) == 0:
		return nil
	case len(firstChoice) > 0:
		return pickByWeight(firstChoice)
	case slices.ContainsFunc(allowed, func(s *server) bool { return s.Weight > 0 }):
		return pickByWeight(allowed)
	}
	if last := c.lastByClass[k.class.Name]; !slices.Contains(allowed, last) || len(last.inProgress) > 0 {
		c.lastByClass[k.class.Name] = c.pickRandom(allowed)
	}
	return c.lastByClass[k.class.Name]
}

// hasLineShare reports whether the server was recently out of lines and this node uses its share of them.
func (c *Controller) hasLineShare(s *server) bool {
	return s.noLineAt > 0 && c.now-s.noLineAt < maxReportedBackOff &&
		s.ownLines*max(c.settings.Nodes, 1) >= int(s.lines)
}

// pickRandom picks a server at random, in proportion to the rate of each.
func (c *Controller) pickRandom(candidates []*server) *server {
	picked, total := candidates[0], 0.0
	for _, s := range candidates {
		rate := cmp.Or(c.capacityRate(s), s.lines)
		if total += rate; c.rng.Float64()*total < rate {
			picked = s
		}
	}
	return picked
}

// pickByWeight picks by smooth weighted round-robin; without weights, it picks the first.
func pickByWeight(candidates []*server) *server {
	next, total := candidates[0], 0.0
	for _, s := range candidates {
		s.currentWeight += float64(s.Weight)
		total += float64(s.Weight)
		if s.currentWeight > next.currentWeight {
			next = s
		}
	}
	next.currentWeight -= total
	return next
}

// --- Held calls ---

func (c *Controller) handleCallOffered(e CallOffered) {
	if c.calls[e.ID] != nil || e.Class < 0 || e.Class >= len(c.settings.Classes) {
		return
	}
	class := &c.settings.Classes[e.Class]
	k := &call{
		id: e.ID, class: class, maxAttempts: c.settings.MaxAttempts, firstCell: e.FirstCell, transit: e.Transit,
		calledNumber: e.Called, firstTriedAt: c.now,
		deadline: c.now + e.Budget, notBefore: max(c.now, e.NotBefore), attempts: e.Attempts,
	}
	// The aim counts from the caller's first try. Not every caller marks a redial, so a call to the number
	// of an unserved call counts as a redial until the deadline of the first try.
	if firstTry, ok := c.firstTries[k.callerKey()]; ok && c.now-firstTry < class.Deadline {
		k.firstTriedAt = firstTry
	} else if e.Redial {
		k.firstTriedAt = c.now - class.Aim
	}
	k.aimDeadline = k.firstTriedAt + class.Aim
	c.offeredCalls++
	c.calls[k.id] = k
	c.held = append(c.held, k)
}

func (k *call) callerKey() callerKey { return callerKey{k.calledNumber, k.class.Name, k.firstCell} }

// removeUnserved removes a call that was not answered and keeps the time of its caller's first try.
func (c *Controller) removeUnserved(k *call) {
	c.removeCall(k)
	if k.calledNumber == "" {
		return
	}
	c.firstTries[k.callerKey()] = k.firstTriedAt
	c.unservedCalls = append(c.unservedCalls, k)
	for len(c.unservedCalls) > 0 && c.now-c.unservedCalls[0].firstTriedAt > c.unservedCalls[0].class.Deadline {
		if old := c.unservedCalls[0]; c.firstTries[old.callerKey()] == old.firstTriedAt {
			delete(c.firstTries, old.callerKey())
		}
		c.unservedCalls = c.unservedCalls[1:]
	}
}

// removeCall removes a call that is no longer pending.
func (c *Controller) removeCall(k *call) {
	delete(c.calls, k.id)
	k.server.removeAttempt(k)
	c.held = slices.DeleteFunc(c.held, func(o *call) bool { return o == k })
}

// value returns what the call is worth if it is sent now.
func (c *Controller) value(k *call) float64 {
	if c.late(k) {
		return k.class.Worth * k.class.LateShare
	}
	return k.class.Worth
}

// late reports whether the call can no longer be answered within its aim.
func (c *Controller) late(k *call) bool {
	return c.now+c.minSetUpTime > k.aimDeadline
}

// updateEstimates computes ratePerLine and minSetUpTime for this step. Without a healthy server,
// minSetUpTime is 0.
func (c *Controller) updateEstimates() {
	c.minSetUpTime = math.MaxInt64
	rate, lines := 0.0, 1.0
	for _, s := range c.servers {
		if s.reportedRate > 0 {
			rate, lines = rate+s.reportedRate, lines+s.lines
		}
		if s.Status == Active && !s.suspect {
			c.minSetUpTime = min(c.minSetUpTime, s.minDelay+s.excessDelay)
		}
	}
	c.ratePerLine = rate / lines
	if c.minSetUpTime == math.MaxInt64 {
		c.minSetUpTime = 0
	}
}

// sendHeld sends held calls as far as the windows allow, in the order of their value. Among equals, the
// newest comes first: in an overload, the oldest calls would all be answered just too late.
func (c *Controller) sendHeld() {
	queue := slices.Clone(c.held)
	slices.Reverse(queue)
	slices.SortStableFunc(queue, func(a, b *call) int { return cmp.Compare(c.value(b), c.value(a)) })
	for _, k := range queue {
		if k.notBefore <= c.now && c.now < k.deadline-2*c.settings.Tick && !k.attemptsExhausted() {
			if s := c.selectServer(k); s != nil {
				c.send(k, s)
			}
		}
	}
}

// refuseExpired refuses held calls without time, attempts or a permitted server left. It also refuses calls
// that are late while others that are not late wait.
func (c *Controller) refuseExpired() {
	timelyHeld := false
	for _, k := range c.held {
		timelyHeld = timelyHeld || k.notBefore <= c.now && !c.late(k)
	}
	for _, k := range slices.Clone(c.held) {
		if k.attemptsExhausted() || c.now >= k.deadline-2*c.settings.Tick || !c.hasPermittedServer(k) ||
			timelyHeld && c.late(k) {
			c.refuse(k)
		}
	}
}

// attemptsExhausted reports whether the call has used all its attempts.
func (k *call) attemptsExhausted() bool { return k.maxAttempts > 0 && k.attempts >= k.maxAttempts }

// hasPermittedServer reports whether any known server is permitted for the call.
func (c *Controller) hasPermittedServer(k *call) bool {
	for _, s := range c.servers {
		if c.permitted(k, s) {
			return true
		}
	}
	return false
}

// refuse sends the final answer of the call: a refusal, with a hold-off where callers support it, or a
// failure if the class does not allow a refusal any more.
func (c *Controller) refuse(k *call) {
	c.removeUnserved(k)
	if !k.class.MayRefuse(k.ranOn != nil) {
		c.emit(Fail{ID: k.id})
		return
	}
	refusal := Refuse{ID: k.id}
	if c.settings.MayHoldOff {
		refusal.HoldOff = c.settings.MaxHoldOff
	}
	c.emit(refusal)
}

// --- Attempts ---

// send starts an attempt of the call at the server.
func (c *Controller) send(k *call, s *server) {
	c.held = slices.DeleteFunc(c.held, func(o *call) bool { return o == k })
	k.attempts++
	k.server, k.sentAt, k.cancelSent = s, c.now, false
	if len(s.inProgress) == 0 {
		s.lastAnswerAt = c.now
	}
	s.inProgress = append(s.inProgress, k)
	s.intervalStarts++
	s.ownLines++
	s.credit = max(0, s.credit-1)
	if !s.cold && !s.suspect {
		s.recentStarts++
	}
	if s.freeLines > 0 {
		s.freeLines, s.overflowLines = s.freeLines-1, max(s.overflowLines-1, 0)
	}
	timeout := time.Duration(0)
	if s.suspect {
		// A later answer to a trial call tells nothing new, and repeated set-ups of it lengthen the queue.
		timeout = c.tightestAim
	}
	c.emit(SetUp{ID: k.id, Server: s.ID, Limit: timeout})
}

func (c *Controller) handleCallStands(e CallStands) {
	s := c.byID[e.Server]
	if s != nil && c.overtaken(s, c.now-e.Elapsed) {
		s.lastAnswerAt = c.now // the processor did not cause this delay
		s.intervalAnswers++
	} else if s != nil {
		s.lastAnsweredSentAt = max(s.lastAnsweredSentAt, c.now-e.Elapsed)
		if s.minDelay == 0 || e.Elapsed < s.minDelay {
			s.minDelay = e.Elapsed
		}
		if c.minDelay == 0 || e.Elapsed < c.minDelay {
			c.minDelay = e.Elapsed
		}
		if e.Elapsed-c.minDelay <= c.suspectTimeout() {
			if !s.cold {
				s.promptAnswers++
			}
			c.markHealthy(s)
		} else {
			// The server answers, but its queue is too long and has to drain.
			s.lastAnswerAt = c.now
			c.markSuspect(s, c.now-e.Elapsed)
		}
		sinceLast := float64(c.now - s.excessDelayAt)
		s.excessDelay += time.Duration(sinceLast / (sinceLast + float64(delayHalfLife)) *
			float64(e.Elapsed-s.minDelay-s.excessDelay))
		s.excessDelayAt = c.now
		s.intervalAnswers++
	}
	if k := c.calls[e.ID]; k != nil {
		c.removeCall(k)
	}
}

func (c *Controller) handleAttemptEnded(e AttemptEnded) {
	s, k := c.byID[e.Server], c.calls[e.ID]
	if s != nil {
		c.applyReport(s, e.Report)
		s.ownLines = max(s.ownLines-1, 0)
		switch e.Outcome {
		case Completed:
			if s.freeLines >= 0 && !c.hasLineShare(s) { // otherwise it is left to nodes that have fewer
				s.freeLines, s.overflowLines = s.freeLines+1, s.overflowLines+1 // the call's own line
			}
		case Full:
			s.lastAnswerAt = c.now
			if e.NoLine {
				s.noLineAt = c.now
				// A doubled back-off would leave the lines to the nodes that already have them.
				c.startBackOff(s, fullBackOff, -1)
			} else {
				// Its queue is at its limit: no set-up that is sent now can be answered in time.
				c.markSuspect(s, c.now-e.Elapsed)
			}
			c.clearLastServer(s)
		case Unreachable:
			s.backOffUntil = max(s.backOffUntil, c.now+unreachableBackOff)
			c.markSuspect(s, c.now-e.Elapsed)
		case TimedOut:
			if !c.overtaken(s, c.now-e.Elapsed) {
				c.markSuspect(s, c.now-e.Elapsed)
			}
		}
	}
	if k == nil || k.server == nil || k.attempts-1 != e.Attempt {
		return
	}
	k.server.removeAttempt(k)
	if k.ranOn == nil && e.Outcome.MayHaveRun() {
		k.ranOn, k.ranSentAt = k.server, k.sentAt
	}
	k.server = nil
	if e.CallOver {
		c.removeCall(k)
		return
	}
	if e.Outcome.MayStillRun() {
		k.notBefore = c.now + c.settings.ReleaseGuard
	}
	if c.now >= k.deadline-2*c.settings.Tick {
		c.removeUnserved(k)
		c.emit(Fail{ID: k.id})
		return
	}
	c.held = append(c.held, k)
}

// clearLastServer makes the classes that stay with the server select another one.
func (c *Controller) clearLastServer(s *server) {
	maps.DeleteFunc(c.lastByClass, func(_ string, last *server) bool { return last == s })
}

// removeAttempt removes the call from the attempts in progress.
func (s *server) removeAttempt(k *call) {
	if s == nil {
		return
	}
	s.inProgress = slices.DeleteFunc(s.inProgress, func(o *call) bool { return o == k })
}

// --- Server health ---

// overtaken reports whether a set-up sent after sentAt was answered before the one sent at sentAt. The
// processor works in order of arrival, so the earlier set-up or its answer was lost: its age does not
// indicate a queue.
func (c *Controller) overtaken(s *server, sentAt time.Duration) bool {
	return s.lastAnsweredSentAt-sentAt > max(s.minDelay, 4*c.settings.Tick)
}

// oldestAge returns the age of the oldest attempt in progress at the server that was not overtaken.
func (c *Controller) oldestAge(s *server) time.Duration {
	for _, k := range s.inProgress {
		if !c.overtaken(s, k.sentAt) {
			return c.now - k.sentAt
		}
	}
	return 0
}

// checkHealth makes a server suspect when a set-up has no answer for too long. This covers every cause of
// missing answers, and keeps calls away from a queue that is already too long.
func (c *Controller) checkHealth(s *server) {
	timeout := c.suspectTimeout()
	if c.oldestAge(s)-c.minDelay > timeout && !s.suspect {
		c.markSuspect(s, c.now-c.oldestAge(s))
	}
	if !s.suspect || c.now-s.lastAnswerAt < timeout || !c.settings.MayCancel {
		return
	}
	// The server is unresponsive: move the calls with enough time left to a healthy server.
	healthy := func(o *server) bool { return o.Status == Active && !o.suspect }
	if !slices.ContainsFunc(c.servers, healthy) {
		return
	}
	for _, k := range s.inProgress {
		trial := k == s.inProgress[len(s.inProgress)-1]
		if !trial && !k.cancelSent && c.now-k.sentAt >= timeout && c.now+c.settings.ReleaseGuard < k.deadline {
			k.cancelSent = true
			c.emit(Cancel{ID: k.id, Attempt: k.attempts - 1})
		}
	}
}

// suspectTimeout returns how long a set-up may have no answer before its server becomes suspect.
func (c *Controller) suspectTimeout() time.Duration {
	return time.Duration(suspectDelayShare * float64(c.tightestAim))
}

// markSuspect makes a server suspect. It then gets only trial calls, at growing intervals, until one is
// answered promptly or the server reports a short wait. A queue that is too long sustains itself, because
// waiting set-ups are repeated; only a back-off lets it drain. Outcomes of set-ups sent before the server
// became suspect are ignored, as they tell nothing new.
func (c *Controller) markSuspect(s *server, sentAt time.Duration) {
	if s.suspect && sentAt < s.suspectSince {
		return
	}
	if !s.suspect {
		s.suspect, s.suspectSince = true, c.now
		s.wasFull = true
		c.updateWindow(s)
	}
	c.startBackOff(s, min(maxFirstBackOff,
		max(fullBackOff, time.Duration(suspectBackOffShare*float64(c.tightestAim)))), sentAt)
}

// startBackOff sends nothing to the server for a time that doubles with each repetition, plus up to half of
// it at random. A set-up that was sent before the last back-off does not double it, because attempts that
// were in progress together end alike.
func (c *Controller) startBackOff(s *server, minBackOff, sentAt time.Duration) {
	if sentAt >= s.backOffSince {
		s.backOff *= 2
	}
	s.backOffSince = c.now
	s.backOff = min(max(s.backOff, minBackOff), maxBackOffFactor*minBackOff)
	s.backOffUntil = max(s.backOffUntil, c.now+s.backOff+time.Duration(c.rng.Int64N(int64(s.backOff)/2+1)))
}

// arrivalShare returns the server's share of the node's arrivals per second: by weight, or an equal share.
func (c *Controller) arrivalShare(s *server) float64 {
	weight, total := 1, len(c.servers)
	if s.Weight > 0 {
		weight, total = s.Weight, 0
		for _, o := range c.servers {
			total += o.Weight
		}
	}
	arrivalRate := perSecond(float64(c.offeredCalls), c.now-c.startedAt)
	return max(arrivalRate*float64(weight)/float64(total), c.minRate())
}

// markHealthy records a prompt answer. A suspect server that had not answered for long may have restarted.
func (c *Controller) markHealthy(s *server) {
	if s.suspect && c.now-s.lastAnswerAt >= coldSilence {
		c.startCold(s, c.now)
	}
	s.suspect, s.backOff = false, 0
	s.lastAnswerAt = c.now
}

func (c *Controller) applyReport(s *server, values []float64) {
	fields, nodes := c.settings.ReportFields, max(c.settings.Nodes, 1)
	for i, v := range values {
		if i >= len(fields) || v < 0 {
			continue
		}
		switch fields[i] {
		case FreeLines:
			// All nodes get this number, and their overflow together must not exceed it.
			s.freeLines, s.overflowLines = int(v), int(v/float64(nodes)+c.rng.Float64())
		case Lines:
			s.lines = max(v, 1)
		case QueueWait:
			s.reportedWait = max(0, time.Duration(v*float64(time.Millisecond)))
			if s.suspect {
				c.applyReportedWait(s)
			}
		case MaxRate:
			s.reportedRate = v
		case Utilisation:
			s.utilSum += v
			s.utilReports++
			if v < minOccupancy && (s.overhead == 0 || v < s.overhead) {
				s.overhead = v // the paper measures the overhead in light traffic
			}
		}
	}
}

// applyReportedWait applies the wait that a suspect server reports. The excess of a long wait becomes its
// back-off. After a short one the server is no longer suspect once its back-off is over; until a call has
// been answered it gets one call at a time, and the next back-off is longer.
func (c *Controller) applyReportedWait(s *server) {
	excess := s.reportedWait - time.Duration(targetWaitShare*float64(c.tightestAim))
	if excess > 0 {
		s.backOffUntil = max(s.backOffUntil,
			c.now+min(excess, maxReportedBackOff)+time.Duration(c.rng.Int64N(int64(fullBackOff))))
	} else if c.now >= s.backOffUntil {
		s.suspect, s.credit = false, c.rng.Float64()
	}
}

func (c *Controller) handleListReceived(e ListReceived) {
	if e.Failed {
		c.listRequestAt = c.now + listRetryDelay
		return
	}
	listed := map[ServerID]bool{}
	for _, entry := range e.Entries {
		listed[entry.ID] = true
		s := c.byID[entry.ID]
		if s == nil {
			s = &server{unlimited: true, lastAnswerAt: c.now, advancedAt: c.now,
				freeLines: -1, overflowLines: -1, lines: 1}
			s.credit = c.rng.Float64()
			s.periodStart = c.now - time.Duration(c.rng.Int64N(int64(controlPeriod)))
			s.excessDelayAt = s.periodStart
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
		if e.Whole && !listed[s.ID] {
			s.Status = Removed
		}
		if s.Status != Removed {
			s.lastListedAt = c.now
		}
	}
	c.removeStaleServers()
}

// removeStaleServers deletes servers that were removed long ago. Until then, a replacement in the same cell
// starts from the rate of the removed server.
func (c *Controller) removeStaleServers() {
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		stale := s.Status == Removed && len(s.inProgress) == 0 &&
			c.now-s.lastListedAt > 2*max(c.settings.WarmUpTime, controlPeriod)
		if stale {
			delete(c.byID, s.ID)
			c.clearLastServer(s)
		}
		return stale
	})
}

func (c *Controller) requestList() {
	if c.listRequestAt > 0 && c.now >= c.listRequestAt {
		c.listRequestAt = 0
		c.emit(Subscribe{})
	}
}

// --- Cold starts ---

// startCold marks a server as started at the given time. coldRate determines its window until it is warm.
func (c *Controller) startCold(s *server, at time.Duration) {
	s.cold, s.coldSince, s.suspect = true, at, false
	s.unlimited, s.credit = false, c.rng.Float64()
	s.excessDelay = 0
	c.emit(Log{Text: "server " + string(s.ID) + " starts cold"})
}

// coldRate returns how many starts per second this node sends to a cold server. It is the node's rate at
// the warm server, reduced to the capacity reached so far, times half of the factor that overloads a cold
// server. This keeps the sum over all nodes safe.
func (c *Controller) coldRate(s *server) float64 {
	progress := float64(c.now-s.coldSince) / float64(max(c.settings.WarmUpTime, 1))
	s.cold = progress < 1
	share := c.settings.ColdCapacity + (1-c.settings.ColdCapacity)*min(max(0, progress), 1)
	return c.warmRate(s) * share * max(1, c.settings.ColdOverloadFactor/2)
}

// warmRate returns how many starts per second this node sends to the server when it is warm. For a new
// server it is the rate of the server that it replaces in its cell, or the new server's share of the node's
// total rate by capacity if that is more: the replaced server may have been nobody's first choice. The
// share allows for other new servers; when each was treated as the only one, the rates added up to more
// than the total.
func (c *Controller) warmRate(s *server) float64 {
	if s.observedTime > 0 {
		return max(s.ownRate(), c.minRate())
	}
	rate, lines, knownSizes, others, cellRate := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, o := range c.servers {
		if o.observedTime > 0 && o.Cell == s.Cell && s.Weight == 0 {
			cellRate = max(cellRate, o.ownRate())
		}
		if o.observedTime > 0 && o.Status != Removed {
			rate += o.ownRate() // other servers take over the rate of a draining one
		}
		if o != s && o.Status == Active {
			if others++; o.observedTime > 0 || o.capacity() > 1 {
				lines, knownSizes = lines+o.capacity(), knownSizes+1
			}
		}
	}
	mean, size := lines/max(knownSizes, 1), s.capacity()
	if size <= 1 && s.Weight == 0 && knownSizes > 0 {
		size = mean // its lines are not reported yet
	}
	return max(rate*size/(others*mean+size), cellRate, c.minRate())
}

// capacity returns the size of a server relative to the others: its weight or else its lines.
func (s *server) capacity() float64 {
	return cmp.Or(float64(max(s.Weight, 0)), s.lines)
}

// capacityRate returns how many set-ups per second the server can process from all nodes: the reported
// rate, or an estimate from its lines and the rates of other servers. It is 0 if no server reports a rate.
func (c *Controller) capacityRate(s *server) float64 {
	return cmp.Or(s.reportedRate, s.lines*c.ratePerLine)
}

// ownRate returns how many calls of this node the server answers promptly per second.
func (s *server) ownRate() float64 { return perSecond(s.promptAnswers, s.observedTime) }

// perSecond returns the rate of a count over a time span. A small count in a short span may be chance, so
// it is spread over minRatePeriod.
func perSecond(count float64, span time.Duration) float64 {
	if count < 2*minIntervalStarts {
		span = max(span, minRatePeriod)
	}
	return count / max(span, fullBackOff).Seconds()
}

// minRate returns this node's share of minTotalRate. It is enough to learn the state of a server, and
// harmless even if all nodes send it.
func (c *Controller) minRate() float64 { return minTotalRate / float64(max(c.settings.Nodes, 1)) }

// scheduleWake requests a Woken event for the next time at which the controller may have to act.
func (c *Controller) scheduleWake() {
	if len(c.calls) == 0 && c.listRequestAt == 0 {
		return
	}
	next := c.now + 10*c.settings.Tick
	if len(c.held) > 0 {
		next = c.now + 2*c.settings.Tick
	}
	if c.wakeAt == 0 || next < c.wakeAt {
		c.wakeAt = next
		c.emit(Wake{After: next - c.now})
	}
}
