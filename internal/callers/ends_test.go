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

// normalEnd is the normal end of a call.
var normalEnd = call.End{Cause: call.CauseNormal, Reason: call.ReasonEnded}

// allowEnds marks the only connection as one on which the ends of any calls may be sent.
func allowEnds(f *Front, c *Conn) { onLoop(f.loop, func() { c.receivedRequest = true }) }

// closeAndWait has a caller close its connection, and waits until the front has processed that.
func closeAndWait(t *testing.T, f *Front, caller *peer.Caller, c *Conn) {
	t.Helper()
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	for until, closed := time.Now().Add(peer.Timeout), false; !closed; time.Sleep(time.Millisecond) {
		onLoop(f.loop, func() { closed = c.closed })
		if time.Now().After(until) {
			t.Fatal("the close is never processed")
		}
	}
}

// expectEnd has a caller read the end of a call.
func expectEnd(t *testing.T, caller *peer.Caller, id string) {
	t.Helper()
	if m, err := caller.Next(); err != nil || m.Type != "release" || m.ID != id {
		t.Errorf("%+v, %v: want the end of %s", m, err, id)
	}
}

// TestEndsAreCounted guards against ends that are sent twice, late or not at all without the metrics showing it.
func TestEndsAreCounted(t *testing.T) {
	const first, second, third = "00000000000000e1", "00000000000000e2", "00000000000000e3"
	f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
	var got []EndCounts
	recordCounts := func() { onLoop(f.loop, func() { got = append(got, f.endCounts) }) }
	caller, c := connect(t, f, 1)
	allowEnds(f, c)
	onLoop(f.loop, func() { c.NotifyTerminated(first, normalEnd); f.Flush() })
	expectEnd(t, caller, first)
	recordCounts()
	closeAndWait(t, f, caller, c) // immediately after the end
	recordCounts()
	onLoop(f.loop, func() { f.Release(second, normalEnd) })
	recordCounts()
	caller, c = connect(t, f, 1)
	allowEnds(f, c)
	onLoop(f.loop, func() { f.deliverPending(); f.Flush() })
	expectEnd(t, caller, first)
	expectEnd(t, caller, second)
	recordCounts()
	onLoop(f.loop, func() {
		f.pendingEnds = append(f.pendingEnds, callEnd{id: third, end: normalEnd, queuedAt: time.Now().Add(-endTimeout)})
		f.poll()
	})
	recordCounts()
	want := []EndCounts{
		{Written: 1}, {Written: 1, Repeated: 1, Queued: 1}, {Written: 1, Repeated: 1, Queued: 2},
		{Written: 3, Repeated: 1, Queued: 2}, {Written: 3, Repeated: 1, Queued: 2, Dropped: 1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counts after each step (-want +got):\n%s", diff)
	}
}

// TestTheStepsOfEndsAreLogged guards against ends that count as read, or were sent to a health check, without a log entry.
func TestTheStepsOfEndsAreLogged(t *testing.T) {
	const id = "00000000000000e5"
	for step, trigger := range map[endlog.Step]func(f *Front, c *Conn){
		endlog.EndPresumedRead: func(_ *Front, c *Conn) {
			c.receivedRequest = true
			c.sentEnds[0].sentAt = time.Now().Add(-2 * crossingTime)
			c.closeNow(conn.ErrClosedLocally)
		},
		endlog.EndOnTestConnection: func(_ *Front, c *Conn) { c.markAsHealthCheck() },
		endlog.EndDropped: func(f *Front, c *Conn) {
			c.markAsHealthCheck()
			f.dropPending()
		},
	} {
		t.Run(string(step), func(t *testing.T) {
			f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
			var log bytes.Buffer
			_, c := connect(t, f, 1)
			onLoop(f.loop, func() {
				f.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
				c.NotifyTerminated(id, normalEnd)
				f.Flush()
				trigger(f, c)
				f.log = slog.New(slog.DiscardHandler)
			})
			if !strings.Contains(log.String(), fmt.Sprintf("step=%q id=%s", step, id)) {
				t.Errorf("not logged:\n%s", &log)
			}
		})
	}
}

// TestADroppedEndIsLoggedAsAWarning guards against ends that are dropped without a warning because no caller connects.
func TestADroppedEndIsLoggedAsAWarning(t *testing.T) {
	const id = "00000000000000e4"
	for reason, trigger := range map[string]func(f *Front){
		"no caller connected in time": func(f *Front) {
			f.pendingEnds[0].queuedAt = time.Now().Add(-endTimeout)
			f.poll()
		},
		"the process ends": (*Front).dropPending,
	} {
		t.Run(reason, func(t *testing.T) {
			f := newSmallFront(t, &stubCore{pending: map[call.Caller]int{}})
			var log bytes.Buffer
			onLoop(f.loop, func() {
				f.log = slog.New(slog.NewTextHandler(&log, nil))
				f.Release(id, normalEnd)
				if log.Len() > 0 {
					t.Errorf("logged before it is dropped: %s", &log)
				}
				trigger(f)
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
