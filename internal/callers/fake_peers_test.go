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

// closeTransit is how long the end of a connection is on its way where it is not there at once.
const closeTransit = 5 * time.Millisecond

// fakeDispatchers hold one attempt, and do with it what they are told to. All of it runs on the loop.
type fakeDispatchers struct {
	core           *call.Core
	attemptPending bool // an attempt at the call waits for its answer
	attempt        int
	established    bool // the call stands there
}

// Update takes no notice of the list.
func (d *fakeDispatchers) Update(call.Update) {}

// SetUp takes an attempt.
func (d *fakeDispatchers) SetUp(_ control.ServerID, s call.SetUp) {
	if s.ID == testCallID {
		d.attemptPending, d.attempt = true, s.Attempt
	}
}

// CancelAttempt gives an attempt up.
func (d *fakeDispatchers) CancelAttempt(_ control.ServerID, id string, _ int) {
	if id == testCallID {
		d.attemptPending = false
	}
}

// Release cuts a call.
func (d *fakeDispatchers) Release(_ control.ServerID, id string, _ int) {
	if id == testCallID {
		d.established = false
	}
}

// Probe is answered by nobody.
func (d *fakeDispatchers) Probe(control.ServerID) {}

// Ping has no reply.
func (d *fakeDispatchers) Ping(control.ServerID, string, int, func(bool)) {}

// Reconnect opens nothing.
func (d *fakeDispatchers) Reconnect(control.ServerID) {}

// answer tells that the call stands.
func (d *fakeDispatchers) answer() bool {
	if !d.attemptPending {
		return false
	}
	d.attemptPending, d.established = false, true
	d.core.Answered(testServer, testCallID, d.attempt, "description")
	return true
}

// endCall tells the end of the call, by its name alone as on another connection.
func (d *fakeDispatchers) endCall() bool {
	if !d.established {
		return false
	}
	d.established = false
	d.core.Released(testServer, testCallID, -1, call.CauseNormal, nil)
	return true
}

// endBeforeAnswer tells the end of the call ahead of its answer.
func (d *fakeDispatchers) endBeforeAnswer() bool {
	if !d.attemptPending {
		return false
	}
	d.core.Released(testServer, testCallID, -1, call.CauseNormal, nil)
	return true
}

// fakeListener has connections as long as there is room for them.
type fakeListener struct{ limit, held int }

// Start does nothing.
func (l *fakeListener) Start() error { return nil }

// Stop does nothing.
func (l *fakeListener) Stop() {}

// Share has nothing to share.
func (l *fakeListener) Share() (*os.File, error) { return nil, os.ErrInvalid }

// Shared does nothing.
func (l *fakeListener) Shared(bool) {}

// Address is no address.
func (l *fakeListener) Address() string { return "" }

// Limit bounds the connections.
func (l *fakeListener) Limit(most int) { l.limit = most }

// Held is the number of connections.
func (l *fakeListener) Held() int { return l.held }

// Full reports whether there is no room.
func (l *fakeListener) Full() bool { return l.limit > 0 && l.held >= l.limit }

// Waiting reports that nobody waits.
func (l *fakeListener) Waiting() bool { return false }

// Shutdown does nothing.
func (l *fakeListener) Shutdown() error { return nil }

// fakeCaller is a program that calls, over connections without sockets. All of it runs on the loop.
type fakeCaller struct {
	harness    *harness
	conns      []*fakeConn // all that it opened
	paused     bool        // it reads nothing
	bufferFull bool        // its kernel takes nothing in
	inputHeld  bool        // what it sends stays in the controller's kernel
}

// openConn opens a connection.
func (p *fakeCaller) openConn() *fakeConn {
	s := &fakeConn{caller: p, loop: p.harness.core.Loop(), input: ring.New(32 << 10), in: ring.New(64 << 10)}
	s.client = p.harness.newClient(s)
	p.conns = append(p.conns, s)
	p.harness.listener.held++
	s.handler = p.harness.front.accept(s)
	s.client.open()
	return s
}

// openConns are the connections that it has not closed.
func (p *fakeCaller) openConns() []*fakeConn {
	return slices.DeleteFunc(slices.Clone(p.conns), func(s *fakeConn) bool { return !s.isOpen() })
}

// readAll has it read what has come, unless it stands still.
func (p *fakeCaller) readAll() {
	if p.paused {
		return
	}
	for _, s := range p.conns {
		s.readByCaller()
	}
}

// deliverAll has the controller be shown what lies in its kernel.
func (p *fakeCaller) deliverAll() {
	if p.inputHeld {
		return
	}
	for _, s := range p.conns {
		s.deliver()
	}
}

// unblock has all that was held back go on, and reports whether anything was.
func (p *fakeCaller) unblock() bool {
	held := p.paused || p.bufferFull || p.inputHeld
	p.paused, p.bufferFull, p.inputHeld = false, false, false
	for _, s := range p.conns {
		s.Flush()
	}
	p.readAll()
	p.deliverAll()
	return held
}

// clientProtocol is the caller's side of a format.
type clientProtocol interface {
	open()
	send(m jsonl.Message)
	next() *jsonl.Message
}

// lineClient speaks JSON lines.
type lineClient struct {
	*fakeConn
	dec jsonl.Decoder
}

func (c *lineClient) open() {}

func (c *lineClient) send(m jsonl.Message) {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		panic(err)
	}
	c.sendBytes(append(text, '\n'))
}

func (c *lineClient) next() *jsonl.Message {
	m, err := c.dec.Next(c.in)
	if err != nil {
		c.caller.harness.violation("the caller can't read a line: %v", err)
	}
	return m
}

// apiClient speaks the call-control API.
type apiClient struct {
	*fakeConn
	opening websocket.Opening
	dec     websocket.Decoder
	opened  bool
}

func (c *apiClient) open() { c.sendBytes(c.opening.Request("host", testPath)) }

func (c *apiClient) send(m jsonl.Message) {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		panic(err)
	}
	c.sendBytes(websocket.Append(nil, websocket.Text, text, true))
}

func (c *apiClient) next() *jsonl.Message {
	if !c.opened {
		opened, err := c.opening.Done(c.in)
		if err != nil {
			c.caller.harness.violation("the caller can't open: %v", err)
		}
		if c.opened = opened; !opened {
			return nil
		}
	}
	for {
		m, err := c.dec.Next(c.in)
		switch {
		case err != nil:
			c.caller.harness.violation("the caller can't read a frame: %v", err)
			return nil
		case m == nil:
			return nil
		case m.Op == websocket.Text:
			message, err := jsonl.Parse(m.Payload)
			if err != nil {
				c.caller.harness.violation("the caller can't read a message: %v", err)
			}
			return message
		}
	}
}

// fakeConn is a connection between the front and a caller. It behaves as *conn.Conn over a Linux socket does.
type fakeConn struct {
	caller  *fakeCaller
	client  clientProtocol
	loop    *call.Loop
	handler conn.Handler

	// The caller's side.
	receiveBuffer   bytes.Buffer // received, and not read by the program
	in              *ring.Buffer // read by it
	sentSetUp       bool         // a set-up was sent
	forHealthChecks bool         // it is for tests alone
	sentPing        bool         // a test was sent
	callerClosed    bool
	halfClosed      bool
	endedByCaller   bool // the caller has ended its side, and not as the controller did
	closedLate      bool // the controller has closed it with words waiting for a kernel that took nothing, as the caller's time was over

	// The controller's side.
	kernelInput   bytes.Buffer // in the kernel
	fin, rst      bool         // behind that
	input         *ring.Buffer
	readPosted    bool // the handler is to be told of what is shown
	writeQueue    []queuedWrite
	ended         bool // the controller knows of the end, or has made it
	reason        error
	closeReported bool
	endedAt       time.Time
	closed        bool // the controller's last words are with the caller
}

type queuedWrite struct {
	text []byte
	then func()
}

// isOpen reports whether neither side has closed.
func (s *fakeConn) isOpen() bool { return !s.callerClosed && !s.halfClosed && !s.closed }

// awaitsPing reports whether it is for tests, and none has been sent: it can't be told from others.
func (s *fakeConn) awaitsPing() bool { return s.forHealthChecks && !s.sentPing }

// sendBytes has the caller send bytes.
func (s *fakeConn) sendBytes(text []byte) {
	if s.callerClosed || s.halfClosed || s.rst {
		return
	}
	s.kernelInput.Write(text)
	s.caller.deliverAll()
}

// readByCaller has the program read what its kernel has received, and close where the controller did.
func (s *fakeConn) readByCaller() {
	if s.callerClosed {
		return
	}
	s.in.Write(s.receiveBuffer.Bytes())
	s.receiveBuffer.Reset()
	for m := s.client.next(); m != nil; m = s.client.next() {
		s.caller.harness.received(s, m)
	}
	if s.closed {
		s.callerClosed = true
	}
}

// halfClose has the caller end its side.
func (s *fakeConn) halfClose() {
	s.halfClosed, s.fin, s.endedByCaller = true, true, true
	s.caller.deliverAll()
}

// close has the caller close. With words of the controller's unread, its kernel sends a reset.
func (s *fakeConn) close() {
	s.markCallerClosed()
	s.deliverClose()
}

// closeDelayed is close with the end on its way for a moment.
func (s *fakeConn) closeDelayed() {
	s.markCallerClosed()
	s.loop.After(closeTransit, s.deliverClose)
}

func (s *fakeConn) markCallerClosed() {
	s.callerClosed, s.endedByCaller = true, true
}

func (s *fakeConn) deliverClose() {
	s.recordDiscarded()
	s.rst = s.rst || s.receiveBuffer.Len() > 0
	s.fin = true
	s.caller.deliverAll()
}

// recordDiscarded notes whether the caller has not read what is ahead of the controller's close.
func (s *fakeConn) recordDiscarded() {
	if s.closed && s.receiveBuffer.Len() > 0 {
		s.caller.harness.discarded = true
	}
}

// reset has the caller reset.
func (s *fakeConn) reset() {
	s.recordDiscarded()
	s.markCallerClosed()
	s.rst, s.fin = true, true
	s.caller.deliverAll()
}

// deliver has the handler be told of what lies in the kernel.
func (s *fakeConn) deliver() {
	if s.ended {
		s.kernelInput.Reset()
		return
	}
	if s.kernelInput.Len() > 0 {
		s.input.Write(s.kernelInput.Bytes())
		s.kernelInput.Reset()
		if !s.readPosted {
			s.readPosted = true
			s.loop.Post(s.read)
		}
	}
	switch {
	case s.rst:
		s.markEnded(conn.ErrReset)
	case s.fin:
		s.markEnded(io.EOF)
	}
}

func (s *fakeConn) read() {
	s.readPosted = false
	if s.closeReported || s.closed {
		return
	}
	if err := s.handler.Data(s.input, time.Now()); err != nil {
		s.Close(err)
	}
}

// markEnded notes the end of the connection.
func (s *fakeConn) markEnded(reason error) {
	if s.ended {
		return
	}
	s.ended, s.reason, s.endedAt = true, reason, time.Now()
	s.loop.Post(s.reportClosed)
}

func (s *fakeConn) reportClosed() {
	if s.closeReported {
		return
	}
	s.read()
	s.closeReported, s.closed = true, true
	s.caller.harness.listener.held--
	s.handler.Closed(s.reason)
	s.caller.readAll()
}

// Write queues a message.
func (s *fakeConn) Write(p []byte) { s.WriteThen(p, func() {}) }

// WriteThen queues a message, and runs a function once it is with the kernel.
func (s *fakeConn) WriteThen(p []byte, then func()) conn.Ticket {
	if s.closeReported || len(p) == 0 {
		return 0
	}
	s.caller.harness.recordWrite(p)
	s.writeQueue = append(s.writeQueue, queuedWrite{slices.Clone(p), then})
	return 1
}

// Flush sends what is queued, if the kernel takes it.
func (s *fakeConn) Flush() {
	switch {
	case s.closeReported || len(s.writeQueue) == 0 || s.caller.bufferFull:
	case s.ended:
	case s.rst:
		s.writeQueue = nil
	default:
		s.writeToKernel()
	}
}

// writeToKernel has what is queued leave.
func (s *fakeConn) writeToKernel() {
	out := s.writeQueue
	s.writeQueue = nil
	for _, w := range out {
		w.then()
		if s.callerClosed {
			continue
		}
		s.receiveBuffer.Write(w.text)
	}
	if s.callerClosed && len(out) > 0 {
		s.loop.After(closeTransit, func() { // it meets a socket that is closed
			s.rst, s.fin = true, true
			s.caller.deliverAll()
		})
	}
	s.caller.readAll()
}

// Unsent is what waits for the kernel.
func (s *fakeConn) Unsent() int { return len(s.writeQueue) }

// Quiet reports whether nothing of the caller's waits.
func (s *fakeConn) Quiet() bool {
	return s.ended || !s.readPosted && s.input.Len() == 0 && s.kernelInput.Len() == 0
}

// AllTaken reports whether nothing is in the kernel.
func (s *fakeConn) AllTaken() bool { return s.ended || s.kernelInput.Len() == 0 }

// Unread reports whether something is.
func (s *fakeConn) Unread() bool { return !s.ended && s.kernelInput.Len() > 0 }

// Hear has the handler take in what is shown.
func (s *fakeConn) Hear() {
	if s.readPosted {
		s.read()
	}
}

// Left reports whether the caller's end is what lies next in the kernel.
func (s *fakeConn) Left() bool {
	return s.ended || s.rst || s.fin && s.kernelInput.Len() == 0
}

// EndedAt is when the connection ended.
func (s *fakeConn) EndedAt() time.Time { return s.endedAt }

// Remote is no address.
func (s *fakeConn) Remote() string { return "" }

// Close writes what is queued as far as the kernel takes it, and ends the connection.
func (s *fakeConn) Close(reason error) {
	if s.ended {
		return
	}
	if s.awaitsPing() {
		s.caller.harness.lastStepAt = time.Now()
	}
	if !s.caller.bufferFull && !s.rst {
		s.writeToKernel()
	}
	s.closedLate = len(s.writeQueue) > 0 && time.Now().After(s.caller.harness.answerDeadline)
	s.closed = true
	s.markEnded(reason)
	s.caller.readAll()
}
