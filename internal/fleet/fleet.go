// Package fleet simulates a deployment in simulated time: several controllers, each with its own decision module, dispatchers
// whose processors handle one work item at a time, and callers that dial again. It shows how the decisions of several
// controllers affect one another, which tests of a single controller can't show. It simulates minutes in a fraction of a
// second, and a seed always gives the same result. It is a model, not a measurement: its results have to be compared with the
// benchmark.
package fleet

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"cherryrelay/control"
)

// Scenario describes a simulated deployment and its load. Times count from the start of the simulation.
type Scenario struct {
	Seed                 uint64
	Duration             time.Duration
	ServedFrom           time.Duration // calls established earlier are not counted in Result.Served
	Controllers          int
	Dispatchers          int
	Rate                 float64 // calls per second that one warm processor can handle
	Load                 float64 // offered calls as a fraction of what all warm processors can handle
	FirstControllerShare float64 // fraction of calls that go straight to the first controller; the rest are spread over all
	LoadChanges          []LoadChange
	Withdrawals          []Withdrawal
	Slowdowns            []Slowdown
	Replacements         []Replacement
	ReportEvery          time.Duration // interval of the reports of a processor
	ReportDelay          time.Duration // delay of a report
	ReportNoise          float64       // standard deviation of the relative error of a report
	Settings             control.Settings
	Lines                int           // lines of a dispatcher; 0 for no limit
	CallTime             time.Duration // mean duration of established calls; 0 for defaultCallTime
	NoReports            bool          // dispatchers send no reports
}

// callTime returns the mean duration of established calls.
func (s *Scenario) callTime() time.Duration { return cmp.Or(s.CallTime, defaultCallTime) }

// LoadChange multiplies the offered load for a time.
type LoadChange struct {
	From, Duration time.Duration
	Factor         float64
}

// Withdrawal stops new calls from reaching a controller for a time; the other controllers get them. A killed controller also
// loses its calls and its state.
type Withdrawal struct {
	Controller     int
	From, Duration time.Duration
	Killed         bool
}

// Slowdown multiplies the processing times of a dispatcher for a time.
type Slowdown struct {
	Dispatcher     int
	From, Duration time.Duration
	Factor         float64
}

// Replacement drains a dispatcher and puts a cold one in its place.
type Replacement struct {
	Dispatcher int
	At         time.Duration
}

// The parameters of the model. They agree with the operators' documentation wherever it states them.
const (
	// setUpCost, answerCost and endCost are the parts of the work of a call. refusalCost and repeatCost are the work of a
	// refusal and of a repeated set-up, as fractions of the work of a call.
	setUpCost, answerCost, endCost = 0.5, 0.25, 0.25
	refusalCost, repeatCost        = 0.1, 0.25
	// firstRepeatDelay is the time after which an unanswered set-up is repeated. The delay doubles with each repetition.
	firstRepeatDelay = 800 * time.Millisecond
	// maxQueueWait is the queue wait above which a processor refuses new set-ups.
	maxQueueWait = 2500 * time.Millisecond
	// maxDials is how often a caller dials in all, with redialDelay between two dials. A caller waits for an answer for
	// callerTimeoutShare of the deadline of the class.
	maxDials, redialDelay, callerTimeoutShare = 4, 1100 * time.Millisecond, 0.35
	// holdOffCompliance is the probability that a caller waits for the hold-off of a refusal.
	holdOffCompliance = 0.6
	// defaultCallTime is the mean duration of established calls.
	defaultCallTime = 8700 * time.Millisecond
	// networkDelay is the one-way delay between a controller and a dispatcher.
	networkDelay = 8 * time.Millisecond
	// tick is the interval between event loop iterations of a controller.
	tick = 5 * time.Millisecond
	// maxOverloadTime is how long a cold processor withstands more set-ups than ColdOverloadFactor allows.
	maxOverloadTime = 1500 * time.Millisecond
)

// Second holds the counts of one second. Offered calls and their outcomes count in the second of the first dial.
type Second struct {
	Offered, InTime, Late, Unserved int           // calls: offered, established within the aim, established later, never established
	Refusals                        int           // refused or failed calls; each dial counts
	Attempts                        int           // attempts sent
	Busy                            float64       // mean utilization of the processors
	Wait                            time.Duration // longest queue wait of set-ups at the end of the second
	Avoided                         int           // pairs of a controller and a dispatcher that gets at most trial calls from it, at the end of the second
	WithoutAttempt                  int           // pending calls without an attempt in progress at the end of the second
}

// Result holds the outcome of a simulation.
type Result struct {
	Seconds        []Second
	OverloadedCold int      // cold dispatchers that failed under overload
	Served         []int    // calls established from ServedFrom on, by controller
	Violations     []string // attempts that broke a rule
}

// Service returns the worth of the calls first dialled between two times, as a fraction of the worth if all were answered in time.
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

// event is a function that is scheduled for a time.
type event struct {
	at       time.Duration
	sequence int // orders events of the same time
	run      func()
}

// eventQueue is a heap of events, ordered by time and sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation is the state of a running scenario.
type simulation struct {
	Scenario
	now         time.Duration
	queue       eventQueue
	sequence    int // number of events scheduled so far
	rng         *rand.Rand
	controllers []*controller
	dispatchers []*dispatcher
	result      *Result
	callerCount int
}

// clockStart is the time on the modules' clock at the start. It isn't 0 because the modules take 0 for never.
const clockStart = time.Hour

// Run simulates a scenario to its end. It fails if the settings are invalid.
func Run(s Scenario) (*Result, error) {
	sim := &simulation{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 99)), result: &Result{Seconds: make([]Second, int(s.Duration/time.Second)+1)}}
	for i := range s.Dispatchers {
		sim.dispatchers = append(sim.dispatchers, &dispatcher{sim: sim, index: i, id: serverID(i, 0), warmAt: -time.Hour})
	}
	for i := range s.Controllers {
		module, err := control.New(s.Settings, s.Seed*1000+uint64(i))
		if err != nil {
			return nil, err //nolint:wrapcheck // the error names its cause
		}
		c := &controller{sim: sim, index: i, module: module, calls: map[control.CallID]*pendingCall{}}
		sim.controllers = append(sim.controllers, c)
		c.deliver(sim.serverList())
		sim.schedule(time.Duration(sim.rng.Int64N(int64(tick))), c.runIteration)
	}
	for _, withdrawal := range s.Withdrawals {
		c := sim.controllers[withdrawal.Controller]
		sim.schedule(withdrawal.From, func() { c.withdraw(withdrawal.Killed) })
		sim.schedule(withdrawal.From+withdrawal.Duration, func() { c.restore(withdrawal.Killed) })
	}
	for _, slowdown := range s.Slowdowns {
		i := slowdown.Dispatcher
		sim.schedule(slowdown.From, func() { sim.dispatchers[i].slowdown = slowdown.Factor })
		sim.schedule(slowdown.From+slowdown.Duration, func() { sim.dispatchers[i].slowdown = 0 })
	}
	for _, replacement := range s.Replacements {
		sim.schedule(replacement.At, func() { sim.replace(replacement.Dispatcher) })
	}
	sim.result.Served = make([]int, s.Controllers)
	for i := range s.Dispatchers {
		if s.NoReports {
			break
		}
		sim.schedule(time.Duration(sim.rng.Int64N(int64(s.ReportEvery))), func() { sim.report(i) })
	}
	sim.schedule(0, sim.generateCall)
	sim.schedule(time.Second, sim.sampleSecond)
	for len(sim.queue) > 0 {
		e, ok := heap.Pop(&sim.queue).(event)
		if !ok || e.at > s.Duration {
			break
		}
		sim.now = e.at
		e.run()
	}
	return sim.result, nil
}

// schedule runs a function after a delay.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{sim.now + max(d, 0), sim.sequence, run})
}

// secondAt returns the counts of the second that contains a time.
func (sim *simulation) secondAt(at time.Duration) *Second {
	return &sim.result.Seconds[min(int(at/time.Second), len(sim.result.Seconds)-1)]
}

// sampleSecond records the state at the end of a second and schedules the next sample.
func (sim *simulation) sampleSecond() {
	s := sim.secondAt(sim.now - time.Millisecond)
	for _, d := range sim.dispatchers {
		s.Wait = max(s.Wait, d.queueWait())
		s.Busy += d.busyTime.Seconds() / float64(len(sim.dispatchers))
		d.busyTime = 0
		for _, c := range sim.controllers {
			if c.module.Avoids(clockStart+sim.now, d.id) {
				s.Avoided++
			}
		}
	}
	for _, c := range sim.controllers {
		for _, call := range c.calls {
			if call.attempt == nil {
				s.WithoutAttempt++
			}
		}
	}
	sim.schedule(time.Second, sim.sampleSecond)
}

// generateCall creates a caller that dials now, and schedules the next caller.
func (sim *simulation) generateCall() {
	rate := sim.Rate * float64(sim.Dispatchers) * sim.Load
	for _, change := range sim.LoadChanges {
		if sim.now >= change.From && sim.now < change.From+change.Duration {
			rate *= change.Factor
		}
	}
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), sim.generateCall)
	cl := &caller{sim: sim, firstDialAt: sim.now, cell: sim.rng.IntN(sim.Dispatchers)}
	sim.callerCount++
	cl.number = sim.callerCount
	sim.secondAt(sim.now).Offered++
	cl.dial()
}

// chooseController returns the controller for a dial, or nil if all are withdrawn.
func (sim *simulation) chooseController() *controller {
	var serving []*controller
	for _, c := range sim.controllers {
		if !c.withdrawn {
			serving = append(serving, c)
		}
	}
	if len(serving) == 0 {
		return nil
	}
	if sim.FirstControllerShare > 0 && !sim.controllers[0].withdrawn && sim.rng.Float64() < sim.FirstControllerShare {
		return sim.controllers[0]
	}
	return serving[sim.rng.IntN(len(serving))]
}

// caller makes one call and may dial several times for it.
type caller struct {
	sim         *simulation
	number      int
	firstDialAt time.Duration
	cell        int
	dials       int
	finished    bool // whether the call was established or the caller stopped dialling
}

// dial offers the call to a controller and cancels it after the timeout of the caller.
func (cl *caller) dial() {
	sim := cl.sim
	c := sim.chooseController()
	cl.dials++
	if c == nil {
		cl.redial(0)
		return
	}
	timeout := time.Duration(callerTimeoutShare * float64(sim.Settings.Classes[0].Deadline))
	call := &pendingCall{id: control.CallID(callID(cl.number, cl.dials)), caller: cl, deadline: sim.now + timeout, cell: cl.cell}
	c.offerCall(call)
	sim.schedule(timeout, func() {
		if !call.finished {
			call.finished = true
			c.deliver(control.CallerLeft{ID: call.id})
			c.removeCall(call)
			cl.redial(0)
		}
	})
}

// redial schedules the next dial after redialDelay or the hold-off of a refusal. The caller stops dialling after maxDials or at its deadline.
func (cl *caller) redial(holdOff time.Duration) {
	if cl.finished || cl.dials >= maxDials || cl.sim.now-cl.firstDialAt > cl.sim.Settings.Classes[0].Deadline {
		if !cl.finished {
			cl.finished = true
			cl.sim.secondAt(cl.firstDialAt).Unserved++
		}
		return
	}
	delay := redialDelay
	if cl.sim.rng.Float64() < holdOffCompliance {
		delay = max(delay, holdOff)
	}
	cl.sim.schedule(delay, cl.dial)
}

// recordEstablished counts the established call as in time or late.
func (cl *caller) recordEstablished() {
	if cl.finished {
		return
	}
	cl.finished = true
	if cl.sim.now-cl.firstDialAt <= cl.sim.Settings.Classes[0].Aim {
		cl.sim.secondAt(cl.firstDialAt).InTime++
	} else {
		cl.sim.secondAt(cl.firstDialAt).Late++
	}
}

// serverList returns the complete list of dispatchers.
func (sim *simulation) serverList() control.ListReceived {
	l := control.ListReceived{Whole: true}
	for _, d := range sim.dispatchers {
		l.Entries = append(l.Entries, d.entry())
	}
	return l
}

// replace drains a dispatcher and puts a cold one in its place. The controllers receive the change of the list a second later.
func (sim *simulation) replace(i int) {
	old := sim.dispatchers[i]
	old.draining = true
	d := &dispatcher{sim: sim, index: i, id: serverID(i, old.incarnation+1), incarnation: old.incarnation + 1, coldFrom: sim.now,
		warmAt: sim.now + sim.Settings.WarmUpTime}
	sim.dispatchers[i] = d
	sim.schedule(time.Second, func() {
		for _, c := range sim.controllers {
			c.deliver(control.ListReceived{Entries: []control.ServerEntry{
				{ID: old.id, Status: control.Removed, Cell: i}, d.entry()}})
		}
	})
}

// report sends the queue wait of a dispatcher and its lines to all controllers, with the delay and the noise of the scenario, and
// schedules the next report.
func (sim *simulation) report(i int) {
	d := sim.dispatchers[i]
	wait := float64(d.queueWait()) / float64(time.Millisecond) * math.Max(0, 1+sim.ReportNoise*sim.rng.NormFloat64())
	free, lines := -1.0, -1.0
	if sim.Lines > 0 {
		free, lines = float64(max(sim.Lines-d.inUse, 0)), float64(sim.Lines)
	}
	sim.schedule(sim.ReportDelay+networkDelay, func() {
		for _, c := range sim.controllers {
			c.deliver(control.ReportReceived{Server: d.id, OK: true, Report: []float64{free, lines, wait}})
		}
	})
	sim.schedule(sim.ReportEvery, func() { sim.report(i) })
}
