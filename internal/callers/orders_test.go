package callers

import (
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/settings"
	"cherryrelay/internal/websocket"
)

const (
	orderedID   = "00000000000000c1"
	otherID     = "00000000000000c2"
	orderServer = control.ServerID("first")
	orderPath   = "/v1/calls"
	// orderSettings have one class.
	orderSettings = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"guardUs":60000,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,"report":{"fields":["idle"]},
"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`
	// orderDeadline is how long the caller waits for an answer: longer than an idle connection is kept.
	orderDeadline = 5500 * time.Millisecond
	// toldWithin is how soon after the release by its dispatcher the end of a call must reach its caller.
	toldWithin = time.Second
)

// orderSite is a core and a front between a stand-in dispatcher and a stand-in caller, with one call.
type orderSite struct {
	orderStart
	core        *call.Core
	front       *Front
	listener    *standInListener
	dispatchers *standInDispatchers
	caller      *standInCaller
	first       *standInConnection // that of the set-up
	setUps      int                // sent on other connections
	faults      []string

	givesUpAt   time.Time     // when the caller waits for an answer no more
	answered    bool          // an answer was written: the call has stood
	endedAt     time.Time     // at its dispatcher
	disturbedAt time.Time     // the last event that is more than time that passes
	deafFor     time.Duration // how long the caller had no connection that it reads
	finals      int           // final answers that the caller has read
	ends        []endRead     // ends that it has read
	// discarded is set where the caller closes a connection without reading what came ahead of the controller's close of it. That close is one
	// that the protocol allows, what is ahead of it is there to be read, and nothing tells that it was not.
	discarded bool
}

// endRead is an end as the caller has read it.
type endRead struct {
	on *standInConnection
	// late is how long after the end and after the last disturbance it was read.
	late time.Duration
}

// counts reports whether the caller takes it for the end of its call, and not for the result of a test.
func (r endRead) counts() bool { return !r.on.tests }

func (s *orderSite) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// newClient returns the caller's side of a connection.
func (s *orderSite) newClient(c *standInConnection) standInClient {
	if s.api {
		return &apiClient{standInConnection: c, dec: websocket.Decoder{}}
	}
	return &lineClient{standInConnection: c}
}

// writes notes what the controller writes.
func (s *orderSite) writes(text []byte) {
	if strings.Contains(string(text), `"answer"`) && strings.Contains(string(text), orderedID) {
		s.answered = true
	}
}

// reads takes in a message that the caller has read.
func (s *orderSite) reads(on *standInConnection, m *jsonl.Message) {
	if m.ID != orderedID {
		return
	}
	switch {
	case m.Type == "answer":
		s.finals++
	case m.Type == "release" && !s.answered:
		s.finals++
	case m.Type == "release":
		since := s.endedAt
		if s.disturbedAt.After(since) {
			since = s.disturbedAt
		}
		for _, earlier := range s.ends {
			if c := earlier.on; c.isOpen() && !c.tests && !c.tested {
				s.fault("its end is told again, though nothing has become of the connection on which it was read")
			}
		}
		s.ends = append(s.ends, endRead{on, time.Since(since)})
	}
}

// setUp sends the set-up of the call, or of another one that is never answered.
func (s *orderSite) setUp(on *standInConnection) {
	id := orderedID
	if on == s.first {
		s.givesUpAt = time.Now().Add(orderDeadline)
	} else {
		s.setUps++
		id = fmt.Sprintf("00000000000000d%d", s.setUps)
	}
	on.asked, on.tests = true, false
	description := "x"
	on.client.send(jsonl.Message{Type: "setup", ID: id, SDP: &description, Fields: map[string]jsonl.Value{
		"class": "c", "key": "1", "left": jsonl.Value(strconv.FormatInt(orderDeadline.Milliseconds(), 10)),
	}})
}

// test sends a test.
func (s *orderSite) test(on *standInConnection) {
	on.tests, on.tested = !on.asked, true
	on.client.send(jsonl.Message{Type: "ping", ID: "00000000000000e1", Cause: new(int)})
}

// newOrderSite must be called before the loop runs.
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
	s := &orderSite{orderStart: start, core: core, listener: &standInListener{}, dispatchers: &standInDispatchers{core: core}}
	s.caller = &standInCaller{site: s}
	format := func() Format { return &Lines{} }
	if start.api {
		format = func() Format { return NewWebSocket(orderPath) }
	}
	s.front = newFront(loop, core, log, format, Within(0), NewTerms(set))
	s.front.listen(s.listener)
	core.SetDispatchers(s.dispatchers)
	core.AddFront(s.front)
	core.OnFlush(s.front.Flush)
	loop.AddIdleCheck(s.front.Heard)
	return s
}

// do runs a function on the loop, and waits until all that it leads to at once has been done.
func (s *orderSite) do(f func()) {
	s.core.Loop().Post(f)
	synctest.Wait()
}

// orderEvent is one thing that may happen. It reports whether it could.
type orderEvent struct {
	letter byte
	what   string
	occurs func(s *orderSite) bool
	after  time.Duration // that passes after it
	idle   bool          // nothing else happens
}

// passes is an event in which nothing happens for a time.
func passes(letter byte, d time.Duration) orderEvent {
	return orderEvent{letter, "time passes: " + d.String(), func(*orderSite) bool { return true }, d, true}
}

// onFirst has the caller do something with the connection of the call.
func onFirst(f func(*standInConnection)) func(*orderSite) bool {
	return func(s *orderSite) bool {
		if s.first.callerClosed || s.first.halfClosed {
			return false
		}
		f(s.first)
		return true
	}
}

// onOwn has this side do something with the connection of the call.
func onOwn(f func(*Conn)) func(*orderSite) bool {
	return func(s *orderSite) bool {
		c, ok := s.first.handler.(*Conn)
		if !ok || c.closed {
			return false
		}
		f(c)
		return true
	}
}

// onNewest has it do something with the newest other connection.
func onNewest(f func(*standInConnection)) func(*orderSite) bool {
	return func(s *orderSite) bool {
		open := s.caller.open()
		if len(open) == 0 || open[len(open)-1] == s.first {
			return false
		}
		f(open[len(open)-1])
		return true
	}
}

func orderEvents() []orderEvent {
	return []orderEvent{
		{'a', "the dispatcher answers", func(s *orderSite) bool { return s.dispatchers.answers() }, 0, false},
		{'e', "it ends the call", func(s *orderSite) bool { s.endedAt = time.Now(); return s.dispatchers.ends() }, 0, false},
		{'E', "it ends the call, and the answer comes behind that", func(s *orderSite) bool {
			s.endedAt = time.Now()
			return s.dispatchers.endsFirst() && s.dispatchers.answers()
		}, 0, false},
		{'b', "the caller opens another connection", func(s *orderSite) bool { s.caller.opens(); return len(s.caller.connections) < 4 }, 0, false},
		{'T', "it opens another one, for tests", func(s *orderSite) bool {
			s.caller.opens().tests = true
			return len(s.caller.connections) < 4
		}, 0, false},
		{'s', "it sends a set-up there", onNewest(func(c *standInConnection) { c.caller.site.setUp(c) }), 0, false},
		{'t', "it sends a test there", func(s *orderSite) bool {
			return onNewest(s.test)(s)
		}, 0, false},
		{'c', "it closes the connection of the call", onFirst((*standInConnection).close), 0, false},
		{'x', "it closes that one, and its end is on its way", onFirst((*standInConnection).closeInFlight), 0, false},
		{'h', "it closes its side of that one", onFirst((*standInConnection).halfClose), 0, false},
		{'r', "it resets that one", onFirst((*standInConnection).reset), 0, false},
		{'C', "it closes the other connection", onNewest((*standInConnection).close), 0, false},
		{'R', "it resets the other connection", onNewest((*standInConnection).reset), 0, false},
		{'i', "it says something on the connection of the call", onFirst(func(c *standInConnection) {
			c.client.send(jsonl.Message{Type: "progress", ID: orderedID})
		}), 0, false},
		{'o', "the end of another call is told there", onOwn(func(c *Conn) {
			c.NotifyTerminated(otherID, call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded})
		}), 0, false},
		{'w', "another set-up is refused there", onOwn(func(c *Conn) {
			c.End(otherID, call.End{Cause: call.CauseCongestion, Reason: call.ReasonRefused})
		}), 0, false},
		{'p', "it stands still", func(s *orderSite) bool {
			still := s.caller.still
			s.caller.still = true
			return !still
		}, 0, false},
		{'f', "it stands still, with its buffers full", func(s *orderSite) bool {
			full := s.caller.full
			s.caller.still, s.caller.full = true, true
			return !full
		}, 0, false},
		{'u', "what it sends lies unread here", func(s *orderSite) bool {
			unshown := s.caller.unshown
			s.caller.unshown = true
			return !unshown
		}, 0, false},
		{'g', "all that was held back goes on", func(s *orderSite) bool { return s.caller.goesOn() }, 0, false},
		{'l', "there is room for one connection", func(s *orderSite) bool {
			most := s.front.bounds.Connections
			s.front.Limit(1)
			return most != 1
		}, 0, false},
		{'q', "a connection makes room for others", func(s *orderSite) bool { s.front.Squeeze(); return true }, 0, false},
		{'z', "the controller is evacuated", func(s *orderSite) bool {
			serving := s.core.Phase() == call.Serving
			s.core.Evacuate()
			return serving
		}, 0, false},
		passes('1', 20*time.Millisecond),
		passes('2', 150*time.Millisecond),
		passes('3', 300*time.Millisecond),
		passes('4', 4*time.Second),
		passes('6', 6*time.Second),
		passes('9', 35*time.Second),
	}
}

// play plays an order of events, and then has everything come to its end. It reports false if one of the events could not be.
func (s *orderSite) play(order []orderEvent) bool {
	go s.core.Loop().Run()
	defer func() {
		s.core.Loop().Quit()
		synctest.Wait()
	}()
	s.do(func() {
		s.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: orderServer, Status: control.Active}, Address: "first"}}})
		s.core.DispatcherReached()
	})
	time.Sleep(time.Second)
	s.do(func() { s.first = s.caller.opens() })
	s.do(func() { s.setUp(s.first) })
	time.Sleep(10 * time.Millisecond)
	if s.called {
		s.do(func() { s.dispatchers.answers() })
	}
	for _, e := range append(spelledOrder(s.begun), order...) {
		could := false
		s.do(func() {
			if !e.idle {
				s.disturbedAt = time.Now()
			}
			could = e.occurs(s)
		})
		if !could {
			return false
		}
		s.pass(e.after)
	}
	if s.atOnce {
		s.do(func() {
			if !s.hasRead() {
				s.fault("its end is not told by then")
			}
		})
	}
	s.settle()
	return true
}

// pass has time pass, and notes how long the caller reads nowhere.
func (s *orderSite) pass(d time.Duration) {
	if d == 0 {
		return
	}
	time.Sleep(d)
	s.do(func() {
		if s.caller.still || s.caller.unshown || len(s.caller.open()) == 0 {
			s.deafFor += d
		}
	})
}

// settle has what is held back go on, tests be sent where they are to be, and the call end. Then it checks that the end was told: at once where
// the caller has a connection open that it reads, and else on one that it opens.
func (s *orderSite) settle() {
	s.do(func() {
		if s.caller.still || s.caller.unshown {
			s.disturbedAt = time.Now()
		}
		s.caller.goesOn()
		for _, c := range s.caller.open() {
			if c.awaitsTest() {
				s.test(c)
				s.disturbedAt = time.Now()
			}
		}
	})
	s.pass(2 * finalFlight)
	s.do(func() {
		if s.dispatchers.answered {
			s.endedAt = time.Now()
			s.dispatchers.ends()
		}
	})
	s.pass(toldWithin + lookEvery)
	s.do(func() {
		if s.answered && !s.hasRead() && !s.discarded && s.hears() {
			s.fault("its end is not told, with a connection open")
		}
		s.disturbedAt = time.Now()
		s.setUp(s.caller.opens())
	})
	s.pass(toldWithin)
	s.pass(orderDeadline)
	s.do(s.check)
}

// hears reports whether the caller has a connection open for its calls.
func (s *orderSite) hears() bool {
	return slices.ContainsFunc(s.caller.open(), func(c *standInConnection) bool { return c.asked })
}

// hasRead reports whether the caller has read the end of its call where it takes it for that.
func (s *orderSite) hasRead() bool {
	return slices.ContainsFunc(s.ends, endRead.counts)
}

// check checks that the end of what was established was told, in time, and the final answer, unless it waited for a kernel that took nothing until
// the caller's time was over.
func (s *orderSite) check() {
	if s.finals > 1 || s.finals == 0 && !s.first.left && !s.first.cutLate {
		s.fault("%d final answers", s.finals)
	}
	if s.deafFor >= keep || s.discarded { // nobody counts on it any more, or it was there to be read
		return
	}
	if s.answered && !s.hasRead() {
		s.fault("its end is not told")
	}
	if i := slices.IndexFunc(s.ends, endRead.counts); i >= 0 && s.ends[i].late > toldWithin {
		s.fault("its end is told %v late", s.ends[i].late)
	}
	if s.once && len(s.ends) != 1 {
		s.fault("its end is told %d times", len(s.ends))
	}
}

// orderStart is what an order of events begins with.
type orderStart struct {
	name   string
	api    bool   // the caller speaks the call-control API
	called bool   // the call is established, and its caller knows
	fewer  int    // events than other orders have
	begun  string // events that have come by then
	atOnce bool   // the end is to be read as the order is over
	once   bool   // no end is to be told twice, nor to a connection for tests
}

// orderResult is what came of one order.
type orderResult struct {
	possible bool
	faults   []string
}

func (start orderStart) play(t *testing.T, order []orderEvent) (result orderResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, start)
		result.possible = s.play(order)
		result.faults = s.faults
	})
	return result
}

func spellOrder(order []orderEvent) string {
	var letters strings.Builder
	for _, e := range order {
		letters.WriteByte(e.letter)
	}
	return letters.String()
}

// orderDepth is how many events an order has, CHERRYRELAY_DEPTH by hand.
func orderDepth(t *testing.T) int {
	t.Helper()
	text := os.Getenv("CHERRYRELAY_DEPTH")
	if text == "" {
		return 2
	}
	depth, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return depth
}

// TestEndsAndConnectionsInEveryOrder guards against ends of calls that no caller reads: all orders of what may happen to a call, its caller's
// connections and the controller, to a depth, over the real core and front.
func TestEndsAndConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []orderStart{{name: "a set-up"}, {name: "an established call", called: true},
		{name: "a spare connection", called: true, begun: "b2", fewer: 1}, {name: "an established call over the API", called: true, api: true, fewer: 1},
		{name: "a spare connection for tests", called: true, begun: "T2"},
		{name: "an end that lies unread", called: true, begun: "pe3"}, {name: "nothing is shown", called: true, begun: "u"}} {
		t.Run(start.name, func(t *testing.T) {
			t.Parallel()
			for _, first := range orderEvents() {
				t.Run(first.what, func(t *testing.T) {
					t.Parallel()
					count := start.extend(t, []orderEvent{first}, orderDepth(t)-start.fewer)
					t.Logf("%d orders played", count)
				})
			}
		})
	}
}

// extend plays an order and all that go on from it, to a depth, and returns how many could be played.
func (start orderStart) extend(t *testing.T, order []orderEvent, depth int) (played int) {
	t.Helper()
	result := start.play(t, order)
	if !result.possible {
		return 0
	}
	if len(result.faults) > 0 {
		t.Errorf("order %s: %s", spellOrder(order), strings.Join(result.faults, "; "))
	}
	played = 1
	if depth <= 1 {
		return played
	}
	for _, next := range orderEvents() {
		played += start.extend(t, append(slices.Clone(order), next), depth-1)
	}
	return played
}

// TestOrdersThatHaveFailed guards against faults that the search found, by the shortest orders that showed them.
func TestOrdersThatHaveFailed(t *testing.T) {
	established := orderStart{called: true}
	for name, test := range map[string]struct {
		start orderStart
		order string
	}{
		"a caller that stands still resets with the end unread":               {established, "pe3r"},
		"a caller that stands still closes with the end unread":               {established, "pe3c"},
		"a close crosses the end and is shown late":                           {established, "uxe3"},
		"a close behind other words crosses the end and is shown late":        {established, "uice3"},
		"a close crosses the end, and is on its way as nothing is shown more": {established, "xeu3"},
		"an answer has not left as its connection makes room":                 {orderStart{}, "faq"},
		"an answer and its end have not left as their connection makes room":  {orderStart{}, "fEq"},
		"an answer has not left as a new connection needs room":               {orderStart{}, "falb"},
		"an answer and its end have not left as their connection is idle":     {orderStart{}, "fE43333"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			order := spelledOrder(test.order)
			if result := test.start.play(t, order); !result.possible || len(result.faults) > 0 {
				t.Errorf("order %s, possible: %v: %s", test.order, result.possible, strings.Join(result.faults, "; "))
			}
		})
	}
}

// TestOrdersOfTheCrossings guards each line that sees to an end's being told, or to its being told once, by an order that fails without it.
func TestOrdersOfTheCrossings(t *testing.T) {
	established := orderStart{called: true}
	atOnce, once := orderStart{called: true, atOnce: true}, orderStart{called: true, once: true}
	for name, test := range map[string]struct {
		start orderStart
		order string
	}{
		"an end that has not left as its connection is closed":      {established, "feh3"},
		"a close that crosses the end":                              {established, "xe"},
		"an end told to a connection for tests that closes":         {established, "cT2e3C"},
		"an end told to a connection whose test comes later":        {established, "cT2et"},
		"an end as its connection has closed, which is not shown":   {atOnce, "bsuce1"},
		"another connection has closed, which is not shown":         {atOnce, "cbs1bs1uCe1"},
		"an end that waits for a connection":                        {established, "ce6"},
		"an end that waits, and a connection that says nothing":     {atOnce, "ceb3"},
		"an end that waits, and a set-up on a new connection":       {atOnce, "cebs"},
		"an end as connections are being closed":                    {once, "z333e"},
		"an end ahead of the test on a new connection":              {once, "cTe1t"},
		"a reset that is not shown as this side closes":             {established, "pe3urq"},
		"a reset that shows as something is written":                {established, "pe3urw"},
		"an end that lies unread, and another one behind it":        {established, "pe3o3r"},
		"the end comes ahead of the answer, on a closed connection": {orderStart{}, "uxE"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			order := spelledOrder(test.order)
			if result := test.start.play(t, order); !result.possible || len(result.faults) > 0 {
				t.Errorf("order %s, possible: %v: %s", test.order, result.possible, strings.Join(result.faults, "; "))
			}
		})
	}
}

// spelledOrder has the events of the letters.
func spelledOrder(letters string) []orderEvent {
	var order []orderEvent
	for _, letter := range []byte(letters) {
		for _, e := range orderEvents() {
			if e.letter == letter {
				order = append(order, e)
			}
		}
	}
	return order
}
