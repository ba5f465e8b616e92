package conn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"cherryrelay/internal/ring"
)

// byteCounter is a handler that counts the received bytes and records the close reason.
type byteCounter struct {
	bytes  int
	closed chan error
}

func (b *byteCounter) Data(in *ring.Buffer, _ time.Time) error {
	b.bytes += in.Len()
	in.Discard(in.Len())
	return nil
}

func (b *byteCounter) Closed(reason error) { b.closed <- reason }

// TestResetAfterCloseWrite guards against a reset that is reported as an orderly close because this side had closed its writing side
// before.
func TestResetAfterCloseWrite(t *testing.T) {
	for name, test := range map[string]struct {
		last  string // sent by the peer before it ends the connection
		end   func(*net.TCPConn) error
		reset bool
	}{
		"close":               {"", (*net.TCPConn).Close, false},
		"input, then a close": {"last", (*net.TCPConn).Close, false},
		"half-close":          {"", (*net.TCPConn).CloseWrite, false},
		"reset":               {"", func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, true},
		"input, then a reset": {"last", func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			loop, connected, handler := make(fakeLoop, 1024), make(chan *Conn, 1), &byteCounter{closed: make(chan error, 1)}
			Dial(loop, ln.Addr().String(), testTimeout, func(c *Conn) Handler { connected <- c; return handler }, func(error) {})
			peer, err := ln.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			(<-loop)()
			(<-connected).CloseWrite(testTimeout)
			if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the peer has received the half-close
				t.Fatalf("reading: %v, want %v", err, io.EOF)
			}
			if _, err := io.WriteString(peer, test.last); err != nil {
				t.Fatal(err)
			}
			for handler.bytes < len(test.last) {
				(<-loop)()
			}
			if err := test.end(peer); err != nil {
				t.Fatal(err)
			}
			for len(handler.closed) == 0 {
				(<-loop)()
			}
			if reason := <-handler.closed; !errors.Is(reason, io.EOF) || errors.Is(reason, ErrReset) != test.reset {
				t.Errorf("closed with %v; want a reset: %v", reason, test.reset)
			}
		})
	}
}

// stubClosingConnection is a netpoll connection that stores the close callback, for the test to run it.
type stubClosingConnection struct {
	stubConnection
	onClose netpoll.CloseCallback
}

func (s *stubClosingConnection) IsActive() bool                       { return true }
func (s *stubClosingConnection) SetOnRequest(netpoll.OnRequest) error { return nil }
func (s *stubClosingConnection) AddCloseCallback(onClose netpoll.CloseCallback) error {
	s.onClose = onClose
	return nil
}

// TestRemainingInputIsDeliveredBeforeClosed guards against the loss of input before a close that netpoll reports without running the input
// callback first.
func TestRemainingInputIsDeliveredBeforeClosed(t *testing.T) {
	buffer := netpoll.NewLinkBuffer()
	if _, err := buffer.WriteString("last"); err != nil {
		t.Fatal(err)
	}
	if err := buffer.Flush(); err != nil {
		t.Fatal(err)
	}
	loop, received := make(fakeLoop, 16), make(inputRecorder, 16)
	nc := &stubClosingConnection{stubConnection: stubConnection{reader: buffer}}
	c := newConn(loop, nc)
	c.handler = received
	if err := c.start(); err != nil {
		t.Fatal(err)
	}
	if err := nc.onClose(nc); err != nil {
		t.Fatal(err)
	}
	for len(loop) > 0 {
		(<-loop)()
	}
	if text := <-received; text != "last" {
		t.Errorf("received %q, want the content of the reader", text)
	}
}

// TestCloseWriteClosesOnlyThisSide guards against three faults of the half-close: buffered output is not sent, the peer does not notice
// the half-close, or the connection stays open for ever because the peer never closes.
func TestCloseWriteClosesOnlyThisSide(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop, connected, handler := make(fakeLoop, 1024), make(chan *Conn, 1), &byteCounter{closed: make(chan error, 1)}
	Dial(loop, ln.Addr().String(), testTimeout, func(c *Conn) Handler { connected <- c; return handler }, func(error) {})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	(<-loop)()
	c := <-connected
	c.Write([]byte("last"))
	c.CloseWrite(50 * time.Millisecond)
	if err := peer.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 8)
	n, err := io.ReadFull(peer, text)
	if string(text[:n]) != "last" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the peer received %q and the error %v; want the written bytes and the end of the stream", text[:n], err)
	}
	deadline := time.After(testTimeout)
	for len(handler.closed) == 0 {
		select {
		case f := <-loop:
			f()
		case <-deadline:
			t.Fatal("the connection stays open after the timeout")
		}
	}
	if reason := <-handler.closed; !errors.Is(reason, ErrClosedLocally) {
		t.Errorf("closed with %v, want %v", reason, ErrClosedLocally)
	}
}
