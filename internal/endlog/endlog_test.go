package endlog

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
)

// TestNothingIsAllocatedWhileOff guards against allocations for steps that are not logged.
func TestNothingIsAllocatedWhileOff(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil)) // logs the levels info and above
	id, server, number := strings.Repeat("a", 16), strings.Repeat("b", 16), uint64(1)<<40
	allocations := testing.AllocsPerRun(100, func() {
		Call(log, ReleaseRead, id, Server(server), Connection(number), Attempt(1<<20))
		Dispatcher(log, ConnectionEnded, server, Connection(number), Reason(io.EOF))
		CallerConnection(log, CallerConnectionEnded, number, Reason(io.EOF))
		Call(nil, EndQueued, id)
	})
	if allocations > 0 {
		t.Errorf("%v allocations, want none", allocations)
	}
}

// TestStepsHaveIdentifyingAttributes guards against steps that cannot be found by their call, dispatcher or connection.
func TestStepsHaveIdentifyingAttributes(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))
	Call(log, EndQueued, "c1", Connection(7))
	Dispatcher(log, ConnectionAbandoned, "d1", Connection(8), Reason(io.EOF))
	CallerConnection(log, CallerConnectionEnded, 9, Reason(io.EOF))
	Dispatcher(log, RenewalStarted, "d1", Reason(nil))
	for i, want := range []string{
		`level=DEBUG msg="step of a call" step="end queued to the caller" id=c1 connection=7`,
		`level=DEBUG msg="step of a dispatcher" step="connection given up" server=d1 connection=8 reason=EOF`,
		`level=DEBUG msg="step of a connection from callers" step="connection ended" connection=9 reason=EOF`,
		`level=DEBUG msg="step of a dispatcher" step="new connection begun" server=d1`,
	} {
		if line := strings.Split(out.String(), "\n")[i]; !strings.HasSuffix(line, want) {
			t.Errorf("logged %s, want %s", line, want)
		}
	}
}
