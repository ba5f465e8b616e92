package dispatchers

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
)

// TestAReleaseOfAnEarlierAttemptEndsNoLaterCall guards against a release of a withdrawn attempt that ends the call which stands by the next one at
// the same dispatcher, as a connection closes that the call is not on, or long after.
func TestAReleaseOfAnEarlierAttemptEndsNoLaterCall(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		closes int // the connection
		after  time.Duration
		ends   bool
	}{
		"the call's connection closes right after": {1, 0, true},
		"the call's connection closes later":       {1, 2 * closesWithin, false},
		"another connection closes":                {2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, core, quit := siteWithEarlyRelease(t)
				defer quit()
				time.Sleep(test.after)
				s.do(func() {
					c := s.first.all[test.closes]
					c.flight = nil
					c.close()
					c.deliver()
				})
				s.do(func() {
					want := []int{0}
					if test.ends {
						want = append(want, noAttempt)
					}
					if !slices.Equal(core.attempts, want) {
						t.Errorf("releases are those of the attempts %d, want %d", core.attempts, want)
					}
				})
			})
		})
	}
}

// siteWithEarlyRelease is a site with three connections: a release has come on the first one, where an attempt was withdrawn, of the call that stands
// by the next attempt on the second. Its loop runs until quit is called.
func siteWithEarlyRelease(t *testing.T) (s *orderSite, core *releaseLog, quit func()) {
	t.Helper()
	s = newOrderSite(t, orderStart{})
	core = &releaseLog{standings: standings{ends: ends{told: map[string]control.Outcome{}}, at: map[control.ServerID][]string{}}}
	s.pool.core = core
	quit = s.run()
	s.do(func() { s.list(control.Active, "first") })
	time.Sleep(time.Second)
	s.do(func() {
		s.calls[orderedID] = &orderedCall{}
		s.pool.SetUp("first", attemptOf(orderedID, 0))
	})
	s.do(func() { s.pool.Withdraw("first", orderedID, 0) })
	s.do(func() {
		c := s.first.all[0]
		c.flight = nil // the withdrawn attempt has no final answer yet
		c.reports()
		s.pool.SetUp("first", attemptOf(orderedID, 1))
	})
	time.Sleep(time.Second)
	s.do(func() { s.first.finalAnswer(orderedID, 200); s.first.all[1].deliver() })
	s.do(func() { s.pool.Renew("first") })
	time.Sleep(time.Second)
	s.do(func() {
		c := s.first.all[0]
		c.tell(byeOf(orderedID))
		c.deliver()
	})
	return s, core, quit
}
