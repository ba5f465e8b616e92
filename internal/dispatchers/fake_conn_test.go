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

// fakeConn is a connection between the pool and a process.
type fakeConn struct {
	loop                *call.Loop
	dispatcher          *fakeDispatcher
	handler             conn.Handler
	poolInput           *ring.Buffer   // what the pool's side has received
	dispatcherInput     *ring.Buffer   // what the process has received
	dec                 sip.Decoder    // of the process
	setUps              map[string]int // at the process, by call: the attempt
	sentAt              time.Time      // the last of it
	inTransit           []fakeMessage  // on its way to the pool's side
	writeQueue          []queuedWrite  // queued at the pool's side
	lastTicket          conn.Ticket
	blockedToDispatcher bool            // nothing of the pool's side reaches the process
	writeBlocked        bool            // the socket of the pool's side takes nothing more
	blockedToPool       bool            // nothing of the process reaches the pool's side
	cancelled           map[string]bool // set-ups that the pool's side has cancelled, by call
	poolHalfClosed      bool            // the pool's side has ended its part
	dispatcherClosed    bool            // the process has closed; that is on its way, behind flight
	closed              bool            // the pool's side takes nothing any more
	closeReported       bool
	endedAt             time.Time
}

// fakeMessage is a message of a process.
type fakeMessage struct {
	text  []byte
	endOf string // the call whose end it is; empty if it is none
}

type queuedWrite struct {
	text   []byte
	then   func()
	ticket conn.Ticket
}

// send queues a message of the process.
func (s *fakeConn) send(text []byte) { s.enqueue(fakeMessage{text: text}) }

// sendEnd queues the release of a call.
func (s *fakeConn) sendEnd(id string) { s.enqueue(fakeMessage{releaseOf(id), id}) }

// enqueue has a message on its way. One to a pool's side that is gone is lost, and has the process see that.
func (s *fakeConn) enqueue(m fakeMessage) {
	switch {
	case s.dispatcherClosed:
	case s.closed && !s.dispatcherUnaware():
		s.close()
	default:
		s.inTransit, s.sentAt = append(s.inTransit, m), time.Now()
	}
}

// dispatcherUnaware reports whether the process does not see what the pool's side has done: it takes the connection for open.
func (s *fakeConn) dispatcherUnaware() bool {
	return s.blockedToDispatcher || s.dispatcher.partitioned || s.dispatcher.paused
}

// cancelUnread reports whether the set-up of a call has been given up here, and the process does not see it.
func (s *fakeConn) cancelUnread(id string) bool {
	return s.dispatcherUnaware() && (s.poolHalfClosed || s.cancelled[id])
}

// unblock has all get through again, in both directions.
func (s *fakeConn) unblock() {
	s.blockedToDispatcher, s.blockedToPool, s.writeBlocked = false, false, false
	s.Flush()
	s.deliverToDispatcher()
	s.deliverToPool()
}

// deliverToPool has all that is on its way reach the pool.
func (s *fakeConn) deliverToPool() {
	if s.dispatcher.partitioned || s.blockedToPool {
		return
	}
	for _, m := range s.inTransit {
		if s.closed {
			continue
		}
		s.poolInput.Write(m.text)
		s.dispatcher.harness.releaseDelivered(s.dispatcher, m.endOf)
	}
	s.inTransit = nil
	if s.closed {
		return
	}
	if s.poolInput.Len() > 0 {
		if err := s.handler.Data(s.poolInput, time.Now()); err != nil {
			s.Close(err)
			return
		}
	}
	if s.dispatcherClosed {
		s.reportClosed(io.EOF)
	}
}

// close has the process close the connection, in good order.
func (s *fakeConn) close() {
	clear(s.setUps)
	s.dispatcherClosed = true
	s.dispatcher.openConns = slices.DeleteFunc(s.dispatcher.openConns, func(o *fakeConn) bool { return o == s })
}

// reset has the connection reset: what is on its way is lost.
func (s *fakeConn) reset() {
	s.inTransit = nil
	s.dispatcher.hadReset = true
	s.close()
	if s.poolHalfClosed { // where both sides have ended their part, the kernel does not tell how
		s.reportClosed(io.EOF)
		return
	}
	s.reportClosed(conn.ErrReset)
}

// reportClosed tells the pool of the end of its connection, once.
func (s *fakeConn) reportClosed(reason error) {
	s.closed = true
	if s.closeReported {
		return
	}
	s.closeReported, s.endedAt = true, time.Now()
	s.loop.Post(func() {
		s.handler.Closed(reason)
		if r, ok := s.handler.(conn.Releaser); ok {
			r.Released()
		}
	})
}

// deliverToDispatcher has what the pool wrote reach the process, and its end behind it.
func (s *fakeConn) deliverToDispatcher() {
	if s.dispatcherUnaware() || s.dispatcherClosed {
		return
	}
	var messages []*sip.Message
	for {
		m, err := s.dec.Next(s.dispatcherInput)
		if m == nil || err != nil {
			break
		}
		messages = append(messages, m)
	}
	for i, m := range messages {
		if m.Method == "INVITE" && !s.cancelledIn(m.CallID, messages[i:]) {
			s.dispatcher.harness.attemptArrived(m.CallID)
		}
		s.dispatcher.handle(s, m)
	}
	switch {
	case s.poolHalfClosed && s.dispatcher.neverCloses:
		clear(s.setUps)
	case s.poolHalfClosed && s.dispatcher.resetsOnClose:
		s.reset()
	case s.poolHalfClosed:
		s.close()
	}
}

// cancelledIn reports whether the set-up of a call comes with what gives it up right behind it, as after a time in which nothing got through.
func (s *fakeConn) cancelledIn(id string, messages []*sip.Message) bool {
	return s.poolHalfClosed || slices.ContainsFunc(messages, func(m *sip.Message) bool { return m.Method == "CANCEL" && m.CallID == id })
}

// Write queues a message.
func (s *fakeConn) Write(p []byte) { s.WriteThen(p, func() {}) }

// WriteThen queues a message.
func (s *fakeConn) WriteThen(p []byte, then func()) conn.Ticket {
	if s.closed || s.poolHalfClosed {
		return 0
	}
	s.lastTicket++
	s.writeQueue = append(s.writeQueue, queuedWrite{p, then, s.lastTicket})
	return s.lastTicket
}

// Recall takes a message back that has not left.
func (s *fakeConn) Recall(ticket conn.Ticket) bool {
	i := slices.IndexFunc(s.writeQueue, func(w queuedWrite) bool { return w.ticket == ticket })
	if i < 0 {
		return false
	}
	s.writeQueue = slices.Delete(s.writeQueue, i, i+1)
	return true
}

// Flush sends what is queued.
func (s *fakeConn) Flush() {
	if s.writeBlocked {
		return
	}
	out := s.writeQueue
	s.writeQueue = nil
	for _, w := range out {
		s.dispatcherInput.Write(w.text)
		s.recordCancel(w.text)
		w.then()
	}
	s.deliverToDispatcher()
}

// recordCancel keeps which set-ups the pool's side has cancelled.
func (s *fakeConn) recordCancel(text []byte) {
	copied := ring.New(len(text) + 1)
	copied.Write(text)
	var dec sip.Decoder
	if m, err := dec.Next(copied); err == nil && m != nil && m.Method == "CANCEL" {
		s.cancelled[m.CallID] = true
	}
}

// Unsent is what waits for the socket.
func (s *fakeConn) Unsent() int { return len(s.writeQueue) }

// Unread reports that nothing waits.
func (s *fakeConn) Unread() bool { return false }

// EndedAt is when the connection ended.
func (s *fakeConn) EndedAt() time.Time { return s.endedAt }

// Finish ends the pool's side and reads on.
func (s *fakeConn) Finish(within time.Duration) {
	s.Flush()
	s.poolHalfClosed = true
	s.deliverToDispatcher()
	s.writeQueue = nil
	s.loop.After(within, func() { s.Abort(conn.ErrClosedHere) })
}

// Close ends the pool's side, and discards what still comes.
func (s *fakeConn) Close(reason error) {
	if s.closed {
		return
	}
	s.Flush()
	s.poolHalfClosed = true
	s.deliverToDispatcher()
	s.reportClosed(reason)
}

// Abort ends the connection at once.
func (s *fakeConn) Abort(reason error) {
	if s.closed {
		return
	}
	s.poolHalfClosed = true
	s.deliverToDispatcher()
	s.reportClosed(reason)
}
