package conn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/ring"
)

const testTimeout = 20 * time.Second

// fakeLoop runs what is posted, one at a time.
type fakeLoop chan func()

func (l fakeLoop) Post(f func()) { l <- f }

// closedRecorder is a handler that tells of the end.
type closedRecorder chan error

func (e closedRecorder) Data(in *ring.Buffer, _ time.Time) error { in.Discard(in.Len()); return nil }
func (e closedRecorder) Closed(reason error)                     { e <- reason }

func countDescriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no list of descriptors here")
	}
	return len(open)
}

// TestResetOfNewConnectionLeaksNoDescriptor: one that closes before its callbacks are known to netpoll is closed by
// nobody, and its descriptor was kept for good.
func TestResetOfNewConnectionLeaksNoDescriptor(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if tcp, ok := nc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = nc.Close()
		}
	}()
	posts := make(fakeLoop, 1024)
	go func() {
		for f := range posts {
			f()
		}
	}()
	dial := func() {
		t.Helper()
		end := make(closedRecorder, 2)
		Dial(posts, ln.Addr().String(), testTimeout, func(*Conn) Handler { return end }, func(err error) {
			if err != nil {
				end <- errors.New("no connection")
			}
		})
		select {
		case <-end:
		case <-time.After(testTimeout):
			t.Fatal("a connection that was reset never ends")
		}
	}
	dial() // netpoll has its own by now
	before := countDescriptors(t)
	const times = 1000
	for range times {
		dial()
	}
	for begin := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		kept := countDescriptors(t) - before
		if kept <= 0 {
			return
		}
		if time.Since(begin) > testTimeout/4 {
			t.Fatalf("%d descriptors are kept of %d connections", kept, times)
		}
	}
}

// TestPendingInputIsReported: a connection that seemed idle was closed with a set-up on its way to the loop.
func TestPendingInputIsReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	posts := make(fakeLoop, 16)
	var c *Conn
	up := make(chan error, 1)
	Dial(posts, ln.Addr().String(), testTimeout, func(made *Conn) Handler { c = made; return make(closedRecorder, 1) }, func(err error) { up <- err })
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	(<-posts)() // and then the loop is busy
	if err := <-up; err != nil {
		t.Fatal(err)
	}
	if !c.Quiet() {
		t.Error("not quiet before anything has come")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for begin := time.Now(); c.Quiet(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatal("quiet though a byte has come")
		}
	}
	(<-posts)() // the loop takes it in
	if !c.Quiet() {
		t.Error("not quiet after all is taken in")
	}
}

// inputRecorder is a handler that tells what came, and its end.
type inputRecorder chan string

func (h inputRecorder) Data(in *ring.Buffer, _ time.Time) error {
	h <- string(in.Peek(in.Len()))
	in.Discard(in.Len())
	return nil
}
func (h inputRecorder) Closed(error) { close(h) }

// TestCloseWriteDeliversLateInput: what the peer had sent when this side closed was lost, and with it the end of a call.
func TestCloseWriteDeliversLateInput(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = nc.Read(make([]byte, 1)) // until the other side has closed
		_, _ = nc.Write([]byte("late"))
		_ = nc.Close()
	}()
	posts, heard := make(fakeLoop, 1024), make(inputRecorder, 16)
	go func() {
		for f := range posts {
			f()
		}
	}()
	Dial(posts, ln.Addr().String(), testTimeout, func(c *Conn) Handler {
		posts.Post(func() { c.Finish(testTimeout) })
		return heard
	}, func(error) {})
	select {
	case text := <-heard:
		if text != "late" {
			t.Errorf("%q came, want what was sent last", text)
		}
	case <-time.After(testTimeout):
		t.Error("nothing came")
	}
}

// TestCloseWriteWithFullSocket guards against what a peer still sends being discarded, as what was queued for it can't be written after this side's end.
func TestCloseWriteWithFullSocket(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	finished := make(chan struct{})
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		<-finished
		_, _ = nc.Write([]byte("late"))
		_, _ = io.Copy(io.Discard, nc)
	}()
	posts, heard := make(fakeLoop, 1024), make(inputRecorder, 16)
	go func() {
		for f := range posts {
			f()
		}
	}()
	Dial(posts, ln.Addr().String(), testTimeout, func(c *Conn) Handler {
		posts.Post(func() {
			for c.Unsent() == 0 {
				c.Write(make([]byte, outboundCapacity/2))
				c.Flush()
			}
			c.Finish(testTimeout)
			c.Flush() // as the full socket is tried again
			close(finished)
		})
		return heard
	}, func(error) {})
	select {
	case text := <-heard:
		if text != "late" {
			t.Errorf("%q came, want what was sent last", text)
		}
	case <-time.After(testTimeout):
		t.Error("nothing came")
	}
}

// TestInputBeforeCloseOfNewConnectionIsDelivered: what a peer had sent was lost if it closed before netpoll knew whom to tell.
func TestInputBeforeCloseOfNewConnectionIsDelivered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for range 100 {
		nc, err := netpoll.DialConnection("tcp", ln.Addr().String(), testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, err = peer.Write([]byte("last"))
		if err := errors.Join(err, peer.Close()); err != nil {
			t.Fatal(err)
		}
		for begin := time.Now(); nc.IsActive(); time.Sleep(100 * time.Microsecond) {
			if time.Since(begin) > testTimeout {
				t.Fatal("netpoll does not see the close")
			}
		}
		posts, heard := make(fakeLoop, 16), make(inputRecorder, 16)
		c := newConn(posts, nc)
		c.handler = heard
		if err := c.start(); err != nil {
			t.Fatal(err)
		}
		text := ""
		for open := true; open; {
			select {
			case f := <-posts:
				f()
			case more, ok := <-heard:
				text += more
				open = ok
			case <-time.After(testTimeout):
				t.Fatal("the connection never ends")
			}
		}
		if text != "last" {
			t.Fatalf("%q came, want what was sent before the close", text)
		}
	}
}

// stubConnection is a connection of netpoll's that its peer has closed, with bytes that no callback was run for.
type stubConnection struct {
	netpoll.Connection
	reader netpoll.Reader
}

func (u stubConnection) Reader() netpoll.Reader { return u.reader }

// TestRemainingInputIsRead: netpoll runs the callback of a close without one for what came between the last look at its reader and the close.
func TestRemainingInputIsRead(t *testing.T) {
	buffer := netpoll.NewLinkBuffer()
	if _, err := buffer.WriteString("last"); err != nil {
		t.Fatal(err)
	}
	if err := buffer.Flush(); err != nil {
		t.Fatal(err)
	}
	posts, heard := make(fakeLoop, 16), make(inputRecorder, 16)
	c := newConn(posts, stubConnection{reader: buffer})
	c.handler = heard
	c.readRemaining()
	c.onHangup()
	for len(posts) > 0 {
		(<-posts)()
	}
	if text := <-heard; text != "last" {
		t.Errorf("%q came, want what is in the reader", text)
	}
}

// TestCancelWrite: what still lies whole in the queue can be taken back, and nothing around it changes.
func TestCancelWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	posts := make(fakeLoop, 1024)
	go func() {
		for f := range posts {
			f()
		}
	}()
	up := make(chan *Conn, 1)
	Dial(posts, ln.Addr().String(), testTimeout, func(c *Conn) Handler { up <- c; return make(closedRecorder, 1) }, func(error) {})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := <-up
	var want []byte
	var left []string
	wrote := make(chan struct{})
	posts <- func() {
		defer close(wrote)
		first := Ticket(0)
		for fill := bytes.Repeat([]byte("."), 16<<10); c.Unsent() == 0; { // until the peer, which does not read, takes no more
			first = c.WriteThen(fill, func() {})
			want = append(want, fill...)
			c.Flush()
		}
		if c.Unsent() < 16<<10 && c.Recall(first) {
			t.Error("what has left in part was taken back")
		}
		message := func(name string) Ticket { return c.WriteThen([]byte(name), func() { left = append(left, name) }) }
		a, b, d := message("<a>"), message("<bb>"), message("<d>")
		if !c.Recall(b) || c.Recall(b) || c.Recall(0) || !c.Recall(d) {
			t.Error("what lies whole in the queue is taken back once")
		}
		message("<eeee>")
		if a == 0 || c.bytesQueued-c.bytesWritten != uint64(c.Unsent()) {
			t.Errorf("%d bytes are counted as waiting, and %d wait", c.bytesQueued-c.bytesWritten, c.Unsent())
		}
		want = append(want, "<a><eeee>"...)
	}
	<-wrote
	got := make([]byte, len(want))
	if _, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v: the last that came is %q, want %q", err, got[len(got)-16:], want[len(want)-16:])
	}
	done := make(chan struct{})
	posts <- func() { close(done) }
	<-done
	if diff := cmp.Diff([]string{"<a>", "<eeee>"}, left); diff != "" {
		t.Errorf("what was told to have left (-want +got):\n%s", diff)
	}
	c.Close(ErrClosedHere)
}

// TestPeerClosed: a peer's close and its reset are known before anybody has looked at them, and a reset is told from a close.
func TestPeerClosed(t *testing.T) {
	for name, test := range map[string]struct {
		leave  func(*net.TCPConn) error
		reason error
	}{
		"close":      {func(c *net.TCPConn) error { return c.Close() }, io.EOF},
		"half-close": {func(c *net.TCPConn) error { return c.CloseWrite() }, io.EOF},
		"reset":      {func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, ErrReset},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			posts, up, end := make(fakeLoop, 1024), make(chan *Conn, 1), make(closedRecorder, 1)
			Dial(posts, ln.Addr().String(), testTimeout, func(c *Conn) Handler { up <- c; return end }, func(error) {})
			peer, err := ln.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			(<-posts)()
			c := <-up
			if c.Left() {
				t.Error("it has left before it did")
			}
			if err := test.leave(peer); err != nil {
				t.Fatal(err)
			}
			for until := time.Now().Add(testTimeout); !c.Left(); time.Sleep(time.Millisecond) { // no function of the loop runs meanwhile
				if time.Now().After(until) {
					t.Fatal("never known")
				}
			}
			for len(end) == 0 {
				(<-posts)()
			}
			if reason := <-end; !errors.Is(reason, test.reason) || errors.Is(reason, ErrReset) != errors.Is(test.reason, ErrReset) {
				t.Errorf("ended with %v, want %v", reason, test.reason)
			}
		})
	}
}
