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

// answering is a handler that answers the first bytes and closes its connection.
type answering struct {
	conn *Conn
	ends chan<- error
}

const lastWords = "the answer"

var errAnswered = errors.New("answered")

func (a answering) Data(in *ring.Buffer, _ time.Time) error {
	in.Discard(in.Len())
	a.conn.Write([]byte(lastWords))
	return errAnswered
}
func (a answering) Closed(reason error) { a.ends <- reason }

// listens serves a listener whose connections are answered and closed.
func listens(t *testing.T, most int) (*Listener, chan error) {
	t.Helper()
	posts, ends := make(loop, 1024), make(chan error, 1024)
	go func() {
		for f := range posts {
			f()
		}
	}()
	l, err := Listen(posts, "127.0.0.1:0", most, func(c *Conn) Handler { return answering{c, ends} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Shutdown() })
	return l, ends
}

func connects(t *testing.T, l *Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// hasLastWords wants the answer and an end in good order.
func hasLastWords(t *testing.T, c net.Conn) {
	t.Helper()
	if text, err := io.ReadAll(c); err != nil || string(text) != lastWords {
		t.Errorf("%q, %v: want the last words, and an end without a reset", text, err)
	}
}

// TestLastWordsAreReadThoughMoreComes: a socket that is closed with bytes unread sends a reset, and what its peer has not read by then is
// lost. So what still comes after the close is read and discarded.
func TestLastWordsAreReadThoughMoreComes(t *testing.T) {
	l, ends := listens(t, 0)
	c := connects(t, l)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := <-ends; !errors.Is(err, errAnswered) {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte(strings.Repeat("more", 64<<10))); err != nil { // behind the close
		t.Fatal(err)
	}
	hasLastWords(t, c)
}

// held waits until the listener's connections hold so many descriptors.
func held(t *testing.T, l *Listener, n int, within time.Duration) {
	t.Helper()
	for begun := time.Now(); l.Held() != n; time.Sleep(time.Millisecond) {
		if time.Since(begun) > within {
			t.Fatalf("%d descriptors are held after %v, want %d", l.Held(), within, n)
		}
	}
}

// TestACloseIsBounded: a peer that does not close, or that goes on writing, holds its descriptor for a moment only.
func TestACloseIsBounded(t *testing.T) {
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
			l, _ := listens(t, 0)
			c := connects(t, l)
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			hasLastWords(t, c)
			held(t, l, 1, patience)
			go goOn(c)
			held(t, l, 0, patience)
		})
	}
}

// TestBeyondTheBoundAConnectionWaits: it isn't closed, and is accepted as soon as another has ended, or one that this side has closed has
// had its moment.
func TestBeyondTheBoundAConnectionWaits(t *testing.T) {
	l, _ := listens(t, 1)
	first, second := connects(t, l), connects(t, l)
	held(t, l, 1, patience)
	for _, c := range []net.Conn{first, second} {
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	hasLastWords(t, first)
	hasLastWords(t, second) // the first one's peer has not closed its side
}

// TestLastWordsAtTheEndOfTheListener: what is queued as the listener ends is read, though the peer goes on writing.
func TestLastWordsAtTheEndOfTheListener(t *testing.T) {
	posts, up := make(loop, 1024), make(chan *Conn, 1)
	l, err := Listen(posts, "127.0.0.1:0", 0, func(c *Conn) Handler { up <- c; return make(ended, 1) })
	if err != nil {
		t.Fatal(err)
	}
	peer := connects(t, l)
	(<-posts)()
	c := <-up
	c.Write([]byte(lastWords)) // the loop has ended by now, and does not flush it
	done := make(chan error, 1)
	go func() { done <- l.Shutdown() }()
	_, _ = peer.Write([]byte(strings.Repeat("more", 16<<10)))
	hasLastWords(t, peer)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestAllTakenKnowsOfBytesBetween: bytes that the kernel has received, and that are neither in its socket any more nor with the loop, are known.
// On a busy machine netpoll's poller had read a set-up and waited for its core for 0.1 s, and the connection was closed as quiet.
func TestAllTakenKnowsOfBytesBetween(t *testing.T) {
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
	c := wrap(make(loop, 16), heldBack{fd: fd, rest: netpoll.NewLinkBuffer()})
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
	c.tookIn(len("set-up"))
	if !c.AllTaken() {
		t.Error("not all is taken once the ring has it")
	}
}

// heldBack is a connection of netpoll's whose poller has read bytes and shows none.
type heldBack struct {
	netpoll.Connection
	fd   int
	rest netpoll.Reader
}

func (h heldBack) Reader() netpoll.Reader { return h.rest }
func (h heldBack) Fd() int                { return h.fd }
