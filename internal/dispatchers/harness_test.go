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
	testCallID = "00000000000000c1"
	// otherCallID and thirdCallID are those of calls beside it, which come otherCallDelay later and are answered at once.
	otherCallID    = "00000000000000c2"
	thirdCallID    = "00000000000000c3"
	otherCallDelay = overtakenAfter + 50*time.Millisecond
	// testSettings have one class, whose callers wait for 9 s, and a guard of 60 ms.
	testSettings = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"guardUs":60000,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,"report":{"fields":["idle"]},
"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`
	callTimeout = 9 * time.Second
	// suspectCallTimeout is how long the caller of a call waits by which its dispatcher comes to be doubted.
	suspectCallTimeout = 2 * time.Second
	// maxTransit is the longest that anything is on its way, and deliveryInterval the pace at which it arrives after that.
	maxTransit, deliveryInterval = time.Second, 50 * time.Millisecond
	// endTimeout is how soon the end of a call must reach its caller though its dispatcher could not tell it at first.
	endTimeout = 8 * time.Second
	// releaseTimeout is how soon it must once the release by its dispatcher has come.
	releaseTimeout = time.Second
)

// callRecord is what its caller and its dispatcher know of a call.
type callRecord struct {
	answers, refusals, ends int
	cancelled               bool
	endedAt, endReportedAt  time.Time // at its dispatcher, and as its caller was told
	releaseDeliveredAt      time.Time // of a call that stood, to the pool's side; zero if it has not
}

// harness is a core and a pool over stand-in dispatchers, with one call and, as an event, another.
type harness struct {
	initialState
	core       *call.Core
	pool       *Pool
	network    *fakeNetwork
	first      *fakeDispatcher // the dispatcher that events are about
	startedAt  time.Duration   // when its process began, as the list has it; 0 for long ago
	violations []string

	lastStepAt time.Time // when the last event was that is more than time that passes

	calls              map[string]*callRecord
	callerDisconnected bool // the caller's connection has closed
	stalled            bool // nothing got through on a connection for a while
}

func (s *harness) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// Answer tells the caller that the call is established.
func (s *harness) Answer(id, _ string) error { s.calls[id].answers++; return nil }

// End is the final answer.
func (s *harness) End(id string, _ call.End) { s.calls[id].refusals++ }

// Disconnected reports whether the caller has gone.
func (s *harness) Disconnected() bool { return s.callerDisconnected }

// NotifyTerminated tells the caller the end of the call.
func (s *harness) NotifyTerminated(id string, _ call.End) {
	c := s.calls[id]
	_, holds := s.first.established[id]
	holds = holds && !s.first.ambiguous[id]                                     // nobody can tell whose end it is
	canRepeat := s.first.listening && !s.first.lastRefused || !s.first.hadReset // ends that may have been lost
	if holds && canRepeat && s.first.reachable() && !c.cancelled {
		s.violation("the end of %s is told while it goes on, at a dispatcher that can be reached", id)
	}
	c.ends++
	c.endReportedAt = time.Now()
}

// fakeFront passes on the ends of calls whose connection has closed.
type fakeFront struct{ *harness }

// Release tells the caller the end of the call on another connection.
func (f fakeFront) Release(id string, end call.End) { f.NotifyTerminated(id, end) }

// Connections is the number of connections.
func (f fakeFront) Connections() int { return 1 }

// Idle reports that nothing waits.
func (f fakeFront) Idle() bool { return true }

// attemptArrived takes in the arrival of an attempt at a dispatcher. One that nothing reaches can't be told that an earlier attempt is given up.
func (s *harness) attemptArrived(id string) {
	for _, p := range s.network.dispatchers {
		if pending := p.pending(id); pending != nil && !p.partitioned && !pending.cancelUnread(id) {
			s.violation("an attempt of %s while another one is out", id)
		}
	}
	if c := s.calls[id]; c.answers+c.refusals > 0 {
		s.violation("an attempt of %s after the final answer", id)
	}
}

// callEstablished takes in that a dispatcher holds a call.
func (s *harness) callEstablished(id string) { s.calls[id].releaseDeliveredAt = time.Time{} }

// releaseDelivered takes in that a release by a dispatcher has come. One that comes while the call goes on there is that of an earlier attempt.
func (s *harness) releaseDelivered(by *fakeDispatcher, id string) {
	c := s.calls[id]
	if _, goesOn := by.established[id]; c != nil && !goesOn && c.releaseDeliveredAt.IsZero() {
		c.releaseDeliveredAt = time.Now()
	}
}

// newHarness must be called on the loop's goroutine or before it runs.
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
	s := &harness{initialState: start, core: core, network: &fakeNetwork{loop: loop, dispatchers: map[string]*fakeDispatcher{}}, calls: map[string]*callRecord{}}
	s.pool = New(loop, core, Options{ConnectTimeout: 500 * time.Millisecond, ReportFields: []string{"idle"}, Log: log})
	s.pool.dial = s.network.dial
	if start.maxConns > 0 {
		s.pool.SetMaxConnections(start.maxConns)
	}
	core.SetDispatchers(s.pool)
	core.AddFront(fakeFront{s})
	core.OnFlush(s.pool.Flush)
	s.first = newFakeDispatcher(s)
	s.first.answersRetries, s.first.neverCloses, s.first.ignoresReleases, s.first.resetsOnClose = start.answersRetries, start.neverCloses, start.ignoresReleases, start.resetsOnClose
	s.first.endsOnNewest = start.endsOnNewest
	if start.reportsPeriodically {
		s.first.startReporting(loop)
	}
	s.network.dispatchers["first"] = s.first
	if start.secondDispatcher {
		s.network.dispatchers["second"] = newFakeDispatcher(s)
		s.network.dispatchers["second"].answersAll = true
	}
	return s
}

// updateList tells the core of dispatchers.
func (s *harness) updateList(status control.ServerStatus, names ...control.ServerID) {
	var u call.Update
	for i, name := range names {
		entry := control.ServerEntry{ID: name, Cell: i, Status: status}
		if name == "first" {
			entry.StartedAt = s.startedAt
		}
		u.Servers = append(u.Servers, call.Server{ServerEntry: entry, Address: string(name)})
	}
	s.core.Update(u)
}

// runOnLoop runs a function on the loop, and waits until all that it leads to at once has been done.
func (s *harness) runOnLoop(f func()) {
	s.core.Loop().Post(f)
	synctest.Wait()
}

// restartFirst has another process run under the name of the first dispatcher, at its address.
func (s *harness) restartFirst() {
	s.first.die()
	s.first = newFakeDispatcher(s)
	s.network.dispatchers["first"] = s.first
	s.startedAt += time.Second
	s.updateList(control.Active, "first")
}

func (s *harness) withOldest(f func(*fakeConn)) bool {
	if s.first.partitioned || s.first.paused || len(s.first.openConns) == 0 {
		return false
	}
	f(s.first.openConns[0])
	return true
}

// endCall has a dispatcher end the call.
func (s *harness) endCall(at *fakeDispatcher, id string) bool {
	if !at.endCall(id) {
		return false
	}
	s.calls[id].endedAt = time.Now()
	return true
}

// placeCall has the caller set a call up.
func (s *harness) placeCall(id string, within time.Duration) {
	if s.calls[id] == nil {
		s.calls[id] = &callRecord{}
	}
	_ = s.core.Offer(call.Request{ID: id, Class: "c", Deadline: time.Now().Add(within), Caller: s, Description: "x"})
}

// cancelCall has the caller give a call up, or end it.
func (s *harness) cancelCall(id string) bool {
	c := s.calls[id]
	if c == nil || c.cancelled || s.callerDisconnected {
		return false
	}
	c.cancelled = true
	s.core.CallerReleased(s, id, call.CauseNormal)
	return true
}

// play plays an order of events, and then has everything arrive and come to its end. It reports false if one of the events could not be.
func (s *harness) play(order []scenarioStep) bool {
	defer s.run()()
	s.runOnLoop(func() {
		if s.secondDispatcher {
			s.updateList(control.Active, "first", "second")
		} else {
			s.updateList(control.Active, "first")
		}
	})
	time.Sleep(time.Second)
	for range s.conns - 1 {
		s.runOnLoop(func() { s.pool.Reconnect("first") })
		time.Sleep(3 * checkInterval)
	}
	if s.suspect {
		s.runOnLoop(func() { s.placeCall(otherCallID, suspectCallTimeout) })
		time.Sleep(time.Second)
	}
	s.setUpCall(testCallID)
	if s.established {
		s.runOnLoop(func() { s.first.sendFinalAnswer(testCallID, 200) })
		time.Sleep(time.Millisecond)
		s.runOnLoop(s.deliverAll)
	}
	for _, e := range order {
		could := false
		if !e.idle {
			s.lastStepAt = time.Now()
		}
		s.runOnLoop(func() { could = e.run(s) })
		if !could {
			return false
		}
		s.advance(e.after)
	}
	s.settle()
	return true
}

// advance has time pass. Nothing is on its way for longer than maxTransit after the last event, unless it is cut off.
func (s *harness) advance(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		if time.Since(s.lastStepAt) >= maxTransit {
			s.runOnLoop(s.deliverAll)
		}
		time.Sleep(min(deliveryInterval, time.Until(until)))
	}
}

// settle has what is on its way arrive, until the call's time is over; then what is established ends.
func (s *harness) settle() {
	s.advance(maxTransit + callTimeout + time.Second)
	s.runOnLoop(s.checkAnswered)
	s.runOnLoop(func() { s.unpauseFirst(true) })
	if s.stalled {
		s.advance(halfCloseTimeout) // until a connection is given up for good
	}
	s.runOnLoop(s.checkEstablished)
	s.runOnLoop(func() {
		for _, p := range s.network.dispatchers {
			for _, id := range slices.Sorted(maps.Keys(s.calls)) {
				s.endCall(p, id)
			}
		}
	})
	s.advance(maxTransit + endTimeout + time.Second)
	s.runOnLoop(s.checkEnd)
}

// deliverAll has all arrive that is on its way. What was sent in this instant is not yet there.
func (s *harness) deliverAll() {
	for _, p := range s.network.dispatchers {
		for _, c := range p.allConns {
			if c.sentAt.Before(time.Now()) {
				c.deliverToPool()
			}
		}
	}
}

// checkAnswered checks that each call has its one final answer.
func (s *harness) checkAnswered() {
	for id, c := range s.calls {
		if want := 1; !c.cancelled && !s.callerDisconnected && c.answers+c.refusals != want {
			s.violation("%s has %d answers and %d refusals", id, c.answers, c.refusals)
		}
	}
}

// checkEstablished checks that each call that a dispatcher holds is known here.
func (s *harness) checkEstablished() {
	for id := range s.calls {
		for name, p := range s.network.dispatchers {
			if _, ok := p.established[id]; ok && !p.ambiguous[id] && !p.hasBlockedConn() && !s.isEstablished(id, name) && (p.listening && !p.lastRefused || len(p.usableConns()) > 0) {
				s.violation("%s holds %s, which is not known here, and nobody releases it", name, id)
			}
		}
	}
}

// isEstablished reports whether a call is known to be established at a dispatcher.
func (s *harness) isEstablished(id, dispatcher string) bool {
	for known := range s.core.EstablishedAt(control.ServerID(dispatcher)) {
		if known == id {
			return true
		}
	}
	return false
}

// checkEnd checks that the end of what was established was told, and that nothing is left.
func (s *harness) checkEnd() {
	for id, c := range s.calls {
		c.check(func(format string, args ...any) { s.violation(id+": "+format, args...) })
	}
	for name, server := range s.pool.servers {
		if len(server.established) > 0 {
			s.violation("%s has an entry of a call that is over", name)
		}
	}
}

// check checks that the end of the call was told once, and in time.
func (c *callRecord) check(fault func(string, ...any)) {
	if c.answers+c.refusals > 1 || c.ends > 1 {
		fault("%d answers, %d refusals, %d ends", c.answers, c.refusals, c.ends)
	}
	if c.answers == 1 && c.ends == 0 && !c.cancelled {
		fault("its end is not told")
	}
	if c.answers != 1 || c.ends != 1 {
		return
	}
	if late := c.endReportedAt.Sub(c.endedAt); !c.endedAt.IsZero() && late > endTimeout {
		fault("its end is told %v late", late)
	}
	if late := c.endReportedAt.Sub(c.releaseDeliveredAt); !c.releaseDeliveredAt.IsZero() && late > releaseTimeout {
		fault("its end is told %v after its release has come", late)
	}
}
