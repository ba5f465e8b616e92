package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"cherryrelay/internal/fault"
)

// execute executes an event. The function that it returns reverts the event; it is nil if there is nothing to revert.
func (c *cluster) execute(e Event, phase string) (revert func() error, err error) {
	switch e.Kind {
	case Change:
		return nil, c.changeMarker(e.Target, phase)
	case Settings:
		return nil, c.changeSettings(phase)
	case Restart:
		return nil, c.restart([]string{e.Target})
	case Release:
		return nil, c.rollingRestart(e)
	case Rack, StartAll:
		return c.crash(e)
	case Zone, Region:
		return c.cutOff(e)
	case StopStore:
		c.store.Close()
		return func() error {
			_, err := c.store.Listen(c.storeAddress)
			return err //nolint:wrapcheck // the error needs no context
		}, nil
	}
	return nil, fmt.Errorf("scale: event %v has an unknown kind", e)
}

// nextNumber increments and returns the number of the last change of a stream.
func (c *cluster) nextNumber(s stream) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumbers[s]++
	return c.lastNumbers[s]
}

// lastNumber returns the number of the last change of a stream.
func (c *cluster) lastNumber(s stream) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastNumbers[s]
}

// changeMarker writes a new version of a scope's marker into the list and records when.
func (c *cluster) changeMarker(scope, phase string) error {
	number := c.nextNumber(stream{Change, scope})
	c.recordChange(issuedChange{Change, scope, number, time.Now(), phase})
	return c.writeMarker(scope, number)
}

// changeSettings writes new configuration files and makes every controller reload its file. The distribution of files to machines is not simulated.
func (c *cluster) changeSettings(phase string) error {
	number := c.nextNumber(stream{kind: Settings})
	if err := writeOperatorFile(c.configPath, "hollow", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", allServices, c.scenario.Lease,
		c.scenario.Controllers+c.scenario.RealControllers, number); err != nil {
		return err
	}
	for _, r := range c.real {
		if err := r.writeConfig(c.scenario, number); err != nil {
			return err
		}
	}
	c.recordChange(issuedChange{Settings, "", number, time.Now(), phase})
	for _, r := range c.real {
		if err := r.reload(number); err != nil {
			return err
		}
	}
	return forEachProcess(c.workers, func(p *process) error {
		_, err := p.send(&Order{Action: ReloadSettings, Config: c.configPath})
		return err
	})
}

// holdDown counts one more event that keeps each controller down, and returns the controllers that were up before.
func (c *cluster) holdDown(names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []string
	for _, name := range names {
		if c.downCounts[name]++; c.downCounts[name] == 1 {
			up = append(up, name)
		}
	}
	return up
}

// endHoldDown reverts holdDown for one event, and returns the controllers that no event keeps down any longer.
func (c *cluster) endHoldDown(names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []string
	for _, name := range names {
		if c.downCounts[name]--; c.downCounts[name] == 0 {
			up = append(up, name)
		}
	}
	return up
}

// restart shuts controllers down gracefully and starts them again. It skips controllers that are already down.
func (c *cluster) restart(names []string) error {
	up := c.holdDown(names)
	if err := c.stopControllers(up, false); err != nil {
		return err
	}
	return c.startControllers(c.endHoldDown(names))
}

// rollingRestart restarts the controllers of a service one after the other, spread over the duration of the event.
func (c *cluster) rollingRestart(e Event) error {
	names := c.scenario.affectedControllers(e)
	start := time.Now()
	for i, name := range names {
		time.Sleep(time.Until(start.Add(e.Duration * time.Duration(i) / time.Duration(len(names)))))
		if err := c.restart([]string{name}); err != nil {
			return err
		}
	}
	return nil
}

// crash stops controllers as in a crash: they do not notify the store. The function that it returns starts them again.
func (c *cluster) crash(e Event) (revert func() error, err error) {
	names := c.scenario.affectedControllers(e)
	if err := c.stopControllers(c.holdDown(names), true); err != nil {
		return nil, err
	}
	return func() error { return c.startControllers(c.endHoldDown(names)) }, nil
}

// cutOff disconnects the controllers of a zone or region from the store and makes its dispatchers refuse connections. All processes keep running.
func (c *cluster) cutOff(e Event) (revert func() error, err error) {
	proxies, dispatchers := c.affectedByCut(e)
	for _, proxy := range c.adjustHolds(c.cutCounts, proxies, 1) {
		hole := fault.Impairment{Hole: true}
		c.network.SetRule(proxy+">"+storeName, fault.Rule{Forth: hole, Back: hole, Shut: true})
	}
	closing := c.adjustHolds(c.closedCounts, dispatchers, 1)
	err = forEachProcess(c.dispatcherProcesses, func(p *process) error {
		_, err := p.send(&Order{Action: CloseDispatchers, Names: c.dispatchersIn(p, closing)})
		return err
	})
	return func() error {
		for _, proxy := range c.adjustHolds(c.cutCounts, proxies, -1) {
			c.network.SetRule(proxy+">"+storeName, fault.Rule{})
		}
		opening := c.adjustHolds(c.closedCounts, dispatchers, -1)
		return forEachProcess(c.dispatcherProcesses, func(p *process) error {
			addresses := map[string]string{}
			for _, name := range c.dispatchersIn(p, opening) {
				addresses[name] = c.dispatcherAddress[name]
			}
			_, err := p.send(&Order{Action: OpenDispatchers, Dispatchers: addresses})
			return err
		})
	}, err
}

// affectedByCut returns the names of the proxies to the store and of the dispatchers that an event cuts off.
func (c *cluster) affectedByCut(e Event) (proxies, dispatchers []string) {
	for i := range c.scenario.Controllers {
		if p := c.scenario.place(i); e.cutsOff(p) && !slices.Contains(proxies, p.rack) {
			proxies = append(proxies, p.rack)
		}
	}
	for i, r := range c.real {
		if e.cutsOff(c.scenario.place(i)) {
			proxies = append(proxies, r.name)
		}
	}
	for name, p := range c.dispatcherPlace {
		if e.cutsOff(p) {
			dispatchers = append(dispatchers, name)
		}
	}
	return proxies, dispatchers
}

// adjustHolds adds delta to the number of events that hold each name, and returns the names whose number changed from 0 or to 0.
func (c *cluster) adjustHolds(holds map[string]int, names []string, delta int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []string
	for _, name := range names {
		before := holds[name]
		holds[name] += delta
		if (before == 0) != (holds[name] == 0) {
			changed = append(changed, name)
		}
	}
	return changed
}

// dispatchersIn returns those of the named dispatchers that run in process p.
func (c *cluster) dispatchersIn(p *process, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return c.dispatcherProcess[name] != p })
}

// recordChange records a change that is about to be made.
func (c *cluster) recordChange(change issuedChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change)
}

// eventRunner executes the events of a plan at their times.
type eventRunner struct {
	cluster *cluster
	started time.Time
	tasks   sync.WaitGroup

	mu     sync.Mutex
	err    error
	events []string
}

// recordError keeps the first error.
func (r *eventRunner) recordError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// runEvent executes an event and reverts it after its duration.
func (r *eventRunner) runEvent(e Event, phase string) {
	revert, err := r.cluster.execute(e, phase)
	r.recordError(err)
	if revert == nil {
		return
	}
	time.Sleep(time.Until(r.started.Add(e.At + e.Duration)))
	r.recordError(revert())
}

// run executes the plan and returns when every event is reverted. If done is closed, it returns early and does not wait for the events in progress.
func (r *eventRunner) run(plan []Event, done <-chan struct{}, phaseOf func(time.Duration) string) {
	for _, e := range plan {
		select {
		case <-done:
			return
		case <-time.After(time.Until(r.started.Add(e.At))):
		}
		r.events = append(r.events, e.String())
		r.tasks.Go(func() { r.runEvent(e, phaseOf(e.At)) })
	}
	select {
	case <-done:
		return
	case <-time.After(time.Until(r.started.Add(r.cluster.scenario.Duration))):
	}
	r.tasks.Wait()
}
