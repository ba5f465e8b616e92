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
	orderedID = "00000000000000c1"
	// otherID and thirdID are those of calls beside it, which come otherComes later and are answered at once.
	otherID    = "00000000000000c2"
	thirdID    = "00000000000000c3"
	otherComes = overtakenBy + 50*time.Millisecond
	// orderSettings have one class, whose callers wait for 9 s, and a guard of 60 ms.
	orderSettings = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"guardUs":60000,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,"report":{"fields":["idle"]},
"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`
	orderDeadline = 9 * time.Second
	// doubtedFor is how long the caller of a call waits by which its dispatcher comes to be doubted.
	doubtedFor = 2 * time.Second
	// onItsWay is the longest that anything is on its way, and arrivalStep the pace at which it arrives after that.
	onItsWay, arrivalStep = time.Second, 50 * time.Millisecond
	// endUntold is how soon the end of a call must reach its caller though its dispatcher could not tell it at first.
	endUntold = 8 * time.Second
	// releaseUntold is how soon it must once the release by its dispatcher has come.
	releaseUntold = time.Second
)

// orderedCall is what its caller and its dispatcher know of a call.
type orderedCall struct {
	answers, finals, overs int
	cancelled              bool
	endedAt, overAt        time.Time // at its dispatcher, and as its caller was told
	releaseCame            time.Time // of a call that stood, to the pool's side; zero if it has not
}

// orderSite is a core and a pool over stand-in dispatchers, with one call and, as an event, another.
type orderSite struct {
	orderStart
	core      *call.Core
	pool      *Pool
	network   *standInNetwork
	first     *process      // the dispatcher that events are about
	startedAt time.Duration // when its process began, as the list has it; 0 for long ago
	faults    []string

	disturbedAt time.Time // when the last event was that is more than time that passes

	calls   map[string]*orderedCall
	left    bool // the caller's connection has closed
	stalled bool // nothing got through on a connection for a while
}

func (s *orderSite) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// Answer tells the caller that the call is established.
func (s *orderSite) Answer(id, _ string) error { s.calls[id].answers++; return nil }

// End is the final answer.
func (s *orderSite) End(id string, _ call.End) { s.calls[id].finals++ }

// Disconnected reports whether the caller has gone.
func (s *orderSite) Disconnected() bool { return s.left }

// NotifyTerminated tells the caller the end of the call.
func (s *orderSite) NotifyTerminated(id string, _ call.End) {
	c := s.calls[id]
	_, holds := s.first.established[id]
	holds = holds && !s.first.ambiguous[id]                            // nobody can tell whose end it is
	canRepeat := s.first.listens && !s.first.refused || !s.first.reset // ends that may have been lost
	if holds && canRepeat && s.first.reachable() && !c.cancelled {
		s.fault("the end of %s is told while it goes on, at a dispatcher that can be reached", id)
	}
	c.overs++
	c.overAt = time.Now()
}

// orderFront passes on the ends of calls whose connection has closed.
type orderFront struct{ *orderSite }

// Release tells the caller the end of the call on another connection.
func (f orderFront) Release(id string, end call.End) { f.NotifyTerminated(id, end) }

// Connections is the number of connections.
func (f orderFront) Connections() int { return 1 }

// Idle reports that nothing waits.
func (f orderFront) Idle() bool { return true }

// attempted takes in the arrival of an attempt at a dispatcher. One that nothing reaches can't be told that an earlier attempt is given up.
func (s *orderSite) attempted(id string) {
	for _, p := range s.network.processes {
		if pending := p.pending(id); pending != nil && !p.cutOff && !pending.givenUpUnread(id) {
			s.fault("an attempt of %s while another one is out", id)
		}
	}
	if c := s.calls[id]; c.answers+c.finals > 0 {
		s.fault("an attempt of %s after the final answer", id)
	}
}

// established takes in that a dispatcher holds a call.
func (s *orderSite) established(id string) { s.calls[id].releaseCame = time.Time{} }

// released takes in that a release by a dispatcher has come. One that comes while the call goes on there is that of an earlier attempt.
func (s *orderSite) released(by *process, id string) {
	c := s.calls[id]
	if _, goesOn := by.established[id]; c != nil && !goesOn && c.releaseCame.IsZero() {
		c.releaseCame = time.Now()
	}
}

// newOrderSite must be called on the loop's goroutine or before it runs.
func newOrderSite(t *testing.T, start orderStart) *orderSite {
	t.Helper()
	set := new(settings.Settings)
	if err := jsoniter.UnmarshalFromString(orderSettings, set); err != nil {
		t.Fatal(err)
	}
	loop, log := call.NewLoop(), slog.New(slog.DiscardHandler)
	core, err := call.New(loop, log, set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &orderSite{orderStart: start, core: core, network: &standInNetwork{loop: loop, processes: map[string]*process{}}, calls: map[string]*orderedCall{}}
	s.pool = New(loop, core, Options{ConnectTimeout: 500 * time.Millisecond, ReportFields: []string{"idle"}, Log: log})
	s.pool.dial = s.network.dial
	if start.most > 0 {
		s.pool.SetMaxConnections(start.most)
	}
	core.SetDispatchers(s.pool)
	core.AddFront(orderFront{s})
	core.OnFlush(s.pool.Flush)
	s.first = newProcess(s)
	s.first.again, s.first.keeps, s.first.unconfirmed, s.first.resets = start.again, start.keeps, start.unconfirmed, start.resets
	s.first.newest = start.newest
	if start.chats {
		s.first.chat(loop)
	}
	s.network.processes["first"] = s.first
	if start.second {
		s.network.processes["second"] = newProcess(s)
		s.network.processes["second"].prompt = true
	}
	return s
}

// list tells the core of dispatchers.
func (s *orderSite) list(status control.ServerStatus, names ...control.ServerID) {
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

// do runs a function on the loop, and waits until all that it leads to at once has been done.
func (s *orderSite) do(f func()) {
	s.core.Loop().Post(f)
	synctest.Wait()
}

// beginAnew has another process run under the name of the first dispatcher, at its address.
func (s *orderSite) beginAnew() {
	s.first.dies()
	s.first = newProcess(s)
	s.network.processes["first"] = s.first
	s.startedAt += time.Second
	s.list(control.Active, "first")
}

func (s *orderSite) onOldest(f func(*standInConnection)) bool {
	if s.first.cutOff || s.first.still || len(s.first.connections) == 0 {
		return false
	}
	f(s.first.connections[0])
	return true
}

// end has a dispatcher end the call.
func (s *orderSite) end(at *process, id string) bool {
	if !at.ends(id) {
		return false
	}
	s.calls[id].endedAt = time.Now()
	return true
}

// offer has the caller set a call up.
func (s *orderSite) offer(id string, within time.Duration) {
	if s.calls[id] == nil {
		s.calls[id] = &orderedCall{}
	}
	_ = s.core.Offer(call.Request{ID: id, Class: "c", Deadline: time.Now().Add(within), Caller: s, Description: "x"})
}

// cancel has the caller give a call up, or end it.
func (s *orderSite) cancel(id string) bool {
	c := s.calls[id]
	if c == nil || c.cancelled || s.left {
		return false
	}
	c.cancelled = true
	s.core.CallerReleased(s, id, call.CauseNormal)
	return true
}

// play plays an order of events, and then has everything arrive and come to its end. It reports false if one of the events could not be.
func (s *orderSite) play(order []orderEvent) bool {
	defer s.run()()
	s.do(func() {
		if s.second {
			s.list(control.Active, "first", "second")
		} else {
			s.list(control.Active, "first")
		}
	})
	time.Sleep(time.Second)
	for range s.links - 1 {
		s.do(func() { s.pool.Reconnect("first") })
		time.Sleep(3 * checkEvery)
	}
	if s.doubted {
		s.do(func() { s.offer(otherID, doubtedFor) })
		time.Sleep(time.Second)
	}
	s.setsUp(orderedID)
	if s.called {
		s.do(func() { s.first.finalAnswer(orderedID, 200) })
		time.Sleep(time.Millisecond)
		s.do(s.arrive)
	}
	for _, e := range order {
		could := false
		if !e.idle {
			s.disturbedAt = time.Now()
		}
		s.do(func() { could = e.occurs(s) })
		if !could {
			return false
		}
		s.pass(e.after)
	}
	s.settle()
	return true
}

// pass has time pass. Nothing is on its way for longer than onItsWay after the last event, unless it is cut off.
func (s *orderSite) pass(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		if time.Since(s.disturbedAt) >= onItsWay {
			s.do(s.arrive)
		}
		time.Sleep(min(arrivalStep, time.Until(until)))
	}
}

// settle has what is on its way arrive, until the call's time is over; then what is established ends.
func (s *orderSite) settle() {
	s.pass(onItsWay + orderDeadline + time.Second)
	s.do(s.checkAnswered)
	s.do(func() { s.goesOn(true) })
	if s.stalled {
		s.pass(halfClosedFor) // until a connection is given up for good
	}
	s.do(s.checkEstablished)
	s.do(func() {
		for _, p := range s.network.processes {
			for _, id := range slices.Sorted(maps.Keys(s.calls)) {
				s.end(p, id)
			}
		}
	})
	s.pass(onItsWay + endUntold + time.Second)
	s.do(s.checkEnd)
}

// arrive has all arrive that is on its way. What was sent in this instant is not yet there.
func (s *orderSite) arrive() {
	for _, p := range s.network.processes {
		for _, c := range p.all {
			if c.sentAt.Before(time.Now()) {
				c.deliver()
			}
		}
	}
}

// checkAnswered checks that each call has its one final answer.
func (s *orderSite) checkAnswered() {
	for id, c := range s.calls {
		if want := 1; !c.cancelled && !s.left && c.answers+c.finals != want {
			s.fault("%s has %d answers and %d refusals", id, c.answers, c.finals)
		}
	}
}

// checkEstablished checks that each call that a dispatcher holds is known here.
func (s *orderSite) checkEstablished() {
	for id := range s.calls {
		for name, p := range s.network.processes {
			if _, ok := p.established[id]; ok && !p.ambiguous[id] && !p.unreached() && !s.knows(id, name) && (p.listens && !p.refused || len(p.open()) > 0) {
				s.fault("%s holds %s, which is not known here, and nobody releases it", name, id)
			}
		}
	}
}

// knows reports whether a call is known to be established at a dispatcher.
func (s *orderSite) knows(id, dispatcher string) bool {
	for known := range s.core.EstablishedAt(control.ServerID(dispatcher)) {
		if known == id {
			return true
		}
	}
	return false
}

// checkEnd checks that the end of what was established was told, and that nothing is left.
func (s *orderSite) checkEnd() {
	for id, c := range s.calls {
		c.check(func(format string, args ...any) { s.fault(id+": "+format, args...) })
	}
	for name, server := range s.pool.servers {
		if len(server.standing) > 0 {
			s.fault("%s has an entry of a call that is over", name)
		}
	}
}

// check checks that the end of the call was told once, and in time.
func (c *orderedCall) check(fault func(string, ...any)) {
	if c.answers+c.finals > 1 || c.overs > 1 {
		fault("%d answers, %d refusals, %d ends", c.answers, c.finals, c.overs)
	}
	if c.answers == 1 && c.overs == 0 && !c.cancelled {
		fault("its end is not told")
	}
	if c.answers != 1 || c.overs != 1 {
		return
	}
	if late := c.overAt.Sub(c.endedAt); !c.endedAt.IsZero() && late > endUntold {
		fault("its end is told %v late", late)
	}
	if late := c.overAt.Sub(c.releaseCame); !c.releaseCame.IsZero() && late > releaseUntold {
		fault("its end is told %v after its release has come", late)
	}
}
