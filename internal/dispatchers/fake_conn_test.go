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
func (s *fakeConn) send(text []byte) { s.enqueue(fakeMessage{text: text}) }

// sendEnd queues the release of a call.
func (s *fakeConn) sendEnd(id string) { s.enqueue(fakeMessage{releaseOf(id), id}) }

// enqueue puts a message in transit. If the pool's side has closed, the message is lost, and the dispatcher notices the close.
func (s *fakeConn) enqueue(m fakeMessage) {
	switch {
	case s.dispatcherClosed:
	case s.closed && !s.dispatcherUnaware():
		s.close()
	default:
		s.inTransit, s.sentAt = append(s.inTransit, m), time.Now()
	}
}

// dispatcherUnaware reports whether the dispatcher does not notice what the pool's side has done, and takes the connection for open.
func (s *fakeConn) dispatcherUnaware() bool {
	return s.blockedToDispatcher || s.dispatcher.partitioned || s.dispatcher.paused
}

// cancelUnread reports whether the set-up of a call was cancelled here and the dispatcher does not know it.
func (s *fakeConn) cancelUnread(id string) bool {
	return s.dispatcherUnaware() && (s.poolHalfClosed || s.cancelled[id])
}

// unblock unblocks the connection in both directions.
func (s *fakeConn) unblock() {
	s.blockedToDispatcher, s.blockedToPool, s.writeBlocked = false, false, false
	s.Flush()
	s.deliverToDispatcher()
	s.deliverToPool()
}

// deliverToPool delivers all that is in transit to the pool.
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

// close has the dispatcher close the connection cleanly.
func (s *fakeConn) close() {
	clear(s.setUps)
	s.dispatcherClosed = true
	s.dispatcher.openConns = slices.DeleteFunc(s.dispatcher.openConns, func(o *fakeConn) bool { return o == s })
}

// reset resets the connection: what is in transit is lost.
func (s *fakeConn) reset() {
	s.inTransit = nil
	s.dispatcher.hadReset = true
	s.close()
	if s.poolHalfClosed { // if both sides have closed their direction, the kernel does not report the reset
		s.reportClosed(io.EOF)
		return
	}
	s.reportClosed(conn.ErrReset)
}

// reportClosed reports the end of the connection to the pool, once.
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

// deliverToDispatcher delivers what the pool has written to the dispatcher, followed by the pool's close.
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

// cancelledIn reports whether the set-up of a call arrives together with its cancellation, as after a time in which the connection was
// blocked.
func (s *fakeConn) cancelledIn(id string, messages []*sip.Message) bool {
	return s.poolHalfClosed || slices.ContainsFunc(messages, func(m *sip.Message) bool { return m.Method == "CANCEL" && m.CallID == id })
}

// Write queues a message.
func (s *fakeConn) Write(p []byte) { s.WriteThen(p, func() {}) }

// WriteThen queues a message and calls then once it was sent.
func (s *fakeConn) WriteThen(p []byte, then func()) conn.Ticket {
	if s.closed || s.poolHalfClosed {
		return 0
	}
	s.lastTicket++
	s.writeQueue = append(s.writeQueue, queuedWrite{p, then, s.lastTicket})
	return s.lastTicket
}

// Recall removes a message that was not sent.
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

// recordCancel records which set-ups the pool's side has cancelled.
func (s *fakeConn) recordCancel(text []byte) {
	copied := ring.New(len(text) + 1)
	copied.Write(text)
	var dec sip.Decoder
	if m, err := dec.Next(copied); err == nil && m != nil && m.Method == "CANCEL" {
		s.cancelled[m.CallID] = true
	}
}

// Unsent returns the number of queued messages.
func (s *fakeConn) Unsent() int { return len(s.writeQueue) }

// Unread reports that there is no unread input.
func (s *fakeConn) Unread() bool { return false }

// EndedAt returns when the connection ended.
func (s *fakeConn) EndedAt() time.Time { return s.endedAt }

// Finish closes the pool's direction and reads on.
func (s *fakeConn) Finish(within time.Duration) {
	s.Flush()
	s.poolHalfClosed = true
	s.deliverToDispatcher()
	s.writeQueue = nil
	s.loop.After(within, func() { s.Abort(conn.ErrClosedHere) })
}

// Close closes the pool's side, and discards further input.
func (s *fakeConn) Close(reason error) {
	if s.closed {
		return
	}
	s.Flush()
	s.poolHalfClosed = true
	s.deliverToDispatcher()
	s.reportClosed(reason)
}

// Abort closes the connection at once.
func (s *fakeConn) Abort(reason error) {
	if s.closed {
		return
	}
	s.poolHalfClosed = true
	s.deliverToDispatcher()
	s.reportClosed(reason)
}
