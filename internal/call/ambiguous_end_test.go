package call

import (
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
)

// ambiguousSite is a site whose call was tried at a dispatcher, reset, and is out there again as an end comes on another connection. The steps follow.
func ambiguousSite(t *testing.T, steps ...func(s *site, a SetUp)) *site {
	t.Helper()
	s := newSite(t)
	s.react = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			s.core.Loop().After(time.Millisecond, func() { s.ended(server, a, control.Reset) })
			return
		}
		if a.Attempt > 1 {
			return
		}
		s.core.Released(server, a.ID, noAttempt, CauseNormal, nil)
		for _, step := range steps {
			s.core.Loop().Post(func() { step(s, a) })
		}
	}
	s.core.Loop().Post(func() {
		s.list(control.Active, "a")
		_ = s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	return s
}

// run plays the site for a time.
func (s *site) run(d time.Duration) {
	s.core.Loop().After(d, s.core.Loop().Quit)
	s.core.Loop().Run()
}

// TestWhatTellsWhoseAnAmbiguousEndIs guards against an end that is told to nobody, or told though it is an earlier attempt's, by what comes on the
// connection of the attempt that is out.
func TestWhatTellsWhoseAnAmbiguousEndIs(t *testing.T) {
	t.Parallel()
	answered := func(s *site, a SetUp) { s.answered("a", a) }
	replied := func(s *site, _ SetUp) { s.pinged(true) }
	connectionEnds := func(s *site, _ SetUp) { s.pinged(false) }
	again := func(s *site, a SetUp) { s.core.Released("a", a.ID, noAttempt, CauseNormal, nil) }
	firstReply := func(s *site, _ SetUp) { s.pings[0](true) }
	for name, test := range map[string]struct {
		steps         []func(s *site, a SetUp)
		overs         int
		releases      int
		within, after time.Duration // of the end that is told
	}{
		"a reply, then the answer":                               {[]func(*site, SetUp){replied, answered}, 0, 0, 0, 0},
		"the answer, then a reply":                               {[]func(*site, SetUp){answered, replied}, 0, 0, 0, 0},
		"the answer, then the end of its connection":             {[]func(*site, SetUp){answered, connectionEnds}, 1, 1, 10 * time.Millisecond, 0},
		"the answer alone":                                       {[]func(*site, SetUp){answered}, 1, 1, time.Second, repliedWithin / 2},
		"another end, and a reply to the first probe":            {[]func(*site, SetUp){again, firstReply, answered}, 1, 1, time.Second, 0},
		"another end, and replies to both":                       {[]func(*site, SetUp){again, replied, answered}, 0, 0, 0, 0},
		"its own end behind the answer":                          {[]func(*site, SetUp){answered, again, replied}, 1, 0, 10 * time.Millisecond, 0},
		"the end of its connection, and no answer ahead of that": {[]func(*site, SetUp){connectionEnds}, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := ambiguousSite(t, test.steps...)
				begun := time.Now()
				var toldAt time.Time
				s.core.Loop().After(guard, func() { begun = time.Now() })
				var look func()
				look = func() {
					if s.overs[overtakenID] > 0 && toldAt.IsZero() {
						toldAt = time.Now()
					}
					s.core.Loop().After(time.Millisecond, look)
				}
				look()
				s.run(2 * time.Second)
				if s.overs[overtakenID] != test.overs || s.releases != test.releases || s.finals[overtakenID] != 0 {
					t.Errorf("%d ends, %d releases, %d final answers; want %d, %d, 0", s.overs[overtakenID], s.releases, s.finals[overtakenID], test.overs, test.releases)
				}
				if told := toldAt.Sub(begun); test.overs > 0 && (told > test.within+10*time.Millisecond || told < test.after) {
					t.Errorf("the end is told after %v, want %v to %v", told, test.after, test.within)
				}
			})
		})
	}
}

// TestAnAmbiguousEndWhereAnEarlierAttemptIsKnownToHaveStood guards against a call that is cut, as nothing comes on its connection, by the end of an
// earlier attempt whose answer came late.
func TestAnAmbiguousEndWhereAnEarlierAttemptIsKnownToHaveStood(t *testing.T) {
	t.Parallel()
	for name, beside := range map[string]bool{"before the next attempt": false, "beside the next attempt": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				late := func(a SetUp) { s.core.Answered("a", a.ID, 0, "late") }
				s.react = func(server control.ServerID, a SetUp) {
					switch {
					case a.Attempt == 0:
						s.core.Loop().After(time.Millisecond, func() { s.ended(server, a, control.Reset) })
						if !beside {
							s.core.Loop().After(2*time.Millisecond, func() { late(a) })
						}
						return
					case beside:
						late(a)
					}
					s.core.Released(server, a.ID, noAttempt, CauseNormal, nil)
					s.answered(server, a)
				}
				s.core.Loop().Post(func() {
					s.list(control.Active, "a")
					_ = s.core.Offer(Request{ID: overtakenID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
				})
				s.run(2 * time.Second)
				if s.setUps != 2 || s.answers[overtakenID] != 1 || s.overs[overtakenID] != 0 || len(s.pings) != 1 {
					t.Errorf("%d set-ups, %d answers, %d ends, %d probes; want 2, 1, 0, 1", s.setUps, s.answers[overtakenID], s.overs[overtakenID], len(s.pings))
				}
				s.pinged(false)
				if s.overs[overtakenID] != 0 {
					t.Error("the end is told as the connection ends much later")
				}
			})
		})
	}
}

// TestAnAmbiguousEndIsForgottenWithItsAttempt guards against an end of an earlier attempt that ends the call as it stands by a later one.
func TestAnAmbiguousEndIsForgottenWithItsAttempt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := ambiguousSite(t, func(s *site, a SetUp) { s.ended("a", a, control.Reset) })
		react := s.react
		s.react = func(server control.ServerID, a SetUp) {
			if react(server, a); a.Attempt == 2 {
				s.answered(server, a)
			}
		}
		s.run(3 * time.Second)
		if s.setUps != 3 || s.answers[overtakenID] != 1 || s.overs[overtakenID] != 0 {
			t.Errorf("%d set-ups, %d answers, %d ends; want 3, 1, 0", s.setUps, s.answers[overtakenID], s.overs[overtakenID])
		}
	})
}
