package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"cherryrelay/internal/dispatchers"
	"cherryrelay/internal/fault"
	"cherryrelay/internal/lists/coordinator"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/store"
)

const (
	storeName = "store" // name of the store in the network
	// reservedDescriptors is the reserve of file descriptors in each process for uses that are not counted.
	reservedDescriptors = 500
	// storeDescriptorsPerController is the number of descriptors that this process needs for each controller: both sides of the proxy, and the store.
	storeDescriptorsPerController = 3
	// connectionsPerHollow is the number of connections from a hollow controller to a dispatcher; without calls it opens just one.
	connectionsPerHollow = 1
	// maxConnectionsPerReal is the maximum number of connections from a real controller to a dispatcher.
	maxConnectionsPerReal = dispatchers.MaxConnections
)

// Options are the programs and the environment of a run.
type Options struct {
	Worker  []string // command of a worker process: it must call Work
	Program []string // command of a real controller
	Env     []string // added to the environment of this process
	Version string
	Command string // command line that repeats the run
	// Progress is called with the current phase and the completed fraction of the run. It may be nil.
	Progress func(phase string, part float64)
}

// cluster contains all processes of a run, the store and the network between them.
type cluster struct {
	scenario            *Scenario
	options             Options
	directory           string // directory for the files of the run
	configPath          string // path of the operator file of the hollow controllers
	store               *store.Store
	storeAddress        string // of the store, without the proxies
	network             *fault.Net
	workers             []*process          // with hollow controllers
	dispatcherProcesses []*process          // with dispatchers
	workerOf            map[string]*process // worker of each hollow controller
	specs               map[string]ControllerSpec
	real                []*realController
	// The addresses, processes and places of dispatchers, by name.
	dispatcherAddress map[string]string
	dispatcherProcess map[string]*process
	dispatcherPlace   map[string]place

	mu           sync.Mutex
	changes      []issuedChange
	lastNumbers  map[stream]int // number of the last change
	cutCounts    map[string]int // number of events that cut off a rack or real controller
	closedCounts map[string]int // number of events that keep a dispatcher closed
	downCounts   map[string]int // number of events that keep a hollow controller down
}

// processCounts returns the number of processes with hollow controllers, the number of those with dispatchers, and the total, which includes this
// process and the real controllers.
func (s *Scenario) processCounts() (workers, dispatcherProcesses, all int) {
	workers = (s.Controllers + s.ControllersPerProcess - 1) / s.ControllersPerProcess
	dispatcherProcesses = s.dispatcherProcessCount()
	return workers, dispatcherProcesses, 1 + workers + dispatcherProcesses + s.RealControllers
}

// entryNames returns the names of all entries of the list: dispatchers and markers.
func (s *Scenario) entryNames() []string {
	names := numbered("d", s.Dispatchers)
	for _, scope := range s.scopes() {
		names = append(names, markerPrefix+scope)
	}
	return names
}

// maxConnectionsPerDispatcher returns the maximum number of connections to one dispatcher.
func (s *Scenario) maxConnectionsPerDispatcher() int {
	if s.ListByService {
		return (s.Controllers+s.Services-1)/s.Services + maxConnectionsPerReal*s.RealControllers
	}
	return s.Controllers + maxConnectionsPerReal*s.RealControllers
}

// maxConnectionsPerProcess is the maximum number of connections to the dispatchers of one process.
const maxConnectionsPerProcess = 15_000

// dispatcherProcessCount returns the number of processes needed for the dispatchers.
func (s *Scenario) dispatcherProcessCount() int {
	each := max(maxConnectionsPerProcess/max(s.maxConnectionsPerDispatcher(), 1), 1)
	return (len(s.entryNames()) + each - 1) / each
}

// checkLimits returns an error if a scenario needs more processes than MaxProcesses or more descriptors than the machine allows.
func (s *Scenario) checkLimits() error {
	_, _, all := s.processCounts()
	if all > MaxProcesses {
		return fmt.Errorf("scale: the run needs %d processes, %d are allowed: increase per_process, or use fewer dispatchers or real controllers",
			all, MaxProcesses)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	for _, process := range []struct {
		name        string
		descriptors int
	}{
		{"the process of the store", storeDescriptorsPerController * (s.Controllers + s.RealControllers)},
		{"a process of hollow controllers", min(s.Controllers, s.ControllersPerProcess) * (1 + connectionsPerHollow*s.entriesPerController())},
		{"a process of dispatchers", max(min(maxConnectionsPerProcess, s.maxConnectionsPerDispatcher()*len(s.entryNames())),
			s.maxConnectionsPerDispatcher())},
		{"a real controller", maxConnectionsPerReal * s.entriesPerController()},
	} {
		if need := process.descriptors + reservedDescriptors; uint64(need) > limit.Max {
			return fmt.Errorf("scale: %s needs %d descriptors, %d are allowed", process.name, need, limit.Max)
		}
	}
	return nil
}

// entriesPerController returns the number of list entries that a controller watches, with the marker.
func (s *Scenario) entriesPerController() int {
	if s.ListByService {
		return (s.Dispatchers+s.Services-1)/s.Services + 1
	}
	return s.Dispatchers + 1
}

// openCluster starts the store, the dispatchers, the workers and the real controllers, but no hollow controllers.
func openCluster(s *Scenario, o Options, seed uint64, directory string) (*cluster, error) {
	c := &cluster{scenario: s, options: o, directory: directory, configPath: filepath.Join(directory, "hollow.ini"),
		store: store.New(seed + 1), network: fault.New(seed), workerOf: map[string]*process{}, specs: map[string]ControllerSpec{},
		dispatcherAddress: map[string]string{}, dispatcherProcess: map[string]*process{}, dispatcherPlace: map[string]place{},
		lastNumbers: map[stream]int{}, cutCounts: map[string]int{}, closedCounts: map[string]int{}, downCounts: map[string]int{}}
	for _, step := range []func() error{c.openStore, c.startDispatchers, c.writeList, c.startWorkers, c.startRealControllers} {
		if err := step(); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, nil
}

func (c *cluster) openStore() (err error) {
	c.storeAddress, err = c.store.Listen("127.0.0.1:0")
	return err //nolint:wrapcheck // the error needs no context
}

func (c *cluster) startWorker() (*process, error) {
	return startProcess(c.options.Worker, c.options.Env)
}

// startDispatchers starts the dispatchers, spread over worker processes.
func (c *cluster) startDispatchers() error {
	_, processes, _ := c.scenario.processCounts()
	names := c.scenario.entryNames()
	for i := range processes {
		p, err := c.startWorker()
		if err != nil {
			return err
		}
		c.dispatcherProcesses = append(c.dispatcherProcesses, p)
		addresses := map[string]string{}
		for j := i; j < len(names); j += processes {
			if addresses[names[j]], err = peer.FreeAddress(); err != nil {
				return err //nolint:wrapcheck // the error needs no context
			}
			c.dispatcherAddress[names[j]], c.dispatcherProcess[names[j]] = addresses[names[j]], p
		}
		if _, err := p.send(&Order{Action: OpenDispatchers, Dispatchers: addresses}); err != nil {
			return err
		}
	}
	return nil
}

// writeList writes the list of dispatchers and the initial markers to the store.
func (c *cluster) writeList() error {
	for i, name := range numbered("d", c.scenario.Dispatchers) {
		p := c.scenario.place(i)
		c.dispatcherPlace[name] = p
		entry := coordinator.Endpoint{Name: name, Address: c.dispatcherAddress[name], Zone: p.zone, Group: i, Status: "active", SinceMs: dispatcherStartMs}
		if err := c.putEntry(listPrefix+c.scenario.scope(p.service)+"/"+name, entry); err != nil {
			return err
		}
	}
	for _, scope := range c.scenario.scopes() {
		if err := c.writeMarker(scope, 0); err != nil {
			return err
		}
	}
	return nil
}

// writeMarker writes the marker of a scope to the store as of the change with the given number.
func (c *cluster) writeMarker(scope string, number int) error {
	name, entry := markerEntry(scope, c.dispatcherAddress[markerPrefix+scope], number)
	return c.putEntry(listPrefix+scope+"/"+name, entry)
}

// putEntry writes a list entry to the store as JSON.
func (c *cluster) putEntry(key string, entry coordinator.Endpoint) error {
	text, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	c.store.Put(key, string(text))
	return nil
}

// startWorkers starts the workers for hollow controllers, opens a proxy to the store for each rack and assigns the controllers to both.
func (c *cluster) startWorkers() error {
	if err := writeOperatorFile(c.configPath, "hollow", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", allServices, c.scenario.Lease,
		c.scenario.Controllers+c.scenario.RealControllers, 0); err != nil {
		return err
	}
	proxies := map[string]string{}
	for _, rack := range c.scenario.racks() {
		address, err := c.network.AddLink(rack, storeName, c.storeAddress)
		if err != nil {
			return err //nolint:wrapcheck // the error needs no context
		}
		proxies[rack] = address
	}
	processes, _, _ := c.scenario.processCounts()
	for range processes {
		p, err := c.startWorker()
		if err != nil {
			return err
		}
		c.workers = append(c.workers, p)
	}
	for i, name := range c.scenario.hollowNames() {
		p := c.scenario.place(i)
		c.workerOf[name] = c.workers[i%processes]
		c.specs[name] = ControllerSpec{Name: name, Store: proxies[p.rack], Prefix: listPrefix + c.scenario.scope(p.service) + "/"}
	}
	return nil
}

// startRealControllers starts the real controllers, each with a proxy to the store.
func (c *cluster) startRealControllers() error {
	for i, name := range c.scenario.realNames() {
		address, err := c.network.AddLink(name, storeName, c.storeAddress)
		if err != nil {
			return err //nolint:wrapcheck // the error needs no context
		}
		r, err := newRealController(c.directory, name, c.scenario.scope(c.scenario.place(i).service), address, c.scenario)
		if err != nil {
			return err
		}
		directory := filepath.Join(c.directory, name)
		if err := os.Mkdir(directory, 0o700); err != nil {
			return fmt.Errorf("scale: %w", err)
		}
		if err := r.start(c.options.Program, c.options.Env, directory); err != nil {
			return err
		}
		c.real = append(c.real, r)
	}
	return nil
}

// close stops all processes, the proxies and the store.
func (c *cluster) close() error {
	for _, r := range c.real {
		r.kill()
	}
	var stopping sync.WaitGroup
	for _, p := range append(c.workers, c.dispatcherProcesses...) {
		stopping.Go(p.stop)
	}
	stopping.Wait()
	c.network.Close()
	c.store.Close()
	return nil
}

// orderByWorker groups controllers by their worker and sends each worker the order for its group, concurrently.
func (c *cluster) orderByWorker(names []string, order func(group []string) *Order) error {
	groups := map[*process][]string{}
	for _, name := range names {
		groups[c.workerOf[name]] = append(groups[c.workerOf[name]], name)
	}
	return forEachProcess(c.workers, func(p *process) error {
		if len(groups[p]) == 0 {
			return nil
		}
		_, err := p.send(order(groups[p]))
		return err
	})
}

// forEachProcess calls the given function for each process concurrently and joins the errors.
func forEachProcess(processes []*process, call func(*process) error) error {
	errs := make([]error, len(processes))
	var calls sync.WaitGroup
	for i, p := range processes {
		calls.Go(func() { errs[i] = call(p) })
	}
	calls.Wait()
	return errors.Join(errs...)
}

// startControllers starts hollow controllers.
func (c *cluster) startControllers(names []string) error {
	return c.orderByWorker(names, func(group []string) *Order {
		o := &Order{Action: StartControllers, Config: c.configPath}
		for _, name := range group {
			o.Specs = append(o.Specs, c.specs[name])
		}
		return o
	})
}

// stopControllers stops hollow controllers: gracefully or, if crashed is set, as in a crash.
func (c *cluster) stopControllers(names []string, crashed bool) error {
	return c.orderByWorker(names, func(group []string) *Order { return &Order{Action: StopControllers, Names: group, Crashed: crashed} })
}
