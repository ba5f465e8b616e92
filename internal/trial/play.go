package trial

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"cherryrelay/internal/fault"
	"cherryrelay/internal/store"
)

// Result is what a trial came to. It is kept as JSON.
type Result struct {
	Seed       uint64         `json:"seed"`
	Version    string         `json:"version"`
	Plan       []string       `json:"plan"`
	Faults     []string       `json:"faults"`  // rules broken, at both ends of all calls
	Beliefs    []string       `json:"beliefs"` // certainties that were wrong
	Samples    int            `json:"samples"`
	Calls      int            `json:"calls"`
	SetUps     int            `json:"set_ups"`
	Finals     map[string]int `json:"finals"`
	Unanswered int            `json:"unanswered"`
	Untold     int            `json:"untold"`   // ends that were told to a controller that did not hold the call
	Together   bool           `json:"together"` // in the end all controllers were certain and saw one another
	EndsMs     []Ended        `json:"ends_ms"`
	WordsMs    []int64        `json:"words_ms"` // from the loss of a connection to the first word of each call that was open on it
	Resumes    int            `json:"resumes"`
	Store      store.Counts   `json:"store"`
	TookMs     int64          `json:"took_ms"`
}

// Ended is how long after a loss each other controller was told of its certain end.
type Ended struct {
	Cause string  `json:"cause"`
	Ms    []int64 `json:"ms"`
}

// Passed reports whether no rule was broken.
func (r *Result) Passed() bool {
	return len(r.Faults) == 0 && len(r.Beliefs) == 0 && r.Unanswered == 0 && r.Together
}

// loss is a controller's incarnation that was lost, or may have been.
type loss struct {
	cause, name string
	store       uint64
	incarnation int64
	at          time.Time
}

// player plays one plan.
type player struct {
	*Ground
	s       *Scenario
	beliefs Beliefs
	judge   *Judge

	mu     sync.Mutex
	hold   map[string]int // how many deeds hold a controller down, by controller and kind
	faults store.Faults
	losses []loss
	errs   []error
}

// tellGuard and tellDeadline are the rules of the ground's settings.
const (
	tellGuard    = 500 * time.Millisecond
	tellDeadline = 9 * time.Second
)

// Play plays a scenario once. The program and environment are those of the controllers; progress is told how much of it is done. What it
// starts has ended when it returns.
func Play(s *Scenario, seed uint64, program, env []string, version string, progress func(part float64)) (r *Result, err error) {
	begun := time.Now()
	directory, err := os.MkdirTemp("", "cherryrelay-trial-")
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(directory)
	p := &player{s: s, judge: NewJudge(tellGuard, tellDeadline), hold: map[string]int{}}
	addresses := map[string]string{}
	for i := range s.Dispatchers {
		name := fmt.Sprint("d", i+1)
		d, err := Stand("tcp", name, p.judge)
		if err != nil {
			return nil, err
		}
		defer d.Die()
		addresses[name] = d.Address()
	}
	if p.Ground, err = Open(Options{Directory: directory, Program: program, Env: env, Controllers: s.Controllers, Lease: s.Lease, Seed: seed,
		Dispatchers: addresses, Ledgers: true}); err != nil {
		return nil, err
	}
	defer func() {
		if closed := p.Close(); err == nil && closed != nil {
			r, err = nil, closed
		}
	}()
	for _, c := range p.Controllers {
		if err := c.Start(); err != nil {
			return nil, err
		}
	}
	if !Until(endWithin, p.together) {
		return nil, fmt.Errorf("trial: the controllers never came together: %s", p.Controllers[0].Log())
	}
	stop := make(chan struct{})
	watching := p.Watch(&p.beliefs, stop)
	done := make(chan struct{})
	var calling sync.WaitGroup
	var callers []*Caller
	var fronts []string
	for _, c := range p.Controllers {
		fronts = append(fronts, c.Lines)
	}
	for i := range p.Controllers {
		for k := range s.Callers {
			caller := &Caller{Transport: "tcp", Addresses: fronts, at: i, First: (i*maxControllers + k + 1) << 32, Window: s.Window, Judge: p.judge,
				Patience: tellDeadline}
			callers = append(callers, caller)
			calling.Go(func() { caller.Run(done) })
		}
	}
	r = &Result{Seed: seed, Version: version}
	p.run(s.Plan(seed), r, progress)
	close(done)
	calling.Wait()
	r.Together = Until(endWithin, p.together)
	close(stop)
	watching.Wait()
	var answers map[string]int
	r.Faults, r.SetUps, answers = p.judge.Verdict()
	unanswered, untold := p.judge.Unsettled()
	r.Finals, r.Unanswered, r.Untold = answers, len(unanswered), len(untold)
	r.Beliefs, r.Samples = p.beliefs.Faults()
	for _, c := range callers {
		r.Calls += c.Placed
		r.Resumes += c.Resumes
		for _, w := range c.Words {
			r.WordsMs = append(r.WordsMs, w.Milliseconds())
		}
	}
	for _, err := range p.errs {
		r.Faults = append(r.Faults, err.Error())
	}
	r.EndsMs, r.Store, r.TookMs = p.ends(), p.Store.Counts(), time.Since(begun).Milliseconds()
	return r, nil
}

// together reports whether every controller is certain and sees just those that there are.
func (p *player) together() bool {
	for _, c := range p.Controllers {
		f := c.Fleet()
		if !f.Certain || !f.Actable || len(f.Members) != len(p.Controllers) {
			return false
		}
	}
	return true
}

// run does what is planned, each when it is due, and undoes it.
func (p *player) run(plan []Step, r *Result, progress func(float64)) {
	begun := time.Now()
	var undoing sync.WaitGroup
	for _, step := range plan {
		for wait := step.At - time.Since(begun); wait > 0; wait = step.At - time.Since(begun) {
			time.Sleep(min(wait, 100*time.Millisecond))
			progress(time.Since(begun).Seconds() / p.s.Lasting.Seconds())
		}
		r.Plan = append(r.Plan, step.String())
		undo := p.do(step)
		if undo != nil {
			undoing.Go(func() {
				time.Sleep(step.For)
				p.mu.Lock()
				defer p.mu.Unlock()
				undo()
			})
		}
	}
	for time.Since(begun) < p.s.Lasting {
		time.Sleep(min(p.s.Lasting-time.Since(begun), 100*time.Millisecond))
		progress(time.Since(begun).Seconds() / p.s.Lasting.Seconds())
	}
	undoing.Wait()
}

// held counts the deeds that hold one thing down: it is let go with the last. It returns what lets it go.
func (p *player) held(what string, down, up func()) (undo func()) {
	if p.hold[what]++; p.hold[what] == 1 {
		down()
	}
	return func() {
		if p.hold[what]--; p.hold[what] == 0 {
			up()
		}
	}
}

func (p *player) failed(err error) {
	if err != nil {
		p.errs = append(p.errs, err)
	}
}

// do does one thing and returns what undoes it; nil if there is nothing to undo.
func (p *player) do(step Step) (undo func()) {
	var c *Controller
	if i := slices.IndexFunc(p.Controllers, func(c *Controller) bool { return c.Name == step.Who }); i >= 0 {
		c = p.Controllers[i]
	}
	var now = struct {
		store       uint64
		incarnation int64
		certain     bool
	}{}
	if c != nil && (step.Do == "kill" || step.Do == "pause" || step.Do == "part" || step.Do == "stop") {
		f := c.Fleet()
		now.store, now.incarnation, now.certain = f.Store, f.Incarnation, f.Certain
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.certain {
		p.losses = append(p.losses, loss{step.Do, c.Name, now.store, now.incarnation, time.Now()})
	}
	set := func(change func(*store.Faults, bool)) func() {
		return p.held(step.Do, func() { change(&p.faults, true); p.Store.Fault(p.faults) }, func() { change(&p.faults, false); p.Store.Fault(p.faults) })
	}
	link := step.Who + ">" + StoreName
	switch step.Do {
	case "kill", "stop":
		// Down is down, whoever has it down; it may be paused as well, and is started anew unpaused.
		return p.held("down "+step.Who, func() {
			if step.Do == "kill" {
				p.failed(c.Kill())
			} else if p.hold["pause "+step.Who] == 0 {
				p.failed(c.Stop())
			} else {
				p.failed(c.Kill())
			}
		}, func() { p.failed(c.Start()) })
	case "pause":
		return p.held("pause "+step.Who, func() { p.pause(c) }, func() { p.resume(c) })
	case "crawl": // a tenth of its speed: it runs a tenth of the time
		over := make(chan struct{})
		return p.held("crawl "+step.Who, func() { go p.crawl(c, over) }, func() { close(over) })
	case "upgrade":
		if p.hold["down "+step.Who] == 0 && p.hold["pause "+step.Who] == 0 {
			p.failed(c.Upgrade())
		}
	case "part dispatchers", "slow dispatchers":
		rule := fault.Rule{Forth: fault.Way{Delay: slowLink, Jitter: slowLink}, Back: fault.Way{Delay: slowLink, Jitter: slowLink}}
		if step.Do == "part dispatchers" {
			rule = fault.Rule{Forth: fault.Way{Hole: true}, Back: fault.Way{Hole: true}, Shut: true}
		}
		set := func(r fault.Rule) {
			for dispatcher := range p.o.Dispatchers {
				p.Net.Set(step.Who+">"+dispatcher, r)
			}
		}
		return p.held("dispatchers "+step.Who, func() { set(rule) }, func() { set(fault.Rule{}) })
	case "part", "mute", "slow":
		rule := map[string]fault.Rule{
			"part": {Forth: fault.Way{Hole: true}, Back: fault.Way{Hole: true}, Shut: true}, "mute": {Back: fault.Way{Hole: true}},
			"slow": {Forth: fault.Way{Delay: p.s.Lease / 4, Jitter: p.s.Lease / 4}, Back: fault.Way{Delay: p.s.Lease / 4, Jitter: p.s.Lease / 4}},
		}[step.Do]
		return p.held("link "+step.Who, func() { p.Net.Set(link, rule) }, func() { p.Net.Set(link, fault.Rule{}) })
	case "cut":
		p.Net.Cut(step.Who+">*", true)
	case "stall store":
		return set(func(f *store.Faults, on bool) { f.Stall = on })
	case "deafen store":
		return set(func(f *store.Faults, on bool) { f.Deaf = on })
	case "stop store":
		return p.held(step.Do, p.StopStore, func() { p.failed(p.StartStore()) })
	case "compact":
		p.Store.Compact()
	case "lose answers":
		lost := p.faults
		lost.Lost = 3
		p.Store.Fault(lost)
	}
	return nil
}

// slowLink is how late what passes a slow link is each way, at least; at most twice that.
const slowLink = 60 * time.Millisecond

// crawlRuns and crawlRests are how long a process that crawls runs and rests, in turn.
const crawlRuns, crawlRests = 5 * time.Millisecond, 45 * time.Millisecond

// pause and resume do nothing to a controller that is down: it is started anew unpaused.
func (p *player) pause(c *Controller) {
	if p.hold["down "+c.Name] == 0 {
		c.Pause()
	}
}

func (p *player) resume(c *Controller) {
	if p.hold["down "+c.Name] == 0 {
		c.Resume()
	}
}

// crawl has a controller run a part of the time, until over is closed.
func (p *player) crawl(c *Controller, over <-chan struct{}) {
	turn := func(do func(*Controller)) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.hold["pause "+c.Name] == 0 {
			do(c)
		}
	}
	for {
		turn(p.pause)
		time.Sleep(crawlRests)
		turn(p.resume)
		select {
		case <-over:
			return
		case <-time.After(crawlRuns):
		}
	}
}

// ends are the times from each loss to when each other controller told of its end, by cause. One that was back in time has none.
func (p *player) ends() []Ended {
	byCause := map[string][]int64{}
	for _, l := range p.losses {
		for process, at := range p.beliefs.Heard(l.store, l.name, l.incarnation) {
			if took := at.Sub(l.at); process != l.name && took >= 0 {
				byCause[l.cause] = append(byCause[l.cause], took.Milliseconds())
			}
		}
	}
	var all []Ended
	for _, cause := range []string{"kill", "pause", "part", "stop"} {
		if ms := byCause[cause]; len(ms) > 0 {
			slices.Sort(ms)
			all = append(all, Ended{cause, ms})
		}
	}
	return all
}
