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

func (w *simulation) after(d time.Duration, do func()) {
	w.lastOrder++
	heap.Push(&w.events, event{w.now + d, w.lastOrder, do})
}

// fakeStore has keys under leases, by revision, and its own clock.
type fakeStore struct {
	cluster  uint64
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
	w                 *simulation
	name              string
	leaseID           int // of its lease, a new one for each incarnation
	rate              float64
	offset            time.Duration
	view              *View
	pausedUntil       time.Duration // the process is paused before this time
	disconnectedUntil time.Duration // no message is delivered before this time
	nextChange        int           // index of the next change of the store to deliver
	joined            bool
	restarts          int
	watchEnded        bool // its watch has ended: it must read first
}

func (p *process) clock() time.Duration {
	return p.offset + time.Duration(float64(p.w.now)*p.rate)
}

// request sends a request to the store and delivers the answer to the process. Both may be lost or delayed, and the process may
// be paused or restarted by then.
func (p *process) request(serve func() func(now, sent time.Duration)) {
	w, restarts, sent := p.w, p.restarts, p.clock()
	if w.now < p.disconnectedUntil || w.Float64() < w.options.lossRate {
		return
	}
	w.after(time.Duration(w.Int64N(int64(w.options.maxDelay))), func() {
		handle := serve()
		if w.Float64() < w.options.lossRate {
			return
		}
		var deliver func()
		deliver = func() {
			switch {
			case p.restarts != restarts || w.now < p.disconnectedUntil:
			case w.now < p.pausedUntil:
				w.after(p.pausedUntil-w.now, deliver)
			default:
				if w.options.leaseFromAnswer {
					sent = p.clock()
				}
				handle(p.clock(), sent)
			}
		}
		w.after(time.Duration(w.Int64N(int64(w.options.maxDelay))), deliver)
	})
}

// renew restarts the lease of a key.
func (w *simulation) renew(h *heldKey) {
	h.renewals++
	epoch, cluster := h.renewals, w.store.cluster
	w.after(time.Duration(float64(w.options.lease)/w.store.rate), func() {
		if w.store.cluster == cluster && w.store.keys[h.Name] == h && h.renewals == epoch {
			w.remove(h)
		}
	})
}

func (w *simulation) remove(h *heldKey) {
	w.store.revision++
	delete(w.store.keys, h.Name)
	w.store.changes = append(w.store.changes, Change{Entry{Name: h.Name, Revision: w.store.revision}, true})
}

// step performs a random action of the process and schedules the next one.
func (p *process) step() {
	w := p.w
	w.after(w.options.lease/6+time.Duration(w.Int64N(int64(w.options.lease/6))), p.step)
	if w.now < p.pausedUntil {
		return
	}
	leaseID := p.leaseID
	s := &w.store
	switch w.IntN(4) {
	case 0: // the own key: created if it does not exist, else renewed
		p.request(func() func(now, sent time.Duration) {
			h := s.keys[p.name]
			if h == nil && !p.joined {
				s.revision++
				h = &heldKey{Entry: Entry{p.name, s.revision, s.revision, Serving, ""}, leaseID: leaseID}
				s.keys[p.name] = h
				s.changes = append(s.changes, Change{h.Entry, false})
			}
			cluster, revision := s.cluster, s.revision
			if h == nil || h.leaseID != leaseID {
				return func(now, _ time.Duration) {
					p.observeStore(now, cluster, revision)
					if p.joined {
						p.view.RecordLeaseEnd(now, "gone")
						p.joined = false
						w.lastLeaseID++
						p.leaseID = w.lastLeaseID
					}
				}
			}
			w.renew(h)
			incarnation := h.Incarnation
			return func(now, sent time.Duration) {
				if !p.observeStore(now, cluster, revision) {
					return
				}
				p.joined = true
				p.view.RecordOwnKey(now, sent, incarnation)
				p.view.RecordRenewal(now, sent, incarnation)
			}
		})
	case 1: // read the revision
		p.request(func() func(now, sent time.Duration) {
			cluster, revision := s.cluster, s.revision
			return func(now, sent time.Duration) {
				if p.observeStore(now, cluster, revision) {
					p.view.RecordRevision(sent, revision)
				}
			}
		})
	default: // the other members: a complete read, then changes in order
		if p.watchEnded {
			p.request(func() func(now, sent time.Duration) {
				var entries []Entry
				for _, h := range s.keys {
					entries = append(entries, h.Entry)
				}
				cluster, revision, next := s.cluster, s.revision, len(s.changes)
				return func(now, sent time.Duration) {
					if !p.observeStore(now, cluster, revision) && !w.options.ignoreRestore {
						return
					}
					if p.view.ApplyRead(now, sent, revision, entries) {
						p.nextChange, p.watchEnded = next, w.Float64() < 0.2
					}
				}
			})
			break
		}
		cluster, from := s.cluster, p.nextChange
		p.request(func() func(now, sent time.Duration) {
			if s.cluster != cluster || from > len(s.changes) {
				return func(now, _ time.Duration) { p.watchEnded = true }
			}
			changes, revision := slices.Clone(s.changes[from:]), s.revision
			return func(now, _ time.Duration) {
				if p.nextChange != from || p.watchEnded {
					return
				}
				p.nextChange += len(changes)
				p.view.ApplyChanges(now, revision, changes)
			}
		})
		if w.options.endOnOldView {
			if age, loaded := p.view.Age(p.clock()); loaded && age > w.options.lease {
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
func (p *process) observeStore(now time.Duration, cluster uint64, revision int64) bool {
	if p.w.options.ignoreRestore {
		return true
	}
	if p.view.ObserveStore(now, cluster, revision) {
		return true
	}
	p.joined, p.watchEnded = false, true
	p.w.lastLeaseID++
	p.leaseID = p.w.lastLeaseID
	return false
}

// restart starts a new process under the name.
func (p *process) restart() {
	w := p.w
	w.lastLeaseID++
	p.leaseID, p.restarts = w.lastLeaseID, p.restarts+1
	p.rate = 1 + w.options.maxDrift*(2*w.Float64()-1)
	p.offset = time.Duration(w.Int64N(int64(time.Hour)))
	p.view, p.joined, p.watchEnded, p.pausedUntil = New(p.name, w.options.lease), false, true, 0
}

// injectFault injects a random fault and schedules the next one.
func (w *simulation) injectFault() {
	w.after(time.Duration(w.Int64N(int64(2*w.options.lease))), w.injectFault)
	p := w.processes[w.IntN(len(w.processes))]
	span := time.Duration(w.Int64N(int64(3 * w.options.lease)))
	switch w.IntN(6) {
	case 0, 1:
		p.pausedUntil = w.now + span
	case 2, 3:
		p.disconnectedUntil = w.now + span
	case 4:
		p.restart()
	case 5:
		if w.IntN(8) == 0 { // the store is restored, under another id
			w.store.cluster++
			w.store.revision = w.Int64N(w.store.revision + 1)
			w.store.keys, w.store.changes = map[string]*heldKey{}, nil
		}
	}
}

// checkInvariants compares all views: no two processes hold the lease of one name, and no holder has ended according to another
// process. A lease is worthless once the store is restored, until its owner notices. The rules do not cover that time, so
// nothing is checked then.
func (w *simulation) checkInvariants() {
	if w.now < w.checksPausedUntil {
		return
	}
	holders := map[string]*process{}
	for _, p := range w.processes {
		if w.now < p.pausedUntil { // a paused process does nothing; it is checked once it goes on, with its clock of that time
			continue
		}
		incarnation, _, holds := p.view.HoldsLease(p.clock())
		if !holds {
			continue
		}
		if o := holders[p.name]; o != nil {
			w.recordViolation("two are certain of %s", p.name)
		}
		holders[p.name] = p
		for _, o := range w.processes {
			if o != p && o.view.HasEnded(p.view.StoreID(), p.name, incarnation) {
				w.recordViolation("%s has ended as %d for another, and is certain of it", p.name, incarnation)
			}
		}
	}
}

func (w *simulation) recordViolation(format string, args ...any) {
	if len(w.violations) < 10 {
		w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// runSimulation runs a simulation for the given number of leases. It returns the violations and how often a lease was gained.
func runSimulation(seed uint64, o simulationOptions, leases int) (faults string, leasesGained int) {
	w := &simulation{Rand: rand.New(rand.NewPCG(seed, 7)), options: o}
	w.store = fakeStore{cluster: 1, revision: 1, rate: 1 + o.maxDrift*(2*w.Float64()-1), keys: map[string]*heldKey{}}
	for i := range 4 {
		p := &process{w: w, name: []string{"a", "b", "c", "a"}[i]} // two processes want the same name
		w.processes = append(w.processes, p)
		p.restart()
		w.after(time.Duration(w.Int64N(int64(o.lease))), p.step)
	}
	w.after(o.lease, w.injectFault)
	cluster := w.store.cluster
	for end := time.Duration(leases) * o.lease; len(w.events) > 0 && w.now < end; {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.checkInvariants()
		e.run()
		if w.store.cluster != cluster {
			cluster, w.checksPausedUntil = w.store.cluster, w.now+2*o.lease
		}
		w.checkInvariants()
	}
	for _, p := range w.processes {
		for _, e := range p.view.history {
			if e.Kind == LeaseGained {
				leasesGained++
			}
		}
	}
	return strings.Join(w.violations, "; "), leasesGained
}
