// Package fleet is a small model of a deployment in simulated time: controllers, each with its own decision module, dispatchers
// with a processor of one line, and callers that dial again. It shows what the decisions of several controllers do to one
// another, which one controller alone can't, and it plays minutes in a fraction of a second, the same for a seed. It is a model,
// not a measurement: what it shows is held against the bench.
package fleet

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"cherryrelay/control"
)

// Scenario is what is played. Times are from its start.
type Scenario struct {
	Seed        uint64
	Lasting     time.Duration
	ServedFrom  time.Duration // calls that stand before it are not counted in Result.Served
	Controllers int
	Dispatchers int
	Rate        float64 // calls a second that one warm processor can carry
	Load        float64 // calls offered, as a share of what all can carry
	Uneven      float64 // the share of all calls that the first controller gets; 0 for an even one
	Jumps       []Jump
	Withdrawn   []Withdrawn
	Slow        []Slow
	Replaced    []Replaced
	ReportEvery time.Duration // a processor's figure is taken so often,
	ReportDelay time.Duration // told so late,
	ReportNoise float64       // and is off by so much
	Settings    control.Settings
	Lines       int           // that a dispatcher has for calls; 0 for as many as come
	CallTime    time.Duration // how long calls stand on average; 0 for lasts
	NoReports   bool          // dispatchers tell nothing of themselves
}

// callTime is how long calls stand on average.
func (s *Scenario) callTime() time.Duration { return cmp.Or(s.CallTime, lasts) }

// Jump multiplies the calls offered for a time.
type Jump struct {
	From, For time.Duration
	Times     float64
}

// Withdrawn has a controller get no new calls for a time; the others get them. One that is killed loses what it has.
type Withdrawn struct {
	Controller int
	From, For  time.Duration
	Killed     bool
}

// Slow has a processor take so many times as long for a time.
type Slow struct {
	Dispatcher int
	From, For  time.Duration
	Times      float64
}

// Replaced has a dispatcher drain and a cold one take its place.
type Replaced struct {
	Dispatcher int
	At         time.Duration
}

// The model's figures, as the operators' pages have them where they have any.
const (
	// setUpPart, answerPart and endPart are how a call's work is made up; refusePart and repeatPart are what a refusal and a
	// repeat cost against a call.
	setUpPart, answerPart, endPart = 0.5, 0.25, 0.25
	refusePart, repeatPart         = 0.1, 0.25
	// repeatAfter is when a set-up without an answer is repeated; the gaps double.
	repeatAfter = 800 * time.Millisecond
	// fullAfter is the wait of set-ups at which a processor turns new ones away.
	fullAfter = 2500 * time.Millisecond
	// tries and redialAfter are how often and when callers dial again; giveUpShare of the limit is how long they wait for a try.
	tries, redialAfter, giveUpShare = 4, 1100 * time.Millisecond, 0.35
	// honour is the part of callers that keep away as long as they are told.
	honour = 0.6
	// lasts is how long calls stand.
	lasts = 8700 * time.Millisecond
	// hop is the way between a controller and a dispatcher.
	hop = 8 * time.Millisecond
	// tick is how often a controller takes in what has come.
	tick = 5 * time.Millisecond
	// tipFor is how long a cold processor bears more than the tipping multiple.
	tipFor = 1500 * time.Millisecond
)

// Second is what happened in one second, counted where a call was first tried.
type Second struct {
	Offered, InTime, Late, Lost int
	Refusals                    int           // in this second, of tries
	Attempts                    int           // set-ups sent
	Busy                        float64       // of all processors
	Wait                        time.Duration // the longest wait for set-ups at its end
	Avoided                     int           // pairs of a controller and a dispatcher that it gives trial calls at most, at its end
	Held                        int           // calls without an attempt out, at its end
}

// Result is what a scenario came to.
type Result struct {
	Seconds []Second
	Tipped  int   // cold dispatchers that were pushed over
	Served  []int // calls that stood, by controller, from ServedFrom on
	Faults  []string
}

// Service is the worth of the calls first tried between two times, of what was offered.
func (r *Result) Service(from, to time.Duration) float64 {
	worth, offered := 0.0, 0
	for i := int(from / time.Second); i < min(int(to/time.Second), len(r.Seconds)); i++ {
		s := r.Seconds[i]
		worth += float64(s.InTime) + 0.25*float64(s.Late)
		offered += s.Offered
	}
	if offered == 0 {
		return 1
	}
	return worth / float64(offered)
}

// event is something that is due.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any) {
	if e, ok := x.(event); ok {
		*a = append(*a, e)
	}
}
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// world plays a scenario.
type world struct {
	Scenario
	now         time.Duration
	agenda      agenda
	order       int
	rng         *rand.Rand
	controllers []*controller
	dispatchers []*dispatcher
	result      *Result
	ids         int
}

// start is the modules' clock at the beginning: a time of 0 means never to them.
const start = time.Hour

// Play plays a scenario to its end.
func Play(s Scenario) (*Result, error) {
	w := &world{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 99)), result: &Result{Seconds: make([]Second, int(s.Lasting/time.Second)+1)}}
	for i := range s.Dispatchers {
		w.dispatchers = append(w.dispatchers, &dispatcher{w: w, index: i, id: name(i, 0), warmAt: -time.Hour})
	}
	for i := range s.Controllers {
		module, err := control.New(s.Settings, s.Seed*1000+uint64(i))
		if err != nil {
			return nil, err //nolint:wrapcheck // it says what it is
		}
		c := &controller{w: w, index: i, module: module, calls: map[control.CallID]*try{}}
		w.controllers = append(w.controllers, c)
		c.tell(w.list())
		w.after(time.Duration(w.rng.Int64N(int64(tick))), c.turn)
	}
	for _, x := range s.Withdrawn {
		c := w.controllers[x.Controller]
		w.after(x.From, func() { c.withdraw(x.Killed) })
		w.after(x.From+x.For, func() { c.back(x.Killed) })
	}
	for _, x := range s.Slow {
		d := x.Dispatcher
		w.after(x.From, func() { w.dispatchers[d].slow = x.Times })
		w.after(x.From+x.For, func() { w.dispatchers[d].slow = 0 })
	}
	for _, x := range s.Replaced {
		w.after(x.At, func() { w.replace(x.Dispatcher) })
	}
	w.result.Served = make([]int, s.Controllers)
	for i := range s.Dispatchers {
		if s.NoReports {
			break
		}
		w.after(time.Duration(w.rng.Int64N(int64(s.ReportEvery))), func() { w.report(i) })
	}
	w.after(0, w.arrive)
	w.after(time.Second, w.eachSecond)
	for len(w.agenda) > 0 {
		e, ok := heap.Pop(&w.agenda).(event)
		if !ok || e.at > s.Lasting {
			break
		}
		w.now = e.at
		e.do()
	}
	return w.result, nil
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, event{w.now + max(d, 0), w.order, do})
}

func (w *world) second(at time.Duration) *Second {
	return &w.result.Seconds[min(int(at/time.Second), len(w.result.Seconds)-1)]
}

func (w *world) eachSecond() {
	s := w.second(w.now - time.Millisecond)
	for _, d := range w.dispatchers {
		s.Wait = max(s.Wait, d.waits())
		s.Busy += d.busy.Seconds() / float64(len(w.dispatchers))
		d.busy = 0
		for _, c := range w.controllers {
			if c.module.Avoids(start+w.now, d.id) {
				s.Avoided++
			}
		}
	}
	for _, c := range w.controllers {
		for _, t := range c.calls {
			if t.out == nil {
				s.Held++
			}
		}
	}
	w.after(time.Second, w.eachSecond)
}

// arrive has a call come, and plans the next.
func (w *world) arrive() {
	rate := w.Rate * float64(w.Dispatchers) * w.Load
	for _, j := range w.Jumps {
		if w.now >= j.From && w.now < j.From+j.For {
			rate *= j.Times
		}
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	p := &person{w: w, first: w.now, cell: w.rng.IntN(w.Dispatchers)}
	w.ids++
	p.number = w.ids
	w.second(w.now).Offered++
	p.dial()
}

// choose picks the controller for a try: among those that serve.
func (w *world) choose() *controller {
	var serve []*controller
	for _, c := range w.controllers {
		if !c.away {
			serve = append(serve, c)
		}
	}
	if len(serve) == 0 {
		return nil
	}
	if w.Uneven > 0 && !w.controllers[0].away && w.rng.Float64() < w.Uneven {
		return w.controllers[0]
	}
	return serve[w.rng.IntN(len(serve))]
}

// person is a caller with one call to make.
type person struct {
	w      *world
	number int
	first  time.Duration
	cell   int
	tries  int
	done   bool
}

func (p *person) dial() {
	w := p.w
	c := w.choose()
	p.tries++
	if c == nil {
		p.again(0)
		return
	}
	limit := time.Duration(giveUpShare * float64(w.Settings.Classes[0].Deadline))
	t := &try{id: control.CallID(id(p.number, p.tries)), person: p, deadline: w.now + limit, cell: p.cell}
	c.offer(t)
	w.after(limit, func() {
		if !t.over {
			t.over = true
			c.tell(control.CallerLeft{ID: t.id})
			c.drop(t)
			p.again(0)
		}
	})
}

// again has the caller dial again, if it still does.
func (p *person) again(wait time.Duration) {
	if p.done || p.tries >= tries || p.w.now-p.first > p.w.Settings.Classes[0].Deadline {
		if !p.done {
			p.done = true
			p.w.second(p.first).Lost++
		}
		return
	}
	pause := redialAfter
	if p.w.rng.Float64() < honour {
		pause = max(pause, wait)
	}
	p.w.after(pause, p.dial)
}

// stands tells the caller that its call stands.
func (p *person) stands() {
	if p.done {
		return
	}
	p.done = true
	if p.w.now-p.first <= p.w.Settings.Classes[0].Aim {
		p.w.second(p.first).InTime++
	} else {
		p.w.second(p.first).Late++
	}
}

func (w *world) list() control.ListReceived {
	l := control.ListReceived{Whole: true}
	for _, d := range w.dispatchers {
		l.Entries = append(l.Entries, d.entry())
	}
	return l
}

// replace has a dispatcher drain and a cold one take its place. The controllers hear of it a second later.
func (w *world) replace(i int) {
	old := w.dispatchers[i]
	old.draining = true
	d := &dispatcher{w: w, index: i, id: name(i, old.life+1), life: old.life + 1, coldFrom: w.now, warmAt: w.now + w.Settings.WarmUpTime}
	w.dispatchers[i] = d
	w.after(time.Second, func() {
		for _, c := range w.controllers {
			c.tell(control.ListReceived{Entries: []control.ServerEntry{
				{ID: old.id, Status: control.Removed, Cell: i}, d.entry()}})
		}
	})
}

// report tells all controllers a processor's wait, as it is told: late, and off by some noise.
func (w *world) report(i int) {
	d := w.dispatchers[i]
	wait := float64(d.waits()) / float64(time.Millisecond) * math.Max(0, 1+w.ReportNoise*w.rng.NormFloat64())
	free, lines := -1.0, -1.0
	if w.Lines > 0 {
		free, lines = float64(max(w.Lines-d.inUse, 0)), float64(w.Lines)
	}
	w.after(w.ReportDelay+hop, func() {
		for _, c := range w.controllers {
			c.tell(control.ReportReceived{Server: d.id, OK: true, Report: []float64{free, lines, wait}})
		}
	})
	w.after(w.ReportEvery, func() { w.report(i) })
}
