package dispatchers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/sip"
)

// TestAnAttemptThatWaitedFollowsTheReleaseOfItsCall guards against a release that cuts the next attempt of its call, which waited for a connection
// and went out on a faster one.
func TestAnAttemptThatWaitedFollowsTheReleaseOfItsCall(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newOrderSite(t, orderStart{})
		go s.core.Loop().Run()
		defer func() {
			s.core.Loop().Quit()
			synctest.Wait()
		}()
		s.do(func() { s.list(control.Active, "first") })
		time.Sleep(silence + time.Second)
		s.do(func() {
			s.calls[orderedID] = &orderedCall{}
			s.pool.Release("first", orderedID, call.CauseNormal)
			s.pool.SetUp("first", call.SetUp{ID: orderedID, Attempt: 1, Class: "c", Called: "k", Description: "x", Limit: time.Minute})
			if len(s.pool.servers["first"].waiting) != 1 {
				t.Error("the attempt does not wait for a connection")
			}
			c := s.first.connections[0] // the one with the release is heard from again
			c.tell(sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqOf: "NOTIFY",
				Headers: []sip.Header{{Name: "P-Report", Value: "idle:8"}}}))
			c.deliver()
		})
		time.Sleep(time.Second)
		s.do(func() {
			links := s.pool.servers["first"].links
			i := slices.IndexFunc(links, func(l *link) bool { return l.invites[orderedID] != nil })
			if len(links) != 2 || i < 0 {
				t.Errorf("the attempt is on connection %d of %d, want 2 of them", i, len(links))
			} else if !links[i].releases(orderedID) {
				t.Error("the attempt went out on another connection than the release of its call")
			}
		})
	})
}
