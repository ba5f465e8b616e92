package main

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// A cancelled set-up must not be sent later than maxSendDelay after the cancellation, neither as a first nor as a further attempt. The
// tests cancel just over maxSendDelay before the awaited event, so that any set-up that is sent is an error, also on a slow machine.

// schedulerMeter records the delays by which a process was kept from running.
type schedulerMeter struct {
	mu     sync.Mutex
	delays []schedulerDelay
}

type schedulerDelay struct {
	end  time.Time
	lost time.Duration
}

const (
	// meterPeriod is the sleep whose overrun is measured.
	meterPeriod = time.Millisecond
	// normalOverrun is the overrun of a sleep up to which a machine is not considered busy.
	normalOverrun = 2 * time.Millisecond
	// meterRetention is the age up to which delays are kept.
	meterRetention = time.Minute
)

var startMeter = sync.OnceValue(func() *schedulerMeter {
	m := &schedulerMeter{}
	go m.run()
	return m
})

func (m *schedulerMeter) run() {
	for {
		begin := time.Now()
		time.Sleep(meterPeriod)
		end := time.Now()
		lost := end.Sub(begin) - meterPeriod
		if lost <= normalOverrun {
			continue
		}
		m.add(schedulerDelay{end, lost})
	}
}

func (m *schedulerMeter) add(d schedulerDelay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays = append(m.delays, d)
	for d.end.Sub(m.delays[0].end) > meterRetention {
		m.delays = m.delays[1:]
	}
}

// delayBetween returns the time between two instants that was lost to scheduling, counting overlapping delays once.
func (m *schedulerMeter) delayBetween(from, to time.Time) time.Duration {
	time.Sleep(2 * meterPeriod) // until a delay that spans the last instant is recorded
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := time.Duration(0)
	for _, d := range slices.Backward(m.delays) { // latest first, so that each counts up to where the next one began
		begin := d.end.Add(-d.lost)
		if begin.Before(from) {
			begin = from
		}
		if d.end.Before(to) {
			to = d.end
		}
		if part := to.Sub(begin); part > 0 {
			lost += part
			to = begin
		}
	}
	return lost
}

// pendingState is a state in which a set-up waits. hold puts the set-up with the number n into it. It returns the earliest time at which
// the set-up may be sent without another event, or zero if next must be called to cause that event.
type pendingState struct {
	late   bool // connections to the first dispatcher open only after Open is called
	drains bool
	hold   func(f *fixture, c *peer.Caller, n int) (sendable time.Time, next func())
}

// cancelMargin is added to maxSendDelay for the time between the cancellation and the end of the wait.
const cancelMargin = 50 * time.Millisecond

func noop() {}

var pendingStates = map[string]pendingState{
	"held for credit": {hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		other := f.newConfiguredCaller()
		f.exhaustLines(other, 0x500)
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		f.waitInFlight(1)
		return time.Time{}, func() {
			for _, d := range f.dispatchers {
				_ = d.SetReport("x0:40;x1:40") // on the connections that are still open
			}
		}
	}},
	"in the guard after a reset": {hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		e := f.recordEvent(0)
		reset := time.Now()
		f.must(e.ResetConn())
		return reset.Add(f.guard()), noop
	}},
	"in the guard after an answer of a failure": {hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		e := f.recordEvent(0)
		brokenAt := time.Now()
		f.must(e.Refuse(peer.TemporaryFailure))
		return brokenAt.Add(f.guard()), noop
	}},
	"in the guard, draining": {drains: true, hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		e := f.recordEvent(0)
		f.node.drain()
		reset := time.Now()
		f.must(e.ResetConn())
		return reset.Add(f.guard()), noop
	}},
	"attempt in progress, refused later": {hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		e := f.recordEvent(0)
		return time.Time{}, func() { _ = e.Refuse(peer.NoLine) } // the connection may be closed by then, which also ends the attempt
	}},
	"attempt in progress, connection reset later": {hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		e := f.recordEvent(0)
		return time.Time{}, func() { _ = e.ResetConn() } // as above
	}},
	"waiting for a connection": {late: true, hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		f.waitInFlight(1)
		return time.Time{}, f.dispatchers[0].StartAccepting
	}},
	"queued for a busy loop": {hold: func(f *fixture, c *peer.Caller, n int) (time.Time, func()) {
		f.waitConnections(0, 1)
		resumeLoop := f.pauseLoop()
		before := f.node.loop.Pending()
		f.must(c.SetUp(id(n), 20*time.Second, 0, "x"))
		f.waitQueued(before + 1)
		return time.Time{}, func() {
			other := f.node.loop.Pending()
			behind, err := peer.DialCaller("tcp", f.node.lines.Address())
			f.must(err)
			defer behind.Close()
			f.must(behind.Send(jsonl.Message{Type: "ping", ID: id(0)})) // it is read behind the cancellation
			f.waitQueued(other + 1)
			resumeLoop()
		}
	}},
}

func (f *fixture) guard() time.Duration {
	return time.Duration(f.node.config.Settings.FamilyInfo.GuardUs) * time.Microsecond
}

// cancelWhilePending cancels a set-up in a state, maxSendDelay before the awaited event, and reports whether it did so in time.
func (f *fixture) cancelWhilePending(state pendingState, cancel func(f *fixture, c *peer.Caller, n int) error) (inTime bool) {
	f.Helper()
	const number = 1
	c := f.newConfiguredCaller()
	sendable, next := state.hold(f, c, number)
	if !sendable.IsZero() {
		time.Sleep(time.Until(sendable.Add(-maxSendDelay - cancelMargin)))
	}
	f.must(cancel(f, c, number))
	cancelledAt := time.Now()
	if inTime = sendable.IsZero() || cancelledAt.Before(sendable.Add(-maxSendDelay)); !inTime {
		return false
	}
	if sendable.IsZero() {
		time.Sleep(maxSendDelay)
	}
	next()
	if !state.drains { // a draining node may have exited by now
		f.waitInFlight(0)
	}
	if state.late {
		f.waitConnections(0, 1) // a second later
	}
	time.Sleep(f.guard() + maxSendDelay) // longer than any wait of the set-up
	for i, d := range f.dispatchers {
		for len(d.Events) > 0 {
			if e := <-d.Events; e.Kind == "setup" && e.ID == id(number) {
				f.Errorf("d%d was sent the set-up %v after its client had cancelled", i, e.At.Sub(cancelledAt))
			}
		}
	}
	return true
}

// TestNothingIsSentAfterACancellation tests every way of cancelling in every state, over both fronts, with differing settings in turn.
func TestNothingIsSentAfterACancellation(t *testing.T) {
	customers := differingSettings(t)
	names := []string{"one class", "two classes", "three classes"}
	number := 0
	for name, state := range pendingStates {
		for kind, cancel := range cancellations {
			for _, transport := range []string{"tcp", "ws"} {
				number++
				customer := names[number%len(names)]
				t.Run(strings.Join([]string{name, kind, transport, customer}, ", "), func(t *testing.T) {
					t.Parallel()
					for inTime := false; !inTime; { // repeat if the machine is too slow to keep the order
						s := *customers[customer]
						inTime = newFixtureWithSettings(t, transport, "tcp", state.late, &s).cancelWhilePending(state, cancel)
					}
				})
			}
		}
	}
}
