package call

import (
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
)

// newAmbiguousFixture returns a fixture with a call whose first attempt was reset, and whose second attempt at the same
// dispatcher is in progress when an end arrives on another connection. The steps follow.
func newAmbiguousFixture(t *testing.T, steps ...func(s *fixture, a SetUp)) *fixture {
	t.Helper()
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			s.core.Loop().After(time.Millisecond, func() { s.endAttempt(server, a, control.Reset) })
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
		s.updateList(control.Active, "a")
		_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	return s
}

// run runs the fixture's event loop for the given time.
func (s *fixture) run(d time.Duration) {
	s.core.Loop().After(d, s.core.Loop().Quit)
	s.core.Loop().Run()
}

// TestAmbiguousEndIsAttributedByItsConnection guards against an ambiguous end that is delivered to nobody, or delivered
// although it belongs to an earlier attempt. The messages on the connection of the attempt in progress decide that.
func TestAmbiguousEndIsAttributedByItsConnection(t *testing.T) {
	t.Parallel()
	answered := func(s *fixture, a SetUp) { s.answerAttempt("a", a) }
	replied := func(s *fixture, _ SetUp) { s.completePings(true) }
	connectionEnds := func(s *fixture, _ SetUp) { s.completePings(false) }
	again := func(s *fixture, a SetUp) { s.core.Released("a", a.ID, noAttempt, CauseNormal, nil) }
	firstReply := func(s *fixture, _ SetUp) { s.pings[0](true) }
	for name, test := range map[string]struct {
		steps         []func(s *fixture, a SetUp)
		terminations  int
		releases      int
		within, after time.Duration // of the delivery of the end
	}{
		"a reply, then the answer":                             {[]func(*fixture, SetUp){replied, answered}, 0, 0, 0, 0},
		"the answer, then a reply":                             {[]func(*fixture, SetUp){answered, replied}, 0, 0, 0, 0},
		"the answer, then the end of its connection":           {[]func(*fixture, SetUp){answered, connectionEnds}, 1, 1, 10 * time.Millisecond, 0},
		"the answer alone":                                     {[]func(*fixture, SetUp){answered}, 1, 1, time.Second, replyTimeout / 2},
		"another end, and a reply to the first probe":          {[]func(*fixture, SetUp){again, firstReply, answered}, 1, 1, time.Second, 0},
		"another end, and replies to both":                     {[]func(*fixture, SetUp){again, replied, answered}, 0, 0, 0, 0},
		"its own end after the answer":                         {[]func(*fixture, SetUp){answered, again, replied}, 1, 0, 10 * time.Millisecond, 0},
		"the end of its connection, and no answer before that": {[]func(*fixture, SetUp){connectionEnds}, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newAmbiguousFixture(t, test.steps...)
				started := time.Now()
				var deliveredAt time.Time
				s.core.Loop().After(guard, func() { started = time.Now() })
				var poll func()
				poll = func() {
					if s.terminations[callID] > 0 && deliveredAt.IsZero() {
						deliveredAt = time.Now()
					}
					s.core.Loop().After(time.Millisecond, poll)
				}
				poll()
				s.run(2 * time.Second)
				if s.terminations[callID] != test.terminations || s.releases != test.releases || s.rejections[callID] != 0 {
					t.Errorf("%d ends, %d releases, %d final answers; want %d, %d, 0", s.terminations[callID], s.releases,
						s.rejections[callID], test.terminations, test.releases)
				}
				if delay := deliveredAt.Sub(started); test.terminations > 0 && (delay > test.within+10*time.Millisecond || delay < test.after) {
					t.Errorf("the end is delivered after %v, want %v to %v", delay, test.after, test.within)
				}
			})
		})
	}
}

// TestAmbiguousEndAfterLateAnswerOfEarlierAttempt guards against an established call that is terminated by the end of
// an earlier attempt whose answer arrived late, when nothing arrives on the call's own connection.
func TestAmbiguousEndAfterLateAnswerOfEarlierAttempt(t *testing.T) {
	t.Parallel()
	for name, duringNext := range map[string]bool{"before the next attempt": false, "during the next attempt": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t)
				late := func(a SetUp) { s.core.Answered("a", a.ID, 0, "late") }
				s.onSetUp = func(server control.ServerID, a SetUp) {
					switch {
					case a.Attempt == 0:
						s.core.Loop().After(time.Millisecond, func() { s.endAttempt(server, a, control.Reset) })
						if !duringNext {
							s.core.Loop().After(2*time.Millisecond, func() { late(a) })
						}
						return
					case duringNext:
						late(a)
					}
					s.core.Released(server, a.ID, noAttempt, CauseNormal, nil)
					s.answerAttempt(server, a)
				}
				s.core.Loop().Post(func() {
					s.updateList(control.Active, "a")
					_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
				})
				s.run(2 * time.Second)
				if s.setUps != 2 || s.answers[callID] != 1 || s.terminations[callID] != 0 || len(s.pings) != 1 {
					t.Errorf("%d set-ups, %d answers, %d ends, %d probes; want 2, 1, 0, 1", s.setUps, s.answers[callID], s.terminations[callID], len(s.pings))
				}
				s.completePings(false)
				if s.terminations[callID] != 0 {
					t.Error("the end is delivered when the connection ends much later")
				}
			})
		})
	}
}

// TestAmbiguousEndIsDroppedWithItsAttempt guards against the end of an earlier attempt that terminates the call once a
// later attempt has established it.
func TestAmbiguousEndIsDroppedWithItsAttempt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newAmbiguousFixture(t, func(s *fixture, a SetUp) { s.endAttempt("a", a, control.Reset) })
		onSetUp := s.onSetUp
		s.onSetUp = func(server control.ServerID, a SetUp) {
			if onSetUp(server, a); a.Attempt == 2 {
				s.answerAttempt(server, a)
			}
		}
		s.run(3 * time.Second)
		if s.setUps != 3 || s.answers[callID] != 1 || s.terminations[callID] != 0 {
			t.Errorf("%d set-ups, %d answers, %d ends; want 3, 1, 0", s.setUps, s.answers[callID], s.terminations[callID])
		}
	})
}
