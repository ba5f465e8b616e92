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
	b := newPoolFixture(t, 0, 1)
	core, first, _ := b.establishBySecondAttempt(id)
	if closed {
		b.runOnLoop(func() {
			s := b.pool.servers[dispatcherName(0)]
			for _, poolConn := range s.conns {
				if poolConn.lifetime == s.established[id] {
					poolConn.conn.Close(errors.New("broken"))
				}
			}
		})
		waitUntil(b, func() bool { return b.dispatchers[0].Links() == 1 })
	}
	if err := first.ReleaseHere(id, call.CauseNormal); err != nil {
		t.Fatal(err)
	}
	waitUntil(b, func() bool { return len(core.attempts) > 0 })
	b.runOnLoop(func() {
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
	b := newPoolFixture(t, 0, 1)
	core, first, second := b.establishBySecondAttempt(id)
	if err := first.ReleaseHere(id, call.CauseNormal); err != nil {
		t.Fatal(err)
	}
	waitUntil(b, func() bool { return len(core.attempts) > 0 })
	if err := second.CloseHere(); err != nil {
		t.Fatal(err)
	}
	waitUntil(b, func() bool { return len(b.pool.servers[dispatcherName(0)].conns) == 1 })
	b.runOnLoop(func() {
		if last := core.attempts[len(core.attempts)-1]; last != noAttempt {
			t.Errorf("the release belongs to attempt %d, want it to end the established call", last)
		}
	})
}

// establishBySecondAttempt establishes a call by its second attempt at the first dispatcher, on a second connection, after the first
// attempt was cancelled; first and second are their set-ups. No further connection can be opened, on which an end would be repeated.
func (b *poolFixture) establishBySecondAttempt(id string) (core *releaseRecorder, first, second peer.Event) {
	b.Helper()
	core = &releaseRecorder{fakeCore: *b.core}
	b.runOnLoop(func() {
		b.pool.core = core
		b.pool.Update(b.list)
	})
	b.waitFor(0, "opened")
	b.setUp(0, id)
	first = b.waitFor(0, "setup")
	b.runOnLoop(func() {
		b.pool.CancelAttempt(dispatcherName(0), id, 0)
		b.pool.SetUp(dispatcherName(0), attemptOf(id, 1))
	})
	b.waitFor(0, "opened")
	second = b.waitFor(0, "setup")
	b.establish(0, second)
	b.dispatchers[0].Stop()
	return core, first, second
}

// waitUntil waits until a condition holds on the event loop.
func waitUntil(b *poolFixture, condition func() bool) {
	b.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		holds := false
		b.runOnLoop(func() {
			b.pool.Flush()
			holds = condition()
		})
		if holds {
			return
		}
		if time.Since(begun) > peer.Patience {
			b.Fatal("the condition did not become true")
		}
	}
}
