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
	// testSettings define one class.
	testSettings = `{"caps":{"maxRetryAfterUs":2000000,"mayCancel":true,"retryAfter":true,"sendCap":5},
"familyInfo":{"guardUs":60000,"layout":"skills","thisNode":-1},"membershipMode":"pushed","peersTotal":2,"report":{"fields":["idle"]},
"requestClasses":[{"aimUs":900000,"deadlineUs":9000000,"name":"c","semantics":"read_like","worth":1}],"resolutionUs":5000,
"rules":{"coldUs":1000000,"startCapacity":0.3,"tipMultiple":2}}`
	// callTimeout is how long the caller waits for an answer. It is longer than an idle connection stays open.
	callTimeout = 5500 * time.Millisecond
	// maxEndDelay is the time within which the end of a call must reach its caller after the release by its dispatcher.
	maxEndDelay = time.Second
)

// harness has a core and a front between a fake dispatcher and a fake caller, with one call.
type harness struct {
	initialState
	core        *call.Core
	front       *Front
	listener    *fakeListener
	dispatchers *fakeDispatchers
	caller      *fakeCaller
	callConn    *fakeConn // the connection of the set-up
	otherSetUps int       // number of set-ups sent on other connections
	violations  []string

	answerDeadline time.Time     // time until which the caller waits for an answer
	answerWritten  bool          // an answer was written: the call was established
	endedAt        time.Time     // time of the end at its dispatcher
	lastStepAt     time.Time     // time of the last step that was more than a wait
	unreachableFor time.Duration // time during which the caller had no connection that it reads
	finalAnswers   int           // number of final answers that the caller has read
	endsRead       []endRead     // ends that the caller has read
	// discarded is set if the caller closes a connection without having read what was sent before the controller's close of it.
	// The protocol allows that close, and the controller cannot find out that its output was not read.
	discarded bool
}

// endRead is an end that the caller has read.
type endRead struct {
	conn *fakeConn
	// delay is the time between the end, or the last step if that was later, and the read.
	delay time.Duration
}

// isCallEnd reports whether the caller takes it for the end of its call, and not for the result of a health check.
func (r endRead) isCallEnd() bool { return !r.conn.forHealthChecks }

func (h *harness) violation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// newClient returns the caller's side of a connection.
func (h *harness) newClient(c *fakeConn) clientProtocol {
	if h.api {
		return &apiClient{fakeConn: c, dec: websocket.Decoder{}}
	}
	return &lineClient{fakeConn: c}
}

// recordWrite records what the controller writes.
func (h *harness) recordWrite(text []byte) {
	if strings.Contains(string(text), `"answer"`) && strings.Contains(string(text), testCallID) {
		h.answerWritten = true
	}
}

// received handles a message that the caller has read.
func (h *harness) received(on *fakeConn, m *jsonl.Message) {
	if m.ID != testCallID {
		return
	}
	switch {
	case m.Type == "answer":
		h.finalAnswers++
	case m.Type == "release" && !h.answerWritten:
		h.finalAnswers++
	case m.Type == "release":
		since := h.endedAt
		if h.lastStepAt.After(since) {
			since = h.lastStepAt
		}
		for _, earlier := range h.endsRead {
			if c := earlier.conn; c.isOpen() && !c.forHealthChecks && !c.sentPing {
				h.violation("the end is repeated, although the connection on which it was read is open")
			}
		}
		h.endsRead = append(h.endsRead, endRead{on, time.Since(since)})
	}
}

// sendSetUp sends the set-up of the call, or of another call that is never answered.
func (h *harness) sendSetUp(on *fakeConn) {
	id := testCallID
	if on == h.callConn {
		h.answerDeadline = time.Now().Add(callTimeout)
	} else {
		h.otherSetUps++
		id = fmt.Sprintf("00000000000000d%d", h.otherSetUps)
	}
	on.sentSetUp, on.forHealthChecks = true, false
	description := "x"
	on.client.send(jsonl.Message{Type: "setup", ID: id, SDP: &description, Fields: map[string]jsonl.Value{
		"class": "c", "key": "1", "left": jsonl.Value(strconv.FormatInt(callTimeout.Milliseconds(), 10)),
	}})
}

// sendPing sends a ping.
func (h *harness) sendPing(on *fakeConn) {
	on.forHealthChecks, on.sentPing = !on.sentSetUp, true
	on.client.send(jsonl.Message{Type: "ping", ID: "00000000000000e1", Cause: new(int)})
}

// newHarness returns a harness. It must be called before the loop runs.
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
	h := &harness{initialState: start, core: core, listener: &fakeListener{}, dispatchers: &fakeDispatchers{core: core}}
	h.caller = &fakeCaller{harness: h}
	format := func() Format { return &JSONLines{} }
	if start.api {
		format = func() Format { return NewWebSocket(testPath) }
	}
	h.front = newFront(loop, core, log, format, DefaultBounds(0), NewSetUpRules(set))
	h.front.useListener(h.listener)
	core.SetDispatchers(h.dispatchers)
	core.AddFront(h.front)
	core.OnFlush(h.front.Flush)
	loop.AddIdleCheck(h.front.NoUnreadInput)
	return h
}

// runOnLoop runs a function on the loop, and waits for its immediate effects.
func (h *harness) runOnLoop(f func()) {
	h.core.Loop().Post(f)
	synctest.Wait()
}

// scenarioStep is a step of a scenario. Its run function reports whether the step was possible.
type scenarioStep struct {
	letter byte
	name   string
	run    func(h *harness) bool
	after  time.Duration // time that passes after it
	idle   bool          // nothing but time passes
}

// waitStep returns a step in which nothing happens for a time.
func waitStep(letter byte, d time.Duration) scenarioStep {
	return scenarioStep{letter, "time passes: " + d.String(), func(*harness) bool { return true }, d, true}
}

// withCallConn returns the run function of a step in which the caller acts on the connection of the call.
func withCallConn(f func(*fakeConn)) func(*harness) bool {
	return func(h *harness) bool {
		if h.callConn.callerClosed || h.callConn.halfClosed {
			return false
		}
		f(h.callConn)
		return true
	}
}

// withServerConn returns the run function of a step in which the controller acts on the connection of the call.
func withServerConn(f func(*Conn)) func(*harness) bool {
	return func(h *harness) bool {
		c, ok := h.callConn.handler.(*Conn)
		if !ok || c.closed {
			return false
		}
		f(c)
		return true
	}
}

// withNewestConn returns the run function of a step in which the caller acts on the newest other connection.
func withNewestConn(f func(*fakeConn)) func(*harness) bool {
	return func(h *harness) bool {
		open := h.caller.openConns()
		if len(open) == 0 || open[len(open)-1] == h.callConn {
			return false
		}
		f(open[len(open)-1])
		return true
	}
}

func allSteps() []scenarioStep {
	return []scenarioStep{
		{'a', "the dispatcher answers", func(h *harness) bool { return h.dispatchers.answer() }, 0, false},
		{'e', "it ends the call", func(h *harness) bool { h.endedAt = time.Now(); return h.dispatchers.endCall() }, 0, false},
		{'E', "it ends the call, and answers after that", func(h *harness) bool {
			h.endedAt = time.Now()
			return h.dispatchers.endBeforeAnswer() && h.dispatchers.answer()
		}, 0, false},
		{'b', "the caller opens another connection", func(h *harness) bool { h.caller.openConn(); return len(h.caller.conns) < 4 }, 0, false},
		{'T', "it opens another one, for health checks", func(h *harness) bool {
			h.caller.openConn().forHealthChecks = true
			return len(h.caller.conns) < 4
		}, 0, false},
		{'s', "it sends a set-up there", withNewestConn(func(c *fakeConn) { c.caller.harness.sendSetUp(c) }), 0, false},
		{'t', "it sends a ping there", func(h *harness) bool {
			return withNewestConn(h.sendPing)(h)
		}, 0, false},
		{'c', "it closes the connection of the call", withCallConn((*fakeConn).close), 0, false},
		{'x', "it closes that one, and the close is in transit", withCallConn((*fakeConn).closeDelayed), 0, false},
		{'h', "it half-closes that one", withCallConn((*fakeConn).halfClose), 0, false},
		{'r', "it resets that one", withCallConn((*fakeConn).reset), 0, false},
		{'C', "it closes the other connection", withNewestConn((*fakeConn).close), 0, false},
		{'R', "it resets the other connection", withNewestConn((*fakeConn).reset), 0, false},
		{'i', "it sends a message on the connection of the call", withCallConn(func(c *fakeConn) {
			c.client.send(jsonl.Message{Type: "progress", ID: testCallID})
		}), 0, false},
		{'o', "the end of another call is sent there", withServerConn(func(c *Conn) {
			c.NotifyTerminated(otherCallID, call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded})
		}), 0, false},
		{'w', "another set-up is refused there", withServerConn(func(c *Conn) {
			c.End(otherCallID, call.End{Cause: call.CauseCongestion, Reason: call.ReasonRefused})
		}), 0, false},
		{'p', "the caller is paused", func(h *harness) bool {
			wasPaused := h.caller.paused
			h.caller.paused = true
			return !wasPaused
		}, 0, false},
		{'f', "the caller is paused, with full buffers", func(h *harness) bool {
			wasFull := h.caller.bufferFull
			h.caller.paused, h.caller.bufferFull = true, true
			return !wasFull
		}, 0, false},
		{'u', "its messages stay in the kernel of the controller", func(h *harness) bool {
			wasHeld := h.caller.inputHeld
			h.caller.inputHeld = true
			return !wasHeld
		}, 0, false},
		{'g', "everything is unblocked", func(h *harness) bool { return h.caller.unblock() }, 0, false},
		{'l', "the limit is one connection", func(h *harness) bool {
			limit := h.front.bounds.MaxConnections
			h.front.SetMaxConnections(1)
			return limit != 1
		}, 0, false},
		{'q', "a connection is evicted", func(h *harness) bool { h.front.EvictOne(); return true }, 0, false},
		{'z', "the controller is evacuated", func(h *harness) bool {
			serving := h.core.Phase() == call.Serving
			h.core.Evacuate()
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

// play plays the steps, and then completes the scenario. It returns false if one of the steps was not possible.
func (h *harness) play(steps []scenarioStep) bool {
	go h.core.Loop().Run()
	defer func() {
		h.core.Loop().Quit()
		synctest.Wait()
	}()
	h.runOnLoop(func() {
		h.core.Update(call.Update{Servers: []call.Server{{ServerEntry: control.ServerEntry{ID: testServer, Status: control.Active}, Address: "first"}}})
		h.core.DispatcherReached()
	})
	time.Sleep(time.Second)
	h.runOnLoop(func() { h.callConn = h.caller.openConn() })
	h.runOnLoop(func() { h.sendSetUp(h.callConn) })
	time.Sleep(10 * time.Millisecond)
	if h.established {
		h.runOnLoop(func() { h.dispatchers.answer() })
	}
	for _, step := range append(stepsFor(h.prefix), steps...) {
		possible := false
		h.runOnLoop(func() {
			if !step.idle {
				h.lastStepAt = time.Now()
			}
			possible = step.run(h)
		})
		if !possible {
			return false
		}
		h.advance(step.after)
	}
	if h.mustBeRead {
		h.runOnLoop(func() {
			if !h.hasReadEnd() {
				h.violation("the end is not delivered after the last step")
			}
		})
	}
	h.settle()
	return true
}

// advance lets time pass, and adds it up while the caller reads nowhere.
func (h *harness) advance(d time.Duration) {
	if d == 0 {
		return
	}
	time.Sleep(d)
	h.runOnLoop(func() {
		if h.caller.paused || h.caller.inputHeld || len(h.caller.openConns()) == 0 {
			h.unreachableFor += d
		}
	})
}

// settle unblocks everything, sends the missing pings and ends the call. Then it checks that the end is delivered: at once if the
// caller has an open connection that it reads, otherwise on one that it opens.
func (h *harness) settle() {
	h.runOnLoop(func() {
		if h.caller.paused || h.caller.inputHeld {
			h.lastStepAt = time.Now()
		}
		h.caller.unblock()
		for _, c := range h.caller.openConns() {
			if c.awaitsPing() {
				h.sendPing(c)
				h.lastStepAt = time.Now()
			}
		}
	})
	h.advance(2 * closeTransit)
	h.runOnLoop(func() {
		if h.dispatchers.established {
			h.endedAt = time.Now()
			h.dispatchers.endCall()
		}
	})
	h.advance(maxEndDelay + pollInterval)
	h.runOnLoop(func() {
		if h.answerWritten && !h.hasReadEnd() && !h.discarded && h.hasUsableConn() {
			h.violation("the end is not delivered although a connection is open")
		}
		h.lastStepAt = time.Now()
		h.sendSetUp(h.caller.openConn())
	})
	h.advance(maxEndDelay)
	h.advance(callTimeout)
	h.runOnLoop(h.check)
}

// hasUsableConn reports whether the caller has an open connection for its calls.
func (h *harness) hasUsableConn() bool {
	return slices.ContainsFunc(h.caller.openConns(), func(c *fakeConn) bool { return c.sentSetUp })
}

// hasReadEnd reports whether the caller has read the end of its call as such.
func (h *harness) hasReadEnd() bool {
	return slices.ContainsFunc(h.endsRead, endRead.isCallEnd)
}

// check checks that the end of an established call was delivered in time, and that there was one final answer, unless the
// caller disconnected, or its kernel did not accept the answer before the caller's deadline.
func (h *harness) check() {
	if h.finalAnswers > 1 || h.finalAnswers == 0 && !h.callConn.endedByCaller && !h.callConn.closedLate {
		h.violation("%d final answers", h.finalAnswers)
	}
	if h.unreachableFor >= endTimeout || h.discarded { // the caller no longer expects the end, or did not read it when it could
		return
	}
	if h.answerWritten && !h.hasReadEnd() {
		h.violation("the end is not delivered")
	}
	if i := slices.IndexFunc(h.endsRead, endRead.isCallEnd); i >= 0 && h.endsRead[i].delay > maxEndDelay {
		h.violation("the end is delivered with a delay of %v", h.endsRead[i].delay)
	}
	if h.exactlyOnce && len(h.endsRead) != 1 {
		h.violation("the end is delivered %d times", len(h.endsRead))
	}
}

// initialState is the state in which a scenario begins.
type initialState struct {
	name        string
	api         bool   // the caller uses the call-control API
	established bool   // the call is established, and its caller was notified
	fewerSteps  int    // number of steps fewer than in other scenarios
	prefix      string // letters of the steps that come first
	mustBeRead  bool   // the end must be read when the last step is over
	exactlyOnce bool   // the end must be sent exactly once, and not to a health check
}

// scenarioResult is the result of a scenario.
type scenarioResult struct {
	possible   bool
	violations []string
}

func (start initialState) play(t *testing.T, steps []scenarioStep) (result scenarioResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, start)
		result.possible = h.play(steps)
		result.violations = h.violations
	})
	return result
}

func stepLetters(steps []scenarioStep) string {
	var letters strings.Builder
	for _, step := range steps {
		letters.WriteByte(step.letter)
	}
	return letters.String()
}

// searchDepth returns the number of steps per scenario: 2, or the value of CHERRYRELAY_DEPTH.
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

// TestEndsAndConnectionsInEveryOrder guards against lost ends: it plays all sequences of what may happen to a call, its caller's
// connections and the controller, up to a depth, with the real core and front.
func TestEndsAndConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "a set-up"}, {name: "an established call", established: true},
		{name: "a spare connection", established: true, prefix: "b2", fewerSteps: 1},
		{name: "an established call over the API", established: true, api: true, fewerSteps: 1},
		{name: "a spare connection for health checks", established: true, prefix: "T2"},
		{name: "an unread end", established: true, prefix: "pe3"}, {name: "messages stay in the kernel", established: true, prefix: "u"}} {
		t.Run(start.name, func(t *testing.T) {
			t.Parallel()
			for _, first := range allSteps() {
				t.Run(first.name, func(t *testing.T) {
					t.Parallel()
					count := start.extend(t, []scenarioStep{first}, searchDepth(t)-start.fewerSteps)
					t.Logf("%d scenarios played", count)
				})
			}
		})
	}
}

// extend plays a scenario and all its continuations, up to a depth, and returns how many were possible.
func (start initialState) extend(t *testing.T, steps []scenarioStep, depth int) (played int) {
	t.Helper()
	result := start.play(t, steps)
	if !result.possible {
		return 0
	}
	if len(result.violations) > 0 {
		t.Errorf("scenario %s: %s", stepLetters(steps), strings.Join(result.violations, "; "))
	}
	played = 1
	if depth <= 1 {
		return played
	}
	for _, next := range allSteps() {
		played += start.extend(t, append(slices.Clone(steps), next), depth-1)
	}
	return played
}

// TestScenariosThatFailedBefore guards against faults that the search has found, with the shortest scenarios that show them.
func TestScenariosThatFailedBefore(t *testing.T) {
	established := initialState{established: true}
	for name, test := range map[string]struct {
		start   initialState
		letters string
	}{
		"a paused caller resets with the end unread":                     {established, "pe3r"},
		"a paused caller closes with the end unread":                     {established, "pe3c"},
		"a close crosses the end and is delivered late":                  {established, "uxe3"},
		"a close after a message crosses the end and is delivered late":  {established, "uice3"},
		"a close crosses the end, and is in transit when delivery stops": {established, "xeu3"},
		"an unsent answer as its connection is evicted":                  {initialState{}, "faq"},
		"an unsent answer and its end as their connection is evicted":    {initialState{}, "fEq"},
		"an unsent answer as a new connection exceeds the limit":         {initialState{}, "falb"},
		"an unsent answer and its end as their connection is idle":       {initialState{}, "fE43333"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := stepsFor(test.letters)
			if result := test.start.play(t, steps); !result.possible || len(result.violations) > 0 {
				t.Errorf("scenario %s, possible: %v: %s", test.letters, result.possible, strings.Join(result.violations, "; "))
			}
		})
	}
}

// TestScenariosThatNeedOneMechanism guards each mechanism that delivers an end, or prevents its repetition, with a scenario that
// fails without it.
func TestScenariosThatNeedOneMechanism(t *testing.T) {
	established := initialState{established: true}
	mustBeRead, exactlyOnce := initialState{established: true, mustBeRead: true}, initialState{established: true, exactlyOnce: true}
	for name, test := range map[string]struct {
		start   initialState
		letters string
	}{
		"an unsent end as its connection is closed":                       {established, "feh3"},
		"a close that crosses the end":                                    {established, "xe"},
		"an end sent on a health check that closes":                       {established, "cT2e3C"},
		"an end sent on a connection whose ping comes later":              {established, "cT2et"},
		"an end as its connection has closed, with the close undelivered": {mustBeRead, "bsuce1"},
		"another connection has closed, with the close undelivered":       {mustBeRead, "cbs1bs1uCe1"},
		"an end that waits for a connection":                              {established, "ce6"},
		"a pending end, and a connection without messages":                {mustBeRead, "ceb3"},
		"a pending end, and a set-up on a new connection":                 {mustBeRead, "cebs"},
		"an end as connections are being closed":                          {exactlyOnce, "z333e"},
		"an end before the ping on a new connection":                      {exactlyOnce, "cTe1t"},
		"an undelivered reset as this side closes":                        {established, "pe3urq"},
		"a reset that is found by a write":                                {established, "pe3urw"},
		"an unread end, followed by another one":                          {established, "pe3o3r"},
		"the end comes before the answer, on a closed connection":         {initialState{}, "uxE"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := stepsFor(test.letters)
			if result := test.start.play(t, steps); !result.possible || len(result.violations) > 0 {
				t.Errorf("scenario %s, possible: %v: %s", test.letters, result.possible, strings.Join(result.violations, "; "))
			}
		})
	}
}

// stepsFor returns the steps with these letters.
func stepsFor(letters string) []scenarioStep {
	var steps []scenarioStep
	for _, letter := range []byte(letters) {
		for _, step := range allSteps() {
			if step.letter == letter {
				steps = append(steps, step)
			}
		}
	}
	return steps
}
