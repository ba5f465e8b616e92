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

// errIncomplete ends a connection inside a message.
var errIncomplete = errors.New("a message that does not end")

// errUnresponsive ends a connection that brings nothing while others do.
var errUnresponsive = errors.New("a connection that is open but dead")

// noAttempt is the number of an attempt where a message belongs to none.
const noAttempt = -1

// setUpState is a set-up on a connection that has had no final answer there.
type setUpState struct {
	attempt     int
	sentAt      time.Time
	called      string
	cancelledAt time.Time // when it was given up, if it was
	ticket      conn.Ticket
	written     bool // all of it is with the kernel
}

// lifetime tells whether a connection has closed. What refers to it keeps none of the connection's buffers.
type lifetime struct {
	closed     bool
	generation int // of the dispatcher's connections
}

// connState is how far a connection is used.
type connState int

const (
	connOpen       connState = iota
	connDraining             // no set-up goes out; what still comes is taken, and may be replied to
	connHalfClosed           // this side has ended; what still comes is taken
	connClosed
)

// connection is one connection to a dispatcher.
type connection struct {
	server  *server
	number  uint64
	process int // of those that have run under the server's name
	*lifetime
	conn     transportConn
	protocol Protocol
	state    connState
	evicted  bool // closed to make room
	suspect  bool // given up as dead, or with a dispatcher that counts as gone
	dirty    bool // written to since the last Flush
	// closedCleanly is set where the dispatcher has closed the connection by a message of the wire, behind all that it had to say.
	closedCleanly bool
	openedAt,
	lastReceivedAt time.Time
	stateSince      time.Time // when it was opened or, if it is, half-closed
	usedAt          time.Time // when a set-up was sent here last; when it was opened if none was
	finalAnswerAt   time.Time // when a set-up last had its final answer here
	incompleteSince time.Time // since when a message has not been whole; zero if none is under way
	setUps          map[string]*setUpState
	// unconfirmed are releases that the dispatcher may not have heard.
	unconfirmed []*sentRelease
	pings       []pendingPing // whose replies have not come, in the order of their numbers
}

func (c *connection) ready() bool { return c.state == connOpen && c.protocol.HandshakeDone() }

// writable reports whether messages can go out.
func (c *connection) writable() bool { return c.state == connOpen || c.state == connDraining }

// isAbandoned reports whether the connection is only read until it ends.
func (c *connection) isAbandoned() bool { return c.state == connDraining || c.state == connHalfClosed }

func (c *connection) send(p []byte) {
	if len(p) > 0 && c.writable() {
		c.conn.Write(p)
		c.markDirty()
	}
}

// markDirty has the link flushed with the others at the end of the turn.
func (c *connection) markDirty() {
	if !c.dirty {
		c.dirty = true
		c.server.pool.dirty = append(c.server.pool.dirty, c)
	}
}

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

// cancelSetUp gives a set-up up. One that still lies in the queue does not go out at all: its caller may have left long before the
// dispatcher reads on, or the dispatcher may drain by then.
func (c *connection) cancelSetUp(id string, setUp *setUpState) {
	if c.conn.Recall(setUp.ticket) {
		delete(c.setUps, id)
		return
	}
	setUp.cancelledAt = time.Now()
	c.send(c.protocol.Cancel(id, setUp.attempt, setUp.called))
}

// Data takes in what a dispatcher has sent.
func (c *connection) Data(in *ring.Buffer, at time.Time) error {
	if c.state == connClosed {
		c.logStep(endlog.LinkDiscards, nil)
		in.Discard(in.Len())
		return nil
	}
	c.lastReceivedAt = at
	if at.After(c.server.lastReceivedAt) {
		c.server.lastReceivedAt = at
	}
	for {
		m, err := c.protocol.Next(in)
		if errors.Is(err, io.EOF) {
			c.closedCleanly = true
			return conn.ErrClosedHere
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

// trackIncomplete notes when a message began that is not whole. One that stops short ends the connection: what follows would
// be taken for its rest, and nothing else can come meanwhile.
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

// openSetUps is the number of set-ups that wait for an answer on the connection.
func (c *connection) openSetUps() int {
	n := 0
	for _, setUp := range c.setUps {
		if setUp.cancelledAt.IsZero() {
			n++
		}
	}
	return n
}

// overtaken reports whether a set-up waits here that others, sent well after it, have overtaken on other connections,
// while this one brought no answer at all: it is open, but of no use any more.
func (c *connection) overtaken() bool {
	for _, setUp := range c.setUps {
		if c.unanswered(setUp) && setUp.cancelledAt.IsZero() && c.server.answeredSentAt.Sub(setUp.sentAt) > overtakenAfter {
			return true
		}
	}
	return false
}

// unanswered reports whether no answer has come at all since the set-up was sent.
func (c *connection) unanswered(setUp *setUpState) bool { return c.finalAnswerAt.Before(setUp.sentAt) }

// unresponsive reports whether a set-up was given up here without a word since it was sent, not even of the dispatcher's state; or without one
// since it was given up, while others brought some: what takes it back has an answer at once where the connection lives. The next one
// is better tried elsewhere: it may be the connection that is dead, and not the dispatcher.
func (c *connection) unresponsive(now time.Time) bool {
	for _, setUp := range c.setUps {
		if setUp.cancelledAt.IsZero() || !c.unanswered(setUp) {
			continue
		}
		if now.Sub(setUp.cancelledAt) > unresponsiveAfter && c.lastReceivedAt.Before(setUp.sentAt) ||
			now.Sub(setUp.cancelledAt) > responseTimeout && c.lastReceivedAt.Before(setUp.cancelledAt) && c.server.lastReceivedAt.After(setUp.cancelledAt) {
			return true
		}
	}
	return false
}

// load is what speaks against one more set-up here: those that are open, and more so those that were given up with no
// answer having come since.
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

// healthy reports whether one more set-up may go out here while a new connection may be opened. On one that has long been silent,
// a set-up and what takes it back may both be stuck, if its dispatcher is cut off: they arrive together as that ends, and the
// guard counts from there. And where one was given up without an answer, it may be the connection that is dead.
func (c *connection) healthy(now time.Time) bool {
	return now.Sub(c.lastReceivedAt) <= silenceThreshold && c.load() < unansweredWeight
}

// writtenSetUp is the set-up of a call that a message of the dispatcher may be about; nil if there is none. It can't be about one that has not left.
func (c *connection) writtenSetUp(id string) *setUpState {
	if setUp := c.setUps[id]; setUp != nil && setUp.written {
		return setUp
	}
	return nil
}
