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
	testCallID  = "00000000000000c1"
	otherCallID = "00000000000000c2"
	testServer  = control.ServerID("first")
	testPath    = "/v1/calls"
	// testSettings have one class.
	testSettings = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"guardUs":60000,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,"report":{"fields":["idle"]},
"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`
	// callTimeout is how long the caller waits for an answer: longer than an idle connection is kept.
	callTimeout = 5500 * time.Millisecond
	// maxEndDelay is how soon after the release by its dispatcher the end of a call must reach its caller.
	maxEndDelay = time.Second
)

// harness is a core and a front between a stand-in dispatcher and a stand-in caller, with one call.
type harness struct {
	initialState
	core        *call.Core
	front       *Front
	listener    *fakeListener
	dispatchers *fakeDispatchers
	caller      *fakeCaller
	callConn    *fakeConn // that of the set-up
	otherSetUps int       // sent on other connections
	violations  []string

	answerDeadline time.Time     // when the caller waits for an answer no more
	answerWritten  bool          // an answer was written: the call has stood
	endedAt        time.Time     // at its dispatcher
	lastStepAt     time.Time     // the last event that is more than time that passes
	unreachableFor time.Duration // how long the caller had no connection that it reads
	finalAnswers   int           // final answers that the caller has read
	endsRead       []endRead     // ends that it has read
	// discarded is set where the caller closes a connection without reading what came ahead of the controller's close of it. That close is one
	// that the protocol allows, what is ahead of it is there to be read, and nothing tells that it was not.
	discarded bool
}

// endRead is an end as the caller has read it.
type endRead struct {
	conn *fakeConn
	// delay is how long after the end and after the last disturbance it was read.
	delay time.Duration
}

// isCallEnd reports whether the caller takes it for the end of its call, and not for the result of a test.
func (r endRead) isCallEnd() bool { return !r.conn.forHealthChecks }

func (s *harness) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// newClient returns the caller's side of a connection.
func (s *harness) newClient(c *fakeConn) clientProtocol {
	if s.api {
		return &apiClient{fakeConn: c, dec: websocket.Decoder{}}
	}
	return &lineClient{fakeConn: c}
}

// recordWrite notes what the controller writes.
func (s *harness) recordWrite(text []byte) {
	if strings.Contains(string(text), `"answer"`) && strings.Contains(string(text), testCallID) {
		s.answerWritten = true
	}
}

// received takes in a message that the caller has read.
func (s *harness) received(on *fakeConn, m *jsonl.Message) {
	if m.ID != testCallID {
		return
	}
	switch {
	case m.Type == "answer":
		s.finalAnswers++
	case m.Type == "release" && !s.answerWritten:
		s.finalAnswers++
	case m.Type == "release":
		since := s.endedAt
		if s.lastStepAt.After(since) {
			since = s.lastStepAt
		}
		for _, earlier := range s.endsRead {
			if c := earlier.conn; c.isOpen() && !c.forHealthChecks && !c.sentPing {
				s.violation("its end is told again, though nothing has become of the connection on which it was read")
			}
		}
		s.endsRead = append(s.endsRead, endRead{on, time.Since(since)})
	}
}

// sendSetUp sends the set-up of the call, or of another one that is never answered.
func (s *harness) sendSetUp(on *fakeConn) {
	id := testCallID
	if on == s.callConn {
		s.answerDeadline = time.Now().Add(callTimeout)
	} else {
		s.otherSetUps++
		id = fmt.Sprintf("00000000000000d%d", s.otherSetUps)
	}
	on.sentSetUp, on.forHealthChecks = true, false
	description := "x"
	on.client.send(jsonl.Message{Type: "setup", ID: id, SDP: &description, Fields: map[string]jsonl.Value{
		"class": "c", "key": "1", "left": jsonl.Value(strconv.FormatInt(callTimeout.Milliseconds(), 10)),
	}})
}

// sendPing sends a test.
func (s *harness) sendPing(on *fakeConn) {
	on.forHealthChecks, on.sentPing = !on.sentSetUp, true
	on.client.send(jsonl.Message{Type: "ping", ID: "00000000000000e1", Cause: new(int)})
}

// newHarness must be called before the loop runs.
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
	s := &harness{initialState: start, core: core, listener: &fakeListener{}, dispatchers: &fakeDispatchers{core: core}}
	s.caller = &fakeCaller{harness: s}
	format := func() Format { return &Lines{} }
	if start.api {
		format = func() Format { return NewWebSocket(testPath) }
	}
	s.front = newFront(loop, core, log, format, Within(0), NewTerms(set))
	s.front.useListener(s.listener)
	core.SetDispatchers(s.dispatchers)
	core.AddFront(s.front)
	core.OnFlush(s.front.Flush)
	loop.AddIdleCheck(s.front.Heard)
	return s
}

// runOnLoop runs a function on the loop, and waits until all that it leads to at once has been done.
func (s *harness) runOnLoop(f func()) {
	s.core.Loop().Post(f)
	synctest.Wait()
}

// scenarioStep is one thing that may happen. It reports whether it could.
type scenarioStep struct {
	letter byte
	name   string
	run    func(s *harness) bool
	after  time.Duration // that passes after it
	idle   bool          // nothing else happens
}

// waitStep is an event in which nothing happens for a time.
func waitStep(letter byte, d time.Duration) scenarioStep {
	return scenarioStep{letter, "time passes: " + d.String(), func(*harness) bool { return true }, d, true}
}

// withCallConn has the caller do something with the connection of the call.
func withCallConn(f func(*fakeConn)) func(*harness) bool {
	return func(s *harness) bool {
		if s.callConn.callerClosed || s.callConn.halfClosed {
			return false
		}
		f(s.callConn)
		return true
	}
}

// withServerConn has this side do something with the connection of the call.
func withServerConn(f func(*Conn)) func(*harness) bool {
	return func(s *harness) bool {
		c, ok := s.callConn.handler.(*Conn)
		if !ok || c.closed {
			return false
		}
		f(c)
		return true
	}
}

// withNewestConn has it do something with the newest other connection.
func withNewestConn(f func(*fakeConn)) func(*harness) bool {
	return func(s *harness) bool {
		open := s.caller.openConns()
		if len(open) == 0 || open[len(open)-1] == s.callConn {
			return false
		}
		f(open[len(open)-1])
		return true
	}
}

func allSteps() []scenarioStep {
	return []scenarioStep{
		{'a', "the dispatcher answers", func(s *harness) bool { return s.dispatchers.answer() }, 0, false},
		{'e', "it ends the call", func(s *harness) bool { s.endedAt = time.Now(); return s.dispatchers.endCall() }, 0, false},
		{'E', "it ends the call, and the answer comes behind that", func(s *harness) bool {
			s.endedAt = time.Now()
			return s.dispatchers.endBeforeAnswer() && s.dispatchers.answer()
		}, 0, false},
		{'b', "the caller opens another connection", func(s *harness) bool { s.caller.openConn(); return len(s.caller.conns) < 4 }, 0, false},
		{'T', "it opens another one, for tests", func(s *harness) bool {
			s.caller.openConn().forHealthChecks = true
			return len(s.caller.conns) < 4
		}, 0, false},
		{'s', "it sends a set-up there", withNewestConn(func(c *fakeConn) { c.caller.harness.sendSetUp(c) }), 0, false},
		{'t', "it sends a test there", func(s *harness) bool {
			return withNewestConn(s.sendPing)(s)
		}, 0, false},
		{'c', "it closes the connection of the call", withCallConn((*fakeConn).close), 0, false},
		{'x', "it closes that one, and its end is on its way", withCallConn((*fakeConn).closeDelayed), 0, false},
		{'h', "it closes its side of that one", withCallConn((*fakeConn).halfClose), 0, false},
		{'r', "it resets that one", withCallConn((*fakeConn).reset), 0, false},
		{'C', "it closes the other connection", withNewestConn((*fakeConn).close), 0, false},
		{'R', "it resets the other connection", withNewestConn((*fakeConn).reset), 0, false},
		{'i', "it says something on the connection of the call", withCallConn(func(c *fakeConn) {
			c.client.send(jsonl.Message{Type: "progress", ID: testCallID})
		}), 0, false},
		{'o', "the end of another call is told there", withServerConn(func(c *Conn) {
			c.NotifyTerminated(otherCallID, call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded})
		}), 0, false},
		{'w', "another set-up is refused there", withServerConn(func(c *Conn) {
			c.End(otherCallID, call.End{Cause: call.CauseCongestion, Reason: call.ReasonRefused})
		}), 0, false},
		{'p', "it stands still", func(s *harness) bool {
			still := s.caller.paused
			s.caller.paused = true
			return !still
		}, 0, false},
		{'f', "it stands still, with its buffers full", func(s *harness) bool {
			full := s.caller.bufferFull
			s.caller.paused, s.caller.bufferFull = true, true
			return !full
		}, 0, false},
		{'u', "what it sends lies unread here", func(s *harness) bool {
			unshown := s.caller.inputHeld
			s.caller.inputHeld = true
			return !unshown
		}, 0, false},
		{'g', "all that was held back goes on", func(s *harness) bool { return s.caller.unblock() }, 0, false},
		{'l', "there is room for one connection", func(s *harness) bool {
			most := s.front.bounds.Connections
			s.front.Limit(1)
			return most != 1
		}, 0, false},
		{'q', "a connection makes room for others", func(s *harness) bool { s.front.Squeeze(); return true }, 0, false},
		{'z', "the controller is evacuated", func(s *harness) bool {
			serving := s.core.Phase() == call.Serving
			s.core.Evacuate()
			return serving
		}, 0, false},
		waitStep('1', 20*time.Millisecond),
		waitStep('2', 150*time.Millisecond),
		waitStep('3', 300*time.Millisecond),
		waitStep('4', 4*time.Second),
		waitStep('6', 6*time.Second),
		waitStep('9', 35*time.Second),
	}
}

// play plays an order of events, and then has everything come to its end. It reports false if one of the events could not be.
func (s *harness) play(order []scenarioStep) bool {
	go s.core.Loop().Run()
	defer func() {
		s.core.Loop().Quit()
		synctest.Wait()
	}()
	s.runOnLoop(func() {
		s.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: testServer, Status: control.Active}, Address: "first"}}})
		s.core.DispatcherReached()
	})
	time.Sleep(time.Second)
	s.runOnLoop(func() { s.callConn = s.caller.openConn() })
	s.runOnLoop(func() { s.sendSetUp(s.callConn) })
	time.Sleep(10 * time.Millisecond)
	if s.established {
		s.runOnLoop(func() { s.dispatchers.answer() })
	}
	for _, e := range append(stepsFor(s.prefix), order...) {
		could := false
		s.runOnLoop(func() {
			if !e.idle {
				s.lastStepAt = time.Now()
			}
			could = e.run(s)
		})
		if !could {
			return false
		}
		s.advance(e.after)
	}
	if s.mustBeRead {
		s.runOnLoop(func() {
			if !s.hasReadEnd() {
				s.violation("its end is not told by then")
			}
		})
	}
	s.settle()
	return true
}

// advance has time pass, and notes how long the caller reads nowhere.
func (s *harness) advance(d time.Duration) {
	if d == 0 {
		return
	}
	time.Sleep(d)
	s.runOnLoop(func() {
		if s.caller.paused || s.caller.inputHeld || len(s.caller.openConns()) == 0 {
			s.unreachableFor += d
		}
	})
}

// settle has what is held back go on, tests be sent where they are to be, and the call end. Then it checks that the end was told: at once where
// the caller has a connection open that it reads, and else on one that it opens.
func (s *harness) settle() {
	s.runOnLoop(func() {
		if s.caller.paused || s.caller.inputHeld {
			s.lastStepAt = time.Now()
		}
		s.caller.unblock()
		for _, c := range s.caller.openConns() {
			if c.awaitsPing() {
				s.sendPing(c)
				s.lastStepAt = time.Now()
			}
		}
	})
	s.advance(2 * closeTransit)
	s.runOnLoop(func() {
		if s.dispatchers.established {
			s.endedAt = time.Now()
			s.dispatchers.endCall()
		}
	})
	s.advance(maxEndDelay + pollInterval)
	s.runOnLoop(func() {
		if s.answerWritten && !s.hasReadEnd() && !s.discarded && s.hasUsableConn() {
			s.violation("its end is not told, with a connection open")
		}
		s.lastStepAt = time.Now()
		s.sendSetUp(s.caller.openConn())
	})
	s.advance(maxEndDelay)
	s.advance(callTimeout)
	s.runOnLoop(s.check)
}

// hasUsableConn reports whether the caller has a connection open for its calls.
func (s *harness) hasUsableConn() bool {
	return slices.ContainsFunc(s.caller.openConns(), func(c *fakeConn) bool { return c.sentSetUp })
}

// hasReadEnd reports whether the caller has read the end of its call where it takes it for that.
func (s *harness) hasReadEnd() bool {
	return slices.ContainsFunc(s.endsRead, endRead.isCallEnd)
}

// check checks that the end of what was established was told, in time, and the final answer, unless it waited for a kernel that took nothing until
// the caller's time was over.
func (s *harness) check() {
	if s.finalAnswers > 1 || s.finalAnswers == 0 && !s.callConn.endedByCaller && !s.callConn.closedLate {
		s.violation("%d final answers", s.finalAnswers)
	}
	if s.unreachableFor >= endTimeout || s.discarded { // nobody counts on it any more, or it was there to be read
		return
	}
	if s.answerWritten && !s.hasReadEnd() {
		s.violation("its end is not told")
	}
	if i := slices.IndexFunc(s.endsRead, endRead.isCallEnd); i >= 0 && s.endsRead[i].delay > maxEndDelay {
		s.violation("its end is told %v late", s.endsRead[i].delay)
	}
	if s.exactlyOnce && len(s.endsRead) != 1 {
		s.violation("its end is told %d times", len(s.endsRead))
	}
}

// initialState is what an order of events begins with.
type initialState struct {
	name        string
	api         bool   // the caller speaks the call-control API
	established bool   // the call is established, and its caller knows
	fewerSteps  int    // events than other orders have
	prefix      string // events that have come by then
	mustBeRead  bool   // the end is to be read as the order is over
	exactlyOnce bool   // no end is to be told twice, nor to a connection for tests
}

// scenarioResult is what came of one order.
type scenarioResult struct {
	possible   bool
	violations []string
}

func (start initialState) play(t *testing.T, order []scenarioStep) (result scenarioResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t, start)
		result.possible = s.play(order)
		result.violations = s.violations
	})
	return result
}

func stepLetters(order []scenarioStep) string {
	var letters strings.Builder
	for _, e := range order {
		letters.WriteByte(e.letter)
	}
	return letters.String()
}

// searchDepth is how many events an order has, CHERRYRELAY_DEPTH by hand.
func searchDepth(t *testing.T) int {
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
	for _, start := range []initialState{{name: "a set-up"}, {name: "an established call", established: true},
		{name: "a spare connection", established: true, prefix: "b2", fewerSteps: 1}, {name: "an established call over the API", established: true, api: true, fewerSteps: 1},
		{name: "a spare connection for tests", established: true, prefix: "T2"},
		{name: "an end that lies unread", established: true, prefix: "pe3"}, {name: "nothing is shown", established: true, prefix: "u"}} {
		t.Run(start.name, func(t *testing.T) {
			t.Parallel()
			for _, first := range allSteps() {
				t.Run(first.name, func(t *testing.T) {
					t.Parallel()
					count := start.extend(t, []scenarioStep{first}, searchDepth(t)-start.fewerSteps)
					t.Logf("%d orders played", count)
				})
			}
		})
	}
}

// extend plays an order and all that go on from it, to a depth, and returns how many could be played.
func (start initialState) extend(t *testing.T, order []scenarioStep, depth int) (played int) {
	t.Helper()
	result := start.play(t, order)
	if !result.possible {
		return 0
	}
	if len(result.violations) > 0 {
		t.Errorf("order %s: %s", stepLetters(order), strings.Join(result.violations, "; "))
	}
	played = 1
	if depth <= 1 {
		return played
	}
	for _, next := range allSteps() {
		played += start.extend(t, append(slices.Clone(order), next), depth-1)
	}
	return played
}

// TestScenariosThatFailedBefore guards against faults that the search found, by the shortest orders that showed them.
func TestScenariosThatFailedBefore(t *testing.T) {
	established := initialState{established: true}
	for name, test := range map[string]struct {
		start initialState
		order string
	}{
		"a caller that stands still resets with the end unread":               {established, "pe3r"},
		"a caller that stands still closes with the end unread":               {established, "pe3c"},
		"a close crosses the end and is shown late":                           {established, "uxe3"},
		"a close behind other words crosses the end and is shown late":        {established, "uice3"},
		"a close crosses the end, and is on its way as nothing is shown more": {established, "xeu3"},
		"an answer has not left as its connection makes room":                 {initialState{}, "faq"},
		"an answer and its end have not left as their connection makes room":  {initialState{}, "fEq"},
		"an answer has not left as a new connection needs room":               {initialState{}, "falb"},
		"an answer and its end have not left as their connection is idle":     {initialState{}, "fE43333"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			order := stepsFor(test.order)
			if result := test.start.play(t, order); !result.possible || len(result.violations) > 0 {
				t.Errorf("order %s, possible: %v: %s", test.order, result.possible, strings.Join(result.violations, "; "))
			}
		})
	}
}

// TestScenariosThatNeedOneMechanism guards each line that sees to an end's being told, or to its being told once, by an order that fails without it.
func TestScenariosThatNeedOneMechanism(t *testing.T) {
	established := initialState{established: true}
	atOnce, once := initialState{established: true, mustBeRead: true}, initialState{established: true, exactlyOnce: true}
	for name, test := range map[string]struct {
		start initialState
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
		"the end comes ahead of the answer, on a closed connection": {initialState{}, "uxE"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			order := stepsFor(test.order)
			if result := test.start.play(t, order); !result.possible || len(result.violations) > 0 {
				t.Errorf("order %s, possible: %v: %s", test.order, result.possible, strings.Join(result.violations, "; "))
			}
		})
	}
}

// stepsFor has the events of the letters.
func stepsFor(letters string) []scenarioStep {
	var order []scenarioStep
	for _, letter := range []byte(letters) {
		for _, e := range allSteps() {
			if e.letter == letter {
				order = append(order, e)
			}
		}
	}
	return order
}
