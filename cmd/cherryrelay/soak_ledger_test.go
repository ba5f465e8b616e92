package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ledger"
)

// TestSoakKilledAgainAndAgain is the long run of TestKilledAgainAndAgain.
func TestSoakKilledAgainAndAgain(t *testing.T) {
	skipUnlessSoak(t)
	runKills(t, 300, nil)
}

// TestSoakManyResumeAtOnce is the large run of TestManyResumeAtOnce.
func TestSoakManyResumeAtOnce(t *testing.T) {
	skipUnlessSoak(t)
	resumeMany(t, 10_000)
}

// TestSoakCostOfTheLedger measures the latency and the processor time that the ledger adds to calls.
func TestSoakCostOfTheLedger(t *testing.T) {
	skipUnlessSoak(t)
	const callers, window, lasting = 4, 8, 8 * time.Second
	for _, mode := range []string{"off", "none", "interval", "always"} {
		extra := "sync = " + mode + "\n"
		if mode == "off" {
			extra = "off"
		}
		d := newResumeFixture(t, "ws", extra, 2)
		pid := d.cmd.Process.Pid
		var mu sync.Mutex
		h := hdrhistogram.New(1, 60_000_000, 3)
		before := cpuTime(t, pid)
		start := time.Now()
		var running sync.WaitGroup
		calls := 0
		for n := range callers {
			c := d.connect()
			running.Go(func() {
				next := (n + 1) << 32
				sent := map[string]time.Time{}
				for time.Since(start) < lasting || len(sent) > 0 {
					for len(sent) < window && time.Since(start) < lasting {
						next++
						sent[id(next)] = time.Now()
						d.setUp(c, id(next))
					}
					m, err := c.Next()
					if err != nil {
						t.Error(err)
						return
					}
					if at, ok := sent[m.ID]; ok && m.Type == "answer" {
						mu.Lock()
						_ = h.RecordValue(time.Since(at).Microseconds())
						calls++
						mu.Unlock()
						delete(sent, m.ID)
						if err := c.Release(m.ID, 16); err != nil {
							t.Error(err)
							return
						}
					}
				}
			})
		}
		running.Wait()
		took := time.Since(start)
		used := cpuTime(t, pid) - before
		_, text := httpGet(d.management, "/api/telemetry")
		bytes := 0.0
		for line := range strings.Lines(text) {
			if rest, ok := strings.CutPrefix(line, "edge_lb_ledger_bytes_total "); ok {
				bytes, _ = strconv.ParseFloat(strings.TrimSpace(rest), 64)
			}
		}
		t.Logf("sync %s: %d calls in %v, %.0f per second, %.0f per second of one core; p50 %d us, p99 %d us; %.0f bytes per call", mode, calls, took.Round(time.Millisecond),
			float64(calls)/took.Seconds(), float64(calls)/used.Seconds(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), bytes/float64(calls))
		d.kill()
	}
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndex(string(text), ")")+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// TestSoakTimeToRecover measures a restart with many established and pending calls.
func TestSoakTimeToRecover(t *testing.T) {
	skipUnlessSoak(t)
	for _, calls := range []int{1000, 10_000, 100_000} {
		d := newResumeFixture(t, "ws", "", 2)
		address := d.dispatchers[0].Address()
		d.kill()
		path := filepath.Join(d.directory, "ledger")
		d.must(os.RemoveAll(path))
		disk, err := ledger.OpenDirectory(path)
		d.must(err)
		l := ledger.New(disk, ledger.Options{Name: "n1", CommitTimeout: time.Minute, MaxSize: 1 << 30, SegmentSize: 1 << 30}, nil)
		d.must(l.BeginEpochAndWait(nil, time.Minute))
		now := time.Now().UnixMicro()
		for i := range calls {
			events := []recovery.Event{
				{Kind: recovery.KindAccepted, ID: id(i + 1), AtUs: now, DeadlineUs: now + 60e6, Class: "send-setup", Called: "k", Description: strings.Repeat("x", 100), Token: recovery.HashToken(token(id(i + 1)))},
				{Kind: recovery.KindAttemptSent, ID: id(i + 1), AtUs: now, Server: "s0", Address: address},
			}
			if i%10 > 0 { // one in ten is pending
				events = append(events, recovery.Event{Kind: recovery.KindEstablished, ID: id(i + 1), AtUs: now, Server: "s0", Address: address, Description: "y" + id(i+1)})
			}
			for _, e := range events {
				text, err := e.Encode()
				d.must(err)
				d.must(l.Append(text))
			}
			if i%1000 == 999 {
				d.must(l.Commit())
			}
		}
		size := l.Metrics().Bytes
		d.must(l.Close())
		start := time.Now()
		d.start()
		ready := time.Since(start)
		c := d.connect()
		d.must(c.Send(jsonl.Message{Type: "resume", ID: id(2), Fields: map[string]jsonl.Value{"token": jsonl.Value(token(id(2))), "answered": "0"}}))
		d.expect(c, "answer 2")
		first := time.Since(start)
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
		d.must(err)
		peak := ""
		for line := range strings.Lines(string(status)) {
			if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				peak = strings.TrimSpace(rest)
			}
		}
		_, text := httpGet(d.management, "/api/recovery")
		t.Logf("%d calls, %d bytes: ready after %v, first resumed call answered after %v, peak memory %s; %.120s", calls, size, ready.Round(time.Millisecond), first.Round(time.Millisecond), peak, text)
		d.must(d.cmd.Process.Signal(syscall.SIGKILL))
		<-d.ended
		d.cmd = nil
	}
}
