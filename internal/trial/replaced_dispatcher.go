package trial

import (
	"math/rand/v2"
	"sync"
	"time"

	"cherryrelay/internal/peer"
)

// Workload configures how a dispatcher treats its calls. Shares are from 0 to 1.
type Workload struct {
	Lines           int           // maximum number of pending and established calls; further set-ups are refused
	MaxAnswerDelay  time.Duration // maximum delay of an answer
	MaxCallDuration time.Duration // maximum time that a call is established
	FailedShare     float64       // share of set-ups that fail temporarily
	UnansweredShare float64       // share of set-ups that are never answered
	BriefShare      float64       // share of calls that end shortly after their answer, possibly before it has arrived
	CloseShare      float64       // share of calls whose end first closes the connection of the set-up, unless an attempt is in progress on it
	Seed            uint64
}

// ReplaceableDispatcher is a fake dispatcher that is replaced while it has calls. It may have few lines, answer slowly and close connections. It can
// drain, which refuses connections while its calls continue, and its process can end, which resets its connections and ends its calls.
type ReplaceableDispatcher struct {
	*peer.Dispatcher
	Name     string
	checker  *CallChecker
	workload Workload

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

// StartReplaceableDispatcher starts a dispatcher, which sends the report first on every new connection.
func StartReplaceableDispatcher(transport, name, report string, checker *CallChecker, workload Workload) (*ReplaceableDispatcher, error) {
	listener, err := peer.StartDispatcher(transport, "127.0.0.1:0", report)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	listener.EnableConnEvents()
	r := &ReplaceableDispatcher{Dispatcher: listener, Name: name, checker: checker, workload: workload, rng: rand.New(rand.NewPCG(workload.Seed, 0x7265706c)),
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

// FreeLines returns the number of free lines.
func (r *ReplaceableDispatcher) FreeLines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.workload.Lines-len(r.pending)-len(r.established), 0)
}

// SetMaxAnswerDelay sets the maximum delay of answers from now on.
func (r *ReplaceableDispatcher) SetMaxAnswerDelay(maxDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload.MaxAnswerDelay = maxDelay
}

// handleEvent reports an event to the checker and reacts to it.
func (r *ReplaceableDispatcher) handleEvent(e peer.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Kind {
	case "setup":
		r.checker.SetUpReceived(e.ID, r.Name, e.At)
		r.handleSetUp(e)
	case "release":
		if setUp, isPending := r.pending[e.ID]; isPending {
			delete(r.pending, e.ID)
			r.checker.AttemptAborted(e.ID, r.Name, attemptEnd(setUp, e.At))
		}
		delete(r.established, e.ID)
		r.checker.ReleasedByController(e.ID, r.Name)
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
func (r *ReplaceableDispatcher) handleClosed(e peer.Event) {
	var open []peer.Event
	for _, conn := range r.conns {
		if !conn.SameConn(e) {
			open = append(open, conn)
		}
	}
	r.conns = open
	for id, setUp := range r.pending {
		if setUp.SameConn(e) {
			r.checker.AddEvent(id, "connection closed at", r.Name)
			delete(r.pending, id)
			r.checker.AttemptAborted(id, r.Name, attemptEnd(setUp, e.At))
		}
	}
}

// handleSetUp refuses a set-up, lets it fail, answers it or ignores it.
func (r *ReplaceableDispatcher) handleSetUp(e peer.Event) {
	if len(r.pending)+len(r.established) >= r.workload.Lines {
		r.checker.AttemptRefused(e.ID, r.Name)
		_ = e.Refuse(peer.NoLine)
		return
	}
	r.pending[e.ID] = e
	outcome := r.rng.Float64()
	if outcome < r.workload.UnansweredShare {
		return
	}
	fails := outcome < r.workload.UnansweredShare+r.workload.FailedShare
	delay := time.Duration(r.rng.Int64N(int64(r.workload.MaxAnswerDelay)))
	duration := time.Duration(r.rng.Int64N(int64(r.workload.MaxCallDuration)))
	if r.rng.Float64() < r.workload.BriefShare {
		duration %= maxBriefDuration
	}
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if setUp, isPending := r.pending[e.ID]; !isPending || !setUp.SameConn(e) || setUp.At != e.At {
			return // the attempt ended in the meantime
		}
		delete(r.pending, e.ID)
		if fails {
			r.checker.AttemptAborted(e.ID, r.Name, time.Now())
			_ = e.Refuse(peer.TemporaryFailure)
			return
		}
		r.answerSetUp(e, duration)
	})
}

// answerSetUp answers a set-up and ends the call after the given duration.
func (r *ReplaceableDispatcher) answerSetUp(e peer.Event, duration time.Duration) {
	r.checker.AttemptAnswered(e.ID, r.Name)
	if e.Answer(Description(e.ID)) != nil {
		r.checker.AnswerNotSent(e.ID, r.Name, attemptEnd(e, time.Now()))
		return
	}
	r.established[e.ID] = e
	time.AfterFunc(duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if setUp, isEstablished := r.established[e.ID]; isEstablished && setUp.SameConn(e) && setUp.At == e.At {
			r.endCall(e.ID)
		}
	})
}

// endCall ends an established call. It sends the release on the connection of the set-up, or else on any open one, and again on the next
// connection that opens.
func (r *ReplaceableDispatcher) endCall(id string) {
	e := r.established[id]
	delete(r.established, id)
	if !r.checker.CallEnded(id, r.Name, 16) {
		return
	}
	r.releasesToRepeat = append(r.releasesToRepeat, id)
	if r.rng.Float64() < r.workload.CloseShare && r.pendingOn(e) == 0 {
		_ = e.CloseConn()
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
func (r *ReplaceableDispatcher) sendRelease(conn peer.Event, id string) bool {
	if conn.ReleaseOnConn(id, 16) != nil {
		return false
	}
	r.checker.ReleaseSent(id, r.Name, time.Now())
	return true
}

// EndAll ends all established calls.
func (r *ReplaceableDispatcher) EndAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.established {
		r.endCall(id)
	}
}

// CloseIdleConn closes a random connection without an attempt in progress, if there is one.
func (r *ReplaceableDispatcher) CloseIdleConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.conns)) {
		conn := r.conns[i]
		if r.pendingOn(conn) == 0 {
			_ = conn.CloseConn()
			r.handleClosed(conn)
			return
		}
	}
}

// pendingOn returns the number of attempts in progress on the connection of an event.
func (r *ReplaceableDispatcher) pendingOn(conn peer.Event) int {
	n := 0
	for _, setUp := range r.pending {
		if setUp.SameConn(conn) {
			n++
		}
	}
	return n
}

// Kill ends the dispatcher like the end of its process: it stops listening, resets all connections and ends all calls.
func (r *ReplaceableDispatcher) Kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	r.dead = true
	now := time.Now()
	r.Dispatcher.Kill()
	r.checker.AnswersLost(r.Name, now.Add(-answerTransitTime), now)
	for id := range r.established {
		delete(r.established, id)
		r.checker.CallEnded(id, r.Name, 41)
	}
}
