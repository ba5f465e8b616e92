package trial

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"cherryrelay/internal/endlog"
)

// TestLastSteps guards against reports of untold ends that name another call's step, another kind of line or an earlier step.
func TestLastSteps(t *testing.T) {
	const lost, other, silent = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	g := &Ground{Controllers: []*Controller{{Name: "n1"}, {Name: "n2"}}}
	begin := time.Unix(1000, 0)
	logs := func(c *Controller, ms int, id string, step endlog.Step) {
		at := begin.Add(time.Duration(ms) * time.Millisecond)
		h := slog.NewTextHandler(&c.log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Time(a.Key, at)
			}
			return a
		}})
		endlog.Call(slog.New(h).With("name", c.Name), step, id, endlog.Connection(7))
	}
	logs(g.Controllers[0], 10, lost, endlog.ReleaseRead)
	logs(g.Controllers[0], 30, lost, endlog.EndQueued)
	logs(g.Controllers[0], 40, other, endlog.EndWithKernel)
	logs(g.Controllers[1], 20, lost, endlog.Arrived)
	fmt.Fprintf(&g.Controllers[1].log, "time=2100-01-01T00:00:00.000Z level=WARN msg=%q id=%s\n", "end of a call given up", lost)
	got := g.LastSteps([]string{lost, silent})
	if len(got) != 2 || !inOrder(got[0], lost, string(endlog.ReleaseRead), "name=n2", string(endlog.Arrived), "name=n1", string(endlog.EndQueued), "connection=7") ||
		strings.Contains(got[0], other) || strings.Contains(got[0], "given up") || got[1] != silent+": no step is logged" {
		t.Errorf("last steps %q", got)
	}
	for i := range 2 * keepSteps {
		logs(g.Controllers[1], 50+i, lost, endlog.EndWaits)
	}
	got = g.LastSteps([]string{lost})
	if strings.Contains(got[0], string(endlog.EndQueued)) || strings.Count(got[0], string(endlog.EndWaits)) != keepSteps {
		t.Errorf("last steps of many %q", got)
	}
}

// inOrder reports whether a text has all parts, one after the other.
func inOrder(text string, parts ...string) bool {
	for _, part := range parts {
		_, after, found := strings.Cut(text, part)
		if !found {
			return false
		}
		text = after
	}
	return true
}
