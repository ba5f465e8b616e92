package call

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/control"
	"cherryrelay/internal/decide/subset"
)

// subsetFixture is a fixture that records the requests to the dispatchers with their times, and what the connections
// know of the list. It uses the clock of the test's bubble.
type subsetFixture struct {
	*fixture
	start    time.Time
	requests []string
	known    map[control.ServerID]Server
}

func newSubsetFixture(t *testing.T, o *subset.Options) *subsetFixture {
	s := &subsetFixture{fixture: newFixture(t), start: time.Now(), known: map[control.ServerID]Server{}}
	s.core.SetDispatchers(s)
	s.core.DispatcherReached()
	s.onSetUp = func(server control.ServerID, a SetUp) { s.answerAttempt(server, a) }
	if o != nil {
		o.Identity = "controller-1"
		s.core.UseSubset(*o)
	}
	return s
}

// request records a request to the dispatchers.
func (s *subsetFixture) request(format string, args ...any) {
	s.requests = append(s.requests, fmt.Sprintf("%v ", time.Since(s.start))+fmt.Sprintf(format, args...))
}

func (s *subsetFixture) Update(u Update) {
	for _, e := range u.Servers {
		s.known[e.ID] = e
	}
	s.request("update %+v", u)
}

func (s *subsetFixture) SetUp(server control.ServerID, a SetUp) {
	s.request("set-up at %s: %+v", server, a)
	s.fixture.SetUp(server, a)
}

func (s *subsetFixture) CancelAttempt(server control.ServerID, id string, attempt int) bool {
	s.request("cancel %s/%d at %s", id, attempt, server)
	return s.fixture.CancelAttempt(server, id, attempt)
}

func (s *subsetFixture) Release(server control.ServerID, id string, cause int) {
	s.request("release %s at %q for %d", id, server, cause)
	s.fixture.Release(server, id, cause)
}

func (s *subsetFixture) Probe(server control.ServerID) { s.request("probe %s", server) }

// active returns the dispatchers that the connections know as active.
func (s *subsetFixture) active() (ids []control.ServerID) {
	for id, e := range s.known {
		if e.Status == control.Active {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func server(i int) Server {
	return Server{ServerEntry: control.ServerEntry{ID: control.ServerID(fmt.Sprint("s", i)), Cell: i}, Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
}

func servers(from, to int) (all []Server) {
	for i := from; i < to; i++ {
		all = append(all, server(i))
	}
	return all
}

func withStatus(e Server, status control.ServerStatus) Server {
	e.Status = status
	return e
}

// runFor runs a script on the event loop, and the loop for the given time.
func (s *subsetFixture) runFor(d time.Duration, script func()) {
	s.core.loop.Post(func() {
		s.core.loop.After(d, s.core.loop.Quit)
		script()
	})
	s.core.loop.Run()
}

func (s *subsetFixture) schedule(d time.Duration, f func()) { s.core.loop.After(d, f) }

// offer sets up a call.
func (s *subsetFixture) offer(id string, firstCell int, timeLeft time.Duration) {
	if err := s.core.Offer(Request{ID: id, Class: "c", FirstCell: firstCell, Called: id, Deadline: time.Now().Add(timeLeft),
		Caller: s, Description: "x"}); err != nil {
		s.t.Error(err)
	}
}

// TestSubsetThatCoversTheListChangesNothing runs the same calls and lists through a core with a selection and one
// without, on the same clock, and checks that the dispatchers get the same requests at the same times.
func TestSubsetThatCoversTheListChangesNothing(t *testing.T) {
	const maxServers = 12
	run := func(seed uint64, o *subset.Options) (requests []string) {
		synctest.Test(t, func(t *testing.T) {
			s, rng := newSubsetFixture(t, o), rand.New(rand.NewPCG(seed, 1))
			s.onSetUp = func(server control.ServerID, a SetUp) {
				after := time.Duration(rng.IntN(40)) * time.Millisecond
				switch outcome := rng.IntN(8); {
				case outcome < 4:
					s.schedule(after, func() { s.answerAttempt(server, a) })
				case outcome < 7:
					s.schedule(after, func() {
						s.endAttempt(server, a, []control.Outcome{control.Full, control.Unreachable, control.Reset}[outcome-4])
					})
				}
			}
			s.runFor(4*time.Second, func() {
				s.core.Update(Update{Complete: true, Servers: servers(0, 1+rng.IntN(maxServers))})
				for i := range 300 {
					s.schedule(time.Duration(rng.IntN(3000))*time.Millisecond, func() {
						s.offer(fmt.Sprint(i), rng.IntN(maxServers), time.Duration(50+rng.IntN(800))*time.Millisecond)
					})
				}
				for range 12 {
					s.schedule(time.Duration(rng.IntN(3000))*time.Millisecond, func() {
						e := server(rng.IntN(maxServers))
						e.Status = control.ServerStatus(rng.IntN(3))
						if s.drained[e.ID] = e.Status != control.Active; !s.drained[e.ID] && rng.IntN(2) == 0 {
							e.StartedAt = s.core.now()
						}
						s.core.Update(Update{Servers: []Server{e}})
					})
				}
			})
			requests = s.requests
		})
		return requests
	}
	total := 0
	for seed := range uint64(30) {
		without, with := run(seed, nil), run(seed, &subset.Options{Size: maxServers})
		if diff := cmp.Diff(without, with); diff != "" {
			t.Fatalf("seed %d: requests to the dispatchers (-without +with a selection):\n%s", seed, diff)
		}
		total += len(without)
	}
	if total < 3000 {
		t.Errorf("only %d requests to dispatchers", total)
	}
}

// TestSubsetGrowsWhenItsDispatchersRefuse has all dispatchers of the subset refuse calls or leave them unanswered, each
// case in its own way, and checks that every call is established at a dispatcher from outside.
func TestSubsetGrowsWhenItsDispatchersRefuse(t *testing.T) {
	for name, outcome := range map[string]control.Outcome{"full": control.Full, "unreachable": control.Unreachable, "unresponsive": control.TimedOut} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSubsetFixture(t, &subset.Options{Size: 4, GrowthLimit: 40, ShrinkAfter: time.Second})
				s.core.decisions.MaxAttempts = 0
				if err := s.core.module.UpdateSettings(s.core.decisions); err != nil {
					t.Fatal(err)
				}
				bad := map[control.ServerID]bool{}
				s.onSetUp = func(server control.ServerID, a SetUp) {
					s.schedule(time.Millisecond, func() {
						if !bad[server] {
							s.answerAttempt(server, a)
						} else if outcome != control.TimedOut {
							s.endAttempt(server, a, outcome)
						}
					})
				}
				s.runFor(20*time.Second, func() {
					s.core.Update(Update{Complete: true, Servers: servers(0, 100)})
					for _, id := range s.active() {
						bad[id] = true
					}
					for i := range 40 {
						s.schedule(time.Duration(i)*10*time.Millisecond, func() { s.offer(fmt.Sprint(i), -1, 3*time.Second) })
					}
					s.schedule(4*time.Second, func() {
						if n := len(s.active()); n <= 4 || n > 40 {
							t.Errorf("%d in the subset under load", n)
						}
						for id := range bad { // the dispatchers recover, and their answers show it
							s.offer(string(id), int(s.core.selection.entries[id].Cell), time.Second)
						}
						clear(bad)
					})
				})
				trials := 0 // each unresponsive dispatcher keeps the last call sent to it, by which the module would detect its recovery
				if outcome == control.TimedOut {
					trials = 4
				}
				for i := range 40 {
					if trials -= s.rejections[fmt.Sprint(i)]; s.answers[fmt.Sprint(i)]+s.rejections[fmt.Sprint(i)] != 1 || trials < 0 {
						t.Errorf("call %d: %d answers, %d refusals", i, s.answers[fmt.Sprint(i)], s.rejections[fmt.Sprint(i)])
					}
				}
				if n := len(s.active()); n != 4 {
					t.Errorf("%d in the subset after it should have shrunk", n)
				}
			})
		})
	}
}

// TestRefusalIsNotDelayedWhenSubsetCannotGrow checks that the module's refusal is sent at once without a subset, or if
// the subset covers the list or has its greatest size.
func TestRefusalIsNotDelayedWhenSubsetCannotGrow(t *testing.T) {
	for name, o := range map[string]*subset.Options{"none": nil, "the list": {Size: 4}, "the greatest size": {Size: 2, GrowthLimit: 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSubsetFixture(t, o)
				s.core.decisions.MaxAttempts = 2
				if err := s.core.module.UpdateSettings(s.core.decisions); err != nil {
					t.Fatal(err)
				}
				s.onSetUp = func(server control.ServerID, a SetUp) { s.endAttempt(server, a, control.Full) }
				s.runFor(time.Second, func() {
					s.core.Update(Update{Complete: true, Servers: servers(0, 4)})
					s.offer("1", -1, 500*time.Millisecond)
					s.schedule(20*time.Millisecond, func() {
						if s.rejections["1"] != 1 || s.setUps != 2 {
							t.Errorf("%d set-ups, %d refusals", s.setUps, s.rejections["1"])
						}
					})
				})
			})
		})
	}
}

// TestFirstCellOutsideTheSubset checks that each call is sent to the dispatcher that it names, wherever that is in the
// list.
func TestFirstCellOutsideTheSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubsetFixture(t, &subset.Options{Size: 4, GrowthLimit: 20, ShrinkAfter: time.Second})
		sentTo := map[string]control.ServerID{}
		s.onSetUp = func(server control.ServerID, a SetUp) {
			sentTo[a.ID] = server
			s.answerAttempt(server, a)
		}
		s.runFor(time.Minute, func() {
			s.core.Update(Update{Complete: true, Servers: servers(0, 100)})
			for i := range 100 {
				s.schedule(time.Duration(i)*10*time.Millisecond, func() { s.offer(fmt.Sprint(i), i, time.Second) })
			}
		})
		for i := range 100 {
			if want := server(i).ID; sentTo[fmt.Sprint(i)] != want {
				t.Errorf("the call for %s was sent to %q", want, sentTo[fmt.Sprint(i)])
			}
		}
		if n := len(s.active()); n != 4 {
			t.Errorf("%d in the subset after it should have shrunk", n)
		}
	})
}

// TestClassRestrictedToCells checks that a class that is restricted to some cells is served though none of them is in
// the subset, and most of them are full.
func TestClassRestrictedToCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubsetFixture(t, &subset.Options{Size: 4, GrowthLimit: 20})
		s.core.decisions.Classes[0].Cells = []int{7, 8, 50}
		if err := s.core.module.UpdateSettings(s.core.decisions); err != nil {
			t.Fatal(err)
		}
		s.onSetUp = func(at control.ServerID, a SetUp) {
			if at == server(50).ID {
				s.answerAttempt(at, a)
			} else {
				s.endAttempt(at, a, control.Full)
			}
		}
		s.runFor(time.Second, func() {
			s.core.Update(Update{Complete: true, Servers: servers(0, 100)})
			s.offer("1", 7, 500*time.Millisecond)
		})
		if s.answers["1"] != 1 {
			t.Errorf("%d answers: %v", s.answers["1"], s.requests)
		}
	})
}

// TestCallsOfADispatcherThatLeavesTheSubset checks that these calls go on, and that later changes of the list to their
// dispatchers are announced.
func TestCallsOfADispatcherThatLeavesTheSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubsetFixture(t, &subset.Options{Size: 4, GrowthLimit: 20, ShrinkAfter: time.Second})
		var outside []control.ServerID
		s.runFor(time.Minute, func() {
			s.core.Update(Update{Complete: true, Servers: servers(0, 100)})
			base := s.active()
			for i := range 100 { // three that are not in the initial subset
				if id := server(i).ID; len(outside) < 3 && !slices.Contains(base, id) {
					outside = append(outside, id)
					s.offer(string(id), i, time.Second)
				}
			}
			s.schedule(10*time.Second, func() {
				for _, id := range outside {
					if e := s.known[id]; e.Status != control.Removed || !e.CallsContinue || s.core.EstablishedCount(id) != 1 {
						t.Errorf("%s after the subset has shrunk: %+v, %d established calls", id, e, s.core.EstablishedCount(id))
					}
				}
				s.core.Released(outside[0], string(outside[0]), 0, CauseNormal, nil)
				if s.terminations[string(outside[0])] != 1 {
					t.Error("the end of a call at a dispatcher outside the subset is not delivered")
				}
				restarted := s.core.selection.entries[outside[1]]
				restarted.StartedAt = s.core.now()
				removed := withStatus(s.core.selection.entries[outside[2]], control.Removed)
				removed.Address = ""
				s.core.Update(Update{Servers: []Server{restarted, removed}})
				if e := s.known[outside[1]]; e.StartedAt != restarted.StartedAt || e.Status != control.Removed || !e.CallsContinue {
					t.Errorf("a restarted dispatcher: %+v", e)
				}
				if e := s.known[outside[2]]; e.Status != control.Removed || e.CallsContinue {
					t.Errorf("a removed dispatcher: %+v", e)
				}
			})
		})
	})
}

// TestDrainsInsideAndOutsideTheSubset checks that a draining dispatcher of the subset is announced as such and
// replaced, and that nothing is announced of one outside.
func TestDrainsInsideAndOutsideTheSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubsetFixture(t, &subset.Options{Size: 4})
		s.runFor(time.Second, func() {
			s.core.Update(Update{Complete: true, Servers: servers(0, 100)})
			inside := s.active()
			n := len(s.requests)
			for i := range 100 {
				if !slices.Contains(inside, server(i).ID) {
					s.core.Update(Update{Servers: []Server{withStatus(server(i), control.Draining)}})
					s.core.Update(Update{Servers: []Server{server(i)}})
					break
				}
			}
			if len(s.requests) != n {
				t.Errorf("announced a drain outside the subset: %v", s.requests[n:])
			}
			e := s.core.selection.entries[inside[0]]
			s.core.Update(Update{Servers: []Server{withStatus(e, control.Draining)}})
			if s.known[e.ID].Status != control.Draining || len(s.active()) != 4 {
				t.Errorf("%+v drains, %v are active", s.known[e.ID], s.active())
			}
			s.core.Update(Update{Servers: []Server{e}})
			if now := s.active(); !slices.Equal(now, inside) {
				t.Errorf("%v after its return, %v before", now, inside)
			}
			s.core.Update(Update{Complete: true, Servers: servers(0, 3)}) // now the list is no longer than the subset
			if now := s.active(); len(now) != 3 {
				t.Errorf("%v of a list of three", now)
			}
			for _, id := range inside {
				if e := s.known[id]; s.core.selection.entries[id].ID == "" && (e.Status != control.Removed || e.CallsContinue) {
					t.Errorf("%+v is not in the list", e)
				}
			}
		})
	})
}

// TestUnreachableSubsetGrowsWithoutCalls checks that the subset grows while none of its dispatchers has been reached:
// until then there are no calls.
func TestUnreachableSubsetGrowsWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubsetFixture(t, &subset.Options{Size: 4, GrowthLimit: 12, ShrinkAfter: time.Minute})
		s.core.reached = false
		s.runFor(10*time.Second, func() {
			s.core.Update(Update{Complete: true, Servers: servers(0, 100)})
			for i, want := range []int{4, 8, 12, 12} {
				s.schedule(time.Duration(i)*reachTimeout+time.Millisecond, func() {
					if n := len(s.active()); n != want {
						t.Errorf("%d in the subset after %v, not %d", n, time.Since(s.start), want)
					}
				})
			}
		})
	})
}

// TestLargeListChangeIsAppliedInSlices replaces half of a large list at once, and changes it again while that is in
// progress. The loop must run other iterations in between, and the result must be the subset of the last list.
func TestLargeListChangeIsAppliedInSlices(t *testing.T) {
	const n = 20_000
	s := newSubsetFixture(t, &subset.Options{Size: 16})
	iterations := 0
	s.core.OnFlush(func() { iterations++ })
	s.runFor(time.Minute, func() {
		s.core.Update(Update{Complete: true, Servers: servers(0, n)})
		s.core.Update(Update{Complete: true, Servers: servers(n/2, n+n/2)})
		s.core.Update(Update{Servers: []Server{withStatus(server(n), control.Removed), withStatus(server(n+1), control.Draining)}})
		var poll func()
		poll = func() {
			if len(s.core.selection.queue) == 0 {
				s.core.loop.Quit()
				return
			}
			s.schedule(time.Millisecond, poll)
		}
		poll()
	})
	want := subset.New(subset.Options{Identity: "controller-1", Size: 16})
	for _, e := range servers(n/2, n+n/2) {
		if e.ID != server(n).ID {
			want.Put(subset.Entry{ID: e.ID, Cell: e.Cell, Active: e.ID != server(n+1).ID})
		}
	}
	joined, _ := want.Changes()
	if got := s.active(); !slices.Equal(got, joined) || !s.core.listReceived {
		t.Errorf("listed %v: %v, want %v", s.core.listReceived, got, joined)
	}
	if iterations < 3 {
		t.Errorf("%d iterations, want at least 3", iterations)
	}
}

// TestPeersAreScaledToTheSubset checks that the windows of a dispatcher are divided among the controllers that connect
// to it, if these are few.
func TestPeersAreScaledToTheSubset(t *testing.T) {
	s := newSubsetFixture(t, &subset.Options{Size: 10})
	d := s.core.decisions
	d.Nodes = 100
	for _, test := range []struct{ listed, want int }{{5, 100}, {10, 100}, {50, 20}, {200, 5}, {3, 100}} {
		s.core.Update(Update{Complete: true, Servers: servers(0, test.listed)})
		for len(s.core.selection.queue) > 0 {
			s.core.loop.runPosted()
		}
		if got := s.core.selection.scaleSettings(d).Nodes; got != test.want {
			t.Errorf("%d listed: %d peers, not %d", test.listed, got, test.want)
		}
	}
}

// BenchmarkListEvent replaces 1,500 dispatchers by as many others in one update. It reports how long the update
// occupies the loop at a time: the median, the 99th percentile and the maximum. These are wall-clock times, so they
// include the pauses of a busy machine.
func BenchmarkListEvent(b *testing.B) {
	for _, n := range []int{3000, 37_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var held []time.Duration
			hold := func(f func()) {
				from := time.Now()
				f()
				held = append(held, time.Since(from))
			}
			events := 0
			for b.Loop() {
				b.StopTimer()
				s := newFixture(new(testing.T))
				s.core.UseSubset(subset.Options{Identity: "controller-1"})
				settle := func(u Update) {
					hold(func() { s.core.Update(u) })
					for s.core.finishIteration(); len(s.core.selection.queue) > 0; {
						hold(func() {
							s.core.loop.runPosted()
							s.core.finishIteration()
						})
					}
				}
				settle(Update{Complete: true, Servers: servers(0, n)})
				u := Update{Servers: servers(0, 3000)}
				for i := range u.Servers {
					if i%2 == 0 {
						u.Servers[i].Status = control.Removed
					} else {
						u.Servers[i] = server(n + i)
					}
				}
				runtime.GC()
				held = held[:events] // the first list does not count
				b.StartTimer()
				settle(u)
				events = len(held)
			}
			slices.Sort(held)
			b.ReportMetric(float64(held[len(held)/2].Microseconds())/1000, "p50-held-ms")
			b.ReportMetric(float64(held[len(held)-1].Microseconds())/1000, "most-held-ms")
			b.ReportMetric(float64(held[len(held)*99/100].Microseconds())/1000, "p99-held-ms")
		})
	}
}
