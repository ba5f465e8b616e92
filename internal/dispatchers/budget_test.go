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

// standings is a core with calls at dispatchers; it notes how attempts ended.
type standings struct {
	ends
	at map[control.ServerID][]string // calls that stand
}

func (s *standings) EstablishedCount(id control.ServerID) int { return len(s.at[id]) }
func (s *standings) EstablishedAt(id control.ServerID) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, call := range s.at[id] {
			if !yield(call) {
				return
			}
		}
	}
}

func (s *standings) EachEstablished(f func(control.ServerID)) {
	for id, calls := range s.at {
		for range calls {
			f(id)
		}
	}
}

func (s *standings) Answered(server control.ServerID, id string, _ int, _ string) bool {
	s.at[server] = append(s.at[server], id)
	return true
}

// budgeted is a pool with a budget and dispatchers to connect to.
type budgeted struct {
	*testing.T
	pool        *Pool
	loop        *call.Loop
	core        *standings
	dispatchers []*peer.Dispatcher
	list        call.Update
}

func newBudgeted(t *testing.T, budget, n int) *budgeted {
	t.Helper()
	b := &budgeted{T: t, loop: call.NewLoop(), core: &standings{ends: ends{told: map[string]control.Outcome{}}, at: map[control.ServerID][]string{}}}
	for range n {
		b.lists(dispatcherAt(t, "tcp", "127.0.0.1:0"))
	}
	b.list.Complete = true
	go b.loop.Run()
	t.Cleanup(b.loop.Quit)
	b.do(func() {
		b.pool = New(b.loop, b.core, Options{ConnectTimeout: 10 * time.Second, Log: slog.New(slog.DiscardHandler)})
		b.pool.SetSocketBudget(budget)
	})
	return b
}

// dispatcherAt listens at an address until the test ends.
func dispatcherAt(t *testing.T, transport, address string) *peer.Dispatcher {
	t.Helper()
	d, err := peer.Dispatch(transport, address, "x0:40")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Die)
	return d
}

// lists puts a dispatcher on the list, and has it tell of its connections.
func (b *budgeted) lists(d *peer.Dispatcher) {
	d.TellLinks()
	id := name(len(b.dispatchers))
	b.dispatchers = append(b.dispatchers, d)
	b.list.Servers = append(b.list.Servers, call.Server{ServerEntry: control.ServerEntry{ID: id}, Address: d.Address()})
}

func name(i int) control.ServerID { return control.ServerID(fmt.Sprint("d", i)) }

// do runs a function on the loop.
func (b *budgeted) do(f func()) {
	done := make(chan struct{})
	b.loop.Post(func() { f(); close(done) })
	<-done
}

// setUp places a call at a dispatcher.
func (b *budgeted) setUp(i int, id string) {
	b.do(func() {
		b.pool.SetUp(name(i), attemptOf(id, 0))
		b.pool.Flush()
	})
}

// comes waits for an event of a kind at a dispatcher.
func (b *budgeted) comes(i int, kind string) peer.Event {
	b.Helper()
	for begun := time.Now(); ; {
		if time.Since(begun) > peer.Patience {
			b.Fatalf("no %s comes to dispatcher %d", kind, i)
		}
		// What was queued while the pool was flushed goes out with the next turn.
		b.do(b.pool.Flush)
		select {
		case e := <-b.dispatchers[i].Events:
			if e.Kind == kind {
				return e
			}
		case <-time.After(10 * time.Millisecond):
		}
		if b.Failed() {
			b.FailNow()
		}
	}
}

// establishes has a dispatcher answer a set-up, and waits until the call stands, the only one there.
func (b *budgeted) establishes(i int, setUp peer.Event) {
	b.Helper()
	if err := setUp.Answer("y"); err != nil {
		b.Fatal(err)
	}
	waitOnLoop(b, func() bool { return len(b.core.at[name(i)]) == 1 })
}

// setUpWithoutRelease places a call at a dispatcher, ahead of which releases would go out, and wants none to come there.
func (b *budgeted) setUpWithoutRelease(i int, id string) {
	b.Helper()
	b.setUp(i, id)
	for until := time.Now().Add(peer.Patience); time.Now().Before(until); {
		b.do(b.pool.Flush)
		select {
		case e := <-b.dispatchers[i].Events:
			switch {
			case e.Kind == "release":
				b.Fatalf("call %s is released", e.ID)
			case e.Kind == "setup" && e.ID == id:
				return
			}
		case <-time.After(10 * time.Millisecond):
		}
	}
	b.Error("the next set-up never comes")
}

// TestASetUpMakesRoom: with two sockets for three dispatchers, a set-up for one without a connection has an idle one closed, and waits
// while both have set-ups open.
func TestASetUpMakesRoom(t *testing.T) {
	t.Parallel()
	b := newBudgeted(t, 2, 3)
	b.do(func() { b.pool.Update(b.list) })
	b.comes(0, "opened") // ahead of need, one of the two is used
	b.setUp(0, "a")
	first := b.comes(0, "setup")
	b.setUp(1, "b")
	second := b.comes(1, "setup")
	b.setUp(2, "c")
	b.do(func() {
		if l := b.pool.servers["d0"].links; len(l) != 1 || b.pool.sockets.held != 2 || len(b.pool.servers["d1"].links) != 1 {
			t.Errorf("%d sockets are held, %d links to d0", b.pool.sockets.held, len(l))
		}
	})
	if err := second.Refuse(peer.Broken); err != nil {
		t.Fatal(err)
	}
	b.comes(1, "closed")
	third := b.comes(2, "setup")
	for _, e := range []peer.Event{first, third} {
		if err := e.Answer("y"); err != nil {
			t.Fatal(err)
		}
	}
	for stand := 0; stand < 2; {
		b.do(func() { stand = len(b.core.at["d0"]) + len(b.core.at["d2"]) })
	}
	b.do(func() {
		if got := maps.Collect(maps.All(b.core.told)); len(got) != 1 {
			t.Errorf("attempts that ended: %v, want the second alone", got)
		}
	})
}

// TestDispatchersWithCallsTakeTurns: calls stand at more dispatchers than there may be connections. Each one comes to have a new
// connection, on which it can repeat the ends of its calls, within 8 s, again and again.
func TestDispatchersWithCallsTakeTurns(t *testing.T) {
	t.Parallel()
	const budget, n, rounds = 4, 10, 2
	b := newBudgeted(t, budget, n)
	b.do(func() {
		for i := range n {
			b.core.at[name(i)] = []string{fmt.Sprint("call ", i)}
		}
		b.pool.Update(b.list)
	})
	opened, since := [n]int{}, [n]time.Time{}
	for i := range since {
		since[i] = time.Now()
	}
	for least := 0; least < rounds; {
		most := 0
		b.do(func() { most = b.pool.sockets.held })
		if most > budget {
			t.Fatalf("%d sockets are held", most)
		}
		least = rounds
		for i, d := range b.dispatchers {
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

// TestThoseThatRefuseAreDialledRarely: each on the list is dialled once, and from then on one a second of all of them; but one for which
// a set-up waits at once.
func TestThoseThatRefuseAreDialledRarely(t *testing.T) {
	t.Parallel()
	const n, lasting = 50, 3 * time.Second
	b := newBudgeted(t, 0, n)
	for _, d := range b.dispatchers {
		d.Die()
	}
	begun := time.Now()
	b.do(func() { b.pool.Update(b.list) })
	dials := func() (dials int) { b.do(func() { dials = b.pool.sockets.dials }); return dials }
	for dials() < n {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(lasting)
	if got, most := dials(), n+1+int(time.Since(begun)/time.Second); got > most || got < n+int(lasting/time.Second)-1 {
		t.Errorf("%d dials in %v, want %d at most", got, time.Since(begun), most)
	}
	b.dispatchers[n-1] = dispatcherAt(t, "tcp", b.dispatchers[n-1].Address())
	since := time.Now()
	b.setUp(n-1, "a")
	b.comes(n-1, "setup")
	if took := time.Since(since); took > time.Second {
		t.Errorf("a set-up had to wait for %v", took)
	}
}
