package call

import (
	"testing"
	"testing/synctest"
	"time"

	"cherryrelay/control"
)

// newEstablishedFixture returns a fixture whose call is established by its second attempt, after the first one had the
// given outcome at the same dispatcher. Each step runs at its time after the answer.
func newEstablishedFixture(t *testing.T, first control.Outcome, steps map[time.Duration]func(s *fixture)) *fixture {
	t.Helper()
	s := newFixture(t)
	s.onSetUp = func(server control.ServerID, a SetUp) {
		if a.Attempt == 0 {
			s.core.Loop().After(time.Millisecond, func() { s.endAttempt(server, a, first) })
			return
		}
		s.answerAttempt(server, a)
		for after, step := range steps {
			s.core.Loop().After(after, func() { step(s) })
		}
	}
	s.core.Loop().Post(func() {
		s.updateList(control.Active, "a")
		_ = s.core.Offer(Request{ID: callID, Class: "c", Deadline: time.Now().Add(time.Minute), Caller: s, Description: "x"})
	})
	return s
}

// TestAnEndAfterTheAnswerOnAnotherConnection guards against an established call that is terminated by the end of an
// earlier attempt, read on another connection; and against the end of a call that is delivered late or to nobody
// because it may belong to an earlier attempt.
func TestAnEndAfterTheAnswerOnAnotherConnection(t *testing.T) {
	t.Parallel()
	onOther := func(s *fixture) { s.core.ReleasedOnOtherConnection("a", callID, CauseNormal, nil) }
	onOwn := func(s *fixture) { s.core.Released("a", callID, noAttempt, CauseNormal, nil) }
	replied := func(s *fixture) { s.completePings(true) }
	connectionEnds := func(s *fixture) { s.completePings(false) }
	const read, next, later, muchLater = 10 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 600 * time.Millisecond
	type steps = map[time.Duration]func(*fixture)
	for name, test := range map[string]struct {
		first        control.Outcome
		steps        steps
		terminations int
		releases     int
		unreplied    int           // probes without a reply
		from, within time.Duration // of the delivery of the end, after the answer
	}{
		"a reply":                                    {control.Reset, steps{read: onOther, next: replied}, 0, 0, 0, 0, 0},
		"a reply, then its own end":                  {control.Reset, steps{read: onOther, next: replied, later: onOwn}, 1, 0, 0, later, later},
		"its own end before the reply":               {control.Reset, steps{read: onOther, next: onOwn, later: replied}, 1, 0, 0, next, next},
		"the end of its connection":                  {control.Reset, steps{read: onOther, next: connectionEnds}, 1, 1, 0, next, next},
		"no reply":                                   {control.Reset, steps{read: onOther}, 1, 1, 1, replyTimeout, time.Second},
		"no reply to a repeated end":                 {control.Reset, steps{read: onOther, muchLater: onOther}, 1, 1, 2, replyTimeout, time.Second},
		"the earlier attempt was refused":            {control.Failed, steps{read: onOther}, 1, 0, 0, read, read},
		"an end on the connection of its answer":     {control.Reset, steps{read: onOwn}, 1, 0, 0, read, read},
		"another end, and a reply to its probe":      {control.Reset, steps{read: onOther, next: onOther, later: replied}, 0, 0, 0, 0, 0},
		"another end, and the end of its connection": {control.Reset, steps{read: onOther, next: onOther, later: connectionEnds}, 1, 1, 0, later, later},
		"an end of the same id from another dispatcher": {control.Reset, steps{read: func(s *fixture) {
			s.core.ReleasedOnOtherConnection("b", callID, CauseNormal, nil)
		}}, 0, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newEstablishedFixture(t, test.first, test.steps)
				answeredAt, deliveredAt := time.Time{}, time.Time{}
				var poll func()
				poll = func() {
					if answeredAt.IsZero() && s.answers[callID] > 0 {
						answeredAt = time.Now()
					}
					if deliveredAt.IsZero() && s.terminations[callID] > 0 {
						deliveredAt = time.Now()
					}
					s.core.Loop().After(time.Millisecond, poll)
				}
				poll()
				s.run(3 * time.Second)
				if s.answers[callID] != 1 || s.rejections[callID] != 0 || s.terminations[callID] != test.terminations ||
					s.releases != test.releases || len(s.pings) != test.unreplied {
					t.Errorf("%d answers, %d final answers, %d ends, %d releases, %d probes without a reply; want 1, 0, %d, %d, %d",
						s.answers[callID], s.rejections[callID], s.terminations[callID], s.releases, len(s.pings), test.terminations, test.releases, test.unreplied)
				}
				const slack = 2 * time.Millisecond
				if delay := deliveredAt.Sub(answeredAt); test.terminations > 0 && (delay < test.from-slack || delay > test.within+slack) {
					t.Errorf("the end is delivered %v after the answer, want %v to %v", delay, test.from, test.within)
				}
			})
		})
	}
}

// TestAnEndOfAnUnknownCallOnAnotherConnection guards against an entry that is kept for a call that is not established.
func TestAnEndOfAnUnknownCallOnAnotherConnection(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	stillEstablished := true
	s.core.Loop().Post(func() {
		stillEstablished = s.core.ReleasedOnOtherConnection("a", callID, CauseNormal, nil)
		s.core.Loop().Quit()
	})
	s.core.Loop().Run()
	if stillEstablished {
		t.Error("an unknown call is reported as established")
	}
}
