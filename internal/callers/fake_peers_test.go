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

// closeTransit is how long the end of a connection is in transit when it does not arrive at once.
const closeTransit = 5 * time.Millisecond

// fakeDispatchers hold one attempt, and handle it as the test demands. All methods run on the loop.
type fakeDispatchers struct {
	core           *call.Core
	attemptPending bool // an attempt of the call has no answer yet
	attempt        int
	established    bool // the call is established there
}

// Update ignores the list.
func (d *fakeDispatchers) Update(call.Update) {}

// SetUp records an attempt of the call.
func (d *fakeDispatchers) SetUp(_ control.ServerID, s call.SetUp) {
	if s.ID == testCallID {
		d.attemptPending, d.attempt = true, s.Attempt
	}
}

// CancelAttempt cancels the attempt.
func (d *fakeDispatchers) CancelAttempt(_ control.ServerID, id string, _ int) bool {
	if id == testCallID {
		d.attemptPending = false
	}
	return false
}

// Release ends the call.
func (d *fakeDispatchers) Release(_ control.ServerID, id string, _ int) {
	if id == testCallID {
		d.established = false
	}
}

// Probe does nothing.
func (d *fakeDispatchers) Probe(control.ServerID) {}

// Ping does nothing.
func (d *fakeDispatchers) Ping(control.ServerID, string, int, func(bool)) {}

// Reconnect does nothing.
func (d *fakeDispatchers) Reconnect(control.ServerID) {}

// answer reports the answer to the attempt.
func (d *fakeDispatchers) answer() bool {
	if !d.attemptPending {
		return false
	}
	d.attemptPending, d.established = false, true
	d.core.Answered(testServer, testCallID, d.attempt, "description")
	return true
}

// endCall reports the end of the call by its ID alone, as if it came on another connection.
func (d *fakeDispatchers) endCall() bool {
	if !d.established {
		return false
	}
	d.established = false
	d.core.Released(testServer, testCallID, -1, call.CauseNormal, nil)
	return true
}

// endBeforeAnswer reports the end of the call before its answer.
func (d *fakeDispatchers) endBeforeAnswer() bool {
	if !d.attemptPending {
		return false
	}
	d.core.Released(testServer, testCallID, -1, call.CauseNormal, nil)
	return true
}

// fakeListener counts the connections, and accepts them up to its limit.
type fakeListener struct{ limit, held int }

// Start does nothing.
func (l *fakeListener) Start() error { return nil }

// Stop does nothing.
func (l *fakeListener) Stop() {}

// File returns an error: there is no socket.
func (l *fakeListener) File() (*os.File, error) { return nil, os.ErrInvalid }

// SetShared does nothing.
func (l *fakeListener) SetShared(bool) {}

// Address returns no address.
func (l *fakeListener) Address() string { return "" }

// SetMaxConnections sets the maximum number of connections.
func (l *fakeListener) SetMaxConnections(limit int) { l.limit = limit }

// SocketCount returns the number of connections.
func (l *fakeListener) SocketCount() int { return l.held }

// Full reports whether the limit is reached.
func (l *fakeListener) Full() bool { return l.limit > 0 && l.held >= l.limit }

// HasBacklog returns false: no connections wait.
func (l *fakeListener) HasBacklog() bool { return false }

// Shutdown does nothing.
func (l *fakeListener) Shutdown() error { return nil }

// fakeCaller is a calling program whose connections have no sockets. All methods run on the loop.
type fakeCaller struct {
	harness    *harness
	conns      []*fakeConn // all connections that it has opened
	paused     bool        // it reads nothing
	bufferFull bool        // its kernel accepts nothing
	inputHeld  bool        // what it sends stays in the controller's kernel
}

// openConn opens a connection.
func (p *fakeCaller) openConn() *fakeConn {
	c := &fakeConn{caller: p, loop: p.harness.core.Loop(), input: ring.New(32 << 10), in: ring.New(64 << 10)}
	c.client = p.harness.newClient(c)
	p.conns = append(p.conns, c)
	p.harness.listener.held++
	c.handler = p.harness.front.accept(c)
	c.client.open()
	return c
}

// openConns returns the connections that neither side has closed.
func (p *fakeCaller) openConns() []*fakeConn {
	return slices.DeleteFunc(slices.Clone(p.conns), func(c *fakeConn) bool { return !c.isOpen() })
}

// readAll reads what has arrived, unless the caller is paused.
func (p *fakeCaller) readAll() {
	if p.paused {
		return
	}
	for _, c := range p.conns {
		c.readByCaller()
	}
}

// deliverAll delivers the contents of the controller's kernel to the front.
func (p *fakeCaller) deliverAll() {
	if p.inputHeld {
		return
	}
	for _, c := range p.conns {
		c.deliver()
	}
}

// unblock ends all pauses and blocks, and reports whether there were any.
func (p *fakeCaller) unblock() bool {
	held := p.paused || p.bufferFull || p.inputHeld
	p.paused, p.bufferFull, p.inputHeld = false, false, false
	for _, c := range p.conns {
		c.Flush()
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

// lineClient uses JSON lines.
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
		c.caller.harness.violation("the caller cannot decode a line: %v", err)
	}
	return m
}

// apiClient uses the call-control API.
type apiClient struct {
	*fakeConn
	opening websocket.ClientHandshake
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
		opened, err := c.opening.ReadResponse(c.in)
		if err != nil {
			c.caller.harness.violation("the handshake failed: %v", err)
		}
		if c.opened = opened; !opened {
			return nil
		}
	}
	for {
		m, err := c.dec.Next(c.in)
		switch {
		case err != nil:
			c.caller.harness.violation("the caller cannot decode a frame: %v", err)
			return nil
		case m == nil:
			return nil
		case m.Op == websocket.Text:
			message, err := jsonl.Parse(m.Payload)
			if err != nil {
				c.caller.harness.violation("the caller cannot decode a message: %v", err)
			}
			return message
		}
	}
}

// fakeConn is a connection between the front and a caller. It behaves like *conn.Conn over a Linux socket.
type fakeConn struct {
	caller  *fakeCaller
	client  clientProtocol
	loop    *call.Loop
	handler conn.Handler

	// State of the caller's side.
	receiveBuffer   bytes.Buffer // received, but not read by the program
	in              *ring.Buffer // read by the program
	sentSetUp       bool         // a set-up was sent
	forHealthChecks bool         // it is used only for health checks
	sentPing        bool         // a ping was sent
	callerClosed    bool
	halfClosed      bool
	endedByCaller   bool // the caller has ended its side before the controller did
	closedLate      bool // the controller closed it with output that the kernel did not accept, after the caller's deadline

	// State of the controller's side.
	kernelInput   bytes.Buffer // received by the kernel
	fin, rst      bool         // after that input
	input         *ring.Buffer
	readPosted    bool // a call of read is posted to the loop
	writeQueue    []queuedWrite
	ended         bool // the controller knows of the end, or has caused it
	reason        error
	closeReported bool
	endedAt       time.Time
	closed        bool // the controller's closing message has been delivered to the caller
}

type queuedWrite struct {
	text []byte
	then func()
}

// isOpen reports whether neither side has closed.
func (c *fakeConn) isOpen() bool { return !c.callerClosed && !c.halfClosed && !c.closed }

// awaitsPing reports whether it is for health checks, but no ping was sent: it cannot be distinguished from others yet.
func (c *fakeConn) awaitsPing() bool { return c.forHealthChecks && !c.sentPing }

// sendBytes sends bytes from the caller.
func (c *fakeConn) sendBytes(text []byte) {
	if c.callerClosed || c.halfClosed || c.rst {
		return
	}
	c.kernelInput.Write(text)
	c.caller.deliverAll()
}

// readByCaller reads what the caller's kernel has received, and closes the caller's side if the controller has closed.
func (c *fakeConn) readByCaller() {
	if c.callerClosed {
		return
	}
	c.in.Write(c.receiveBuffer.Bytes())
	c.receiveBuffer.Reset()
	for m := c.client.next(); m != nil; m = c.client.next() {
		c.caller.harness.received(c, m)
	}
	if c.closed {
		c.callerClosed = true
	}
}

// halfClose closes the caller's side for writing.
func (c *fakeConn) halfClose() {
	c.halfClosed, c.fin, c.endedByCaller = true, true, true
	c.caller.deliverAll()
}

// close closes the caller's side. If there is unread input, the caller's kernel sends a reset.
func (c *fakeConn) close() {
	c.markCallerClosed()
	c.deliverClose()
}

// closeDelayed closes the caller's side; the controller notices that a moment later.
func (c *fakeConn) closeDelayed() {
	c.markCallerClosed()
	c.loop.After(closeTransit, c.deliverClose)
}

func (c *fakeConn) markCallerClosed() {
	c.callerClosed, c.endedByCaller = true, true
}

func (c *fakeConn) deliverClose() {
	c.recordDiscarded()
	c.rst = c.rst || c.receiveBuffer.Len() > 0
	c.fin = true
	c.caller.deliverAll()
}

// recordDiscarded records that the caller has not read what was sent before the controller's close.
func (c *fakeConn) recordDiscarded() {
	if c.closed && c.receiveBuffer.Len() > 0 {
		c.caller.harness.discarded = true
	}
}

// reset resets the connection from the caller's side.
func (c *fakeConn) reset() {
	c.recordDiscarded()
	c.markCallerClosed()
	c.rst, c.fin = true, true
	c.caller.deliverAll()
}

// deliver passes the contents of the controller's kernel to the handler.
func (c *fakeConn) deliver() {
	if c.ended {
		c.kernelInput.Reset()
		return
	}
	if c.kernelInput.Len() > 0 {
		c.input.Write(c.kernelInput.Bytes())
		c.kernelInput.Reset()
		if !c.readPosted {
			c.readPosted = true
			c.loop.Post(c.read)
		}
	}
	switch {
	case c.rst:
		c.markEnded(conn.ErrReset)
	case c.fin:
		c.markEnded(io.EOF)
	}
}

func (c *fakeConn) read() {
	c.readPosted = false
	if c.closeReported || c.closed {
		return
	}
	if err := c.handler.Data(c.input, time.Now()); err != nil {
		c.Close(err)
	}
}

// markEnded records the end of the connection, and reports it to the handler.
func (c *fakeConn) markEnded(reason error) {
	if c.ended {
		return
	}
	c.ended, c.reason, c.endedAt = true, reason, time.Now()
	c.loop.Post(c.reportClosed)
}

func (c *fakeConn) reportClosed() {
	if c.closeReported {
		return
	}
	c.read()
	c.closeReported, c.closed = true, true
	c.caller.harness.listener.held--
	c.handler.Closed(c.reason)
	c.caller.readAll()
}

// Write queues a message.
func (c *fakeConn) Write(p []byte) { c.WriteThen(p, func() {}) }

// WriteThen queues a message, and runs a function once it is written to the kernel.
func (c *fakeConn) WriteThen(p []byte, then func()) conn.Ticket {
	if c.closeReported || len(p) == 0 {
		return 0
	}
	c.caller.harness.recordWrite(p)
	c.writeQueue = append(c.writeQueue, queuedWrite{slices.Clone(p), then})
	return 1
}

// Flush writes what is queued, if the kernel accepts it.
func (c *fakeConn) Flush() {
	switch {
	case c.closeReported || len(c.writeQueue) == 0 || c.caller.bufferFull:
	case c.ended:
	case c.rst:
		c.writeQueue = nil
	default:
		c.writeToKernel()
	}
}

// writeToKernel writes what is queued.
func (c *fakeConn) writeToKernel() {
	queued := c.writeQueue
	c.writeQueue = nil
	for _, w := range queued {
		w.then()
		if c.callerClosed {
			continue
		}
		c.receiveBuffer.Write(w.text)
	}
	if c.callerClosed && len(queued) > 0 {
		c.loop.After(closeTransit, func() { // it arrives at a closed socket
			c.rst, c.fin = true, true
			c.caller.deliverAll()
		})
	}
	c.caller.readAll()
}

// Unsent returns the number of queued messages.
func (c *fakeConn) Unsent() int { return len(c.writeQueue) }

// NoPendingInput reports whether no input is left to process.
func (c *fakeConn) NoPendingInput() bool {
	return c.ended || !c.readPosted && c.input.Len() == 0 && c.kernelInput.Len() == 0
}

// AllInputRead reports whether there is no input in the kernel.
func (c *fakeConn) AllInputRead() bool { return c.ended || c.kernelInput.Len() == 0 }

// HasUnreadInput reports whether there is input in the kernel.
func (c *fakeConn) HasUnreadInput() bool { return !c.ended && c.kernelInput.Len() > 0 }

// ProcessInput has the handler process its input.
func (c *fakeConn) ProcessInput() {
	if c.readPosted {
		c.read()
	}
}

// PeerClosed reports whether the end of the caller's side is next in the kernel.
func (c *fakeConn) PeerClosed() bool {
	return c.ended || c.rst || c.fin && c.kernelInput.Len() == 0
}

// EndedAt returns the time at which the connection ended.
func (c *fakeConn) EndedAt() time.Time { return c.endedAt }

// Remote returns no address.
func (c *fakeConn) Remote() string { return "" }

// Close writes what is queued as far as the kernel accepts it, and ends the connection.
func (c *fakeConn) Close(reason error) {
	if c.ended {
		return
	}
	if c.awaitsPing() {
		c.caller.harness.lastStepAt = time.Now()
	}
	if !c.caller.bufferFull && !c.rst {
		c.writeToKernel()
	}
	c.closedLate = len(c.writeQueue) > 0 && time.Now().After(c.caller.harness.answerDeadline)
	c.closed = true
	c.markEnded(reason)
	c.caller.readAll()
}
