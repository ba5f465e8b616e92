package callers

import (
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
)

// endedConn is a stub of a connection that has just ended.
type endedConn struct {
	connection
	endedAt      time.Time
	disconnected bool
}

// EndedAt returns the time at which it ended.
func (c *endedConn) EndedAt() time.Time { return c.endedAt }

// PeerClosed reports whether the caller has disconnected.
func (c *endedConn) PeerClosed() bool { return c.disconnected }

// Remote returns no address.
func (c *endedConn) Remote() string { return "" }

// Write discards the closing message.
func (c *endedConn) Write([]byte) {}

// WriteThen discards a message, which is never written to the socket.
func (c *endedConn) WriteThen([]byte, func()) conn.Ticket { return 0 }

// Close does nothing.
func (c *endedConn) Close(error) {}

// withEndedConn runs a step on the loop with a connection on which an end was written some time before it ended.
func withEndedConn(t *testing.T, sentBefore time.Duration, disconnected bool, step func(f *Front, c *Conn)) {
	t.Helper()
	f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
	onLoop(f.loop, func() {
		now := time.Now()
		c := &Conn{front: f, conn: &endedConn{endedAt: now, disconnected: disconnected}, format: &JSONLines{}, receivedRequest: true}
		c.sentEnds = []*sentEnd{{callEnd: callEnd{id: "00000000000000a1", end: normalEnd, queuedAt: now, firstSentAt: now.Add(-sentBefore)},
			sentAt: now.Add(-sentBefore)}}
		step(f, c)
	})
}

// TestWhichEndsAreRepeated guards against an end that is lost because its connection was reset before it was read, and against
// one that is sent twice.
func TestWhichEndsAreRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		reason     error
		sentBefore time.Duration // time before the end of the connection at which the end was written
		want       uint64
	}{
		"the caller resets it":                           {conn.ErrReset, 2 * crossingTime, 1},
		"a write fails because of a reset":               {fmt.Errorf("writing: %w", syscall.ECONNRESET), 2 * crossingTime, 1},
		"a write fails because the connection has ended": {fmt.Errorf("writing: %w", syscall.EPIPE), 2 * crossingTime, 1},
		"the caller closes it":                           {io.EOF, 2 * crossingTime, 0},
		"the caller closes it right after the end":       {io.EOF, crossingTime / 2, 1},
		"the caller resets it after it has read on":      {conn.ErrReset, 2 * maxUnreadTime, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withEndedConn(t, test.sentBefore, false, func(f *Front, c *Conn) {
				if c.Closed(test.reason); f.endCounts.Repeated != test.want {
					t.Errorf("%d ends are repeated, want %d", f.endCounts.Repeated, test.want)
				}
			})
		})
	}
}

// TestAnEndOnAConnectionClosedAsItsCallerDisconnects guards against a lost end: it is unread on a connection that the caller has
// ended, and that this side closes before it knows how.
func TestAnEndOnAConnectionClosedAsItsCallerDisconnects(t *testing.T) {
	for disconnected, want := range map[bool]uint64{true: 1, false: 0} {
		withEndedConn(t, 2*crossingTime, disconnected, func(f *Front, c *Conn) {
			if c.closeNow(conn.ErrClosedLocally); f.endCounts.Repeated != want {
				t.Errorf("%d ends are repeated with the caller disconnected: %v; want %d", f.endCounts.Repeated, disconnected, want)
			}
		})
	}
}

// TestAnEndIsKeptWhenTheNextOneIsSent guards against a lost end: it is unread when the next one is sent, and then the connection
// is reset.
func TestAnEndIsKeptWhenTheNextOneIsSent(t *testing.T) {
	withEndedConn(t, 2*crossingTime, false, func(f *Front, c *Conn) {
		c.sendEnd(callEnd{id: "00000000000000a2", end: normalEnd, queuedAt: time.Now()})
		if c.Closed(conn.ErrReset); f.endCounts.Repeated != 2 {
			t.Errorf("%d ends are repeated, want 2", f.endCounts.Repeated)
		}
	})
}

// TestAnEndStaysPendingWhileCallersDisconnect guards against an end that is dropped because the caller of the only connection has
// just disconnected.
func TestAnEndStaysPendingWhileCallersDisconnect(t *testing.T) {
	withEndedConn(t, 0, true, func(f *Front, c *Conn) {
		f.openConns = append(f.openConns, c)
		f.pendingEnds = []callEnd{c.sentEnds[0].callEnd}
		if f.deliverPending(); len(f.pendingEnds) != 1 {
			t.Errorf("%d ends are pending, want 1", len(f.pendingEnds))
		}
		f.openConns = nil
	})
}

// TestAnUnsentEndAsItsConnectionCloses guards against an end that counts as read because it was queued well before the connection
// closed, although it was never written.
func TestAnUnsentEndAsItsConnectionCloses(t *testing.T) {
	withEndedConn(t, 0, false, func(f *Front, c *Conn) {
		c.sentEnds = nil
		c.sendEnd(callEnd{id: "00000000000000a2", end: normalEnd, queuedAt: time.Now()})
		c.conn = &endedConn{endedAt: time.Now().Add(2 * crossingTime)}
		if c.Closed(io.EOF); f.endCounts.Repeated != 1 {
			t.Errorf("%d ends are repeated, want 1", f.endCounts.Repeated)
		}
	})
}
