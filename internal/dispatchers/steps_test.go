package dispatchers

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"cherryrelay/internal/endlog"
)

// TestTheStepsOfAGivenUpConnectionAreLogged guards against ends that are read on a connection that was given up without the log saying so.
func TestTheStepsOfAGivenUpConnectionAreLogged(t *testing.T) {
	start := orderStart{name: "established", called: true}
	var log bytes.Buffer
	occurs := func(f func(s *orderSite)) orderEvent {
		return orderEvent{occurs: func(s *orderSite) bool { f(s); return true }}
	}
	order := []orderEvent{
		occurs(func(s *orderSite) { s.end(s.first) }), // it is on its way
		occurs(func(s *orderSite) {
			s.pool.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
			s.pool.servers["first"].links[0].retire(errors.New("for the test"))
		}),
	}
	if result := start.play(t, order); !result.possible || len(result.faults) > 0 {
		t.Fatalf("possible: %v, faults: %v", result.possible, result.faults)
	}
	for _, want := range []string{
		`step="` + string(endlog.LinkGivenUp) + `" server=first connection=1 state=half-closed`,
		`step="` + string(endlog.InDoubt) + `" id=` + orderedID + ` server=first`,
		`step="` + string(endlog.ReleaseRead) + `" id=` + orderedID + ` server=first connection=1 state=half-closed`,
		`step="` + string(endlog.LinkEnded) + `" server=first connection=1`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("not logged: %s", want)
		}
	}
	if t.Failed() {
		t.Log(log.String())
	}
}
