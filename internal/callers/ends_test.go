package callers

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/peer"
)

// ended is the end of a call in order.
var ended = call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded}

// settled makes the only connection one that may be told the ends of any calls.
func settled(f *Front, c *Conn) { onLoop(f.loop, func() { c.asked = true }) }

// closes has a caller close its connection, and waits until the front has taken that in.
func closes(t *testing.T, f *Front, caller *peer.Caller, c *Conn) {
	t.Helper()
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	for until, over := time.Now().Add(peer.Patience), false; !over; time.Sleep(time.Millisecond) {
		onLoop(f.loop, func() { over = c.closed })
		if time.Now().After(until) {
			t.Fatal("the close is never taken in")
		}
	}
}

// hearsEnd has a caller read the end of a call.
func hearsEnd(t *testing.T, caller *peer.Caller, id string) {
	t.Helper()
	if m, err := caller.Next(); err != nil || m.Type != "release" || m.ID != id {
		t.Errorf("%+v, %v: want the end of %s", m, err, id)
	}
}

// TestEndsAreCounted guards against ends of calls that are told twice, late or not at all without a trace in the figures.
func TestEndsAreCounted(t *testing.T) {
	const first, second, third = "00000000000000e1", "00000000000000e2", "00000000000000e3"
	f := oneConnection(t, &openCore{owes: map[call.Caller]int{}})
	var got []EndCounts
	counted := func() { onLoop(f.loop, func() { got = append(got, f.ends) }) }
	caller, c := connects(t, f, 1)
	settled(f, c)
	onLoop(f.loop, func() { c.NotifyTerminated(first, ended); f.Flush() })
	hearsEnd(t, caller, first)
	counted()
	closes(t, f, caller, c) // right behind it
	counted()
	onLoop(f.loop, func() { f.Release(second, ended) })
	counted()
	caller, c = connects(t, f, 1)
	settled(f, c)
	onLoop(f.loop, func() { f.deliver(); f.Flush() })
	hearsEnd(t, caller, first)
	hearsEnd(t, caller, second)
	counted()
	onLoop(f.loop, func() {
		f.pending = append(f.pending, release{id: third, end: ended, at: time.Now().Add(-keep)})
		f.look()
	})
	counted()
	want := []EndCounts{
		{Told: 1}, {Told: 1, Repeated: 1, Waited: 1}, {Told: 1, Repeated: 1, Waited: 2},
		{Told: 3, Repeated: 1, Waited: 2}, {Told: 3, Repeated: 1, Waited: 2, Dropped: 1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counts after each step (-want +got):\n%s", diff)
	}
}

// TestTheStepsOfEndsAreLogged guards against ends that a connection took for read, or for a test's, without the log saying so.
func TestTheStepsOfEndsAreLogged(t *testing.T) {
	const id = "00000000000000e5"
	for step, happens := range map[endlog.Step]func(f *Front, c *Conn){
		endlog.EndCountsRead: func(_ *Front, c *Conn) {
			c.asked = true
			c.sent[0].leftAt = time.Now().Add(-2 * recent)
			c.shut(conn.ErrClosedHere)
		},
		endlog.EndForTest: func(_ *Front, c *Conn) { c.passOn() },
		endlog.EndDropped: func(f *Front, c *Conn) {
			c.passOn()
			f.dropPending()
		},
	} {
		t.Run(string(step), func(t *testing.T) {
			f := oneConnection(t, &openCore{owes: map[call.Caller]int{}})
			var log bytes.Buffer
			_, c := connects(t, f, 1)
			onLoop(f.loop, func() {
				f.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
				c.NotifyTerminated(id, ended)
				f.Flush()
				happens(f, c)
				f.log = slog.New(slog.DiscardHandler)
			})
			if !strings.Contains(log.String(), fmt.Sprintf("step=%q id=%s", step, id)) {
				t.Errorf("not logged:\n%s", &log)
			}
		})
	}
}

// TestAnEndThatIsGivenUpIsAWarning guards against ends of calls that are dropped in silence, as no caller connects.
func TestAnEndThatIsGivenUpIsAWarning(t *testing.T) {
	const id = "00000000000000e4"
	for reason, happens := range map[string]func(f *Front){
		"no caller has connected in time": func(f *Front) {
			f.pending[0].at = time.Now().Add(-keep)
			f.look()
		},
		"this process ends": (*Front).dropPending,
	} {
		t.Run(reason, func(t *testing.T) {
			f := oneConnection(t, &openCore{owes: map[call.Caller]int{}})
			var log bytes.Buffer
			onLoop(f.loop, func() {
				f.log = slog.New(slog.NewTextHandler(&log, nil))
				f.Release(id, ended)
				if log.Len() > 0 {
					t.Errorf("logged before it is given up: %s", &log)
				}
				happens(f)
			})
			text := log.String()
			for _, want := range []string{"level=WARN", "id=" + id, "cause=16", "reason=\"" + reason + "\""} {
				if !strings.Contains(text, want) {
					t.Errorf("logged %q, want %s in it", text, want)
				}
			}
		})
	}
}
