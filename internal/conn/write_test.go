package conn

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestInputBeforeResetIsDeliveredAfterFailedWrite guards against the end of a call that is thrown away though it has come, as something is written to
// its connection after the peer has reset that.
func TestInputBeforeResetIsDeliveredAfterFailedWrite(t *testing.T) {
	const beyond = 1 << 10 // the ring: netpoll's callback waits for the loop with it, and the reset can't be told before
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
	c := <-up
	if _, err := peer.Write(make([]byte, inboundCapacity+beyond)); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return c.in.Free() == 0 && c.nc.Reader().Len() == beyond })
	if err := errors.Join(peer.SetLinger(0), peer.Close()); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, c.Left)
	c.Write([]byte("x"))
	c.Flush()
	if ticket := c.WriteThen([]byte("y"), func() { t.Error("what can't leave counts as gone") }); !c.Recall(ticket) || c.Unsent() != 0 {
		t.Errorf("%d bytes wait for a socket that takes none", c.Unsent())
	}
	for len(heard.closed) == 0 {
		select {
		case f := <-posts:
			f()
		case <-time.After(testTimeout):
			t.Fatal("the end of the connection is not told")
		}
	}
	if reason := <-heard.closed; heard.bytes != inboundCapacity+beyond || !errors.Is(reason, ErrReset) {
		t.Errorf("%d bytes came, then %v; want %d, then %v", heard.bytes, reason, inboundCapacity+beyond, ErrReset)
	}
}

// waitUntil waits for a condition that holds soon.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatal("it does not come to that")
		}
	}
}
