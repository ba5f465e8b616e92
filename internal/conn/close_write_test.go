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

// listening is a handler that counts the bytes that came, and tells the reason of the end.
type listening struct {
	bytes int
	end   chan error
}

func (l *listening) Data(in *ring.Buffer, _ time.Time) error {
	l.bytes += in.Len()
	in.Discard(in.Len())
	return nil
}

func (l *listening) Closed(reason error) { l.end <- reason }

// TestAResetAfterThisSideHasFinished guards against a reset that counts as an end in good order, as this side had ended its part before.
func TestAResetAfterThisSideHasFinished(t *testing.T) {
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
			posts, up, heard := make(loop, 1024), make(chan *Conn, 1), &listening{end: make(chan error, 1)}
			Dial(posts, ln.Addr().String(), patience, func(c *Conn) Handler { up <- c; return heard }, func(error) {})
			peer, err := ln.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			(<-posts)()
			(<-up).Finish(patience)
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
			for len(heard.end) == 0 {
				(<-posts)()
			}
			if reason := <-heard.end; !errors.Is(reason, io.EOF) || errors.Is(reason, ErrReset) != test.reset {
				t.Errorf("ended with %v; a reset: %v", reason, test.reset)
			}
		})
	}
}

// closing is a connection of netpoll's that keeps the callback for its close.
type closing struct {
	unread
	closes netpoll.CloseCallback
}

func (c *closing) IsActive() bool                       { return true }
func (c *closing) SetOnRequest(netpoll.OnRequest) error { return nil }
func (c *closing) AddCloseCallback(closes netpoll.CloseCallback) error {
	c.closes = closes
	return nil
}

// TestTheRestComesAheadOfTheEnd guards against bytes that are lost as netpoll tells of a close, and of what came before it not at all.
func TestTheRestComesAheadOfTheEnd(t *testing.T) {
	buffer := netpoll.NewLinkBuffer()
	if _, err := buffer.WriteString("last"); err != nil {
		t.Fatal(err)
	}
	if err := buffer.Flush(); err != nil {
		t.Fatal(err)
	}
	posts, heard := make(loop, 16), make(hearing, 16)
	nc := &closing{unread: unread{rest: buffer}}
	c := wrap(posts, nc)
	c.handler = heard
	if err := c.start(); err != nil {
		t.Fatal(err)
	}
	if err := nc.closes(nc); err != nil {
		t.Fatal(err)
	}
	for len(posts) > 0 {
		(<-posts)()
	}
	if text := <-heard; text != "last" {
		t.Errorf("%q came, want what is in the reader", text)
	}
}

// TestFinishEndsThisSideAlone guards against words that are not sent before this side ends, an end that the peer is not told of, and a connection
// that stays for ever as its peer never closes.
func TestFinishEndsThisSideAlone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	posts, up, heard := make(loop, 1024), make(chan *Conn, 1), &listening{end: make(chan error, 1)}
	Dial(posts, ln.Addr().String(), patience, func(c *Conn) Handler { up <- c; return heard }, func(error) {})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	(<-posts)()
	c := <-up
	c.Write([]byte("last"))
	c.Finish(50 * time.Millisecond)
	if err := peer.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 8)
	n, err := io.ReadFull(peer, text)
	if string(text[:n]) != "last" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q came, and %v; want what was written, and the end", text[:n], err)
	}
	deadline := time.After(patience)
	for len(heard.end) == 0 {
		select {
		case f := <-posts:
			f()
		case <-deadline:
			t.Fatal("it stays open")
		}
	}
	if reason := <-heard.end; !errors.Is(reason, ErrClosedHere) {
		t.Errorf("ended with %v, want %v", reason, ErrClosedHere)
	}
}
