package dispatchers

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// TestWaitingSetUpSendsTheTimeLeft guards against a set-up that waited for its connection and was sent with its full timeout.
func TestWaitingSetUpSendsTheTimeLeft(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for waited, want := range map[time.Duration]time.Duration{
		0: 400 * time.Millisecond, 153 * time.Millisecond: 247 * time.Millisecond, 400 * time.Millisecond: 0, time.Second: 0,
		-time.Second: 400 * time.Millisecond, // a clock that was set back
	} {
		w := waitingSetUp{SetUp: call.SetUp{ID: "1", Timeout: 400 * time.Millisecond}, queuedAt: start}
		a, ok := w.withTimeLeft(start.Add(waited))
		if ok != (want > 0) || ok && a.Timeout != want {
			t.Errorf("after %v: %v, %v, want %v", waited, a.Timeout, ok, want)
		}
	}
}

// TestWaitingReleases checks that more releases than a socket accepts at once, and a set-up after them, are sent in order when a
// connection opens. Those beyond 1,024 were once dropped, and their calls lasted until their own end.
func TestWaitingReleases(t *testing.T) {
	t.Parallel()
	d, err := peer.NewFullBacklogDispatcher("tcp", "x0:40")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	loop := call.NewLoop()
	go loop.Run()
	t.Cleanup(loop.Quit)
	const releaseCount = 6000 // about a megabyte
	loop.Post(func() {
		p := New(loop, &outcomeRecorder{outcomes: map[string]control.Outcome{}}, Options{ConnectTimeout: time.Minute, Log: slog.New(slog.DiscardHandler)})
		p.SetMaxConnections(1)
		var iterate func()
		iterate = func() { p.Flush(); loop.After(time.Millisecond, iterate) } // like the event loop of the core
		iterate()
		p.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: "d"}, Address: d.Address()}}, Complete: true})
		for n := range releaseCount {
			p.Release("d", fmt.Sprint("known-", n), 31)
		}
		for n := range 2 * maxUnknownReleases {
			p.Release("", fmt.Sprint("unknown-", n), 31) // any client can send these, so they are limited
		}
		p.SetUp("d", attemptOf("last", 0))
	})
	d.StartAccepting()
	for n := range releaseCount + 1 {
		want := fmt.Sprint("release known-", n)
		if n == releaseCount {
			want = "setup last"
		}
		e, err := d.Next()
		if err != nil {
			t.Fatalf("%v after %d of %d", err, n, releaseCount)
		}
		if got := e.Kind + " " + e.ID; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}
