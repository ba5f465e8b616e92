package dispatchers

import (
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
		s := newHarness(t, initialState{})
		go s.core.Loop().Run()
		defer func() {
			s.core.Loop().Quit()
			synctest.Wait()
		}()
		s.runOnLoop(func() { s.updateList(control.Active, "first") })
		time.Sleep(time.Second)
		s.runOnLoop(s.replaceFirst)
		time.Sleep(time.Second)
		s.runOnLoop(s.listReplacement)
		time.Sleep(time.Second)
		s.runOnLoop(func() { s.placeCall(testCallID, callTimeout) })
		time.Sleep(time.Second)
		s.runOnLoop(s.deliverAll)
		s.runOnLoop(func() {
			c := s.first.established[testCallID]
			if c == nil || !s.isEstablished(testCallID, "other") || len(s.pool.servers["first"].conns) != 1 {
				t.Errorf("established: %v; want the call at the other dispatcher and one connection under the earlier name", c != nil)
				return
			}
			c.close()
			c.deliverToPool()
		})
		time.Sleep(time.Second)
		s.runOnLoop(func() { s.endCall(s.first, testCallID) })
		time.Sleep(time.Second)
		s.runOnLoop(s.deliverAll)
		s.runOnLoop(func() {
			if overs := s.calls[testCallID].ends; overs != 1 {
				t.Errorf("the end of the call was reported %d times, want 1", overs)
			}
			if n := len(s.pool.servers["other"].established); n != 0 {
				t.Errorf("%d terminated calls still have an entry", n)
			}
		})
	})
}

// replaceFirst stops the first dispatcher and starts another one at its address, which is not on the list yet.
func (s *harness) replaceFirst() {
	s.first.die()
	s.first = newFakeDispatcher(s)
	s.first.answersAll = true
	s.first.startReporting(s.network.loop)
	s.network.dispatchers["first"] = s.first
}

// listReplacement updates the list: the first dispatcher is removed, and another one has its address.
func (s *harness) listReplacement() {
	s.core.Update(call.Update{Servers: []call.Server{
		{ServerEntry: control.ServerEntry{ID: "first", Status: control.Removed}, Address: "first"},
		{ServerEntry: control.ServerEntry{ID: "other", Status: control.Active}, Address: "first"},
	}})
}
