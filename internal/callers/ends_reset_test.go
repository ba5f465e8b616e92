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

// endedConn is one that ended a moment ago.
type endedConn struct {
	connection
	endedAt      time.Time
	disconnected bool
}

// EndedAt is when it ended.
func (c *endedConn) EndedAt() time.Time { return c.endedAt }

// Left reports whether the caller has gone.
func (c *endedConn) Left() bool { return c.disconnected }

// Remote is no address.
func (c *endedConn) Remote() string { return "" }

// Write takes the last words.
func (c *endedConn) Write([]byte) {}

// WriteThen takes a message that does not leave.
func (c *endedConn) WriteThen([]byte, func()) conn.Ticket { return 0 }

// Close ends nothing more.
func (c *endedConn) Close(error) {}

// withEndedConn runs a step on the loop with a connection on which the end of a call left some time before it ended.
func withEndedConn(t *testing.T, left time.Duration, gone bool, step func(f *Front, c *Conn)) {
	t.Helper()
	f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
	onLoop(f.loop, func() {
		now := time.Now()
		c := &Conn{front: f, conn: &endedConn{endedAt: now, disconnected: gone}, format: &Lines{}, receivedRequest: true}
		c.sentEnds = []*sentEnd{{callEnd: callEnd{id: "00000000000000a1", end: normalEnd, queuedAt: now, firstSentAt: now.Add(-left)}, sentAt: now.Add(-left)}}
		step(f, c)
	})
}

// TestWhichEndsAreRepeated guards against an end that is told to nobody, as its connection was reset with it unread, and against one that is told twice.
func TestWhichEndsAreRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		reason error
		left   time.Duration // before the end of the connection
		want   uint64
	}{
		"the caller has reset it":                 {conn.ErrReset, 2 * crossingTime, 1},
		"a write meets a reset":                   {fmt.Errorf("writing: %w", syscall.ECONNRESET), 2 * crossingTime, 1},
		"a write meets the end of it":             {fmt.Errorf("writing: %w", syscall.EPIPE), 2 * crossingTime, 1},
		"the caller has closed it":                {io.EOF, 2 * crossingTime, 0},
		"the caller has closed it right after":    {io.EOF, crossingTime / 2, 1},
		"the caller has reset it, having read on": {conn.ErrReset, 2 * maxUnreadTime, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withEndedConn(t, test.left, false, func(f *Front, c *Conn) {
				if c.Closed(test.reason); f.endCounts.Repeated != test.want {
					t.Errorf("%d ends are told again, want %d", f.endCounts.Repeated, test.want)
				}
			})
		})
	}
}

// TestAnEndOnAConnectionClosedAsItsCallerDisconnects guards against an end that is told to nobody, as it lay unread on a connection that the caller has
// ended and this side closes before it knows how.
func TestAnEndOnAConnectionClosedAsItsCallerDisconnects(t *testing.T) {
	for gone, want := range map[bool]uint64{true: 1, false: 0} {
		withEndedConn(t, 2*crossingTime, gone, func(f *Front, c *Conn) {
			if c.closeNow(conn.ErrClosedHere); f.endCounts.Repeated != want {
				t.Errorf("%d ends are told again where the caller has gone: %v; want %d", f.endCounts.Repeated, gone, want)
			}
		})
	}
}

// TestAnEndIsKeptWhenTheNextOneIsSent guards against an end that is told to nobody, as it lay unread while the next one was sent ahead of a reset.
func TestAnEndIsKeptWhenTheNextOneIsSent(t *testing.T) {
	withEndedConn(t, 2*crossingTime, false, func(f *Front, c *Conn) {
		c.sendEnd(callEnd{id: "00000000000000a2", end: normalEnd, queuedAt: time.Now()})
		if c.Closed(conn.ErrReset); f.endCounts.Repeated != 2 {
			t.Errorf("%d ends are told again, want 2", f.endCounts.Repeated)
		}
	})
}

// TestAnEndStaysPendingWhileCallersDisconnect guards against an end that is dropped, as the only connection for it has just been left.
func TestAnEndStaysPendingWhileCallersDisconnect(t *testing.T) {
	withEndedConn(t, 0, true, func(f *Front, c *Conn) {
		f.openConns = append(f.openConns, c)
		f.pendingEnds = []callEnd{c.sentEnds[0].callEnd}
		if f.deliverPending(); len(f.pendingEnds) != 1 {
			t.Errorf("%d ends wait, want 1", len(f.pendingEnds))
		}
		f.openConns = nil
	})
}

// TestAnUnsentEndAsItsConnectionCloses guards against an end that counts as read, as it was queued well before the connection closed and never
// left.
func TestAnUnsentEndAsItsConnectionCloses(t *testing.T) {
	withEndedConn(t, 0, false, func(f *Front, c *Conn) {
		c.sentEnds = nil
		c.sendEnd(callEnd{id: "00000000000000a2", end: normalEnd, queuedAt: time.Now()})
		c.conn = &endedConn{endedAt: time.Now().Add(2 * crossingTime)}
		if c.Closed(io.EOF); f.endCounts.Repeated != 1 {
			t.Errorf("%d ends are told again, want 1", f.endCounts.Repeated)
		}
	})
}
