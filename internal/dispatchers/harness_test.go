package dispatchers

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/settings"
)

const (
	// testCallID is the id of the call that scenarios are about.
	testCallID = "00000000000000c1"
	// otherCallID and thirdCallID are those of further calls, which are placed otherCallDelay later and are answered at once.
	otherCallID    = "00000000000000c2"
	thirdCallID    = "00000000000000c3"
	otherCallDelay = overtakenAfter + 50*time.Millisecond
	// testSettings have one class, whose callers wait for 9 s, and a guard of 60 ms.
	testSettings = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"guardUs":60000,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,"report":{"fields":["idle"]},
"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`
	// callTimeout is how long the caller of a call waits.
	callTimeout = 9 * time.Second
	// suspectCallTimeout is how long the caller of a call waits whose missing answer makes its dispatcher suspect.
	suspectCallTimeout = 2 * time.Second
	// maxTransit is the longest time for which anything is in transit, and deliveryInterval the interval of deliveries after that.
	maxTransit, deliveryInterval = time.Second, 50 * time.Millisecond
	// endTimeout is the time within which the end of a call must be reported although its dispatcher could not send it at first.
	endTimeout = 8 * time.Second
	// releaseTimeout is the time within which it must be reported once the release by its dispatcher has arrived.
	releaseTimeout = time.Second
)

// callRecord records what the caller and the dispatcher know about a call.
type callRecord struct {
	answers, refusals, ends int
	cancelled               bool
	endedAt, endReportedAt  time.Time // at its dispatcher, and as reported to its caller
	releaseDeliveredAt      time.Time // arrival of the release of an established call at the pool's side; zero if none
}

// harness has a core and a pool with fake dispatchers, one call and, by a step, another call.
type harness struct {
	initialState
	core       *call.Core
	pool       *Pool
	network    *fakeNetwork
	first      *fakeDispatcher // the dispatcher that steps refer to
	startedAt  time.Duration   // start of its process according to the list; 0 for long ago
	violations []string

	lastStepAt time.Time // time of the last step in which more than time passed

	calls              map[string]*callRecord
	callerDisconnected bool // the caller's connection has closed
	stalled            bool // a connection was blocked for a while
}

// violation records that an invariant does not hold.
func (h *harness) violation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// Answer records that the call is established.
func (h *harness) Answer(id, _ string) error { h.calls[id].answers++; return nil }

// End records the final answer.
func (h *harness) End(id string, _ call.End) { h.calls[id].refusals++ }

// Disconnected reports whether the caller has disconnected.
func (h *harness) Disconnected() bool { return h.callerDisconnected }

// NotifyTerminated records the end of the call, and checks that it is justified.
func (h *harness) NotifyTerminated(id string, _ call.End) {
	c := h.calls[id]
	_, holds := h.first.established[id]
	holds = holds && !h.first.ambiguous[id]                                     // it is unknown whose end it is
	canRepeat := h.first.listening && !h.first.lastRefused || !h.first.hadReset // ends that may have been lost
	if holds && canRepeat && h.first.reachable() && !c.cancelled {
		h.violation("the end of %s was reported while it continues at a reachable dispatcher", id)
	}
	c.ends++
	c.endReportedAt = time.Now()
}

// fakeFront forwards the ends of calls whose connection has closed.
type fakeFront struct{ *harness }

// Release records the end of the call on another connection.
func (f fakeFront) Release(id string, end call.End) { f.NotifyTerminated(id, end) }

// Connections returns the number of connections.
func (f fakeFront) Connections() int { return 1 }

// Idle reports that nothing is pending.
func (f fakeFront) Idle() bool { return true }

// attemptArrived checks the arrival of an attempt at a dispatcher. A dispatcher that nothing reaches can't learn that an earlier attempt
// was cancelled.
func (h *harness) attemptArrived(id string) {
	for _, d := range h.network.dispatchers {
		if pending := d.pending(id); pending != nil && !d.partitioned && !pending.cancelUnread(id) {
			h.violation("an attempt of %s while another one is in progress", id)
		}
	}
	if c := h.calls[id]; c.answers+c.refusals > 0 {
		h.violation("an attempt of %s after the final answer", id)
	}
}

// callEstablished records that a dispatcher holds a call.
func (h *harness) callEstablished(id string) { h.calls[id].releaseDeliveredAt = time.Time{} }

// releaseDelivered records that a release by a dispatcher has arrived. One that arrives while the call continues there belongs to an
// earlier attempt.
func (h *harness) releaseDelivered(by *fakeDispatcher, id string) {
	c := h.calls[id]
	if _, continues := by.established[id]; c != nil && !continues && c.releaseDeliveredAt.IsZero() {
		c.releaseDeliveredAt = time.Now()
	}
}

// newHarness returns a harness for the given initial state. It must be called on the loop's goroutine or before the loop runs.
func newHarness(t *testing.T, start initialState) *harness {
	t.Helper()
	set := new(settings.Settings)
	if err := jsoniter.UnmarshalFromString(testSettings, set); err != nil {
		t.Fatal(err)
	}
	loop, log := call.NewLoop(), slog.New(slog.DiscardHandler)
	core, err := call.New(loop, log, set, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{initialState: start, core: core, network: &fakeNetwork{loop: loop, dispatchers: map[string]*fakeDispatcher{}},
		calls: map[string]*callRecord{}}
	h.pool = New(loop, core, Options{ConnectTimeout: 500 * time.Millisecond, ReportFields: []string{"idle"}, Log: log})
	h.pool.dial = h.network.dial
	if start.maxConns > 0 {
		h.pool.SetMaxConnections(start.maxConns)
	}
	core.SetDispatchers(h.pool)
	core.AddFront(fakeFront{h})
	core.OnFlush(h.pool.Flush)
	h.first = newFakeDispatcher(h)
	h.first.answersRetries, h.first.neverCloses, h.first.ignoresReleases, h.first.resetsOnClose = start.answersRetries, start.neverCloses,
		start.ignoresReleases, start.resetsOnClose
	h.first.endsOnNewest = start.endsOnNewest
	if start.reportsPeriodically {
		h.first.startReporting(loop)
	}
	h.network.dispatchers["first"] = h.first
	if start.secondDispatcher {
		h.network.dispatchers["second"] = newFakeDispatcher(h)
		h.network.dispatchers["second"].answersAll = true
	}
	return h
}

// updateList passes a list of dispatchers with the given status to the core.
func (h *harness) updateList(status control.ServerStatus, names ...control.ServerID) {
	var u call.Update
	for i, name := range names {
		entry := control.ServerEntry{ID: name, Cell: i, Status: status}
		if name == "first" {
			entry.StartedAt = h.startedAt
		}
		u.Servers = append(u.Servers, call.Server{ServerEntry: entry, Address: string(name)})
	}
	h.core.Update(u)
}

// runOnLoop runs a function on the event loop, and waits until everything that it causes at once has happened.
func (h *harness) runOnLoop(f func()) {
	h.core.Loop().Post(f)
	synctest.Wait()
}

// restartFirst replaces the process of the first dispatcher by a new one, under its name and at its address.
func (h *harness) restartFirst() {
	h.first.stop()
	h.first = newFakeDispatcher(h)
	h.network.dispatchers["first"] = h.first
	h.startedAt += time.Second
	h.updateList(control.Active, "first")
}

// withOldest calls f with the oldest open connection of the first dispatcher.
func (h *harness) withOldest(f func(*fakeConn)) bool {
	if h.first.partitioned || h.first.paused || len(h.first.openConns) == 0 {
		return false
	}
	f(h.first.openConns[0])
	return true
}

// endCall has a dispatcher end the call.
func (h *harness) endCall(at *fakeDispatcher, id string) bool {
	if !at.endCall(id) {
		return false
	}
	h.calls[id].endedAt = time.Now()
	return true
}

// placeCall has the caller set a call up.
func (h *harness) placeCall(id string, within time.Duration) {
	if h.calls[id] == nil {
		h.calls[id] = &callRecord{}
	}
	_ = h.core.Offer(call.Request{ID: id, Class: "c", Deadline: time.Now().Add(within), Caller: h, Description: "x"})
}

// cancelCall has the caller cancel a call, or end it.
func (h *harness) cancelCall(id string) bool {
	c := h.calls[id]
	if c == nil || c.cancelled || h.callerDisconnected {
		return false
	}
	c.cancelled = true
	h.core.CallerReleased(h, id, call.CauseNormal)
	return true
}

// play runs the steps, and then delivers everything and ends the calls. It reports false if one of the steps was not possible.
func (h *harness) play(steps []scenarioStep) bool {
	defer h.run()()
	h.runOnLoop(func() {
		if h.secondDispatcher {
			h.updateList(control.Active, "first", "second")
		} else {
			h.updateList(control.Active, "first")
		}
	})
	time.Sleep(time.Second)
	for range h.conns - 1 {
		h.runOnLoop(func() { h.pool.Reconnect("first") })
		time.Sleep(3 * checkInterval)
	}
	if h.suspect {
		h.runOnLoop(func() { h.placeCall(otherCallID, suspectCallTimeout) })
		time.Sleep(time.Second)
	}
	h.setUpCall(testCallID)
	if h.established {
		h.runOnLoop(func() { h.first.sendFinalAnswer(testCallID, 200) })
		time.Sleep(time.Millisecond)
		h.runOnLoop(h.deliverAll)
	}
	for _, step := range steps {
		possible := false
		if !step.idle {
			h.lastStepAt = time.Now()
		}
		h.runOnLoop(func() { possible = step.run(h) })
		if !possible {
			return false
		}
		h.advance(step.after)
	}
	h.settle()
	return true
}

// advance lets time pass. Nothing is in transit for longer than maxTransit after the last step, unless it is blocked.
func (h *harness) advance(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		if time.Since(h.lastStepAt) >= maxTransit {
			h.runOnLoop(h.deliverAll)
		}
		time.Sleep(min(deliveryInterval, time.Until(until)))
	}
}

// settle delivers what is in transit until the call's timeout has passed, and then ends what is established.
func (h *harness) settle() {
	h.advance(maxTransit + callTimeout + time.Second)
	h.runOnLoop(h.checkAnswered)
	h.runOnLoop(func() { h.unpauseFirst(true) })
	if h.stalled {
		h.advance(halfCloseTimeout) // until an abandoned connection is closed
	}
	h.runOnLoop(h.checkEstablished)
	h.runOnLoop(func() {
		for _, d := range h.network.dispatchers {
			for _, id := range slices.Sorted(maps.Keys(h.calls)) {
				h.endCall(d, id)
			}
		}
	})
	h.advance(maxTransit + endTimeout + time.Second)
	h.runOnLoop(h.checkEnd)
}

// deliverAll delivers all that is in transit, except what was sent at this instant.
func (h *harness) deliverAll() {
	for _, d := range h.network.dispatchers {
		for _, c := range d.allConns {
			if c.sentAt.Before(time.Now()) {
				c.deliverToPool()
			}
		}
	}
}

// checkAnswered checks that each call has exactly one final answer.
func (h *harness) checkAnswered() {
	for id, c := range h.calls {
		if want := 1; !c.cancelled && !h.callerDisconnected && c.answers+c.refusals != want {
			h.violation("%s has %d answers and %d refusals", id, c.answers, c.refusals)
		}
	}
}

// checkEstablished checks that each call that a dispatcher holds is known to the core.
func (h *harness) checkEstablished() {
	for id := range h.calls {
		for name, d := range h.network.dispatchers {
			if _, ok := d.established[id]; ok && !d.ambiguous[id] && !d.hasBlockedConn() && !h.isEstablished(id, name) &&
				(d.listening && !d.lastRefused || len(d.usableConns()) > 0) {
				h.violation("%s holds %s, which the core does not know and nobody releases", name, id)
			}
		}
	}
}

// isEstablished reports whether the core has a call as established at a dispatcher.
func (h *harness) isEstablished(id, dispatcher string) bool {
	for known := range h.core.EstablishedAt(control.ServerID(dispatcher)) {
		if known == id {
			return true
		}
	}
	return false
}

// checkEnd checks that the ends of the established calls were reported, and that no entry is left.
func (h *harness) checkEnd() {
	for id, c := range h.calls {
		c.check(func(format string, args ...any) { h.violation(id+": "+format, args...) })
	}
	for name, server := range h.pool.servers {
		if len(server.established) > 0 {
			h.violation("%s has an entry of a terminated call", name)
		}
	}
}

// check checks that the end of the call was reported once, and in time.
func (c *callRecord) check(report func(string, ...any)) {
	if c.answers+c.refusals > 1 || c.ends > 1 {
		report("%d answers, %d refusals, %d ends", c.answers, c.refusals, c.ends)
	}
	if c.answers == 1 && c.ends == 0 && !c.cancelled {
		report("its end was not reported")
	}
	if c.answers != 1 || c.ends != 1 {
		return
	}
	if late := c.endReportedAt.Sub(c.endedAt); !c.endedAt.IsZero() && late > endTimeout {
		report("its end was reported after %v", late)
	}
	if late := c.endReportedAt.Sub(c.releaseDeliveredAt); !c.releaseDeliveredAt.IsZero() && late > releaseTimeout {
		report("its end was reported %v after its release had arrived", late)
	}
}
