package capacity

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b)) }

func TestLeastSquares(t *testing.T) {
	for name, c := range map[string]struct {
		points []point
		want   Line
	}{
		"none":          {nil, Line{}},
		"one":           {[]point{{100, 7}}, Line{0, 7}},
		"the same size": {[]point{{100, 6}, {100, 8}}, Line{0, 7}},
		"a line":        {[]point{{100, 117}, {300, 317}, {3000, 3017}}, Line{1, 17}},
		"off a line":    {[]point{{0, 1}, {0, 3}, {10, 21}, {10, 23}}, Line{2, 2}},
		"uneven values": {[]point{{1, 2}, {2, 2}, {3, 5}}, Line{1.5, 0}},
	} {
		if got := leastSquares(c.points); !approxEqual(got.Slope, c.want.Slope) || !approxEqual(got.Offset, c.want.Offset) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// TestFitRecoversLine checks that samples on a line yield that line in any order, and that equal repetitions have no spread.
func TestFitRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := Line{rapid.Float64Range(-10, 10).Draw(t, "slope"), rapid.Float64Range(-100, 100).Draw(t, "offset")}
		sizes := rapid.SliceOfNDistinct(rapid.IntRange(1, 5000), 2, 6, rapid.ID).Draw(t, "sizes")
		var samples []Sample
		for repetition := range rapid.IntRange(1, 3).Draw(t, "plays") {
			for _, size := range sizes {
				samples = append(samples, Sample{Size: size, Repetition: repetition + 1, Figures: []Figure{{"f", "", line.At(float64(size))}}})
			}
		}
		samples = rapid.Permutation(samples).Draw(t, "order")
		f := fitAll(samples)[0]
		if !approxEqual(f.Slope, line.Slope) || !approxEqual(f.Offset, line.Offset) || !approxEqual(f.Spread.Least, f.Spread.Most) || len(f.AtSizes) != len(sizes) {
			t.Fatalf("%+v, want %+v", f, line)
		}
	})
}

// TestSpreadContainsSlope checks that the slope over all repetitions of the same sizes lies between those of the single repetitions.
func TestSpreadContainsSlope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfNDistinct(rapid.IntRange(1, 5000), 2, 5, rapid.ID).Draw(t, "sizes")
		var samples []Sample
		for repetition := range rapid.IntRange(1, 4).Draw(t, "plays") {
			for _, size := range sizes {
				samples = append(samples, Sample{Size: size, Repetition: repetition, Figures: []Figure{{"f", "", rapid.Float64Range(0, 1000).Draw(t, "value")}}})
			}
		}
		f := fitAll(samples)[0]
		const rounding = 1e-6
		if f.Slope < f.Spread.Least-rounding || f.Slope > f.Spread.Most+rounding {
			t.Fatalf("slope %v outside of %+v", f.Slope, f.Spread)
		}
	})
}

func TestFitSkipsFailedSamples(t *testing.T) {
	samples := []Sample{
		{Size: 10, Repetition: 1, Figures: []Figure{{"a", "MB", 20}}}, {Size: 20, Repetition: 1, Error: "no"},
		{Size: 30, Repetition: 1, Figures: []Figure{{"a", "MB", 60}, {"b", "", 1}}},
	}
	all := fitAll(samples)
	if len(all) != 2 || all[0].Figure != "a" || !approxEqual(all[0].Slope, 2) || all[1].Figure != "b" || all[0].Sizes != (Range{10, 30}) {
		t.Errorf("%+v", all)
	}
}

func TestBudgetCheck(t *testing.T) {
	if err := newBudget(1<<40, 1).check(); err != nil {
		t.Errorf("within: %v", err)
	}
	if err := newBudget(1, 1).check(); !errors.Is(err, errMemory) {
		t.Errorf("memory: %v", err)
	}
	b := newBudget(1<<40, 1)
	b.add(os.Getppid())
	if err := b.check(); !errors.Is(err, errProcesses) {
		t.Errorf("processes: %v", err)
	}
	b.remove(os.Getppid())
	if err := b.check(); err != nil {
		t.Errorf("removed: %v", err)
	}
}

// TestExceededBudgetEndsTheRun checks that an exceeded budget ends any measurement with an error of one line and without samples.
func TestExceededBudgetEndsTheRun(t *testing.T) {
	m := Measurement{Name: "wait", measure: func(ctx context.Context, _ *bench, _ int) ([]Figure, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	samples := 0
	err := runMeasurement(t.Context(), m, options{sizes: []int{1, 2}, repetitions: 1, processes: 8}, func(Sample) { samples++ })
	if !errors.Is(err, errMemory) || strings.Contains(err.Error(), "\n") || samples > 0 {
		t.Errorf("%v, %d samples", err, samples)
	}
}

func TestBadArguments(t *testing.T) {
	for line, want := range map[string]string{
		"nothing":               `unknown measurement "nothing"`,
		"idle-live --plays 0":   "--plays must be at least 1",
		"idle-live --sizes 0,5": "--sizes must be at least 1 each",
		"idle-live --lasting 0": "--lasting must be above 0",
		"":                      "accepts 1 arg(s), received 0",
	} {
		c := Command()
		c.SilenceUsage, c.SilenceErrors = true, true
		c.SetArgs(strings.Fields(line))
		if err := c.ExecuteContext(t.Context()); err == nil || err.Error() != want {
			t.Errorf("%q: %v, want %q", line, err, want)
		}
	}
}

// waitAnswered waits until the given number of calls is answered and fails the test if one was refused.
func (l *load) waitAnswered(t *testing.T, calls int) {
	t.Helper()
	err := waitUntil(t.Context(), time.Minute, time.Millisecond, func() bool { answered, _ := l.counts(); return answered >= calls })
	if answered, refused := l.counts(); err != nil || answered != calls || refused > 0 {
		t.Fatalf("%d answered, %d refused, %d placed: %v", answered, refused, calls, err)
	}
}

// TestRelayedCalls checks that each call over the plain relay is answered and counted once.
func TestRelayedCalls(t *testing.T) {
	l := newLoad(0)
	target, err := startEchoServer(l.recordArrival)
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	ctx, end := context.WithCancel(t.Context())
	read, write := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- relay(ctx, write, target.Addr().String()) }()
	address, err := bufio.NewReader(read).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := l.connect(strings.TrimSpace(address)); err != nil {
		t.Fatal(err)
	}
	defer l.close()
	// The kernel starts to set time stamps shortly after they are enabled.
	const interval = time.Millisecond // one call at 1000 per second
	before := 0
	for until := time.Now().Add(time.Minute); l.forwardTimes.TotalCount() == 0; before++ {
		if _, err := l.placeCalls(ctx, 1000, interval); err != nil || time.Now().After(until) {
			t.Fatalf("no set-up has a time stamp: %v", err)
		}
		l.waitAnswered(t, before+1)
	}
	placed, err := l.placeCalls(ctx, 1000, 50*time.Millisecond)
	if err != nil || placed != 50 {
		t.Fatalf("%d placed: %v", placed, err)
	}
	l.waitAnswered(t, before+placed)
	if got := l.forwardTimes.TotalCount(); got != int64(1+placed) {
		t.Errorf("%d of %d set-ups have a forwarding time", got, 1+placed)
	}
	if oneWay, roundTrip := l.forwardTime("relay")[0].Value, l.latency("relay")[0].Value; oneWay > roundTrip {
		t.Errorf("median %v ms to the target, %v ms for the round trip", oneWay, roundTrip)
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestStreamRate checks that a coordinator with a rate limit does not send an event faster than that.
func TestStreamRate(t *testing.T) {
	c, err := startCoordinator(1000)
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	size, err := c.publish(true, entries(0, refusingAddresses(3)))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /v2/stream HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var text []byte
	chunk := make([]byte, 4096)
	for !bytes.Contains(text, []byte(`"s-00000002"`)) { // the last entry of the list
		n, err := conn.Read(chunk)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, chunk[:n]...)
	}
	const parts = 10 // writes per second; the first is immediate, the last may be partial
	if least := time.Duration(size/(1000/parts)-2) * time.Second / parts; time.Since(start) < least || !bytes.Contains(text, []byte("id: 1\n")) {
		t.Errorf("%d bytes arrived within %v", size, time.Since(start))
	}
}
