package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// skipUnlessSoak skips a test that is too long for every merge, or that checks speed. make soak runs these tests.
func skipUnlessSoak(t *testing.T) {
	t.Helper()
	if os.Getenv("CHERRYRELAY_SOAK") == "" {
		t.Skip("long test: run make soak")
	}
}

// TestSoakAFileRewrittenUnderLoad replaces the file for minutes and checks for every call that a change takes at most half a second.
func TestSoakAFileRewrittenUnderLoad(t *testing.T) {
	skipUnlessSoak(t)
	for _, transport := range []string{"tcp", "ws"} {
		t.Run(transport, func(t *testing.T) { runRewrites(t, transport, 3000, 500*time.Millisecond) })
	}
}

// TestSoakTimeToActivation measures the time from a rename to the activation of the version, as the management address reports it.
func TestSoakTimeToActivation(t *testing.T) {
	skipUnlessSoak(t)
	for _, servers := range []int{2, 1000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			s := newPoolFixture(t, "tcp", 2)
			s.writeLargeSet("start", servers)
			s.serve()
			h := hdrhistogram.New(1, 60_000_000, 3)
			const rounds = 200
			for i := range rounds {
				label := fmt.Sprint("v", i)
				time.Sleep(time.Duration(i%37) * time.Millisecond) // at any phase of the watcher
				start := time.Now()
				s.writeLargeSet(label, servers)
				s.waitActive(label)
				if err := h.RecordValue(time.Since(start).Microseconds()); err != nil {
					t.Fatal(err)
				}
			}
			t.Logf("%d servers, %d renames: active after %.1f ms (median), %.1f ms (99%%), %.1f ms (worst)", servers, rounds,
				float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3, float64(h.Max())/1e3)
			if worst := time.Duration(h.Max()) * time.Microsecond; worst > 500*time.Millisecond {
				t.Errorf("a version was active only after %v", worst)
			}
		})
	}
}
