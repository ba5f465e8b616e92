package recovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// base is an arbitrary Unix time.
const base = 1_790_000_000 * time.Second

const ms = time.Millisecond

var rules = Rules{Guard: 500 * ms, MaxAttempts: 5}

func accepted(id string, at, left time.Duration) Event {
	return Event{Kind: KindAccepted, ID: id, AtUs: at.Microseconds(), DeadlineUs: (at + left).Microseconds(), Class: "c", Description: "x", Token: HashToken("a token of a caller"),
		Repetition: RepeatByKeyInZone}
}

func event(kind Kind, id string, t time.Duration, options ...func(*Event)) Event {
	e := Event{Kind: kind, ID: id, AtUs: t.Microseconds()}
	if kind == KindAttemptSent || kind == KindAttemptFailed || kind == KindEstablished {
		e.Server, e.Address = "s", "127.0.0.1:1"
	}
	for _, f := range options {
		f(&e)
	}
	return e
}

func withAttempt(n int) func(*Event) { return func(e *Event) { e.Attempt = n } }
func withNotBefore(t time.Duration) func(*Event) {
	return func(e *Event) { e.NotBeforeUs = t.Microseconds() }
}
func withNeverRan(neverRan bool) func(*Event) { return func(e *Event) { e.NeverRan = neverRan } }
func withCause(c int, reason string) func(*Event) {
	return func(e *Event) { e.Cause, e.Reason = c, reason }
}
func withAnswer(text string) func(*Event) { return func(e *Event) { e.Description = text } }
func withoutToken(e Event) Event          { e.Token = nil; return e }

func TestPlan(t *testing.T) {
	const restart = base + 10*time.Second // the process was last known to be alive at base+9 s
	alive := event(KindCancelled, "other", base+9*time.Second)
	for name, test := range map[string]struct {
		events []Event
		gap    int // index of the event before which events are missing; 0 for none
		action Action
		why    string
		check  func(d Decision) bool
	}{
		"no attempt in progress": {[]Event{accepted("a", base+8*time.Second, 9*time.Second)}, 0, AwaitResume, "open, held",
			func(d Decision) bool {
				return d.TimeLeft == 7*time.Second && d.NotBefore == restart+rules.Guard && d.MustRelease && d.ResumeDeadline == restart+PendingResumeTimeout
			}},
		"an attempt in progress": {[]Event{accepted("a", base+8*time.Second, 9*time.Second), event(KindAttemptSent, "a", base+8*time.Second)}, 0, AwaitResume, "open, with an attempt out",
			func(d Decision) bool { return d.NotBefore == restart+rules.Guard && d.MustRelease && d.Attempts == 1 }},
		"after a timed-out attempt": {[]Event{accepted("a", base+8*time.Second, 9*time.Second), event(KindAttemptSent, "a", base+8*time.Second),
			event(KindAttemptFailed, "a", base+9*time.Second, withNotBefore(base+9500*ms))}, 0, AwaitResume, "open, held",
			func(d Decision) bool { return d.NotBefore == restart+rules.Guard && d.MustRelease }},
		"little time left": {[]Event{accepted("a", base+9*time.Second, 2*time.Second)}, 0, AwaitResume, "open, held",
			func(d Decision) bool { return d.ResumeDeadline == restart+time.Second }},
		"deadline passed": {[]Event{accepted("a", base, 9*time.Second)}, 0, FailCall, "its time ran out", nil},
		"established, confirmed": {[]Event{accepted("a", base, 9*time.Second), event(KindAttemptSent, "a", base), event(KindEstablished, "a", base+time.Second, withAnswer("y"))}, 0, AdoptCall, "stands",
			func(d Decision) bool { return d.ResumeDeadline == 0 && d.Answer == "y" }},
		"established, unconfirmed": {[]Event{accepted("a", base, 9*time.Second), event(KindAttemptSent, "a", base), event(KindEstablished, "a", base+8500*ms)}, 0, AdoptCall, "stands, perhaps not told",
			func(d Decision) bool { return d.ResumeDeadline == restart+EstablishedResumeTimeout }},
		"established, unconfirmed, without a token": {[]Event{withoutToken(accepted("a", base, 9*time.Second)), event(KindAttemptSent, "a", base), event(KindEstablished, "a", base+8500*ms)}, 0, AdoptCall, "stands",
			func(d Decision) bool { return d.ResumeDeadline == 0 }},
		"terminated, unconfirmed": {[]Event{accepted("a", base, 9*time.Second), event(KindAttemptSent, "a", base), event(KindEstablished, "a", base), event(KindTerminated, "a", base+8500*ms, withCause(16, "ended"))}, 0, NotifyCaller, "ended, perhaps not told",
			func(d Decision) bool { return d.Cause == 16 && d.Reason == "ended" }},
		"terminated long ago": {[]Event{accepted("a", base, 9*time.Second), event(KindAttemptSent, "a", base), event(KindEstablished, "a", base), event(KindTerminated, "a", base+time.Second, withCause(16, "ended"))}, 0, RepeatOutcome, "over", nil},
		"rejected": {[]Event{accepted("a", base, 9*time.Second), event(KindRejected, "a", base+8*time.Second, withCause(42, "refused"))}, 0, RepeatOutcome, "over",
			func(d Decision) bool { return d.Cause == 42 && !d.MustRelease }},
		"pending, with a gap":           {[]Event{accepted("a", base+8*time.Second, 9*time.Second), alive}, 1, ReleaseCall, "something of it was lost", func(d Decision) bool { return d.MustRelease }},
		"established, with a gap":       {[]Event{accepted("a", base, 9*time.Second), event(KindAttemptSent, "a", base), event(KindEstablished, "a", base), alive}, 3, ReleaseCall, "something of it was lost", nil},
		"rejected, with a gap":          {[]Event{accepted("a", base, 9*time.Second), event(KindRejected, "a", base+8*time.Second), alive}, 2, RepeatOutcome, "over", nil},
		"no accepted event":             {[]Event{event(KindEstablished, "a", base)}, 0, ReleaseCall, "something of it was lost", nil},
		"only the end is known":         {[]Event{event(KindTerminated, "a", base, withCause(41, "cut"))}, 0, RepeatOutcome, "over", nil},
		"an earlier attempt is missing": {[]Event{accepted("a", base+8*time.Second, 9*time.Second), event(KindAttemptSent, "a", base+8*time.Second, withAttempt(1))}, 0, ReleaseCall, "something of it was lost", nil},
		"two attempts in progress":      {[]Event{accepted("a", base+8*time.Second, 9*time.Second), event(KindAttemptSent, "a", base), event(KindAttemptSent, "a", base, withAttempt(1))}, 0, ReleaseCall, "something of it was lost", nil},
		"accepted twice":                {[]Event{accepted("a", base+8*time.Second, 9*time.Second), accepted("a", base+8*time.Second, 9*time.Second)}, 0, ReleaseCall, "something of it was lost", nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewCallTable()
			for i, e := range test.events {
				if test.gap > 0 && i == test.gap {
					table.MarkGap()
				}
				table.Apply(e)
			}
			table.Apply(alive)
			for _, d := range table.Plan(restart, rules) {
				if d.ID != "a" {
					continue
				}
				if d.Action != test.action || d.Why != test.why || test.check != nil && !test.check(d) {
					t.Errorf("%s because %q: %+v", d.Action, d.Why, d)
				}
			}
		})
	}
}

func TestEarlierAttemptsCount(t *testing.T) {
	table := NewCallTable()
	table.Apply(accepted("a", base, 9*time.Second))
	for n := range rules.MaxAttempts {
		if d := table.Plan(base+time.Second, rules)[0]; d.Action != AwaitResume || d.Attempts != n {
			t.Errorf("after %d attempts: %s, %d", n, d.Action, d.Attempts)
		}
		table.Apply(event(KindAttemptSent, "a", base, withAttempt(n)))
		table.Apply(event(KindAttemptFailed, "a", base, withAttempt(n)))
	}
	if d := table.Plan(base+time.Second, rules)[0]; d.Action != FailCall || d.Why != "no attempt is left" || !d.MustRelease {
		t.Errorf("after the last attempt: %s because %s", d.Action, d.Why)
	}
}

// TestClockChange checks that a change of the clock while the process was down extends neither the deadline nor the guard.
func TestClockChange(t *testing.T) {
	for _, shift := range []time.Duration{-time.Hour, -time.Second, 0, time.Second, time.Hour} {
		table := NewCallTable()
		table.Apply(accepted("a", base, 9*time.Second))
		table.Apply(event(KindAttemptSent, "a", base+time.Second))
		table.Apply(event(KindAttemptFailed, "a", base+2*time.Second, withNotBefore(base+2500*ms)))
		now := base + 3*time.Second + shift
		d := table.Plan(now, rules)[0]
		if d.Action == AwaitResume && (d.TimeLeft > 7*time.Second || d.NotBefore > now+rules.Guard || d.NotBefore < now+rules.Guard) {
			t.Errorf("clock set by %v: %v left, next attempt in %v", shift, d.TimeLeft, d.NotBefore-now)
		}
		if shift == time.Hour && d.Action != FailCall {
			t.Errorf("clock set forward by an hour: %s", d.Action)
		}
	}
}

func TestMayStillBeEstablished(t *testing.T) {
	c := &Call{Server: "s", Address: "127.0.0.1:1", ServerStarted: base, LastEventAt: base + time.Minute}
	for _, test := range []struct {
		place ListEntry
		why   string
	}{
		{ListEntry{"127.0.0.1:1", base, true, false}, ""},
		{ListEntry{"127.0.0.1:1", base - time.Hour, true, false}, ""},
		{ListEntry{"127.0.0.1:1", base + time.Second, true, false}, ""}, // the list reported the start late: the call was established after it
		{ListEntry{"127.0.0.1:1", base, false, false}, "its dispatcher is not listed"},
		{ListEntry{"127.0.0.1:2", base, true, false}, "its dispatcher has another address"},
		{ListEntry{"127.0.0.1:1", base + 2*time.Minute, true, false}, "its dispatcher has restarted"},
	} {
		if ok, why := c.MayStillBeEstablished(test.place); why != test.why || ok != (why == "") {
			t.Errorf("%+v: %v, %q, want %q", test.place, ok, why, test.why)
		}
	}
}

// TestVerify guards against calls that are cut because of a list that is older than they are, and against calls that are kept although a
// current list shows that their dispatcher has been removed or replaced.
func TestVerify(t *testing.T) {
	const address = "127.0.0.1:1"
	last := base + time.Minute
	c := &Call{Server: "s", Address: address, ServerStarted: base, LastEventAt: last}
	other := &Call{Server: "s", Address: "127.0.0.1:9", ServerStarted: base, LastEventAt: last, FromOtherController: true}
	at := func(address string, started time.Duration) ListEntry {
		return ListEntry{Address: address, Started: started, Listed: true}
	}
	for name, test := range map[string]struct {
		call      *Call
		entry     ListEntry
		confirmed time.Duration
		want      Verdict
	}{
		"at its process":                         {c, at(address, base), 0, StillEstablished},
		"the list has an earlier start":          {c, at(address, base-time.Hour), 0, StillEstablished},
		"not listed in an older list":            {c, ListEntry{}, last - 1, Undecided},
		"not listed in a current list":           {c, ListEntry{}, last, Gone},
		"removed by an event":                    {c, ListEntry{Removed: true}, 0, Gone},
		"elsewhere in an older list":             {c, at("127.0.0.1:2", base), last - 1, Undecided},
		"elsewhere in a current list":            {c, at("127.0.0.1:2", base), last, Gone},
		"restarted since":                        {c, at(address, last+1), 0, Gone},
		"restarted since, and moved":             {c, at("127.0.0.1:2", last+1), 0, Gone},
		"elsewhere for another controller":       {other, at(address, base), 0, StillEstablished},
		"of another controller, not listed here": {other, ListEntry{}, 0, Undecided},
	} {
		if got, why := test.call.Verify(test.entry, test.confirmed); got != test.want || (why == "") != (got == StillEstablished) {
			t.Errorf("%s: verdict %d, %q, want %d", name, got, why, test.want)
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
	e := event(KindAttemptFailed, "00000000000000aa", base, withAttempt(3), withNotBefore(base+time.Second))
	data, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if diff := cmp.Diff(e, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	for name, invalid := range map[string]Event{"missing kind": {ID: "a"}, "unknown kind": {Kind: KindCancelled + 1, ID: "a"}, "missing id": {Kind: KindAccepted},
		"id too long": {Kind: KindAccepted, ID: strings.Repeat("a", 65)}, "negative attempt": {Kind: KindAccepted, ID: "a", Attempt: -1}} {
		data, err := invalid.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); err == nil {
			t.Errorf("%s: decoded without an error", name)
		}
	}
}

// TestEventsOfAnOlderVersionProveNothing checks that an attempt counts as one that may have run if its outcome was logged by
// a version that did not log whether it ran.
func TestEventsOfAnOlderVersionProveNothing(t *testing.T) {
	table := NewCallTable()
	e := accepted("a", base, 9*time.Second)
	e.Repetition = 0
	table.Apply(e)
	table.Apply(event(KindAttemptSent, "a", base))
	table.Apply(event(KindAttemptFailed, "a", base))
	d := table.Plan(base+time.Second, rules)[0]
	if !d.MayHaveRun || d.Repetition != RepetitionUnknown {
		t.Errorf("may have run: %v, repetition %v", d.MayHaveRun, d.Repetition)
	}
}

// TestMayHaveRunSurvivesCompaction checks that what is known of the attempts before the one in progress is the same after a
// compaction: that one may yet turn out never to have run.
func TestMayHaveRunSurvivesCompaction(t *testing.T) {
	for _, neverRan := range []bool{true, false} {
		table := NewCallTable()
		table.Apply(accepted("a", base, 9*time.Second))
		table.Apply(event(KindAttemptSent, "a", base))
		table.Apply(event(KindAttemptFailed, "a", base, withNeverRan(neverRan)))
		table.Apply(event(KindAttemptSent, "a", base, withAttempt(1)))
		compacted := NewCallTable()
		for _, e := range table.Events() {
			compacted.Apply(e)
		}
		compacted.Apply(event(KindAttemptFailed, "a", base, withAttempt(1), withNeverRan(true)))
		if c := compacted.Calls()[0]; c.MayHaveRun == neverRan || c.Attempts != 2 || compacted.UnexpectedEvents() > 0 {
			t.Errorf("first attempt never ran: %v; may have run: %v after %d attempts, %d unexpected events", neverRan, c.MayHaveRun, c.Attempts, compacted.UnexpectedEvents())
		}
	}
}

// drawEvents draws events of several calls, in an order in which a controller may log them.
func drawEvents(t *rapid.T) []Event {
	var all []Event
	now := base
	type call struct {
		pending, established, inProgress bool
		attempts                         int
	}
	calls := map[string]*call{}
	for i := range rapid.IntRange(1, 40).Draw(t, "events") {
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
		id := fmt.Sprint("c", rapid.IntRange(0, 5).Draw(t, "call"))
		c := calls[id]
		if c == nil {
			calls[id] = &call{pending: true}
			e := accepted(id, now, time.Duration(rapid.IntRange(100, 9000).Draw(t, "left"))*ms)
			if rapid.Bool().Draw(t, "without a token") {
				e = withoutToken(e)
			}
			all = append(all, e)
			continue
		}
		switch {
		case c.pending && !c.inProgress && rapid.Bool().Draw(t, "send"):
			all = append(all, event(KindAttemptSent, id, now, withAttempt(c.attempts)))
			c.inProgress = true
			c.attempts++
		case c.pending && c.inProgress && rapid.Bool().Draw(t, "established"):
			all = append(all, event(KindEstablished, id, now, withAttempt(c.attempts-1), withAnswer(fmt.Sprint("y", i))))
			c.pending, c.inProgress, c.established = false, false, true
		case c.pending && c.inProgress && rapid.Bool().Draw(t, "attempt fails"):
			all = append(all, event(KindAttemptFailed, id, now, withAttempt(c.attempts-1), withNotBefore(now+rules.Guard),
				withNeverRan(rapid.Bool().Draw(t, "never ran"))))
			c.inProgress = false
		case c.pending && !c.inProgress && rapid.Bool().Draw(t, "rejected"):
			all = append(all, event(KindRejected, id, now, withCause(42, "refused")))
			c.pending = false
		case c.established && rapid.Bool().Draw(t, "terminated"):
			all = append(all, event(KindTerminated, id, now, withCause(16, "ended")))
			c.established = false
		}
	}
	return all
}

// TestReplayOfAnyPrefix checks the invariants of the plan after any prefix of a log, also one that is compacted at any point or has a gap
// anywhere.
func TestReplayOfAnyPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawEvents(t)
		prefix := rapid.IntRange(0, len(events)).Draw(t, "prefix")
		table := NewCallTable()
		attempts, lastAt, ended, established, ran := map[string]int{}, base, map[string]bool{}, map[string]bool{}, map[string]bool{}
		var records [][]byte
		for _, e := range events[:prefix] {
			table.Apply(e)
			data, err := e.Encode()
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, data)
			lastAt = max(lastAt, microseconds(e.AtUs))
			switch e.Kind {
			case KindAttemptSent:
				attempts[e.ID]++
			case KindAttemptFailed:
				ran[e.ID] = ran[e.ID] || !e.NeverRan
			case KindEstablished:
				established[e.ID] = true
			case KindRejected, KindTerminated:
				ended[e.ID] = true
			}
		}
		now := lastAt + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "downtime"))*ms
		if table.UnexpectedEvents() > 0 {
			t.Fatalf("%d unexpected events", table.UnexpectedEvents())
		}
		plan := table.Plan(now, rules)
		for _, d := range plan {
			switch {
			case d.Action == ReleaseCall:
				t.Fatalf("%s is released, and no event is missing", d.ID)
			case ended[d.ID] != (d.Action == RepeatOutcome || d.Action == NotifyCaller):
				t.Fatalf("%s: ended %v, action %s", d.ID, ended[d.ID], d.Action)
			case !ended[d.ID] && established[d.ID] != (d.Action == AdoptCall):
				t.Fatalf("%s: established %v, action %s", d.ID, established[d.ID], d.Action)
			case d.Action == AdoptCall && (d.Answer == "" || d.Server == ""):
				t.Fatalf("%s is established without a server or an answer: %+v", d.ID, d.Call)
			case d.Action == AwaitResume && (d.Attempts != attempts[d.ID] || d.Attempts >= rules.MaxAttempts || d.TimeLeft <= 0 || now+d.TimeLeft > d.Deadline()):
				t.Fatalf("%s: %d attempts, want %d; %v left", d.ID, d.Attempts, attempts[d.ID], d.TimeLeft)
			case d.Action == AwaitResume && d.MayHaveRun != ran[d.ID]:
				t.Fatalf("%s: may have run: %v, want %v", d.ID, d.MayHaveRun, ran[d.ID])
			case d.Action == AwaitResume && (d.NotBefore < now+rules.Guard || !d.MustRelease):
				t.Fatalf("%s: next attempt in %v violates the guard, or release is not set: %v", d.ID, d.NotBefore-now, d.MustRelease)
			}
		}
		// The plan is the same if the log was compacted after any record.
		at := rapid.IntRange(0, len(records)).Draw(t, "compacted")
		compacted, err := Compact(records[:at], nil, base)
		if err != nil {
			t.Fatal(err)
		}
		replayed, err := Replay(append(compacted, records[at:]...), nil)
		if err != nil || replayed.UnexpectedEvents() > 0 {
			t.Fatalf("%v, %d unexpected events", err, replayed.UnexpectedEvents())
		}
		summarize := func(plan []Decision) (all []string) {
			for _, d := range plan {
				if d.Action != AwaitResume {
					d.Call.Attempts, d.Call.MayHaveRun = 0, false // of no importance without a further attempt
				}
				all = append(all, fmt.Sprint(d.ID, d.Action, d.Attempts, d.MayHaveRun, d.Repetition, d.TimeLeft, d.NotBefore, d.MustRelease, d.Answer, d.Cause))
			}
			return all
		}
		// Compaction may drop calls that ended long ago, and the latest event with them.
		if replayed.LastAlive() == table.LastAlive() {
			if diff := cmp.Diff(summarize(plan), summarize(replayed.Plan(now, rules))); diff != "" {
				t.Fatalf("compacted after %d of %d (-want +got):\n%s", at, len(records), diff)
			}
		}
		// With a gap anywhere, the state of a call that may have events in the gap is not used.
		gap := rapid.IntRange(0, len(records)).Draw(t, "gap")
		gapped, err := Replay(records, map[int]bool{gap: true})
		if err != nil {
			t.Fatal(err)
		}
		known := map[string]bool{}
		for _, e := range events[:min(gap, prefix)] {
			known[e.ID] = true
		}
		for _, d := range gapped.Plan(now, rules) {
			if known[d.ID] && (d.Action == AwaitResume || d.Action == AdoptCall || d.Action == FailCall) {
				t.Fatalf("%s may have events in the gap, and its state is used: %s", d.ID, d.Action)
			}
		}
	})
}

// FuzzDecode checks that decoded events can be encoded and decoded again, and that no sequence of events makes the CallTable fail.
func FuzzDecode(f *testing.F) {
	for _, e := range []Event{accepted("a", base, time.Second), event(KindAttemptSent, "a", base), event(KindTerminated, "a", base, withCause(16, "ended"))} {
		data, err := e.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		table, _ := Replay([][]byte{first, second}, nil)
		table.Plan(base, rules)
		for _, e := range table.Events() {
			data, err := e.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if decoded, err := Decode(data); err != nil || !cmp.Equal(e, decoded) {
				t.Fatalf("%+v is decoded as %+v, %v", e, decoded, err)
			}
		}
	})
}

// BenchmarkCallTable compares a CallTable that is updated with each event to one that is replayed from all records.
func BenchmarkCallTable(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		var records [][]byte
		var events []Event
		for i := range n {
			id := fmt.Sprintf("%016x", i)
			events = append(events, accepted(id, base, time.Minute), event(KindAttemptSent, id, base), event(KindEstablished, id, base, withAnswer("y")))
		}
		for _, e := range events {
			data, err := e.Encode()
			if err != nil {
				b.Fatal(err)
			}
			records = append(records, data)
		}
		b.Run(fmt.Sprint("updated/", n), func(b *testing.B) {
			table, err := Replay(records, nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("%016x", n+i)
				table.Apply(accepted(id, base, time.Minute))
				if table.calls[id] == nil {
					b.Fatal("the call is missing")
				}
				table.Apply(event(KindCancelled, id, base))
			}
		})
		b.Run(fmt.Sprint("replayed/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table, err := Replay(records, nil)
				if err != nil || len(table.calls) != n {
					b.Fatal(err)
				}
			}
		})
	}
}
