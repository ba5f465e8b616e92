package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	// convergenceTimeout limits how long the fleet may take to converge: after the start, and at the end until every controller has every change.
	convergenceTimeout = 4 * time.Minute
	// pollInterval is the interval between checks for convergence.
	pollInterval = 250 * time.Millisecond
	// polledPerProcess is the number of controllers in each process whose known members are counted during the run. At the end all are counted.
	polledPerProcess = 3
	// requestsPerLease limits the requests of a controller to the store for each lease. Three renewals and one and a half
	// verifications of the view make 4.5; failed requests are retried twelve times in a lease, each time with a read of the list.
	requestsPerLease = 24
	// requestsPerStart limits the requests to the store for each start of a controller.
	requestsPerStart = 24
)

// Run runs a scenario once. All processes that it starts have ended when it returns.
func Run(ctx context.Context, s *Scenario, seed uint64, o Options) (*Report, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if err := s.checkLimits(); err != nil {
		return nil, err
	}
	start := time.Now()
	directory, err := os.MkdirTemp("", "cherryrelay-scale-")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer os.RemoveAll(directory)
	c, err := openCluster(s, o, seed, directory)
	if err != nil {
		return nil, err
	}
	sr := &scenarioRun{cluster: c, plan: s.Plan(seed), sampler: &sampler{cluster: c, sockets: map[string]int{}}, callers: newCallers(),
		done: make(chan struct{}), samplerDone: make(chan error, 1)}
	err = errors.Join(sr.execute(ctx), c.close())
	if err != nil {
		return nil, err
	}
	r := sr.report()
	r.Seed, r.Command, r.Version, r.Elapsed = seed, o.Command, o.Version, time.Since(start)
	return r, nil
}

// scenarioRun is the state of one run of a scenario.
type scenarioRun struct {
	*cluster
	plan        []Event
	sampler     *sampler
	callers     *callers
	started     time.Time     // of the scenario, after the fleet has started
	ended       time.Time     // of the scenario, before the fleet settles
	done        chan struct{} // closed to stop the sampler
	samplerDone chan error    // the error of the sampler, if any; closed when it has stopped
	runner      *eventRunner
	spans       []span
	violations  []string
}

// reportProgress calls Options.Progress, if it is set.
func (sr *scenarioRun) reportProgress(phase string, part float64) {
	if sr.options.Progress != nil {
		sr.options.Progress(phase, part)
	}
}

// takeSamples takes samples until the run is over. If a sample fails or exceeds a limit, it cancels the run.
func (sr *scenarioRun) takeSamples(ctx context.Context, cancel func()) {
	defer close(sr.samplerDone)
	for count := 0; ; count++ {
		if err := sr.sampler.takeSample(count); err != nil {
			sr.samplerDone <- err
			cancel()
			return
		}
		if !sr.started.IsZero() {
			since := time.Since(sr.started)
			sr.reportProgress(phaseAt(sr.spans, since), since.Seconds()/sr.scenario.Duration.Seconds())
		}
		select {
		case <-sr.done:
			return
		case <-ctx.Done():
			return
		case <-time.After(sampleInterval):
		}
	}
}

// execute starts the fleet, executes the plan, waits until the fleet has converged again and checks the run.
func (sr *scenarioRun) execute(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if err := sr.startFleet(ctx); err != nil {
		return err
	}
	sr.started, sr.spans = time.Now(), sr.scenario.faultSpans(sr.plan)
	sr.runner = &eventRunner{cluster: sr.cluster, started: sr.started}
	go sr.takeSamples(ctx, cancel)
	stopCallers := sr.startCallers()
	sr.runner.run(sr.plan, ctx.Done(), func(at time.Duration) string { return phaseAt(sr.spans, at) })
	sr.ended = time.Now()
	converged := sr.awaitConvergence(ctx)
	close(sr.done)
	stopCallers()
	if err := <-sr.samplerDone; err != nil {
		return err
	}
	if parent.Err() != nil {
		return fmt.Errorf("scale: run interrupted: %w", parent.Err())
	}
	if sr.runner.err != nil {
		return sr.runner.err
	}
	if err := sr.sampler.takeSample(0); err != nil {
		return err
	}
	sr.checkInvariants(converged)
	return nil
}

// startFleet starts all hollow controllers at once and waits until every controller knows every other.
func (sr *scenarioRun) startFleet(ctx context.Context) error {
	if err := sr.sampler.takeSample(0); err != nil {
		return err
	}
	if err := sr.cluster.startControllers(sr.scenario.hollowNames()); err != nil {
		return err
	}
	return sr.waitUntil(ctx, "start", func() (bool, error) { return sr.converged(polledPerProcess) })
}

// waitUntil waits until a condition holds, and takes samples while it waits.
func (sr *scenarioRun) waitUntil(ctx context.Context, phase string, condition func() (bool, error)) error {
	for start := time.Now(); ; {
		ok, err := condition()
		if ok || err != nil {
			return err
		}
		if time.Since(start) > convergenceTimeout {
			return fmt.Errorf("scale: %s: the fleet has not converged after %v: %s", phase, convergenceTimeout, sr.describeUnconverged())
		}
		if err := sr.sampler.takeSample(0); err != nil {
			return err
		}
		sr.reportProgress(phase, 0)
		select {
		case <-ctx.Done():
			return fmt.Errorf("scale: run interrupted during the %s after %v: %s", phase, time.Since(start).Round(time.Second), sr.describeUnconverged())
		case <-time.After(pollInterval):
		}
	}
}

// converged reports whether all controllers serve and hold their leases, and the polled ones know all members. The parameter
// polled limits the number of hollow controllers polled in each process; all real ones are polled.
func (sr *scenarioRun) converged(polled int) (bool, error) {
	if err := sr.pollProcesses(polled); err != nil {
		return false, err
	}
	total := sr.scenario.Controllers + sr.scenario.RealControllers
	joined := 0
	for _, worker := range sr.workers {
		worker.mu.Lock()
		r := worker.lastReply
		worker.mu.Unlock()
		if joined += r.Joined; r.PolledControllers > 0 && r.MinMembers != total {
			return false, nil
		}
	}
	if joined != sr.scenario.Controllers {
		return false, nil
	}
	for _, r := range sr.real {
		if r.members() != total {
			return false, nil
		}
	}
	return true, nil
}

// describeUnconverged describes the processes and controllers that have not converged.
func (sr *scenarioRun) describeUnconverged() string {
	text := ""
	for i, worker := range sr.workers {
		worker.mu.Lock()
		r := worker.lastReply
		worker.mu.Unlock()
		if r.Joined != r.Controllers || r.MinMembers != sr.scenario.Controllers+sr.scenario.RealControllers {
			text += fmt.Sprintf("worker %d: %d controllers, %d joined, fewest members known %d; ", i+1, r.Controllers, r.Joined, r.MinMembers)
		}
	}
	for _, r := range sr.real {
		if n := r.members(); n != sr.scenario.Controllers+sr.scenario.RealControllers {
			text += fmt.Sprintf("%s: %d members known; ", r.name, n)
		}
	}
	return text
}

// startCallers starts a caller at each real controller. The function that it returns stops them and waits for their end.
func (sr *scenarioRun) startCallers() (stop func()) {
	if sr.scenario.CallsPerSecond == 0 {
		return func() {}
	}
	done := make(chan struct{})
	ended := make(chan struct{}, len(sr.real))
	for i, r := range sr.real {
		dispatcher := sr.dispatcherAddress[fmt.Sprint("d", i%sr.scenario.Dispatchers+1)]
		go func() {
			sr.callers.run(i, r.callerAddress, dispatcher, sr.scenario.CallsPerSecond, done)
			ended <- struct{}{}
		}()
	}
	return func() {
		close(done)
		for range sr.real {
			<-ended
		}
	}
}

// awaitConvergence waits until all controllers know one another and the real ones have the last change. It reports whether that happened in time.
func (sr *scenarioRun) awaitConvergence(ctx context.Context) bool {
	for start := time.Now(); time.Since(start) < convergenceTimeout && ctx.Err() == nil; time.Sleep(pollInterval) {
		if ok, err := sr.converged(polledPerProcess); err != nil || !ok {
			continue
		}
		if ok, err := sr.converged(sr.scenario.Controllers); err == nil && ok && len(sr.staleReal()) == 0 {
			return true
		}
	}
	return false
}

// staleReal returns the names of the real controllers that do not have the last change of their list.
func (sr *scenarioRun) staleReal() []string {
	var names []string
	for _, r := range sr.real {
		if r.activeChange() != sr.lastNumber(stream{Change, r.scope}) {
			names = append(names, r.name)
		}
	}
	return names
}

// checkInvariants checks the invariants of the run and records violations. None of the invariants is about speed.
func (sr *scenarioRun) checkInvariants(converged bool) {
	violation := func(format string, args ...any) { sr.violations = append(sr.violations, fmt.Sprintf(format, args...)) }
	if !converged {
		violation("the fleet did not converge again within %v: %s", convergenceTimeout, sr.describeUnconverged())
	}
	if stale := sr.staleHollow(); len(stale) > 0 {
		violation("%d hollow controllers lack the last change, the first is %s", len(stale), stale[0])
	}
	if stale := sr.staleReal(); len(stale) > 0 {
		violation("real controllers lack the last change: %v", stale)
	}
	for _, worker := range sr.workers {
		if worker.lastReply.ReloadsFailed > 0 {
			violation("%d controllers failed to read changed settings", worker.lastReply.ReloadsFailed)
		}
	}
	if len(sr.runner.events) != len(sr.plan) {
		violation("%d events were planned, %d executed", len(sr.plan), len(sr.runner.events))
	}
	if l := sr.callers.latency(); l.Unanswered > 0 {
		violation("%d calls got no final answer", l.Unanswered)
	}
	sr.checkStoreRequests(violation)
}

// checkStoreRequests checks the number of requests to the store against a limit that depends on the number of controllers, starts and elapsed
// leases.
func (sr *scenarioRun) checkStoreRequests(violation func(string, ...any)) {
	samples := sr.sampler.samples
	first, last := &samples[0], &samples[len(samples)-1]
	leases := last.at.Sub(first.at).Seconds()/sr.scenario.Lease.Seconds() + 1
	controllers := float64(sr.scenario.Controllers + sr.scenario.RealControllers)
	limit := controllers*leases*requestsPerLease + float64(sr.plannedStarts())*requestsPerStart
	if requests := float64(last.store.Total() - first.store.Total()); requests > limit {
		violation("%.0f requests to the store exceed the limit of %.0f: %d for each controller and lease, %d for each start",
			requests, limit, requestsPerLease, requestsPerStart)
	}
}

// plannedStarts returns the number of controller starts in the run: the initial ones and those of the plan.
func (sr *scenarioRun) plannedStarts() int {
	starts := sr.scenario.Controllers + sr.scenario.RealControllers
	for _, e := range sr.plan {
		if e.Kind == Restart || e.Kind == Release || e.Kind == Rack || e.Kind == StartAll {
			starts += len(sr.scenario.affectedControllers(e))
		}
	}
	return starts
}

// staleHollow returns the names of the hollow controllers that lack the last change of their list or of the settings.
func (sr *scenarioRun) staleHollow() []string {
	applied := map[string]map[stream]int{}
	slices.SortStableFunc(sr.sampler.applied, func(a, b AppliedChange) int { return int(a.AtNs - b.AtNs) })
	for _, a := range sr.sampler.applied {
		if applied[a.Controller] == nil {
			applied[a.Controller] = map[stream]int{}
		}
		applied[a.Controller][stream{a.Kind, a.Scope}] = a.Number
	}
	var stale []string
	for i, name := range sr.scenario.hollowNames() {
		list := stream{Change, sr.scenario.scope(sr.scenario.place(i).service)}
		settings := stream{kind: Settings}
		if applied[name][list] != sr.lastNumber(list) || applied[name][settings] != sr.lastNumber(settings) {
			stale = append(stale, name)
		}
	}
	return stale
}

// report summarizes the run.
func (sr *scenarioRun) report() *Report {
	phaseOf := func(at time.Time) string {
		switch {
		case at.Before(sr.started):
			return startPhase
		case at.After(sr.ended):
			return settlePhase
		}
		return phaseAt(sr.spans, at.Sub(sr.started))
	}
	kindOf := func(controller string) string {
		if sr.workerOf[controller] == nil {
			return RealKind
		}
		return HollowKind
	}
	_, _, processes := sr.scenario.processCounts()
	r := &Report{Controllers: sr.scenario.Controllers, Real: sr.scenario.RealControllers, Services: sr.scenario.Services, Dispatchers: sr.scenario.Dispatchers,
		TimeCompression: sr.scenario.TimeCompression, LeaseMs: sr.scenario.Lease.Milliseconds(), Events: sr.runner.events, Violations: sr.violations,
		MemoryMB: sr.sampler.peakMemory >> 20, Processes: processes, Phases: summarizePhases(sr.sampler.samples, phaseOf, sr.scenario),
		Staleness: stalenessRows(activationTimes(sr.changes, sr.sampler.applied, kindOf))}
	if sr.scenario.RealControllers > 0 && sr.scenario.CallsPerSecond > 0 {
		r.Latency = sr.callers.latency()
	}
	return r
}
