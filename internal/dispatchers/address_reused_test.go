package dispatchers

import (
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// TestAnEndOnAConnectionUnderAnEarlierNameIsTold guards against the untold end of a call at a dispatcher that has taken another's address: it was connected
// to under the other's name before the list told of it, and tells the end there, as the connection of the call has closed.
func TestAnEndOnAConnectionUnderAnEarlierNameIsTold(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{})
		go s.core.Loop().Run()
		defer func() {
			s.core.Loop().Quit()
			synctest.Wait()
		}()
		s.do(func() { s.list(control.Active, "first") })
		time.Sleep(time.Second)
		s.do(s.takePlaceOfFirst)
		time.Sleep(time.Second)
		s.do(s.listOther)
		time.Sleep(time.Second)
		s.do(func() { s.offer(orderedID, orderDeadline) })
		time.Sleep(time.Second)
		s.do(s.arrive)
		s.do(func() {
			c := s.first.established[orderedID]
			if c == nil || !s.knows(orderedID, "other") || len(s.pool.servers["first"].links) != 1 {
				t.Errorf("established: %v; want the call at the other dispatcher, and a connection under the earlier name", c != nil)
				return
			}
			c.close()
			c.deliver()
		})
		time.Sleep(time.Second)
		s.do(func() { s.end(s.first, orderedID) })
		time.Sleep(time.Second)
		s.do(s.arrive)
		s.do(func() {
			if overs := s.calls[orderedID].overs; overs != 1 {
				t.Errorf("the end of the call is told %d times", overs)
			}
			if n := len(s.pool.servers["other"].standing); n != 0 {
				t.Errorf("%d entries of calls that are over", n)
			}
		})
	})
}

// takePlaceOfFirst has the first dispatcher die, and another one listen at its address, of which the list does not tell yet.
func (s *orderSite) takePlaceOfFirst() {
	s.first.dies()
	s.first = newProcess(s)
	s.first.prompt = true
	s.first.chat(s.network.loop)
	s.network.processes["first"] = s.first
}

// listOther has the list tell that the first dispatcher is gone, and that the other one has its address.
func (s *orderSite) listOther() {
	s.core.Update(call.Update{Servers: []call.Server{
		{ServerEntry: control.ServerEntry{ID: "first", Status: control.Removed}, Address: "first"},
		{ServerEntry: control.ServerEntry{ID: "other", Status: control.Active}, Address: "first"},
	}})
}
