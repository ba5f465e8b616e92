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
	// togetherWithin limits how long the fleet may take to converge: after the start, and at the end until every controller has every change.
	togetherWithin = 4 * time.Minute
	// lookEvery is the interval between checks for convergence.
	lookEvery = 250 * time.Millisecond
	// membersAsked is the number of controllers in each process whose known members are counted during the run. At the end all are counted.
	membersAsked = 3
	// requestsPerLease limits the requests of a controller to the store for each lease. Three renewals and two polls make 4.5; if they fail, they
	// are retried twelve times in a lease, each time with a read of the list.
	requestsPerLease = 24
	// requestsPerStart limits the requests to the store for each start of a controller.
	requestsPerStart = 24
)

// Play runs a scenario once. All processes that it starts have ended when it returns.
func Play(ctx context.Context, s *Scenario, seed uint64, o Options) (*Report, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if err := s.bounds(); err != nil {
		return nil, err
	}
	begun := time.Now()
	files, err := os.MkdirTemp("", "cherryrelay-scale-")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer os.RemoveAll(files)
	w, err := open(s, o, seed, files)
	if err != nil {
		return nil, err
	}
	p := &play{world: w, plan: s.Plan(seed), sampler: &sampler{w: w, sockets: map[string]int{}}, callers: newCallers(), over: make(chan struct{}), stopped: make(chan error, 1)}
	err = errors.Join(p.play(ctx), w.close())
	if err != nil {
		return nil, err
	}
	r := p.report()
	r.Seed, r.Command, r.Version, r.Took = seed, o.Command, o.Version, time.Since(begun)
	return r, nil
}

// play is one run of a scenario.
type play struct {
	*world
	plan    []Event
	sampler *sampler
	callers *callers
	begun   time.Time     // of the scenario, after the fleet has started
	ended   time.Time     // of the scenario, before the fleet settles
	over    chan struct{} // closed to stop the sampler
	stopped chan error    // the error of the sampler, if any; closed when it has stopped
	runner  *runner
	spans   []span
	faults  []string
}

func (p *play) progress(phase string, part float64) {
	if p.o.Progress != nil {
		p.o.Progress(phase, part)
	}
}

// sample takes samples until the run is over. If a sample fails or exceeds a limit, it cancels the run.
func (p *play) sample(ctx context.Context, cancel func()) {
	defer close(p.stopped)
	for count := 0; ; count++ {
		if err := p.sampler.take(count); err != nil {
			p.stopped <- err
			cancel()
			return
		}
		if !p.begun.IsZero() {
			since := time.Since(p.begun)
			p.progress(phaseAt(p.spans, since), since.Seconds()/p.s.Lasting.Seconds())
		}
		select {
		case <-p.over:
			return
		case <-ctx.Done():
			return
		case <-time.After(sampleEvery):
		}
	}
}

// play starts the fleet, executes the plan, waits until the fleet has converged again and checks the run.
func (p *play) play(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	if err := p.start(ctx); err != nil {
		return err
	}
	p.begun, p.spans = time.Now(), p.s.spans(p.plan)
	p.runner = &runner{w: p.world, begun: p.begun}
	go p.sample(ctx, cancel)
	calling := p.call()
	p.runner.run(p.plan, ctx.Done(), func(at time.Duration) string { return phaseAt(p.spans, at) })
	p.ended = time.Now()
	settled := p.settle(ctx)
	close(p.over)
	calling()
	if err := <-p.stopped; err != nil {
		return err
	}
	if parent.Err() != nil {
		return fmt.Errorf("scale: run interrupted: %w", parent.Err())
	}
	if p.runner.err != nil {
		return p.runner.err
	}
	if err := p.sampler.take(0); err != nil {
		return err
	}
	p.judge(settled)
	return nil
}

// start starts all hollow controllers at once and waits until every controller knows every other.
func (p *play) start(ctx context.Context) error {
	if err := p.sampler.take(0); err != nil {
		return err
	}
	if err := p.world.start(p.s.names()); err != nil {
		return err
	}
	return p.until(ctx, "start", func() (bool, error) { return p.together(membersAsked) })
}

// until waits until a condition holds, and takes samples while it waits.
func (p *play) until(ctx context.Context, what string, holds func() (bool, error)) error {
	for begun := time.Now(); ; {
		is, err := holds()
		if is || err != nil {
			return err
		}
		if time.Since(begun) > togetherWithin {
			return fmt.Errorf("scale: %s: the fleet has not converged after %v: %s", what, togetherWithin, p.lacking())
		}
		if err := p.sampler.take(0); err != nil {
			return err
		}
		p.progress(what, 0)
		select {
		case <-ctx.Done():
			return fmt.Errorf("scale: run interrupted during the %s after %v: %s", what, time.Since(begun).Round(time.Second), p.lacking())
		case <-time.After(lookEvery):
		}
	}
}

// together reports whether all controllers serve and hold their leases, and whether the polled ones know all members. It polls up to asked hollow
// controllers in each process, and all real ones.
func (p *play) together(asked int) (bool, error) {
	if err := p.ask(asked); err != nil {
		return false, err
	}
	all := p.s.Controllers + p.s.Real
	joined := 0
	for _, worker := range p.workers {
		worker.mu.Lock()
		r := worker.last
		worker.mu.Unlock()
		if joined += r.Joined; r.MembersAsked > 0 && r.LeastMembers != all {
			return false, nil
		}
	}
	if joined != p.s.Controllers {
		return false, nil
	}
	for _, r := range p.real {
		if r.members() != all {
			return false, nil
		}
	}
	return true, nil
}

// lacking describes the processes and controllers that keep the fleet from being converged.
func (p *play) lacking() string {
	text := ""
	for i, worker := range p.workers {
		worker.mu.Lock()
		r := worker.last
		worker.mu.Unlock()
		if r.Joined != r.Controllers || r.LeastMembers != p.s.Controllers+p.s.Real {
			text += fmt.Sprintf("worker %d: %d controllers, %d joined, fewest members known %d; ", i+1, r.Controllers, r.Joined, r.LeastMembers)
		}
	}
	for _, r := range p.real {
		if n := r.members(); n != p.s.Controllers+p.s.Real {
			text += fmt.Sprintf("%s: %d members known; ", r.name, n)
		}
	}
	return text
}

// call starts a caller at each real controller. The function that it returns stops them and waits for their end.
func (p *play) call() (end func()) {
	if p.s.CallsPerSecond == 0 {
		return func() {}
	}
	over := make(chan struct{})
	ended := make(chan struct{}, len(p.real))
	for i, r := range p.real {
		dispatcher := p.listen[fmt.Sprint("d", i%p.s.Dispatchers+1)]
		go func() {
			p.callers.run(i, r.lines, dispatcher, p.s.CallsPerSecond, over)
			ended <- struct{}{}
		}()
	}
	return func() {
		close(over)
		for range p.real {
			<-ended
		}
	}
}

// settle waits until all controllers know one another and the real ones have the last change. It reports whether that happened in time.
func (p *play) settle(ctx context.Context) bool {
	for begun := time.Now(); time.Since(begun) < togetherWithin && ctx.Err() == nil; time.Sleep(lookEvery) {
		if is, err := p.together(membersAsked); err != nil || !is {
			continue
		}
		if is, err := p.together(p.s.Controllers); err == nil && is && len(p.behind()) == 0 {
			return true
		}
	}
	return false
}

// behind returns the names of the real controllers that do not have the last change of their list.
func (p *play) behind() []string {
	var names []string
	for _, r := range p.real {
		if r.inForce() != p.last(stream{Change, r.scope}) {
			names = append(names, r.name)
		}
	}
	return names
}

// judge checks the invariants of the run and records violations. None of the invariants is about speed.
func (p *play) judge(settled bool) {
	fault := func(format string, args ...any) { p.faults = append(p.faults, fmt.Sprintf(format, args...)) }
	if !settled {
		fault("the fleet did not converge again within %v: %s", togetherWithin, p.lacking())
	}
	if late := p.lateHollow(); len(late) > 0 {
		fault("%d hollow controllers lack the last change, the first is %s", len(late), late[0])
	}
	if late := p.behind(); len(late) > 0 {
		fault("real controllers lack the last change: %v", late)
	}
	for _, worker := range p.workers {
		if worker.last.ReloadsFailed > 0 {
			fault("%d controllers failed to read changed settings", worker.last.ReloadsFailed)
		}
	}
	if len(p.runner.events) != len(p.plan) {
		fault("%d events were planned, %d executed", len(p.plan), len(p.runner.events))
	}
	if l := p.callers.latency(); l.Unanswered > 0 {
		fault("%d calls got no final answer", l.Unanswered)
	}
	p.judgeRequests(fault)
}

// judgeRequests checks the number of requests to the store against a limit that follows from the number of controllers, starts and elapsed leases.
func (p *play) judgeRequests(fault func(string, ...any)) {
	samples := p.sampler.samples
	first, last := &samples[0], &samples[len(samples)-1]
	leases := last.at.Sub(first.at).Seconds()/p.s.Lease.Seconds() + 1
	controllers := float64(p.s.Controllers + p.s.Real)
	most := controllers*leases*requestsPerLease + float64(p.startsPlanned())*requestsPerStart
	if requests := float64(last.store.Sum() - first.store.Sum()); requests > most {
		fault("%.0f requests to the store exceed the limit of %.0f: %d for each controller and lease, %d for each start", requests, most, requestsPerLease, requestsPerStart)
	}
}

// startsPlanned returns the number of controller starts in the run: the initial ones and those of the plan.
func (p *play) startsPlanned() int {
	starts := p.s.Controllers + p.s.Real
	for _, e := range p.plan {
		if e.Do == Restart || e.Do == Release || e.Do == Rack || e.Do == StartAll {
			starts += len(p.s.within(e))
		}
	}
	return starts
}

// lateHollow returns the names of the hollow controllers that lack the last change of their list or of the settings.
func (p *play) lateHollow() []string {
	has := map[string]map[stream]int{}
	slices.SortStableFunc(p.sampler.applied, func(a, b Applied) int { return int(a.AtNs - b.AtNs) })
	for _, a := range p.sampler.applied {
		if has[a.Controller] == nil {
			has[a.Controller] = map[stream]int{}
		}
		has[a.Controller][stream{a.Kind, a.Scope}] = a.Number
	}
	var late []string
	for i, name := range p.s.names() {
		list := stream{Change, p.s.scope(p.s.place(i).service)}
		settings := stream{kind: Settings}
		if has[name][list] != p.last(list) || has[name][settings] != p.last(settings) {
			late = append(late, name)
		}
	}
	return late
}

// report summarizes the run.
func (p *play) report() *Report {
	phaseOf := func(at time.Time) string {
		switch {
		case at.Before(p.begun):
			return startPhase
		case at.After(p.ended):
			return settlePhase
		}
		return phaseAt(p.spans, at.Sub(p.begun))
	}
	kindOf := func(controller string) string {
		if p.host[controller] == nil {
			return RealKind
		}
		return HollowKind
	}
	_, _, processes := p.s.processes()
	r := &Report{Controllers: p.s.Controllers, Real: p.s.Real, Services: p.s.Services, Dispatchers: p.s.Dispatchers, Compress: p.s.Compress,
		LeaseMs: p.s.Lease.Milliseconds(), Events: p.runner.events, Faults: p.faults, MemoryMB: p.sampler.memory >> 20, Processes: processes,
		Phases: phases(p.sampler.samples, phaseOf, p.s), Staleness: inForce(timesToForce(p.made, p.sampler.applied, kindOf))}
	if p.s.Real > 0 && p.s.CallsPerSecond > 0 {
		r.Latency = p.callers.latency()
	}
	return r
}
