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

// TestAReleaseIsNotHeldUpByTheBackoff guards against a release that waits for as long as a dispatcher is dialled rarely.
func TestAReleaseIsNotHeldUpByTheBackoff(t *testing.T) {
	t.Parallel()
	const id, refusals = "00000000000000b1", 20
	b := newBudgeted(t, 0, 1)
	b.dispatchers[0].Die()
	b.do(func() {
		b.pool.Update(b.list)
		s := b.pool.servers[name(0)]
		for range refusals {
			s.backoff.RecordFailure(time.Now(), 1)
		}
	})
	waitOnLoop(b, func() bool { return !b.pool.servers[name(0)].dialing })
	b.dispatchers[0] = dispatcherAt(t, "tcp", b.dispatchers[0].Address())
	begun := time.Now()
	b.do(func() { b.pool.Release(name(0), id, call.CauseNormal) })
	if e := b.comes(0, "release"); e.ID != id {
		t.Errorf("released %s, want %s", e.ID, id)
	}
	if took, most := time.Since(begun), 3*time.Second; took > most {
		t.Errorf("the release went out after %v, want %v", took, most)
	}
}

// TestAReleaseThatHasNotLeftAsItsConnectionEnds guards against a release that is queued on a connection as its dispatcher resets it.
func TestAReleaseThatHasNotLeftAsItsConnectionEnds(t *testing.T) {
	t.Parallel()
	const id = "00000000000000b2"
	b := newBudgeted(t, 0, 1)
	b.do(func() { b.pool.Update(b.list) })
	b.comes(0, "opened")
	waitOnLoop(b, func() bool { return b.pool.servers[name(0)].best() != nil })
	b.do(func() {
		l := b.pool.servers[name(0)].best()
		b.pool.Release(name(0), id, call.CauseNormal)
		b.dispatchers[0].Cut()
		for until := time.Now().Add(peer.Patience); l.conn.EndedAt().IsZero() && time.Now().Before(until); time.Sleep(time.Millisecond) { // netpoll takes it in
		}
	})
	if e := b.comes(0, "release"); e.ID != id {
		t.Errorf("released %s, want %s", e.ID, id)
	}
}

// TestReleasesAreConfirmed guards against releases that are taken for heard as they have left: what confirms them, on either wire.
func TestReleasesAreConfirmed(t *testing.T) {
	const id = "00000000000000b3"
	fields := []string{"idle"}
	confirmedBy := func(w Protocol, p []byte) {
		t.Helper()
		in := ring.New(1 << 10)
		in.Write(p)
		if m, err := w.Next(in); err != nil || m == nil || m.kind != confirmation || m.id != id {
			t.Errorf("%T reads %+v, %v; want the confirmation of %s", w, m, err, id)
		}
	}
	confirmedBy(&SIP{fields: &fields}, sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: id, Seq: byeSeq, SeqOf: "BYE"}))
	confirmedBy(&WebSocket{fields: &fields, open: true}, websocket.Append(nil, websocket.Text, []byte(`{"type":"released","id":"`+id+`","fields":{}}`), false))
}

// TestAReleaseIsNotRepeatedOverTheNextAttempt guards against calls that are cut as they stand, and of which nobody tells their callers: the release
// of an earlier attempt, which its dispatcher had not confirmed as the connection ended, was sent again when the next attempt had been established there.
func TestAReleaseIsNotRepeatedOverTheNextAttempt(t *testing.T) {
	t.Parallel()
	const id, next = "00000000000000b4", "00000000000000b5"
	b := newBudgeted(t, 0, 0)
	b.lists(dispatcherAt(t, "ws", "127.0.0.1:0")) // it confirms no release
	b.do(func() { b.pool.Update(b.list) })
	b.comes(0, "opened")
	b.setUp(0, id)
	first := b.comes(0, "setup")
	if err := first.Reset(); err != nil { // an answer may have gone down with it
		t.Fatal(err)
	}
	released := b.comes(0, "release")
	b.setUp(0, id)
	b.establishes(0, b.comes(0, "setup"))
	if err := released.Reset(); err != nil {
		t.Fatal(err)
	}
	b.comes(0, "opened")
	b.setUpWithoutRelease(0, next)
}
