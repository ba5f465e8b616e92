package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/lists/poolfile"
	"cherryrelay/internal/peer"
)

// TestSoakSubsetIdle measures the cost of a controller without calls and with 3,000 live dispatchers: without [subset], with it, and with
// it and 34,000 more listed dispatchers that drain. The variants alternate.
func TestSoakSubsetIdle(t *testing.T) {
	skipUnlessSoak(t)
	const live, listed, runs, settles, measured = 3000, 37_000, 3, 10 * time.Second, 12 * time.Second
	var members []pool.Member
	for i := range live {
		d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40")
		if err != nil {
			t.Fatal(err)
		}
		defer d.Kill()
		members = append(members, pool.Member{Address: d.Address(), ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprint("s", i)), Cell: i, Weight: 1, StartedAt: startedLongAgo}})
	}
	for i := live; i < listed; i++ {
		members = append(members, pool.Member{Address: fmt.Sprintf("127.1.%d.%d:1", i>>8, i&255), ServerEntry: control.ServerEntry{
			ID: control.ServerID(fmt.Sprint("s", i)), Cell: i, Weight: 1, StartedAt: startedLongAgo, Status: control.Draining}})
	}
	for run := range runs {
		for _, variant := range []struct {
			extra  string
			listed int
		}{{"", live}, {"[subset]\n", live}, {"[subset]\n", listed}} {
			p := newProcess(t, variant.extra)
			if err := os.WriteFile(filepath.Join(p.directory, "pool.ini"), poolfile.Encode("v", members[:variant.listed]), 0o600); err != nil {
				t.Fatal(err)
			}
			from := time.Now()
			p.start()
			ready := time.Since(from)
			time.Sleep(settles)
			pid := p.cmd.Process.Pid
			started, begun := processorTime(t, pid), time.Now()
			time.Sleep(measured)
			share := float64(processorTime(t, pid)-started) / float64(time.Since(begun)) * 100
			links, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if err != nil {
				t.Fatal(err)
			}
			on := variant.extra != ""
			t.Logf("run %d, %d listed, [subset] %v: %.2f%% of a core idle, %d descriptors, %.1f MB resident, ready after %.2f s and %.2f s of processor time in all",
				run+1, variant.listed, on, share, len(links), residentMB(t, pid), ready.Seconds(), started.Seconds())
			if on && share > 1.1 {
				t.Errorf("%.2f%% of a core without calls, at most 1.1%% are allowed", share)
			}
			p.kill()
		}
	}
}

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, field := range fields[11:13] { // utime and stime, in hundredths of a second
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// residentMB returns the resident memory of a process in MB.
func residentMB(t *testing.T, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); fields[0] == "VmRSS:" {
			if n, err := strconv.ParseFloat(fields[1], 64); err == nil {
				return n / 1024
			}
		}
	}
	t.Fatal("the process status has no VmRSS")
	return 0
}
