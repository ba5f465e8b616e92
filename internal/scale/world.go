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
	// spareDescriptors are kept for what is not counted, in each process.
	spareDescriptors = 500
	// storeDescriptors are those of this process for one controller: both sides of the proxy, and the store's.
	storeDescriptors = 3
	// linksEach is how many connections to a dispatcher a controller without calls holds.
	linksEach = 1
	// linksOfReal is how many a real one may hold.
	linksOfReal = dispatchers.MaxConnections
)

// Options say with what a scenario is played.
type Options struct {
	Worker  []string // the command of a worker process: this program, which has to call Work
	Program []string // the command of a real controller
	Env     []string // beside that of this process
	Version string
	Command string // the line that repeats the run
	// Progress is told what is being done and how much of the run is over; it may be nil.
	Progress func(phase string, part float64)
}

// world is all that runs.
type world struct {
	s       *Scenario
	o       Options
	files   string // a directory
	config  string // of the hollow controllers
	store   *store.Store
	address string // of the store itself
	net     *fault.Net
	workers []*process          // with hollow controllers
	ends    []*process          // with dispatchers
	host    map[string]*process // of a hollow controller
	specs   map[string]Spec
	real    []*realController
	// The dispatchers, by name: where they listen, in which process, and what they belong to.
	listen map[string]string
	at     map[string]*process
	places map[string]place

	mu     sync.Mutex
	made   []issued
	number map[stream]int // of the last change
	cuts   map[string]int // how many events cut a rack or real controller off
	closed map[string]int // how many events keep a dispatcher closed
	down   map[string]int // how many events keep a hollow controller down
}

// processes is how many a scenario takes, and descriptors how many the fullest of them.
func (s *Scenario) processes() (workers, ends, all int) {
	workers = (s.Controllers + s.PerProcess - 1) / s.PerProcess
	ends = s.endProcesses()
	return workers, ends, 1 + workers + ends + s.Real
}

// listed are the names of the dispatchers, with those whose changes are timed.
func (s *Scenario) listed() []string {
	names := numbered("d", s.Dispatchers)
	for _, scope := range s.scopes() {
		names = append(names, markerPrefix+scope)
	}
	return names
}

// connections is how many a dispatcher is held by, at most.
func (s *Scenario) connections() int {
	if s.ListByService {
		return (s.Controllers+s.Services-1)/s.Services + linksOfReal*s.Real
	}
	return s.Controllers + linksOfReal*s.Real
}

// mostConnections is how many one process with dispatchers takes.
const mostConnections = 15_000

func (s *Scenario) endProcesses() int {
	each := max(mostConnections/max(s.connections(), 1), 1)
	return (len(s.listed()) + each - 1) / each
}

// bounds reports whether the machine's limits bear a scenario.
func (s *Scenario) bounds() error {
	_, _, all := s.processes()
	if all > MostProcesses {
		return fmt.Errorf("scale: %d processes, %d are allowed: more controllers in a process (per_process), fewer dispatchers or fewer real ones", all, MostProcesses)
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
			return fmt.Errorf("scale: %s would need %d descriptors, %d are allowed", process.what, need, limit.Max)
		}
	}
	return nil
}

// listedEach is how many dispatchers a controller follows.
func (s *Scenario) listedEach() int {
	if s.ListByService {
		return (s.Dispatchers+s.Services-1)/s.Services + 1
	}
	return s.Dispatchers + 1
}

// open starts all but the hollow controllers.
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

// openEnds has the dispatchers listen, spread over processes.
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

// list writes the list of dispatchers into the store.
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

// openWorkers starts the processes of the hollow controllers, and opens a link to the store for each rack.
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

// close ends all that was started.
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

// byHost has an order for some controllers done in each process that has any of them, at the same time.
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

// atOnce does something with each process, at the same time.
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

// stop ends hollow controllers, in order or as lost.
func (w *world) stop(names []string, lost bool) error {
	return w.byHost(names, func(some []string) *Order { return &Order{Action: StopControllers, Names: some, Lost: lost} })
}
