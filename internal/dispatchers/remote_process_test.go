package dispatchers

import (
	"slices"
	"testing"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// untilDialTimedOut is the time after which a dispatcher that has vanished was dialled, and the dial has timed out.
const untilDialTimedOut = suspectAfter + time.Second

// vanishes returns a step in which the machine of the first dispatcher vanishes, and its call with it.
func vanishes() scenarioStep {
	return newStep("its machine vanishes", untilDialTimedOut, func(h *harness) {
		h.first.partitioned = true
		h.calls[testCallID].endedAt = time.Now()
	})
}

// nextProcessStarts returns a step in which another process starts at the address of the first dispatcher, and sends reports.
func nextProcessStarts(after time.Duration) scenarioStep {
	return newStep("another process starts at its address", after, func(h *harness) {
		next := newFakeDispatcher(h)
		next.startReporting(h.network.loop)
		h.network.dispatchers["first"] = next
	})
}

// TestCallsOfAVanishedProcessEndBesideTheNextOne guards against calls that never end because connections to the next process at the address
// of theirs work.
func TestCallsOfAVanishedProcessEndBesideTheNextOne(t *testing.T) {
	t.Parallel()
	forgetAnswers := newStep("the call is one of an earlier process of the controller", 0, func(h *harness) {
		clear(h.pool.servers["first"].established)
	})
	listed := newStep("the list has another dispatcher there", 0, (*harness).listReplacement)
	otherSetUp := newStep("another set-up waits there", setUpDelay, func(h *harness) {
		h.calls[otherCallID] = &callRecord{cancelled: true} // nobody waits for its answer
		h.pool.SetUp("first", attemptOf(otherCallID, 0))
	})
	for name, start := range map[string]initialState{
		"reports":  reportingCall,
		"silent":   {established: true, conns: 2},
		"one more": {established: true, conns: 1},
	} {
		for listName, steps := range map[string][]scenarioStep{
			"list silent":          {vanishes(), nextProcessStarts(0)},
			"listed at once":       {vanishes(), nextProcessStarts(0), listed},
			"listed later":         {vanishes(), nextProcessStarts(time.Second), listed},
			"beside a set-up":      {otherSetUp, vanishes(), nextProcessStarts(time.Second), listed},
			"of an earlier answer": {forgetAnswers, vanishes(), nextProcessStarts(time.Second), listed},
		} {
			t.Run(name+", "+listName, func(t *testing.T) {
				t.Parallel()
				start.playWithoutViolation(t, steps)
			})
		}
	}
}

// TestCallsContinueAfterAResetAndATimedOutDial guards against calls that are cut because their connections were reset and the next dial
// timed out, while the list has their dispatcher at its address.
func TestCallsContinueAfterAResetAndATimedOutDial(t *testing.T) {
	t.Parallel()
	reportingCall.playWithoutViolation(t, slices.Concat(stepsFor("B"), []scenarioStep{resetAll()},
		[]scenarioStep{waitStep('-', settleTime+silentProcessTimeout), expectNotEnded()}))
}

// TestCallsContinueOnASlowConnection guards against calls that are cut because their connections stay silent for a while beside one that was
// opened since, as those are repaired later than it.
func TestCallsContinueOnASlowConnection(t *testing.T) {
	t.Parallel()
	block := newStep("its connections are blocked, and the next dial times out", silentProcessTimeout-2*checkInterval-500*time.Millisecond, func(h *harness) {
		h.first.timeOutNext, h.stalled = 1, true
		for _, c := range h.first.openConns {
			c.blockedToDispatcher, c.blockedToPool = true, true
		}
	})
	reportingCall.playWithoutViolation(t, slices.Concat([]scenarioStep{block}, stepsFor("u"), []scenarioStep{waitStep('-', settleTime), expectNotEnded()}))
}

// TestCallsContinueAfterABriefPartition guards against calls that are cut although their process can be reached again on the connections
// that it had, beside one that was opened since.
func TestCallsContinueAfterABriefPartition(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]initialState{"reports": reportingCall, "silent": {established: true, conns: 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cutOff := newStep("it is cut off", untilDialTimedOut, func(h *harness) { h.first.partitioned = true })
			start.playWithoutViolation(t, slices.Concat([]scenarioStep{cutOff}, stepsFor("w"), []scenarioStep{waitStep('-', settleTime+silentProcessTimeout), expectNotEnded()}))
		})
	}
}

// TestCallsEndWithADrainingProcessWhoseAddressIsTaken guards against calls left standing because a connection to the next dispatcher at the
// address was opened while their own process still ran, without listening.
func TestCallsEndWithADrainingProcessWhoseAddressIsTaken(t *testing.T) {
	t.Parallel()
	steps := []scenarioStep{
		nextProcessStarts(time.Second),
		newStep("one more connection is opened", settleTime, func(h *harness) { h.pool.Reconnect("first") }),
		newStep("the list has it", settleTime, func(h *harness) {
			h.core.Update(call.Update{Servers: []call.Server{
				{ServerEntry: control.ServerEntry{ID: "first", Status: control.Removed}, Address: "first"},
				{ServerEntry: control.ServerEntry{ID: "other", Status: control.Active,
					StartedAt: time.Duration(time.Now().Add(-settleTime - time.Second).UnixNano())}, Address: "first"},
			}})
		}),
		expectNotEnded(),
		newStep("the former process stops", settleTime, func(h *harness) {
			h.first.stop()
			h.calls[testCallID].endedAt = time.Now()
		}),
	}
	reportingCall.playWithoutViolation(t, steps)
}
