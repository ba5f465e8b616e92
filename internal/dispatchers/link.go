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

// errCutShort ends a connection inside a message.
var errCutShort = errors.New("a message that does not end")

// errDead ends a connection that brings nothing while others do.
var errDead = errors.New("a connection that is open but dead")

// noAttempt is the number of an attempt where a message belongs to none.
const noAttempt = -1

// invite is a set-up on a connection that has had no final answer there.
type invite struct {
	attempt   int
	sentAt    time.Time
	called    string
	withdrawn time.Time // when it was given up, if it was
	ticket    conn.Ticket
	left      bool // all of it is with the kernel
}

// lifetime tells whether a connection has closed. What refers to it keeps none of the connection's buffers.
type lifetime struct {
	over       bool
	generation int // of the dispatcher's connections
}

// linkState is how far a connection is used.
type linkState int

const (
	linkOpen       linkState = iota
	linkDraining             // no set-up goes out; what still comes is taken, and may be replied to
	linkHalfClosed           // this side has ended; what still comes is taken
	linkClosed
)

// link is one connection to a dispatcher.
type link struct {
	server  *server
	number  uint64
	process int // of those that have run under the server's name
	*lifetime
	conn    connection
	wire    Protocol
	state   linkState
	evicted bool // closed to make room
	suspect bool // given up as dead, or with a dispatcher that counts as gone
	dirty   bool // written to since the last Flush
	// closedInOrder is set where the dispatcher has closed the connection by a message of the wire, behind all that it had to say.
	closedInOrder bool
	openedAt,
	heardAt time.Time
	since   time.Time // when it was opened or, if it is, half-closed
	usedAt  time.Time // when a set-up was sent here last; when it was opened if none was
	finalAt time.Time // when a set-up last had its final answer here
	partial time.Time // since when a message has not been whole; zero if none is under way
	invites map[string]*invite
	// unconfirmed are releases that the dispatcher may not have heard.
	unconfirmed []*sentRelease
	pings       []ping // whose replies have not come, in the order of their numbers
}

func (l *link) ready() bool { return l.state == linkOpen && l.wire.HandshakeDone() }

// writable reports whether messages can go out.
func (l *link) writable() bool { return l.state == linkOpen || l.state == linkDraining }

// givenUp reports whether the connection is only read until it ends.
func (l *link) givenUp() bool { return l.state == linkDraining || l.state == linkHalfClosed }

func (l *link) send(p []byte) {
	if len(p) > 0 && l.writable() {
		l.conn.Write(p)
		l.written()
	}
}

// written has the link flushed with the others at the end of the turn.
func (l *link) written() {
	if !l.dirty {
		l.dirty = true
		l.server.pool.dirty = append(l.server.pool.dirty, l)
	}
}

func (l *link) setUp(a call.SetUp) {
	i := &invite{attempt: a.Attempt, called: a.Called, sentAt: time.Now()}
	l.usedAt = i.sentAt
	l.invites[a.ID] = i
	i.ticket = l.conn.WriteThen(l.wire.SetUp(a), func() {
		i.left = true
		l.server.pool.core.SetUpWritten()
	})
	l.written()
	l.server.pool.touch(l.server)
}

// withdraw gives a set-up up. One that still lies in the queue does not go out at all: its caller may have left long before the
// dispatcher reads on, or the dispatcher may drain by then.
func (l *link) withdraw(id string, i *invite) {
	if l.conn.Recall(i.ticket) {
		delete(l.invites, id)
		return
	}
	i.withdrawn = time.Now()
	l.send(l.wire.Cancel(id, i.attempt, i.called))
}

// Data takes in what a dispatcher has sent.
func (l *link) Data(in *ring.Buffer, at time.Time) error {
	if l.state == linkClosed {
		l.log(endlog.LinkDiscards, nil)
		in.Discard(in.Len())
		return nil
	}
	l.heardAt = at
	if at.After(l.server.heardAt) {
		l.server.heardAt = at
	}
	for {
		m, err := l.wire.Next(in)
		if errors.Is(err, io.EOF) {
			l.closedInOrder = true
			return conn.ErrClosedHere
		}
		if err != nil {
			l.send(l.wire.ClosingMessage(err))
			return err
		}
		if m == nil {
			l.unfinished(in, at)
			return nil
		}
		l.partial = time.Time{}
		if err := l.take(m); err != nil {
			l.send(l.wire.ClosingMessage(err))
			return err
		}
	}
}

// unfinished notes when a message began that is not whole. One that stops short ends the connection: what follows would
// be taken for its rest, and nothing else can come meanwhile.
func (l *link) unfinished(in *ring.Buffer, at time.Time) {
	if in.Len() == 0 {
		l.partial = time.Time{}
		return
	}
	if !l.partial.IsZero() {
		return
	}
	l.partial = at
	l.server.pool.loop.After(wholeWithin, func() {
		if l.partial.Equal(at) && l.state == linkOpen {
			l.conn.Close(errCutShort)
		}
	})
}

// open is the number of set-ups that wait for an answer on the connection.
func (l *link) open() int {
	n := 0
	for _, i := range l.invites {
		if i.withdrawn.IsZero() {
			n++
		}
	}
	return n
}

// overtaken reports whether a set-up waits here that others, sent well after it, have overtaken on other connections,
// while this one brought no answer at all: it is open, but of no use any more.
func (l *link) overtaken() bool {
	for _, i := range l.invites {
		if l.unanswered(i) && i.withdrawn.IsZero() && l.server.answered.Sub(i.sentAt) > overtakenBy {
			return true
		}
	}
	return false
}

// unanswered reports whether no answer has come at all since the set-up was sent.
func (l *link) unanswered(i *invite) bool { return l.finalAt.Before(i.sentAt) }

// unresponsive reports whether a set-up was given up here without a word since it was sent, not even of the dispatcher's state; or without one
// since it was given up, while others brought some: what takes it back has an answer at once where the connection lives. The next one
// is better tried elsewhere: it may be the connection that is dead, and not the dispatcher.
func (l *link) unresponsive(now time.Time) bool {
	for _, i := range l.invites {
		if i.withdrawn.IsZero() || !l.unanswered(i) {
			continue
		}
		if now.Sub(i.withdrawn) > unresponsiveFor && l.heardAt.Before(i.sentAt) ||
			now.Sub(i.withdrawn) > closesWithin && l.heardAt.Before(i.withdrawn) && l.server.heardAt.After(i.withdrawn) {
			return true
		}
	}
	return false
}

// load is what speaks against one more set-up here: those that are open, and more so those that were given up with no
// answer having come since.
func (l *link) load() int {
	n := 0
	for _, i := range l.invites {
		switch {
		case i.withdrawn.IsZero():
			n++
		case l.unanswered(i):
			n += unansweredWeight
		}
	}
	return n
}

// healthy reports whether one more set-up may go out here while a new connection may be opened. On one that has long been silent,
// a set-up and what takes it back may both be stuck, if its dispatcher is cut off: they arrive together as that ends, and the
// guard counts from there. And where one was given up without an answer, it may be the connection that is dead.
func (l *link) healthy(now time.Time) bool {
	return now.Sub(l.heardAt) <= silence && l.load() < unansweredWeight
}

// invitedWith is the set-up of a call that a message of the dispatcher may be about; nil if there is none. It can't be about one that has not left.
func (l *link) invitedWith(id string) *invite {
	if i := l.invites[id]; i != nil && i.left {
		return i
	}
	return nil
}
