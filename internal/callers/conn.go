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

// Conn is a connection from a caller or a gateway of callers.
type Conn struct {
	front           *Front
	number          uint64
	conn            connection
	format          Format
	markedOpen      bool
	closed          bool
	receivedRequest bool // a set-up or a resume request was received
	receivedPing    bool // a ping was received
	hasSent         bool // a message was sent on it
	hadCall         bool // a call on it was established
	invalidSetUps   int  // number of invalid set-ups
	resumes         int  // number of resume requests
	partial         bool // the last message received is incomplete
	// overflow is set if the connection exceeds the limit and none could be evicted for it.
	overflow       bool
	refusedSetUp   bool      // a set-up was refused because of overflow
	waitingSince   time.Time // time of the connect or, if later, of the start of the incomplete message
	lastUsedAt     time.Time
	answerDeadline time.Time  // time until which a caller may wait here for a final answer
	sentEnds       []*sentEnd // recently sent ends of established calls
	wasReset       bool       // it was reset, or may have been
}

// Data processes the input from callers.
func (c *Conn) Data(in *ring.Buffer, at time.Time) error {
	if c.closed {
		in.Discard(in.Len())
		return nil
	}
	c.lastUsedAt = at
	for {
		m, err := c.format.Next(in, c.conn.Write)
		if errors.Is(err, io.EOF) {
			return conn.ErrClosedLocally // cleanly closed; open set-ups are cancelled
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
				c.reportProtocolError(conn.ErrClosedLocally)
				return conn.ErrClosedLocally
			}
			if partial := in.Len() > 0; partial != c.partial {
				c.partial, c.waitingSince = partial, at
			}
			return nil
		}
	}
}

// reportProtocolError has the open set-ups of a connection answered that is closed because of its peer's error. Other connections
// are not affected.
func (c *Conn) reportProtocolError(err error) {
	c.front.core.CallerProtocolError(c)
	c.conn.Write(c.format.ClosingMessage(err))
}

// closeWithError closes the connection because of an error that is found while no input arrives.
func (c *Conn) closeWithError(err error) {
	c.reportProtocolError(err)
	c.conn.Close(err)
}

// closeNow closes a connection that has no open set-up. It counts as closed at once, so that no end is sent on it.
func (c *Conn) closeNow(reason error) {
	c.wasReset = c.conn.PeerClosed() // it is not known yet whether by a reset
	c.conn.Write(c.format.ClosingMessage(nil))
	c.conn.Close(reason)
	c.Closed(reason)
}

// Faulted has the open set-ups of a connection answered that is about to be closed because of an invalid stream.
func (c *Conn) Faulted(reason error) {
	if !c.closed {
		c.reportProtocolError(reason)
	}
}

// rejectRemaining answers the set-ups received after a message that ends the connection.
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
			return fmt.Errorf("set-up with invalid ID %.40q", m.ID)
		}
		return c.handleSetUp(m, at)
	case "release":
		c.front.core.CallerReleased(c, m.ID, m.CauseOr(call.CauseNormal))
	case "resume":
		if !c.allowsResume() {
			c.front.log.Debug("resume request ignored: resuming is disabled", "id", m.ID)
			return nil
		}
		c.receivedRequest = true
		if !call.ValidID(m.ID) {
			return fmt.Errorf("resume request with invalid ID %.40q", m.ID)
		}
		if c.resumes++; c.resumes > maxResumes {
			return call.ErrTooManyResumes
		}
		request := call.ResumeRequest{Caller: c, ID: m.ID, Token: string(m.Fields["token"]), Answered: m.Fields["answered"] == "1"}
		deadline := at.Add(c.front.rules.longestTimeout())
		if left, err := m.IntField("left"); err == nil && left >= 0 && left <= maxTimeLeft.Milliseconds() {
			request.Deadline = at.Add(time.Duration(left) * time.Millisecond)
			deadline = earlier(deadline, request.Deadline)
		}
		c.extendAnswerDeadline(deadline)
		return c.front.core.ResumeCall(request)
	case "ping":
		if !c.receivedPing && !c.receivedRequest {
			c.markAsHealthCheck()
		}
		c.receivedPing = true
		ready := 0
		if c.front.core.Ready() {
			ready = 1
		}
		c.write(jsonl.Message{Type: "pong", ID: m.ID, Cause: &ready})
	case "released", "progress", "pong", "state":
	default:
		c.front.log.Debug("message of unknown type ignored", "type", m.Type)
	}
	return nil
}

// allowsResume reports whether calls can be resumed on the connection: always over the API, over JSON lines only if the operator
// has enabled it.
func (c *Conn) allowsResume() bool { return c.format.HasErrorField() || c.front.rules.resumeOverLines }

// handleSetUp offers a call to the core. A set-up with invalid fields is answered as failed. Its connection stays open unless it
// has sent too many of these.
func (c *Conn) handleSetUp(m *jsonl.Message, at time.Time) error {
	r, err := c.front.rules.parseSetUp(m, at, c.allowsResume())
	if err != nil {
		c.front.log.Warn("set-up with invalid fields", "id", m.ID, "err", err)
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

// writeThen writes a message, and runs a function once all of it has been written to the socket.
func (c *Conn) writeThen(m jsonl.Message, then func()) {
	if err := c.tryWrite(m, then); err != nil {
		c.front.log.Error("message to a caller cannot be sent", "err", err)
	}
}

func (c *Conn) tryWrite(m jsonl.Message, then func()) error {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		return err //nolint:wrapcheck // the error needs no context
	}
	if len(text) >= jsonl.MaxMessageSize {
		return jsonl.ErrTooLong
	}
	c.hasSent, c.lastUsedAt = true, time.Now()
	c.conn.WriteThen(c.format.Frame(text), then)
	return nil
}

// Answer notifies the caller that the call is established.
func (c *Conn) Answer(id, description string) error {
	if err := c.tryWrite(jsonl.Message{Type: "answer", ID: id, SDP: &description}, func() {}); err != nil {
		return err
	}
	c.hadCall = true
	c.logCall(endlog.AnswerQueued, id)
	return nil
}

// End sends a final answer other than the answer of an established call.
func (c *Conn) End(id string, end call.End) { c.writeRelease(callEnd{id: id, end: end}, func() {}) }

// Closed ends the connection's set-ups. The ends of its established calls are sent on other connections.
func (c *Conn) Closed(reason error) {
	if c.closed {
		return
	}
	c.closed = true
	c.wasReset = c.wasReset || isReset(reason)
	f := c.front
	f.conns = slices.DeleteFunc(f.conns, func(other *Conn) bool { return other == c })
	f.openConns = slices.DeleteFunc(f.openConns, func(other *Conn) bool { return other == c })
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedLocally) {
		f.log.Warn("connection from callers closed", "peer", c.conn.Remote(), "reason", reason)
	}
	c.logEnded(reason)
	f.core.CallerDisconnected(c)
	for _, sent := range c.sentEnds {
		if c.maybeUnread(sent) {
			c.logCall(endlog.EndUnconfirmed, sent.id)
			c.redeliver(sent)
		} else {
			c.logCall(endlog.EndPresumedRead, sent.id)
		}
	}
	c.sentEnds = nil
}

// isReset reports whether the reason means that the peer has reset the connection. A write may be the first to find that.
func isReset(reason error) bool {
	return errors.Is(reason, conn.ErrReset) || errors.Is(reason, syscall.ECONNRESET) || errors.Is(reason, syscall.EPIPE)
}

// Disconnected reports whether the caller has disconnected. Input that has arrived before is processed first.
func (c *Conn) Disconnected() bool {
	if !c.closed {
		c.conn.ProcessInput()
	}
	return c.callerDisconnected()
}

// callerDisconnected reports whether the connection is closed, or closed on the caller's side.
func (c *Conn) callerDisconnected() bool { return c.closed || c.conn.PeerClosed() }

// markOpen adds the connection to the open ones once messages can be sent on it.
func (c *Conn) markOpen() {
	f := c.front
	if c.markedOpen || !c.format.Open() {
		return
	}
	c.markedOpen = true
	f.openConns = append(f.openConns, c)
}

// acceptsEnds reports whether the end of a call of another connection may be sent here. A connection with a ping but no request
// is a health check, whose sender takes the next message for the result. A new connection without any message may become one.
func (c *Conn) acceptsEnds() bool {
	return c.receivedRequest || !c.receivedPing && time.Since(c.waitingSince) > newConnGracePeriod
}
