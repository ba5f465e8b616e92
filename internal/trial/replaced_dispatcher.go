package trial

import (
	"math/rand/v2"
	"sync"
	"time"

	"cherryrelay/internal/peer"
)

// Work configures how a dispatcher treats its calls. Shares are from 0 to 1.
type Work struct {
	Lines      int           // maximum number of pending and established calls; further set-ups are refused
	Answers    time.Duration // maximum delay of an answer
	Holds      time.Duration // maximum time that a call is established
	Broken     float64       // share of set-ups that fail temporarily
	Unanswered float64       // share of set-ups that are never answered
	Brief      float64       // share of calls that end shortly after their answer, possibly before it has arrived
	Closes     float64       // share of calls whose end first closes the connection of the set-up, unless an attempt is in progress on it
	Seed       uint64
}

// Replaced is a fake dispatcher that is replaced while it has calls. It may have few lines, answer slowly and close connections. It can
// drain, which refuses connections while its calls continue, and its process can end, which resets its connections and ends its calls.
type Replaced struct {
	*peer.Dispatcher
	Name     string
	checker  *Judge
	workload Work

	mu               sync.Mutex
	rng              *rand.Rand
	conns            []peer.Event          // one event of each open connection
	pending          map[string]peer.Event // set-ups without an answer, by call id
	established      map[string]peer.Event // set-ups of the established calls, by call id
	releasesToRepeat []string              // calls released since the last connection opened; their releases are repeated on the next one
	dead             bool
}

// maxBriefDuration is the maximum time that a call is established which ends shortly after its answer.
const maxBriefDuration = 30 * time.Millisecond

// answerTransitTime is how long before a reset an answer may have been sent that the reset still loses.
const answerTransitTime = 100 * time.Millisecond

// StandToBeReplaced starts a dispatcher, which sends the report first on every new connection.
func StandToBeReplaced(transport, name, report string, checker *Judge, workload Work) (*Replaced, error) {
	listener, err := peer.Dispatch(transport, "127.0.0.1:0", report)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	listener.TellLinks()
	r := &Replaced{Dispatcher: listener, Name: name, checker: checker, workload: workload, rng: rand.New(rand.NewPCG(workload.Seed, 0x7265706c)),
		pending: map[string]peer.Event{}, established: map[string]peer.Event{}}
	go func() {
		for range listener.Acks { // unused, but the channel must not fill up
		}
	}()
	go func() {
		for e := range listener.Events {
			r.handleEvent(e)
		}
	}()
	return r, nil
}

// Free returns the number of free lines.
func (r *Replaced) Free() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.workload.Lines-len(r.pending)-len(r.established), 0)
}

// Answer sets the maximum delay of answers from now on.
func (r *Replaced) Answer(maxDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload.Answers = maxDelay
}

// handleEvent reports an event to the checker and reacts to it.
func (r *Replaced) handleEvent(e peer.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Kind {
	case "setup":
		r.checker.SetUp(e.ID, r.Name, e.At)
		r.handleSetUp(e)
	case "release":
		if setUp, isPending := r.pending[e.ID]; isPending {
			delete(r.pending, e.ID)
			r.checker.GivenUp(e.ID, r.Name, attemptEnd(setUp, e.At))
		}
		delete(r.established, e.ID)
		r.checker.Cut(e.ID, r.Name)
	case "opened":
		r.conns = append(r.conns, e)
		for _, id := range r.releasesToRepeat {
			r.sendRelease(e, id)
		}
		r.releasesToRepeat = nil
	case "closed":
		r.handleClosed(e)
	}
}

// handleClosed removes a connection that has closed. The attempts on it end.
func (r *Replaced) handleClosed(e peer.Event) {
	var open []peer.Event
	for _, conn := range r.conns {
		if !conn.Beside(e) {
			open = append(open, conn)
		}
	}
	r.conns = open
	for id, setUp := range r.pending {
		if setUp.Beside(e) {
			r.checker.Note(id, "connection closed at", r.Name)
			delete(r.pending, id)
			r.checker.GivenUp(id, r.Name, attemptEnd(setUp, e.At))
		}
	}
}

// handleSetUp refuses a set-up, lets it fail, answers it or ignores it.
func (r *Replaced) handleSetUp(e peer.Event) {
	if len(r.pending)+len(r.established) >= r.workload.Lines {
		r.checker.Refused(e.ID, r.Name)
		_ = e.Refuse(peer.NoLine)
		return
	}
	r.pending[e.ID] = e
	outcome := r.rng.Float64()
	if outcome < r.workload.Unanswered {
		return
	}
	fails := outcome < r.workload.Unanswered+r.workload.Broken
	delay := time.Duration(r.rng.Int64N(int64(r.workload.Answers)))
	duration := time.Duration(r.rng.Int64N(int64(r.workload.Holds)))
	if r.rng.Float64() < r.workload.Brief {
		duration %= maxBriefDuration
	}
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if setUp, isPending := r.pending[e.ID]; !isPending || !setUp.Beside(e) || setUp.At != e.At {
			return // the attempt ended in the meantime
		}
		delete(r.pending, e.ID)
		if fails {
			r.checker.GivenUp(e.ID, r.Name, time.Now())
			_ = e.Refuse(peer.Broken)
			return
		}
		r.answerSetUp(e, duration)
	})
}

// answerSetUp answers a set-up and ends the call after the given duration.
func (r *Replaced) answerSetUp(e peer.Event, duration time.Duration) {
	r.checker.Answered(e.ID, r.Name)
	if e.Answer(Description(e.ID)) != nil {
		r.checker.AnswerUnsent(e.ID, r.Name, attemptEnd(e, time.Now()))
		return
	}
	r.established[e.ID] = e
	time.AfterFunc(duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if setUp, isEstablished := r.established[e.ID]; isEstablished && setUp.Beside(e) && setUp.At == e.At {
			r.endCall(e.ID)
		}
	})
}

// endCall ends an established call. It sends the release on the connection of the set-up, or else on any open one, and again on the next
// connection that opens.
func (r *Replaced) endCall(id string) {
	e := r.established[id]
	delete(r.established, id)
	if !r.checker.Over(id, r.Name, 16) {
		return
	}
	r.releasesToRepeat = append(r.releasesToRepeat, id)
	if r.rng.Float64() < r.workload.Closes && r.pendingOn(e) == 0 {
		_ = e.CloseHere()
		r.handleClosed(e)
	}
	if r.sendRelease(e, id) {
		return
	}
	for _, i := range r.rng.Perm(len(r.conns)) {
		if r.sendRelease(r.conns[i], id) {
			return
		}
	}
}

// sendRelease sends the release of a call on the connection of an event and reports whether that succeeded.
func (r *Replaced) sendRelease(conn peer.Event, id string) bool {
	if conn.ReleaseHere(id, 16) != nil {
		return false
	}
	r.checker.ReleaseSent(id, r.Name, time.Now())
	return true
}

// EndAll ends all established calls.
func (r *Replaced) EndAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.established {
		r.endCall(id)
	}
}

// CloseOne closes a random connection without an attempt in progress, if there is one.
func (r *Replaced) CloseOne() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.conns)) {
		conn := r.conns[i]
		if r.pendingOn(conn) == 0 {
			_ = conn.CloseHere()
			r.handleClosed(conn)
			return
		}
	}
}

// pendingOn returns the number of attempts in progress on the connection of an event.
func (r *Replaced) pendingOn(conn peer.Event) int {
	n := 0
	for _, setUp := range r.pending {
		if setUp.Beside(conn) {
			n++
		}
	}
	return n
}

// Die ends the dispatcher like the end of its process: it stops listening, resets all connections and ends all calls.
func (r *Replaced) Die() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	r.dead = true
	now := time.Now()
	r.Dispatcher.Die()
	r.checker.AnswersLost(r.Name, now.Add(-answerTransitTime), now)
	for id := range r.established {
		delete(r.established, id)
		r.checker.Over(id, r.Name, 41)
	}
}
