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

// standInConnection is a connection between the pool and a process.
type standInConnection struct {
	loop       *call.Loop
	process    *process
	handler    conn.Handler
	in         *ring.Buffer     // what the pool's side has received
	read       *ring.Buffer     // what the process has received
	dec        sip.Decoder      // of the process
	setUps     map[string]int   // at the process, by call: the attempt
	sentAt     time.Time        // the last of it
	flight     []standInMessage // on its way to the pool's side
	out        []standInWrite   // queued at the pool's side
	tickets    conn.Ticket
	deaf       bool            // nothing of the pool's side reaches the process
	full       bool            // the socket of the pool's side takes nothing more
	mute       bool            // nothing of the process reaches the pool's side
	cancelled  map[string]bool // set-ups that the pool's side has cancelled, by call
	finished   bool            // the pool's side has ended its part
	peerClosed bool            // the process has closed; that is on its way, behind flight
	closed     bool            // the pool's side takes nothing any more
	told       bool
	endedAt    time.Time
}

// standInMessage is a message of a process.
type standInMessage struct {
	text []byte
	ends string // the call whose end it is; empty if it is none
}

type standInWrite struct {
	text   []byte
	then   func()
	ticket conn.Ticket
}

// tell queues a message of the process.
func (s *standInConnection) tell(text []byte) { s.queue(standInMessage{text: text}) }

// tellEnd queues the release of a call.
func (s *standInConnection) tellEnd(id string) { s.queue(standInMessage{byeOf(id), id}) }

// queue has a message on its way. One to a pool's side that is gone is lost, and has the process see that.
func (s *standInConnection) queue(m standInMessage) {
	switch {
	case s.peerClosed:
	case s.closed && !s.unseen():
		s.close()
	default:
		s.flight, s.sentAt = append(s.flight, m), time.Now()
	}
}

// unseen reports whether the process does not see what the pool's side has done: it takes the connection for open.
func (s *standInConnection) unseen() bool { return s.deaf || s.process.cutOff || s.process.still }

// givenUpUnread reports whether the set-up of a call has been given up here, and the process does not see it.
func (s *standInConnection) givenUpUnread(id string) bool {
	return s.unseen() && (s.finished || s.cancelled[id])
}

// flows has all get through again, in both directions.
func (s *standInConnection) flows() {
	s.deaf, s.mute, s.full = false, false, false
	s.Flush()
	s.reaches()
	s.deliver()
}

// deliver has all that is on its way reach the pool.
func (s *standInConnection) deliver() {
	if s.process.cutOff || s.mute {
		return
	}
	for _, m := range s.flight {
		if s.closed {
			continue
		}
		s.in.Write(m.text)
		s.process.site.released(s.process, m.ends)
	}
	s.flight = nil
	if s.closed {
		return
	}
	if s.in.Len() > 0 {
		if err := s.handler.Data(s.in, time.Now()); err != nil {
			s.Close(err)
			return
		}
	}
	if s.peerClosed {
		s.ended(io.EOF)
	}
}

// close has the process close the connection, in good order.
func (s *standInConnection) close() {
	clear(s.setUps)
	s.peerClosed = true
	s.process.connections = slices.DeleteFunc(s.process.connections, func(o *standInConnection) bool { return o == s })
}

// reset has the connection reset: what is on its way is lost.
func (s *standInConnection) reset() {
	s.flight = nil
	s.process.reset = true
	s.close()
	if s.finished { // where both sides have ended their part, the kernel does not tell how
		s.ended(io.EOF)
		return
	}
	s.ended(conn.ErrReset)
}

// ended tells the pool of the end of its connection, once.
func (s *standInConnection) ended(reason error) {
	s.closed = true
	if s.told {
		return
	}
	s.told, s.endedAt = true, time.Now()
	s.loop.Post(func() {
		s.handler.Closed(reason)
		if r, ok := s.handler.(conn.Releaser); ok {
			r.Released()
		}
	})
}

// reaches has what the pool wrote reach the process, and its end behind it.
func (s *standInConnection) reaches() {
	if s.unseen() || s.peerClosed {
		return
	}
	var messages []*sip.Message
	for {
		m, err := s.dec.Next(s.read)
		if m == nil || err != nil {
			break
		}
		messages = append(messages, m)
	}
	for i, m := range messages {
		if m.Method == "INVITE" && !s.givesUp(m.CallID, messages[i:]) {
			s.process.site.attempted(m.CallID)
		}
		s.process.takes(s, m)
	}
	switch {
	case s.finished && s.process.keeps:
		clear(s.setUps)
	case s.finished && s.process.resets:
		s.reset()
	case s.finished:
		s.close()
	}
}

// givesUp reports whether the set-up of a call comes with what gives it up right behind it, as after a time in which nothing got through.
func (s *standInConnection) givesUp(id string, messages []*sip.Message) bool {
	return s.finished || slices.ContainsFunc(messages, func(m *sip.Message) bool { return m.Method == "CANCEL" && m.CallID == id })
}

// Write queues a message.
func (s *standInConnection) Write(p []byte) { s.WriteThen(p, func() {}) }

// WriteThen queues a message.
func (s *standInConnection) WriteThen(p []byte, then func()) conn.Ticket {
	if s.closed || s.finished {
		return 0
	}
	s.tickets++
	s.out = append(s.out, standInWrite{p, then, s.tickets})
	return s.tickets
}

// Recall takes a message back that has not left.
func (s *standInConnection) Recall(ticket conn.Ticket) bool {
	i := slices.IndexFunc(s.out, func(w standInWrite) bool { return w.ticket == ticket })
	if i < 0 {
		return false
	}
	s.out = slices.Delete(s.out, i, i+1)
	return true
}

// Flush sends what is queued.
func (s *standInConnection) Flush() {
	if s.full {
		return
	}
	out := s.out
	s.out = nil
	for _, w := range out {
		s.read.Write(w.text)
		s.noteCancel(w.text)
		w.then()
	}
	s.reaches()
}

// noteCancel keeps which set-ups the pool's side has cancelled.
func (s *standInConnection) noteCancel(text []byte) {
	copied := ring.New(len(text) + 1)
	copied.Write(text)
	var dec sip.Decoder
	if m, err := dec.Next(copied); err == nil && m != nil && m.Method == "CANCEL" {
		s.cancelled[m.CallID] = true
	}
}

// Unsent is what waits for the socket.
func (s *standInConnection) Unsent() int { return len(s.out) }

// Unread reports that nothing waits.
func (s *standInConnection) Unread() bool { return false }

// EndedAt is when the connection ended.
func (s *standInConnection) EndedAt() time.Time { return s.endedAt }

// Finish ends the pool's side and reads on.
func (s *standInConnection) Finish(within time.Duration) {
	s.Flush()
	s.finished = true
	s.reaches()
	s.out = nil
	s.loop.After(within, func() { s.Abort(conn.ErrClosedHere) })
}

// Close ends the pool's side, and discards what still comes.
func (s *standInConnection) Close(reason error) {
	if s.closed {
		return
	}
	s.Flush()
	s.finished = true
	s.reaches()
	s.ended(reason)
}

// Abort ends the connection at once.
func (s *standInConnection) Abort(reason error) {
	if s.closed {
		return
	}
	s.finished = true
	s.reaches()
	s.ended(reason)
}
