package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// These tests need many processes: the combined load on a cold dispatcher, and many simultaneous starts.

// platformFile returns the configuration of a process on the platform, without its name and addresses.
func platformFile(t *testing.T, peers int, coldFor time.Duration, coordinator string, known []map[string]any) []byte {
	t.Helper()
	whole, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(whole, &c); err != nil {
		t.Fatal(err)
	}
	s := c["settings"].(map[string]any)
	s["peersTotal"] = peers
	s["rules"].(map[string]any)["coldUs"] = coldFor.Microseconds()
	c["coordinator"] = coordinator
	c["known"] = map[string]any{"index": 1, "updates": []any{
		map[string]any{"index": 1, "endpoints": map[string]any{"index": 1, "snapshot": true, "endpoints": known}}}}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// endpoint returns the entry of a dispatcher in a list. A zero since means that the dispatcher has not started lately.
func endpoint(name string, group int, address string, since time.Time) map[string]any {
	ms := int64(0)
	if !since.IsZero() {
		ms = since.UnixMilli()
	}
	return map[string]any{"name": name, "address": address, "zone": "z", "group": group, "status": "active", "since_ms": ms}
}

// platformConfig is the name of the configuration file in the directory of a process.
const platformConfig = "config.json"

// newPlatformProcess prepares a process of the program with a platform configuration.
func newPlatformProcess(t *testing.T, text []byte) *process {
	t.Helper()
	p := &process{T: t, directory: t.TempDir(), lines: freeAddress(t), management: freeAddress(t)}
	if err := os.WriteFile(filepath.Join(p.directory, platformConfig), text, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if p.cmd != nil {
			p.kill()
		}
	})
	return p
}

// launchOnPlatform starts the process without waiting until it is ready.
func (p *process) launchOnPlatform() {
	p.Helper()
	p.launchWith(p.platformEnvironment()...)
}

// platformEnvironment returns the environment with the platform configuration and the addresses of the process.
func (p *process) platformEnvironment() []string {
	return []string{"LB_OPERATOR=", "LB_CONFIG=" + filepath.Join(p.directory, platformConfig), "LB_LISTEN=" + p.lines, "LB_MANAGEMENT=" + p.management}
}

// TestThirtyStartAtOnce: thirty processes are killed and start again at once, while the coordinator is down and every core is busy. Nine in
// ten are ready within ten seconds.
func TestThirtyStartAtOnce(t *testing.T) {
	const processes, within = 30, 10 * time.Second
	var known []map[string]any
	for i := range 2 {
		d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Kill)
		known = append(known, endpoint(fmt.Sprint("d", i), i, d.Address(), time.Time{}))
	}
	text := platformFile(t, processes, 15*time.Second, freeAddress(t), known) // no coordinator listens there
	var controllers []*process
	for range processes {
		controllers = append(controllers, newPlatformProcess(t, text))
	}
	busy := make(chan struct{})
	defer close(busy)
	for range runtime.GOMAXPROCS(0) { // load on every core
		go func() {
			for spin := true; spin; {
				select {
				case <-busy:
					spin = false
				default: // keep working
				}
			}
		}()
	}
	for _, p := range controllers {
		p.launchOnPlatform()
	}
	for _, p := range controllers {
		p.waitReady()
	}
	for _, p := range controllers {
		p.kill()
	}
	begin := time.Now()
	took := make([]time.Duration, processes)
	var all sync.WaitGroup
	for i, p := range controllers {
		p.launchOnPlatform()
		all.Go(func() {
			for took[i] = 2 * peer.Timeout; time.Since(begin) < 2*peer.Timeout; time.Sleep(20 * time.Millisecond) {
				if status, _ := httpGet(p.management, "/api/ready"); status == http.StatusOK {
					took[i] = time.Since(begin)
					return
				}
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	t.Logf("ready after %v (first), %v (median), %v (nine in ten), %v (last)", took[0], took[processes/2], took[processes*9/10-1], took[processes-1])
	if took[processes*9/10-1] > within {
		t.Errorf("nine in ten were ready after %v, want %v", took[processes*9/10-1], within)
	}
}

// changeCoordinator is a coordinator that sends one event to all clients once it is announced.
type changeCoordinator struct {
	address string
	event   chan struct{}
	text    string
}

func startChangeCoordinator(t *testing.T) *changeCoordinator {
	a := &changeCoordinator{event: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		flush := http.NewResponseController(w).Flush
		event := a.event
		for {
			select {
			case <-event:
				fmt.Fprint(w, a.text)
				event = nil
			case <-time.After(time.Second):
				fmt.Fprint(w, ": here\n\n")
			case <-r.Context().Done():
				return
			}
			_ = flush()
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	a.address = strings.TrimPrefix(server.URL, "http://")
	return a
}

// announce sends changes to all connected and future clients.
func (a *changeCoordinator) announce(t *testing.T, changes ...map[string]any) {
	t.Helper()
	event, err := json.Marshal(map[string]any{"index": 2, "endpoints": map[string]any{"index": 2, "snapshot": false, "endpoints": changes}})
	if err != nil {
		t.Fatal(err)
	}
	a.text = fmt.Sprintf("id: 2\ndata: %s\n\n", event)
	close(a.event)
}

// recordingDispatcher is a dispatcher that establishes and soon ends every call, and records the time of each set-up.
type recordingDispatcher struct {
	*peer.Dispatcher
	mu    sync.Mutex
	times []time.Time
}

func startRecordingDispatcher(t *testing.T) *recordingDispatcher {
	t.Helper()
	d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:100000;x1:100000")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	c := &recordingDispatcher{Dispatcher: d}
	go func() {
		for range d.Acks { // discarded
		}
	}()
	go func() {
		for e := range d.Events {
			if e.Kind != "setup" {
				continue
			}
			c.mu.Lock()
			c.times = append(c.times, e.At)
			c.mu.Unlock()
			_ = e.Answer("y")
			time.AfterFunc(50*time.Millisecond, func() { _ = e.ReleaseOnConn(e.ID, call.CauseNormal) })
		}
	}()
	return c
}

// TestAColdDispatcherUnderTheSumOfAll: 24 processes with equal load get two cold dispatchers beside two warm ones, and all their calls have
// a cold one as first choice. In no second may all processes together send more to a cold dispatcher than the settings allow at that time,
// plus a statistical margin.
func TestAColdDispatcherUnderTheSumOfAll(t *testing.T) {
	const (
		processes   = 24
		perProcess  = 8.0 // set-ups per second
		coldFor     = 6 * time.Second
		startShare  = 0.28 // as in the file
		tipMultiple = 2.0
		window      = time.Second
	)
	meter := startMeter()
	discovery := startChangeCoordinator(t)
	var known, late []map[string]any
	var dispatchers []*recordingDispatcher
	for i := range 4 {
		dispatchers = append(dispatchers, startRecordingDispatcher(t))
		if i < 2 {
			known = append(known, endpoint(fmt.Sprint("d", i), i, dispatchers[i].Address(), time.Time{}))
		}
	}
	text := platformFile(t, processes, coldFor, discovery.address, known)
	var all []*process
	for range processes {
		p := newPlatformProcess(t, text)
		p.launchOnPlatform()
		all = append(all, p)
	}
	for _, p := range all {
		p.waitReady()
	}
	var first atomic.Int32 // the first choices are this dispatcher and the next one
	stop := make(chan struct{})
	var load sync.WaitGroup
	defer load.Wait()
	defer close(stop)
	for i, p := range all {
		c, err := peer.DialCaller("tcp", p.lines)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		c.Tenant = ""
		go func() {
			for {
				if _, err := c.NextWithin(time.Minute); err != nil {
					return
				}
			}
		}()
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(float64(time.Second) / perProcess)):
				}
				if c.SetUp(id(i<<16+n+1), 8*time.Second, int(first.Load())+n%2, "x") != nil {
					return
				}
			}
		})
	}
	time.Sleep(5 * time.Second) // until each process knows its rate
	since := time.Now()
	for i := 2; i < 4; i++ {
		late = append(late, endpoint(fmt.Sprint("d", i), i, dispatchers[i].Address(), since))
	}
	discovery.announce(t, late...)
	first.Store(2)
	time.Sleep(coldFor)
	warm := processes * perProcess / 4 // the even share of a dispatcher, per second
	for i, d := range dispatchers[2:] {
		d.mu.Lock()
		times := slices.Clone(d.times)
		d.mu.Unlock()
		worst, most := 0.0, 0
		for first, from := range times {
			to := from.Add(window)
			n := 0
			for n < len(times)-first && times[first+n].Before(to) {
				n++
			}
			share := startShare + (1-startShare)*min(1, to.Sub(since).Seconds()/coldFor.Seconds())
			budget := warm * share * tipMultiple * (window + meter.delayBetween(from, to)).Seconds()
			budget += 2*math.Sqrt(budget) + 2
			if float64(n)/budget > worst {
				worst, most = float64(n)/budget, n
			}
		}
		t.Logf("cold dispatcher %d: %d set-ups, at most %d in a window, %.2f of its budget", i, len(times), most, worst)
		if worst > 1 {
			t.Errorf("cold dispatcher %d was sent %d in a window, %.2f times its budget", i, most, worst)
		}
		if len(times) < 10 {
			t.Errorf("cold dispatcher %d was sent %d set-ups: it is nearly idle", i, len(times))
		}
	}
}
