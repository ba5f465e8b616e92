package dispatchers

import (
	"errors"
	"io"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/ring"
)

// errIncomplete closes a connection on which a message stays incomplete.
var errIncomplete = errors.New("incomplete message")

// errUnresponsive closes a connection that receives nothing while others of its dispatcher do.
var errUnresponsive = errors.New("connection is open but unresponsive")

// noAttempt is the attempt number of a message that belongs to no attempt.
const noAttempt = -1

// setUpState is a set-up on a connection until its final answer.
type setUpState struct {
	attempt     int
	sentAt      time.Time
	called      string
	cancelledAt time.Time // time of the cancellation; zero if it was not cancelled
	ticket      conn.Ticket
	written     bool // written to the socket completely
}

// lifetime records whether a connection has closed. References to it don't keep the buffers of the connection in memory.
type lifetime struct {
	closed bool
	remote *remoteProcess // the process that the connection leads to
}

// connState is the state of a connection.
type connState int

const (
	connOpen       connState = iota
	connDraining             // no set-ups are sent; input is processed and may be replied to
	connHalfClosed           // this side has closed; input is processed
	connClosed
)

// connection is one connection to a dispatcher.
type connection struct {
	server  *server
	number  uint64
	process int // number of the process under the server's name
	*lifetime
	conn     transportConn
	protocol Protocol
	state    connState
	evicted  bool // closed to free its socket
	suspect  bool // abandoned as unresponsive, or because its dispatcher counts as lost
	dirty    bool // written to since the last Flush
	// closedCleanly is set if the dispatcher has closed the connection by a message of the protocol, after all its other messages.
	closedCleanly bool
	openedAt,
	lastReceivedAt time.Time
	since           time.Time // when the connection was opened or, if it is, half-closed
	usedAt          time.Time // when a set-up was last sent; the opening time if none was
	finalAnswerAt   time.Time // when the last final answer to a set-up was received
	incompleteSince time.Time // since when a message has been incomplete; zero if none is
	setUps          map[string]*setUpState
	// unconfirmed are the releases that the dispatcher may not have received.
	unconfirmed []*sentRelease
	pings       []pendingPing // pings without a reply, by number
}

// ready reports whether set-ups can be sent.
func (c *connection) ready() bool { return c.state == connOpen && c.protocol.HandshakeDone() }

// writable reports whether messages can be sent.
func (c *connection) writable() bool { return c.state == connOpen || c.state == connDraining }

// isAbandoned reports whether the connection takes no more set-ups and is only read until it closes.
func (c *connection) isAbandoned() bool { return c.state == connDraining || c.state == connHalfClosed }

// send queues a message for the next flush, if messages can be sent.
func (c *connection) send(p []byte) {
	if len(p) > 0 && c.writable() {
		c.conn.Write(p)
		c.markDirty()
	}
}

// markDirty includes the connection in the flush at the end of the event loop iteration.
func (c *connection) markDirty() {
	if !c.dirty {
		c.dirty = true
		c.server.pool.dirty = append(c.server.pool.dirty, c)
	}
}

// setUp sends a set-up.
func (c *connection) setUp(a call.SetUp) {
	setUp := &setUpState{attempt: a.Attempt, called: a.Called, sentAt: time.Now()}
	c.usedAt = setUp.sentAt
	c.setUps[a.ID] = setUp
	setUp.ticket = c.conn.WriteThen(c.protocol.SetUp(a), func() {
		setUp.written = true
		c.server.pool.core.SetUpWritten()
	})
	c.markDirty()
	c.server.pool.markActive(c.server)
}

// cancelSetUp cancels a set-up. One that is still queued is not sent at all, which is reported as neverSent: its caller may have
// disconnected long before the dispatcher reads on, or the dispatcher may be draining by then.
func (c *connection) cancelSetUp(id string, setUp *setUpState) (neverSent bool) {
	if c.conn.CancelWrite(setUp.ticket) {
		delete(c.setUps, id)
		return true
	}
	setUp.cancelledAt = time.Now()
	c.send(c.protocol.Cancel(id, setUp.attempt, setUp.called))
	return false
}

// Data processes input from the dispatcher.
func (c *connection) Data(in *ring.Buffer, at time.Time) error {
	if c.state == connClosed {
		c.logStep(endlog.InputDiscarded, nil)
		in.Discard(in.Len())
		return nil
	}
	c.lastReceivedAt = at
	c.server.recordInput(c.remote, at)
	if at.After(c.server.lastReceivedAt) {
		c.server.lastReceivedAt = at
	}
	for {
		m, err := c.protocol.Next(in)
		if errors.Is(err, io.EOF) {
			c.closedCleanly = true
			return conn.ErrClosedLocally
		}
		if err != nil {
			c.send(c.protocol.ClosingMessage(err))
			return err
		}
		if m == nil {
			c.trackIncomplete(in, at)
			return nil
		}
		c.incompleteSince = time.Time{}
		if err := c.handle(m); err != nil {
			c.send(c.protocol.ClosingMessage(err))
			return err
		}
	}
}

// trackIncomplete records when an incomplete message began. A message that stays incomplete closes the connection: later input would be
// taken for the rest of it, and no other message can arrive before it.
func (c *connection) trackIncomplete(in *ring.Buffer, at time.Time) {
	if in.Len() == 0 {
		c.incompleteSince = time.Time{}
		return
	}
	if !c.incompleteSince.IsZero() {
		return
	}
	c.incompleteSince = at
	c.server.pool.loop.After(messageTimeout, func() {
		if c.incompleteSince.Equal(at) && c.state == connOpen {
			c.conn.Close(errIncomplete)
		}
	})
}

// openSetUps returns the number of set-ups on the connection that wait for an answer.
func (c *connection) openSetUps() int {
	n := 0
	for _, setUp := range c.setUps {
		if setUp.cancelledAt.IsZero() {
			n++
		}
	}
	return n
}

// overtaken reports whether a set-up still waits here although others, sent well after it, were answered on other connections, and this
// connection has brought no answer since. Such a connection is open but no longer of use.
func (c *connection) overtaken() bool {
	for _, setUp := range c.setUps {
		if c.unanswered(setUp) && setUp.cancelledAt.IsZero() && c.server.answeredSentAt.Sub(setUp.sentAt) > overtakenAfter {
			return true
		}
	}
	return false
}

// unanswered reports whether no answer at all was received since the set-up was sent.
func (c *connection) unanswered(setUp *setUpState) bool { return c.finalAnswerAt.Before(setUp.sentAt) }

// unresponsive reports whether a set-up was cancelled here and nothing was received since it was sent, not even a load report; or nothing
// since it was cancelled, while other connections received input: a working dispatcher replies to a cancellation at once. The next set-up
// had better use another connection, as the connection may be broken and not the dispatcher.
func (c *connection) unresponsive(now time.Time) bool {
	for _, setUp := range c.setUps {
		if setUp.cancelledAt.IsZero() || !c.unanswered(setUp) {
			continue
		}
		if now.Sub(setUp.cancelledAt) > cancelTimeout && c.lastReceivedAt.Before(setUp.sentAt) ||
			now.Sub(setUp.cancelledAt) > responseTimeout && c.lastReceivedAt.Before(setUp.cancelledAt) && c.server.lastReceivedAt.After(setUp.cancelledAt) {
			return true
		}
	}
	return false
}

// load returns the weight of the set-ups on the connection: that of the open ones, and a higher one for those that were cancelled without
// an answer since.
func (c *connection) load() int {
	n := 0
	for _, setUp := range c.setUps {
		switch {
		case setUp.cancelledAt.IsZero():
			n++
		case c.unanswered(setUp):
			n += unansweredWeight
		}
	}
	return n
}

// healthy reports whether one more set-up may be sent here while a new connection could be opened instead. On a connection without input
// for long, a set-up and its cancellation may both be stuck if the dispatcher is cut off: they arrive together when that ends, and the
// guard counts from there. And if a set-up was cancelled without an answer, the connection itself may be broken.
func (c *connection) healthy(now time.Time) bool {
	return now.Sub(c.lastReceivedAt) <= suspectAfter && c.load() < unansweredWeight
}

// writtenSetUp returns the set-up of a call that a message from the dispatcher can refer to, or nil. A message can't refer to a set-up
// that has not been sent completely.
func (c *connection) writtenSetUp(id string) *setUpState {
	if setUp := c.setUps[id]; setUp != nil && setUp.written {
		return setUp
	}
	return nil
}
