package dispatchers

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

// initialState is what an order of events begins with.
type initialState struct {
	name                string
	secondDispatcher    bool   // there is another dispatcher, which answers by itself
	conns               int    // connections to the first one that are open, where it is more than one
	established         bool   // the call is established, and its caller knows
	maxConns            int    // connections to one dispatcher; 0 for MaxConnections
	answersRetries      bool   // the first dispatcher answers each attempt of a call after the first one by itself
	neverCloses         bool   // it never closes its side of a connection that was closed here
	resetsOnClose       bool   // it resets a connection as it sees that it was closed here
	reportsPeriodically bool   // it tells its state on each connection, every second
	ignoresReleases     bool   // it confirms no release
	suspect             bool   // the first one has left another call without an answer for a while, so that an attempt there is withdrawn sooner
	endsOnNewest        bool   // it tells the end of a call whose connection has closed on its newest one, not on its oldest
	prefix              string // the events that have happened
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
		result.possible = s.play(slices.Concat(stepsFor(start.prefix), order))
		result.violations = s.violations
	})
	return result
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

// TestCallsAndConnectionsInEveryOrder guards against calls that nobody releases, untold ends, and second attempts beside a first: all orders of
// what may happen to a call, its dispatcher, their connections and the list, to a depth, over the real core and pool.
func TestCallsAndConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "one dispatcher"}, {name: "two dispatchers", secondDispatcher: true}, {name: "two connections", conns: 2},
		{name: "an established call", established: true}, {name: "one connection at most", established: true, maxConns: 1}} {
		start.search(t, baseSteps())
	}
}

// TestStalledConnectionsInEveryOrder guards against ends that are told on connections that are given up as dead while their dispatcher lives.
func TestStalledConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "an open set-up", conns: 2, answersRetries: true}, {name: "two dispatchers", conns: 2, secondDispatcher: true, answersRetries: true},
		{name: "an established call", conns: 2, established: true}, {name: "a dead connection", conns: 2, established: true, reportsPeriodically: true, prefix: "io"}} {
		start.search(t, stepsFor("iouamEedcrhntT"))
	}
}

// TestPausedDispatchersInEveryOrder guards against ends that a dispatcher tells as it goes on after a standstill, on connections that were given up, and
// against ends that are told into connections that it never closes.
func TestPausedDispatchersInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "an open set-up", conns: 2, answersRetries: true}, {name: "an established call", conns: 2, established: true, reportsPeriodically: true},
		{name: "no connection is closed there", conns: 2, established: true, neverCloses: true, reportsPeriodically: true},
		{name: "connections are reset there", conns: 2, established: true, resetsOnClose: true, reportsPeriodically: true},
		{name: "as many connections as there may be", conns: MaxConnections, established: true, reportsPeriodically: true}} {
		start.search(t, stepsFor("zZAjaedDucmtTqnH"))
	}
}

// TestRenewalsAndReleasesInEveryOrder guards against ends that wait for a connection that does not come up, or went with one that was closed for its
// descriptor, and against releases that cut a later attempt.
func TestRenewalsAndReleasesInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "an established call", conns: 2, established: true, reportsPeriodically: true}, {name: "one connection", established: true, reportsPeriodically: true},
		{name: "no release is confirmed", conns: 3, answersRetries: true, ignoresReleases: true}} {
		start.search(t, stepsFor("VRBnraefdDmINuctT"))
	}
	initialState{name: "an end after a silence", established: true, prefix: "qe"}.search(t, stepsFor("rsxhntT"))
}

// search plays all orders of the events to a depth.
func (start initialState) search(t *testing.T, events []scenarioStep) {
	t.Helper()
	t.Run(start.name, func(t *testing.T) {
		t.Parallel()
		for _, first := range events {
			t.Run(first.name, func(t *testing.T) {
				t.Parallel()
				count := start.extend(t, events, []scenarioStep{first}, searchDepth(t))
				t.Logf("%d orders played", count)
			})
		}
	})
}

// extend plays an order and all that go on from it, to a depth, and returns how many could be played.
func (start initialState) extend(t *testing.T, events, order []scenarioStep, depth int) (played int) {
	t.Helper()
	result := start.play(t, order)
	if !result.possible {
		return 0
	}
	if len(result.violations) > 0 {
		t.Errorf("order %s: %s", start.prefix+stepLetters(order), strings.Join(result.violations, "; "))
	}
	played = 1
	if depth == 1 {
		return played
	}
	for _, next := range events {
		played += start.extend(t, events, append(slices.Clone(order), next), depth-1)
	}
	return played
}

// TestScenariosThatNeedOneMechanism guards against ends that nobody is told of, where one mechanism alone asks for them.
func TestScenariosThatNeedOneMechanism(t *testing.T) {
	chatting := initialState{established: true, conns: 2, reportsPeriodically: true}
	resetting := initialState{established: true, conns: 2, reportsPeriodically: true, resetsOnClose: true}
	playScenarios(t, map[string]scenario{
		"link.retire doubts the calls, server.settleDoubts keeps the doubts":     {chatting, "ioqe"},
		"link.ended notes that a dispatcher did not close its side":              {chatting, "ioqqe"},
		"link.end has the ends told again that went with a reset":                {chatting, "er"},
		"server.letGo has the ends told again that went with a reset":            {resetting, "oeq"},
		"server.renewalFailed dials again after a refusal":                       {chatting, "eRr"},
		"link.keepUnconfirmed does not repeat a release over the next attempt":   {initialState{conns: 3, answersRetries: true, ignoresReleases: true}, "r"},
		"link.Closed has a dispatcher dialled that refuses, as ends may be lost": {initialState{established: true}, "qers"},
	})
}

// TestScenariosThatFailedBefore guards against faults that the search found, by the shortest orders that showed them.
func TestScenariosThatFailedBefore(t *testing.T) {
	established := initialState{established: true}
	playScenarios(t, map[string]scenario{
		"an answer is read after its dispatcher is off the list":               {initialState{}, "ax"},
		"a dispatcher that listens no more is silent":                          {established, "sT"},
		"a dispatcher that is off the list is silent":                          {established, "xT"},
		"a release crosses the close of its connection":                        {established, "hc"},
		"the release of a late answer crosses the close of its connection":     {initialState{}, "ach"},
		"a dispatcher off the list has no connection":                          {established, "xr"},
		"a release waits as its dispatcher is off the list":                    {established, "hcx"},
		"a dispatcher returns whose calls were told as cut":                    {initialState{established: true, maxConns: 1}, "vqw"},
		"an answer goes down with its connection":                              {initialState{}, "ar"},
		"a late answer goes down with its connection":                          {initialState{}, "acr"},
		"an answer that comes too late leaves no entry":                        {initialState{conns: 2}, "qrta"},
		"ends are lost with a connection to a dispatcher off the list":         {established, "qerx"},
		"ends are lost with a connection to a dispatcher that listens no more": {established, "qers"},
		"a dispatcher off the list for long loses its connection":              {established, "xqqr"},
		"a probe goes out on a connection that is closing":                     {initialState{conns: 2}, "saTh"},
		"a dispatcher with as many connections as there may be is cut off":     {established, "qTv"},
		"a dispatcher with the one connection that there may be is cut off":    {initialState{established: true, maxConns: 1}, "v"},
		"a connection is reset that was given up, as its dispatcher sees that": {initialState{established: true, conns: 2, reportsPeriodically: true, resetsOnClose: true}, "ioqeu"},
		"a connection makes room as the end of a call is on its way there":     {initialState{established: true, reportsPeriodically: true}, "neV"},
		"a set-up waits on a dead connection on which an end has been told":    {initialState{established: true, conns: 2, reportsPeriodically: true, prefix: "io"}, "em"},
		"an end on the connection of an earlier attempt, before a close":       {initialState{conns: 2, suspect: true, endsOnNewest: true, reportsPeriodically: true}, "TadHedd"},
		"an end on the connection of an earlier attempt, before the answer":    {initialState{conns: 2, suspect: true, endsOnNewest: true, reportsPeriodically: true}, "TaHedd"},
		"an end is repeated where the next attempt has not left yet":           {initialState{conns: 2, suspect: true, endsOnNewest: true, reportsPeriodically: true}, "TaHed"},
		"an end on a dead connection, of a call that came after its give-up":   {initialState{established: true, conns: 2, reportsPeriodically: true}, "ioqeqmJE"},
		"an attempt comes to nothing whose predecessor is answered late":       {initialState{conns: 2}, "am"},
		"the next attempt overtakes a release of the one before":               {initialState{conns: 3}, "amNIdptu"},
	})
}

// scenario is an order of events, by their letters, and what it begins with.
type scenario struct {
	start initialState
	steps string
}

// playScenarios plays orders, and wants them to be possible and without a fault.
func playScenarios(t *testing.T, orders map[string]scenario) {
	t.Helper()
	for name, test := range orders {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.start.playWithoutViolation(t, stepsFor(test.steps))
		})
	}
}
