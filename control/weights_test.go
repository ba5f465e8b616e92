package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// weightedList returns a list of servers with the given weights, in the cells that the function cells returns.
func weightedList(cells func(int) int, weights ...int) ListReceived {
	l := ListReceived{Whole: true}
	for i, w := range weights {
		e := ServerEntry{ID: ServerID(fmt.Sprint("s", i)), Cell: cells(i), Weight: w}
		if w == 0 {
			e.Status = Draining // as server lists report a weight of 0
		}
		l.Entries = append(l.Entries, e)
	}
	return l
}

// separateCells puts each server into a cell of its own.
func separateCells(i int) int { return i }

// oneCell puts all servers into one cell.
func oneCell(int) int { return 0 }

// callsPerServer offers calls that are answered at once, and returns how many each server got.
func callsPerServer(t *testing.T, n *node, calls, cell int) map[ServerID]int {
	got := map[ServerID]int{}
	for i := range calls {
		id := CallID(fmt.Sprint("c", n.now, i))
		sent := actionsOf[SetUp](n.step(20*ms, newOffer(id, 0, cell)))
		if len(sent) != 1 {
			t.Fatalf("call %d: %d set-ups, want 1", i, len(sent))
		}
		got[sent[0].Server]++
		n.step(10*ms, CallStands{ID: id, Server: sent[0].Server, Elapsed: 10 * ms})
	}
	return got
}

func TestCallsAreSharedByWeight(t *testing.T) {
	const calls = 2000
	for _, tt := range []struct {
		name    string
		cells   func(int) int
		first   int // cell of first choice; -1 for none
		weights []int
		want    []float64
	}{
		{"even", separateCells, -1, []int{100, 100}, []float64{0.5, 0.5}},
		{"1 to 3", separateCells, -1, []int{1, 3}, []float64{0.25, 0.75}},
		{"0 to 1", separateCells, -1, []int{0, 1}, []float64{0, 1}},
		{"of three", separateCells, -1, []int{1000, 1, 999}, []float64{0.5, 0.0005, 0.4995}},
		{"within the group of first choice", oneCell, 0, []int{1, 4}, []float64{0.2, 0.8}},
		{"first choice regardless of weight", separateCells, 0, []int{1, 1000}, []float64{1, 0}},
		{"first choice of weight 0 gets no calls", separateCells, 0, []int{0, 1, 3}, []float64{0, 0.25, 0.75}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(t, settings())
			n.step(0, weightedList(tt.cells, tt.weights...))
			got := callsPerServer(t, n, calls, tt.first)
			for i, want := range tt.want {
				if share := float64(got[ServerID(fmt.Sprint("s", i))]) / calls; math.Abs(share-want) > 0.002 {
					t.Errorf("s%d got %.4f of the calls, want %.4f", i, share, want)
				}
			}
		})
	}
}

// TestWeightChangeKeepsServerState checks that a changed weight changes the shares but not the state of a server.
func TestWeightChangeKeepsServerState(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, weightedList(separateCells, 1, 1))
	callsPerServer(t, n, 200, -1)
	s := n.c.byID["s0"]
	promptAnswers, minDelay := s.promptAnswers, s.minDelay
	n.step(0, weightedList(separateCells, 0, 1))
	if got := callsPerServer(t, n, 100, -1); got["s0"] > 0 {
		t.Errorf("%d calls at weight 0, want none", got["s0"])
	}
	if s.promptAnswers != promptAnswers || s.minDelay != minDelay || n.c.byID["s0"] != s {
		t.Error("the change of the weight lost the state of the server")
	}
	n.step(0, weightedList(separateCells, 3, 1))
	if got := callsPerServer(t, n, 400, -1); got["s0"] != 300 {
		t.Errorf("%d of 400 calls at weights 3 to 1, want 300", got["s0"])
	}
	if s.cold {
		t.Error("the server is cold after the change of its weight")
	}
}

// TestColdRateFollowsTheWeight checks that a cold server starts with the cold capacity of its share by weight.
func TestColdRateFollowsTheWeight(t *testing.T) {
	for _, weight := range []int{1, 10, 100} {
		n := newNode(t, settings())
		n.step(0, weightedList(separateCells, 10, 10))
		callsPerServer(t, n, 400, -1) // about 33 per second
		l := weightedList(separateCells, 10, 10, weight)
		l.Entries[2].StartedAt = n.now
		n.step(0, l)
		s, warm := n.c.byID["s2"], 0.0
		for _, o := range n.c.servers[:2] {
			warm += o.ownRate()
		}
		want := max(warm*float64(weight)/float64(20+weight), n.c.minRate()) * 0.3
		if got := n.c.coldRate(s); math.Abs(got-want) > 0.01*want {
			t.Errorf("weight %d: cold rate %.2f per second, want %.2f", weight, got, want)
		}
	}
}

// TestArrivalShareFollowsTheWeight checks that the share of arrivals, which limits how far a window shrinks, follows the weight.
func TestArrivalShareFollowsTheWeight(t *testing.T) {
	n := newNode(t, settings())
	n.step(0, weightedList(separateCells, 1, 9))
	callsPerServer(t, n, 500, -1)
	n.stepFor(10*time.Second, 50*ms)
	small, large := n.c.arrivalShare(n.c.byID["s0"]), n.c.arrivalShare(n.c.byID["s1"])
	if math.Abs(large/small-9) > 0.01 {
		t.Errorf("arrival shares %.2f and %.2f, want a ratio of 9", small, large)
	}
}
