package dispatchers

import (
	"fmt"
	"log/slog"
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
	// orderSettings have one class, whose callers wait for 9 s, and a guard of 60 ms.
	orderSettings = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"guardUs":60000,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,"report":{"fields":["idle"]},
"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`
	orderDeadline = 9 * time.Second
	// onItsWay is the longest that anything is on its way, and arrivalStep the pace at which it arrives after that.
	onItsWay, arrivalStep = time.Second, 50 * time.Millisecond
	// endUntold is how soon the end of a call must reach its caller though its dispatcher could not tell it at first.
	endUntold = 8 * time.Second
)

// orderSite is a core and a pool over stand-in dispatchers, with one call.
type orderSite struct {
	orderStart
	core      *call.Core
	pool      *Pool
	network   *standInNetwork
	first     *process      // the dispatcher that events are about
	startedAt time.Duration // when its process began, as the list has it; 0 for long ago
	faults    []string

	disturbedAt time.Time // when the last event was that is more than time that passes

	answers, finals, overs int
	cancelled, left        bool
	endedAt, overAt        time.Time // at its dispatcher, and as its caller was told
}

func (s *orderSite) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// Answer tells the caller that the call is established.
func (s *orderSite) Answer(string, string) error { s.answers++; return nil }

// End is the final answer.
func (s *orderSite) End(string, call.End) { s.finals++ }

// Left reports whether the caller has gone.
func (s *orderSite) Left() bool { return s.left }

// Over tells the caller the end of the call.
func (s *orderSite) Over(string, call.End) {
	_, holds := s.first.established[orderedID]
	canRepeat := s.first.listens || !s.first.reset // ends that may have been lost
	if holds && canRepeat && !s.first.cutOff && len(s.first.open()) > 0 && !s.cancelled {
		s.fault("its end is told while it goes on, at a dispatcher that can be reached")
	}
	s.overs++
	s.overAt = time.Now()
}

// orderFront passes on the ends of calls whose connection has closed.
type orderFront struct{ *orderSite }

// Release tells the caller the end of the call on another connection.
func (f orderFront) Release(id string, end call.End) { f.Over(id, end) }

// Open is the number of connections.
func (f orderFront) Open() int { return 1 }

// Quiet reports that nothing waits.
func (f orderFront) Quiet() bool { return true }

// attempted takes in the arrival of an attempt at a dispatcher. One that is cut off can't be told that an earlier attempt is given up.
func (s *orderSite) attempted(id string) {
	for _, p := range s.network.processes {
		if p.pending(id) != nil && !p.cutOff {
			s.fault("an attempt while another one is out")
		}
	}
	if s.answers+s.finals > 0 {
		s.fault("an attempt after the final answer")
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
	s := &orderSite{orderStart: start, core: core, network: &standInNetwork{loop: loop, processes: map[string]*process{}}}
	s.pool = New(loop, core, Options{ConnectTimeout: 500 * time.Millisecond, Fields: []string{"idle"}, Log: log})
	s.pool.dial = s.network.dial
	if start.most > 0 {
		s.pool.Limit(start.most)
	}
	core.Serve(s.pool)
	core.AddFront(orderFront{s})
	core.OnFlush(s.pool.Flush)
	s.first = newProcess(s)
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
	if s.first.cutOff || len(s.first.connections) == 0 {
		return false
	}
	f(s.first.connections[0])
	return true
}

// end has a dispatcher end the call.
func (s *orderSite) end(at *process) bool {
	if !at.ends(orderedID) {
		return false
	}
	s.endedAt = time.Now()
	return true
}

// play plays an order of events, and then has everything arrive and come to its end. It reports false if one of the events could not be.
func (s *orderSite) play(order []orderEvent) bool {
	go s.core.Loop().Run()
	defer func() {
		s.core.Loop().Quit()
		synctest.Wait()
	}()
	s.do(func() {
		if s.second {
			s.list(control.Active, "first", "second")
		} else {
			s.list(control.Active, "first")
		}
	})
	time.Sleep(time.Second)
	if s.two {
		s.do(func() { s.pool.Renew("first") })
		time.Sleep(time.Second)
	}
	s.do(func() {
		_ = s.core.Offer(call.Request{ID: orderedID, Class: "c", Deadline: time.Now().Add(orderDeadline), Caller: s, Description: "x"})
	})
	time.Sleep(10 * time.Millisecond)
	if s.called {
		s.do(func() {
			s.first.finalAnswer(orderedID, 200)
			s.arrive()
		})
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
	s.do(s.checkEstablished)
	s.do(func() {
		for _, p := range s.network.processes {
			s.end(p)
		}
	})
	s.pass(onItsWay + endUntold + time.Second)
	s.do(s.checkEnd)
}

// arrive has all that is on its way arrive.
func (s *orderSite) arrive() {
	for _, p := range s.network.processes {
		for _, c := range p.all {
			c.deliver()
		}
	}
}

// checkEstablished checks that a call that a dispatcher holds is known here.
func (s *orderSite) checkEstablished() {
	if want := 1; !s.cancelled && !s.left && s.answers+s.finals != want {
		s.fault("%d answers and %d refusals", s.answers, s.finals)
	}
	for name, p := range s.network.processes {
		if _, ok := p.established[orderedID]; !ok || p.cutOff {
			continue
		}
		known := false
		for id := range s.core.StandAt(control.ServerID(name)) {
			known = known || id == orderedID
		}
		if !known && (p.listens || len(p.open()) > 0) {
			s.fault("%s holds a call that is not known here, and nobody releases it", name)
		}
	}
}

// checkEnd checks that the end of what was established was told, and that nothing is left.
func (s *orderSite) checkEnd() {
	if s.answers+s.finals > 1 || s.overs > 1 {
		s.fault("%d answers, %d refusals, %d ends", s.answers, s.finals, s.overs)
	}
	if s.answers == 1 && s.overs == 0 && !s.cancelled {
		s.fault("its end is not told")
	}
	if s.answers == 1 && s.overs == 1 && !s.endedAt.IsZero() && s.overAt.Sub(s.endedAt) > endUntold {
		s.fault("its end is told %v late", s.overAt.Sub(s.endedAt))
	}
	for name, server := range s.pool.servers {
		if len(server.standing) > 0 {
			s.fault("%s has an entry of a call that is over", name)
		}
	}
}
