package callers

import (
	"bytes"
	"io"
	"os"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/websocket"
)

// finalFlight is how long the end of a connection is on its way where it is not there at once.
const finalFlight = 5 * time.Millisecond

// standInDispatchers hold one attempt, and do with it what they are told to. All of it runs on the loop.
type standInDispatchers struct {
	core     *call.Core
	out      bool // an attempt at the call waits for its answer
	attempt  int
	answered bool // the call stands there
}

// Update takes no notice of the list.
func (d *standInDispatchers) Update(call.Update) {}

// SetUp takes an attempt.
func (d *standInDispatchers) SetUp(_ control.ServerID, s call.SetUp) {
	if s.ID == orderedID {
		d.out, d.attempt = true, s.Attempt
	}
}

// CancelAttempt gives an attempt up.
func (d *standInDispatchers) CancelAttempt(_ control.ServerID, id string, _ int) {
	if id == orderedID {
		d.out = false
	}
}

// Release cuts a call.
func (d *standInDispatchers) Release(_ control.ServerID, id string, _ int) {
	if id == orderedID {
		d.answered = false
	}
}

// Probe is answered by nobody.
func (d *standInDispatchers) Probe(control.ServerID) {}

// Ping has no reply.
func (d *standInDispatchers) Ping(control.ServerID, string, int, func(bool)) {}

// Reconnect opens nothing.
func (d *standInDispatchers) Reconnect(control.ServerID) {}

// answers tells that the call stands.
func (d *standInDispatchers) answers() bool {
	if !d.out {
		return false
	}
	d.out, d.answered = false, true
	d.core.Answered(orderServer, orderedID, d.attempt, "description")
	return true
}

// ends tells the end of the call, by its name alone as on another connection.
func (d *standInDispatchers) ends() bool {
	if !d.answered {
		return false
	}
	d.answered = false
	d.core.Released(orderServer, orderedID, -1, call.CauseNormal, nil)
	return true
}

// endsFirst tells the end of the call ahead of its answer.
func (d *standInDispatchers) endsFirst() bool {
	if !d.out {
		return false
	}
	d.core.Released(orderServer, orderedID, -1, call.CauseNormal, nil)
	return true
}

// standInListener has connections as long as there is room for them.
type standInListener struct{ most, held int }

// Start does nothing.
func (l *standInListener) Start() error { return nil }

// Stop does nothing.
func (l *standInListener) Stop() {}

// Share has nothing to share.
func (l *standInListener) Share() (*os.File, error) { return nil, os.ErrInvalid }

// Shared does nothing.
func (l *standInListener) Shared(bool) {}

// Address is no address.
func (l *standInListener) Address() string { return "" }

// Limit bounds the connections.
func (l *standInListener) Limit(most int) { l.most = most }

// Held is the number of connections.
func (l *standInListener) Held() int { return l.held }

// Full reports whether there is no room.
func (l *standInListener) Full() bool { return l.most > 0 && l.held >= l.most }

// Waiting reports that nobody waits.
func (l *standInListener) Waiting() bool { return false }

// Shutdown does nothing.
func (l *standInListener) Shutdown() error { return nil }

// standInCaller is a program that calls, over connections without sockets. All of it runs on the loop.
type standInCaller struct {
	site        *orderSite
	connections []*standInConnection // all that it opened
	still       bool                 // it reads nothing
	full        bool                 // its kernel takes nothing in
	unshown     bool                 // what it sends stays in the controller's kernel
}

// opens opens a connection.
func (p *standInCaller) opens() *standInConnection {
	s := &standInConnection{caller: p, loop: p.site.core.Loop(), shown: ring.New(32 << 10), in: ring.New(64 << 10)}
	s.client = p.site.newClient(s)
	p.connections = append(p.connections, s)
	p.site.listener.held++
	s.handler = p.site.front.accept(s)
	s.client.open()
	return s
}

// open are the connections that it has not closed.
func (p *standInCaller) open() []*standInConnection {
	return slices.DeleteFunc(slices.Clone(p.connections), func(s *standInConnection) bool { return !s.isOpen() })
}

// reads has it read what has come, unless it stands still.
func (p *standInCaller) reads() {
	if p.still {
		return
	}
	for _, s := range p.connections {
		s.readByCaller()
	}
}

// shows has the controller be shown what lies in its kernel.
func (p *standInCaller) shows() {
	if p.unshown {
		return
	}
	for _, s := range p.connections {
		s.show()
	}
}

// goesOn has all that was held back go on, and reports whether anything was.
func (p *standInCaller) goesOn() bool {
	held := p.still || p.full || p.unshown
	p.still, p.full, p.unshown = false, false, false
	for _, s := range p.connections {
		s.Flush()
	}
	p.reads()
	p.shows()
	return held
}

// standInClient is the caller's side of a format.
type standInClient interface {
	open()
	send(m jsonl.Message)
	next() *jsonl.Message
}

// lineClient speaks JSON lines.
type lineClient struct {
	*standInConnection
	dec jsonl.Decoder
}

func (c *lineClient) open() {}

func (c *lineClient) send(m jsonl.Message) {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		panic(err)
	}
	c.sends(append(text, '\n'))
}

func (c *lineClient) next() *jsonl.Message {
	m, err := c.dec.Next(c.in)
	if err != nil {
		c.caller.site.fault("the caller can't read a line: %v", err)
	}
	return m
}

// apiClient speaks the call-control API.
type apiClient struct {
	*standInConnection
	opening websocket.Opening
	dec     websocket.Decoder
	opened  bool
}

func (c *apiClient) open() { c.sends(c.opening.Request("host", orderPath)) }

func (c *apiClient) send(m jsonl.Message) {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		panic(err)
	}
	c.sends(websocket.Append(nil, websocket.Text, text, true))
}

func (c *apiClient) next() *jsonl.Message {
	if !c.opened {
		opened, err := c.opening.Done(c.in)
		if err != nil {
			c.caller.site.fault("the caller can't open: %v", err)
		}
		if c.opened = opened; !opened {
			return nil
		}
	}
	for {
		m, err := c.dec.Next(c.in)
		switch {
		case err != nil:
			c.caller.site.fault("the caller can't read a frame: %v", err)
			return nil
		case m == nil:
			return nil
		case m.Op == websocket.Text:
			message, err := jsonl.Parse(m.Payload)
			if err != nil {
				c.caller.site.fault("the caller can't read a message: %v", err)
			}
			return message
		}
	}
}

// standInConnection is a connection between the front and a caller. It behaves as *conn.Conn over a Linux socket does.
type standInConnection struct {
	caller  *standInCaller
	client  standInClient
	loop    *call.Loop
	handler conn.Handler

	// The caller's side.
	kernel       bytes.Buffer // received, and not read by the program
	in           *ring.Buffer // read by it
	asked        bool         // a set-up was sent
	tests        bool         // it is for tests alone
	tested       bool         // a test was sent
	callerClosed bool
	halfClosed   bool
	left         bool // the caller has ended its side, and not as the controller did
	cutLate      bool // the controller has closed it with words waiting for a kernel that took nothing, as the caller's time was over

	// The controller's side.
	unread   bytes.Buffer // in the kernel
	fin, rst bool         // behind that
	shown    *ring.Buffer
	posted   bool // the handler is to be told of what is shown
	out      []standInWrite
	ended    bool // the controller knows of the end, or has made it
	reason   error
	told     bool
	endedAt  time.Time
	closed   bool // the controller's last words are with the caller
}

type standInWrite struct {
	text []byte
	then func()
}

// isOpen reports whether neither side has closed.
func (s *standInConnection) isOpen() bool { return !s.callerClosed && !s.halfClosed && !s.closed }

// awaitsTest reports whether it is for tests, and none has been sent: it can't be told from others.
func (s *standInConnection) awaitsTest() bool { return s.tests && !s.tested }

// sends has the caller send bytes.
func (s *standInConnection) sends(text []byte) {
	if s.callerClosed || s.halfClosed || s.rst {
		return
	}
	s.unread.Write(text)
	s.caller.shows()
}

// readByCaller has the program read what its kernel has received, and close where the controller did.
func (s *standInConnection) readByCaller() {
	if s.callerClosed {
		return
	}
	s.in.Write(s.kernel.Bytes())
	s.kernel.Reset()
	for m := s.client.next(); m != nil; m = s.client.next() {
		s.caller.site.reads(s, m)
	}
	if s.closed {
		s.callerClosed = true
	}
}

// halfClose has the caller end its side.
func (s *standInConnection) halfClose() {
	s.halfClosed, s.fin, s.left = true, true, true
	s.caller.shows()
}

// close has the caller close. With words of the controller's unread, its kernel sends a reset.
func (s *standInConnection) close() {
	s.leave()
	s.closeArrives()
}

// closeInFlight is close with the end on its way for a moment.
func (s *standInConnection) closeInFlight() {
	s.leave()
	s.loop.After(finalFlight, s.closeArrives)
}

func (s *standInConnection) leave() {
	s.callerClosed, s.left = true, true
}

func (s *standInConnection) closeArrives() {
	s.noteDiscarded()
	s.rst = s.rst || s.kernel.Len() > 0
	s.fin = true
	s.caller.shows()
}

// noteDiscarded notes whether the caller has not read what is ahead of the controller's close.
func (s *standInConnection) noteDiscarded() {
	if s.closed && s.kernel.Len() > 0 {
		s.caller.site.discarded = true
	}
}

// reset has the caller reset.
func (s *standInConnection) reset() {
	s.noteDiscarded()
	s.leave()
	s.rst, s.fin = true, true
	s.caller.shows()
}

// show has the handler be told of what lies in the kernel.
func (s *standInConnection) show() {
	if s.ended {
		s.unread.Reset()
		return
	}
	if s.unread.Len() > 0 {
		s.shown.Write(s.unread.Bytes())
		s.unread.Reset()
		if !s.posted {
			s.posted = true
			s.loop.Post(s.read)
		}
	}
	switch {
	case s.rst:
		s.end(conn.ErrReset)
	case s.fin:
		s.end(io.EOF)
	}
}

func (s *standInConnection) read() {
	s.posted = false
	if s.told || s.closed {
		return
	}
	if err := s.handler.Data(s.shown, time.Now()); err != nil {
		s.Close(err)
	}
}

// end notes the end of the connection.
func (s *standInConnection) end(reason error) {
	if s.ended {
		return
	}
	s.ended, s.reason, s.endedAt = true, reason, time.Now()
	s.loop.Post(s.tell)
}

func (s *standInConnection) tell() {
	if s.told {
		return
	}
	s.read()
	s.told, s.closed = true, true
	s.caller.site.listener.held--
	s.handler.Closed(s.reason)
	s.caller.reads()
}

// Write queues a message.
func (s *standInConnection) Write(p []byte) { s.WriteThen(p, func() {}) }

// WriteThen queues a message, and runs a function once it is with the kernel.
func (s *standInConnection) WriteThen(p []byte, then func()) conn.Ticket {
	if s.told || len(p) == 0 {
		return 0
	}
	s.caller.site.writes(p)
	s.out = append(s.out, standInWrite{slices.Clone(p), then})
	return 1
}

// Flush sends what is queued, if the kernel takes it.
func (s *standInConnection) Flush() {
	switch {
	case s.told || len(s.out) == 0 || s.caller.full:
	case s.ended:
	case s.rst:
		s.out = nil
	default:
		s.leaves()
	}
}

// leaves has what is queued leave.
func (s *standInConnection) leaves() {
	out := s.out
	s.out = nil
	for _, w := range out {
		w.then()
		if s.callerClosed {
			continue
		}
		s.kernel.Write(w.text)
	}
	if s.callerClosed && len(out) > 0 {
		s.loop.After(finalFlight, func() { // it meets a socket that is closed
			s.rst, s.fin = true, true
			s.caller.shows()
		})
	}
	s.caller.reads()
}

// Unsent is what waits for the kernel.
func (s *standInConnection) Unsent() int { return len(s.out) }

// Quiet reports whether nothing of the caller's waits.
func (s *standInConnection) Quiet() bool {
	return s.ended || !s.posted && s.shown.Len() == 0 && s.unread.Len() == 0
}

// AllTaken reports whether nothing is in the kernel.
func (s *standInConnection) AllTaken() bool { return s.ended || s.unread.Len() == 0 }

// Unread reports whether something is.
func (s *standInConnection) Unread() bool { return !s.ended && s.unread.Len() > 0 }

// Hear has the handler take in what is shown.
func (s *standInConnection) Hear() {
	if s.posted {
		s.read()
	}
}

// Left reports whether the caller's end is what lies next in the kernel.
func (s *standInConnection) Left() bool {
	return s.ended || s.rst || s.fin && s.unread.Len() == 0
}

// EndedAt is when the connection ended.
func (s *standInConnection) EndedAt() time.Time { return s.endedAt }

// Remote is no address.
func (s *standInConnection) Remote() string { return "" }

// Close writes what is queued as far as the kernel takes it, and ends the connection.
func (s *standInConnection) Close(reason error) {
	if s.ended {
		return
	}
	if s.awaitsTest() {
		s.caller.site.disturbedAt = time.Now()
	}
	if !s.caller.full && !s.rst {
		s.leaves()
	}
	s.cutLate = len(s.out) > 0 && time.Now().After(s.caller.site.givesUpAt)
	s.closed = true
	s.end(reason)
	s.caller.reads()
}
