package dispatchers

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

// initialState is the state in which a scenario begins.
type initialState struct {
	name                string
	secondDispatcher    bool   // there is another dispatcher, which answers all set-ups
	conns               int    // number of open connections to the first one, if it is more than one
	established         bool   // the call is established, and its caller was notified
	maxConns            int    // maximum number of connections per dispatcher; 0 for MaxConnections
	answersRetries      bool   // the first dispatcher answers every attempt of a call after the first one
	neverCloses         bool   // it never closes its side of a connection that was closed here
	resetsOnClose       bool   // it resets a connection when it notices that it was closed here
	reportsPeriodically bool   // it sends a report on each connection, every second
	ignoresReleases     bool   // it confirms no release
	suspect             bool   // the first one has left another call without an answer for a while, so that an attempt there is cancelled sooner
	endsOnNewest        bool   // it sends the end of a call whose connection has closed on its newest connection, not on its oldest
	prefix              string // letters of the steps that come first
}

// scenarioResult is the result of a scenario.
type scenarioResult struct {
	possible   bool
	violations []string
}

// play plays the steps after those of the prefix.
func (start initialState) play(t *testing.T, steps []scenarioStep) (result scenarioResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, start)
		result.possible = h.play(slices.Concat(stepsFor(start.prefix), steps))
		result.violations = h.violations
	})
	return result
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

// TestCallsAndConnectionsInEveryOrder guards against calls that nobody releases, lost ends, and two attempts at the same time: it plays
// all sequences of what may happen to a call, its dispatcher, their connections and the list, up to a depth, with the real core and pool.
func TestCallsAndConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "one dispatcher"}, {name: "two dispatchers", secondDispatcher: true},
		{name: "two connections", conns: 2},
		{name: "an established call", established: true}, {name: "one connection at most", established: true, maxConns: 1}} {
		start.search(t, baseSteps())
	}
}

// TestStalledConnectionsInEveryOrder guards against ends lost on connections that are abandoned as unresponsive while their dispatcher
// works.
func TestStalledConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "an open set-up", conns: 2, answersRetries: true},
		{name: "two dispatchers", conns: 2, secondDispatcher: true, answersRetries: true},
		{name: "an established call", conns: 2, established: true},
		{name: "an unresponsive connection", conns: 2, established: true, reportsPeriodically: true, prefix: "io"}} {
		start.search(t, stepsFor("iouamEedcrhntT"))
	}
}

// TestPausedDispatchersInEveryOrder guards against ends lost on abandoned connections on which a dispatcher sends them when it continues
// after a pause, and against ends lost on connections that a dispatcher never closes.
func TestPausedDispatchersInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "an open set-up", conns: 2, answersRetries: true},
		{name: "an established call", conns: 2, established: true, reportsPeriodically: true},
		{name: "no connection is closed there", conns: 2, established: true, neverCloses: true, reportsPeriodically: true},
		{name: "connections are reset there", conns: 2, established: true, resetsOnClose: true, reportsPeriodically: true},
		{name: "as many connections as there may be", conns: MaxConnections, established: true, reportsPeriodically: true}} {
		start.search(t, stepsFor("zZAjaedDucmtTqnH"))
	}
}

// TestRenewalsAndReleasesInEveryOrder guards against ends that wait for a connection which does not open, or that are lost with an
// evicted one, and against releases that end a later attempt.
func TestRenewalsAndReleasesInEveryOrder(t *testing.T) {
	for _, start := range []initialState{{name: "an established call", conns: 2, established: true, reportsPeriodically: true},
		{name: "one connection", established: true, reportsPeriodically: true},
		{name: "no release is confirmed", conns: 3, answersRetries: true, ignoresReleases: true}} {
		start.search(t, stepsFor("VRBnraefdDmINuctT"))
	}
	initialState{name: "an end after a time without input", established: true, prefix: "qe"}.search(t, stepsFor("rsxhntT"))
}

// search plays all sequences of the steps up to the search depth.
func (start initialState) search(t *testing.T, candidates []scenarioStep) {
	t.Helper()
	t.Run(start.name, func(t *testing.T) {
		t.Parallel()
		for _, first := range candidates {
			t.Run(first.name, func(t *testing.T) {
				t.Parallel()
				count := start.extend(t, candidates, []scenarioStep{first}, searchDepth(t))
				t.Logf("%d scenarios played", count)
			})
		}
	})
}

// extend plays a sequence of steps and all its extensions up to a depth, and returns how many were possible.
func (start initialState) extend(t *testing.T, candidates, steps []scenarioStep, depth int) (played int) {
	t.Helper()
	result := start.play(t, steps)
	if !result.possible {
		return 0
	}
	if len(result.violations) > 0 {
		t.Errorf("steps %s: %s", start.prefix+stepLetters(steps), strings.Join(result.violations, "; "))
	}
	played = 1
	if depth == 1 {
		return played
	}
	for _, next := range candidates {
		played += start.extend(t, candidates, append(slices.Clone(steps), next), depth-1)
	}
	return played
}

// TestScenariosThatNeedOneMechanism guards against lost ends where only one mechanism requests them again.
func TestScenariosThatNeedOneMechanism(t *testing.T) {
	reporting := initialState{established: true, conns: 2, reportsPeriodically: true}
	resetting := initialState{established: true, conns: 2, reportsPeriodically: true, resetsOnClose: true}
	playScenarios(t, map[string]scenario{
		"connection.abandon and server.requestRepeats request new connections":  {reporting, "ioqe"},
		"connection.finishClose notes that a dispatcher did not close its side": {reporting, "ioqqe"},
		"connection.Closed has the ends repeated that were lost with a reset":   {reporting, "er"},
		"server.closeIdle has the ends repeated that were lost with a reset":    {resetting, "oeq"},
		"server.renewalFailed dials again after a refusal":                      {reporting, "eRr"},
		"connection.requeueUnconfirmed does not repeat a release over the next attempt": {initialState{conns: 3, answersRetries: true,
			ignoresReleases: true}, "r"},
		"connection.Closed has a refusing dispatcher dialled, as ends may be lost": {initialState{established: true}, "qers"},
	})
}

// TestScenariosThatFailedBefore guards against faults that the search has found, by the shortest scenarios that showed them.
func TestScenariosThatFailedBefore(t *testing.T) {
	established := initialState{established: true}
	playScenarios(t, map[string]scenario{
		"an answer is read after its dispatcher is off the list":                     {initialState{}, "ax"},
		"a dispatcher that has stopped listening sends nothing":                      {established, "sT"},
		"a dispatcher that is off the list sends nothing":                            {established, "xT"},
		"a release crosses the close of its connection":                              {established, "hc"},
		"the release of a late answer crosses the close of its connection":           {initialState{}, "ach"},
		"a dispatcher off the list has no connection":                                {established, "xr"},
		"a release waits as its dispatcher is off the list":                          {established, "hcx"},
		"a dispatcher returns whose calls were reported as ended":                    {initialState{established: true, maxConns: 1}, "vqw"},
		"an answer is lost with its connection":                                      {initialState{}, "ar"},
		"a late answer is lost with its connection":                                  {initialState{}, "acr"},
		"an answer that comes too late leaves no entry":                              {initialState{conns: 2}, "qrta"},
		"ends are lost with a connection to a dispatcher off the list":               {established, "qerx"},
		"ends are lost with a connection to a dispatcher that has stopped listening": {established, "qers"},
		"a dispatcher off the list for long loses its connection":                    {established, "xqqr"},
		"a probe goes out on a connection that is closing":                           {initialState{conns: 2}, "saTh"},
		"a dispatcher with as many connections as there may be is cut off":           {established, "qTv"},
		"a dispatcher with the one connection that there may be is cut off":          {initialState{established: true, maxConns: 1}, "v"},
		"a dispatcher resets an abandoned connection when it notices the close": {initialState{established: true, conns: 2,
			reportsPeriodically: true, resetsOnClose: true}, "ioqeu"},
		"a connection is evicted while the end of a call is in transit there": {initialState{established: true, reportsPeriodically: true}, "neV"},
		"a set-up waits on an unresponsive connection on which an end was sent": {initialState{established: true, conns: 2,
			reportsPeriodically: true, prefix: "io"}, "em"},
		"an end on the connection of an earlier attempt, before a close": {initialState{conns: 2, suspect: true, endsOnNewest: true,
			reportsPeriodically: true}, "TadHedd"},
		"an end on the connection of an earlier attempt, before the answer": {initialState{conns: 2, suspect: true, endsOnNewest: true,
			reportsPeriodically: true}, "TaHedd"},
		"an end is repeated where the next attempt was not sent yet": {initialState{conns: 2, suspect: true, endsOnNewest: true,
			reportsPeriodically: true}, "TaHed"},
		"an end on an unresponsive connection, of a call placed after it was abandoned": {initialState{established: true, conns: 2,
			reportsPeriodically: true}, "ioqeqmJE"},
		"an attempt fails whose predecessor is answered late":    {initialState{conns: 2}, "am"},
		"the next attempt overtakes a release of the one before": {initialState{conns: 3}, "amNIdptu"},
	})
}

// scenario is an initial state and the letters of the steps.
type scenario struct {
	start initialState
	steps string
}

// playScenarios plays scenarios, and requires them to be possible and without a violation.
func playScenarios(t *testing.T, scenarios map[string]scenario) {
	t.Helper()
	for name, test := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.start.playWithoutViolation(t, stepsFor(test.steps))
		})
	}
}
