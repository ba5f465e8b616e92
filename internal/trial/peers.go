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

// Dispatcher is a stand-in whose acts go by the id of the call alone, and that tells a judge what it is told.
type Dispatcher struct {
	*peer.Dispatcher
	Name  string
	judge *Judge

	mu     sync.Mutex
	links  map[string]peer.Event // of attempts that are out, by id
	sent   map[string]time.Time  // releases, to be sent again on the next connection
	quick  bool
	never  bool
	breaks int
}

// Stand opens a dispatcher; its acts are drawn for each call.
func Stand(transport, name string, j *Judge) (*Dispatcher, error) {
	return StandAt(transport, "127.0.0.1:0", name, j)
}

// StandAt opens one at an address.
func StandAt(transport, address, name string, j *Judge) (*Dispatcher, error) {
	d, err := peer.Dispatch(transport, address, "x0:1000000;x1:1000000")
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	d.TellLinks()
	s := &Dispatcher{Dispatcher: d, Name: name, judge: j, links: map[string]peer.Event{}, sent: map[string]time.Time{}}
	go func() {
		for range d.Acks { // nobody waits for them
		}
	}()
	go func() {
		for e := range d.Events {
			s.event(e)
		}
	}()
	return s, nil
}

// Act has it answer everything at once, or nothing at all, or as is drawn.
func (d *Dispatcher) Act(quick, never bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quick, d.never = quick, never
}

// Break has so many set-ups to come break on their way.
func (d *Dispatcher) Break(next int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.breaks = next
}

// AnswerAll answers what a dispatcher that never does has left open.
func (d *Dispatcher) AnswerAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.links {
		delete(d.links, id)
		d.answer(e)
	}
}

// answer answers a set-up, and reports whether the answer has left. The judge is told before it leaves: what its controller does then may come
// first.
func (d *Dispatcher) answer(e peer.Event) bool {
	d.judge.Answered(e.ID, d.Name)
	if e.Answer(Description(e.ID)) != nil { // the connection is closed here: this dispatcher dies
		d.judge.AnswerUnsent(e.ID, d.Name, endOf(e, time.Now()))
		return false
	}
	return true
}

func (d *Dispatcher) event(e peer.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e.Kind {
	case "setup":
		d.judge.SetUp(e.ID, d.Name, e.At)
		d.links[e.ID] = e
		d.act(e)
	case "release":
		if o, out := d.links[e.ID]; out {
			delete(d.links, e.ID)
			d.judge.GivenUp(e.ID, d.Name, endOf(o, e.At))
		}
		d.judge.Cut(e.ID, d.Name)
	case "closed": // the set-ups that are open on it are given up
		for id, o := range d.links {
			if o.Beside(e) {
				d.judge.Note(id, "connection closed at", d.Name)
				delete(d.links, id)
				d.judge.GivenUp(id, d.Name, endOf(o, e.At))
			}
		}
	case "opened":
		for id, at := range d.sent { // on each: the process at the other end may be killed before it has read this
			if time.Since(at) > 10*time.Second {
				delete(d.sent, id)
				continue
			}
			_ = e.ReleaseHere(id, d.judge.Released(id))
		}
	}
}

// endOf is when an attempt ended that this dispatcher has seen to end at a time: with its connection, if a script has closed that before. The
// reader of the connection may see the close later than the controller does.
func endOf(setUp peer.Event, seen time.Time) time.Time {
	if closed := setUp.ClosedHere(); !closed.IsZero() && closed.Before(seen) {
		return closed
	}
	return seen
}

// act has the set-up answered, refused, broken or left, soon or late, by the call's id and how often it was tried.
func (d *Dispatcher) act(e peer.Event) {
	h := fnv.New64a()
	_, setUps, _ := d.judge.Verdict()
	fmt.Fprint(h, e.ID, d.Name, setUps%3)
	draw := rand.New(rand.NewPCG(h.Sum64(), 1))
	delay := time.Duration(draw.IntN(120)) * time.Millisecond
	what := draw.IntN(20)
	switch {
	case d.breaks > 0:
		d.breaks--
		delay, what = 0, 0
	case d.never:
		return
	case d.quick:
		delay, what = 0, 19
	}
	time.AfterFunc(delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if o, out := d.links[e.ID]; !out || !o.Beside(e) || o.At != e.At {
			return // given up meanwhile
		}
		delete(d.links, e.ID)
		switch {
		case what < 2: // the set-up broke on its way
			d.judge.GivenUp(e.ID, d.Name, time.Now())
			_ = e.Refuse(peer.Broken)
		case what < 4:
			d.judge.Refused(e.ID, d.Name)
			_ = e.Refuse(peer.NoLine)
		default:
			if d.answer(e) && !d.quick {
				time.AfterFunc(time.Duration(draw.IntN(1500))*time.Millisecond, func() { d.End(e.ID) })
			}
		}
	})
}

// End ends a call that stands, and says so on whatever connection there is, and on the next one.
func (d *Dispatcher) End(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.judge.Over(id, d.Name, 16) {
		_ = d.Release(id, 16)
		d.sent[id] = time.Now()
	}
}

// refusedPause is a caller's after a refusal: a controller that serves out refuses at once, and would be asked thousands of times a second.
const refusedPause = 10 * time.Millisecond

// resumeWithin is how long a caller waits for a word before it tries another connection: a controller may look for a call that long
// (docs/takeover.md) before it says that nothing is known of it.
const resumeWithin = 5 * time.Second

// left is how long a caller waits for the answer to a set-up.
const left = 8 * time.Second

// Token is that of a call.
func Token(id string) string { return "a token of " + id }

// Caller comes back for its calls, at the same address or at the next of several.
type Caller struct {
	Transport string
	Addresses []string
	First     int // number of the first call
	Window    int // how many may be under way
	Judge     *Judge
	Patience  time.Duration // with what is left once no more are to be placed; 0 for a peer's

	Placed, Resumes int
	Words           []time.Duration // from each loss of a connection to the first word of each call that was owed something
	lost            time.Time       // when the last connection was lost
	unheard         map[string]bool // calls that were resumed and have had no word since
	next            int
	at              int                  // of the addresses
	open            map[string]bool      // its calls that are owed something, and whether they were answered
	until           map[string]time.Time // when each is given up, unless it stands
	stopAt          time.Time            // when it has had patience enough with what is left; zero while more calls are placed
}

// From has the caller begin at one of its addresses.
func (c *Caller) From(address int) { c.at = address }

// Run places calls and sees each to its end, until done is closed and nothing is left, or it has had patience enough: the judge tells
// what is not settled.
func (c *Caller) Run(done <-chan struct{}) {
	c.open, c.next, c.unheard, c.until = map[string]bool{}, c.First, map[string]bool{}, map[string]time.Time{}
	for {
		connection, err := peer.Call(c.Transport, c.Addresses[c.at%len(c.Addresses)])
		if err != nil {
			time.Sleep(2 * time.Millisecond)
		} else {
			c.serve(connection, done)
			_ = connection.Close()
			for id := range c.open {
				c.Judge.Note(id, "connection ended", connection.RemoteAddr().String())
			}
			if len(c.unheard) == 0 { // else it was lost again before all was heard
				c.lost = time.Now()
			}
		}
		c.at++
		if c.finishing(done) && (len(c.open) == 0 || time.Now().After(c.stopAt)) {
			return
		}
	}
}

// finishing reports whether no more calls are to be placed.
func (c *Caller) finishing(done <-chan struct{}) bool {
	select {
	case <-done:
		if c.stopAt.IsZero() {
			c.stopAt = time.Now().Add(cmp.Or(c.Patience, peer.Patience))
		}
		return true
	default:
		return false
	}
}

// serve uses one connection until it ends.
func (c *Caller) serve(connection *peer.Caller, done <-chan struct{}) {
	for id, answered := range c.open {
		c.Resumes++
		if !answered { // one that stands has no word to come but its end
			c.unheard[id] = true
		}
		fields := map[string]jsonl.Value{"token": jsonl.Value(Token(id))}
		if answered {
			fields["answered"] = "1"
		} else {
			fields["left"] = jsonl.Value(strconv.FormatInt(max(time.Until(c.until[id]), 0).Milliseconds(), 10))
		}
		c.Judge.Note(id, "resumed at", connection.RemoteAddr().String())
		if connection.Send(jsonl.Message{Type: "resume", ID: id, Fields: fields}) != nil {
			return
		}
	}
	for {
		finished := c.finishing(done)
		if finished && time.Now().After(c.stopAt) {
			return
		}
		for !finished && len(c.open) < c.Window {
			if !c.place(connection) {
				return
			}
		}
		if len(c.open) == 0 {
			return
		}
		m, err := connection.NextWithin(resumeWithin)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if finished {
				return // try on another connection what is left
			}
			continue
		}
		if err != nil {
			return
		}
		if _, mine := c.open[m.ID]; !mine {
			continue // the end of one that is over, told again
		}
		if c.unheard[m.ID] {
			delete(c.unheard, m.ID)
			c.Words = append(c.Words, time.Since(c.lost))
		}
		text := m.Description()
		if m.Type == "release" {
			text = string(m.Fields["error"])
		}
		if c.Judge.Heard(m.ID, m.Type, text, m.CauseOr(0), time.Now()) {
			c.open[m.ID] = c.open[m.ID] || m.Type == "answer"
		} else {
			if !c.open[m.ID] {
				time.Sleep(refusedPause)
			}
			delete(c.open, m.ID)
			delete(c.until, m.ID)
		}
	}
}

func (c *Caller) place(connection *peer.Caller) bool {
	id := fmt.Sprintf("%016x", c.next)
	c.next++
	c.Placed++
	c.open[id], c.until[id] = false, time.Now().Add(left)
	c.Judge.Placed(id, time.Now())
	x := "x"
	return connection.Send(jsonl.Message{Type: "setup", ID: id, SDP: &x, Fields: map[string]jsonl.Value{
		"class": "send-setup", "tenant": "acme", "key": jsonl.Value("k" + id), "left": jsonl.Value(strconv.Itoa(int(left.Milliseconds()))), "token": jsonl.Value(Token(id))}}) == nil
}
