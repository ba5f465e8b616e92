// Package callers implements the fronts on which callers connect. Fronts differ only in the framing of their messages.
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
	// crossingTime is the age up to which an end may have crossed the close of its connection.
	crossingTime = 200 * time.Millisecond
	// maxUnreadTime is the longest time for which an end stays unread at a caller that has stopped reading. If the connection is
	// reset within this time, the end may have been discarded.
	maxUnreadTime = 8 * time.Second
	// endTimeout is how long the end of a call waits for a caller to connect. After that its caller no longer expects it.
	endTimeout = 30 * time.Second
	// pollInterval is the interval between two checks of the connections.
	pollInterval = 100 * time.Millisecond
	// fastPollInterval is the interval while connections are to be closed as soon as they are not needed any more.
	fastPollInterval = 10 * time.Millisecond
	// newConnGracePeriod is how long a new connection is kept open for the message that its caller has connected for.
	newConnGracePeriod = 100 * time.Millisecond
	// partialMessageTimeout is how long a controller that shuts down waits for the rest of a message.
	partialMessageTimeout = 500 * time.Millisecond
	// maxResumes is the maximum number of calls resumed on one connection: enough for a large gateway, and a limit on guessing.
	maxResumes = 16 << 10
	// maxTimeLeft is more than any caller waits for an answer. A larger time left in a resume request is ignored.
	maxTimeLeft = time.Hour
	// maxInvalidSetUps is the number of invalid set-ups after which a connection is closed: its peer sends nothing else.
	maxInvalidSetUps = 8
)

// Bounds limit the connections of callers, so that they do not use up the descriptors and the memory.
type Bounds struct {
	// MaxConnections is the maximum number of open connections; 0 means no limit.
	MaxConnections int
	// MessageTimeout is how long a message may stay incomplete, and how long a connection to which nothing was sent stays open: callers
	// connect when they have a set-up. It must be well below the 3 s within which the connection of a misbehaving peer has to be
	// closed.
	MessageTimeout time.Duration
	// IdleTimeout is how long a connection without a call stays open. Callers close theirs after 4 s, and connections that stay open
	// longer are not needed. It must be longer than 4 s, so that the close does not cross a set-up.
	IdleTimeout time.Duration
}

// DefaultBounds returns the bounds for a process with this maximum number of descriptors; 0 means no maximum. Callers usually need a
// third of them and get half. The rest is for dispatchers, the list and the program itself.
func DefaultBounds(descriptors int) Bounds {
	return Bounds{MaxConnections: descriptors / 2, MessageTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second}
}

// Reasons for closing a connection that has no open set-up.
var (
	errNoMessage         = errors.New("no message arrived in time")
	errIncompleteMessage = errors.New("incomplete message")
	errInvalidSetUps     = errors.New("too many invalid set-ups")
)

// Core is the part of the call core that fronts use. *call.Core implements it.
type Core interface {
	Offer(call.Request) error
	// Reject answers an invalid set-up.
	Reject(call.Request)
	// RefuseOverLimit refuses a set-up on a connection beyond the limit.
	RefuseOverLimit(call.Request)
	CallerReleased(caller call.Caller, id string, cause int)
	// ResumeCall handles a caller's request to move a call to its connection.
	ResumeCall(call.ResumeRequest) error
	CallerDisconnected(call.Caller)
	CallerProtocolError(call.Caller)
	// PendingOf returns the number of the caller's set-ups without a final answer.
	PendingOf(call.Caller) int
	// EstablishedOf returns the number of the caller's established calls.
	EstablishedOf(call.Caller) int
	Ready() bool
	Phase() call.Phase
	// Superseded reports whether another process now delivers the ends of calls.
	Superseded() bool
	// RelayToSuccessor relays the end of a call to that process, and reports whether it was accepted.
	RelayToSuccessor(id string, end call.End) bool
}

// Format encodes and decodes the messages of one connection.
type Format interface {
	// Next decodes the next message from the buffer; it returns nil if none is complete. It passes its own replies to write.
	Next(in *ring.Buffer, write func([]byte)) (*jsonl.Message, error)
	// Open reports whether messages can be sent.
	Open() bool
	// Frame returns the text of a message with its framing.
	Frame(text []byte) []byte
	// HasErrorField reports whether releases contain the error name of the API as well as the cause.
	HasErrorField() bool
	// ClosingMessage returns the message that is sent before the connection is closed because of err.
	ClosingMessage(err error) []byte
}

// JSONLines is the platform's format: one message per line.
type JSONLines struct{ dec jsonl.Decoder }

// Next decodes a line.
func (l *JSONLines) Next(in *ring.Buffer, _ func([]byte)) (*jsonl.Message, error) {
	return l.dec.Next(in)
}

// Open returns true: there is no handshake.
func (l *JSONLines) Open() bool { return true }

// Frame appends a line feed.
func (l *JSONLines) Frame(text []byte) []byte { return append(text, '\n') }

// ClosingMessage returns nil: the format has no closing message.
func (l *JSONLines) ClosingMessage(error) []byte { return nil }

// HasErrorField returns false: the platform's releases contain only the cause.
func (l *JSONLines) HasErrorField() bool { return false }

// Front is a listener and the connections that it has accepted from callers.
type Front struct {
	core              Core
	loop              *call.Loop
	log               *slog.Logger
	newFormat         func() Format
	bounds            Bounds
	rules             *SetUpRules
	listener          Listener
	conns             []*Conn   // in order of arrival
	openConns         []*Conn   // connections on which messages can be sent
	pendingEnds       []callEnd // ends that wait for an open connection
	endCounts         EndCounts
	descriptorsScarce bool // new connections are refused unless another one can be evicted
}

// New returns a front for a listening socket. It accepts connections once its listener is started.
func New(loop *call.Loop, core Core, log *slog.Logger, tcp *net.TCPListener, format func() Format, bounds Bounds, rules *SetUpRules) *Front {
	f := newFront(loop, core, log, format, bounds, rules)
	f.useListener(conn.NewListener(loop, tcp, bounds.MaxOpen(), func(c *conn.Conn) conn.Handler { return f.accept(c) }))
	return f
}

func newFront(loop *call.Loop, core Core, log *slog.Logger, format func() Format, bounds Bounds, rules *SetUpRules) *Front {
	return &Front{core: core, loop: loop, log: log, newFormat: format, bounds: bounds, rules: rules}
}

// useListener sets the listener and starts the checks of the connections.
func (f *Front) useListener(l Listener) {
	f.listener = l
	f.loop.Post(f.poll)
}

// Listener returns the listener that accepts the front's connections.
func (f *Front) Listener() Listener { return f.listener }

// Address returns the address on which the front listens.
func (f *Front) Address() string { return f.listener.Address() }

// Close closes the listener and all connections.
func (f *Front) Close() error {
	f.dropPending()
	return f.listener.Shutdown()
}

// SetRules replaces the rules for set-ups.
func (f *Front) SetRules(rules *SetUpRules) { f.rules = rules }

func (f *Front) accept(c connection) conn.Handler {
	now := time.Now()
	accepted := &Conn{front: f, conn: c, format: f.newFormat(), lastUsedAt: now, waitingSince: now}
	accepted.number = lastConnNumber.Add(1)
	f.conns = append(f.conns, accepted)
	accepted.markOpen()
	if f.overLimit() {
		f.evict(accepted)
	}
	return accepted
}

// Flush sends the buffered output of all connections.
func (f *Front) Flush() {
	for _, c := range f.openConns {
		c.conn.Flush()
	}
}

// Connections returns the number of connections that hold a descriptor.
func (f *Front) Connections() int { return f.listener.SocketCount() }

// Idle reports whether nothing is left to process or deliver: no end waits for a caller, no connection waits to be accepted, and
// no connection has unread input, an incomplete message, unsent output or an end that may be lost when it closes.
func (f *Front) Idle() bool {
	return len(f.pendingEnds) == 0 && !f.listener.HasBacklog() && !slices.ContainsFunc(f.conns, func(c *Conn) bool {
		return !c.closed && (c.partial && time.Since(c.waitingSince) < partialMessageTimeout || c.conn.Unsent() > 0 || !c.conn.NoPendingInput() ||
			!c.conn.AllInputRead() || c.mayLoseEnd())
	})
}

// NoUnreadInput reports whether the event loop has received, as far as possible, all the input of callers with an open set-up. Other
// connections do not count, since no other caller can cancel a set-up. Of a very large number of connections, few have one.
func (f *Front) NoUnreadInput() bool {
	return !slices.ContainsFunc(f.conns, func(c *Conn) bool { return !c.closed && f.core.PendingOf(c) > 0 && c.conn.HasUnreadInput() })
}

var _ call.Caller = (*Conn)(nil)
