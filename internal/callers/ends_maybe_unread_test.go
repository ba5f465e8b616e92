package callers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/peer"
)

// closingCore shuts down, and has established calls on every connection, or none.
type closingCore struct {
	stubCore
	established int
}

func (c *closingCore) Phase() call.Phase             { return call.Closing }
func (c *closingCore) EstablishedOf(call.Caller) int { return c.established }

// newFrontWithConns returns a front that accepts several connections, with this number of connections to it.
func newFrontWithConns(t *testing.T, core Core, connections int) (*Front, []*peer.Caller, []*Conn) {
	t.Helper()
	f := newSmallFront(t, core)
	onLoop(f.loop, func() { f.SetMaxConnections(8) })
	var callers []*peer.Caller
	var conns []*Conn
	for i := range connections {
		caller, c := connect(t, f, i+1)
		callers, conns = append(callers, caller), append(conns, c)
	}
	return f, callers, conns
}

func newStubCore() *stubCore { return &stubCore{pending: map[call.Caller]int{}} }

// TestWhichEndsMayBeUnread guards against an end that counts as read although it may not have been, and against one that is
// repeated forever.
func TestWhichEndsMayBeUnread(t *testing.T) {
	t.Parallel()
	now := time.Now()
	for name, test := range map[string]struct {
		receivedRequest bool
		writtenAt       time.Time
		want            bool
	}{
		"not written":      {true, time.Time{}, true},
		"just written":     {true, now, true},
		"written long ago": {true, now.Add(-2 * crossingTime), false},
		"written long ago, and no message was ever received":      {false, now.Add(-2 * crossingTime), true},
		"written very long ago, and no message was ever received": {false, now.Add(-2 * endTimeout), false},
	} {
		c := &Conn{conn: new(conn.Conn), receivedRequest: test.receivedRequest}
		if got := c.maybeUnread(&sentEnd{callEnd: callEnd{firstSentAt: test.writtenAt}, sentAt: test.writtenAt}); got != test.want {
			t.Errorf("%s: may be unread: %v, want %v", name, got, test.want)
		}
	}
}

// TestAnEndSentShortlyBeforeItsConnectionEnds guards against an end that counts as read because the loop notices the end of the
// connection late.
func TestAnEndSentShortlyBeforeItsConnectionEnds(t *testing.T) {
	t.Parallel()
	for name, endConn := range map[string]func(*peer.Caller, *Conn) error{
		"the peer closes it":  func(p *peer.Caller, _ *Conn) error { return p.Close() },
		"this side closes it": func(_ *peer.Caller, c *Conn) error { c.conn.Close(conn.ErrClosedLocally); return nil },
		"this side aborts it": func(_ *peer.Caller, c *Conn) error { c.conn.(*conn.Conn).Abort(conn.ErrClosedLocally); return nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, callers, conns := newFrontWithConns(t, newStubCore(), 1)
			c := conns[0]
			onLoop(f.loop, func() { // the loop is busy until long after the end of the connection
				c.receivedRequest = true
				end := &sentEnd{callEnd: callEnd{firstSentAt: time.Now()}, sentAt: time.Now()}
				if err := endConn(callers[0], c); err != nil {
					t.Error(err)
				}
				for until := time.Now().Add(peer.Timeout); c.conn.EndedAt().IsZero() && time.Now().Before(until); time.Sleep(time.Millisecond) {
				}
				end.sentAt = c.conn.EndedAt().Add(-crossingTime / 2)
				time.Sleep(crossingTime)
				if !c.maybeUnread(end) {
					t.Error("the end counts as read")
				}
			})
		})
	}
}

// TestAnEndCountsAsSentOnceWritten guards against an end that counts as sent while it is queued, and against dropping the ends
// before it.
func TestAnEndCountsAsSentOnceWritten(t *testing.T) {
	t.Parallel()
	f, _, conns := newFrontWithConns(t, newStubCore(), 1)
	onLoop(f.loop, func() {
		c := conns[0]
		c.NotifyTerminated("00000000000000f1", call.End{Cause: call.CauseNormal})
		c.NotifyTerminated("00000000000000f2", call.End{Cause: call.CauseNormal})
		if len(c.sentEnds) != 2 || !c.sentEnds[0].sentAt.IsZero() || !c.sentEnds[1].sentAt.IsZero() {
			t.Errorf("%d unwritten ends are kept, want 2", len(c.sentEnds))
		}
		c.conn.Flush()
		if len(c.sentEnds) != 2 || c.sentEnds[0].sentAt.IsZero() || c.sentEnds[1].sentAt.IsZero() {
			t.Error("the ends were written, but are not recorded as such")
		}
	})
}

// TestAnEndGoesToAConnectionThatHadACall guards against an end that is sent on a connection with requests only, which may be
// anyone's.
func TestAnEndGoesToAConnectionThatHadACall(t *testing.T) {
	t.Parallel()
	f, _, conns := newFrontWithConns(t, newStubCore(), 2)
	onLoop(f.loop, func() {
		conns[0].receivedRequest, conns[0].hadCall, conns[1].receivedRequest = true, true, true
		conns[1].lastUsedAt = time.Now().Add(time.Second)
		f.Release("00000000000000f1", call.End{Cause: call.CauseNormal})
		if len(conns[0].sentEnds) != 1 || len(conns[1].sentEnds) != 0 {
			t.Errorf("%d ends sent on the connection that had a call, %d on the other; want 1, 0", len(conns[0].sentEnds), len(conns[1].sentEnds))
		}
	})
}

// TestAClosingControllerKeepsConnectionsInUse guards against closing connections with established calls, or with ends that may be
// unread.
func TestAClosingControllerKeepsConnectionsInUse(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		established int
		endSent     bool
		kept        bool
	}{"a call is established": {1, false, true}, "an end may be unread": {0, true, true}, "nothing is left to deliver": {0, false, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, _, conns := newFrontWithConns(t, &closingCore{stubCore: *newStubCore(), established: 1}, 1)
			onLoop(f.loop, func() {
				core, _ := f.core.(*closingCore)
				if test.endSent {
					conns[0].NotifyTerminated("00000000000000f1", call.End{Cause: call.CauseNormal})
					conns[0].conn.Flush()
				}
				core.established = test.established
				conns[0].waitingSince = time.Now().Add(-2 * newConnGracePeriod)
				f.poll()
				if kept := !conns[0].closed; kept != test.kept {
					t.Errorf("kept: %v, want %v", kept, test.kept)
				}
			})
		})
	}
}
