package control

import (
	"math/rand/v2"
	"time"
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
