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

// runDelayPeriod is the pause between two looks at the threads of a process.
const runDelayPeriod = 5 * time.Millisecond

// measureRunDelays records how long threads of a process wait for a core, as the kernel counts it, until the process ends. Whatever else a process
// waits for, or does for too long, is its own.
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

// runDelays is how long each thread of a process has waited for a core since it began; empty once the process has ended.
func runDelays(pid int) map[string]time.Duration {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	delays := map[string]time.Duration{}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // it has ended
		}
		fields := strings.Fields(string(text)) // time on a core, time waited for one, and how often it had one
		if len(fields) < 2 {
			continue
		}
		if waited, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			delays[thread] = time.Duration(waited)
		}
	}
	return delays
}

// startProcess starts a process that is killed at the end of the test.
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

// TestAProcessThatKeepsCallersWaitingIsNotExcused guards against a soak whose judge excuses a controller that is late by itself: a process that
// stands still for 600 ms, on a machine of any load, is held to the 500 ms in which a late answer may come.
func TestAProcessThatKeepsCallersWaitingIsNotExcused(t *testing.T) {
	const blocked = 600 * time.Millisecond
	pid := startProcess(t, "sleep", "60")
	time.Sleep(blocked / 4) // its start is not in question
	j := newShutdownChecker()
	j.meter, j.process = &schedulerMeter{}, measureRunDelays(pid)
	begun := time.Now()
	time.Sleep(blocked)
	if end := time.Now(); !j.exceeds(blocked, maxAnswerDelay, begun, end) {
		t.Errorf("excused for %v of %v", j.process.delayBetween(begun, end), blocked)
	}
}

// TestAProcessWithoutACoreIsExcused guards against a controller that is held to times in which the machine gave it no core: of two busy processes
// for each core, one has to wait for about half of the time.
func TestAProcessWithoutACoreIsExcused(t *testing.T) {
	const measured = time.Second
	var pid int
	for range 2 * runtime.NumCPU() {
		pid = startProcess(t, "sh", "-c", "while :; do :; done")
	}
	m, begun := measureRunDelays(pid), time.Now()
	time.Sleep(measured)
	if waited := m.delayBetween(begun, time.Now()); waited < measured/10 || waited > 2*measured {
		t.Errorf("it waited for a core for %v of %v", waited, measured)
	}
}
