package dispatchers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// TestAnEndOnAConnectionUnderAnEarlierNameIsReported guards against the lost end of a call at a dispatcher that has taken over another's
// address: a connection to it was opened under the other's name before the list contained it, and it sends the end there because the
// connection of the call has closed.
func TestAnEndOnAConnectionUnderAnEarlierNameIsReported(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, initialState{})
		go h.core.Loop().Run()
		defer func() {
			h.core.Loop().Quit()
			synctest.Wait()
		}()
		h.runOnLoop(func() { h.updateList(control.Active, "first") })
		time.Sleep(time.Second)
		h.runOnLoop(h.replaceFirst)
		time.Sleep(time.Second)
		h.runOnLoop(h.listReplacement)
		time.Sleep(time.Second)
		h.runOnLoop(func() { h.placeCall(testCallID, callTimeout) })
		time.Sleep(time.Second)
		h.runOnLoop(h.deliverAll)
		h.runOnLoop(func() {
			c := h.first.established[testCallID]
			if c == nil || !h.isEstablished(testCallID, "other") || len(h.pool.servers["first"].conns) != 1 {
				t.Errorf("established: %v; want the call at the other dispatcher and one connection under the earlier name", c != nil)
				return
			}
			c.close()
			c.deliverToPool()
		})
		time.Sleep(time.Second)
		h.runOnLoop(func() { h.endCall(h.first, testCallID) })
		time.Sleep(time.Second)
		h.runOnLoop(h.deliverAll)
		h.runOnLoop(func() {
			if ends := h.calls[testCallID].ends; ends != 1 {
				t.Errorf("the end of the call was reported %d times, want 1", ends)
			}
			if n := len(h.pool.servers["other"].established); n != 0 {
				t.Errorf("%d terminated calls still have an entry", n)
			}
		})
	})
}

// replaceFirst stops the first dispatcher and starts another one at its address, which is not on the list yet.
func (h *harness) replaceFirst() {
	h.first.stop()
	h.first = newFakeDispatcher(h)
	h.first.answersAll = true
	h.first.startReporting(h.network.loop)
	h.network.dispatchers["first"] = h.first
}

// listReplacement updates the list: the first dispatcher is removed, and another one has its address.
func (h *harness) listReplacement() {
	h.core.Update(call.Update{Servers: []call.Server{
		{ServerEntry: control.ServerEntry{ID: "first", Status: control.Removed}, Address: "first"},
		{ServerEntry: control.ServerEntry{ID: "other", Status: control.Active}, Address: "first"},
	}})
}

// TestACallUnderAnEarlierNameIsReleased guards against a call that a dispatcher keeps and nobody releases: it was set up under the name of
// the dispatcher that had its address before, and the connections under that name have closed.
func TestACallUnderAnEarlierNameIsReleased(t *testing.T) {
	t.Parallel()
	resetAll := func(h *harness) {
		for _, c := range slices.Clone(h.first.openConns) {
			c.reset()
		}
	}
	closeAll := func(h *harness) {
		for _, c := range slices.Clone(h.first.openConns) {
			c.close()
			c.deliverToPool()
		}
	}
	hangUp := func(h *harness) { h.cancelCall(testCallID) }
	for name, events := range map[string][]func(*harness){
		"closed cleanly":                 {closeAll},
		"reset":                          {resetAll},
		"reset, and its caller hangs up": {resetAll, hangUp},
		"its caller hangs up, and reset": {func(h *harness) { resetAll(h); hangUp(h) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withHarness(t, initialState{conns: 1}, func(h *harness) {
				h.runOnLoop(h.replaceFirst)
				time.Sleep(time.Second)
				h.setUpCall(testCallID)
				time.Sleep(time.Second)
				h.runOnLoop(h.deliverAll)
				h.runOnLoop(h.listReplacement)
				time.Sleep(time.Second)
				h.runOnLoop(func() {
					c := h.first.established[testCallID]
					if c == nil || !h.isEstablished(testCallID, "first") {
						t.Fatalf("established: %v; want the call under the earlier name", c != nil)
					}
					h.first.ambiguous[testCallID] = true // the controller can't know that the process under the earlier name is the next one
				})
				for _, event := range events {
					h.runOnLoop(func() { event(h) })
				}
				time.Sleep(time.Second)
				h.runOnLoop(func() {
					if _, holds := h.first.established[testCallID]; holds && (h.calls[testCallID].ends > 0 || h.calls[testCallID].cancelled) {
						t.Error("the call has ended, and its dispatcher still holds it")
					}
				})
			})
		})
	}
}
