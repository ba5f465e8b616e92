package trial

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// Dispatcher is a fake dispatcher that reports its events to a checker. Its response to a set-up is a function of the call's id, the
// dispatcher's name and the number of set-ups so far.
type Dispatcher struct {
	*peer.Dispatcher
	Name    string
	checker *CallChecker

	mu            sync.Mutex
	attempts      map[string]peer.Event // set-ups of the attempts in progress, by call id
	releases      map[string]time.Time  // times of releases by call id; they are sent again on new connections
	answersAtOnce bool
	neverAnswers  bool
	failNext      int // number of the next set-ups that fail
}

// StartDispatcher starts a dispatcher on a free port. Its response to each call is pseudo-random until Dispatcher.SetBehavior changes that.
func StartDispatcher(transport, name string, checker *CallChecker) (*Dispatcher, error) {
	return StartDispatcherAt(transport, "127.0.0.1:0", name, checker)
}

// StartDispatcherAt starts a dispatcher at an address.
func StartDispatcherAt(transport, address, name string, checker *CallChecker) (*Dispatcher, error) {
	listener, err := peer.StartDispatcher(transport, address, "x0:1000000;x1:1000000")
	if err != nil {
		return nil, err //nolint:wrapcheck // the error needs no context
	}
	listener.EnableConnEvents()
	d := &Dispatcher{Dispatcher: listener, Name: name, checker: checker, attempts: map[string]peer.Event{}, releases: map[string]time.Time{}}
	go func() {
		for range listener.Acks { // unused, but the channel must not fill up
		}
	}()
	go func() {
		for e := range listener.Events {
			d.handleEvent(e)
		}
	}()
	return d, nil
}

// SetBehavior makes the dispatcher answer every set-up at once, or none at all, or, with neither, respond pseudo-randomly.
func (d *Dispatcher) SetBehavior(answersAtOnce, neverAnswers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answersAtOnce, d.neverAnswers = answersAtOnce, neverAnswers
}

// FailNext makes the given number of following set-ups fail temporarily.
func (d *Dispatcher) FailNext(setUps int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failNext = setUps
}

// AnswerPending answers all attempts in progress of a dispatcher that never answers.
func (d *Dispatcher) AnswerPending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.attempts {
		delete(d.attempts, id)
		d.answerSetUp(e)
	}
}

// answerSetUp answers a set-up and reports whether the answer was sent. It notifies the checker before it sends the answer, as the
// controller's reaction could otherwise reach the checker first.
func (d *Dispatcher) answerSetUp(e peer.Event) bool {
	d.checker.AttemptAnswered(e.ID, d.Name)
	if e.Answer(Description(e.ID)) != nil { // this dispatcher has closed the connection, as it is being killed
		d.checker.AnswerNotSent(e.ID, d.Name, attemptEnd(e, time.Now()))
		return false
	}
	return true
}

// handleEvent reports an event to the checker and reacts to it.
func (d *Dispatcher) handleEvent(e peer.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e.Kind {
	case "setup":
		d.checker.SetUpReceived(e.ID, d.Name, e.At)
		d.attempts[e.ID] = e
		d.respondToSetUp(e)
	case "release":
		if attempt, inProgress := d.attempts[e.ID]; inProgress {
			delete(d.attempts, e.ID)
			d.checker.AttemptAborted(e.ID, d.Name, attemptEnd(attempt, e.At))
		}
		d.checker.ReleasedByController(e.ID, d.Name)
	case "closed": // the attempts on the connection end with it
		for id, attempt := range d.attempts {
			if attempt.SameConn(e) {
				d.checker.AddEvent(id, "connection closed at", d.Name)
				delete(d.attempts, id)
				d.checker.AttemptAborted(id, d.Name, attemptEnd(attempt, e.At))
			}
		}
	case "opened":
		for id, sentAt := range d.releases { // on every new connection, as the controller may be killed before it reads the release
			if time.Since(sentAt) > 10*time.Second {
				delete(d.releases, id)
				continue
			}
			_ = e.ReleaseOnConn(id, d.checker.ReleaseCause(id))
		}
	}
}

// attemptEnd returns when an attempt ended whose end was seen at the given time. If a test has closed the connection before, the attempt
// ended with the close, which the reader of the connection may see later than the controller does.
func attemptEnd(setUp peer.Event, seen time.Time) time.Time {
	if closed := setUp.ConnClosedAt(); !closed.IsZero() && closed.Before(seen) {
		return closed
	}
	return seen
}

// respondToSetUp answers or refuses a set-up, makes it fail or ignores it, after a delay. Outcome and delay depend on the call's id, the
// dispatcher's name and the number of set-ups so far.
func (d *Dispatcher) respondToSetUp(e peer.Event) {
	h := fnv.New64a()
	_, setUps, _ := d.checker.Results()
	fmt.Fprint(h, e.ID, d.Name, setUps%3)
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	delay := time.Duration(rng.IntN(120)) * time.Millisecond
	outcome := rng.IntN(20)
	switch {
	case d.failNext > 0:
		d.failNext--
		delay, outcome = 0, 0
	case d.neverAnswers:
		return
	case d.answersAtOnce:
		delay, outcome = 0, 19
	}
	time.AfterFunc(delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if attempt, inProgress := d.attempts[e.ID]; !inProgress || !attempt.SameConn(e) || attempt.At != e.At {
			return // the attempt ended in the meantime
		}
		delete(d.attempts, e.ID)
		switch {
		case outcome < 2: // a temporary failure
			d.checker.AttemptAborted(e.ID, d.Name, time.Now())
			_ = e.Refuse(peer.TemporaryFailure)
		case outcome < 4:
			d.checker.AttemptRefused(e.ID, d.Name)
			_ = e.Refuse(peer.NoLine)
		default:
			if d.answerSetUp(e) && !d.answersAtOnce {
				time.AfterFunc(time.Duration(rng.IntN(1500))*time.Millisecond, func() { d.EndCall(e.ID) })
			}
		}
	})
}

// EndCall ends an established call. It sends the release on an open connection, and again on each connection that opens in the next 10 s.
func (d *Dispatcher) EndCall(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checker.CallEnded(id, d.Name, 16) {
		_ = d.Release(id, 16)
		d.releases[id] = time.Now()
	}
}

// refusalPause is the pause of a caller after a refusal. A draining controller refuses at once and would otherwise receive thousands of
// set-ups a second.
const refusalPause = 10 * time.Millisecond

// resumeTimeout is how long a caller waits for a message before it tries another connection. The lookup of a call may take a controller
// that long (docs/takeover.md) before it reports the call as unknown.
const resumeTimeout = 5 * time.Second

// answerTimeout is how long a caller waits for the final answer to a set-up.
const answerTimeout = 8 * time.Second

// Token returns the token with which the caller of a call resumes it.
func Token(id string) string { return "a token of " + id }

// Caller is a fake caller. After the loss of a connection it connects to the next of its addresses and resumes its calls.
type Caller struct {
	Transport string
	Addresses []string
	FirstCall int // number of its first call
	Window    int // maximum number of open calls
	Checker   *CallChecker
	Timeout   time.Duration // how long Run waits for open calls once done is closed; 0 for the default of package peer

	Placed, Resumes  int             // numbers of set-ups and of resume requests
	ResumeDelays     []time.Duration // from the loss of a connection to the first message of each call that was pending on it
	connectionLostAt time.Time       // when the connection was lost on which the calls in awaitingMessage were pending
	awaitingMessage  map[string]bool // pending calls without a message since they were resumed
	nextCall         int
	addressIndex     int                  // grows with each connection
	openCalls        map[string]bool      // calls that have not ended, and whether they were answered
	answerDeadlines  map[string]time.Time // deadlines of the answers to the open calls
	stopDeadline     time.Time            // when Run stops waiting for open calls; zero before done is closed
}

// StartAt sets the index of the address that the caller connects to first.
func (c *Caller) StartAt(index int) { c.addressIndex = index }

// Run places calls and follows each to its end, until done is closed and no call is open or the timeout has passed. Calls that are open
// after that are known to the checker.
func (c *Caller) Run(done <-chan struct{}) {
	c.openCalls, c.nextCall, c.awaitingMessage, c.answerDeadlines = map[string]bool{}, c.FirstCall, map[string]bool{}, map[string]time.Time{}
	for {
		connection, err := peer.DialCaller(c.Transport, c.Addresses[c.addressIndex%len(c.Addresses)])
		if err != nil {
			time.Sleep(2 * time.Millisecond)
		} else {
			c.useConnection(connection, done)
			_ = connection.Close()
			for id := range c.openCalls {
				c.Checker.AddEvent(id, "connection ended", connection.RemoteAddr().String())
			}
			if len(c.awaitingMessage) == 0 { // otherwise this connection was lost before all pending calls had a message
				c.connectionLostAt = time.Now()
			}
		}
		c.addressIndex++
		if c.stopping(done) && (len(c.openCalls) == 0 || time.Now().After(c.stopDeadline)) {
			return
		}
	}
}

// stopping reports whether done is closed, so that no more calls are placed. The first time it sets the deadline for the open calls.
func (c *Caller) stopping(done <-chan struct{}) bool {
	select {
	case <-done:
		if c.stopDeadline.IsZero() {
			c.stopDeadline = time.Now().Add(cmp.Or(c.Timeout, peer.Timeout))
		}
		return true
	default:
		return false
	}
}

// useConnection resumes the open calls on a connection and then places calls and reads messages until the connection ends.
func (c *Caller) useConnection(connection *peer.Caller, done <-chan struct{}) {
	for id, answered := range c.openCalls {
		c.Resumes++
		if !answered { // the next message of an established call is its end, which may come at any time
			c.awaitingMessage[id] = true
		}
		fields := map[string]jsonl.Value{"token": jsonl.Value(Token(id))}
		if answered {
			fields["answered"] = "1"
		} else {
			fields["left"] = jsonl.Value(strconv.FormatInt(max(time.Until(c.answerDeadlines[id]), 0).Milliseconds(), 10))
		}
		c.Checker.AddEvent(id, "resumed at", connection.RemoteAddr().String())
		if connection.Send(jsonl.Message{Type: "resume", ID: id, Fields: fields}) != nil {
			return
		}
	}
	for {
		stopping := c.stopping(done)
		if stopping && time.Now().After(c.stopDeadline) {
			return
		}
		for !stopping && len(c.openCalls) < c.Window {
			if !c.placeCall(connection) {
				return
			}
		}
		if len(c.openCalls) == 0 {
			return
		}
		m, err := connection.NextWithin(resumeTimeout)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if stopping {
				return // resume the open calls on another connection
			}
			continue
		}
		if err != nil {
			return
		}
		if _, isOpen := c.openCalls[m.ID]; !isOpen {
			continue // a repeated notification of an end
		}
		if c.awaitingMessage[m.ID] {
			delete(c.awaitingMessage, m.ID)
			c.ResumeDelays = append(c.ResumeDelays, time.Since(c.connectionLostAt))
		}
		text := m.Description()
		if m.Type == "release" {
			text = string(m.Fields["error"])
		}
		if c.Checker.MessageReceived(m.ID, m.Type, text, m.CauseOr(0), time.Now()) {
			c.openCalls[m.ID] = c.openCalls[m.ID] || m.Type == "answer"
		} else {
			if !c.openCalls[m.ID] {
				time.Sleep(refusalPause)
			}
			delete(c.openCalls, m.ID)
			delete(c.answerDeadlines, m.ID)
		}
	}
}

// placeCall sends the set-up of the next call and reports whether that succeeded.
func (c *Caller) placeCall(connection *peer.Caller) bool {
	id := fmt.Sprintf("%016x", c.nextCall)
	c.nextCall++
	c.Placed++
	c.openCalls[id], c.answerDeadlines[id] = false, time.Now().Add(answerTimeout)
	c.Checker.CallPlaced(id, time.Now())
	description := "x"
	return connection.Send(jsonl.Message{Type: "setup", ID: id, SDP: &description, Fields: map[string]jsonl.Value{
		"class": "send-setup", "tenant": "acme", "key": jsonl.Value("k" + id), "left": jsonl.Value(strconv.Itoa(int(answerTimeout.Milliseconds()))),
		"token": jsonl.Value(Token(id))}}) == nil
}
