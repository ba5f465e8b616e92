package trial

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherryrelay/internal/membership"
)

// TestCallCheckerFindsEachViolation checks that a violation of each rule for calls is found, and that correct sequences pass.
func TestCallCheckerFindsEachViolation(t *testing.T) {
	const guard, deadline = 500 * time.Millisecond, 9 * time.Second
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name string
		run  func(cc *CallChecker)
		want string // part of the violation; empty for none
	}{
		{"a call that is refused, fails, is answered and ends", func(cc *CallChecker) {
			cc.CallPlaced("a", at(0))
			cc.SetUpReceived("a", "s1", at(1))
			cc.AttemptRefused("a", "s1")
			cc.SetUpReceived("a", "s2", at(2))
			cc.AttemptAborted("a", "s2", at(10))
			cc.SetUpReceived("a", "s1", at(511))
			cc.AttemptAnswered("a", "s1")
			cc.MessageReceived("a", "answer", Description("a"), 0, at(520))
			cc.CallEnded("a", "s1", 16)
			cc.MessageReceived("a", "release", "", 16, at(600))
			cc.MessageReceived("a", "release", "", 16, at(601)) // a repeated notification
		}, ""},
		{"two attempts in progress", func(cc *CallChecker) { cc.SetUpReceived("a", "s1", at(0)); cc.SetUpReceived("a", "s2", at(1)) },
			"a second attempt at s2 while one is in progress at s1"},
		{"an attempt while the call is established", func(cc *CallChecker) {
			cc.SetUpReceived("a", "s1", at(0))
			cc.AttemptAnswered("a", "s1")
			cc.SetUpReceived("a", "s2", at(1))
		}, "while the call is established at s1"},
		{"an attempt after the answer and the end", func(cc *CallChecker) {
			cc.CallPlaced("a", at(0))
			cc.SetUpReceived("a", "s1", at(0))
			cc.AttemptAnswered("a", "s1")
			cc.MessageReceived("a", "answer", Description("a"), 0, at(1))
			cc.CallEnded("a", "s1", 16)
			cc.SetUpReceived("a", "s2", at(2))
		}, "after its caller was answered"},
		{"an attempt after an answer and an end that the caller did not receive", func(cc *CallChecker) {
			cc.CallPlaced("a", at(0))
			cc.SetUpReceived("a", "s1", at(0))
			cc.AttemptAnswered("a", "s1")
			cc.CallEnded("a", "s1", 16)
			cc.SetUpReceived("a", "s2", at(600))
		}, ""},
		{"an attempt inside the guard", func(cc *CallChecker) {
			cc.SetUpReceived("a", "s1", at(0))
			cc.AttemptAborted("a", "s1", at(100))
			cc.SetUpReceived("a", "s1", at(590))
		}, "sent again 490ms after"},
		{"two answers", func(cc *CallChecker) {
			cc.CallPlaced("a", at(0))
			cc.MessageReceived("a", "answer", Description("a"), 0, at(1))
			cc.MessageReceived("a", "answer", Description("a"), 0, at(2))
		}, "answered twice"},
		{"an answer that no dispatcher sent", func(cc *CallChecker) {
			cc.CallPlaced("a", at(0))
			cc.MessageReceived("a", "answer", "z", 0, at(1))
		}, "no dispatcher gave"},
		{"a late answer", func(cc *CallChecker) {
			cc.CallPlaced("a", at(0))
			cc.MessageReceived("a", "answer", Description("a"), 0, at(9001))
		}, "answered after 9.001s"},
		{"a late refusal", func(cc *CallChecker) {
			cc.CallPlaced("a", at(0))
			cc.MessageReceived("a", "release", "", 34, at(9001))
		}, "final answer after 9.001s"},
		{"a message for an unknown call", func(cc *CallChecker) { cc.MessageReceived("b", "answer", "y", 0, at(0)) }, "nobody has placed"},
	} {
		cc := NewCallChecker(guard, deadline)
		test.run(cc)
		violations, _, _ := cc.Results()
		if text := strings.Join(violations, "; "); (text == "") != (test.want == "") || !strings.Contains(text, test.want) {
			t.Errorf("%s: found %q, want %q", test.name, text, test.want)
		}
	}
	cc := NewCallChecker(guard, deadline)
	cc.CallPlaced("a", at(0))
	cc.SetUpReceived("a", "s1", at(1))
	if unanswered, _ := cc.Unfinished(); len(unanswered) != 1 || len(cc.Remaining()) != 1 {
		t.Errorf("a pending call: unanswered %v, remaining %v", unanswered, cc.Remaining())
	}
	cc.AttemptAnswered("a", "s1")
	cc.MessageReceived("a", "answer", Description("a"), 0, at(2))
	if unanswered, unnotified := cc.Unfinished(); len(unanswered) != 0 || len(unnotified) != 1 {
		t.Errorf("an established call: unanswered %v, not notified %v", unanswered, unnotified)
	}
}

// TestCallCheckerFindsLateEnds checks that a violation of each deadline for the end of an established call is found, and that ends in time
// pass.
func TestCallCheckerFindsLateEnds(t *testing.T) {
	start := time.Now()
	establish := func(cc *CallChecker) {
		cc.CallPlaced("a", start)
		cc.SetUpReceived("a", "s1", start)
		cc.AttemptAnswered("a", "s1")
		cc.MessageReceived("a", "answer", Description("a"), 0, start)
	}
	endCall := func(cc *CallChecker) time.Time { cc.CallEnded("a", "s1", 16); return cc.EndedAt("a") }
	const afterRelease, afterEnd = MaxDelayAfterRelease + SocketSlack, MaxDelayAfterEnd + SocketSlack
	for _, test := range []struct {
		name     string
		run      func(cc *CallChecker) (now time.Time)
		wantLate time.Duration
		noEnds   bool // the call is left out
	}{
		{"notified in time after the release", func(cc *CallChecker) time.Time {
			at := endCall(cc)
			cc.ReleaseSent("a", "s1", at)
			cc.MessageReceived("a", "release", "", 16, at.Add(afterRelease))
			return at.Add(time.Hour)
		}, 0, false},
		{"notified late after the release", func(cc *CallChecker) time.Time {
			at := endCall(cc)
			cc.ReleaseSent("a", "s1", at)
			cc.MessageReceived("a", "release", "", 16, at.Add(afterRelease+time.Millisecond))
			return at.Add(time.Hour)
		}, time.Millisecond, false},
		{"released twice and notified late after the first release", func(cc *CallChecker) time.Time {
			at := endCall(cc)
			cc.ReleaseSent("a", "s1", at)
			cc.ReleaseSent("a", "s1", at.Add(time.Second))
			cc.MessageReceived("a", "release", "", 16, at.Add(2*time.Second))
			return at.Add(time.Hour)
		}, 2*time.Second - afterRelease, false},
		{"never notified", func(cc *CallChecker) time.Time {
			at := endCall(cc)
			cc.ReleaseSent("a", "s1", at)
			return at.Add(afterRelease + time.Minute)
		}, time.Minute, false},
		{"no release could be sent, and notified in time", func(cc *CallChecker) time.Time {
			at := endCall(cc)
			cc.MessageReceived("a", "release", "", 41, at.Add(afterEnd))
			return at.Add(time.Hour)
		}, 0, false},
		{"no release could be sent, and notified late", func(cc *CallChecker) time.Time {
			at := endCall(cc)
			cc.MessageReceived("a", "release", "", 41, at.Add(afterEnd+time.Millisecond))
			return at.Add(time.Hour)
		}, time.Millisecond, false},
		{"released long after the end, and notified within a second of the release", func(cc *CallChecker) time.Time {
			at := endCall(cc)
			cc.ReleaseSent("a", "s1", at.Add(7500*time.Millisecond))
			cc.MessageReceived("a", "release", "", 16, at.Add(afterEnd+time.Millisecond))
			return at.Add(time.Hour)
		}, time.Millisecond, false},
		{"released by its controller, which never notifies the caller", func(cc *CallChecker) time.Time {
			cc.ReleasedByController("a", "s1")
			return time.Now().Add(time.Hour)
		}, time.Hour - afterRelease, false},
		{"ended by its caller", func(cc *CallChecker) time.Time {
			cc.CallerFinished("a", start)
			cc.ReleasedByController("a", "s1")
			return start.Add(time.Hour)
		}, 0, true},
	} {
		cc := NewCallChecker(500*time.Millisecond, 9*time.Second)
		establish(cc)
		now := test.run(cc)
		ends := cc.Ends()
		if test.noEnds {
			if len(ends) != 0 {
				t.Errorf("%s: unexpected ends %+v", test.name, ends)
			}
			continue
		}
		if len(ends) != 1 {
			t.Errorf("%s: %d ends, want 1", test.name, len(ends))
			continue
		}
		if late := max(ends[0].Lateness(now), 0); late < test.wantLate-time.Second/100 || late > test.wantLate+time.Second/100 ||
			(late > 0) != (test.wantLate > 0) {
			t.Errorf("%s: late by %v, want %v", test.name, late, test.wantLate)
		}
	}
}

// TestFleetChecker checks that a lease of an ended incarnation and two leases of one name are found, and that correct sequences pass.
func TestFleetChecker(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	holder := func(name string, incarnation, left int64) membership.Status {
		return membership.Status{Name: name, Incarnation: incarnation, HoldsLease: true, LeaseRemainingMs: left, StoreID: 1}
	}
	gone := membership.Status{Name: "n2", Gone: []membership.MemberStatus{{Name: "n1", Incarnation: 5, StoreID: 1}}}
	for _, test := range []struct {
		name string
		run  func(f *FleetChecker)
		want string
	}{
		{"an ended incarnation and the lease of its successor", func(f *FleetChecker) {
			f.AddSample("p1", at(0), at(1), holder("n1", 5, 10))
			f.AddSample("p2", at(20), at(21), gone)
			f.AddSample("p1", at(30), at(31), holder("n1", 9, 10))
		}, ""},
		{"a lease in a request before the report of the end", func(f *FleetChecker) {
			f.AddSample("p2", at(20), at(21), gone)
			f.AddSample("p1", at(19), at(25), holder("n1", 5, 10))
		}, ""},
		{"the same incarnation number in another store", func(f *FleetChecker) {
			f.AddSample("p2", at(20), at(21), gone)
			s := holder("n1", 5, 10)
			s.StoreID = 2
			f.AddSample("p1", at(30), at(31), s)
		}, ""},
		{"a lease after the report of the end", func(f *FleetChecker) {
			f.AddSample("p2", at(20), at(21), gone)
			f.AddSample("p1", at(30), at(31), holder("n1", 5, 10))
		}, "9ms after p2 reported its end"},
		{"two leases at once", func(f *FleetChecker) {
			f.AddSample("p1", at(0), at(1), holder("n1", 5, 100))
			f.AddSample("p2", at(50), at(51), holder("n1", 6, 100))
		}, "while p1 holds it as 5 for another 50ms"},
	} {
		var f FleetChecker
		test.run(&f)
		violations, samples := f.Violations()
		if text := strings.Join(violations, "; "); (text == "") != (test.want == "") || !strings.Contains(text, test.want) || samples == 0 {
			t.Errorf("%s: found %q, want %q", test.name, text, test.want)
		}
	}
}

// TestViolationIncludesCallHistory guards against reports of violations that do not show what happened to the call before.
func TestViolationIncludesCallHistory(t *testing.T) {
	cc := NewCallChecker(500*time.Millisecond, 9*time.Second)
	start := time.Now()
	cc.CallPlaced("a", start)
	cc.SetUpReceived("a", "s1", start.Add(3*time.Millisecond))
	cc.AttemptAborted("a", "s1", start.Add(20*time.Millisecond))
	cc.MessageReceived("a", "release", "failed", 41, start.Add(9500*time.Millisecond))
	violations, _, _ := cc.Results()
	const want = "a has its final answer after 9.5s; 0 ms placed, 3 ms set up at s1, 20 ms aborted at s1, 9500 ms heard release 41 failed"
	if len(violations) != 1 || violations[0] != want {
		t.Errorf("got %q, want %q", violations, want)
	}
}

// TestCallHistoryIsBounded guards against histories that grow with the retries of a call. The first and the last entries are kept.
func TestCallHistoryIsBounded(t *testing.T) {
	var history callHistory
	for i := range 10 * maxHistory {
		history.add(time.Time{}, fmt.Sprint("entry ", i), "")
	}
	if len(history) != maxHistory || history[0].text != "entry 0" || history[maxHistory-1].text != fmt.Sprint("entry ", 10*maxHistory-1) {
		t.Errorf("%d entries are kept, from %q to %q", len(history), history[0].text, history[len(history)-1].text)
	}
}
