package fleet

import (
	"fmt"
	"time"

	"cherryrelay/control"
)

func name(i, life int) control.ServerID { return control.ServerID(fmt.Sprintf("d%d.%d", i, life)) }

func id(number, try int) string { return fmt.Sprintf("%d.%d", number, try) }

// try is one call at a controller.
type try struct {
	id       control.CallID
	person   *person
	cell     int
	deadline time.Duration
	over     bool // it has had its final answer, or its caller has left
	attempts int
	out      *attempt
	readyAt  time.Duration
}

// attempt is a set-up at a dispatcher.
type attempt struct {
	try      *try
	number   int
	at       *dispatcher
	from     *controller
	sentAt   time.Duration
	answered bool
	gone     bool // its controller does not wait for it any more
}

// controller is one access node: the decision module and as much of the core as it needs.
type controller struct {
	w      *world
	index  int
	life   int
	module *control.Controller
	events []control.Event
	calls  map[control.CallID]*try
	away   bool
	wakeAt time.Duration
}

func (c *controller) tell(e control.Event) { c.events = append(c.events, e) }

func (c *controller) offer(t *try) {
	c.calls[t.id] = t
	c.tell(control.CallOffered{ID: t.id, Budget: t.deadline - c.w.now, Called: fmt.Sprint("n", t.person.number), FirstCell: t.cell})
}

// drop gives up what is out for a call that is over.
func (c *controller) drop(t *try) {
	delete(c.calls, t.id)
	if t.out != nil {
		t.out.gone = true
		t.out = nil
	}
}

// withdraw has the controller get no new calls. One that is killed loses those it has, and what it knows.
func (c *controller) withdraw(killed bool) {
	c.away = true
	if !killed {
		return
	}
	for _, t := range c.calls {
		t.over = true
		if t.out != nil {
			t.out.gone = true
		}
		t.person.again(0)
	}
	c.calls, c.events = map[control.CallID]*try{}, nil
	c.life++
}

func (c *controller) back(killed bool) {
	c.away = false
	if killed {
		module, err := control.New(c.w.Settings, c.w.Seed*1000+uint64(c.index)+uint64(c.life)*7)
		if err == nil {
			c.module = module
		}
		c.tell(c.w.list())
	}
}

// turn gives the module what has come, and does what it says.
func (c *controller) turn() {
	w := c.w
	w.after(tick, c.turn)
	if c.wakeAt > 0 && w.now >= c.wakeAt {
		c.wakeAt = 0
		c.tell(control.Woken{})
	}
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	for _, a := range c.module.Step(start+w.now, events) {
		switch a := a.(type) {
		case control.SetUp:
			c.setUp(a)
		case control.Cancel:
			if t := c.calls[a.ID]; t != nil && t.out != nil && t.out.number == a.Attempt {
				c.ended(t.out, control.Cancelled, false)
			}
		case control.Refuse:
			c.final(a.ID, a.HoldOff)
		case control.Fail:
			c.final(a.ID, 0)
		case control.Wake:
			c.wakeAt = w.now + a.After
		}
	}
}

func (c *controller) final(id control.CallID, wait time.Duration) {
	t := c.calls[id]
	if t == nil || t.over {
		return
	}
	c.w.second(c.w.now).Refusals++
	t.over = true
	c.drop(t)
	t.person.again(wait)
}

// setUp sends an attempt, and holds it against the rules.
func (c *controller) setUp(a control.SetUp) {
	w, t := c.w, c.calls[a.ID]
	if t == nil || t.over {
		return
	}
	if t.out != nil || w.now < t.readyAt {
		w.result.Faults = append(w.result.Faults, fmt.Sprintf("%v: %s sent while one is out, or inside the guard", w.now, a.ID))
	}
	x := &attempt{try: t, number: t.attempts, from: c, sentAt: w.now}
	t.attempts++
	t.out = x
	w.second(w.now).Attempts++
	for _, d := range w.dispatchers {
		if d.id == a.Server {
			x.at = d
		}
	}
	limit := t.deadline - w.now - 25*time.Millisecond
	if a.Limit > 0 {
		limit = min(limit, a.Limit)
	}
	life := c.life
	w.after(limit, func() {
		if t.out == x && c.life == life {
			c.ended(x, control.TimedOut, false)
		}
	})
	if x.at == nil { // it has gone, and this controller was not told yet
		w.after(2*hop, func() { c.ended(x, control.Unreachable, false) })
		return
	}
	w.after(hop, func() { x.at.take(x) })
}

// ended tells the module the outcome of the attempt that is out.
func (c *controller) ended(x *attempt, o control.Outcome, noLine bool) {
	t := x.try
	if t.out != x {
		return
	}
	t.out, x.gone = nil, true
	switch o {
	case control.TimedOut, control.Cancelled, control.Reset:
		t.readyAt = c.w.now + c.w.Settings.ReleaseGuard
	}
	c.tell(control.AttemptEnded{ID: t.id, Server: x.at.name(), Attempt: x.number, Outcome: o, Elapsed: c.w.now - x.sentAt, NoLine: noLine})
}

func (d *dispatcher) name() control.ServerID {
	if d == nil {
		return ""
	}
	return d.id
}

// answered tells that an attempt was answered.
func (c *controller) answered(x *attempt) {
	t := x.try
	if t.out != x || t.over {
		return
	}
	t.out, t.over = nil, true
	delete(c.calls, t.id)
	c.tell(control.CallStands{ID: t.id, Server: x.at.id, Attempt: x.number, Elapsed: c.w.now - x.sentAt})
	t.person.stands()
	if c.w.now >= c.w.ServedFrom {
		c.w.result.Served[c.index]++
	}
	elapsed := c.w.now - x.sentAt
	c.w.after(time.Duration(float64(c.w.callTime())*(0.5+c.w.rng.Float64())), func() {
		x.at.put(work{cost: endPart, done: func() {
			x.at.inUse--
			c.tell(control.AttemptEnded{ID: t.id, Server: x.at.id, Attempt: x.number, Outcome: control.Completed, Elapsed: elapsed, CallOver: true})
		}})
	})
}

// dispatcher has a processor of one line: set-ups first, and behind them answers and releases.
type dispatcher struct {
	w        *world
	index    int
	life     int
	id       control.ServerID
	coldFrom time.Duration
	warmAt   time.Duration // when it is warm
	slow     float64
	draining bool
	down     bool // pushed over
	setUps   []work
	others   []work
	working  bool
	busy     time.Duration
	pressure float64 // set-ups that came, lately, against what it can do
	pressed  time.Duration
	inUse    int // lines that calls have, those being set up included
	seenAt   time.Duration
}

// work is a piece of work for the processor, as a part of that of a call.
type work struct {
	cost float64
	done func()
}

func (d *dispatcher) entry() control.ServerEntry {
	e := control.ServerEntry{ID: d.id, Cell: d.index, Zone: "z"}
	if d.life > 0 {
		e.StartedAt = start + d.coldFrom
	}
	return e
}

// speed is what part of a warm processor's work it does now.
func (d *dispatcher) speed() float64 {
	speed := 1.0
	if d.w.now < d.warmAt {
		share := d.w.Settings.ColdCapacity
		speed = share + (1-share)*float64(d.w.now-d.coldFrom)/float64(d.w.Settings.WarmUpTime)
	}
	if d.slow > 0 {
		speed /= d.slow
	}
	return speed
}

// takes is how long a piece of work takes now.
func (d *dispatcher) takes(cost float64) time.Duration {
	return time.Duration(cost / (d.w.Rate * d.speed()) * float64(time.Second))
}

// waits is how long a set-up that came now would wait.
func (d *dispatcher) waits() time.Duration {
	cost := 0.0
	for _, x := range d.setUps {
		cost += x.cost
	}
	return d.takes(cost)
}

// take has a set-up come.
func (d *dispatcher) take(x *attempt) {
	if d.down || d.draining {
		d.w.after(hop, func() { x.from.ended(x, control.Unreachable, false) })
		return
	}
	d.press()
	if d.w.Lines > 0 && d.inUse >= d.w.Lines {
		d.put(work{cost: refusePart, done: func() { d.w.after(hop, func() { x.from.ended(x, control.Full, true) }) }})
		return
	}
	if d.waits() > fullAfter {
		d.put(work{cost: refusePart, done: func() { d.w.after(hop, func() { x.from.ended(x, control.Full, false) }) }})
		return
	}
	d.inUse++
	d.setUp(work{cost: setUpPart, done: func() {
		d.put(work{cost: answerPart, done: func() {
			if x.gone {
				d.inUse-- // nobody waits for it
			}
			x.answered = true
			d.w.after(hop, func() { x.from.answered(x) })
		}})
	}})
	d.repeat(x, repeatAfter)
}

// repeat has a set-up without an answer sent again; each repeat is work in front of answers.
func (d *dispatcher) repeat(x *attempt, gap time.Duration) {
	d.w.after(gap, func() {
		if x.answered || x.gone || d.down {
			return
		}
		d.setUp(work{cost: repeatPart, done: func() {}})
		d.repeat(x, 2*gap)
	})
}

// press notes a set-up against what a cold processor bears.
func (d *dispatcher) press() {
	since := d.w.now - d.seenAt
	d.seenAt = d.w.now
	d.pressure = d.pressure*max(0, 1-since.Seconds()) + 1
	if d.w.now >= d.warmAt || d.pressure <= d.w.Settings.ColdOverloadFactor*d.w.Rate*d.speed() {
		d.pressed = 0
		return
	}
	if d.pressed += min(since, 100*time.Millisecond); d.pressed > tipFor {
		d.down = true
		d.w.result.Tipped++
	}
}

func (d *dispatcher) setUp(x work) {
	d.setUps = append(d.setUps, x)
	d.next()
}

func (d *dispatcher) put(x work) {
	d.others = append(d.others, x)
	d.next()
}

// next begins the next piece of work.
func (d *dispatcher) next() {
	if d.working || d.down {
		return
	}
	var x work
	switch {
	case len(d.setUps) > 0:
		x, d.setUps = d.setUps[0], d.setUps[1:]
	case len(d.others) > 0:
		x, d.others = d.others[0], d.others[1:]
	default:
		return
	}
	d.working = true
	takes := d.takes(x.cost)
	d.busy += takes
	d.w.after(takes, func() {
		d.working = false
		x.done()
		d.next()
	})
}
