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
	storeName = "store"
	// spareDescriptors is the reserve of file descriptors in each process for uses that are not counted.
	spareDescriptors = 500
	// storeDescriptors is the number of descriptors that this process needs for each controller: both sides of the proxy, and the store.
	storeDescriptors = 3
	// linksEach is the number of connections from a hollow controller to a dispatcher; without calls it opens just one.
	linksEach = 1
	// linksOfReal is the maximum number of connections from a real controller to a dispatcher.
	linksOfReal = dispatchers.MaxConnections
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

// world contains all processes of a run, the store and the network between them.
type world struct {
	s       *Scenario
	o       Options
	files   string // directory for the files of the run
	config  string // path of the operator file of the hollow controllers
	store   *store.Store
	address string // of the store, without the proxies
	net     *fault.Net
	workers []*process          // with hollow controllers
	ends    []*process          // with dispatchers
	host    map[string]*process // worker of each hollow controller
	specs   map[string]Spec
	real    []*realController
	// The addresses, processes and places of dispatchers, by name.
	listen map[string]string
	at     map[string]*process
	places map[string]place

	mu     sync.Mutex
	made   []issued
	number map[stream]int // number of the last change
	cuts   map[string]int // number of events that cut off a rack or real controller
	closed map[string]int // number of events that keep a dispatcher closed
	down   map[string]int // number of events that keep a hollow controller down
}

// processes returns the number of processes with hollow controllers, of those with dispatchers, and of all with this one and the real controllers.
func (s *Scenario) processes() (workers, ends, all int) {
	workers = (s.Controllers + s.PerProcess - 1) / s.PerProcess
	ends = s.endProcesses()
	return workers, ends, 1 + workers + ends + s.Real
}

// listed returns the names of all entries of the list: dispatchers and markers.
func (s *Scenario) listed() []string {
	names := numbered("d", s.Dispatchers)
	for _, scope := range s.scopes() {
		names = append(names, markerPrefix+scope)
	}
	return names
}

// connections returns the maximum number of connections to one dispatcher.
func (s *Scenario) connections() int {
	if s.ListByService {
		return (s.Controllers+s.Services-1)/s.Services + linksOfReal*s.Real
	}
	return s.Controllers + linksOfReal*s.Real
}

// mostConnections is the maximum number of connections to the dispatchers of one process.
const mostConnections = 15_000

// endProcesses returns the number of processes needed for the dispatchers.
func (s *Scenario) endProcesses() int {
	each := max(mostConnections/max(s.connections(), 1), 1)
	return (len(s.listed()) + each - 1) / each
}

// bounds returns an error if a scenario needs more processes than MostProcesses or more descriptors than the machine allows.
func (s *Scenario) bounds() error {
	_, _, all := s.processes()
	if all > MostProcesses {
		return fmt.Errorf("scale: the run needs %d processes, %d are allowed: increase per_process, or use fewer dispatchers or real controllers", all, MostProcesses)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	for _, process := range []struct {
		what        string
		descriptors int
	}{
		{"the process of the store", storeDescriptors * (s.Controllers + s.Real)},
		{"a process of hollow controllers", min(s.Controllers, s.PerProcess) * (1 + linksEach*s.listedEach())},
		{"a process of dispatchers", max(min(mostConnections, s.connections()*len(s.listed())), s.connections())},
		{"a real controller", linksOfReal * s.listedEach()},
	} {
		if need := process.descriptors + spareDescriptors; uint64(need) > limit.Max {
			return fmt.Errorf("scale: %s needs %d descriptors, %d are allowed", process.what, need, limit.Max)
		}
	}
	return nil
}

// listedEach returns the number of list entries that a controller watches, with the marker.
func (s *Scenario) listedEach() int {
	if s.ListByService {
		return (s.Dispatchers+s.Services-1)/s.Services + 1
	}
	return s.Dispatchers + 1
}

// open starts the store, the dispatchers, the workers and the real controllers, but no hollow controllers.
func open(s *Scenario, o Options, seed uint64, files string) (*world, error) {
	w := &world{s: s, o: o, files: files, config: filepath.Join(files, "hollow.ini"), store: store.New(seed + 1), net: fault.New(seed),
		host: map[string]*process{}, specs: map[string]Spec{}, listen: map[string]string{}, at: map[string]*process{}, places: map[string]place{},
		number: map[stream]int{}, cuts: map[string]int{}, closed: map[string]int{}, down: map[string]int{}}
	for _, step := range []func() error{w.openStore, w.openEnds, w.list, w.openWorkers, w.openReal} {
		if err := step(); err != nil {
			return nil, errors.Join(err, w.close())
		}
	}
	return w, nil
}

func (w *world) openStore() (err error) {
	w.address, err = w.store.Listen("127.0.0.1:0")
	return err //nolint:wrapcheck // it says what it is
}

func (w *world) startWorker() (*process, error) { return startProcess(w.o.Worker, w.o.Env) }

// openEnds starts the dispatchers, spread over worker processes.
func (w *world) openEnds() error {
	_, processes, _ := w.s.processes()
	names := w.s.listed()
	for i := range processes {
		p, err := w.startWorker()
		if err != nil {
			return err
		}
		w.ends = append(w.ends, p)
		addresses := map[string]string{}
		for j := i; j < len(names); j += processes {
			if addresses[names[j]], err = peer.Free(); err != nil {
				return err //nolint:wrapcheck // it says what it is
			}
			w.listen[names[j]], w.at[names[j]] = addresses[names[j]], p
		}
		if _, err := p.ask(&Order{Action: OpenDispatchers, Dispatchers: addresses}); err != nil {
			return err
		}
	}
	return nil
}

// list writes the list of dispatchers and the initial markers to the store.
func (w *world) list() error {
	for i, name := range numbered("d", w.s.Dispatchers) {
		p := w.s.place(i)
		w.places[name] = p
		entry := coordinator.Endpoint{Name: name, Address: w.listen[name], Zone: p.zone, Group: i, Status: "active", SinceMs: longRunning}
		if err := w.put(listPrefix+w.s.scope(p.service)+"/"+name, entry); err != nil {
			return err
		}
	}
	for _, scope := range w.s.scopes() {
		if err := w.mark(scope, 0); err != nil {
			return err
		}
	}
	return nil
}

// mark writes the marker of a scope to the store as of the change with the given number.
func (w *world) mark(scope string, number int) error {
	name, entry := marker(scope, w.listen[markerPrefix+scope], number)
	return w.put(listPrefix+scope+"/"+name, entry)
}

func (w *world) put(key string, entry coordinator.Endpoint) error {
	text, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	w.store.Put(key, string(text))
	return nil
}

// openWorkers starts the workers for hollow controllers, opens a proxy to the store for each rack and assigns the controllers to both.
func (w *world) openWorkers() error {
	if err := operatorFile(w.config, "hollow", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", allServices, w.s.Lease, w.s.Controllers+w.s.Real, 0); err != nil {
		return err
	}
	links := map[string]string{}
	for _, rack := range w.s.racks() {
		address, err := w.net.Between(rack, storeName, w.address)
		if err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
		links[rack] = address
	}
	processes, _, _ := w.s.processes()
	for range processes {
		p, err := w.startWorker()
		if err != nil {
			return err
		}
		w.workers = append(w.workers, p)
	}
	for i, name := range w.s.names() {
		p := w.s.place(i)
		w.host[name] = w.workers[i%processes]
		w.specs[name] = Spec{Name: name, Store: links[p.rack], Prefix: listPrefix + w.s.scope(p.service) + "/"}
	}
	return nil
}

// openReal starts the real controllers, each with a proxy to the store.
func (w *world) openReal() error {
	for i, name := range w.s.realNames() {
		address, err := w.net.Between(name, storeName, w.address)
		if err != nil {
			return err //nolint:wrapcheck // it says what it is
		}
		r, err := newReal(w.files, name, w.s.scope(w.s.place(i).service), address, w.s)
		if err != nil {
			return err
		}
		directory := filepath.Join(w.files, name)
		if err := os.Mkdir(directory, 0o700); err != nil {
			return fmt.Errorf("scale: %w", err)
		}
		if err := r.start(w.o.Program, w.o.Env, directory); err != nil {
			return err
		}
		w.real = append(w.real, r)
	}
	return nil
}

// close stops all processes, the proxies and the store.
func (w *world) close() error {
	for _, r := range w.real {
		r.end()
	}
	var ending sync.WaitGroup
	for _, p := range append(w.workers, w.ends...) {
		ending.Go(p.end)
	}
	ending.Wait()
	w.net.Close()
	w.store.Close()
	return nil
}

// byHost groups controllers by their worker and sends each worker the order for its group, concurrently.
func (w *world) byHost(names []string, order func(some []string) *Order) error {
	some := map[*process][]string{}
	for _, name := range names {
		some[w.host[name]] = append(some[w.host[name]], name)
	}
	return atOnce(w.workers, func(p *process) error {
		if len(some[p]) == 0 {
			return nil
		}
		_, err := p.ask(order(some[p]))
		return err
	})
}

// atOnce calls a function for each process concurrently and joins the errors.
func atOnce(processes []*process, do func(*process) error) error {
	errs := make([]error, len(processes))
	var doing sync.WaitGroup
	for i, p := range processes {
		doing.Go(func() { errs[i] = do(p) })
	}
	doing.Wait()
	return errors.Join(errs...)
}

// start starts hollow controllers.
func (w *world) start(names []string) error {
	return w.byHost(names, func(some []string) *Order {
		o := &Order{Action: StartControllers, Config: w.config}
		for _, name := range some {
			o.Specs = append(o.Specs, w.specs[name])
		}
		return o
	})
}

// stop stops hollow controllers: gracefully or, if lost is set, as in a crash.
func (w *world) stop(names []string, lost bool) error {
	return w.byHost(names, func(some []string) *Order { return &Order{Action: StopControllers, Names: some, Lost: lost} })
}
