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

// siteWithWithdrawnAttempt is a site on whose first connection an attempt was withdrawn, which has no final answer yet. Its loop runs until quit is called.
func siteWithWithdrawnAttempt(t *testing.T) (s *orderSite, core *releaseLog, quit func()) {
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
	s.do(func() { s.pool.CancelAttempt("first", orderedID, 0) })
	s.do(func() {
		c := s.first.all[0]
		c.flight = nil
		c.reports()
	})
	return s, core, quit
}

// siteWithEarlyRelease is a site with three connections: a release has come on the first one, where an attempt was withdrawn, of the call that stands
// by the next attempt on the second. Its loop runs until quit is called.
func siteWithEarlyRelease(t *testing.T) (s *orderSite, core *releaseLog, quit func()) {
	t.Helper()
	s, core, quit = siteWithWithdrawnAttempt(t)
	s.do(func() { s.pool.SetUp("first", attemptOf(orderedID, 1)) })
	time.Sleep(time.Second)
	s.do(func() { s.first.finalAnswer(orderedID, 200); s.first.all[1].deliver() })
	s.do(func() { s.pool.Reconnect("first") })
	time.Sleep(time.Second)
	s.do(s.releasedOnTheFirst)
	return s, core, quit
}

// releasedOnTheFirst has a release of the call come on the first connection.
func (s *orderSite) releasedOnTheFirst() {
	s.first.all[0].tell(byeOf(orderedID))
	s.first.all[0].deliver()
}

// connectionWithSetUp is the connection on which the call's set-up is open at its dispatcher.
func (s *orderSite) connectionWithSetUp(t *testing.T) *standInConnection {
	t.Helper()
	for _, c := range s.first.all[1:] {
		if _, ok := c.setUps[orderedID]; ok {
			return c
		}
	}
	t.Fatal("the set-up is on no connection")
	return nil
}

// TestAReleaseKeptForOneCloseEndsNothingByAnother guards against a call that is cut as it stands: a release of an earlier attempt was kept for the close of
// a connection on which the next attempt had not left yet, or was refused, and the call came to stand after that.
func TestAReleaseKeptForOneCloseEndsNothingByAnother(t *testing.T) {
	t.Parallel()
	const refused = 486
	isRefused := func(t *testing.T, s *orderSite) (on *standInConnection) {
		s.do(func() { s.pool.SetUp("first", attemptOf(orderedID, 1)) })
		s.do(s.releasedOnTheFirst)
		on = s.connectionWithSetUp(t)
		s.do(func() {
			s.first.finalAnswerOn(on, orderedID, refused)
			on.deliver()
			s.calls[otherID] = &orderedCall{}
			s.pool.SetUp("first", attemptOf(otherID, 0)) // on the same connection: the next attempt takes another one
		})
		s.do(func() { s.pool.SetUp("first", attemptOf(orderedID, 2)) })
		if s.connectionWithSetUp(t) == on {
			t.Fatal("the next attempt is on the same connection")
		}
		return on
	}
	for name, goesOn := range map[string]func(t *testing.T, s *orderSite) (closes *standInConnection){
		"the next attempt had not left": func(t *testing.T, s *orderSite) *standInConnection {
			s.do(func() {
				for _, c := range s.first.all[1:] {
					c.full = true
				}
				s.pool.SetUp("first", attemptOf(orderedID, 1))
			})
			s.do(s.releasedOnTheFirst)
			s.do(func() {
				for _, c := range s.first.all[1:] {
					c.flows()
				}
			})
			return s.connectionWithSetUp(t)
		},
		"the next attempt was refused": func(t *testing.T, s *orderSite) *standInConnection {
			isRefused(t, s)
			return s.connectionWithSetUp(t)
		},
		"the next attempt was refused, and its connection closes": isRefused,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, core, quit := siteWithWithdrawnAttempt(t)
				defer quit()
				for range 2 {
					s.do(func() { s.pool.Reconnect("first") })
					time.Sleep(time.Second)
				}
				closes, c := goesOn(t, s), s.connectionWithSetUp(t)
				s.do(func() {
					s.first.finalAnswerOn(c, orderedID, 200)
					c.deliver()
				})
				s.do(func() {
					closes.close()
					closes.deliver()
				})
				s.do(func() {
					if !slices.Equal(core.attempts, []int{0}) {
						t.Errorf("releases are those of the attempts %d, want 0 alone", core.attempts)
					}
				})
			})
		})
	}
}
