package dispatchers

import (
	"errors"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// releaseRecorder is a core that records the attempt numbers of releases.
type releaseRecorder struct {
	fakeCore
	attempts []int
}

func (r *releaseRecorder) Released(_ control.ServerID, _ string, attempt, _ int, _ []float64) {
	r.attempts = append(r.attempts, attempt)
}

// ReleasedOnOtherConnection records a release without an attempt.
func (r *releaseRecorder) ReleasedOnOtherConnection(control.ServerID, string, int, []float64) (continues bool) {
	r.attempts = append(r.attempts, noAttempt)
	return false
}

// TestAnEndOnTheConnectionOfAnEarlierAttempt checks a call that was established by its second attempt at a dispatcher, on a second
// connection, while the cancelled first attempt is still known on the first one. Once the second connection has closed, the end arrives
// on the first and ends the established call. While it is open, what arrives on the first belongs to the earlier attempt.
func TestAnEndOnTheConnectionOfAnEarlierAttempt(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		closed bool
		want   int
	}{"the later connection is open": {false, 0}, "the later connection is closed": {true, noAttempt}} {
		t.Run(name, func(t *testing.T) { endOnEarlierConnection(t, test.closed, test.want) })
	}
}

func endOnEarlierConnection(t *testing.T, closed bool, want int) {
	const id = "00000000000000a1"
	fx := newPoolFixture(t, 0, 1)
	core, first, _ := fx.establishBySecondAttempt(id)
	if closed {
		fx.runOnLoop(func() {
			s := fx.pool.servers[dispatcherName(0)]
			for _, poolConn := range s.conns {
				if poolConn.lifetime == s.established[id] {
					poolConn.conn.Close(errors.New("broken"))
				}
			}
		})
		waitUntil(fx, func() bool { return fx.dispatchers[0].ConnCount() == 1 })
	}
	if err := first.ReleaseOnConn(id, call.CauseNormal); err != nil {
		t.Fatal(err)
	}
	waitUntil(fx, func() bool { return len(core.attempts) > 0 })
	fx.runOnLoop(func() {
		if got := core.attempts[0]; got != want {
			t.Errorf("the release belongs to attempt %d, want %d", got, want)
		}
	})
}

// TestAnEndThatIsReadBeforeTheCloseOfItsConnection guards against an end that is taken for that of a cancelled attempt: the dispatcher
// closes the connection of the established attempt cleanly and sends the end on the earlier connection, which is read first.
func TestAnEndThatIsReadBeforeTheCloseOfItsConnection(t *testing.T) {
	t.Parallel()
	const id = "00000000000000a2"
	fx := newPoolFixture(t, 0, 1)
	core, first, second := fx.establishBySecondAttempt(id)
	if err := first.ReleaseOnConn(id, call.CauseNormal); err != nil {
		t.Fatal(err)
	}
	waitUntil(fx, func() bool { return len(core.attempts) > 0 })
	if err := second.CloseConn(); err != nil {
		t.Fatal(err)
	}
	waitUntil(fx, func() bool { return len(fx.pool.servers[dispatcherName(0)].conns) == 1 })
	fx.runOnLoop(func() {
		if last := core.attempts[len(core.attempts)-1]; last != noAttempt {
			t.Errorf("the release belongs to attempt %d, want it to end the established call", last)
		}
	})
}

// establishBySecondAttempt establishes a call by its second attempt at the first dispatcher, on a second connection, after the first
// attempt was cancelled; first and second are their set-ups. No further connection can be opened, on which an end would be repeated.
func (fx *poolFixture) establishBySecondAttempt(id string) (core *releaseRecorder, first, second peer.Event) {
	fx.Helper()
	core = &releaseRecorder{fakeCore: *fx.core}
	fx.runOnLoop(func() {
		fx.pool.core = core
		fx.pool.Update(fx.list)
	})
	fx.waitFor(0, "opened")
	fx.setUp(0, id)
	first = fx.waitFor(0, "setup")
	fx.runOnLoop(func() {
		fx.pool.CancelAttempt(dispatcherName(0), id, 0)
		fx.pool.SetUp(dispatcherName(0), attemptOf(id, 1))
	})
	fx.waitFor(0, "opened")
	second = fx.waitFor(0, "setup")
	fx.establish(0, second)
	fx.dispatchers[0].StopListening()
	return core, first, second
}

// waitUntil waits until a condition holds on the event loop.
func waitUntil(fx *poolFixture, condition func() bool) {
	fx.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		holds := false
		fx.runOnLoop(func() {
			fx.pool.Flush()
			holds = condition()
		})
		if holds {
			return
		}
		if time.Since(begun) > peer.Timeout {
			fx.Fatal("the condition did not become true")
		}
	}
}
