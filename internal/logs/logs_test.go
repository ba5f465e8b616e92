package logs

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBurstIsLimited guards against misbehaving clients that fill the log: in one day, they caused 900 KB of log at each controller.
func TestBurstIsLimited(t *testing.T) {
	var out bytes.Buffer
	h := LimitRate(slog.NewTextHandler(&out, nil)).WithAttrs([]slog.Attr{slog.String("name", "n1")})
	start := time.Unix(1000, 0)
	log := func(text string, at time.Time) {
		if err := h.Handle(context.Background(), slog.NewRecord(at, slog.LevelWarn, text, 0)); err != nil {
			t.Fatal(err)
		}
	}
	for range 1000 {
		log("bad", start)
	}
	log("other", start)
	log("bad", start.Add(time.Second))
	got := []int{strings.Count(out.String(), "msg=bad"), strings.Count(out.String(), "msg=other"),
		strings.Count(out.String(), "not_logged=970"), strings.Count(out.String(), "name=n1")}
	if diff := cmp.Diff([]int{int(ordinary.burst) + 1, 1, 1, int(ordinary.burst) + 2}, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestSomeDebugMessagesAreLimited guards against logged steps of calls that fill the disk, and against records that are dropped without
// being counted.
func TestSomeDebugMessagesAreLimited(t *testing.T) {
	var out bytes.Buffer
	debug := &slog.HandlerOptions{Level: slog.LevelDebug}
	h := LimitRate(slog.NewTextHandler(&out, debug), "step").WithGroup("g").WithAttrs([]slog.Attr{slog.Int("n", 1)})
	start := time.Unix(1000, 0)
	log := func(text string, at time.Time) {
		if err := h.Handle(context.Background(), slog.NewRecord(at, slog.LevelDebug, text, 0)); err != nil {
			t.Fatal(err)
		}
	}
	const records = 5000
	for range records {
		log("step", start)
		log("other", start)
	}
	log("step", start.Add(time.Second))
	got := []int{strings.Count(out.String(), "msg=step"), strings.Count(out.String(), "msg=other"), strings.Count(out.String(), "not_logged=1000")}
	if diff := cmp.Diff([]int{int(frequent.burst) + 1, records, 1}, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
