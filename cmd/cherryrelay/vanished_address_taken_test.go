package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"cherryrelay/internal/fault"
	"cherryrelay/internal/peer"
)

const (
	// unreportedEndTimeout is the time within which callers must be told of the end of a call whose dispatcher can't report it.
	unreportedEndTimeout = 8 * time.Second
	// dialTimeoutAtDispatchers is longer than the time after which the kernel repeats the first packet of a connection.
	dialTimeoutAtDispatchers = 1200 * time.Millisecond
	// stateInterval is the interval at which the dispatchers send their state.
	stateInterval = 200 * time.Millisecond
	// callsAtVanished is the number of calls at the dispatcher that vanishes.
	callsAtVanished = 6
)

// vanishRun is one controller with the dispatcher "old" behind a link that can vanish.
type vanishRun struct {
	*testing.T
	*process
	net       *fault.Net
	list      *eventServer
	old, next *peer.Dispatcher
	address   string // of the link
	caller    *peer.Caller

	mu      sync.Mutex
	endedAt map[string]time.Time // ends that the caller was told of
}

func newVanishRun(t *testing.T) *vanishRun {
	t.Helper()
	r := &vanishRun{T: t, net: fault.New(1), list: newEventServer(t), endedAt: map[string]time.Time{}}
	t.Cleanup(r.net.Close)
	r.old, r.next = r.startDispatcher(), r.startDispatcher()
	var err error
	if r.address, err = r.net.AddLink("c", "old", r.old.Address()); err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	known := []map[string]any{endpoint("old", 0, r.address, time.Time{})}
	if err := json.Unmarshal(platformFile(t, 1, 2*time.Second, r.list.address, known), &config); err != nil {
		t.Fatal(err)
	}
	settings := config["settings"].(map[string]any)
	settings["tenants"] = []any{map[string]any{"name": "acme"}}
	settings["caps"].(map[string]any)["connectTimeoutUs"] = dialTimeoutAtDispatchers.Microseconds()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	r.process = newPlatformProcess(t, text)
	r.launchOnPlatform()
	r.waitReady()
	if r.caller, err = peer.DialCaller("tcp", r.lines); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.caller.Close() })
	return r
}

// startDispatcher starts a dispatcher that sends its state at intervals.
func (r *vanishRun) startDispatcher() *peer.Dispatcher {
	r.Helper()
	d, err := peer.StartDispatcher("tcp", "127.0.0.1:0", "x0:40;x1:40")
	if err != nil {
		r.Fatal(err)
	}
	stop := make(chan struct{})
	r.Cleanup(func() { close(stop); d.Kill() })
	go func() {
		for range d.Acks { // unused, but the channel must not fill up
		}
	}()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(stateInterval):
				_ = d.SetReport("x0:40;x1:40")
			}
		}
	}()
	return d
}

// establish sets up the calls at the dispatcher that will vanish.
func (r *vanishRun) establish() {
	r.Helper()
	go serveCalls(r.old)
	go serveCalls(r.next)
	for n := range callsAtVanished {
		if err := r.caller.SetUp(id(n+1), maxTimeLeft, 0, "x"); err != nil {
			r.Fatal(err)
		}
		if m, err := r.caller.Next(); err != nil || m.Type != "answer" {
			r.Fatalf("%+v, %v; want an answer", m, err)
		}
	}
	go r.readEnds()
}

// readEnds records the ends that the caller is told of.
func (r *vanishRun) readEnds() {
	for {
		m, err := r.caller.NextWithin(longTimeout)
		if err != nil {
			return
		}
		if m.Type == "release" {
			r.mu.Lock()
			r.endedAt[m.ID] = time.Now()
			r.mu.Unlock()
		}
	}
}

// serveCalls answers all set-ups and probes at a dispatcher.
func serveCalls(d *peer.Dispatcher) {
	for e := range d.Events {
		switch e.Kind {
		case "setup":
			_ = e.Answer("y")
		case "probe":
			_ = e.AnswerProbe()
		}
	}
}

// vanish lets the machine of the old dispatcher vanish, and returns when it did.
func (r *vanishRun) vanish() time.Time {
	r.Helper()
	if err := r.net.Vanish("c>old"); err != nil {
		r.Fatal(err)
	}
	return time.Now()
}

// replace starts the next dispatcher at the address.
func (r *vanishRun) replace() {
	r.Helper()
	if err := r.net.Replace("c>old", r.next.Address()); err != nil {
		r.Fatal(err)
	}
}

// listNext publishes the dispatcher that has the address now, and that the old one is gone.
func (r *vanishRun) listNext(startedAt time.Time) {
	gone := endpoint("old", 0, r.address, time.Time{})
	gone["status"] = "left"
	r.list.publish(r.T, gone, endpoint("next", 0, r.address, startedAt))
}

// expectEnds waits until the caller has been told of the ends of all calls at the vanished dispatcher.
func (r *vanishRun) expectEnds(vanishedAt time.Time) {
	r.Helper()
	missing := callsAtVanished
	for until := vanishedAt.Add(unreportedEndTimeout); missing > 0 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		missing = 0
		r.mu.Lock()
		for n := range callsAtVanished {
			if r.endedAt[id(n+1)].IsZero() {
				missing++
			}
		}
		r.mu.Unlock()
	}
	if missing > 0 {
		r.Errorf("%d of %d calls at a vanished dispatcher were not released to their caller within %v:\n%s", missing, callsAtVanished, unreportedEndTimeout, r.log)
	}
}

// TestCallsOfAVanishedDispatcherEndAtADialAcrossTheReplacement guards against calls left standing because a dial that began before their
// dispatcher was replaced reached the next process at the address.
func TestCallsOfAVanishedDispatcherEndAtADialAcrossTheReplacement(t *testing.T) {
	for name, listDelay := range map[string]time.Duration{"listed as it connects": 0, "listed a second later": time.Second} {
		for startName, started := range map[string]bool{"started late": true, "start unknown": false} {
			t.Run(fmt.Sprintf("%s, %s", name, startName), func(t *testing.T) {
				t.Parallel()
				r := newVanishRun(t)
				r.establish()
				vanishedAt := r.vanish()
				r.waitLog("no connection")
				time.Sleep(dialTimeoutAtDispatchers / 2) // by now the next dial has begun
				startedAt := time.Time{}
				if started {
					startedAt = time.Now()
				}
				r.replace()
				r.waitLog("connection=2") // the next process is reached under the old name
				time.Sleep(listDelay)
				r.listNext(startedAt)
				r.expectEnds(vanishedAt)
			})
		}
	}
}

// TestCallsOfAVanishedDispatcherEndWhileTheListIsSilent guards against calls left standing for as long as the list does not tell that
// another dispatcher has the address of theirs.
func TestCallsOfAVanishedDispatcherEndWhileTheListIsSilent(t *testing.T) {
	t.Parallel()
	r := newVanishRun(t)
	r.establish()
	vanishedAt := r.vanish()
	r.waitLog("no connection")
	r.replace()
	r.expectEnds(vanishedAt)
}

// TestCallsOfAKilledDispatcherEndWhenItsAddressIsTaken guards against calls left standing because another dispatcher accepted connections at
// the address of theirs right after that was killed.
func TestCallsOfAKilledDispatcherEndWhenItsAddressIsTaken(t *testing.T) {
	for name, listDelay := range map[string]time.Duration{"listed at once": 0, "listed late": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newVanishRun(t)
			r.establish()
			r.vanish() // no dial reaches the next process before the old one is killed
			r.old.Kill()
			r.net.CloseConns("c>old", true)
			killedAt := time.Now()
			r.replace()
			r.waitLog("connection=2")
			time.Sleep(listDelay)
			r.listNext(killedAt)
			r.expectEnds(killedAt)
		})
	}
}
