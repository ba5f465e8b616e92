package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// runDelayPeriod is the interval at which the threads of a process are polled.
const runDelayPeriod = 5 * time.Millisecond

// measureRunDelays records how long the threads of a process wait for a core, by the kernel's counters, until the process ends. Other
// waiting or slowness of the process is not recorded.
func measureRunDelays(pid int) *schedulerMeter {
	m := &schedulerMeter{}
	go func() {
		before := runDelays(pid)
		for len(before) > 0 {
			time.Sleep(runDelayPeriod)
			now, delays := time.Now(), runDelays(pid)
			for thread, delay := range delays {
				if lost := delay - before[thread]; lost > 0 {
					m.add(schedulerDelay{now, lost})
				}
			}
			before = delays
		}
	}()
	return m
}

// runDelays returns how long each thread of a process has waited for a core since its start. The map is empty after the process has ended.
func runDelays(pid int) map[string]time.Duration {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	delays := map[string]time.Duration{}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(text)) // time on a core, time waiting for one, and number of time slices
		if len(fields) < 2 {
			continue
		}
		if waited, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			delays[thread] = time.Duration(waited)
		}
	}
	return delays
}

// startProcess starts a process that is killed when the test ends.
func startProcess(t *testing.T, name string, args ...string) (pid int) {
	t.Helper()
	cmd := exec.Command(name, args...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

// TestAProcessThatKeepsCallersWaitingIsNotExcused guards against a checker that excuses a controller for its own slowness: a process that
// blocks for 600 ms, on a machine of any load, exceeds the 500 ms by which an answer may be late.
func TestAProcessThatKeepsCallersWaitingIsNotExcused(t *testing.T) {
	const blocked = 600 * time.Millisecond
	pid := startProcess(t, "sleep", "60")
	time.Sleep(blocked / 4) // skip the delays of its start
	j := newShutdownChecker()
	j.meter, j.process = &schedulerMeter{}, measureRunDelays(pid)
	begun := time.Now()
	time.Sleep(blocked)
	if end := time.Now(); !j.exceeds(blocked, maxAnswerDelay, begun, end) {
		t.Errorf("the process is excused for %v of %v", j.process.delayBetween(begun, end), blocked)
	}
}

// TestAProcessWithoutACoreIsExcused guards against blaming a controller for times in which the machine gave it no core: with two busy
// processes per core, each waits about half of the time.
func TestAProcessWithoutACoreIsExcused(t *testing.T) {
	const measured = time.Second
	var pid int
	for range 2 * runtime.NumCPU() {
		pid = startProcess(t, "sh", "-c", "while :; do :; done")
	}
	m, begun := measureRunDelays(pid), time.Now()
	time.Sleep(measured)
	if waited := m.delayBetween(begun, time.Now()); waited < measured/10 || waited > 2*measured {
		t.Errorf("the process waited for a core for %v of %v", waited, measured)
	}
}
