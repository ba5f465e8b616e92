package callers

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
)

// Conn is a connection from callers.
type Conn struct {
	front   *Front
	number  uint64
	conn    connection
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
	overflow   bool
	turnedAway bool      // a set-up has been refused for that
	since      time.Time // when it connected or, if later, the message that is not whole began
	usedAt     time.Time
	awaited    time.Time // until when a caller may wait here for a final answer
	sent       []*told   // lately, of calls that stood
	reset      bool      // it has ended by a reset, or may have
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
			if err = c.take(m, at); err != nil {
				c.rejectRest(in)
			}
		}
		if err != nil {
			c.lastWords(err)
			return err
		}
		c.join()
		if m == nil {
			if c.mayLeave(in) {
				c.lastWords(conn.ErrClosedHere)
				return conn.ErrClosedHere
			}
			if partial := in.Len() > 0; partial != c.partial {
				c.partial, c.since = partial, at
			}
			return nil
		}
	}
}

// lastWords answers the set-ups of a connection that goes for a fault of its peer; nobody else is touched.
func (c *Conn) lastWords(err error) {
	c.front.core.CallerProtocolError(c)
	c.conn.Write(c.format.Bye(err))
}

// fail closes the connection for a fault that shows while nothing comes.
func (c *Conn) fail(err error) {
	c.lastWords(err)
	c.conn.Close(err)
}

// shut closes a connection that has no set-up open. It counts as closed at once, so that no release is written to it.
func (c *Conn) shut(reason error) {
	c.reset = c.conn.Left() // whether by a reset is not known yet
	c.conn.Write(c.format.Bye(nil))
	c.conn.Close(reason)
	c.Closed(reason)
}

// Broken has the set-ups of a connection answered that is about to be closed for a fault in its stream.
func (c *Conn) Broken(reason error) {
	if !c.closed {
		c.lastWords(reason)
	}
}

// rejectRest answers the set-ups that have come behind a message that ends the connection.
func (c *Conn) rejectRest(in *ring.Buffer) {
	for {
		m, err := c.format.Next(in, func([]byte) {})
		if err != nil || m == nil {
			return
		}
		if m.Type == "setup" && call.ValidID(m.ID) {
			c.front.core.Reject(call.Request{ID: m.ID, Class: string(m.Fields["class"]), Caller: c})
		}
	}
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
		c.front.core.CallerReleased(c, m.ID, m.CauseOr(call.CauseNormal))
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
			return call.ErrTooManyResumes
		}
		claim := call.ResumeRequest{Caller: c, ID: m.ID, Token: string(m.Fields["token"]), Answered: m.Fields["answered"] == "1"}
		awaited := at.Add(c.front.terms.longestDeadline())
		if left, err := m.Int("left"); err == nil && left >= 0 && left <= longest.Milliseconds() {
			claim.Deadline = at.Add(time.Duration(left) * time.Millisecond)
			awaited = earlier(awaited, claim.Deadline)
		}
		c.awaitsAnswer(awaited)
		return c.front.core.ResumeCall(claim)
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
	c.awaitsAnswer(r.Deadline)
	if c.refusesOverflow() {
		c.front.core.RefuseOverLimit(r)
		return nil
	}
	return c.front.core.Offer(r)
}

func (c *Conn) write(m jsonl.Message) { c.writeThen(m, func() {}) }

// writeThen writes a message, and runs a function once all of it has left.
func (c *Conn) writeThen(m jsonl.Message, then func()) {
	if err := c.tryWrite(m, then); err != nil {
		c.front.log.Error("message to a caller", "err", err)
	}
}

func (c *Conn) tryWrite(m jsonl.Message, then func()) error {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		return err //nolint:wrapcheck // it says what it is
	}
	if len(text) >= jsonl.MaxMessage {
		return jsonl.ErrTooLong
	}
	c.said, c.usedAt = true, time.Now()
	c.conn.WriteThen(c.format.Frame(text), then)
	return nil
}

// Answer tells that the call stands.
func (c *Conn) Answer(id, description string) error {
	if err := c.tryWrite(jsonl.Message{Type: "answer", ID: id, SDP: &description}, func() {}); err != nil {
		return err
	}
	c.stood = true
	c.logCall(endlog.AnswerQueued, id)
	return nil
}

// End sends a final answer.
func (c *Conn) End(id string, end call.End) { c.writeRelease(release{id: id, end: end}, func() {}) }

// Closed ends the connection's set-ups. Calls that stand are released on other connections.
func (c *Conn) Closed(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	c.reset = c.reset || isReset(reason)
	f := c.front
	f.all = slices.DeleteFunc(f.all, func(o *Conn) bool { return o == c })
	f.open = slices.DeleteFunc(f.open, func(o *Conn) bool { return o == c })
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedHere) {
		f.log.Warn("connection from callers closed", "peer", c.conn.Remote(), "reason", reason)
	}
	c.logEnded(reason)
	f.core.CallerDisconnected(c)
	for _, t := range c.sent {
		if c.unheard(t) {
			c.logCall(endlog.EndUnread, t.id)
			c.repeat(t)
		} else {
			c.logCall(endlog.EndCountsRead, t.id)
		}
	}
	c.sent = nil
}

// isReset reports whether a connection that ended for the reason was reset by its peer, which may show as something is written to it.
func isReset(reason error) bool {
	return errors.Is(reason, conn.ErrReset) || errors.Is(reason, syscall.ECONNRESET) || errors.Is(reason, syscall.EPIPE)
}

// Disconnected reports whether the caller has gone. What it has said last is taken in before.
func (c *Conn) Disconnected() bool {
	if !c.closed {
		c.conn.Hear()
	}
	return c.gone()
}

// gone reports whether the caller has closed its side.
func (c *Conn) gone() bool { return c.closed || c.conn.Left() }

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
