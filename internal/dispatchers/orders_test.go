package dispatchers

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

// orderStart is what an order of events begins with.
type orderStart struct {
	name        string
	second      bool   // there is another dispatcher, which answers by itself
	links       int    // connections to the first one that are open, where it is more than one
	called      bool   // the call is established, and its caller knows
	most        int    // connections to one dispatcher; 0 for MaxConnections
	again       bool   // the first dispatcher answers each attempt of a call after the first one by itself
	keeps       bool   // it never closes its side of a connection that was closed here
	resets      bool   // it resets a connection as it sees that it was closed here
	chats       bool   // it tells its state on each connection, every second
	unconfirmed bool   // it confirms no release
	doubted     bool   // the first one has left another call without an answer for a while, so that an attempt there is withdrawn sooner
	newest      bool   // it tells the end of a call whose connection has closed on its newest one, not on its oldest
	before      string // the events that have happened
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
		result.possible = s.play(slices.Concat(spelledOrder(start.before), order))
		result.faults = s.faults
	})
	return result
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

// TestCallsAndConnectionsInEveryOrder guards against calls that nobody releases, untold ends, and second attempts beside a first: all orders of
// what may happen to a call, its dispatcher, their connections and the list, to a depth, over the real core and pool.
func TestCallsAndConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []orderStart{{name: "one dispatcher"}, {name: "two dispatchers", second: true}, {name: "two connections", links: 2},
		{name: "an established call", called: true}, {name: "one connection at most", called: true, most: 1}} {
		start.search(t, orderEvents())
	}
}

// TestStalledConnectionsInEveryOrder guards against ends that are told on connections that are given up as dead while their dispatcher lives.
func TestStalledConnectionsInEveryOrder(t *testing.T) {
	for _, start := range []orderStart{{name: "an open set-up", links: 2, again: true}, {name: "two dispatchers", links: 2, second: true, again: true},
		{name: "an established call", links: 2, called: true}, {name: "a dead connection", links: 2, called: true, chats: true, before: "io"}} {
		start.search(t, spelledOrder("iouamEedcrhntT"))
	}
}

// TestStandstillsInEveryOrder guards against ends that a dispatcher tells as it goes on after a standstill, on connections that were given up, and
// against ends that are told into connections that it never closes.
func TestStandstillsInEveryOrder(t *testing.T) {
	for _, start := range []orderStart{{name: "an open set-up", links: 2, again: true}, {name: "an established call", links: 2, called: true, chats: true},
		{name: "no connection is closed there", links: 2, called: true, keeps: true, chats: true},
		{name: "connections are reset there", links: 2, called: true, resets: true, chats: true},
		{name: "as many connections as there may be", links: MaxConnections, called: true, chats: true}} {
		start.search(t, spelledOrder("zZAjaedDucmtTqnH"))
	}
}

// TestRenewalsAndReleasesInEveryOrder guards against ends that wait for a connection that does not come up, or went with one that was closed for its
// descriptor, and against releases that cut a later attempt.
func TestRenewalsAndReleasesInEveryOrder(t *testing.T) {
	for _, start := range []orderStart{{name: "an established call", links: 2, called: true, chats: true}, {name: "one connection", called: true, chats: true},
		{name: "no release is confirmed", links: 3, again: true, unconfirmed: true}} {
		start.search(t, spelledOrder("VRBnraefdDmINuctT"))
	}
	orderStart{name: "an end after a silence", called: true, before: "qe"}.search(t, spelledOrder("rsxhntT"))
}

// search plays all orders of the events to a depth.
func (start orderStart) search(t *testing.T, events []orderEvent) {
	t.Helper()
	t.Run(start.name, func(t *testing.T) {
		t.Parallel()
		for _, first := range events {
			t.Run(first.what, func(t *testing.T) {
				t.Parallel()
				count := start.extend(t, events, []orderEvent{first}, orderDepth(t))
				t.Logf("%d orders played", count)
			})
		}
	})
}

// extend plays an order and all that go on from it, to a depth, and returns how many could be played.
func (start orderStart) extend(t *testing.T, events, order []orderEvent, depth int) (played int) {
	t.Helper()
	result := start.play(t, order)
	if !result.possible {
		return 0
	}
	if len(result.faults) > 0 {
		t.Errorf("order %s: %s", start.before+spellOrder(order), strings.Join(result.faults, "; "))
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

// TestOrdersThatHoldAMechanism guards against ends that nobody is told of, where one mechanism alone asks for them.
func TestOrdersThatHoldAMechanism(t *testing.T) {
	chatting := orderStart{called: true, links: 2, chats: true}
	resetting := orderStart{called: true, links: 2, chats: true, resets: true}
	playNamed(t, map[string]namedOrder{
		"link.retire doubts the calls, server.settleDoubts keeps the doubts":     {chatting, "ioqe"},
		"link.ended notes that a dispatcher did not close its side":              {chatting, "ioqqe"},
		"link.end has the ends told again that went with a reset":                {chatting, "er"},
		"server.letGo has the ends told again that went with a reset":            {resetting, "oeq"},
		"server.renewalFailed dials again after a refusal":                       {chatting, "eRr"},
		"link.keepUnconfirmed does not repeat a release over the next attempt":   {orderStart{links: 3, again: true, unconfirmed: true}, "r"},
		"link.Closed has a dispatcher dialled that refuses, as ends may be lost": {orderStart{called: true}, "qers"},
	})
}

// TestOrdersThatHaveFailed guards against faults that the search found, by the shortest orders that showed them.
func TestOrdersThatHaveFailed(t *testing.T) {
	established := orderStart{called: true}
	playNamed(t, map[string]namedOrder{
		"an answer is read after its dispatcher is off the list":               {orderStart{}, "ax"},
		"a dispatcher that listens no more is silent":                          {established, "sT"},
		"a dispatcher that is off the list is silent":                          {established, "xT"},
		"a release crosses the close of its connection":                        {established, "hc"},
		"the release of a late answer crosses the close of its connection":     {orderStart{}, "ach"},
		"a dispatcher off the list has no connection":                          {established, "xr"},
		"a release waits as its dispatcher is off the list":                    {established, "hcx"},
		"a dispatcher returns whose calls were told as cut":                    {orderStart{called: true, most: 1}, "vqw"},
		"an answer goes down with its connection":                              {orderStart{}, "ar"},
		"a late answer goes down with its connection":                          {orderStart{}, "acr"},
		"an answer that comes too late leaves no entry":                        {orderStart{links: 2}, "qrta"},
		"ends are lost with a connection to a dispatcher off the list":         {established, "qerx"},
		"ends are lost with a connection to a dispatcher that listens no more": {established, "qers"},
		"a dispatcher off the list for long loses its connection":              {established, "xqqr"},
		"a probe goes out on a connection that is closing":                     {orderStart{links: 2}, "saTh"},
		"a dispatcher with as many connections as there may be is cut off":     {established, "qTv"},
		"a dispatcher with the one connection that there may be is cut off":    {orderStart{called: true, most: 1}, "v"},
		"a connection is reset that was given up, as its dispatcher sees that": {orderStart{called: true, links: 2, chats: true, resets: true}, "ioqeu"},
		"a connection makes room as the end of a call is on its way there":     {orderStart{called: true, chats: true}, "neV"},
		"a set-up waits on a dead connection on which an end has been told":    {orderStart{called: true, links: 2, chats: true, before: "io"}, "em"},
		"an end on the connection of an earlier attempt, before a close":       {orderStart{links: 2, doubted: true, newest: true, chats: true}, "TadHedd"},
		"an end on the connection of an earlier attempt, before the answer":    {orderStart{links: 2, doubted: true, newest: true, chats: true}, "TaHedd"},
		"an end is repeated where the next attempt has not left yet":           {orderStart{links: 2, doubted: true, newest: true, chats: true}, "TaHed"},
		"an end on a dead connection, of a call that came after its give-up":   {orderStart{called: true, links: 2, chats: true}, "ioqeqmJE"},
		"an attempt comes to nothing whose predecessor is answered late":       {orderStart{links: 2}, "am"},
		"the next attempt overtakes a release of the one before":               {orderStart{links: 3}, "amNIdptu"},
	})
}

// namedOrder is an order of events, by their letters, and what it begins with.
type namedOrder struct {
	start orderStart
	order string
}

// playNamed plays orders, and wants them to be possible and without a fault.
func playNamed(t *testing.T, orders map[string]namedOrder) {
	t.Helper()
	for name, test := range orders {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.start.playWithoutFault(t, spelledOrder(test.order))
		})
	}
}
