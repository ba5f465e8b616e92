package scale

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestActivationTimes checks that a controller with a change counts as having all earlier ones, that the contents of a first list are not timed, and
// that a log line with only a status stands for the last change to that status.
func TestActivationTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var issued []issuedChange
	for number := 1; number <= 3; number++ {
		issued = append(issued, issuedChange{Change, allServices, number, at(100 * number), OrdinaryPhase})
	}
	applyAt := func(controller string, number, ms int, first bool) AppliedChange {
		return AppliedChange{Controller: controller, Kind: Change, Scope: allServices, Number: number, AtNs: at(ms).UnixNano(), First: first}
	}
	applied := []AppliedChange{
		applyAt("c1", 0, 10, true), applyAt("c1", 1, 101, false), applyAt("c1", 3, 310, false), applyAt("c1", 3, 400, false),
		applyAt("c2", 2, 250, true), applyAt("c2", 3, 305, false),
		applyAt("real-1", -1-int(markerStatus(1)), 120, false), applyAt("real-1", -1-int(markerStatus(2)), 220, false),
	}
	histograms := activationTimes(issued, applied, func(name string) string {
		if strings.HasPrefix(name, RealKind) {
			return RealKind
		}
		return HollowKind
	})
	hollow := stalenessOf(histograms[stalenessKey{OrdinaryPhase, HollowKind, Change}])
	if hollow.Count != 4 || hollow.P50 < 4 || hollow.P50 > 11 || hollow.Max < 109 || hollow.Max > 111 {
		t.Errorf("hollow: %+v, want the staleness of 1, 110, 10 and 5 ms", hollow)
	}
	if real := stalenessOf(histograms[stalenessKey{OrdinaryPhase, RealKind, Change}]); real.Count != 2 || real.Max < 19 || real.Max > 21 {
		t.Errorf("real: %+v, want the staleness of 20 and 20 ms", real)
	}
}

// TestLimits checks that a run beyond the limits on processes or descriptors is rejected before it starts, and that the error for too much memory
// is a single line with the amount.
func TestLimits(t *testing.T) {
	if err := checkMemoryLimit(MaxMemoryBytes); err != nil {
		t.Error(err)
	}
	if err := checkMemoryLimit(MaxMemoryBytes + 1<<20); err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), "12289 MB") {
		t.Errorf("too much memory: %v", err)
	}
	s := DefaultScenario()
	s.ControllersPerProcess, s.Controllers = 1, MaxProcesses
	if err := s.checkLimits(); err == nil || !strings.Contains(err.Error(), "processes, 200 are allowed") {
		t.Errorf("too many processes: error %v", err)
	}
	s = DefaultScenario()
	s.Controllers, s.ControllersPerProcess, s.Dispatchers = maxControllers, 5000, 1
	if err := s.checkLimits(); err == nil || !strings.Contains(err.Error(), "descriptors") {
		t.Errorf("too many descriptors: error %v", err)
	}
}

// TestUsage reads the usage of this process, and parses a stat line whose process name contains spaces and parentheses.
func TestUsage(t *testing.T) {
	u, err := readUsage(os.Getpid(), true)
	if err != nil || u.Memory < 1<<20 {
		t.Errorf("usage of this process: %+v, error %v", u, err)
	}
	line := "7 (a ) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1 0 99 4096 25 0"
	processor, memory, err := parseStat(line)
	if err != nil || processor != 2*time.Second || memory != 25*int64(os.Getpagesize()) {
		t.Errorf("parseStat: %v, %d, error %v", processor, memory, err)
	}
	if _, _, err := parseStat("7 (a) S 1"); err == nil {
		t.Error("parseStat accepted a line that is too short")
	}
}
