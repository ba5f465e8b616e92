package dispatchers

import (
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// TestAnAttemptDoesNotFollowAReleaseToWhereAnEarlierOneWas guards against a late answer to a withdrawn attempt that is taken for that of the next one,
// as a release of their call has both go out on the same connection.
func TestAnAttemptDoesNotFollowAReleaseToWhereAnEarlierOneWas(t *testing.T) {
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
		setUp := call.SetUp{ID: orderedID, Class: "c", Called: "k", Description: "x", Limit: time.Minute}
		other := setUp
		other.ID = otherID
		s.do(func() {
			s.calls[orderedID], s.calls[otherID] = &orderedCall{}, &orderedCall{}
			s.pool.SetUp("first", other)
			s.pool.SetUp("first", setUp)
		})
		s.do(func() { s.pool.Withdraw("first", orderedID, 0) })
		s.do(func() {
			c := s.first.all[0]
			c.flight = nil // the withdrawn attempt has no final answer yet
			s.first.finalAnswerOn(c, otherID, 486)
			c.deliver()
			s.pool.Release("first", orderedID, call.CauseNormal)
			setUp.Attempt = 1
			s.pool.SetUp("first", setUp)
			l := s.pool.servers["first"].links[0]
			if i := l.invites[orderedID]; !l.releases(orderedID) || i == nil || i.attempt != 0 {
				t.Errorf("the first connection has the release: %v, and the set-up %+v; want that of attempt 0", l.releases(orderedID), i)
			}
		})
	})
}
