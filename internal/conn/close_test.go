package conn

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"cherryrelay/internal/ring"
)

// answeringHandler is a handler that answers the first input and closes its connection.
type answeringHandler struct {
	conn   *Conn
	closed chan<- error
}

const closingMessage = "the answer"

var errAnswered = errors.New("answered")

func (a answeringHandler) Data(in *ring.Buffer, _ time.Time) error {
	in.Discard(in.Len())
	a.conn.Write([]byte(closingMessage))
	return errAnswered
}
func (a answeringHandler) Closed(reason error) { a.closed <- reason }

// startAnsweringListener starts a listener with an answeringHandler for each connection. The channel receives the close reasons.
func startAnsweringListener(t *testing.T, maxConns int) (*Listener, chan error) {
	t.Helper()
	loop, closed := make(fakeLoop, 1024), make(chan error, 1024)
	go func() {
		for f := range loop {
			f()
		}
	}()
	l, err := Listen(loop, "127.0.0.1:0", maxConns, func(c *Conn) Handler { return answeringHandler{c, closed} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Shutdown() })
	return l, closed
}

func dialListener(t *testing.T, l *Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// expectClosingMessage reads the connection to its end and expects the closing message and an orderly close.
func expectClosingMessage(t *testing.T, c net.Conn) {
	t.Helper()
	if text, err := io.ReadAll(c); err != nil || string(text) != closingMessage {
		t.Errorf("received %q and the error %v, want the closing message and an end without a reset", text, err)
	}
}

// TestClosingMessageSurvivesLateInput guards against the loss of the closing message: a socket that is closed with unread input sends a
// reset, and the peer loses what it has not read by then. Input after the close must therefore be read and discarded.
func TestClosingMessageSurvivesLateInput(t *testing.T) {
	l, closed := startAnsweringListener(t, 0)
	c := dialListener(t, l)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := <-closed; !errors.Is(err, errAnswered) {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte(strings.Repeat("more", 64<<10))); err != nil { // after the close
		t.Fatal(err)
	}
	expectClosingMessage(t, c)
}

// waitForSocketCount waits until the listener's connections hold n descriptors.
func waitForSocketCount(t *testing.T, l *Listener, n int, timeout time.Duration) {
	t.Helper()
	for start := time.Now(); l.SocketCount() != n; time.Sleep(time.Millisecond) {
		if time.Since(start) > timeout {
			t.Fatalf("the connections hold %d descriptors after %v, want %d", l.SocketCount(), timeout, n)
		}
	}
}

// TestCloseIsBounded checks that a closed connection releases its descriptor soon, even if the peer does not close or goes on sending.
func TestCloseIsBounded(t *testing.T) {
	for name, afterClose := range map[string]func(*net.TCPConn){
		"peer stays idle": func(*net.TCPConn) {},
		"peer goes on sending": func(c *net.TCPConn) {
			for chunk := make([]byte, 64<<10); ; {
				if _, err := c.Write(chunk); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := startAnsweringListener(t, 0)
			c := dialListener(t, l)
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			expectClosingMessage(t, c)
			waitForSocketCount(t, l, 1, testTimeout)
			go afterClose(c)
			waitForSocketCount(t, l, 0, testTimeout)
		})
	}
}

// TestConnectionBeyondLimitWaits checks that a connection beyond the limit is not closed, and is accepted once another one has ended or
// has lingered for minLinger after a close by this side.
func TestConnectionBeyondLimitWaits(t *testing.T) {
	l, _ := startAnsweringListener(t, 1)
	first, second := dialListener(t, l), dialListener(t, l)
	waitForSocketCount(t, l, 1, testTimeout)
	for _, c := range []net.Conn{first, second} {
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	expectClosingMessage(t, first)
	expectClosingMessage(t, second) // the first connection lingers, because its peer has not closed
}

// TestShutdownSendsClosingMessage checks that the peer can read output that is buffered at the shutdown of the listener, even if the peer
// goes on sending.
func TestShutdownSendsClosingMessage(t *testing.T) {
	loop, connected := make(fakeLoop, 1024), make(chan *Conn, 1)
	l, err := Listen(loop, "127.0.0.1:0", 0, func(c *Conn) Handler { connected <- c; return make(closedRecorder, 1) })
	if err != nil {
		t.Fatal(err)
	}
	peer := dialListener(t, l)
	(<-loop)()
	c := <-connected
	c.Write([]byte(closingMessage)) // the event loop runs nothing more and does not flush it
	done := make(chan error, 1)
	go func() { done <- l.Shutdown() }()
	_, _ = peer.Write([]byte(strings.Repeat("more", 16<<10)))
	expectClosingMessage(t, peer)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestInputHeldByPollerIsReported guards against closing a connection whose input was read from the socket but has not reached the ring. On
// a busy machine netpoll's poller was descheduled for 0.1 s after it had read a set-up, and the connection was closed as idle.
func TestInputHeldByPollerIsReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	nc, err := ln.(*net.TCPListener).AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	file, err := nc.File()
	if err := errors.Join(err, nc.Close()); err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd := int(file.Fd())
	c := newConn(make(fakeLoop, 16), stubPolledConnection{fd: fd, reader: netpoll.NewLinkBuffer()})
	if !c.AllInputRead() || !c.NoPendingInput() {
		t.Error("input is reported before any has arrived")
	}
	if _, err := peer.Write([]byte("set-up")); err != nil {
		t.Fatal(err)
	}
	read := make([]byte, 16)
	if n, err := syscall.Read(fd, read); n != len("set-up") || err != nil { // like the poller before it makes the bytes available
		t.Fatal(n, err)
	}
	if !c.NoPendingInput() {
		t.Error("the bytes are reported as pending, so that the count of received bytes is not needed any more")
	}
	if c.AllInputRead() {
		t.Error("all input is reported as read before any has reached the ring")
	}
	c.countRead(len("set-up"))
	if !c.AllInputRead() {
		t.Error("input is reported as unread after it has reached the ring")
	}
}

// stubPolledConnection is a netpoll connection whose poller has read bytes and has not made them available.
type stubPolledConnection struct {
	netpoll.Connection
	fd     int
	reader netpoll.Reader
}

func (s stubPolledConnection) Reader() netpoll.Reader { return s.reader }
func (s stubPolledConnection) Fd() int                { return s.fd }
