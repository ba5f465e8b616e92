package trial

import (
	"math/rand/v2"
	"sync"
	"time"

	"cherryrelay/internal/peer"
)

// Work says how a Replaced dispatcher treats the calls that come to it.
type Work struct {
	Lines      int           // calls that may stand or wait for an answer at once; what comes beyond is refused
	Answers    time.Duration // the longest that an answer takes
	Holds      time.Duration // the longest that a call stands
	Broken     float64       // the part of set-ups that break on their way
	Unanswered float64       // the part of set-ups that are never answered
	Brief      float64       // the part of calls that end at once, within what their answers are on their way
	Closes     float64       // the part of calls at whose end the connection of their set-up is closed first, if no set-up is open on it
	Seed       uint64
}

// Replaced is a dispatcher that is replaced while it has calls. It may have few lines, answer slowly and close connections; it drains, refusing
// connections while its calls go on; and its process ends, which resets what is open and cuts its calls.
type Replaced struct {
	*peer.Dispatcher
	Name  string
	judge *Judge
	work  Work

	mu       sync.Mutex
	rng      *rand.Rand
	links    []peer.Event          // that opened
	waiting  map[string]peer.Event // set-ups without an answer
	standing map[string]peer.Event // set-ups of the calls that stand
	sent     []string              // released since the last connection opened, to be released again on the next
	dead     bool
}

// brief is the longest that a call stands which ends at once.
const brief = 30 * time.Millisecond

// answerOnItsWay is how long before a reset an answer may have been written that is lost with it.
const answerOnItsWay = 100 * time.Millisecond

// StandToBeReplaced opens a dispatcher. The report is what every new connection is told first.
func StandToBeReplaced(transport, name, report string, j *Judge, work Work) (*Replaced, error) {
	d, err := peer.Dispatch(transport, "127.0.0.1:0", report)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	d.TellLinks()
	r := &Replaced{Dispatcher: d, Name: name, judge: j, work: work, rng: rand.New(rand.NewPCG(work.Seed, 0x7265706c)),
		waiting: map[string]peer.Event{}, standing: map[string]peer.Event{}}
	go func() {
		for range d.Acks { // nobody waits for them
		}
	}()
	go func() {
		for e := range d.Events {
			r.event(e)
		}
	}()
	return r, nil
}

// Free is the number of lines that are free.
func (r *Replaced) Free() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.work.Lines-len(r.waiting)-len(r.standing), 0)
}

// Answer has answers take at most so long from now on.
func (r *Replaced) Answer(within time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work.Answers = within
}

func (r *Replaced) event(e peer.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Kind {
	case "setup":
		r.judge.SetUp(e.ID, r.Name, e.At)
		r.take(e)
	case "release":
		if o, waits := r.waiting[e.ID]; waits {
			delete(r.waiting, e.ID)
			r.judge.GivenUp(e.ID, r.Name, endOf(o, e.At))
		}
		delete(r.standing, e.ID)
		r.judge.Cut(e.ID, r.Name)
	case "opened":
		r.links = append(r.links, e)
		for _, id := range r.sent {
			r.release(e, id)
		}
		r.sent = nil
	case "closed":
		r.closed(e)
	}
}

// closed takes in that a connection has closed: the set-ups that are open on it are given up.
func (r *Replaced) closed(e peer.Event) {
	var open []peer.Event
	for _, l := range r.links {
		if !l.Beside(e) {
			open = append(open, l)
		}
	}
	r.links = open
	for id, o := range r.waiting {
		if o.Beside(e) {
			r.judge.Note(id, "connection closed at", r.Name)
			delete(r.waiting, id)
			r.judge.GivenUp(id, r.Name, endOf(o, e.At))
		}
	}
}

// take has a set-up refused, broken, answered or left.
func (r *Replaced) take(e peer.Event) {
	if len(r.waiting)+len(r.standing) >= r.work.Lines {
		r.judge.Refused(e.ID, r.Name)
		_ = e.Refuse(peer.NoLine)
		return
	}
	r.waiting[e.ID] = e
	draw := r.rng.Float64()
	if draw < r.work.Unanswered {
		return
	}
	breaks := draw < r.work.Unanswered+r.work.Broken
	takes := time.Duration(r.rng.Int64N(int64(r.work.Answers)))
	holds := time.Duration(r.rng.Int64N(int64(r.work.Holds)))
	if r.rng.Float64() < r.work.Brief {
		holds %= brief
	}
	time.AfterFunc(takes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if o, waits := r.waiting[e.ID]; !waits || !o.Beside(e) || o.At != e.At {
			return // given up meanwhile
		}
		delete(r.waiting, e.ID)
		if breaks {
			r.judge.GivenUp(e.ID, r.Name, time.Now())
			_ = e.Refuse(peer.Broken)
			return
		}
		r.answer(e, holds)
	})
}

// answer has a call stand, and end after a while.
func (r *Replaced) answer(e peer.Event, holds time.Duration) {
	r.judge.Answered(e.ID, r.Name)
	if e.Answer(Description(e.ID)) != nil {
		r.judge.AnswerUnsent(e.ID, r.Name, endOf(e, time.Now()))
		return
	}
	r.standing[e.ID] = e
	time.AfterFunc(holds, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if o, stands := r.standing[e.ID]; stands && o.Beside(e) && o.At == e.At {
			r.end(e.ID)
		}
	})
}

// end ends a call that stands: its release goes out on the connection of its set-up, else on any that is open, and on the next that opens.
func (r *Replaced) end(id string) {
	e := r.standing[id]
	delete(r.standing, id)
	if !r.judge.Over(id, r.Name, 16) {
		return
	}
	r.sent = append(r.sent, id)
	if r.rng.Float64() < r.work.Closes && r.openOn(e) == 0 {
		_ = e.CloseHere()
		r.closed(e)
	}
	if r.release(e, id) {
		return
	}
	for _, i := range r.rng.Perm(len(r.links)) {
		if r.release(r.links[i], id) {
			return
		}
	}
}

// release writes the release of a call on the connection of an event, and reports whether it could.
func (r *Replaced) release(on peer.Event, id string) bool {
	if on.ReleaseHere(id, 16) != nil {
		return false
	}
	r.judge.ReleaseSent(id, r.Name, time.Now())
	return true
}

// EndAll ends all calls that stand.
func (r *Replaced) EndAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.standing {
		r.end(id)
	}
}

// CloseOne closes one connection in order on which no set-up is open, if there is one.
func (r *Replaced) CloseOne() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.links)) {
		l := r.links[i]
		if r.openOn(l) == 0 {
			_ = l.CloseHere()
			r.closed(l)
			return
		}
	}
}

func (r *Replaced) openOn(l peer.Event) int {
	n := 0
	for _, o := range r.waiting {
		if o.Beside(l) {
			n++
		}
	}
	return n
}

// Die ends the process: nothing listens, all connections are reset, and all calls are cut.
func (r *Replaced) Die() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	r.dead = true
	now := time.Now()
	r.Dispatcher.Die()
	r.judge.AnswersLost(r.Name, now.Add(-answerOnItsWay), now)
	for id := range r.standing {
		delete(r.standing, id)
		r.judge.Over(id, r.Name, 41)
	}
}
