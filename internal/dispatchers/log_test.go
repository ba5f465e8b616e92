package dispatchers

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"

	"cherryrelay/internal/endlog"
)

// logTo has the pool log its steps.
func (h *harness) logTo(w io.Writer) {
	h.pool.Log = slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// TestTheStepsOfAnAbandonedConnectionAreLogged guards against ends that are read on an abandoned connection without a trace in the log.
func TestTheStepsOfAnAbandonedConnectionAreLogged(t *testing.T) {
	start := initialState{name: "established", established: true}
	var log bytes.Buffer
	steps := []scenarioStep{
		newStep("the end of the call is in transit", 0, func(h *harness) { h.endCall(h.first, testCallID) }),
		newStep("its connection is abandoned", 0, func(h *harness) {
			h.logTo(&log)
			h.pool.servers["first"].conns[0].halfClose(errors.New("for the test"))
		}),
	}
	if result := start.play(t, steps); !result.possible || len(result.violations) > 0 {
		t.Fatalf("possible: %v, violations: %v", result.possible, result.violations)
	}
	for _, want := range []string{
		`step="` + string(endlog.ConnectionAbandoned) + `" server=first connection=1 state=half-closed`,
		`step="` + string(endlog.EndUncertain) + `" id=` + testCallID + ` server=first`,
		`step="` + string(endlog.ReleaseRead) + `" id=` + testCallID + ` server=first connection=1 state=half-closed`,
		`step="` + string(endlog.ConnectionEnded) + `" server=first connection=1`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("not logged: %s", want)
		}
	}
	if t.Failed() {
		t.Log(log.String())
	}
}

// TestTheStepsOfADispatcherAreLogged guards against connections that are requested, and calls that are released, without a trace in the
// log.
func TestTheStepsOfADispatcherAreLogged(t *testing.T) {
	byLetter := map[byte]scenarioStep{}
	for _, e := range baseSteps() {
		byLetter[e.letter] = e
	}
	byLetter['!'] = newStep("the first dispatcher is disconnected", 0,
		func(h *harness) { h.pool.servers["first"].disconnect(errors.New("for the test")) })
	byLetter['%'], byLetter['@'] = resetAll(), addressTaken()
	for step, letters := range map[endlog.Step]string{
		endlog.RenewalRequested:           "rT",
		endlog.RenewalStarted:             "n",
		endlog.RenewalFailed:              "sn",
		endlog.ConnectionEnded:            "h",
		endlog.DispatcherStopped:          "k",
		endlog.AllConnectionsAbandoned:    "k",
		endlog.ReleaseSent:                "adc",
		endlog.ReleaseWaits:               "adrrc",
		endlog.ReleasedWithoutAnswer:      "ar",
		endlog.AnswerOnDrainingConnection: "a!d",
		endlog.Orphaned:                   "ad%@",
	} {
		t.Run(string(step), func(t *testing.T) {
			var log bytes.Buffer
			steps := []scenarioStep{newStep("steps are logged", 0, func(h *harness) { h.logTo(&log) })}
			for _, letter := range []byte(letters) {
				steps = append(steps, byLetter[letter])
			}
			if result := (initialState{name: "set up", conns: 2}).play(t, steps); !result.possible {
				t.Fatal("the scenario was not possible")
			}
			if !strings.Contains(log.String(), "step=\""+string(step)+"\"") {
				t.Errorf("not logged:\n%s", &log)
			}
		})
	}
}
