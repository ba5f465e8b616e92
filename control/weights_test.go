package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// weightedList is a list with weights, and all in one cell or each in its own.
func weightedList(cells func(int) int, weights ...int) ListReceived {
	l := ListReceived{Whole: true}
	for i, w := range weights {
		e := ServerEntry{ID: ServerID(fmt.Sprint("s", i)), Cell: cells(i), Weight: w}
		if w == 0 {
			e.Status = Draining // as lists have it
		}
		l.Entries = append(l.Entries, e)
	}
	return l
}

func separateCells(i int) int { return i }
func oneCell(int) int         { return 0 }

// callsPerServer plays calls that are answered at once, and tells where they went.
func callsPerServer(t *testing.T, n *node, calls, cell int) map[ServerID]int {
	got := map[ServerID]int{}
	for i := range calls {
		id := CallID(fmt.Sprint("c", n.now, i))
		sent := actionsOf[SetUp](n.after(20*ms, newOffer(id, 0, cell)))
		if len(sent) != 1 {
			t.Fatalf("call %d: %d set-ups", i, len(sent))
		}
		got[sent[0].Server]++
		n.after(10*ms, CallStands{ID: id, Server: sent[0].Server, Elapsed: 10 * ms})
	}
	return got
}

func TestCallsAreSharedByWeight(t *testing.T) {
	const calls = 2000
	for _, test := range []struct {
		name    string
		cells   func(int) int
		first   int
		weights []int
		want    []float64
	}{
		{"even", separateCells, -1, []int{100, 100}, []float64{0.5, 0.5}},
		{"1 to 3", separateCells, -1, []int{1, 3}, []float64{0.25, 0.75}},
		{"0 to 1", separateCells, -1, []int{0, 1}, []float64{0, 1}},
		{"of three", separateCells, -1, []int{1000, 1, 999}, []float64{0.5, 0.0005, 0.4995}},
		{"within the group of first choice", oneCell, 0, []int{1, 4}, []float64{0.2, 0.8}},
		{"a first choice stands", separateCells, 0, []int{1, 1000}, []float64{1, 0}},
		{"a first choice of weight 0 is passed over", separateCells, 0, []int{0, 1, 3}, []float64{0, 0.25, 0.75}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(t, settings())
			n.after(0, weightedList(test.cells, test.weights...))
			got := callsPerServer(t, n, calls, test.first)
			for i, want := range test.want {
				if part := float64(got[ServerID(fmt.Sprint("s", i))]) / calls; math.Abs(part-want) > 0.002 {
					t.Errorf("s%d got %.4f of the calls, want %.4f", i, part, want)
				}
			}
		})
	}
}

// TestAWeightThatChangesKeepsWhatIsKnown: the windows stay, and the shares follow.
func TestAWeightThatChangesKeepsWhatIsKnown(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, weightedList(separateCells, 1, 1))
	callsPerServer(t, n, 200, -1)
	s := n.c.byID["s0"]
	stood, quiet := s.promptAnswers, s.minDelay
	n.after(0, weightedList(separateCells, 0, 1))
	if got := callsPerServer(t, n, 100, -1); got["s0"] > 0 {
		t.Errorf("%d calls at weight 0", got["s0"])
	}
	if s.promptAnswers != stood || s.minDelay != quiet || n.c.byID["s0"] != s {
		t.Error("what was known is lost")
	}
	n.after(0, weightedList(separateCells, 3, 1))
	if got := callsPerServer(t, n, 400, -1); got["s0"] != 300 {
		t.Errorf("%d of 400 calls at 3 to 1", got["s0"])
	}
	if s.cold {
		t.Error("it starts cold")
	}
}

// TestAColdServersPartGoesByItsWeight: the module's own rule, half of what would push it over, of its part by weight.
func TestAColdServersPartGoesByItsWeight(t *testing.T) {
	for _, weight := range []int{1, 10, 100} {
		n := newNode(t, settings())
		n.after(0, weightedList(separateCells, 10, 10))
		callsPerServer(t, n, 400, -1) // some 33 a second
		l := weightedList(separateCells, 10, 10, weight)
		l.Entries[2].StartedAt = n.now
		n.after(0, l)
		s, warm := n.c.byID["s2"], 0.0
		for _, o := range n.c.servers[:2] {
			warm += o.ownRate()
		}
		want := max(warm*float64(weight)/float64(20+weight), n.c.minRate()) * 0.3
		if got := n.c.coldRate(s); math.Abs(got-want) > 0.01*want {
			t.Errorf("weight %d: %.2f a second, want %.2f", weight, got, want)
		}
	}
}

// TestRestsGoByThePartOfAServer: one that gets little rests for longer, as its trial calls are as few.
func TestRestsGoByThePartOfAServer(t *testing.T) {
	n := newNode(t, settings())
	n.after(0, weightedList(separateCells, 1, 9))
	callsPerServer(t, n, 500, -1)
	n.stepFor(10*time.Second, 50*ms)
	small, large := n.c.arrivalShare(n.c.byID["s0"]), n.c.arrivalShare(n.c.byID["s1"])
	if math.Abs(large/small-9) > 0.01 {
		t.Errorf("parts %.2f and %.2f", small, large)
	}
}
