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

// endedConnection is one that ended a moment ago.
type endedConnection struct {
	connection
	endedAt time.Time
	left    bool
}

// EndedAt is when it ended.
func (c *endedConnection) EndedAt() time.Time { return c.endedAt }

// Left reports whether the caller has gone.
func (c *endedConnection) Left() bool { return c.left }

// Remote is no address.
func (c *endedConnection) Remote() string { return "" }

// Write takes the last words.
func (c *endedConnection) Write([]byte) {}

// WriteThen takes a message that does not leave.
func (c *endedConnection) WriteThen([]byte, func()) conn.Ticket { return 0 }

// Close ends nothing more.
func (c *endedConnection) Close(error) {}

// onEnded runs a step on the loop with a connection on which the end of a call left some time before it ended.
func onEnded(t *testing.T, left time.Duration, gone bool, step func(f *Front, c *Conn)) {
	t.Helper()
	f := oneConnection(t, &openCore{owes: map[call.Caller]int{}})
	onLoop(f.loop, func() {
		now := time.Now()
		c := &Conn{front: f, conn: &endedConnection{endedAt: now, left: gone}, format: &Lines{}, asked: true}
		c.sent = []*told{{release: release{id: "00000000000000a1", end: ended, at: now, firstLeftAt: now.Add(-left)}, leftAt: now.Add(-left)}}
		step(f, c)
	})
}

// TestWhichEndsAreToldAgain guards against an end that is told to nobody, as its connection was reset with it unread, and against one that is told twice.
func TestWhichEndsAreToldAgain(t *testing.T) {
	for name, test := range map[string]struct {
		reason error
		left   time.Duration // before the end of the connection
		want   uint64
	}{
		"the caller has reset it":                 {conn.ErrReset, 2 * recent, 1},
		"a write meets a reset":                   {fmt.Errorf("writing: %w", syscall.ECONNRESET), 2 * recent, 1},
		"a write meets the end of it":             {fmt.Errorf("writing: %w", syscall.EPIPE), 2 * recent, 1},
		"the caller has closed it":                {io.EOF, 2 * recent, 0},
		"the caller has closed it right after":    {io.EOF, recent / 2, 1},
		"the caller has reset it, having read on": {conn.ErrReset, 2 * unreadFor, 0},
	} {
		t.Run(name, func(t *testing.T) {
			onEnded(t, test.left, false, func(f *Front, c *Conn) {
				if c.Closed(test.reason); f.ends.Repeated != test.want {
					t.Errorf("%d ends are told again, want %d", f.ends.Repeated, test.want)
				}
			})
		})
	}
}

// TestAnEndOnAConnectionThatIsClosedAsItsCallerGoes guards against an end that is told to nobody, as it lay unread on a connection that the caller has
// ended and this side closes before it knows how.
func TestAnEndOnAConnectionThatIsClosedAsItsCallerGoes(t *testing.T) {
	for gone, want := range map[bool]uint64{true: 1, false: 0} {
		onEnded(t, 2*recent, gone, func(f *Front, c *Conn) {
			if c.shut(conn.ErrClosedHere); f.ends.Repeated != want {
				t.Errorf("%d ends are told again where the caller has gone: %v; want %d", f.ends.Repeated, gone, want)
			}
		})
	}
}

// TestAnEndIsKeptAsTheNextOneIsTold guards against an end that is told to nobody, as it lay unread while the next one was sent ahead of a reset.
func TestAnEndIsKeptAsTheNextOneIsTold(t *testing.T) {
	onEnded(t, 2*recent, false, func(f *Front, c *Conn) {
		c.release(release{id: "00000000000000a2", end: ended, at: time.Now()})
		if c.Closed(conn.ErrReset); f.ends.Repeated != 2 {
			t.Errorf("%d ends are told again, want 2", f.ends.Repeated)
		}
	})
}

// TestAnEndWaitsOnWhileCallersLeave guards against an end that is dropped, as the only connection for it has just been left.
func TestAnEndWaitsOnWhileCallersLeave(t *testing.T) {
	onEnded(t, 0, true, func(f *Front, c *Conn) {
		f.open = append(f.open, c)
		f.pending = []release{c.sent[0].release}
		if f.deliver(); len(f.pending) != 1 {
			t.Errorf("%d ends wait, want 1", len(f.pending))
		}
		f.open = nil
	})
}

// TestAnEndThatHasNotLeftAsItsConnectionCloses guards against an end that counts as read, as it was queued well before the connection closed and never
// left.
func TestAnEndThatHasNotLeftAsItsConnectionCloses(t *testing.T) {
	onEnded(t, 0, false, func(f *Front, c *Conn) {
		c.sent = nil
		c.release(release{id: "00000000000000a2", end: ended, at: time.Now()})
		c.conn = &endedConnection{endedAt: time.Now().Add(2 * recent)}
		if c.Closed(io.EOF); f.ends.Repeated != 1 {
			t.Errorf("%d ends are told again, want 1", f.ends.Repeated)
		}
	})
}
