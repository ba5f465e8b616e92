package conn

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestInputBeforeResetIsDeliveredAfterFailedWrite guards against dropping received input, such as the end of a call, because a write to
// the connection fails after the peer has reset it.
func TestInputBeforeResetIsDeliveredAfterFailedWrite(t *testing.T) {
	const excess = 1 << 10 // bytes that do not fit into the ring: fill waits with them, which delays the report of the reset
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
	c := <-connected
	if _, err := peer.Write(make([]byte, inboundCapacity+excess)); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool { return c.in.Free() == 0 && c.nc.Reader().Len() == excess })
	if err := errors.Join(peer.SetLinger(0), peer.Close()); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, c.PeerClosed)
	c.Write([]byte("x"))
	c.Flush()
	if ticket := c.WriteThen([]byte("y"), func() { t.Error("an unwritable message is reported as written") }); !c.CancelWrite(ticket) || c.Unsent() != 0 {
		t.Errorf("%d bytes are buffered for a socket that accepts none", c.Unsent())
	}
	for len(handler.closed) == 0 {
		select {
		case f := <-loop:
			f()
		case <-time.After(testTimeout):
			t.Fatal("the end of the connection is not reported")
		}
	}
	if reason := <-handler.closed; handler.bytes != inboundCapacity+excess || !errors.Is(reason, ErrReset) {
		t.Errorf("received %d bytes, then %v; want %d, then %v", handler.bytes, reason, inboundCapacity+excess, ErrReset)
	}
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("the condition does not hold after the timeout")
		}
	}
}
