package dispatchers

import (
	"io"
	"slices"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/sip"
)

// fakeConn is a connection between the pool and a fake dispatcher.
type fakeConn struct {
	loop                *call.Loop
	dispatcher          *fakeDispatcher
	handler             conn.Handler
	poolInput           *ring.Buffer   // input of the pool's side
	dispatcherInput     *ring.Buffer   // input of the dispatcher
	dec                 sip.Decoder    // decoder of the dispatcher
	setUps              map[string]int // open set-ups at the dispatcher: the attempt, by call
	sentAt              time.Time      // when the last message in transit was sent
	inTransit           []fakeMessage  // messages in transit to the pool's side
	writeQueue          []queuedWrite  // messages queued at the pool's side
	lastTicket          conn.Ticket
	blockedToDispatcher bool            // nothing from the pool's side reaches the dispatcher
	writeBlocked        bool            // the socket of the pool's side accepts no more output
	blockedToPool       bool            // nothing from the dispatcher reaches the pool's side
	cancelled           map[string]bool // set-ups that the pool's side has cancelled, by call
	poolHalfClosed      bool            // the pool's side has closed its direction
	dispatcherClosed    bool            // the dispatcher has closed; the pool's side sees that after the messages in transit
	closed              bool            // the pool's side receives nothing any more
	closeReported       bool
	endedAt             time.Time
}

// fakeMessage is a message of a fake dispatcher.
type fakeMessage struct {
	text  []byte
	endOf string // the call whose end it is; empty if it is no end
}

type queuedWrite struct {
	text   []byte
	then   func()
	ticket conn.Ticket
}

// send queues a message of the dispatcher.
func (c *fakeConn) send(text []byte) { c.enqueue(fakeMessage{text: text}) }

// sendEnd queues the release of a call.
func (c *fakeConn) sendEnd(id string) { c.enqueue(fakeMessage{releaseOf(id), id}) }

// enqueue puts a message in transit. If the pool's side has closed, the message is lost, and the dispatcher notices the close.
func (c *fakeConn) enqueue(m fakeMessage) {
	switch {
	case c.dispatcherClosed:
	case c.closed && !c.dispatcherUnaware():
		c.close()
	default:
		c.inTransit, c.sentAt = append(c.inTransit, m), time.Now()
	}
}

// dispatcherUnaware reports whether the dispatcher does not notice what the pool's side has done, and takes the connection for open.
func (c *fakeConn) dispatcherUnaware() bool {
	return c.blockedToDispatcher || c.dispatcher.partitioned || c.dispatcher.paused
}

// cancelUnread reports whether the set-up of a call was cancelled here and the dispatcher does not know it.
func (c *fakeConn) cancelUnread(id string) bool {
	return c.dispatcherUnaware() && (c.poolHalfClosed || c.cancelled[id])
}

// unblock unblocks the connection in both directions.
func (c *fakeConn) unblock() {
	c.blockedToDispatcher, c.blockedToPool, c.writeBlocked = false, false, false
	c.Flush()
	c.deliverToDispatcher()
	c.deliverToPool()
}

// deliverToPool delivers all that is in transit to the pool.
func (c *fakeConn) deliverToPool() {
	if c.dispatcher.partitioned || c.blockedToPool {
		return
	}
	for _, m := range c.inTransit {
		if c.closed {
			continue
		}
		c.poolInput.Write(m.text)
		c.dispatcher.harness.releaseDelivered(c.dispatcher, m.endOf)
	}
	c.inTransit = nil
	if c.closed {
		return
	}
	if c.poolInput.Len() > 0 {
		if err := c.handler.Data(c.poolInput, time.Now()); err != nil {
			c.Close(err)
			return
		}
	}
	if c.dispatcherClosed {
		c.reportClosed(io.EOF)
	}
}

// close has the dispatcher close the connection cleanly.
func (c *fakeConn) close() {
	clear(c.setUps)
	c.dispatcherClosed = true
	c.dispatcher.openConns = slices.DeleteFunc(c.dispatcher.openConns, func(o *fakeConn) bool { return o == c })
}

// reset resets the connection: what is in transit is lost.
func (c *fakeConn) reset() {
	c.inTransit = nil
	c.dispatcher.hadReset = true
	c.close()
	if c.poolHalfClosed { // if both sides have closed their direction, the kernel does not report the reset
		c.reportClosed(io.EOF)
		return
	}
	c.reportClosed(conn.ErrReset)
}

// reportClosed reports the end of the connection to the pool, once.
func (c *fakeConn) reportClosed(reason error) {
	c.closed = true
	if c.closeReported {
		return
	}
	c.closeReported, c.endedAt = true, time.Now()
	c.loop.Post(func() {
		c.handler.Closed(reason)
		if r, ok := c.handler.(conn.SocketCloseHandler); ok {
			r.SocketClosed()
		}
	})
}

// deliverToDispatcher delivers what the pool has written to the dispatcher, followed by the pool's close.
func (c *fakeConn) deliverToDispatcher() {
	if c.dispatcherUnaware() || c.dispatcherClosed {
		return
	}
	var messages []*sip.Message
	for {
		m, err := c.dec.Next(c.dispatcherInput)
		if m == nil || err != nil {
			break
		}
		messages = append(messages, m)
	}
	for i, m := range messages {
		if m.Method == "INVITE" && !c.cancelledIn(m.CallID, messages[i:]) {
			c.dispatcher.harness.attemptArrived(m.CallID)
		}
		c.dispatcher.handle(c, m)
	}
	switch {
	case c.poolHalfClosed && c.dispatcher.neverCloses:
		clear(c.setUps)
	case c.poolHalfClosed && c.dispatcher.resetsOnClose:
		c.reset()
	case c.poolHalfClosed:
		c.close()
	}
}

// cancelledIn reports whether the set-up of a call arrives together with its cancellation, as after a time in which the connection was
// blocked.
func (c *fakeConn) cancelledIn(id string, messages []*sip.Message) bool {
	return c.poolHalfClosed || slices.ContainsFunc(messages, func(m *sip.Message) bool { return m.Method == "CANCEL" && m.CallID == id })
}

// Write queues a message.
func (c *fakeConn) Write(p []byte) { c.WriteThen(p, func() {}) }

// WriteThen queues a message and calls then once it was sent.
func (c *fakeConn) WriteThen(p []byte, then func()) conn.Ticket {
	if c.closed || c.poolHalfClosed {
		return 0
	}
	c.lastTicket++
	c.writeQueue = append(c.writeQueue, queuedWrite{p, then, c.lastTicket})
	return c.lastTicket
}

// CancelWrite removes a message that was not sent.
func (c *fakeConn) CancelWrite(ticket conn.Ticket) bool {
	i := slices.IndexFunc(c.writeQueue, func(w queuedWrite) bool { return w.ticket == ticket })
	if i < 0 {
		return false
	}
	c.writeQueue = slices.Delete(c.writeQueue, i, i+1)
	return true
}

// Flush sends what is queued.
func (c *fakeConn) Flush() {
	if c.writeBlocked {
		return
	}
	out := c.writeQueue
	c.writeQueue = nil
	for _, w := range out {
		c.dispatcherInput.Write(w.text)
		c.recordCancel(w.text)
		w.then()
	}
	c.deliverToDispatcher()
}

// recordCancel records which set-ups the pool's side has cancelled.
func (c *fakeConn) recordCancel(text []byte) {
	copied := ring.New(len(text) + 1)
	copied.Write(text)
	var dec sip.Decoder
	if m, err := dec.Next(copied); err == nil && m != nil && m.Method == "CANCEL" {
		c.cancelled[m.CallID] = true
	}
}

// Unsent returns the number of queued messages.
func (c *fakeConn) Unsent() int { return len(c.writeQueue) }

// HasUnreadInput reports that there is no unread input.
func (c *fakeConn) HasUnreadInput() bool { return false }

// EndedAt returns when the connection ended.
func (c *fakeConn) EndedAt() time.Time { return c.endedAt }

// CloseWrite closes the pool's direction and reads on.
func (c *fakeConn) CloseWrite(within time.Duration) {
	c.Flush()
	c.poolHalfClosed = true
	c.deliverToDispatcher()
	c.writeQueue = nil
	c.loop.After(within, func() { c.Abort(conn.ErrClosedLocally) })
}

// Close closes the pool's side, and discards further input.
func (c *fakeConn) Close(reason error) {
	if c.closed {
		return
	}
	c.Flush()
	c.poolHalfClosed = true
	c.deliverToDispatcher()
	c.reportClosed(reason)
}

// Abort closes the connection at once.
func (c *fakeConn) Abort(reason error) {
	if c.closed {
		return
	}
	c.poolHalfClosed = true
	c.deliverToDispatcher()
	c.reportClosed(reason)
}
