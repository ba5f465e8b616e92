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

// fakeLoop is an event loop whose posted functions are run by the test.
type fakeLoop chan func()

func (l fakeLoop) Post(f func()) { l <- f }

// closedRecorder is a handler that discards the input and records the close reason.
type closedRecorder chan error

func (r closedRecorder) Data(in *ring.Buffer, _ time.Time) error { in.Discard(in.Len()); return nil }
func (r closedRecorder) Closed(reason error)                     { r <- reason }

// countDescriptors returns the number of open descriptors of the process.
func countDescriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list open descriptors in /proc")
	}
	return len(open)
}

// TestResetOfNewConnectionLeaksNoDescriptor guards against a descriptor leak: netpoll does not close a connection that ends before its
// callbacks are registered.
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
	loop := make(fakeLoop, 1024)
	go func() {
		for f := range loop {
			f()
		}
	}()
	dial := func() {
		t.Helper()
		closed := make(closedRecorder, 2)
		Dial(loop, ln.Addr().String(), testTimeout, func(*Conn) Handler { return closed }, func(err error) {
			if err != nil {
				closed <- errors.New("dial failed")
			}
		})
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Fatal("the end of a reset connection is not reported")
		}
	}
	dial() // the first dial makes netpoll open descriptors of its own
	before := countDescriptors(t)
	const dials = 1000
	for range dials {
		dial()
	}
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		leaked := countDescriptors(t) - before
		if leaked <= 0 {
			return
		}
		if time.Since(start) > testTimeout/4 {
			t.Fatalf("%d descriptors leaked after %d connections", leaked, dials)
		}
	}
}

// TestPendingInputIsReported guards against closing a connection as idle while a set-up is on its way to the event loop.
func TestPendingInputIsReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop := make(fakeLoop, 16)
	var c *Conn
	connected := make(chan error, 1)
	Dial(loop, ln.Addr().String(), testTimeout, func(dialled *Conn) Handler { c = dialled; return make(closedRecorder, 1) },
		func(err error) { connected <- err })
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	(<-loop)() // from here on, the event loop runs nothing
	if err := <-connected; err != nil {
		t.Fatal(err)
	}
	if !c.NoPendingInput() {
		t.Error("input is reported before any has arrived")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for start := time.Now(); c.NoPendingInput(); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("no input is reported after a byte has arrived")
		}
	}
	(<-loop)() // delivers the byte
	if !c.NoPendingInput() {
		t.Error("input is reported after all was delivered")
	}
}

// inputRecorder is a handler that records the input, and closes the channel at the end of the connection.
type inputRecorder chan string

func (r inputRecorder) Data(in *ring.Buffer, _ time.Time) error {
	r <- string(in.Peek(in.Len()))
	in.Discard(in.Len())
	return nil
}
func (r inputRecorder) Closed(error) { close(r) }

// TestCloseWriteDeliversLateInput guards against the loss of input that arrives after this side has closed its writing side. The end of a
// call was lost that way.
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
		_, _ = nc.Read(make([]byte, 1)) // returns when the other side has closed its writing side
		_, _ = nc.Write([]byte("late"))
		_ = nc.Close()
	}()
	loop, received := make(fakeLoop, 1024), make(inputRecorder, 16)
	go func() {
		for f := range loop {
			f()
		}
	}()
	Dial(loop, ln.Addr().String(), testTimeout, func(c *Conn) Handler {
		loop.Post(func() { c.CloseWrite(testTimeout) })
		return received
	}, func(error) {})
	select {
	case text := <-received:
		if text != "late" {
			t.Errorf("received %q, want the bytes sent after the half-close", text)
		}
	case <-time.After(testTimeout):
		t.Error("the bytes sent after the half-close were not received")
	}
}

// TestCloseWriteWithFullSocket guards against the loss of late input when output is still buffered at the half-close: a retry of the write
// would fail and close the connection.
func TestCloseWriteWithFullSocket(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	halfClosed := make(chan struct{})
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		<-halfClosed
		_, _ = nc.Write([]byte("late"))
		_, _ = io.Copy(io.Discard, nc)
	}()
	loop, received := make(fakeLoop, 1024), make(inputRecorder, 16)
	go func() {
		for f := range loop {
			f()
		}
	}()
	Dial(loop, ln.Addr().String(), testTimeout, func(c *Conn) Handler {
		loop.Post(func() {
			for c.Unsent() == 0 {
				c.Write(make([]byte, outboundCapacity/2))
				c.Flush()
			}
			c.CloseWrite(testTimeout)
			c.Flush() // like the scheduled retry
			close(halfClosed)
		})
		return received
	}, func(error) {})
	select {
	case text := <-received:
		if text != "late" {
			t.Errorf("received %q, want the bytes sent after the half-close", text)
		}
	case <-time.After(testTimeout):
		t.Error("the bytes sent after the half-close were not received")
	}
}

// TestInputBeforeCloseOfNewConnectionIsDelivered guards against the loss of input from a peer that closes before the callbacks are
// registered with netpoll.
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
		for start := time.Now(); nc.IsActive(); time.Sleep(100 * time.Microsecond) {
			if time.Since(start) > testTimeout {
				t.Fatal("netpoll does not notice the close")
			}
		}
		loop, received := make(fakeLoop, 16), make(inputRecorder, 16)
		c := newConn(loop, nc)
		c.handler = received
		if err := c.start(); err != nil {
			t.Fatal(err)
		}
		text := ""
		for open := true; open; {
			select {
			case f := <-loop:
				f()
			case part, ok := <-received:
				text += part
				open = ok
			case <-time.After(testTimeout):
				t.Fatal("the end of the connection is not reported")
			}
		}
		if text != "last" {
			t.Fatalf("received %q, want the bytes sent before the close", text)
		}
	}
}

// stubConnection is a netpoll connection with bytes in its reader for which no callback was run.
type stubConnection struct {
	netpoll.Connection
	reader netpoll.Reader
}

func (s stubConnection) Reader() netpoll.Reader { return s.reader }

// TestRemainingInputIsRead guards against the loss of input that arrives between netpoll's last input callback and the close: netpoll runs
// only the close callback then.
func TestRemainingInputIsRead(t *testing.T) {
	buffer := netpoll.NewLinkBuffer()
	if _, err := buffer.WriteString("last"); err != nil {
		t.Fatal(err)
	}
	if err := buffer.Flush(); err != nil {
		t.Fatal(err)
	}
	loop, received := make(fakeLoop, 16), make(inputRecorder, 16)
	c := newConn(loop, stubConnection{reader: buffer})
	c.handler = received
	c.readRemaining()
	c.onHangup()
	for len(loop) > 0 {
		(<-loop)()
	}
	if text := <-received; text != "last" {
		t.Errorf("received %q, want the content of the reader", text)
	}
}

// TestCancelWrite checks that a message of which no byte was written can be removed, and that the messages around it are unaffected.
func TestCancelWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop := make(fakeLoop, 1024)
	go func() {
		for f := range loop {
			f()
		}
	}()
	connected := make(chan *Conn, 1)
	Dial(loop, ln.Addr().String(), testTimeout, func(c *Conn) Handler { connected <- c; return make(closedRecorder, 1) }, func(error) {})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := <-connected
	var want []byte
	var written []string
	queued := make(chan struct{})
	loop <- func() {
		defer close(queued)
		first := Ticket(0)
		for fill := bytes.Repeat([]byte("."), 16<<10); c.Unsent() == 0; { // the peer does not read, so the socket becomes full
			first = c.WriteThen(fill, func() {})
			want = append(want, fill...)
			c.Flush()
		}
		if c.Unsent() < 16<<10 && c.CancelWrite(first) {
			t.Error("a partly written message was removed")
		}
		message := func(name string) Ticket { return c.WriteThen([]byte(name), func() { written = append(written, name) }) }
		a, b, d := message("<a>"), message("<bb>"), message("<d>")
		if !c.CancelWrite(b) || c.CancelWrite(b) || c.CancelWrite(0) || !c.CancelWrite(d) {
			t.Error("want each queued message removed once, and no message removed for ticket 0")
		}
		message("<eeee>")
		if a == 0 || c.bytesQueued-c.bytesWritten != uint64(c.Unsent()) {
			t.Errorf("%d bytes are counted as buffered, and %d are in the ring", c.bytesQueued-c.bytesWritten, c.Unsent())
		}
		want = append(want, "<a><eeee>"...)
	}
	<-queued
	got := make([]byte, len(want))
	if _, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("error %v; the last bytes received are %q, want %q", err, got[len(got)-16:], want[len(want)-16:])
	}
	done := make(chan struct{})
	loop <- func() { close(done) }
	<-done
	if diff := cmp.Diff([]string{"<a>", "<eeee>"}, written); diff != "" {
		t.Errorf("messages reported as written (-want +got):\n%s", diff)
	}
	c.Close(ErrClosedLocally)
}

// TestPeerClosed checks that a close or a reset by the peer is detected before the event loop has processed it, and that the close reason
// distinguishes the two.
func TestPeerClosed(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(*net.TCPConn) error
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
			loop, connected, closed := make(fakeLoop, 1024), make(chan *Conn, 1), make(closedRecorder, 1)
			Dial(loop, ln.Addr().String(), testTimeout, func(c *Conn) Handler { connected <- c; return closed }, func(error) {})
			peer, err := ln.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			(<-loop)()
			c := <-connected
			if c.PeerClosed() {
				t.Error("a close is reported before the peer has closed")
			}
			if err := test.end(peer); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(testTimeout); !c.PeerClosed(); time.Sleep(time.Millisecond) { // the event loop runs nothing meanwhile
				if time.Now().After(deadline) {
					t.Fatal("the close is not reported")
				}
			}
			for len(closed) == 0 {
				(<-loop)()
			}
			if reason := <-closed; !errors.Is(reason, test.reason) || errors.Is(reason, ErrReset) != errors.Is(test.reason, ErrReset) {
				t.Errorf("closed with %v, want %v", reason, test.reason)
			}
		})
	}
}
