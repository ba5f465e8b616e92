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

// Result is the result of a trial. It is stored as JSON.
type Result struct {
	Seed            uint64         `json:"seed"`
	Version         string         `json:"version"`
	Plan            []string       `json:"plan"`
	Violations      []string       `json:"faults"`  // violations of the rules for calls, and errors of steps
	LeaseViolations []string       `json:"beliefs"` // violations of the rules for leases
	Samples         int            `json:"samples"` // views of the fleet that were checked
	Calls           int            `json:"calls"`
	SetUps          int            `json:"set_ups"`    // received by dispatchers
	FinalAnswers    map[string]int `json:"finals"`     // numbers of final answers and ends by kind
	Unanswered      int            `json:"unanswered"` // calls without a final answer
	Unnotified      int            `json:"untold"`     // answered calls whose end went to a controller without the call, not to the caller
	Converged       bool           `json:"together"`   // in the end all controllers held their leases and knew all members
	EndDelays       []EndDelays    `json:"ends_ms"`
	ResumeDelaysMs  []int64        `json:"words_ms"` // from the loss of a connection to the first message of each call that was pending on it
	Resumes         int            `json:"resumes"`  // resume requests of all callers
	Store           store.Counts   `json:"store"`
	TookMs          int64          `json:"took_ms"`
}

// EndDelays lists, for one cause, the delays from the loss of a controller until each other controller reported the end of its incarnation.
type EndDelays struct {
	Cause string  `json:"cause"`
	Ms    []int64 `json:"ms"`
}

// Passed reports whether no rule was violated, every call was answered and the fleet converged. Ends that did not
// reach their callers do not count.
func (r *Result) Passed() bool {
	return len(r.Violations) == 0 && len(r.LeaseViolations) == 0 && r.Unanswered == 0 && r.Converged
}

// incarnationLoss is a step that ends the incarnation of a controller, or may do so.
type incarnationLoss struct {
	cause, name string
	storeID     uint64
	incarnation int64
	at          time.Time
}

// runner runs one trial.
type runner struct {
	*Cluster
	scenario     *Scenario
	fleetChecker FleetChecker
	callChecker  *CallChecker

	mu          sync.Mutex
	holds       map[string]int // number of steps in effect, by effect and controller
	storeFaults store.Faults
	losses      []incarnationLoss
	errs        []error
}

// checkedGuard and checkedDeadline are guardUs and deadlineUs of the settings.
const (
	checkedGuard    = 500 * time.Millisecond
	checkedDeadline = 9 * time.Second
)

// RunScenario runs a scenario once, with the program and additional environment of the controllers. It calls progress with the fraction of the
// scenario that has been run. Everything that it has started has ended when it returns.
func RunScenario(scenario *Scenario, seed uint64, program, env []string, version string, progress func(part float64)) (result *Result, err error) {
	start := time.Now()
	directory, err := os.MkdirTemp("", "cherryrelay-trial-")
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(directory)
	r := &runner{scenario: scenario, callChecker: NewCallChecker(checkedGuard, checkedDeadline), holds: map[string]int{}}
	addresses := map[string]string{}
	for i := range scenario.Dispatchers {
		name := fmt.Sprint("d", i+1)
		d, err := StartDispatcher("tcp", name, r.callChecker)
		if err != nil {
			return nil, err
		}
		defer d.Kill()
		addresses[name] = d.Address()
	}
	if r.Cluster, err = NewCluster(Options{Directory: directory, Program: program, Env: env, Controllers: scenario.Controllers, Lease: scenario.Lease,
		Seed: seed, Dispatchers: addresses, Ledgers: true}); err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := r.Close(); err == nil && closeErr != nil {
			result, err = nil, closeErr
		}
	}()
	for _, c := range r.Controllers {
		if err := c.Start(); err != nil {
			return nil, err
		}
	}
	if !WaitUntil(exitTimeout, r.converged) {
		return nil, fmt.Errorf("trial: the fleet has not converged; log of the first controller: %s", r.Controllers[0].Log())
	}
	stop := make(chan struct{})
	polls := r.StartPolling(&r.fleetChecker, stop)
	done := make(chan struct{})
	var running sync.WaitGroup
	var callers []*Caller
	var fronts []string
	for _, c := range r.Controllers {
		fronts = append(fronts, c.LinesAddress)
	}
	for i := range r.Controllers {
		for k := range scenario.Callers {
			caller := &Caller{Transport: "tcp", Addresses: fronts, addressIndex: i, FirstCall: (i*maxControllers + k + 1) << 32, Window: scenario.Window,
				Checker: r.callChecker, Timeout: checkedDeadline}
			callers = append(callers, caller)
			running.Go(func() { caller.Run(done) })
		}
	}
	result = &Result{Seed: seed, Version: version}
	r.runPlan(scenario.Plan(seed), result, progress)
	close(done)
	running.Wait()
	result.Converged = WaitUntil(exitTimeout, r.converged)
	close(stop)
	polls.Wait()
	var answers map[string]int
	result.Violations, result.SetUps, answers = r.callChecker.Results()
	unanswered, unnotified := r.callChecker.Unfinished()
	result.FinalAnswers, result.Unanswered, result.Unnotified = answers, len(unanswered), len(unnotified)
	result.LeaseViolations, result.Samples = r.fleetChecker.Violations()
	for _, c := range callers {
		result.Calls += c.Placed
		result.Resumes += c.Resumes
		for _, latency := range c.ResumeDelays {
			result.ResumeDelaysMs = append(result.ResumeDelaysMs, latency.Milliseconds())
		}
	}
	for _, err := range r.errs {
		result.Violations = append(result.Violations, err.Error())
	}
	result.EndDelays, result.Store, result.TookMs = r.endLatencies(), r.Store.Counts(), time.Since(start).Milliseconds()
	return result, nil
}

// converged reports whether every controller holds its lease and has a current view with as many members as there are controllers.
func (r *runner) converged() bool {
	for _, c := range r.Controllers {
		view := c.Fleet()
		if !view.HoldsLease || !view.Actable || len(view.Members) != len(r.Controllers) {
			return false
		}
	}
	return true
}

// runPlan executes each step of the plan when it is due and undoes it after its duration.
func (r *runner) runPlan(plan []Step, result *Result, progress func(float64)) {
	start := time.Now()
	var undos sync.WaitGroup
	for _, step := range plan {
		for wait := step.At - time.Since(start); wait > 0; wait = step.At - time.Since(start) {
			time.Sleep(min(wait, 100*time.Millisecond))
			progress(time.Since(start).Seconds() / r.scenario.Duration.Seconds())
		}
		result.Plan = append(result.Plan, step.String())
		undo := r.execute(step)
		if undo != nil {
			undos.Go(func() {
				time.Sleep(step.Duration)
				r.mu.Lock()
				defer r.mu.Unlock()
				undo()
			})
		}
	}
	for time.Since(start) < r.scenario.Duration {
		time.Sleep(min(r.scenario.Duration-time.Since(start), 100*time.Millisecond))
		progress(time.Since(start).Seconds() / r.scenario.Duration.Seconds())
	}
	undos.Wait()
}

// hold counts the steps that keep one effect active. The first one calls apply and the end of the last one calls revert. It
// returns the function that ends this step.
func (r *runner) hold(key string, apply, revert func()) (undo func()) {
	if r.holds[key]++; r.holds[key] == 1 {
		apply()
	}
	return func() {
		if r.holds[key]--; r.holds[key] == 0 {
			revert()
		}
	}
}

func (r *runner) addError(err error) {
	if err != nil {
		r.errs = append(r.errs, err)
	}
}

// execute executes a step and returns the function that undoes it; nil if there is nothing to undo.
func (r *runner) execute(step Step) (undo func()) {
	var c *Controller
	if i := slices.IndexFunc(r.Controllers, func(c *Controller) bool { return c.Name == step.Target }); i >= 0 {
		c = r.Controllers[i]
	}
	var fleet = struct {
		store       uint64
		incarnation int64
		certain     bool
	}{}
	if c != nil && (step.Action == "kill" || step.Action == "pause" || step.Action == "part" || step.Action == "stop") {
		view := c.Fleet()
		fleet.store, fleet.incarnation, fleet.certain = view.StoreID, view.Incarnation, view.HoldsLease
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if fleet.certain {
		r.losses = append(r.losses, incarnationLoss{step.Action, c.Name, fleet.store, fleet.incarnation, time.Now()})
	}
	setStoreFault := func(change func(*store.Faults, bool)) func() {
		return r.hold(step.Action, func() { change(&r.storeFaults, true); r.Store.SetFaults(r.storeFaults) },
			func() { change(&r.storeFaults, false); r.Store.SetFaults(r.storeFaults) })
	}
	link := step.Target + ">" + StoreName
	switch step.Action {
	case "kill", "stop":
		// Kill and stop count as the same effect. The controller may be paused as well, and a new process starts unpaused.
		return r.hold("down "+step.Target, func() {
			if step.Action == "kill" {
				r.addError(c.Kill())
			} else if r.holds["pause "+step.Target] == 0 {
				r.addError(c.Stop())
			} else {
				r.addError(c.Kill())
			}
		}, func() { r.addError(c.Start()) })
	case "pause":
		return r.hold("pause "+step.Target, func() { r.pause(c) }, func() { r.resume(c) })
	case "crawl": // the controller runs a tenth of the time
		done := make(chan struct{})
		return r.hold("crawl "+step.Target, func() { go r.crawl(c, done) }, func() { close(done) })
	case "upgrade":
		if r.holds["down "+step.Target] == 0 && r.holds["pause "+step.Target] == 0 {
			r.addError(c.Upgrade())
		}
	case "part dispatchers", "slow dispatchers":
		rule := fault.Rule{Forth: fault.Impairment{Delay: slowLinkDelay, Jitter: slowLinkDelay}, Back: fault.Impairment{Delay: slowLinkDelay, Jitter: slowLinkDelay}}
		if step.Action == "part dispatchers" {
			rule = fault.Rule{Forth: fault.Impairment{Hole: true}, Back: fault.Impairment{Hole: true}, Shut: true}
		}
		setRule := func(newRule fault.Rule) {
			for dispatcher := range r.options.Dispatchers {
				r.Net.SetRule(step.Target+">"+dispatcher, newRule)
			}
		}
		return r.hold("dispatchers "+step.Target, func() { setRule(rule) }, func() { setRule(fault.Rule{}) })
	case "part", "mute", "slow":
		rule := map[string]fault.Rule{
			"part": {Forth: fault.Impairment{Hole: true}, Back: fault.Impairment{Hole: true}, Shut: true}, "mute": {Back: fault.Impairment{Hole: true}},
			"slow": {Forth: fault.Impairment{Delay: r.scenario.Lease / 4, Jitter: r.scenario.Lease / 4},
				Back: fault.Impairment{Delay: r.scenario.Lease / 4, Jitter: r.scenario.Lease / 4}},
		}[step.Action]
		return r.hold("link "+step.Target, func() { r.Net.SetRule(link, rule) }, func() { r.Net.SetRule(link, fault.Rule{}) })
	case "cut":
		r.Net.CloseConns(step.Target+">*", true)
	case "stall store":
		return setStoreFault(func(f *store.Faults, on bool) { f.Stall = on })
	case "deafen store":
		return setStoreFault(func(f *store.Faults, on bool) { f.MuteWatches = on })
	case "stop store":
		return r.hold(step.Action, r.StopStore, func() { r.addError(r.StartStore()) })
	case "compact":
		r.Store.Compact()
	case "lose answers":
		storeFaults := r.storeFaults
		storeFaults.LostWriteResponses = 3
		r.Store.SetFaults(storeFaults)
	}
	return nil
}

// slowLinkDelay is the minimum delay of a slow link in each direction. The maximum is twice that.
const slowLinkDelay = 60 * time.Millisecond

// crawlRunTime and crawlPauseTime are the alternating intervals in which a slowed process runs and is paused.
const crawlRunTime, crawlPauseTime = 5 * time.Millisecond, 45 * time.Millisecond

// pause pauses a controller unless it is down.
func (r *runner) pause(c *Controller) {
	if r.holds["down "+c.Name] == 0 {
		c.Pause()
	}
}

// resume resumes a controller unless it is down. Its next process starts unpaused.
func (r *runner) resume(c *Controller) {
	if r.holds["down "+c.Name] == 0 {
		c.Resume()
	}
}

// crawl pauses and resumes a controller in turn until done is closed.
func (r *runner) crawl(c *Controller, done <-chan struct{}) {
	unlessPaused := func(do func(*Controller)) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.holds["pause "+c.Name] == 0 {
			do(c)
		}
	}
	for {
		unlessPaused(r.pause)
		time.Sleep(crawlPauseTime)
		unlessPaused(r.resume)
		select {
		case <-done:
			return
		case <-time.After(crawlRunTime):
		}
	}
}

// endLatencies returns, by cause, the delays from each loss until each other controller reported the end of the incarnation. A controller
// that recovered before its lease expired has no such report.
func (r *runner) endLatencies() []EndDelays {
	byCause := map[string][]int64{}
	for _, l := range r.losses {
		for process, reportedAt := range r.fleetChecker.EndReports(l.storeID, l.name, l.incarnation) {
			if latency := reportedAt.Sub(l.at); process != l.name && latency >= 0 {
				byCause[l.cause] = append(byCause[l.cause], latency.Milliseconds())
			}
		}
	}
	var latencies []EndDelays
	for _, cause := range []string{"kill", "pause", "part", "stop"} {
		if ms := byCause[cause]; len(ms) > 0 {
			slices.Sort(ms)
			latencies = append(latencies, EndDelays{cause, ms})
		}
	}
	return latencies
}
