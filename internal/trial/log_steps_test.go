package trial

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"cherryrelay/internal/endlog"
)

// TestLastSteps guards against reports on a call that list the steps of other calls, other kinds of log lines or steps before the last ones.
func TestLastSteps(t *testing.T) {
	const loggedID, otherID, unloggedID = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	cl := &Cluster{Controllers: []*Controller{{Name: "n1"}, {Name: "n2"}}}
	start := time.Unix(1000, 0)
	logStep := func(c *Controller, ms int, id string, step endlog.Step) {
		at := start.Add(time.Duration(ms) * time.Millisecond)
		h := slog.NewTextHandler(&c.log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Time(a.Key, at)
			}
			return a
		}})
		endlog.Call(slog.New(h).With("name", c.Name), step, id, endlog.Connection(7))
	}
	logStep(cl.Controllers[0], 10, loggedID, endlog.ReleaseRead)
	logStep(cl.Controllers[0], 30, loggedID, endlog.EndQueued)
	logStep(cl.Controllers[0], 40, otherID, endlog.EndWrittenToKernel)
	logStep(cl.Controllers[1], 20, loggedID, endlog.TransferredIn)
	fmt.Fprintf(&cl.Controllers[1].log, "time=2100-01-01T00:00:00.000Z level=WARN msg=%q id=%s\n", "end of a call given up", loggedID)
	got := cl.LastSteps([]string{loggedID, unloggedID})
	if len(got) != 2 || !containsInOrder(got[0], loggedID, string(endlog.ReleaseRead), "name=n2", string(endlog.TransferredIn),
		"name=n1", string(endlog.EndQueued), "connection=7") ||
		strings.Contains(got[0], otherID) || strings.Contains(got[0], "given up") || got[1] != unloggedID+": no step is logged" {
		t.Errorf("last steps %q", got)
	}
	for i := range 2 * maxListedSteps {
		logStep(cl.Controllers[1], 50+i, loggedID, endlog.EndWaits)
	}
	got = cl.LastSteps([]string{loggedID})
	if strings.Contains(got[0], string(endlog.EndQueued)) || strings.Count(got[0], string(endlog.EndWaits)) != maxListedSteps {
		t.Errorf("last steps of a longer log %q", got)
	}
}

// containsInOrder reports whether a text contains all parts in the given order.
func containsInOrder(text string, parts ...string) bool {
	for _, part := range parts {
		_, after, found := strings.Cut(text, part)
		if !found {
			return false
		}
		text = after
	}
	return true
}
