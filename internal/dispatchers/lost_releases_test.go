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

// TestAReleaseOnAnUnresponsiveDrainedConnection guards against a call that its dispatcher keeps because its release was sent on a drained
// connection that never delivered it.
func TestAReleaseOnAnUnresponsiveDrainedConnection(t *testing.T) {
	t.Parallel()
	steps := slices.Concat(stepsFor("vq"), []scenarioStep{newStep("the connection is unresponsive", 0,
		func(h *harness) { h.first.allConns[0].isolate() })}, stepsFor("w"))
	initialState{established: true}.playWithoutViolation(t, steps)
}

// TestAnEarlierConnectionReleasesNoLaterAttempt guards against a release for the unknown outcome of a cancelled attempt that ends the
// next attempt at the same dispatcher, whether that one is answered already or not.
func TestAnEarlierConnectionReleasesNoLaterAttempt(t *testing.T) {
	t.Parallel()
	for state, answered := range map[string]bool{"the next attempt is answered": true, "the next attempt is open": false} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			const id, next = "00000000000000d1", "00000000000000d2"
			fx := newPoolFixture(t, 0, 1)
			fx.runOnLoop(func() { fx.pool.Update(fx.list) })
			fx.waitFor(0, "opened")
			fx.setUp(0, id)
			first := fx.waitFor(0, "setup")
			var earlier *lifetime
			fx.runOnLoop(func() { earlier = fx.pool.servers[dispatcherName(0)].conns[0].lifetime })
			fx.runOnLoop(func() { fx.pool.CancelAttempt(dispatcherName(0), id, 0) })
			fx.waitFor(0, "release") // the set-up is cancelled
			fx.runOnLoop(func() {
				fx.pool.SetUp(dispatcherName(0), attemptOf(id, 1))
			})
			fx.waitFor(0, "opened")
			second := fx.waitFor(0, "setup")
			if answered {
				fx.establish(0, second)
			}
			if err := first.ResetConn(); err != nil {
				t.Fatal(err)
			}
			waitUntil(fx, func() bool {
				return !slices.ContainsFunc(fx.pool.servers[dispatcherName(0)].conns, func(poolConn *connection) bool { return poolConn.lifetime == earlier })
			})
			fx.setUpWithoutRelease(0, next)
		})
	}
}

// TestDeliveredReleasesAreDropped guards against releases that are kept although their dispatcher has confirmed them, or must have
// received them.
func TestDeliveredReleasesAreDropped(t *testing.T) {
	t.Parallel()
	for name, confirms := range map[string]bool{"confirmed": true, "input received since": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, initialState{}, func(h *harness) {
				for range 5 {
					h.runOnLoop(func() { h.pool.Release("first", testCallID, call.CauseNormal) })
					h.runOnLoop(func() {
						c := h.first.openConns[0]
						if !confirms {
							c.inTransit = nil
						}
						c.deliverToPool()
					})
					time.Sleep(2 * responseTimeout)
					h.runOnLoop(func() { h.first.openConns[0].sendReport() })
				}
				h.runOnLoop(func() {
					most := 1
					if confirms {
						most = 0
					}
					if kept := len(h.pool.servers["first"].conns[0].unconfirmed); kept > most {
						t.Errorf("%d releases are kept, want at most %d", kept, most)
					}
				})
			})
		})
	}
}

// TestAReleaseInPlaceOfARefusal guards against the end of an established call that is taken for the refusal of an earlier attempt: in the
// call-control API, the same message has both meanings.
func TestAReleaseInPlaceOfARefusal(t *testing.T) {
	t.Parallel()
	const id = "00000000000000d3"
	core := &releaseRecorder{fakeCore: fakeCore{outcomeRecorder: outcomeRecorder{outcomes: map[string]control.Outcome{}}}}
	s := &server{pool: &Pool{core: core}, established: map[string]*lifetime{id: {closed: true}}}
	poolConn := &connection{server: s, lifetime: new(lifetime), setUps: map[string]*setUpState{id: {attempt: 0, cancelledAt: time.Now()}}}
	if err := poolConn.handle(&Message{kind: refusedOrReleased, id: id, final: true, cause: call.CauseNormal}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(core.attempts, []int{noAttempt}) {
		t.Errorf("the end was reported for the attempts %v, want only the established call (%d)", core.attempts, noAttempt)
	}
}

// TestReleasesInScenariosThatNeedThem guards against calls that a dispatcher keeps, calls reported as ended that continue, and entries of
// terminated calls, by scenarios that each depend on one mechanism.
func TestReleasesInScenariosThatNeedThem(t *testing.T) {
	t.Parallel()
	established := initialState{established: true}
	playScenarios(t, map[string]scenario{
		"an answer is read after its dispatcher is off the list, and has stopped listening":     {initialState{}, "sax"},
		"a call continues at a dispatcher that is off the list, and has stopped listening":      {established, "sxT"},
		"a release waits as its dispatcher is off the list, and can't be reached":               {initialState{established: true, maxConns: 1}, "vTttcxTw"},
		"an end is read ahead of its answer, and leaves no entry":                               {initialState{conns: 2}, "aheDd"},
		"a dispatcher returns whose calls were reported as ended":                               {established, "vqw"},
		"an answer is in transit while its dispatcher is cut off":                               {initialState{}, "avqw"},
		"a dispatcher stops listening after a new connection has opened":                        {established, "rtsT"},
		"a set-up is abandoned at a dispatcher that is off the list, and has stopped listening": {initialState{}, "sx"},
	})
}

// TestARemovedDispatcherIsDeleted guards against a dispatcher that is dialled for ever because of a release that it never accepts.
func TestARemovedDispatcherIsDeleted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, initialState{established: true})
		h.play(stepsFor("vxqqqq"))
		if len(h.pool.servers) > 0 {
			t.Error("the dispatcher is still known")
		}
	})
}

// TestAReleaseDoesNotGoToANewDispatcherAtTheAddress guards against the release of a call that ends another call with the same id at a new
// dispatcher at the address.
func TestAReleaseDoesNotGoToANewDispatcherAtTheAddress(t *testing.T) {
	t.Parallel()
	var other *fakeDispatcher
	replaces := newStep("another dispatcher has its address", 0, func(h *harness) {
		other = newFakeDispatcher(h)
		other.established["00000000000000c9"] = nil
		h.network.dispatchers["first"] = other
		h.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: "other", Status: control.Active}, Address: "first"}}})
	})
	steps := slices.Concat(stepsFor("vq"), []scenarioStep{newStep("the call is released", 0, func(h *harness) {
		h.pool.Release("first", "00000000000000c9", call.CauseNormal)
	}), replaces}, stepsFor("qq"))
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, initialState{established: true})
		h.play(steps)
		if _, holds := other.established["00000000000000c9"]; !holds {
			t.Error("the call at the other dispatcher was released")
		}
	})
}

// expectNoOpenSetUp plays a scenario in which the end of a call arrives without its answer, and requires one final answer to its caller
// and no open set-up.
func expectNoOpenSetUp(t *testing.T, start initialState, endArrives scenarioStep) {
	t.Helper()
	steps := slices.Concat([]scenarioStep{endArrives}, stepsFor("qq"))
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, start)
		h.play(steps)
		if server := h.pool.servers["first"]; h.calls[testCallID].refusals != 1 || server.openSetUps() > 0 {
			t.Errorf("%d final answers, %d set-ups open; want 1, 0", h.calls[testCallID].refusals, server.openSetUps())
		}
	})
}

// TestAnEndWithoutAnAnswerLeavesNoSetUp guards against a connection that counts as busy for ever because the end of a call arrived and
// its answer never did.
func TestAnEndWithoutAnAnswerLeavesNoSetUp(t *testing.T) {
	t.Parallel()
	expectNoOpenSetUp(t, initialState{}, newStep("the end of the call arrives, and its answer does not", 0, func(h *harness) {
		c := h.first.pending(testCallID)
		delete(c.setUps, testCallID)
		c.send(releaseOf(testCallID))
		c.deliverToPool()
	}))
}

// TestAnAttemptAtADisconnectedDispatcherIsCancelled guards against an attempt elsewhere at the same time as the first one, whose
// dispatcher returns at the moment at which it counts as lost.
func TestAnAttemptAtADisconnectedDispatcherIsCancelled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, initialState{secondDispatcher: true})
		defer h.run()()
		h.runOnLoop(func() { h.updateList(control.Active, "first", "second") })
		time.Sleep(time.Second)
		h.setUpCall(testCallID)
		h.runOnLoop(func() { h.first.partitioned = true })
		for disconnected := false; !disconnected; time.Sleep(time.Millisecond) {
			h.runOnLoop(func() { disconnected = len(h.pool.servers["first"].conns) == 0 })
		}
		h.runOnLoop(h.first.reconnect)
		time.Sleep(time.Second)
		h.runOnLoop(h.deliverAll)
		if h.calls[testCallID].answers != 1 || len(h.violations) > 0 {
			t.Errorf("%d answers: %s", h.calls[testCallID].answers, strings.Join(h.violations, "; "))
		}
	})
}

// TestReleasesAreSentInBatches guards against releases that close their connection because more are written at once than its dispatcher
// reads.
func TestReleasesAreSentInBatches(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, initialState{})
		fake := &fakeConn{}
		poolConn := &connection{server: &server{pool: h.pool}, conn: fake, protocol: &SIP{}}
		for range releaseBatchSize + 1 {
			poolConn.server.releases = append(poolConn.server.releases, release{id: testCallID, cause: call.CauseNormal, knownHere: true})
		}
		if poolConn.server.sendReleases(poolConn) || len(poolConn.server.releases) != 1 {
			t.Errorf("%d releases still wait, want 1", len(poolConn.server.releases))
		}
		fake.writeQueue = nil // they were sent
		if !poolConn.server.sendReleases(poolConn) || len(poolConn.server.releases) != 0 {
			t.Errorf("%d releases still wait, want none", len(poolConn.server.releases))
		}
	})
}

// TestAnEndAheadOfAnAnswerThatNeverComesLeavesNoSetUp guards against a connection that counts as busy for ever because the end of a call
// arrived on another one and its answer never did.
func TestAnEndAheadOfAnAnswerThatNeverComesLeavesNoSetUp(t *testing.T) {
	t.Parallel()
	expectNoOpenSetUp(t, initialState{conns: 2},
		newStep("the end of the call arrives on another connection, and its answer does not", 0, func(h *harness) {
			delete(h.first.pending(testCallID).setUps, testCallID)
			c := h.first.openConns[1]
			c.send(releaseOf(testCallID))
			c.deliverToPool()
		}))
}
