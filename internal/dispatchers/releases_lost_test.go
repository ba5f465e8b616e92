package dispatchers

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// TestAReleaseOnADrainedConnectionThatIsDead guards against a call that its dispatcher holds on, as its release went out on a connection that was
// drained and never brought it.
func TestAReleaseOnADrainedConnectionThatIsDead(t *testing.T) {
	t.Parallel()
	order := slices.Concat(spelledOrder("vq"), []orderEvent{event("the connection is dead", 0, func(s *orderSite) { s.first.all[0].deaden() })}, spelledOrder("w"))
	orderStart{called: true}.playWithoutFault(t, order)
}

// TestAnEarlierConnectionTakesNoLaterAttemptAlong guards against a release of what may have come of a withdrawn attempt that ends the next attempt
// at the same dispatcher, whether that is answered already or not.
func TestAnEarlierConnectionTakesNoLaterAttemptAlong(t *testing.T) {
	t.Parallel()
	for state, answered := range map[string]bool{"the next attempt is answered": true, "the next attempt is open": false} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			const id, next = "00000000000000d1", "00000000000000d2"
			b := newBudgeted(t, 0, 1)
			b.do(func() { b.pool.Update(b.list) })
			b.comes(0, "opened")
			b.setUp(0, id)
			first := b.comes(0, "setup")
			var earlier *lifetime
			b.do(func() { earlier = b.pool.servers[name(0)].links[0].lifetime })
			b.do(func() { b.pool.CancelAttempt(name(0), id, 0) })
			b.comes(0, "release") // the set-up is cancelled
			b.do(func() {
				b.pool.SetUp(name(0), attemptOf(id, 1))
			})
			b.comes(0, "opened")
			second := b.comes(0, "setup")
			if answered {
				b.establishes(0, second)
			}
			if err := first.Reset(); err != nil {
				t.Fatal(err)
			}
			waitOnLoop(b, func() bool {
				return !slices.ContainsFunc(b.pool.servers[name(0)].links, func(l *link) bool { return l.lifetime == earlier })
			})
			b.setUpWithoutRelease(0, next)
		})
	}
}

// TestReleasesAreNotKeptForEver guards against releases that are kept once their dispatcher has confirmed them, or must have heard them.
func TestReleasesAreNotKeptForEver(t *testing.T) {
	t.Parallel()
	for name, confirms := range map[string]bool{"confirmed": true, "heard from since": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withSite(t, orderStart{}, func(s *orderSite) {
				for range 5 {
					s.do(func() { s.pool.Release("first", orderedID, call.CauseNormal) })
					s.do(func() {
						c := s.first.connections[0]
						if !confirms {
							c.flight = nil
						}
						c.deliver()
					})
					time.Sleep(2 * closesWithin)
					s.do(func() { s.first.connections[0].reports() })
				}
				s.do(func() {
					most := 1
					if confirms {
						most = 0
					}
					if kept := len(s.pool.servers["first"].links[0].unconfirmed); kept > most {
						t.Errorf("%d releases are kept, want %d at most", kept, most)
					}
				})
			})
		})
	}
}

// TestAReleaseInPlaceOfARefusal guards against the end of a call that stands which is taken for the refusal of an earlier attempt: over the API one
// message means either.
func TestAReleaseInPlaceOfARefusal(t *testing.T) {
	t.Parallel()
	const id = "00000000000000d3"
	core := &releaseLog{standings: standings{ends: ends{told: map[string]control.Outcome{}}}}
	s := &server{pool: &Pool{core: core}, standing: map[string]*lifetime{id: {over: true}}}
	l := &link{server: s, lifetime: new(lifetime), invites: map[string]*invite{id: {attempt: 0, withdrawn: time.Now()}}}
	if err := l.take(&Message{kind: ended, id: id, final: true, cause: call.CauseNormal}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(core.attempts, []int{noAttempt}) {
		t.Errorf("the end is told of the attempts %v, want of the call that stands (%d)", core.attempts, noAttempt)
	}
}

// TestReleasesInOrdersThatNeedThem guards against calls that a dispatcher holds on, calls told as cut that go on, and entries of calls that are over,
// in the orders that show one mechanism each to be needed.
func TestReleasesInOrdersThatNeedThem(t *testing.T) {
	t.Parallel()
	established := orderStart{called: true}
	playNamed(t, map[string]namedOrder{
		"an answer is read after its dispatcher is off the list, and listens no more":    {orderStart{}, "sax"},
		"a call goes on at a dispatcher that is off the list, and listens no more":       {established, "sxT"},
		"a release waits as its dispatcher is off the list, and can't be reached":        {orderStart{called: true, most: 1}, "vTttcxTw"},
		"an end is read ahead of its answer, and leaves no entry":                        {orderStart{links: 2}, "aheDd"},
		"a dispatcher returns whose calls were told as cut":                              {established, "vqw"},
		"an answer is on its way as its dispatcher is cut off":                           {orderStart{}, "avqw"},
		"a dispatcher that is connected to anew listens no more":                         {established, "rtsT"},
		"a set-up is given up at a dispatcher that is off the list, and listens no more": {orderStart{}, "sx"},
	})
}

// TestADispatcherOffTheListIsForgotten guards against a dispatcher that is dialled for ever for a release that it never takes.
func TestADispatcherOffTheListIsForgotten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{called: true})
		s.play(spelledOrder("vxqqqq"))
		if len(s.pool.servers) > 0 {
			t.Error("it is still known")
		}
	})
}

// TestAReleaseDoesNotGoToWhoHasTheAddress guards against the release of a call that cuts one under the same id at another dispatcher.
func TestAReleaseDoesNotGoToWhoHasTheAddress(t *testing.T) {
	t.Parallel()
	var other *process
	takes := event("another dispatcher has its address", 0, func(s *orderSite) {
		other = newProcess(s)
		other.established["00000000000000c9"] = nil
		s.network.processes["first"] = other
		s.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: "other", Status: control.Active}, Address: "first"}}})
	})
	order := slices.Concat(spelledOrder("vq"), []orderEvent{event("the call is released", 0, func(s *orderSite) {
		s.pool.Release("first", "00000000000000c9", call.CauseNormal)
	}), takes}, spelledOrder("qq"))
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{called: true})
		s.play(order)
		if _, holds := other.established["00000000000000c9"]; !holds {
			t.Error("the call at the other dispatcher was cut")
		}
	})
}

// leavesNoSetUp has the end of a call come without its answer, and wants one final answer to its caller, and no set-up that counts as open.
func leavesNoSetUp(t *testing.T, start orderStart, endComes orderEvent) {
	t.Helper()
	order := slices.Concat([]orderEvent{endComes}, spelledOrder("qq"))
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, start)
		s.play(order)
		if server := s.pool.servers["first"]; s.calls[orderedID].finals != 1 || server.openSetUps() > 0 {
			t.Errorf("%d final answers, %d set-ups open; want 1, 0", s.calls[orderedID].finals, server.openSetUps())
		}
	})
}

// TestAnEndWithoutAnAnswerLeavesNoSetUp guards against a connection that counts as busy for ever, as the end of a call came and its answer never did.
func TestAnEndWithoutAnAnswerLeavesNoSetUp(t *testing.T) {
	t.Parallel()
	leavesNoSetUp(t, orderStart{}, event("the end of the call comes, and its answer does not", 0, func(s *orderSite) {
		c := s.first.pending(orderedID)
		delete(c.setUps, orderedID)
		c.tell(byeOf(orderedID))
		c.deliver()
	}))
}

// TestAnAttemptAtADroppedDispatcherIsCancelled guards against an attempt elsewhere beside the first one, whose dispatcher returns in the moment in
// which it counts as gone.
func TestAnAttemptAtADroppedDispatcherIsCancelled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{second: true})
		defer s.run()()
		s.do(func() { s.list(control.Active, "first", "second") })
		time.Sleep(time.Second)
		s.setsUp(orderedID)
		s.do(func() { s.first.cutOff = true })
		for dropped := false; !dropped; time.Sleep(time.Millisecond) {
			s.do(func() { dropped = len(s.pool.servers["first"].links) == 0 })
		}
		s.do(s.first.returns)
		time.Sleep(time.Second)
		s.do(s.arrive)
		if s.calls[orderedID].answers != 1 || len(s.faults) > 0 {
			t.Errorf("%d answers: %s", s.calls[orderedID].answers, strings.Join(s.faults, "; "))
		}
	})
}

// TestManyReleasesGoOutInPortions guards against releases that close their connection, as more are written at once than its dispatcher reads.
func TestManyReleasesGoOutInPortions(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{})
		connection := &standInConnection{}
		l := &link{server: &server{pool: s.pool}, conn: connection, wire: &SIP{}}
		for range releasesAtOnce + 1 {
			l.server.releases = append(l.server.releases, release{orderedID, call.CauseNormal, true})
		}
		if l.server.serveReleases(l) || len(l.server.releases) != 1 {
			t.Errorf("%d releases wait still, want 1", len(l.server.releases))
		}
		connection.out = nil // they have left
		if !l.server.serveReleases(l) || len(l.server.releases) != 0 {
			t.Errorf("%d releases wait still, want none", len(l.server.releases))
		}
	})
}

// TestAnEndAheadOfAnAnswerThatNeverComesLeavesNoSetUp guards against a connection that counts as busy for ever, as the end of a call came on another
// one and its answer never did.
func TestAnEndAheadOfAnAnswerThatNeverComesLeavesNoSetUp(t *testing.T) {
	t.Parallel()
	leavesNoSetUp(t, orderStart{links: 2}, event("the end of the call comes on another connection, and its answer does not", 0, func(s *orderSite) {
		delete(s.first.pending(orderedID).setUps, orderedID)
		c := s.first.connections[1]
		c.tell(byeOf(orderedID))
		c.deliver()
	}))
}
