package dispatchers

import (
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// fakeCore is a core with calls established at dispatchers. It records the outcomes of attempts.
type fakeCore struct {
	outcomeRecorder
	calls map[control.ServerID][]string // established calls by dispatcher
}

func (c *fakeCore) EstablishedCount(id control.ServerID) int { return len(c.calls[id]) }
func (c *fakeCore) EstablishedAt(id control.ServerID) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, call := range c.calls[id] {
			if !yield(call) {
				return
			}
		}
	}
}

func (c *fakeCore) EachEstablished(f func(control.ServerID)) {
	for id, calls := range c.calls {
		for range calls {
			f(id)
		}
	}
}

func (c *fakeCore) Answered(server control.ServerID, id string, _ int, _ string) bool {
	c.calls[server] = append(c.calls[server], id)
	return true
}

// poolFixture is a pool with a socket budget, and dispatchers for it.
type poolFixture struct {
	*testing.T
	pool        *Pool
	loop        *call.Loop
	core        *fakeCore
	dispatchers []*peer.Dispatcher
	list        call.Update
}

func newPoolFixture(t *testing.T, budget, n int) *poolFixture {
	t.Helper()
	fx := &poolFixture{T: t, loop: call.NewLoop(),
		core: &fakeCore{outcomeRecorder: outcomeRecorder{outcomes: map[string]control.Outcome{}}, calls: map[control.ServerID][]string{}}}
	for range n {
		fx.addDispatcher(dispatcherAt(t, "tcp", "127.0.0.1:0"))
	}
	fx.list.Complete = true
	go fx.loop.Run()
	t.Cleanup(fx.loop.Quit)
	fx.runOnLoop(func() {
		fx.pool = New(fx.loop, fx.core, Options{ConnectTimeout: 10 * time.Second, Log: slog.New(slog.DiscardHandler)})
		fx.pool.SetSocketBudget(budget)
	})
	return fx
}

// dispatcherAt starts a dispatcher at an address. It is stopped when the test ends.
func dispatcherAt(t *testing.T, transport, address string) *peer.Dispatcher {
	t.Helper()
	d, err := peer.StartDispatcher(transport, address, "x0:40")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

// addDispatcher adds a dispatcher to the list, and has it report events of its connections.
func (fx *poolFixture) addDispatcher(d *peer.Dispatcher) {
	d.EnableConnEvents()
	id := dispatcherName(len(fx.dispatchers))
	fx.dispatchers = append(fx.dispatchers, d)
	fx.list.Servers = append(fx.list.Servers, call.Server{ServerEntry: control.ServerEntry{ID: id}, Address: d.Address()})
}

func dispatcherName(i int) control.ServerID { return control.ServerID(fmt.Sprint("d", i)) }

// runOnLoop runs a function on the event loop.
func (fx *poolFixture) runOnLoop(f func()) {
	done := make(chan struct{})
	fx.loop.Post(func() { f(); close(done) })
	<-done
}

// setUp places a call at a dispatcher.
func (fx *poolFixture) setUp(i int, id string) {
	fx.runOnLoop(func() {
		fx.pool.SetUp(dispatcherName(i), attemptOf(id, 0))
		fx.pool.Flush()
	})
}

// waitFor waits for an event of a kind at a dispatcher.
func (fx *poolFixture) waitFor(i int, kind string) peer.Event {
	fx.Helper()
	for begun := time.Now(); ; {
		if time.Since(begun) > peer.Timeout {
			fx.Fatalf("no %s event at dispatcher %d", kind, i)
		}
		// What was queued during a flush is sent with the next iteration.
		fx.runOnLoop(fx.pool.Flush)
		select {
		case e := <-fx.dispatchers[i].Events:
			if e.Kind == kind {
				return e
			}
		case <-time.After(10 * time.Millisecond):
		}
		if fx.Failed() {
			fx.FailNow()
		}
	}
}

// establish has a dispatcher answer a set-up, and waits until the call is the only one established there.
func (fx *poolFixture) establish(i int, setUp peer.Event) {
	fx.Helper()
	if err := setUp.Answer("y"); err != nil {
		fx.Fatal(err)
	}
	waitUntil(fx, func() bool { return len(fx.core.calls[dispatcherName(i)]) == 1 })
}

// setUpWithoutRelease places a call at a dispatcher, where waiting releases would be sent first, and fails if one arrives.
func (fx *poolFixture) setUpWithoutRelease(i int, id string) {
	fx.Helper()
	fx.setUp(i, id)
	for until := time.Now().Add(peer.Timeout); time.Now().Before(until); {
		fx.runOnLoop(fx.pool.Flush)
		select {
		case e := <-fx.dispatchers[i].Events:
			switch {
			case e.Kind == "release":
				fx.Fatalf("call %s was released", e.ID)
			case e.Kind == "setup" && e.ID == id:
				return
			}
		case <-time.After(10 * time.Millisecond):
		}
	}
	fx.Error("the next set-up did not arrive")
}

// TestASetUpEvictsAnIdleConnection checks a budget of two sockets for three dispatchers: a set-up for a dispatcher without a connection
// evicts an idle connection, and waits while both connections have open set-ups.
func TestASetUpEvictsAnIdleConnection(t *testing.T) {
	t.Parallel()
	fx := newPoolFixture(t, 2, 3)
	fx.runOnLoop(func() { fx.pool.Update(fx.list) })
	fx.waitFor(0, "opened") // one of the two sockets is used before a call needs it
	fx.setUp(0, "a")
	first := fx.waitFor(0, "setup")
	fx.setUp(1, "b")
	second := fx.waitFor(1, "setup")
	fx.setUp(2, "c")
	fx.runOnLoop(func() {
		if conns := fx.pool.servers["d0"].conns; len(conns) != 1 || fx.pool.sockets.held != 2 || len(fx.pool.servers["d1"].conns) != 1 {
			t.Errorf("%d sockets are held, want 2; %d connections to d0, want 1", fx.pool.sockets.held, len(conns))
		}
	})
	if err := second.Refuse(peer.TemporaryFailure); err != nil {
		t.Fatal(err)
	}
	fx.waitFor(1, "closed")
	third := fx.waitFor(2, "setup")
	for _, e := range []peer.Event{first, third} {
		if err := e.Answer("y"); err != nil {
			t.Fatal(err)
		}
	}
	for established := 0; established < 2; {
		fx.runOnLoop(func() { established = len(fx.core.calls["d0"]) + len(fx.core.calls["d2"]) })
	}
	fx.runOnLoop(func() {
		if got := maps.Collect(maps.All(fx.core.outcomes)); len(got) != 1 {
			t.Errorf("attempts that ended: %v, want only the second", got)
		}
	})
}

// TestDispatchersWithCallsShareTheBudget checks the budget while more dispatchers have established calls than there may be connections:
// each gets a new connection, on which it can repeat the ends of its calls, within 8 s, repeatedly.
func TestDispatchersWithCallsShareTheBudget(t *testing.T) {
	t.Parallel()
	const budget, n, rounds = 4, 10, 2
	fx := newPoolFixture(t, budget, n)
	fx.runOnLoop(func() {
		for i := range n {
			fx.core.calls[dispatcherName(i)] = []string{fmt.Sprint("call ", i)}
		}
		fx.pool.Update(fx.list)
	})
	opened, since := [n]int{}, [n]time.Time{}
	for i := range since {
		since[i] = time.Now()
	}
	for least := 0; least < rounds; {
		most := 0
		fx.runOnLoop(func() { most = fx.pool.sockets.held })
		if most > budget {
			t.Fatalf("%d sockets are held, more than the budget", most)
		}
		least = rounds
		for i, d := range fx.dispatchers {
			select {
			case e := <-d.Events:
				if e.Kind != "opened" {
					break
				}
				opened[i]++
				since[i] = e.At
			case <-time.After(time.Millisecond):
			}
			if without := time.Since(since[i]); without > 8*time.Second {
				t.Fatalf("dispatcher %d has had no new connection for %v; openings: %v", i, without, opened)
			}
			least = min(least, opened[i])
		}
	}
	t.Log("openings:", opened)
}

// TestRefusingDispatchersAreDialledRarely checks that each dispatcher on the list is dialled once, and then only one per second of all of
// them, except for one that a set-up waits for, which is dialled at once.
func TestRefusingDispatchersAreDialledRarely(t *testing.T) {
	t.Parallel()
	const n, duration = 50, 3 * time.Second
	fx := newPoolFixture(t, 0, n)
	for _, d := range fx.dispatchers {
		d.Kill()
	}
	begun := time.Now()
	fx.runOnLoop(func() { fx.pool.Update(fx.list) })
	dials := func() (dials int) { fx.runOnLoop(func() { dials = fx.pool.sockets.dialCount }); return dials }
	for dials() < n {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(duration)
	if got, most := dials(), n+1+int(time.Since(begun)/time.Second); got > most || got < n+int(duration/time.Second)-1 {
		t.Errorf("%d dials in %v, want %d at most", got, time.Since(begun), most)
	}
	fx.dispatchers[n-1] = dispatcherAt(t, "tcp", fx.dispatchers[n-1].Address())
	since := time.Now()
	fx.setUp(n-1, "a")
	fx.waitFor(n-1, "setup")
	if took := time.Since(since); took > time.Second {
		t.Errorf("a set-up waited for %v", took)
	}
}
