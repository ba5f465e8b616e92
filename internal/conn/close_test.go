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

// answeringHandler is a handler that answers the first bytes and closes its connection.
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

// startAnsweringListener serves a listener whose connections are answered and closed.
func startAnsweringListener(t *testing.T, most int) (*Listener, chan error) {
	t.Helper()
	posts, ends := make(fakeLoop, 1024), make(chan error, 1024)
	go func() {
		for f := range posts {
			f()
		}
	}()
	l, err := Listen(posts, "127.0.0.1:0", most, func(c *Conn) Handler { return answeringHandler{c, ends} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Shutdown() })
	return l, ends
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

// expectClosingMessage wants the answer and an end in good order.
func expectClosingMessage(t *testing.T, c net.Conn) {
	t.Helper()
	if text, err := io.ReadAll(c); err != nil || string(text) != closingMessage {
		t.Errorf("%q, %v: want the last words, and an end without a reset", text, err)
	}
}

// TestClosingMessageSurvivesLateInput: a socket that is closed with bytes unread sends a reset, and what its peer has not read by then is
// lost. So what still comes after the close is read and discarded.
func TestClosingMessageSurvivesLateInput(t *testing.T) {
	l, ends := startAnsweringListener(t, 0)
	c := dialListener(t, l)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := <-ends; !errors.Is(err, errAnswered) {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte(strings.Repeat("more", 64<<10))); err != nil { // behind the close
		t.Fatal(err)
	}
	expectClosingMessage(t, c)
}

// waitForSocketCount waits until the listener's connections hold so many descriptors.
func waitForSocketCount(t *testing.T, l *Listener, n int, within time.Duration) {
	t.Helper()
	for begun := time.Now(); l.Held() != n; time.Sleep(time.Millisecond) {
		if time.Since(begun) > within {
			t.Fatalf("%d descriptors are held after %v, want %d", l.Held(), within, n)
		}
	}
}

// TestCloseIsBounded: a peer that does not close, or that goes on writing, holds its descriptor for a moment only.
func TestCloseIsBounded(t *testing.T) {
	for name, goOn := range map[string]func(*net.TCPConn){
		"silent": func(*net.TCPConn) {},
		"writes": func(c *net.TCPConn) {
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
			go goOn(c)
			waitForSocketCount(t, l, 0, testTimeout)
		})
	}
}

// TestConnectionBeyondLimitWaits: it isn't closed, and is accepted as soon as another has ended, or one that this side has closed has
// had its moment.
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
	expectClosingMessage(t, second) // the first one's peer has not closed its side
}

// TestShutdownSendsClosingMessage: what is queued as the listener ends is read, though the peer goes on writing.
func TestShutdownSendsClosingMessage(t *testing.T) {
	posts, up := make(fakeLoop, 1024), make(chan *Conn, 1)
	l, err := Listen(posts, "127.0.0.1:0", 0, func(c *Conn) Handler { up <- c; return make(closedRecorder, 1) })
	if err != nil {
		t.Fatal(err)
	}
	peer := dialListener(t, l)
	(<-posts)()
	c := <-up
	c.Write([]byte(closingMessage)) // the loop has ended by now, and does not flush it
	done := make(chan error, 1)
	go func() { done <- l.Shutdown() }()
	_, _ = peer.Write([]byte(strings.Repeat("more", 16<<10)))
	expectClosingMessage(t, peer)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestInputHeldByPollerIsReported: bytes that the kernel has received, and that are neither in its socket any more nor with the loop, are known.
// On a busy machine netpoll's poller had read a set-up and waited for its core for 0.1 s, and the connection was closed as quiet.
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
	if !c.AllTaken() || !c.Quiet() {
		t.Error("not all is taken before anything has come")
	}
	if _, err := peer.Write([]byte("set-up")); err != nil {
		t.Fatal(err)
	}
	read := make([]byte, 16)
	if n, err := syscall.Read(fd, read); n != len("set-up") || err != nil { // by the poller, which shows it to nobody yet
		t.Fatal(n, err)
	}
	if !c.Quiet() {
		t.Error("Quiet knows of the bytes: AllTaken is not needed any more")
	}
	if c.AllTaken() {
		t.Error("all is taken, though the ring has had nothing")
	}
	c.countRead(len("set-up"))
	if !c.AllTaken() {
		t.Error("not all is taken once the ring has it")
	}
}

// stubPolledConnection is a connection of netpoll's whose poller has read bytes and shows none.
type stubPolledConnection struct {
	netpoll.Connection
	fd     int
	reader netpoll.Reader
}

func (h stubPolledConnection) Reader() netpoll.Reader { return h.reader }
func (h stubPolledConnection) Fd() int                { return h.fd }
