package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// clock is some time of the Unix clock.
const clock = 1_790_000_000 * time.Second

const ms = time.Millisecond

var rules = Rules{Guard: 500 * ms, MaxAttempts: 5}

func took(id string, at, left time.Duration) Event {
	return Event{Kind: KindAccepted, ID: id, AtUs: at.Microseconds(), DeadlineUs: (at + left).Microseconds(), Class: "c", Description: "x", Token: HashToken("a token of a caller")}
}

func at(kind Kind, id string, t time.Duration, fill ...func(*Event)) Event {
	e := Event{Kind: kind, ID: id, AtUs: t.Microseconds()}
	if kind == KindAttemptSent || kind == KindAttemptFailed || kind == KindEstablished {
		e.Server, e.Address = "s", "127.0.0.1:1"
	}
	for _, f := range fill {
		f(&e)
	}
	return e
}

func attempt(n int) func(*Event) { return func(e *Event) { e.Attempt = n } }
func notBefore(t time.Duration) func(*Event) {
	return func(e *Event) { e.NotBeforeUs = t.Microseconds() }
}
func cause(c int, reason string) func(*Event) {
	return func(e *Event) { e.Cause, e.Reason = c, reason }
}
func answer(text string) func(*Event) { return func(e *Event) { e.Description = text } }
func anonymous(e Event) Event         { e.Token = nil; return e }

func TestPlan(t *testing.T) {
	const back = clock + 10*time.Second // the return; the process was last known to be alive at clock+9 s
	alive := at(KindCancelled, "other", clock+9*time.Second)
	for name, test := range map[string]struct {
		events []Event
		gap    int // before which event something is missing; 0 for nothing
		act    Action
		why    string
		check  func(d Decision) bool
	}{
		"held": {[]Event{took("a", clock+8*time.Second, 9*time.Second)}, 0, AwaitResume, "open, held",
			func(d Decision) bool {
				return d.TimeLeft == 7*time.Second && d.NotBefore == back+rules.Guard && d.MustRelease && d.ResumeDeadline == back+PendingResumeTimeout
			}},
		"an attempt out": {[]Event{took("a", clock+8*time.Second, 9*time.Second), at(KindAttemptSent, "a", clock+8*time.Second)}, 0, AwaitResume, "open, with an attempt out",
			func(d Decision) bool { return d.NotBefore == back+rules.Guard && d.MustRelease && d.Attempts == 1 }},
		"in the wait after a time-out": {[]Event{took("a", clock+8*time.Second, 9*time.Second), at(KindAttemptSent, "a", clock+8*time.Second),
			at(KindAttemptFailed, "a", clock+9*time.Second, notBefore(clock+9500*ms))}, 0, AwaitResume, "open, held",
			func(d Decision) bool { return d.NotBefore == back+rules.Guard && d.MustRelease }},
		"little time left": {[]Event{took("a", clock+9*time.Second, 2*time.Second)}, 0, AwaitResume, "open, held",
			func(d Decision) bool { return d.ResumeDeadline == back+time.Second }},
		"its time ran out": {[]Event{took("a", clock, 9*time.Second)}, 0, FailCall, "its time ran out", nil},
		"answered and told": {[]Event{took("a", clock, 9*time.Second), at(KindAttemptSent, "a", clock), at(KindEstablished, "a", clock+time.Second, answer("y"))}, 0, AdoptCall, "stands",
			func(d Decision) bool { return d.ResumeDeadline == 0 && d.Answer == "y" }},
		"answered, perhaps not told": {[]Event{took("a", clock, 9*time.Second), at(KindAttemptSent, "a", clock), at(KindEstablished, "a", clock+8500*ms)}, 0, AdoptCall, "stands, perhaps not told",
			func(d Decision) bool { return d.ResumeDeadline == back+EstablishedResumeTimeout }},
		"answered, and nobody can claim it": {[]Event{anonymous(took("a", clock, 9*time.Second)), at(KindAttemptSent, "a", clock), at(KindEstablished, "a", clock+8500*ms)}, 0, AdoptCall, "stands",
			func(d Decision) bool { return d.ResumeDeadline == 0 }},
		"ended, perhaps not told": {[]Event{took("a", clock, 9*time.Second), at(KindAttemptSent, "a", clock), at(KindEstablished, "a", clock), at(KindTerminated, "a", clock+8500*ms, cause(16, "ended"))}, 0, NotifyCaller, "ended, perhaps not told",
			func(d Decision) bool { return d.Cause == 16 && d.Reason == "ended" }},
		"ended long ago": {[]Event{took("a", clock, 9*time.Second), at(KindAttemptSent, "a", clock), at(KindEstablished, "a", clock), at(KindTerminated, "a", clock+time.Second, cause(16, "ended"))}, 0, RepeatOutcome, "over", nil},
		"refused": {[]Event{took("a", clock, 9*time.Second), at(KindRejected, "a", clock+8*time.Second, cause(42, "refused"))}, 0, RepeatOutcome, "over",
			func(d Decision) bool { return d.Cause == 42 && !d.MustRelease }},
		"open, and something was lost":   {[]Event{took("a", clock+8*time.Second, 9*time.Second), alive}, 1, ReleaseCall, "something of it was lost", func(d Decision) bool { return d.MustRelease }},
		"stands, and something was lost": {[]Event{took("a", clock, 9*time.Second), at(KindAttemptSent, "a", clock), at(KindEstablished, "a", clock), alive}, 3, ReleaseCall, "something of it was lost", nil},
		"ended, and something was lost":  {[]Event{took("a", clock, 9*time.Second), at(KindRejected, "a", clock+8*time.Second), alive}, 2, RepeatOutcome, "over", nil},
		"its beginning is lost":          {[]Event{at(KindEstablished, "a", clock)}, 0, ReleaseCall, "something of it was lost", nil},
		"only its end is known":          {[]Event{at(KindTerminated, "a", clock, cause(41, "cut"))}, 0, RepeatOutcome, "over", nil},
		"an attempt is missing":          {[]Event{took("a", clock+8*time.Second, 9*time.Second), at(KindAttemptSent, "a", clock+8*time.Second, attempt(1))}, 0, ReleaseCall, "something of it was lost", nil},
		"two attempts out":               {[]Event{took("a", clock+8*time.Second, 9*time.Second), at(KindAttemptSent, "a", clock), at(KindAttemptSent, "a", clock, attempt(1))}, 0, ReleaseCall, "something of it was lost", nil},
		"taken twice":                    {[]Event{took("a", clock+8*time.Second, 9*time.Second), took("a", clock+8*time.Second, 9*time.Second)}, 0, ReleaseCall, "something of it was lost", nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewCallTable()
			for i, e := range test.events {
				if test.gap > 0 && i == test.gap {
					b.MarkGap()
				}
				b.Apply(e)
			}
			b.Apply(alive)
			for _, d := range b.Plan(back, rules) {
				if d.ID != "a" {
					continue
				}
				if d.Action != test.act || d.Why != test.why || test.check != nil && !test.check(d) {
					t.Errorf("%s because %q: %+v", d.Action, d.Why, d)
				}
			}
		})
	}
}

func TestEarlierAttemptsCount(t *testing.T) {
	b := NewCallTable()
	b.Apply(took("a", clock, 9*time.Second))
	for n := range rules.MaxAttempts {
		if d := b.Plan(clock+time.Second, rules)[0]; d.Action != AwaitResume || d.Attempts != n {
			t.Errorf("after %d: %s, %d", n, d.Action, d.Attempts)
		}
		b.Apply(at(KindAttemptSent, "a", clock, attempt(n)))
		b.Apply(at(KindAttemptFailed, "a", clock, attempt(n)))
	}
	if d := b.Plan(clock+time.Second, rules)[0]; d.Action != FailCall || d.Why != "no attempt is left" || !d.MustRelease {
		t.Errorf("after all: %s because %s", d.Action, d.Why)
	}
}

// TestClockChange while nobody served stretches neither a deadline nor a guard.
func TestClockChange(t *testing.T) {
	for _, shift := range []time.Duration{-time.Hour, -time.Second, 0, time.Second, time.Hour} {
		b := NewCallTable()
		b.Apply(took("a", clock, 9*time.Second))
		b.Apply(at(KindAttemptSent, "a", clock+time.Second))
		b.Apply(at(KindAttemptFailed, "a", clock+2*time.Second, notBefore(clock+2500*ms)))
		now := clock + 3*time.Second + shift
		d := b.Plan(now, rules)[0]
		if d.Action == AwaitResume && (d.TimeLeft > 7*time.Second || d.NotBefore > now+rules.Guard || d.NotBefore < now+rules.Guard) {
			t.Errorf("set by %v: %v left, not before %v", shift, d.TimeLeft, d.NotBefore-now)
		}
		if shift == time.Hour && d.Action != FailCall {
			t.Errorf("set forth by an hour: %s", d.Action)
		}
	}
}

func TestStands(t *testing.T) {
	c := &Call{Server: "s", Address: "127.0.0.1:1", ServerStarted: clock, LastEventAt: clock + time.Minute}
	for _, test := range []struct {
		place ListEntry
		why   string
	}{
		{ListEntry{"127.0.0.1:1", clock, true}, ""},
		{ListEntry{"127.0.0.1:1", clock - time.Hour, true}, ""},
		{ListEntry{"127.0.0.1:1", clock + time.Second, true}, ""}, // told late: the call stood there after that start
		{ListEntry{"127.0.0.1:1", clock, false}, "its dispatcher is off the list"},
		{ListEntry{"127.0.0.1:2", clock, true}, "its dispatcher is at another address"},
		{ListEntry{"127.0.0.1:1", clock + 2*time.Minute, true}, "its dispatcher has started anew"},
	} {
		if ok, why := c.MayStillBeEstablished(test.place); why != test.why || ok != (why == "") {
			t.Errorf("%+v: %v, %q, want %q", test.place, ok, why, test.why)
		}
	}
}

func TestTokens(t *testing.T) {
	token := strings.Repeat("t", MinTokenLength)
	for _, test := range []struct {
		token string
		hash  []byte
		want  bool
	}{
		{token, HashToken(token), true}, {token + "x", HashToken(token), false}, {"", nil, false}, {"", HashToken(""), false}, {token, nil, false},
		{"short", HashToken("short"), false}, {strings.Repeat("t", MaxTokenLength+1), HashToken(strings.Repeat("t", MaxTokenLength+1)), false},
	} {
		if got := TokenMatches(test.token, test.hash); got != test.want {
			t.Errorf("%q: %v", test.token, got)
		}
	}
}

func TestEncoding(t *testing.T) {
	e := at(KindAttemptFailed, "00000000000000aa", clock, attempt(3), notBefore(clock+time.Second))
	text, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text)
	if diff := cmp.Diff(e, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	for name, bad := range map[string]Event{"no kind": {ID: "a"}, "a kind to come": {Kind: KindCancelled + 1, ID: "a"}, "no id": {Kind: KindAccepted},
		"a long id": {Kind: KindAccepted, ID: strings.Repeat("a", 65)}, "below zero": {Kind: KindAccepted, ID: "a", Attempt: -1}} {
		text, err := bad.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(text); err == nil {
			t.Errorf("%s is read", name)
		}
	}
}

// life draws what may happen to calls, in an order that a controller would note.
func life(t *rapid.T) []Event {
	var all []Event
	now := clock
	type call struct {
		open, stands, out bool
		attempts          int
	}
	calls := map[string]*call{}
	for i := range rapid.IntRange(1, 40).Draw(t, "events") {
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
		id := fmt.Sprint("c", rapid.IntRange(0, 5).Draw(t, "call"))
		c := calls[id]
		if c == nil {
			calls[id] = &call{open: true}
			e := took(id, now, time.Duration(rapid.IntRange(100, 9000).Draw(t, "left"))*ms)
			if rapid.Bool().Draw(t, "anonymous") {
				e = anonymous(e)
			}
			all = append(all, e)
			continue
		}
		switch {
		case c.open && !c.out && rapid.Bool().Draw(t, "send"):
			all = append(all, at(KindAttemptSent, id, now, attempt(c.attempts)))
			c.out = true
			c.attempts++
		case c.open && c.out && rapid.Bool().Draw(t, "stands"):
			all = append(all, at(KindEstablished, id, now, attempt(c.attempts-1), answer(fmt.Sprint("y", i))))
			c.open, c.out, c.stands = false, false, true
		case c.open && c.out && rapid.Bool().Draw(t, "back"):
			all = append(all, at(KindAttemptFailed, id, now, attempt(c.attempts-1), notBefore(now+rules.Guard)))
			c.out = false
		case c.open && !c.out && rapid.Bool().Draw(t, "final"):
			all = append(all, at(KindRejected, id, now, cause(42, "refused")))
			c.open = false
		case c.stands && rapid.Bool().Draw(t, "over"):
			all = append(all, at(KindTerminated, id, now, cause(16, "ended")))
			c.stands = false
		}
	}
	return all
}

// TestReplayOfAnyPrefix: after any prefix of what happened, no rule is broken by what is planned; and a log that is compacted
// anywhere means the same.
func TestReplayOfAnyPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := life(t)
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		b := NewCallTable()
		attempts, lastAt, ended, stood := map[string]int{}, clock, map[string]bool{}, map[string]bool{}
		var records [][]byte
		for _, e := range all[:cut] {
			b.Apply(e)
			text, err := e.Encode()
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, text)
			lastAt = max(lastAt, microseconds(e.AtUs))
			switch e.Kind {
			case KindAttemptSent:
				attempts[e.ID]++
			case KindEstablished:
				stood[e.ID] = true
			case KindRejected, KindTerminated:
				ended[e.ID] = true
			}
		}
		now := lastAt + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "down"))*ms
		if b.UnexpectedEvents() > 0 {
			t.Fatalf("%d events do not fit", b.UnexpectedEvents())
		}
		plan := b.Plan(now, rules)
		for _, d := range plan {
			switch {
			case d.Action == ReleaseCall:
				t.Fatalf("%s is cut, and nothing was lost", d.ID)
			case ended[d.ID] != (d.Action == RepeatOutcome || d.Action == NotifyCaller):
				t.Fatalf("%s: ended %v, %s", d.ID, ended[d.ID], d.Action)
			case !ended[d.ID] && stood[d.ID] != (d.Action == AdoptCall):
				t.Fatalf("%s: stands %v, %s", d.ID, stood[d.ID], d.Action)
			case d.Action == AdoptCall && (d.Answer == "" || d.Server == ""):
				t.Fatalf("%s stands nowhere, or without an answer: %+v", d.ID, d.Call)
			case d.Action == AwaitResume && (d.Attempts != attempts[d.ID] || d.Attempts >= rules.MaxAttempts || d.TimeLeft <= 0 || now+d.TimeLeft > d.Deadline()):
				t.Fatalf("%s: %d attempts, %d were made; %v left", d.ID, d.Attempts, attempts[d.ID], d.TimeLeft)
			case d.Action == AwaitResume && (d.NotBefore < now+rules.Guard || !d.MustRelease):
				t.Fatalf("%s: the guard is not kept: %v, release %v", d.ID, d.NotBefore-now, d.MustRelease)
			}
		}
		// Compacted after any of the records, the plan is the same.
		at := rapid.IntRange(0, len(records)).Draw(t, "compacted")
		least, err := Compact(records[:at], nil, clock)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Replay(append(least, records[at:]...), nil)
		if err != nil || again.UnexpectedEvents() > 0 {
			t.Fatalf("%v, %d strays", err, again.UnexpectedEvents())
		}
		acts := func(plan []Decision) (all []string) {
			for _, d := range plan {
				if d.Action != AwaitResume {
					d.Call.Attempts = 0 // of no use any more
				}
				all = append(all, fmt.Sprint(d.ID, d.Action, d.Attempts, d.TimeLeft, d.NotBefore, d.MustRelease, d.Answer, d.Cause))
			}
			return all
		}
		// What is long over may be forgotten; a last sign of life may go with it.
		if again.LastAlive() == b.LastAlive() {
			if diff := cmp.Diff(acts(plan), acts(again.Plan(now, rules))); diff != "" {
				t.Fatalf("compacted after %d of %d (-want +got):\n%s", at, len(records), diff)
			}
		}
		// And with a gap anywhere, no call that it may have been about is trusted, nor is one after it whose beginning is lost.
		hole := rapid.IntRange(0, len(records)).Draw(t, "hole")
		gapped, err := Replay(records, map[int]bool{hole: true})
		if err != nil {
			t.Fatal(err)
		}
		known := map[string]bool{}
		for _, e := range all[:min(hole, cut)] {
			known[e.ID] = true
		}
		for _, d := range gapped.Plan(now, rules) {
			if known[d.ID] && (d.Action == AwaitResume || d.Action == AdoptCall || d.Action == FailCall) {
				t.Fatalf("%s may have been in the gap, and is trusted: %s", d.ID, d.Action)
			}
		}
	})
}

// FuzzDecode: what can be read as an event can be written and read again, and no sequence of them breaks the Book.
func FuzzDecode(f *testing.F) {
	for _, e := range []Event{took("a", clock, time.Second), at(KindAttemptSent, "a", clock), at(KindTerminated, "a", clock, cause(16, "ended"))} {
		text, err := e.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, one, two []byte) {
		b, _ := Replay([][]byte{one, two}, nil)
		b.Plan(clock, rules)
		for _, e := range b.Events() {
			text, err := e.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if again, err := Decode(text); err != nil || !cmp.Equal(e, again) {
				t.Fatalf("%+v is read as %+v, %v", e, again, err)
			}
		}
	})
}

// BenchmarkBook asks for the plan of one call more after each event: of a Book that is kept, and of one that is made anew from
// all that was written.
func BenchmarkBook(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		var records [][]byte
		var events []Event
		for i := range n {
			id := fmt.Sprintf("%016x", i)
			events = append(events, took(id, clock, time.Minute), at(KindAttemptSent, id, clock), at(KindEstablished, id, clock, answer("y")))
		}
		for _, e := range events {
			text, err := e.Encode()
			if err != nil {
				b.Fatal(err)
			}
			records = append(records, text)
		}
		b.Run(fmt.Sprint("kept/", n), func(b *testing.B) {
			book, err := Replay(records, nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("%016x", n+i)
				book.Apply(took(id, clock, time.Minute))
				if book.calls[id] == nil {
					b.Fatal("lost")
				}
				book.Apply(at(KindCancelled, id, clock))
			}
		})
		b.Run(fmt.Sprint("rebuilt/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				book, err := Replay(records, nil)
				if err != nil || len(book.calls) != n {
					b.Fatal(err)
				}
			}
		})
	}
}
