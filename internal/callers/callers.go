// Package callers holds the fronts at which callers' calls come in. They differ only in how messages are framed.
package callers

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"strings"
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
)

// Core is what fronts report to; *call.Core is one.
type Core interface {
	Offer(call.Request)
	GiveUp(id string, cause int)
	CallerClosed(call.Caller)
	CallerBroke(call.Caller)
	Ready() bool
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
	log      *slog.Logger
	format   func() Format
	listener *conn.Listener
	open     []*Conn
	pending  []release // ends for which no connection is open
}

type release struct {
	id  string
	end call.End
	at  time.Time
}

// Listen opens a front at the address.
func Listen(loop *call.Loop, core Core, log *slog.Logger, address string, format func() Format) (*Front, error) {
	f := &Front{core: core, log: log, format: format}
	l, err := conn.Listen(loop, address, f.accept)
	if err != nil {
		return nil, fmt.Errorf("callers: %w", err)
	}
	f.listener = l
	return f, nil
}

// Address is where the front listens.
func (f *Front) Address() string { return f.listener.Address() }

// Close ends the front and its connections.
func (f *Front) Close() error { return f.listener.Close() }

func (f *Front) accept(c *conn.Conn) conn.Handler {
	cc := &Conn{front: f, conn: c, format: f.format()}
	cc.join()
	return cc
}

// join counts the connection among the open ones once it can be written to, and gives it what has waited for one.
func (c *Conn) join() {
	f := c.front
	if c.joined || !c.format.Open() {
		return
	}
	c.joined = true
	f.open = append(f.open, c)
	pending := f.pending
	f.pending = nil
	for _, r := range pending {
		if time.Since(r.at) < keep {
			c.release(r)
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

// release sends the end of a call that stood on the connection that was used last, as no connection owns the call.
func (f *Front) release(r release) {
	if len(f.open) == 0 {
		f.pending = slices.DeleteFunc(f.pending, func(o release) bool { return time.Since(o.at) > keep })
		f.pending = append(f.pending, r)
		return
	}
	latest := slices.MaxFunc(f.open, func(a, b *Conn) int { return a.usedAt.Compare(b.usedAt) })
	latest.release(r)
}

// Conn is a connection from callers.
type Conn struct {
	front  *Front
	conn   *conn.Conn
	format Format
	joined bool
	closed bool
	usedAt time.Time
	sent   []release // lately, of calls that stood
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
		if err != nil {
			// Its set-ups are answered before the connection goes; nobody else is touched.
			c.front.core.CallerBroke(c)
			c.conn.Write(c.format.Bye(err))
			return err
		}
		c.join()
		if m == nil {
			return nil
		}
		if err := c.take(m, at); err != nil {
			c.front.core.CallerBroke(c)
			c.conn.Write(c.format.Bye(err))
			return err
		}
	}
}

func (c *Conn) take(m *jsonl.Message, at time.Time) error {
	switch m.Type {
	case "setup":
		if !validID(m.ID) {
			return fmt.Errorf("set-up with the id %.40q", m.ID)
		}
		c.setUp(m, at)
	case "release":
		c.front.core.GiveUp(m.ID, m.CauseOr(call.CauseNormal))
	case "ping":
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

// validID reports whether id names a call: 16 hex digits.
func validID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// setUp offers a call. One whose fields make no sense is answered as failed; its connection is sound.
func (c *Conn) setUp(m *jsonl.Message, at time.Time) {
	left, err := m.Int("left")
	extras := parseExtras(string(m.Fields["extras"]))
	first := -1
	if dest, ok := extras["dest"]; ok && err == nil {
		first, err = strconv.Atoi(dest)
	}
	if err == nil && strings.ContainsAny(string(m.Fields["key"])+string(m.Fields["class"]), " \r\n\t@<>") {
		err = errors.New("key or class with characters that fit no address")
	}
	if err != nil {
		c.front.log.Warn("set-up with bad fields", "id", m.ID, "err", err)
		c.End(m.ID, call.BadRequest)
		return
	}
	c.front.core.Offer(call.Request{
		ID: m.ID, Class: string(m.Fields["class"]), Called: string(m.Fields["key"]), FirstCell: first,
		Again: m.Fields["retry"] == "1", Description: m.Description(), Caller: c,
		// The caller counts from when it sent the last byte; the nearest to that is when it came in.
		Deadline: at.Add(time.Duration(left) * time.Millisecond),
	})
}

// parseExtras reads "dest:2;width:1".
func parseExtras(text string) map[string]string {
	extras := map[string]string{}
	for part := range strings.SplitSeq(text, ";") {
		if name, value, ok := strings.Cut(part, ":"); ok {
			extras[strings.TrimSpace(name)] = strings.TrimSpace(value)
		}
	}
	return extras
}

func (c *Conn) write(m jsonl.Message) {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		c.front.log.Error("message to a caller", "err", err)
		return
	}
	c.conn.Write(c.format.Frame(text))
}

// Answer tells that the call stands.
func (c *Conn) Answer(id, description string) {
	c.write(jsonl.Message{Type: "answer", ID: id, SDP: &description})
}

// End sends a final answer.
func (c *Conn) End(id string, end call.End) { c.writeRelease(release{id: id, end: end}) }

// Over sends the end of a call that stood, on another connection if this one has closed since.
func (c *Conn) Over(id string, end call.End) {
	r := release{id, end, time.Now()}
	if c.closed {
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
	c.sent = slices.DeleteFunc(c.sent, func(o release) bool { return time.Since(o.at) > recent })
	r.at = time.Now()
	c.sent = append(c.sent, r)
}

// Closed ends the connection's set-ups. Calls that stand are released on other connections.
func (c *Conn) Closed(reason error) {
	c.closed = true
	f := c.front
	f.open = slices.DeleteFunc(f.open, func(o *Conn) bool { return o == c })
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedHere) {
		f.log.Warn("connection from callers closed", "peer", c.conn.Remote(), "reason", reason)
	}
	f.core.CallerClosed(c)
	for _, r := range c.sent {
		if time.Since(r.at) <= recent {
			f.release(r)
		}
	}
	c.sent = nil
}

// Open is the number of connections, for logs and tests.
func (f *Front) Open() int { return len(f.open) }

var _ call.Caller = (*Conn)(nil)
