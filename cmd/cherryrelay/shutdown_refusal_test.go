package main

import (
	"fmt"
	"testing"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/peer"
)

// shutdownLimit is the longest time that a shutdown may take with set-ups that are never answered: SIGKILL follows SIGTERM after 3.7 s at
// the soonest.
const shutdownLimit = 3700 * time.Millisecond

// TestAShutdownDoesNotRefuseWhatMayHaveRun guards against a shutdown that refuses a set-up of a class that may not be repeated while its
// attempt is at a dispatcher: its caller tried again, and the dispatcher ran both.
func TestAShutdownDoesNotRefuseWhatMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		semantics, group string
		neverSent        bool // the set-up waits for a connection to its dispatcher
		cause            int
		reason           call.Reason
	}{
		"idempotent, at a dispatcher":            {"read_like", "all", false, call.CauseCongestion, call.ReasonDraining},
		"by key at any dispatcher":               {"idempotency_key", "all", false, call.CauseCongestion, call.ReasonDraining},
		"by key in one zone, at a dispatcher":    {"idempotency_key", "zone", false, call.CauseTemporary, call.ReasonFailed},
		"by key in one cell, at a dispatcher":    {"idempotency_key", "cell", false, call.CauseTemporary, call.ReasonFailed},
		"non-idempotent, at a dispatcher":        {"non_idempotent", "all", false, call.CauseTemporary, call.ReasonFailed},
		"non-idempotent, waits for a connection": {"non_idempotent", "all", true, call.CauseCongestion, call.ReasonDraining},
		"by key in one zone, waits for the same": {"idempotency_key", "zone", true, call.CauseCongestion, call.ReasonDraining},
	} {
		for _, mix := range transports {
			t.Run(fmt.Sprint(name, "/", mix[0], " to ", mix[1]), func(t *testing.T) {
				t.Parallel()
				s := testSettings(t)
				s.RequestClasses[0].Semantics, s.RequestClasses[0].Group, s.RequestClasses[0].WindowUs = test.semantics, test.group, longTimeout.Microseconds()
				s.Caps.ConnectTimeoutUs = longTimeout.Microseconds()
				f := newFixtureWithSettings(t, mix[0], mix[1], test.neverSent, s)
				c := f.newCaller()
				f.must(c.SetUp(id(1), longTimeout, 0, "x"))
				if !test.neverSent {
					f.recordEvent(0)
				}
				meter, since := startMeter(), time.Now()
				f.node.drain()
				m, err := c.Next()
				f.must(err)
				if m.Type != "release" || m.CauseOr(0) != test.cause {
					t.Errorf("the caller gets %s %d, want release %d", m.Type, m.CauseOr(0), test.cause)
				}
				if hasWait, refused := m.Fields["wait"] != "", test.cause == call.CauseCongestion; hasWait != refused {
					t.Errorf("the answer has the fields %v; refused: %v", m.Fields, refused)
				}
				if reason := string(m.Fields["error"]); mix[0] == "ws" && reason != string(test.reason) {
					t.Errorf("the error is %q, want %q", reason, test.reason)
				}
				select {
				case err := <-f.done:
					f.must(err)
				case <-time.After(peer.Timeout):
					t.Fatal("the node does not end")
				}
				if took := time.Since(since) - meter.delayBetween(since, time.Now()); took > shutdownLimit {
					t.Errorf("the shutdown took %v without the delays of the machine, limit %v", took, shutdownLimit)
				}
			})
		}
	}
}
