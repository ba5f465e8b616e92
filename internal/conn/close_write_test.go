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

// byteCounter is a handler that counts the bytes that came, and tells the reason of the end.
type byteCounter struct {
	bytes  int
	closed chan error
}

func (l *byteCounter) Data(in *ring.Buffer, _ time.Time) error {
	l.bytes += in.Len()
	in.Discard(in.Len())
	return nil
}

func (l *byteCounter) Closed(reason error) { l.closed <- reason }

// TestResetAfterCloseWrite guards against a reset that counts as an end in good order, as this side had ended its part before.
func TestResetAfterCloseWrite(t *testing.T) {
	for name, test := range map[string]struct {
		last  string // that the peer says before it leaves
		leave func(*net.TCPConn) error
		reset bool
	}{
		"close":                    {"", (*net.TCPConn).Close, false},
		"last words and a close":   {"last", (*net.TCPConn).Close, false},
		"half-close":               {"", (*net.TCPConn).CloseWrite, false},
		"reset":                    {"", func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, true},
		"last words, then a reset": {"last", func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			posts, up, heard := make(fakeLoop, 1024), make(chan *Conn, 1), &byteCounter{closed: make(chan error, 1)}
			Dial(posts, ln.Addr().String(), testTimeout, func(c *Conn) Handler { up <- c; return heard }, func(error) {})
			peer, err := ln.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			(<-posts)()
			(<-up).Finish(testTimeout)
			if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // this side's close has come
				t.Fatalf("reading: %v, want %v", err, io.EOF)
			}
			if _, err := io.WriteString(peer, test.last); err != nil {
				t.Fatal(err)
			}
			for heard.bytes < len(test.last) {
				(<-posts)()
			}
			if err := test.leave(peer); err != nil {
				t.Fatal(err)
			}
			for len(heard.closed) == 0 {
				(<-posts)()
			}
			if reason := <-heard.closed; !errors.Is(reason, io.EOF) || errors.Is(reason, ErrReset) != test.reset {
				t.Errorf("ended with %v; a reset: %v", reason, test.reset)
			}
		})
	}
}

// stubClosingConnection is a connection of netpoll's that keeps the callback for its close.
type stubClosingConnection struct {
	stubConnection
	onClose netpoll.CloseCallback
}

func (c *stubClosingConnection) IsActive() bool                       { return true }
func (c *stubClosingConnection) SetOnRequest(netpoll.OnRequest) error { return nil }
func (c *stubClosingConnection) AddCloseCallback(closes netpoll.CloseCallback) error {
	c.onClose = closes
	return nil
}

// TestRemainingInputIsDeliveredBeforeClosed guards against bytes that are lost as netpoll tells of a close, and of what came before it not at all.
func TestRemainingInputIsDeliveredBeforeClosed(t *testing.T) {
	buffer := netpoll.NewLinkBuffer()
	if _, err := buffer.WriteString("last"); err != nil {
		t.Fatal(err)
	}
	if err := buffer.Flush(); err != nil {
		t.Fatal(err)
	}
	posts, heard := make(fakeLoop, 16), make(inputRecorder, 16)
	nc := &stubClosingConnection{stubConnection: stubConnection{reader: buffer}}
	c := newConn(posts, nc)
	c.handler = heard
	if err := c.start(); err != nil {
		t.Fatal(err)
	}
	if err := nc.onClose(nc); err != nil {
		t.Fatal(err)
	}
	for len(posts) > 0 {
		(<-posts)()
	}
	if text := <-heard; text != "last" {
		t.Errorf("%q came, want what is in the reader", text)
	}
}

// TestCloseWriteClosesOnlyThisSide guards against words that are not sent before this side ends, an end that the peer is not told of, and a connection
// that stays for ever as its peer never closes.
func TestCloseWriteClosesOnlyThisSide(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	posts, up, heard := make(fakeLoop, 1024), make(chan *Conn, 1), &byteCounter{closed: make(chan error, 1)}
	Dial(posts, ln.Addr().String(), testTimeout, func(c *Conn) Handler { up <- c; return heard }, func(error) {})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	(<-posts)()
	c := <-up
	c.Write([]byte("last"))
	c.Finish(50 * time.Millisecond)
	if err := peer.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 8)
	n, err := io.ReadFull(peer, text)
	if string(text[:n]) != "last" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q came, and %v; want what was written, and the end", text[:n], err)
	}
	deadline := time.After(testTimeout)
	for len(heard.closed) == 0 {
		select {
		case f := <-posts:
			f()
		case <-deadline:
			t.Fatal("it stays open")
		}
	}
	if reason := <-heard.closed; !errors.Is(reason, ErrClosedHere) {
		t.Errorf("ended with %v, want %v", reason, ErrClosedHere)
	}
}
