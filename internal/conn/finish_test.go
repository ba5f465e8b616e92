package conn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

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
