package members

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// simulation has a store, processes with a view each, and a network between them, in simulated time. A seed determines
// everything.
type simulation struct {
	*rand.Rand
	now               time.Duration
	events            eventQueue
	lastOrder         int
	options           simulationOptions
	store             fakeStore
	processes         []*process
	lastLeaseID       int
	checksPausedUntil time.Duration // no checks before this time, while the processes notice that the store was restored
	violations        []string
}

// simulationOptions configure a simulation and the violations planted in it.
type simulationOptions struct {
	lease           time.Duration
	maxDrift        float64 // maximum deviation of a clock rate
	lossRate        float64 // share of messages that are lost
	maxDelay        time.Duration
	leaseFromAnswer bool // leases count from the answer instead of the request
	endOnOldView    bool // members of an old view count as ended
	ignoreRestore   bool // a restored store is not noticed
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.lastOrder++
	heap.Push(&sim.events, event{sim.now + d, sim.lastOrder, run})
}

// fakeStore has keys under leases, by revision, and its own clock.
type fakeStore struct {
	id       uint64
	revision int64
	rate     float64
	keys     map[string]*heldKey
	changes  []Change
}

type heldKey struct {
	Entry
	leaseID  int
	renewals int // number of renewals of the lease
}

// process holds a name, or tries to. It may be paused, disconnected and restarted.
type process struct {
	sim               *simulation
	name              string
	leaseID           int // a new one for each incarnation
	rate              float64
	offset            time.Duration
	view              *View
	pausedUntil       time.Duration // the process is paused before this time
	disconnectedUntil time.Duration // no message is delivered before this time
	nextChange        int           // index of the next change of the store to deliver
	holdsKey          bool
	restarts          int
	watchEnded        bool // its watch has ended: it must read first
}

func (p *process) clock() time.Duration {
	return p.offset + time.Duration(float64(p.sim.now)*p.rate)
}

// request sends a request to the store and delivers the answer to the process. Both may be lost or delayed, and the process may
// be paused or restarted by then.
func (p *process) request(serve func() func(now, sent time.Duration)) {
	sim, restarts, sent := p.sim, p.restarts, p.clock()
	if sim.now < p.disconnectedUntil || sim.Float64() < sim.options.lossRate {
		return
	}
	sim.after(time.Duration(sim.Int64N(int64(sim.options.maxDelay))), func() {
		handle := serve()
		if sim.Float64() < sim.options.lossRate {
			return
		}
		var deliver func()
		deliver = func() {
			switch {
			case p.restarts != restarts || sim.now < p.disconnectedUntil:
			case sim.now < p.pausedUntil:
				sim.after(p.pausedUntil-sim.now, deliver)
			default:
				if sim.options.leaseFromAnswer {
					sent = p.clock()
				}
				handle(p.clock(), sent)
			}
		}
		sim.after(time.Duration(sim.Int64N(int64(sim.options.maxDelay))), deliver)
	})
}

// renew restarts the lease of a key.
func (sim *simulation) renew(h *heldKey) {
	h.renewals++
	renewals, storeID := h.renewals, sim.store.id
	sim.after(time.Duration(float64(sim.options.lease)/sim.store.rate), func() {
		if sim.store.id == storeID && sim.store.keys[h.Name] == h && h.renewals == renewals {
			sim.remove(h)
		}
	})
}

func (sim *simulation) remove(h *heldKey) {
	sim.store.revision++
	delete(sim.store.keys, h.Name)
	sim.store.changes = append(sim.store.changes, Change{Entry{Name: h.Name, Revision: sim.store.revision}, true})
}

// step performs a random action of the process and schedules the next one.
func (p *process) step() {
	sim := p.sim
	sim.after(sim.options.lease/6+time.Duration(sim.Int64N(int64(sim.options.lease/6))), p.step)
	if sim.now < p.pausedUntil {
		return
	}
	leaseID := p.leaseID
	store := &sim.store
	switch sim.IntN(4) {
	case 0: // the own key: created if it does not exist, else renewed
		p.request(func() func(now, sent time.Duration) {
			h := store.keys[p.name]
			if h == nil && !p.holdsKey {
				store.revision++
				h = &heldKey{Entry: Entry{p.name, store.revision, store.revision, Serving, ""}, leaseID: leaseID}
				store.keys[p.name] = h
				store.changes = append(store.changes, Change{h.Entry, false})
			}
			storeID, revision := store.id, store.revision
			if h == nil || h.leaseID != leaseID {
				return func(now, _ time.Duration) {
					p.observeStore(now, storeID, revision)
					if p.holdsKey {
						p.view.RecordLeaseEnd(now, "lease ended")
						p.holdsKey = false
						sim.lastLeaseID++
						p.leaseID = sim.lastLeaseID
					}
				}
			}
			sim.renew(h)
			incarnation := h.Incarnation
			return func(now, sent time.Duration) {
				if !p.observeStore(now, storeID, revision) {
					return
				}
				p.holdsKey = true
				p.view.RecordOwnKey(now, sent, incarnation)
				p.view.RecordRenewal(now, sent, incarnation)
			}
		})
	case 1: // read the revision
		p.request(func() func(now, sent time.Duration) {
			storeID, revision := store.id, store.revision
			return func(now, sent time.Duration) {
				if p.observeStore(now, storeID, revision) {
					p.view.RecordRevision(sent, revision)
				}
			}
		})
	default: // the other members: a complete read, then changes in order
		if p.watchEnded {
			p.request(func() func(now, sent time.Duration) {
				var entries []Entry
				for _, h := range store.keys {
					entries = append(entries, h.Entry)
				}
				storeID, revision, next := store.id, store.revision, len(store.changes)
				return func(now, sent time.Duration) {
					if !p.observeStore(now, storeID, revision) && !sim.options.ignoreRestore {
						return
					}
					if p.view.ApplyRead(now, sent, revision, entries) {
						p.nextChange, p.watchEnded = next, sim.Float64() < 0.2
					}
				}
			})
			break
		}
		storeID, from := store.id, p.nextChange
		p.request(func() func(now, sent time.Duration) {
			if store.id != storeID || from > len(store.changes) {
				return func(now, _ time.Duration) { p.watchEnded = true }
			}
			changes, revision := slices.Clone(store.changes[from:]), store.revision
			return func(now, _ time.Duration) {
				if p.nextChange != from || p.watchEnded {
					return
				}
				p.nextChange += len(changes)
				p.view.ApplyChanges(now, revision, changes)
			}
		})
		if sim.options.endOnOldView {
			if age, loaded := p.view.Age(p.clock()); loaded && age > sim.options.lease {
				for _, m := range p.view.Members() {
					if m.Name != p.name {
						p.view.ApplyChanges(p.clock(), 0, []Change{{Entry{Name: m.Name, Revision: 1 << 60}, true}})
					}
				}
			}
		}
	}
}

// observeStore records in the view which store answers.
func (p *process) observeStore(now time.Duration, storeID uint64, revision int64) bool {
	if p.sim.options.ignoreRestore {
		return true
	}
	if p.view.ObserveStore(now, storeID, revision) {
		return true
	}
	p.holdsKey, p.watchEnded = false, true
	p.sim.lastLeaseID++
	p.leaseID = p.sim.lastLeaseID
	return false
}

// restart starts a new process under the name.
func (p *process) restart() {
	sim := p.sim
	sim.lastLeaseID++
	p.leaseID, p.restarts = sim.lastLeaseID, p.restarts+1
	p.rate = 1 + sim.options.maxDrift*(2*sim.Float64()-1)
	p.offset = time.Duration(sim.Int64N(int64(time.Hour)))
	p.view, p.holdsKey, p.watchEnded, p.pausedUntil = New(p.name, sim.options.lease), false, true, 0
}

// injectFault injects a random fault and schedules the next one.
func (sim *simulation) injectFault() {
	sim.after(time.Duration(sim.Int64N(int64(2*sim.options.lease))), sim.injectFault)
	p := sim.processes[sim.IntN(len(sim.processes))]
	span := time.Duration(sim.Int64N(int64(3 * sim.options.lease)))
	switch sim.IntN(6) {
	case 0, 1:
		p.pausedUntil = sim.now + span
	case 2, 3:
		p.disconnectedUntil = sim.now + span
	case 4:
		p.restart()
	case 5:
		if sim.IntN(8) == 0 { // the store is restored, under another id
			sim.store.id++
			sim.store.revision = sim.Int64N(sim.store.revision + 1)
			sim.store.keys, sim.store.changes = map[string]*heldKey{}, nil
		}
	}
}

// checkInvariants compares all views: no two processes hold the lease of one name, and no holder has ended according to another
// process. A lease is worthless once the store is restored, until its owner notices. The rules do not cover that time, so
// nothing is checked then.
func (sim *simulation) checkInvariants() {
	if sim.now < sim.checksPausedUntil {
		return
	}
	holders := map[string]*process{}
	for _, p := range sim.processes {
		if sim.now < p.pausedUntil { // a paused process does nothing; it is checked once it goes on, with its clock of that time
			continue
		}
		incarnation, _, holds := p.view.HoldsLease(p.clock())
		if !holds {
			continue
		}
		if other := holders[p.name]; other != nil {
			sim.recordViolation("two processes hold the lease of %s", p.name)
		}
		holders[p.name] = p
		for _, other := range sim.processes {
			if other != p && other.view.HasEnded(p.view.StoreID(), p.name, incarnation) {
				sim.recordViolation("%s, incarnation %d, holds its lease and has ended for another process", p.name, incarnation)
			}
		}
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	if len(sim.violations) < 10 {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
	}
}

// runSimulation runs a simulation for the given number of leases. It returns the violations and how often a lease was gained.
func runSimulation(seed uint64, options simulationOptions, leases int) (violations string, leasesGained int) {
	sim := &simulation{Rand: rand.New(rand.NewPCG(seed, 7)), options: options}
	sim.store = fakeStore{id: 1, revision: 1, rate: 1 + options.maxDrift*(2*sim.Float64()-1), keys: map[string]*heldKey{}}
	for i := range 4 {
		p := &process{sim: sim, name: []string{"a", "b", "c", "a"}[i]} // two processes want the same name
		sim.processes = append(sim.processes, p)
		p.restart()
		sim.after(time.Duration(sim.Int64N(int64(options.lease))), p.step)
	}
	sim.after(options.lease, sim.injectFault)
	storeID := sim.store.id
	for end := time.Duration(leases) * options.lease; len(sim.events) > 0 && sim.now < end; {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		sim.checkInvariants()
		e.run()
		if sim.store.id != storeID {
			storeID, sim.checksPausedUntil = sim.store.id, sim.now+2*options.lease
		}
		sim.checkInvariants()
	}
	for _, p := range sim.processes {
		for _, e := range p.view.history {
			if e.Kind == LeaseGained {
				leasesGained++
			}
		}
	}
	return strings.Join(sim.violations, "; "), leasesGained
}
