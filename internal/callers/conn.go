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
	front           *Front
	number          uint64
	conn            connection
	format          Format
	markedOpen      bool
	closed          bool
	receivedRequest bool // a set-up has come
	receivedPing    bool // a test has
	hasSent         bool // it has been told something
	hadCall         bool // a call of it did
	invalidSetUps   int  // set-ups that made no sense
	resumes         int  // calls it came back for
	partial         bool // what came last is no whole message yet
	// overflow marks a connection beyond the bound, when none could make room for it.
	overflow       bool
	refusedSetUp   bool      // a set-up has been refused for that
	waitingSince   time.Time // when it connected or, if later, the message that is not whole began
	lastUsedAt     time.Time
	answerDeadline time.Time  // until when a caller may wait here for a final answer
	sentEnds       []*sentEnd // lately, of calls that stood
	wasReset       bool       // it has ended by a reset, or may have
}

// Data takes in what callers have sent.
func (c *Conn) Data(in *ring.Buffer, at time.Time) error {
	if c.closed {
		in.Discard(in.Len())
		return nil
	}
	c.lastUsedAt = at
	for {
		m, err := c.format.Next(in, c.conn.Write)
		if errors.Is(err, io.EOF) {
			return conn.ErrClosedHere // closed in good order; what was open is given up
		}
		if err == nil && m != nil {
			c.partial = false
			if err = c.handle(m, at); err != nil {
				c.rejectRemaining(in)
			}
		}
		if err != nil {
			c.reportProtocolError(err)
			return err
		}
		c.markOpen()
		if m == nil {
			if c.canCloseOverflow(in) {
				c.reportProtocolError(conn.ErrClosedHere)
				return conn.ErrClosedHere
			}
			if partial := in.Len() > 0; partial != c.partial {
				c.partial, c.waitingSince = partial, at
			}
			return nil
		}
	}
}

// reportProtocolError answers the set-ups of a connection that goes for a fault of its peer; nobody else is touched.
func (c *Conn) reportProtocolError(err error) {
	c.front.core.CallerProtocolError(c)
	c.conn.Write(c.format.Bye(err))
}

// closeWithError closes the connection for a fault that shows while nothing comes.
func (c *Conn) closeWithError(err error) {
	c.reportProtocolError(err)
	c.conn.Close(err)
}

// closeNow closes a connection that has no set-up open. It counts as closed at once, so that no release is written to it.
func (c *Conn) closeNow(reason error) {
	c.wasReset = c.conn.Left() // whether by a reset is not known yet
	c.conn.Write(c.format.Bye(nil))
	c.conn.Close(reason)
	c.Closed(reason)
}

// Broken has the set-ups of a connection answered that is about to be closed for a fault in its stream.
func (c *Conn) Broken(reason error) {
	if !c.closed {
		c.reportProtocolError(reason)
	}
}

// rejectRemaining answers the set-ups that have come behind a message that ends the connection.
func (c *Conn) rejectRemaining(in *ring.Buffer) {
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

func (c *Conn) handle(m *jsonl.Message, at time.Time) error {
	switch m.Type {
	case "setup":
		c.receivedRequest = true
		c.front.deliverPending()
		if !call.ValidID(m.ID) {
			return fmt.Errorf("set-up with the id %.40q", m.ID)
		}
		return c.handleSetUp(m, at)
	case "release":
		c.front.core.CallerReleased(c, m.ID, m.CauseOr(call.CauseNormal))
	case "resume":
		if !c.allowsResume() {
			c.front.log.Debug("resume where that is off", "id", m.ID)
			return nil
		}
		c.receivedRequest = true
		if !call.ValidID(m.ID) {
			return fmt.Errorf("resume of the id %.40q", m.ID)
		}
		if c.resumes++; c.resumes > maxResumes {
			return call.ErrTooManyResumes
		}
		claim := call.ResumeRequest{Caller: c, ID: m.ID, Token: string(m.Fields["token"]), Answered: m.Fields["answered"] == "1"}
		awaited := at.Add(c.front.rules.longestTimeout())
		if left, err := m.Int("left"); err == nil && left >= 0 && left <= maxTimeLeft.Milliseconds() {
			claim.Deadline = at.Add(time.Duration(left) * time.Millisecond)
			awaited = earlier(awaited, claim.Deadline)
		}
		c.extendAnswerDeadline(awaited)
		return c.front.core.ResumeCall(claim)
	case "ping":
		if !c.receivedPing && !c.receivedRequest {
			c.markAsHealthCheck()
		}
		c.receivedPing = true
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

// allowsResume reports whether calls can be resumed here: over the API, and over JSON lines where the operator has it so.
func (c *Conn) allowsResume() bool { return c.format.NamesErrors() || c.front.rules.resumeOverLines }

// handleSetUp offers a call. One whose fields make no sense is answered as failed; its connection is sound, unless it brings
// nothing else.
func (c *Conn) handleSetUp(m *jsonl.Message, at time.Time) error {
	r, err := c.front.rules.parseSetUp(m, at, c.allowsResume())
	if err != nil {
		c.front.log.Warn("set-up with bad fields", "id", m.ID, "err", err)
		c.front.core.Reject(call.Request{ID: m.ID, Class: string(m.Fields["class"]), Caller: c})
		if c.invalidSetUps++; c.invalidSetUps >= maxInvalidSetUps {
			return errInvalidSetUps
		}
		return nil
	}
	r.Caller = c
	c.extendAnswerDeadline(r.Deadline)
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
	c.hasSent, c.lastUsedAt = true, time.Now()
	c.conn.WriteThen(c.format.Frame(text), then)
	return nil
}

// Answer tells that the call stands.
func (c *Conn) Answer(id, description string) error {
	if err := c.tryWrite(jsonl.Message{Type: "answer", ID: id, SDP: &description}, func() {}); err != nil {
		return err
	}
	c.hadCall = true
	c.logCall(endlog.AnswerQueued, id)
	return nil
}

// End sends a final answer.
func (c *Conn) End(id string, end call.End) { c.writeRelease(callEnd{id: id, end: end}, func() {}) }

// Closed ends the connection's set-ups. Calls that stand are released on other connections.
func (c *Conn) Closed(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	c.wasReset = c.wasReset || isReset(reason)
	f := c.front
	f.conns = slices.DeleteFunc(f.conns, func(o *Conn) bool { return o == c })
	f.openConns = slices.DeleteFunc(f.openConns, func(o *Conn) bool { return o == c })
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedHere) {
		f.log.Warn("connection from callers closed", "peer", c.conn.Remote(), "reason", reason)
	}
	c.logEnded(reason)
	f.core.CallerDisconnected(c)
	for _, t := range c.sentEnds {
		if c.maybeUnread(t) {
			c.logCall(endlog.EndUnread, t.id)
			c.redeliver(t)
		} else {
			c.logCall(endlog.EndCountsRead, t.id)
		}
	}
	c.sentEnds = nil
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
	return c.callerDisconnected()
}

// callerDisconnected reports whether the caller has closed its side.
func (c *Conn) callerDisconnected() bool { return c.closed || c.conn.Left() }

// markOpen counts the connection among the open ones once it can be written to, and gives it what has waited for one.
func (c *Conn) markOpen() {
	f := c.front
	if c.markedOpen || !c.format.Open() {
		return
	}
	c.markedOpen = true
	f.openConns = append(f.openConns, c)
}

// acceptsEnds reports whether the connection can be told the end of a call that came on another. One on which a test came is
// for tests: who made it takes the next message for its result. One that has said nothing yet may be about to.
func (c *Conn) acceptsEnds() bool {
	return c.receivedRequest || !c.receivedPing && time.Since(c.waitingSince) > newConnGracePeriod
}
