// Package callers holds the fronts at which callers' calls come in. They differ only in how messages are framed.
package callers

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
)

const (
	// crossingTime is how long a release is kept for the case that it crossed the close of its connection.
	crossingTime = 200 * time.Millisecond
	// maxUnreadTime is how long a release may lie unread with a caller that stands still. A reset within as much may have had it thrown away.
	maxUnreadTime = 8 * time.Second
	// endTimeout is how long a release waits for a caller to connect; later nobody counts on it.
	endTimeout = 30 * time.Second
	// pollInterval is the pace at which connections are looked at.
	pollInterval = 100 * time.Millisecond
	// fastPollInterval is the pace while connections are to be closed as soon as they are owed nothing.
	fastPollInterval = 10 * time.Millisecond
	// newConnGracePeriod is how long a connection is left to bring what its caller connected for.
	newConnGracePeriod = 100 * time.Millisecond
	// partialMessageTimeout is how long the rest of a message is waited for that a controller which ends has had the beginning of.
	partialMessageTimeout = 500 * time.Millisecond
	// maxResumes calls may be resumed on one connection: a large gateway's, and a bound for who guesses.
	maxResumes = 16 << 10
	// maxTimeLeft is more than any caller waits for an answer; beyond that, the time left that a resume names says nothing.
	maxTimeLeft = time.Hour
	// maxInvalidSetUps set-ups that make no sense are answered; who sends more sends nothing else.
	maxInvalidSetUps = 8
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
	errNoMessage         = errors.New("nothing came in time")
	errIncompleteMessage = errors.New("a message that does not end")
	errInvalidSetUps     = errors.New("too many set-ups that make no sense")
)

// Core is what fronts report to; *call.Core is one.
type Core interface {
	Offer(call.Request) error
	// Reject answers a set-up that makes no sense.
	Reject(call.Request)
	// RefuseOverLimit refuses a set-up that there is no room for.
	RefuseOverLimit(call.Request)
	CallerReleased(caller call.Caller, id string, cause int)
	// ResumeCall is a caller's word that a call of another connection is its own.
	ResumeCall(call.ResumeRequest) error
	CallerDisconnected(call.Caller)
	CallerProtocolError(call.Caller)
	// PendingOf is the number of set-ups without an answer that came from the caller.
	PendingOf(call.Caller) int
	// EstablishedOf is the number of its calls that stand.
	EstablishedOf(call.Caller) int
	Ready() bool
	Phase() call.Phase
	// Superseded reports whether another process tells the ends of calls.
	Superseded() bool
	// RelayToSuccessor leaves the end of a call to that process, and reports whether it has taken it.
	RelayToSuccessor(id string, end call.End) bool
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
	core              Core
	loop              *call.Loop
	log               *slog.Logger
	newFormat         func() Format
	bounds            Bounds
	rules             *Terms
	listener          Listener
	conns             []*Conn   // in the order in which they came
	openConns         []*Conn   // those that can be written to
	pendingEnds       []callEnd // ends for which no connection is open
	endCounts         EndCounts
	descriptorsScarce bool // descriptors run short: who comes now is turned away, unless another makes room
}

// New returns a front for a socket that listens. It accepts once its listener is started.
func New(loop *call.Loop, core Core, log *slog.Logger, tcp *net.TCPListener, format func() Format, bounds Bounds, terms *Terms) *Front {
	f := newFront(loop, core, log, format, bounds, terms)
	f.useListener(conn.NewListener(loop, tcp, bounds.Most(), func(c *conn.Conn) conn.Handler { return f.accept(c) }))
	return f
}

func newFront(loop *call.Loop, core Core, log *slog.Logger, format func() Format, bounds Bounds, terms *Terms) *Front {
	return &Front{core: core, loop: loop, log: log, newFormat: format, bounds: bounds, rules: terms}
}

// useListener has the front serve what a listener accepts.
func (f *Front) useListener(l Listener) {
	f.listener = l
	f.loop.Post(f.poll)
}

// Listener is where the front's connections come from.
func (f *Front) Listener() Listener { return f.listener }

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Address() }

// Close ends the front and its connections.
func (f *Front) Close() error {
	f.dropPending()
	return f.listener.Shutdown()
}

// Retune has set-ups keep to other terms from now on.
func (f *Front) Retune(terms *Terms) { f.rules = terms }

func (f *Front) accept(c connection) conn.Handler {
	now := time.Now()
	cc := &Conn{front: f, conn: c, format: f.newFormat(), lastUsedAt: now, waitingSince: now}
	cc.number = lastConnNumber.Add(1)
	f.conns = append(f.conns, cc)
	cc.markOpen()
	if f.overLimit() {
		f.evict(cc)
	}
	return cc
}

// Flush sends what was written since the last time.
func (f *Front) Flush() {
	for _, c := range f.openConns {
		c.conn.Flush()
	}
}

// Connections is the number of connections that hold a descriptor.
func (f *Front) Connections() int { return f.listener.Held() }

// Idle reports whether no end of a call waits for a caller, no connection waits to be accepted, and none has anything unread, half a message,
// words that wait for the socket, or an end that may be lost with it.
func (f *Front) Idle() bool {
	return len(f.pendingEnds) == 0 && !f.listener.Waiting() && !slices.ContainsFunc(f.conns, func(c *Conn) bool {
		return !c.closed && (c.partial && time.Since(c.waitingSince) < partialMessageTimeout || c.conn.Unsent() > 0 || !c.conn.Quiet() || !c.conn.AllTaken() || c.mayLoseEnd())
	})
}

// Heard reports whether all is with the loop, as far as it may be, that was sent by callers with a set-up open: another's word cannot take
// one back. Of very many connections, few have one.
func (f *Front) Heard() bool {
	return !slices.ContainsFunc(f.conns, func(c *Conn) bool { return !c.closed && f.core.PendingOf(c) > 0 && c.conn.Unread() })
}

var _ call.Caller = (*Conn)(nil)
