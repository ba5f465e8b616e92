package members

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// world is a store, processes that each have a view, and a network between them, in simulated time. A seed decides all of it.
type world struct {
	*rand.Rand
	now    time.Duration
	due    queue
	order  int
	o      odds
	store  storeModel
	all    []*process
	lives  int
	quiet  time.Duration // until then a store that was put back is being found out
	faults []string
}

// odds are what a world is like, and the offences that may be planted in it.
type odds struct {
	lease       time.Duration
	drift       float64 // the most by which a clock's rate is off
	lost        float64 // of messages
	delay       time.Duration
	fromAnswer  bool // renewals are counted from their answers
	silence     bool // a view that is old ends its members
	keepThrough bool // a store that went back is taken for the one before
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.due, event{w.now + d, w.order, do})
}

// storeModel is the store: keys under leases, by revision, with its own clock.
type storeModel struct {
	cluster  uint64
	revision int64
	rate     float64
	keys     map[string]*held
	changes  []Change
}

type held struct {
	Entry
	lease int
	epoch int // of the lease's latest renewal
}

// process is one that holds a name, or wants to. It may be paused, cut off and started anew.
type process struct {
	w      *world
	name   string
	id     int // of its lease, one a life
	rate   float64
	offset time.Duration
	view   *View
	paused time.Duration // until then
	cut    time.Duration // until then nothing comes through
	next   int           // of the store's changes, what it is told next
	joined bool
	life   int
	deaf   bool // its watch has ended: it must read first
}

func (p *process) clock() time.Duration {
	return p.offset + time.Duration(float64(p.w.now)*p.rate)
}

// ask has the store do something and the process hear what came of it. Either way may be lost, late, or meet a process that is paused or
// another one by then.
func (p *process) ask(work func() func(now, sent time.Duration)) {
	w, life, sent := p.w, p.life, p.clock()
	if w.now < p.cut || w.Float64() < w.o.lost {
		return
	}
	w.after(time.Duration(w.Int64N(int64(w.o.delay))), func() {
		answer := work()
		if w.Float64() < w.o.lost {
			return
		}
		var deliver func()
		deliver = func() {
			switch {
			case p.life != life || w.now < p.cut:
			case w.now < p.paused:
				w.after(p.paused-w.now, deliver)
			default:
				if w.o.fromAnswer {
					sent = p.clock()
				}
				answer(p.clock(), sent)
			}
		}
		w.after(time.Duration(w.Int64N(int64(w.o.delay))), deliver)
	})
}

// renew gives a key's lease its whole time again.
func (w *world) renew(h *held) {
	h.epoch++
	epoch, cluster := h.epoch, w.store.cluster
	w.after(time.Duration(float64(w.o.lease)/w.store.rate), func() {
		if w.store.cluster == cluster && w.store.keys[h.Name] == h && h.epoch == epoch {
			w.remove(h)
		}
	})
}

func (w *world) remove(h *held) {
	w.store.revision++
	delete(w.store.keys, h.Name)
	w.store.changes = append(w.store.changes, Change{Entry{Name: h.Name, Revision: w.store.revision}, true})
}

// turn is what a process does again and again.
func (p *process) turn() {
	w := p.w
	w.after(w.o.lease/6+time.Duration(w.Int64N(int64(w.o.lease/6))), p.turn)
	if w.now < p.paused {
		return
	}
	life := p.id
	s := &w.store
	switch w.IntN(4) {
	case 0: // the own key: made where there is none, or renewed
		p.ask(func() func(now, sent time.Duration) {
			h := s.keys[p.name]
			if h == nil && !p.joined {
				s.revision++
				h = &held{Entry: Entry{p.name, s.revision, s.revision, Serving, ""}, lease: life}
				s.keys[p.name] = h
				s.changes = append(s.changes, Change{h.Entry, false})
			}
			cluster, revision := s.cluster, s.revision
			if h == nil || h.lease != life {
				return func(now, _ time.Duration) {
					p.store(now, cluster, revision)
					if p.joined {
						p.view.RecordLeaseEnd(now, "gone")
						p.joined = false
						w.lives++
						p.id = w.lives
					}
				}
			}
			w.renew(h)
			incarnation := h.Incarnation
			return func(now, sent time.Duration) {
				if !p.store(now, cluster, revision) {
					return
				}
				p.joined = true
				p.view.RecordOwnKey(now, sent, incarnation)
				p.view.RecordRenewal(now, sent, incarnation)
			}
		})
	case 1: // a look
		p.ask(func() func(now, sent time.Duration) {
			cluster, revision := s.cluster, s.revision
			return func(now, sent time.Duration) {
				if p.store(now, cluster, revision) {
					p.view.RecordRevision(sent, revision)
				}
			}
		})
	default: // the others: a whole read, then changes in order
		if p.deaf {
			p.ask(func() func(now, sent time.Duration) {
				var entries []Entry
				for _, h := range s.keys {
					entries = append(entries, h.Entry)
				}
				cluster, revision, next := s.cluster, s.revision, len(s.changes)
				return func(now, sent time.Duration) {
					if !p.store(now, cluster, revision) && !w.o.keepThrough {
						return
					}
					if p.view.ApplyRead(now, sent, revision, entries) {
						p.next, p.deaf = next, w.Float64() < 0.2
					}
				}
			})
			break
		}
		cluster, from := s.cluster, p.next
		p.ask(func() func(now, sent time.Duration) {
			if s.cluster != cluster || from > len(s.changes) {
				return func(now, _ time.Duration) { p.deaf = true }
			}
			told, revision := slices.Clone(s.changes[from:]), s.revision
			return func(now, _ time.Duration) {
				if p.next != from || p.deaf {
					return
				}
				p.next += len(told)
				p.view.ApplyChanges(now, revision, told)
			}
		})
		if w.o.silence {
			if age, known := p.view.Age(p.clock()); known && age > w.o.lease {
				for _, m := range p.view.Members() {
					if m.Name != p.name {
						p.view.ApplyChanges(p.clock(), 0, []Change{{Entry{Name: m.Name, Revision: 1 << 60}, true}})
					}
				}
			}
		}
	}
}

// store tells the view which store answers.
func (p *process) store(now time.Duration, cluster uint64, revision int64) bool {
	if p.w.o.keepThrough {
		return true
	}
	if p.view.ObserveStore(now, cluster, revision) {
		return true
	}
	p.joined, p.deaf = false, true
	p.w.lives++
	p.id = p.w.lives
	return false
}

// begin is a new process under the name.
func (p *process) begin() {
	w := p.w
	w.lives++
	p.id, p.life = w.lives, p.life+1
	p.rate = 1 + w.o.drift*(2*w.Float64()-1)
	p.offset = time.Duration(w.Int64N(int64(time.Hour)))
	p.view, p.joined, p.deaf, p.paused = New(p.name, w.o.lease), false, true, 0
}

// trouble happens now and then.
func (w *world) trouble() {
	w.after(time.Duration(w.Int64N(int64(2*w.o.lease))), w.trouble)
	p := w.all[w.IntN(len(w.all))]
	span := time.Duration(w.Int64N(int64(3 * w.o.lease)))
	switch w.IntN(6) {
	case 0, 1:
		p.paused = w.now + span
	case 2, 3:
		p.cut = w.now + span
	case 4:
		p.begin()
	case 5:
		if w.IntN(8) == 0 { // the store is put back, under another number
			w.store.cluster++
			w.store.revision = w.Int64N(w.store.revision + 1)
			w.store.keys, w.store.changes = map[string]*held{}, nil
		}
	}
}

// check holds all views against one another: no two are certain of a name, and nobody is who has ended for another. A store that was put
// back makes its owner's certainty worthless until it hears of it; that is the argument's end, and such a moment is not judged.
func (w *world) check() {
	if w.now < w.quiet {
		return
	}
	sure := map[string]*process{}
	for _, p := range w.all {
		if w.now < p.paused { // it does nothing; it is asked once it goes on, by a clock that has
			continue
		}
		incarnation, _, certain := p.view.HoldsLease(p.clock())
		if !certain {
			continue
		}
		if o := sure[p.name]; o != nil {
			w.fault("two are certain of %s", p.name)
		}
		sure[p.name] = p
		for _, o := range w.all {
			if o != p && o.view.HasEnded(p.view.StoreID(), p.name, incarnation) {
				w.fault("%s has ended as %d for another, and is certain of it", p.name, incarnation)
			}
		}
	}
}

func (w *world) fault(format string, args ...any) {
	if len(w.faults) < 10 {
		w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// play plays a world for so many leases, and heals it at the end: then all must know all within a bound.
func play(seed uint64, o odds, leases int) (faults string, joins int) {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 7)), o: o}
	w.store = storeModel{cluster: 1, revision: 1, rate: 1 + o.drift*(2*w.Float64()-1), keys: map[string]*held{}}
	for i := range 4 {
		p := &process{w: w, name: []string{"a", "b", "c", "a"}[i]} // two want one name
		w.all = append(w.all, p)
		p.begin()
		w.after(time.Duration(w.Int64N(int64(o.lease))), p.turn)
	}
	w.after(o.lease, w.trouble)
	cluster := w.store.cluster
	for end := time.Duration(leases) * o.lease; len(w.due) > 0 && w.now < end; {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		w.check()
		e.do()
		if w.store.cluster != cluster {
			cluster, w.quiet = w.store.cluster, w.now+2*o.lease
		}
		w.check()
	}
	for _, p := range w.all {
		for _, e := range p.view.history {
			if e.Kind == LeaseGained {
				joins++
			}
		}
	}
	return strings.Join(w.faults, "; "), joins
}
