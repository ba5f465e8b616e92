package main

import (
	"log/slog"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/call"
	"cherryrelay/internal/callers"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/logs"
	"cherryrelay/internal/peer"
)

// attribute matches an attribute of a log line.
var attribute = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)

// endSteps returns the attributes of the logged lines with the message and the attribute.
func (d *logBuffer) endSteps(message, key, value string) []map[string]string {
	var steps []map[string]string
	for line := range strings.Lines(d.String()) {
		found := map[string]string{}
		for _, pair := range attribute.FindAllStringSubmatch(line, -1) {
			found[pair[1]] = strings.Trim(pair[2], `"`)
		}
		if found["msg"] == message && found[key] == value {
			steps = append(steps, found)
		}
	}
	return steps
}

// TestTheStepsOfAnEndAreLogged guards against a log that does not show how far the end of a call got.
func TestTheStepsOfAnEndAreLogged(t *testing.T) {
	for _, mix := range transports {
		t.Run(mix[0]+" to "+mix[1], func(t *testing.T) {
			t.Parallel()
			log := new(logBuffer)
			handler := logs.LimitRate(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}), endlog.Messages()...)
			f := newLoggedFixtureOver(t, mix, slog.New(handler))
			caller := f.newCaller()
			f.must(caller.SetUp(id(1), longTimeout, 0, "x"))
			attempt := f.recordEvent(0)
			f.must(attempt.Answer("y"))
			f.recordMessage(caller)
			f.must(caller.Close())
			f.waitLogged(log, 1, endlog.CallerConnectionMessage, endlog.StepKey, string(endlog.CallerConnectionEnded))
			f.must(attempt.ReleaseOnConn(id(1), call.CauseNormal))
			f.waitLogged(log, 1, endlog.CallMessage, endlog.StepKey, string(endlog.EndWaits))
			silent := f.connect() // it sends nothing, so that the end may be unread
			f.recordMessage(silent)
			f.waitLogged(log, 1, endlog.CallMessage, endlog.StepKey, string(endlog.EndWrittenToKernel))
			f.must(silent.Close())
			f.waitLogged(log, 2, endlog.CallMessage, endlog.StepKey, string(endlog.EndWaits))
			other := f.newCaller()
			f.must(other.SetUp(id(2), longTimeout, 1, "x"))
			f.recordMessage(other)
			f.waitLogged(log, 2, endlog.CallMessage, endlog.StepKey, string(endlog.EndWrittenToKernel))

			var got []endlog.Step
			connections := map[endlog.Step][]string{}
			for _, s := range log.endSteps(endlog.CallMessage, endlog.IDKey, id(1)) {
				step := endlog.Step(s[endlog.StepKey])
				got = append(got, step)
				connections[step] = append(connections[step], s[endlog.ConnectionKey])
			}
			want := []endlog.Step{
				endlog.AnswerQueued, endlog.Established, endlog.ReleaseRead, endlog.EndReceived, endlog.Terminated, endlog.EndWaits,
				endlog.EndQueued, endlog.EndWrittenToKernel, endlog.EndUnconfirmed, endlog.EndWaits, endlog.EndQueued, endlog.EndWrittenToKernel,
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("steps of the call (-want +got):\n%s", diff)
			}
			queued := connections[endlog.EndQueued]
			if diff := cmp.Diff(queued, connections[endlog.EndWrittenToKernel]); diff != "" {
				t.Errorf("connections on which the end was queued and sent (-want +got):\n%s", diff)
			}
			if len(queued) != 2 || queued[0] == queued[1] || !slices.Equal(queued[:1], connections[endlog.EndUnconfirmed]) {
				t.Errorf("queued on connections %v, unread on %v", queued, connections[endlog.EndUnconfirmed])
			}
			read := f.firstStep(log, endlog.ReleaseRead)
			opened := log.endSteps(endlog.DispatcherMessage, endlog.StepKey, string(endlog.ConnectionOpened))
			if !containsConnection(opened, read) || read[endlog.StateKey] != "open" {
				t.Errorf("the release was read as %v; the connections opened are %v", read, opened)
			}
			if r := f.firstStep(log, endlog.EndReceived); r[endlog.ResultKey] != "ended" {
				t.Errorf("the end was received as %v", r)
			}
		})
	}
}

// containsConnection reports whether the step belongs to one of the opened connections to dispatchers.
func containsConnection(opened []map[string]string, step map[string]string) bool {
	for _, o := range opened {
		if o[endlog.ServerKey] == step[endlog.ServerKey] && o[endlog.ConnectionKey] == step[endlog.ConnectionKey] {
			return true
		}
	}
	return false
}

// newLoggedFixtureOver returns a fixture with a log over a pair of transports.
func newLoggedFixtureOver(t *testing.T, transports [2]string, log *slog.Logger) *fixture {
	t.Helper()
	var d [2]*peer.Dispatcher
	for i := range d {
		var err error
		if d[i], err = peer.StartDispatcher(transports[1], "127.0.0.1:0", "x0:40;x1:40"); err != nil {
			t.Fatal(err)
		}
	}
	bounds := callers.Bounds{MessageTimeout: longTimeout, IdleTimeout: longTimeout}
	return newLoggedFixture(t, "127.0.0.1:0", "127.0.0.1:0", transports[0], d, bounds, testSettings(t), log)
}

// firstStep returns the first logged step of that name.
func (f *fixture) firstStep(log *logBuffer, step endlog.Step) map[string]string {
	f.Helper()
	steps := log.endSteps(endlog.CallMessage, endlog.StepKey, string(step))
	if len(steps) == 0 {
		f.Fatalf("%q is never logged", step)
	}
	return steps[0]
}

// waitLogged waits until the given number of steps is logged.
func (f *fixture) waitLogged(log *logBuffer, number int, message, key, value string) {
	f.Helper()
	for until := time.Now().Add(peer.Timeout); len(log.endSteps(message, key, value)) < number; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			f.Fatalf("%q is never logged %d times:\n%s", value, number, log)
		}
	}
}
