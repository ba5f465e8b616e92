package callers

import (
	"log/slog"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/settings"
)

// stubCore accepts every set-up, and leaves it without an answer. It is used only on the loop.
type stubCore struct {
	Core
	pending map[call.Caller]int
}

func (c *stubCore) Offer(r call.Request) error            { c.pending[r.Caller]++; return nil }
func (c *stubCore) PendingOf(caller call.Caller) int      { return c.pending[caller] }
func (c *stubCore) CallerDisconnected(caller call.Caller) { delete(c.pending, caller) }
func (c *stubCore) EstablishedOf(call.Caller) int         { return 0 }
func (c *stubCore) Phase() call.Phase                     { return call.Serving }
func (c *stubCore) Superseded() bool                      { return false }

// onLoop runs a step on the loop, and waits for it.
func onLoop(loop *call.Loop, step func()) {
	ran := make(chan struct{})
	loop.Post(func() { defer close(ran); step() })
	<-ran
}

// newSmallFront returns a front with a limit of one connection, and one more for a moment.
func newSmallFront(t *testing.T, core Core) *Front {
	t.Helper()
	tcp, err := conn.BindShared("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var set settings.Settings
	if err := jsoniter.UnmarshalFromString(`{"requestClasses":[{"name":"c","deadlineUs":9000000}]}`, &set); err != nil {
		t.Fatal(err)
	}
	loop := call.NewLoop()
	f := New(loop, core, slog.New(slog.DiscardHandler), tcp, func() Format { return &JSONLines{} },
		Bounds{MaxConnections: 1, MessageTimeout: time.Minute, IdleTimeout: time.Minute}, NewSetUpRules(&set))
	onLoopEnd := make(chan struct{})
	go func() { defer close(onLoopEnd); loop.Run() }()
	onLoop(loop, func() { err = f.Listener().Start() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		onLoop(loop, func() {
			if err := f.Close(); err != nil {
				t.Error(err)
			}
		})
		loop.Quit()
		<-onLoopEnd
	})
	return f
}

// connect opens a connection and waits until the front has this number of connections.
func connect(t *testing.T, f *Front, number int) (*peer.Caller, *Conn) {
	t.Helper()
	caller, err := peer.DialCaller("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	caller.Class = "c"
	var accepted *Conn
	for until := time.Now().Add(peer.Timeout); accepted == nil; {
		onLoop(f.loop, func() {
			if len(f.conns) == number {
				accepted = f.conns[number-1]
			}
		})
		if time.Now().After(until) {
			t.Fatal("the connection is never accepted")
		}
	}
	return caller, accepted
}

// sendSetUp sends a set-up while the loop is blocked, until all of it waits to be processed; then it runs the step on the loop.
func sendSetUp(t *testing.T, f *Front, caller *peer.Caller, at *Conn, step func()) {
	t.Helper()
	onLoop(f.loop, func() {
		if err := caller.SetUp("00000000000000b1", time.Second, 0, "x"); err != nil {
			t.Error(err)
			return
		}
		for until := time.Now().Add(peer.Timeout); at.conn.NoPendingInput() || !at.conn.AllInputRead(); time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Error("the set-up never arrives")
				return
			}
		}
		step()
	})
}

// TestASetUpReadAsItsConnectionWouldCloseIsKept guards against closing a connection beyond the limit right after its set-up was
// accepted: the set-up was waiting to be processed at the connection's timeout, when the connection had just come within the
// limit.
func TestASetUpReadAsItsConnectionWouldCloseIsKept(t *testing.T) {
	core := &stubCore{pending: map[call.Caller]int{}}
	f := newSmallFront(t, core)
	_, first := connect(t, f, 1)
	onLoop(f.loop, func() { core.pending[first] = 1 }) // it cannot be evicted
	caller, newest := connect(t, f, 2)
	sendSetUp(t, f, caller, newest, func() {
		if !newest.overflow || !f.listener.Full() {
			t.Error("the newest connection is not beyond the limit")
		}
		newest.waitingSince = time.Now().Add(-2 * overflowTimeout)
		first.closeNow(conn.ErrClosedLocally) // its descriptor is held for a moment longer
		f.poll()
		if newest.closed || core.pending[newest] != 1 {
			t.Errorf("closed: %v, with %d set-ups accepted; want it open with one", newest.closed, core.pending[newest])
		}
	})
}
