package dispatchers

import (
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/sip"
	"cherryrelay/internal/websocket"
)

// TestAReleaseIsNotHeldUpByTheBackoff guards against a release that is delayed by the backoff of its dispatcher.
func TestAReleaseIsNotHeldUpByTheBackoff(t *testing.T) {
	t.Parallel()
	const id, refusals = "00000000000000b1", 20
	fx := newPoolFixture(t, 0, 1)
	fx.dispatchers[0].Kill()
	fx.runOnLoop(func() {
		fx.pool.Update(fx.list)
		s := fx.pool.servers[dispatcherName(0)]
		for range refusals {
			s.backoff.RecordFailure(time.Now(), 1)
		}
	})
	waitUntil(fx, func() bool { return !fx.pool.servers[dispatcherName(0)].dialing })
	fx.dispatchers[0] = dispatcherAt(t, "tcp", fx.dispatchers[0].Address())
	begun := time.Now()
	fx.runOnLoop(func() { fx.pool.Release(dispatcherName(0), id, call.CauseNormal) })
	if e := fx.waitFor(0, "release"); e.ID != id {
		t.Errorf("released %s, want %s", e.ID, id)
	}
	if took, most := time.Since(begun), 3*time.Second; took > most {
		t.Errorf("the release was sent after %v, want at most %v", took, most)
	}
}

// TestAnUnsentReleaseOnAResetConnection guards against the loss of a release that is queued on a connection when its dispatcher resets
// it.
func TestAnUnsentReleaseOnAResetConnection(t *testing.T) {
	t.Parallel()
	const id = "00000000000000b2"
	fx := newPoolFixture(t, 0, 1)
	fx.runOnLoop(func() { fx.pool.Update(fx.list) })
	fx.waitFor(0, "opened")
	waitUntil(fx, func() bool { return fx.pool.servers[dispatcherName(0)].latestConn() != nil })
	fx.runOnLoop(func() {
		poolConn := fx.pool.servers[dispatcherName(0)].latestConn()
		fx.pool.Release(dispatcherName(0), id, call.CauseNormal)
		fx.dispatchers[0].ResetConns()
		for until := time.Now().Add(peer.Timeout); poolConn.conn.EndedAt().IsZero() &&
			time.Now().Before(until); time.Sleep(time.Millisecond) { // until netpoll has noticed the reset
		}
	})
	if e := fx.waitFor(0, "release"); e.ID != id {
		t.Errorf("released %s, want %s", e.ID, id)
	}
}

// TestReleasesAreConfirmed guards against releases that count as received when they were only sent: it checks the confirmations of both
// protocols.
func TestReleasesAreConfirmed(t *testing.T) {
	const id = "00000000000000b3"
	fields := []string{"idle"}
	checkConfirmation := func(protocol Protocol, p []byte) {
		t.Helper()
		in := ring.New(1 << 10)
		in.Write(p)
		if m, err := protocol.Next(in); err != nil || m == nil || m.kind != releaseConfirmed || m.id != id {
			t.Errorf("%T reads %+v, %v; want the confirmation of %s", protocol, m, err, id)
		}
	}
	checkConfirmation(&SIP{fields: &fields}, sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: id, Seq: releaseCSeq, SeqMethod: "BYE"}))
	checkConfirmation(&WebSocket{fields: &fields, handshakeDone: true},
		websocket.Append(nil, websocket.Text, []byte(`{"type":"released","id":"`+id+`","fields":{}}`), false))
}

// TestAReleaseIsNotRepeatedAfterTheNextAttempt guards against established calls that are ended without a notification to their callers:
// the release of an earlier attempt, which its dispatcher had not confirmed when the connection closed, was sent again after the next
// attempt had been established there.
func TestAReleaseIsNotRepeatedAfterTheNextAttempt(t *testing.T) {
	t.Parallel()
	const id, next = "00000000000000b4", "00000000000000b5"
	fx := newPoolFixture(t, 0, 0)
	fx.addDispatcher(dispatcherAt(t, "ws", "127.0.0.1:0")) // it confirms no release
	fx.runOnLoop(func() { fx.pool.Update(fx.list) })
	fx.waitFor(0, "opened")
	fx.setUp(0, id)
	first := fx.waitFor(0, "setup")
	if err := first.ResetConn(); err != nil { // an answer may have been lost with it
		t.Fatal(err)
	}
	released := fx.waitFor(0, "release")
	fx.setUp(0, id)
	fx.establish(0, fx.waitFor(0, "setup"))
	if err := released.ResetConn(); err != nil {
		t.Fatal(err)
	}
	fx.waitFor(0, "opened")
	fx.setUpWithoutRelease(0, next)
}
