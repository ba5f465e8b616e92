// Package callers holds the fronts at which callers' calls come in. They differ only in how messages are framed.
package callers

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
)

const (
	// recent is how long a release is kept for the case that it crossed the close of its connection.
	recent = 200 * time.Millisecond
	// keep is how long a release waits for a caller to connect; later nobody counts on it.
	keep = 30 * time.Second
	// lookEvery is the pace at which connections are looked at.
	lookEvery = 100 * time.Millisecond
	// lookSoon is the pace while connections are to be closed as soon as they are owed nothing.
	lookSoon = 10 * time.Millisecond
	// settle is how long a connection is left to bring what its caller connected for.
	settle = 100 * time.Millisecond
	// wholeWithin is how long the rest of a message is waited for that a controller which ends has had the beginning of.
	wholeWithin = 500 * time.Millisecond
	// maxResumed calls may be resumed on one connection: a large gateway's, and a bound for who guesses.
	maxResumed = 16 << 10
	// longest is more than any caller waits for an answer; beyond that, the time left that a resume names says nothing.
	longest = time.Hour
	// maxFaults set-ups that make no sense are answered; who sends more sends nothing else.
	maxFaults = 8
)

// Bounds keep connections from using up the descriptors and the memory.
type Bounds struct {
	// Connections is how many may be open at once; 0 is no bound.
	Connections int
	// Silent is how long a connection may stay inside a message, or be open with nothing to be told: callers connect when
	// they have a set-up. It must leave room before the 3 s in which a peer that misbehaves is owed a close.
	Silent time.Duration
	// Idle is how long one without a call is kept. Callers close theirs after 4 s, and those that stay on are of no use.
	// It must be longer, so as not to cross a set-up.
	Idle time.Duration
}

// Within are the bounds for a process that may hold so many descriptors; 0 is no limit. Callers hold a third by
// themselves and get half: the rest is for dispatchers, the list and the program.
func Within(descriptors int) Bounds {
	return Bounds{Connections: descriptors / 2, Silent: 2 * time.Second, Idle: 5 * time.Second}
}

// Reasons for which a connection is closed that has no set-up open.
var (
	errSilent   = errors.New("nothing came in time")
	errCutShort = errors.New("a message that does not end")
	errFaults   = errors.New("too many set-ups that make no sense")
)

// Core is what fronts report to; *call.Core is one.
type Core interface {
	Offer(call.Request) error
	// Reject answers a set-up that makes no sense.
	Reject(call.Request)
	// TurnAway refuses a set-up that there is no room for.
	TurnAway(call.Request)
	GiveUp(caller call.Caller, id string, cause int)
	// Claim is a caller's word that a call of another connection is its own.
	Claim(call.Claim) error
	CallerClosed(call.Caller)
	CallerBroke(call.Caller)
	// Owes is the number of set-ups without an answer that came from the caller.
	Owes(call.Caller) int
	// StandingOf is the number of its calls that stand.
	StandingOf(call.Caller) int
	Ready() bool
	Phase() call.Phase
	// Superseded reports whether another process tells the ends of calls.
	Superseded() bool
}

// Format is the framing of one connection.
type Format interface {
	// Next takes a message off the ring; it is nil if none is whole yet. What it says itself goes to write.
	Next(in *ring.Buffer, write func([]byte)) (*jsonl.Message, error)
	// Open reports whether messages can be sent.
	Open() bool
	// Frame puts a message in its frame.
	Frame(text []byte) []byte
	// NamesErrors says whether releases name the API's error beside the cause.
	NamesErrors() bool
	// Bye are the last words before the connection is closed for err.
	Bye(err error) []byte
}

// Lines is the platform's framing: a line feed after each message.
type Lines struct{ dec jsonl.Decoder }

// Next reads a line.
func (l *Lines) Next(in *ring.Buffer, _ func([]byte)) (*jsonl.Message, error) { return l.dec.Next(in) }

// Open is always so.
func (l *Lines) Open() bool { return true }

// Frame ends the line.
func (l *Lines) Frame(text []byte) []byte { return append(text, '\n') }

// Bye has no form.
func (l *Lines) Bye(error) []byte { return nil }

// NamesErrors is not the platform's way.
func (l *Lines) NamesErrors() bool { return false }

// Front is one listener and the connections from callers that it took.
type Front struct {
	core     Core
	loop     *call.Loop
	log      *slog.Logger
	format   func() Format
	bounds   Bounds
	terms    *Terms
	listener *conn.Listener
	all      []*Conn   // in the order in which they came
	open     []*Conn   // those that can be written to
	pending  []release // ends for which no connection is open
}

type release struct {
	id  string
	end call.End
	at  time.Time
}

// spare is the part of the connections that may be open for a moment beyond the bound, while idle ones make room.
const spare = 0.25

// Most is how many may be open at once for a moment.
func (b Bounds) Most() int {
	if b.Connections == 0 {
		return 0
	}
	return b.Connections + 1 + int(spare*float64(b.Connections))
}

// New returns a front for a socket that listens. It accepts once its listener is started.
func New(loop *call.Loop, core Core, log *slog.Logger, tcp *net.TCPListener, format func() Format, bounds Bounds, terms *Terms) *Front {
	f := &Front{core: core, loop: loop, log: log, format: format, bounds: bounds, terms: terms}
	f.listener = conn.NewListener(loop, tcp, bounds.Most(), f.accept)
	loop.Post(f.look)
	return f
}

// Listener is where the front's connections come from.
func (f *Front) Listener() *conn.Listener { return f.listener }

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Address() }

// Close ends the front and its connections.
func (f *Front) Close() error { return f.listener.Shutdown() }

// Retune has set-ups keep to other terms from now on.
func (f *Front) Retune(terms *Terms) { f.terms = terms }

// Limit sets how many connections may be open at once.
func (f *Front) Limit(connections int) {
	f.bounds.Connections = connections
	f.listener.Limit(f.bounds.Most())
}

// Accept bounds the connections that are open at once further, as descriptors are scarce: what comes beyond is closed as it is accepted.
func (f *Front) Accept(most int) {
	if bound := f.bounds.Most(); bound == 0 || most < bound {
		f.listener.Limit(most)
	} else {
		f.listener.Limit(bound)
	}
}

// Squeeze closes one connection that is of no use at the moment, as more may come than there are descriptors for.
func (f *Front) Squeeze() { f.makeRoom(nil) }

func (f *Front) accept(c *conn.Conn) conn.Handler {
	now := time.Now()
	cc := &Conn{front: f, conn: c, format: f.format(), usedAt: now, since: now}
	f.all = append(f.all, cc)
	cc.join()
	if f.bounds.Connections > 0 && len(f.all) > f.bounds.Connections {
		f.makeRoom(cc)
	}
	return cc
}

// worth says what a connection without an open set-up is worth keeping for: least if nothing was ever asked on it, most if
// a call of it stands, as its caller keeps it then.
func (f *Front) worth(c *Conn) int {
	switch {
	case f.core.StandingOf(c) > 0:
		return 2
	case c.asked || c.tested:
		return 1
	}
	return 0
}

// makeRoom closes the connection that is missed least, and the oldest of these. If each is needed, the newest stays, within Most, until
// its set-up has been refused.
func (f *Front) makeRoom(newest *Conn) {
	var least *Conn
	for _, c := range f.all {
		if c.closed || c == newest || c.overflow || f.core.Owes(c) > 0 {
			continue
		}
		better := -1
		if least != nil {
			better = cmp.Or(cmp.Compare(f.worth(c), f.worth(least)), c.usedAt.Compare(least.usedAt))
		}
		if better < 0 && c.conn.Quiet() {
			least = c
		}
	}
	switch {
	case least != nil:
		least.shut(conn.ErrClosedHere)
	case newest != nil:
		newest.overflow = true
	}
}

// look closes connections that are of no use. Those with a call are left alone, unless they stopped inside a message; a
// controller that withdraws keeps only those with a call: the end of one that stands must be told within a second, and
// unless there is a successor, nobody else may be there to hear it.
func (f *Front) look() {
	now := time.Now()
	closing := f.core.Phase() >= call.Closing
	pace, silent := lookEvery, f.bounds.Silent
	if closing {
		pace, silent = lookSoon, silent/2
	}
	for _, c := range slices.Clone(f.all) {
		switch {
		case c.closed:
		case c.partial && now.Sub(c.since) > silent:
			c.fail(errCutShort)
		case closing && f.core.Owes(c) == 0 && (f.core.StandingOf(c) == 0 || f.core.Superseded()) && now.Sub(c.since) > settle &&
			!slices.ContainsFunc(c.sent, c.unheard) && c.conn.Quiet():
			c.shut(conn.ErrClosedHere)
		case f.core.Owes(c) > 0 || f.core.StandingOf(c) > 0 || !c.conn.Quiet():
		case !c.said && now.Sub(c.since) > f.bounds.Silent:
			c.shut(errSilent)
		case now.Sub(c.usedAt) > f.bounds.Idle:
			c.shut(conn.ErrClosedHere)
		}
	}
	f.deliver()
	f.loop.After(pace, f.look)
}

// join counts the connection among the open ones once it can be written to, and gives it what has waited for one.
func (c *Conn) join() {
	f := c.front
	if c.joined || !c.format.Open() {
		return
	}
	c.joined = true
	f.open = append(f.open, c)
}

// hears reports whether the connection can be told the end of a call that came on another. One on which a test came is
// for tests: who made it takes the next message for its result. One that has said nothing yet may be about to.
func (c *Conn) hears() bool {
	return c.asked || !c.tested && time.Since(c.since) > settle
}

// deliver passes on the ends that have waited for a connection.
func (f *Front) deliver() {
	if len(f.pending) == 0 || !slices.ContainsFunc(f.open, (*Conn).hears) {
		return
	}
	pending := f.pending
	f.pending = nil
	for _, r := range pending {
		if time.Since(r.at) < keep {
			f.release(r)
		}
	}
}

// Flush sends what was written since the last time.
func (f *Front) Flush() {
	for _, c := range f.open {
		c.conn.Flush()
	}
}

// Release passes on the end of a call that no connection is known for.
func (f *Front) Release(id string, end call.End) { f.release(release{id, end, time.Now()}) }

// release sends the end of a call that stood on another connection, as no connection owns the call: one on which a call
// stood rather than one that only asked, since that may be anybody's, and of these the one that was used last.
func (f *Front) release(r release) {
	hears := slices.DeleteFunc(slices.Clone(f.open), func(c *Conn) bool { return !c.hears() })
	slices.SortStableFunc(hears, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), b.usedAt.Compare(a.usedAt))
	})
	for _, c := range hears {
		if !c.gone() {
			c.release(r)
			return
		}
	}
	f.pending = slices.DeleteFunc(f.pending, func(o release) bool { return time.Since(o.at) > keep })
	f.pending = append(f.pending, r)
}

// rank says how much a connection is to be counted on.
func (c *Conn) rank() int {
	switch {
	case c.stood:
		return 2
	case c.asked:
		return 1
	}
	return 0
}

// Conn is a connection from callers.
type Conn struct {
	front   *Front
	conn    *conn.Conn
	format  Format
	joined  bool
	closed  bool
	asked   bool // a set-up has come
	tested  bool // a test has
	said    bool // it has been told something
	stood   bool // a call of it did
	faults  int  // set-ups that made no sense
	resumed int  // calls it came back for
	partial bool // what came last is no whole message yet
	// overflow marks a connection beyond the bound, when none could make room for it.
	overflow bool
	since    time.Time // when it connected or, if later, the message that is not whole began
	usedAt   time.Time
	sent     []release // lately, of calls that stood
}

// Data takes in what callers have sent.
func (c *Conn) Data(in *ring.Buffer, at time.Time) error {
	if c.closed {
		in.Discard(in.Len())
		return nil
	}
	c.usedAt = at
	for {
		m, err := c.format.Next(in, c.conn.Write)
		if errors.Is(err, io.EOF) {
			return conn.ErrClosedHere // closed in good order; what was open is given up
		}
		if err == nil && m != nil {
			c.partial = false
			err = c.take(m, at)
		}
		if err != nil {
			c.lastWords(err)
			return err
		}
		c.join()
		if m == nil {
			if partial := in.Len() > 0; partial != c.partial {
				c.partial, c.since = partial, at
			}
			return nil
		}
	}
}

// lastWords answers the set-ups of a connection that goes for a fault of its peer; nobody else is touched.
func (c *Conn) lastWords(err error) {
	c.front.core.CallerBroke(c)
	c.conn.Write(c.format.Bye(err))
}

// fail closes the connection for a fault that shows while nothing comes.
func (c *Conn) fail(err error) {
	c.lastWords(err)
	c.conn.Close(err)
}

// shut closes a connection that has no set-up open. It counts as closed at once, so that no release is written to it.
func (c *Conn) shut(reason error) {
	c.conn.Write(c.format.Bye(nil))
	c.conn.Close(reason)
	c.Closed(reason)
}

func (c *Conn) take(m *jsonl.Message, at time.Time) error {
	switch m.Type {
	case "setup":
		c.asked = true
		c.front.deliver()
		if !call.ValidID(m.ID) {
			return fmt.Errorf("set-up with the id %.40q", m.ID)
		}
		return c.setUp(m, at)
	case "release":
		c.front.core.GiveUp(c, m.ID, m.CauseOr(call.CauseNormal))
	case "resume":
		if !c.resumable() {
			c.front.log.Debug("resume where that is off", "id", m.ID)
			return nil
		}
		c.asked = true
		if !call.ValidID(m.ID) {
			return fmt.Errorf("resume of the id %.40q", m.ID)
		}
		if c.resumed++; c.resumed > maxResumed {
			return call.ErrTooManyClaims
		}
		claim := call.Claim{Caller: c, ID: m.ID, Token: string(m.Fields["token"]), Answered: m.Fields["answered"] == "1"}
		if left, err := m.Int("left"); err == nil && left >= 0 && left <= longest.Milliseconds() {
			claim.By = at.Add(time.Duration(left) * time.Millisecond)
		}
		return c.front.core.Claim(claim)
	case "ping":
		if !c.tested && !c.asked {
			c.passOn()
		}
		c.tested = true
		passed := 0
		if c.front.core.Ready() {
			passed = 1
		}
		c.write(jsonl.Message{Type: "pong", ID: m.ID, Cause: &passed})
	case "released", "progress", "pong", "state":
	default:
		c.front.log.Debug("message of an unknown type", "type", m.Type)
	}
	return nil
}

// resumable reports whether calls can be resumed here: over the API, and over JSON lines where the operator has it so.
func (c *Conn) resumable() bool { return c.format.NamesErrors() || c.front.terms.lines }

// setUp offers a call. One whose fields make no sense is answered as failed; its connection is sound, unless it brings
// nothing else.
func (c *Conn) setUp(m *jsonl.Message, at time.Time) error {
	r, err := c.front.terms.request(m, at, c.resumable())
	if err != nil {
		c.front.log.Warn("set-up with bad fields", "id", m.ID, "err", err)
		c.front.core.Reject(call.Request{ID: m.ID, Class: string(m.Fields["class"]), Caller: c})
		if c.faults++; c.faults >= maxFaults {
			return errFaults
		}
		return nil
	}
	r.Caller = c
	if c.overflow && len(c.front.all) > c.front.bounds.Connections {
		c.front.core.TurnAway(r)
		return conn.ErrClosedHere
	}
	c.overflow = false
	return c.front.core.Offer(r)
}

func (c *Conn) write(m jsonl.Message) {
	if err := c.tryWrite(m); err != nil {
		c.front.log.Error("message to a caller", "err", err)
	}
}

func (c *Conn) tryWrite(m jsonl.Message) error {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	if len(text) >= jsonl.MaxMessage {
		return jsonl.ErrTooLong
	}
	c.said, c.usedAt = true, time.Now()
	c.conn.Write(c.format.Frame(text))
	return nil
}

// Answer tells that the call stands.
func (c *Conn) Answer(id, description string) error {
	if err := c.tryWrite(jsonl.Message{Type: "answer", ID: id, SDP: &description}); err != nil {
		return err
	}
	c.stood = true
	return nil
}

// End sends a final answer.
func (c *Conn) End(id string, end call.End) { c.writeRelease(release{id: id, end: end}) }

// Over sends the end of a call that stood, on another connection if this one has closed since.
func (c *Conn) Over(id string, end call.End) {
	r := release{id, end, time.Now()}
	if c.gone() {
		c.front.release(r)
		return
	}
	c.release(r)
}

func (c *Conn) writeRelease(r release) {
	m := jsonl.Message{Type: "release", ID: r.id, Cause: &r.end.Cause, Fields: map[string]jsonl.Value{}}
	if r.end.HoldOff > 0 {
		m.Fields["wait"] = jsonl.Value(strconv.FormatInt(r.end.HoldOff.Milliseconds(), 10))
	}
	if c.format.NamesErrors() {
		m.Fields["error"] = jsonl.Value(r.end.Reason)
	}
	c.write(m)
}

// release sends the end of a call that stood and keeps it for a moment: callers close connections without calls, and
// one that crosses such a close is lost.
func (c *Conn) release(r release) {
	c.writeRelease(r)
	c.sent = slices.DeleteFunc(c.sent, func(o release) bool { return !c.unheard(o) })
	r.at = time.Now()
	c.sent = append(c.sent, r)
}

// passOn has others told what this connection was while it said nothing: it is for tests, and who made it has taken an end for the
// result of one.
func (c *Conn) passOn() {
	sent := c.sent
	c.sent, c.tested = nil, true
	for _, r := range sent {
		c.front.release(r)
	}
}

// unheard reports whether a release that was sent may not have been read: it is recent, or nobody ever spoke here.
func (c *Conn) unheard(r release) bool {
	age := time.Since(r.at)
	return age <= recent || !c.asked && !c.tested && age <= keep
}

// Closed ends the connection's set-ups. Calls that stand are released on other connections.
func (c *Conn) Closed(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	f := c.front
	f.all = slices.DeleteFunc(f.all, func(o *Conn) bool { return o == c })
	f.open = slices.DeleteFunc(f.open, func(o *Conn) bool { return o == c })
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedHere) {
		f.log.Warn("connection from callers closed", "peer", c.conn.Remote(), "reason", reason)
	}
	f.core.CallerClosed(c)
	for _, r := range c.sent {
		if c.unheard(r) {
			f.release(r)
		}
	}
	c.sent = nil
}

// Left reports whether the caller has gone. What it has said last is taken in before.
func (c *Conn) Left() bool {
	if !c.closed {
		c.conn.Hear()
	}
	return c.gone()
}

// gone reports whether the caller has closed its side.
func (c *Conn) gone() bool { return c.closed || c.conn.Left() }

// Open is the number of connections.
func (f *Front) Open() int { return len(f.all) }

// Quiet reports whether no connection has anything unread, half a message, or words that wait for the socket.
func (f *Front) Quiet() bool {
	return !slices.ContainsFunc(f.all, func(c *Conn) bool {
		return !c.closed && (c.partial && time.Since(c.since) < wholeWithin || c.conn.Unsent() > 0 || !c.conn.Quiet())
	})
}

// Heard reports whether all is with the loop, as far as it may be, that was sent by callers with a set-up open: another's word cannot take
// one back. Of very many connections, few have one.
func (f *Front) Heard() bool {
	return !slices.ContainsFunc(f.all, func(c *Conn) bool { return !c.closed && f.core.Owes(c) > 0 && c.conn.Unread() })
}

var _ call.Caller = (*Conn)(nil)
