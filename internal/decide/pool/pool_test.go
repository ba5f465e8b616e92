package pool

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cherryrelay/control"
)

// clock is an arbitrary Unix time.
const clock = 1_790_000_000 * time.Second

func member(name, port string, weight int) Member {
	return Member{Address: "127.0.0.1:" + port, ServerEntry: control.ServerEntry{ID: control.ServerID(name), Weight: weight}}
}

func modified(m Member, modify func(*Member)) Member {
	modify(&m)
	return m
}

// fileCandidate returns a candidate from a file. Its digest is made of its members.
func fileCandidate(members ...Member) Candidate {
	return Candidate{Source: FromFile, Digest: fmt.Sprint(members), Update: Update{Servers: members, Complete: true}}
}

func names(ids []control.ServerID) string {
	var text []string
	for _, id := range ids {
		text = append(text, string(id))
	}
	return strings.Join(text, " ")
}

func TestRefusedCandidateReportsFaultsAndChangesNothing(t *testing.T) {
	valid := []Member{member("a", "1", 1), member("b", "2", 3)}
	for name, test := range map[string]struct {
		servers []Member
		want    []string
	}{
		"duplicate name":      {append(slices.Clone(valid), member("a", "3", 1)), []string{`twice: line 30: server: "a" is named twice, first in line 10`}},
		"duplicate address":   {append(slices.Clone(valid), member("c", "2", 1)), []string{`twice: line 30: address: "127.0.0.1:2" of server "c" is already used by server "b", first in line 20`}},
		"all weights zero":    {[]Member{member("a", "1", NoNewCalls), member("b", "2", NoNewCalls)}, []string{"nobody: no server is active with a weight above 0: no server would get calls"}},
		"no active server":    {[]Member{modified(member("a", "1", 1), func(m *Member) { m.Status = control.Draining })}, []string{"nobody: no server is active with a weight above 0: no server would get calls"}},
		"no server":           {nil, []string{"nobody: no server is active with a weight above 0: no server would get calls"}},
		"weight too high":     {[]Member{member("a", "1", 1001)}, []string{`value: line 10: weight: 1001 of server "a" is not from 0 to 1000`}},
		"no weight":           {[]Member{member("a", "1", 0)}, []string{`value: line 10: weight: 0 of server "a" is not from 0 to 1000`}},
		"no port":             {[]Member{member("a", "", 1)}, []string{`value: line 10: address: "127.0.0.1:" of server "a" has no port from 1 to 65535`}},
		"port too high":       {[]Member{member("a", "65536", 1)}, []string{`value: line 10: address: "127.0.0.1:65536" of server "a" has no port from 1 to 65535`}},
		"name with spaces":    {[]Member{member("a b", "1", 1)}, []string{`value: line 10: server: the name "a b" has spaces, quotes, backslashes or unprintable characters`}},
		"negative group":      {[]Member{modified(member("a", "1", 1), func(m *Member) { m.Cell = -1 })}, []string{`value: line 10: group: -1 of server "a" is not from 0 to 1048576`}},
		"start in the future": {[]Member{modified(member("a", "1", 1), func(m *Member) { m.StartedAt = clock + time.Hour })}, []string{`value: line 10: since: server "a" would start in the future, or before 1970`}},
		"two faults": {[]Member{member("", "1", 1), member("b", "x", 1)}, []string{
			`value: line 10: server: the name "" is empty`, `value: line 20: address: "127.0.0.1:x" of server "b" is neither host:port nor ws://host:port/path`}},
		"too many servers": {make([]Member, DefaultLimit+1), []string{"size: 10001 servers exceed the limit of 10000"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := New()
			p.Apply(clock, fileCandidate(valid...))
			before := p.Members()
			c := fileCandidate(test.servers...)
			for i := range test.servers {
				c.Lines = append(c.Lines, 10*(i+1))
			}
			v := p.Apply(clock+time.Second, c)
			var got []string
			for _, f := range v.Faults {
				got = append(got, string(f.Reason)+": "+f.String())
			}
			if diff := cmp.Diff(test.want, got); diff != "" || v.Accepted || v.Changed {
				t.Errorf("accepted %v, faults (-want +got):\n%s", v.Accepted, diff)
			}
			if diff := cmp.Diff(before, p.Members()); diff != "" {
				t.Errorf("the active set changed:\n%s", diff)
			}
			if refused, ok := p.LastRefused(); !ok || refused.Number != 2 {
				t.Errorf("last refused: %v, %+v", ok, refused)
			}
			if p.Apply(clock+2*time.Second, fileCandidate(valid...)); func() bool { _, ok := p.LastRefused(); return ok }() {
				t.Error("a valid set was applied, and the refused one is still reported")
			}
		})
	}
}

func TestAddresses(t *testing.T) {
	for address, valid := range map[string]bool{
		"127.0.0.1:7001": true, "[::1]:7001": true, "dispatch.example:1": true, "ws://127.0.0.1:80/v1/calls": true,
		"": false, ":7001": false, "127.0.0.1": false, "127.0.0.1:0": false, "127.0.0.1:7001/x": false, "ws://127.0.0.1:80": false,
		"wss://127.0.0.1:80/x": false, "ws://127.0.0.1/x": false, "user@127.0.0.1:1": false, "127.0.0.1:1?x": false, strings.Repeat("a", 300) + ":1": false,
	} {
		if text := addressProblem(address); (text == "") != valid {
			t.Errorf("%q: %q", address, text)
		}
	}
}

// TestStartTimes checks the start time that is assumed for a dispatcher. One that is treated as warm although it has just
// started would be overloaded.
func TestStartTimes(t *testing.T) {
	const firstSeenAt = clock + 100*time.Second
	since := func(d time.Duration) func(*Member) { return func(m *Member) { m.StartedAt = d } }
	for name, test := range map[string]struct {
		sets      [][]Member // applied a second apart
		start     time.Duration
		restarted string
		moved     string
	}{
		"first set, no start reported":        {[][]Member{{member("a", "1", 1)}}, 0, "", ""},
		"first set, start reported":           {[][]Member{{modified(member("a", "1", 1), since(firstSeenAt-time.Second))}}, firstSeenAt - time.Second, "", ""},
		"added, no start reported":            {[][]Member{{member("b", "2", 1)}, {member("a", "1", 1), member("b", "2", 1)}}, firstSeenAt + time.Second, "", ""},
		"added, early start reported":         {[][]Member{{member("b", "2", 1)}, {modified(member("a", "1", 1), since(5)), member("b", "2", 1)}}, 5, "", ""},
		"another name at the same address":    {[][]Member{{member("b", "1", 1)}, {member("a", "1", 1)}}, firstSeenAt + time.Second, "", ""},
		"the same set again":                  {[][]Member{{member("a", "1", 1)}, {member("a", "1", 1)}}, 0, "", ""},
		"another weight only":                 {[][]Member{{member("a", "1", 1)}, {member("a", "1", 7)}}, 0, "", ""},
		"another address, no start reported":  {[][]Member{{member("a", "1", 1)}, {member("a", "2", 1)}}, firstSeenAt + time.Second, "", "a"},
		"another address, old start reported": {[][]Member{{modified(member("a", "1", 1), since(5))}, {modified(member("a", "2", 1), since(5))}}, firstSeenAt + time.Second, "", "a"},
		"another address, later start":        {[][]Member{{modified(member("a", "1", 1), since(5))}, {modified(member("a", "2", 1), since(9))}}, 9, "", "a"},
		"later start":                         {[][]Member{{modified(member("a", "1", 1), since(5))}, {modified(member("a", "1", 1), since(9))}}, 9, "a", ""},
		"earlier start":                       {[][]Member{{modified(member("a", "1", 1), since(9))}, {modified(member("a", "1", 1), since(5))}}, 9, "", ""},
		"later report, before first seen":     {[][]Member{{member("a", "1", 1)}, {modified(member("a", "1", 1), since(firstSeenAt-time.Hour))}}, 0, "", ""},
		"later report, after first seen":      {[][]Member{{member("a", "1", 1)}, {modified(member("a", "1", 1), since(firstSeenAt+time.Second))}}, firstSeenAt + time.Second, "a", ""},
		"start no longer reported":            {[][]Member{{modified(member("a", "1", 1), since(5))}, {member("a", "1", 1)}}, 5, "", ""},
		"added again":                         {[][]Member{{member("a", "1", 1)}, {member("b", "2", 1)}, {member("a", "1", 1), member("b", "2", 1)}}, firstSeenAt + 2*time.Second, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := New()
			var v Verdict
			for i, set := range test.sets {
				if v = p.Apply(firstSeenAt+time.Duration(i)*time.Second, fileCandidate(set...)); !v.Accepted {
					t.Fatalf("refused: %v", v.Faults)
				}
			}
			if got := p.entries["a"].StartedAt; got != test.start {
				t.Errorf("start of a at %v, want %v", got-firstSeenAt, test.start-firstSeenAt)
			}
			if r, m := names(v.Change.Restarted), names(v.Change.Moved); r != test.restarted || m != test.moved {
				t.Errorf("restarted %q, moved %q", r, m)
			}
		})
	}
}

func TestOnlyChangesArePublished(t *testing.T) {
	p := New()
	first := p.Apply(clock, fileCandidate(member("a", "1", 1), member("b", "2", 1), member("c", "3", 1)))
	if !first.Update.Complete || len(first.Update.Servers) != 3 {
		t.Fatalf("first: %+v", first.Update)
	}
	v := p.Apply(clock+time.Second, fileCandidate(member("a", "1", 1), member("b", "2", NoNewCalls), member("d", "4", 2),
		modified(member("e", "5", 1), func(m *Member) { m.Status = control.Removed })))
	want := Update{Servers: []Member{
		modified(member("b", "2", 0), func(m *Member) { m.Status = control.Draining }),
		modified(member("c", "3", 1), func(m *Member) { m.Status, m.CallsContinue = control.Removed, true }),
		modified(member("d", "4", 2), func(m *Member) { m.StartedAt, m.StartAssumed = clock+time.Second, true }),
	}}
	if diff := cmp.Diff(want, v.Update); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if got := v.Change.String(); got != "added d; removed c; weighed b" {
		t.Errorf("change %q", got)
	}
	v = p.Apply(clock+2*time.Second, fileCandidate(member("a", "1", 1), member("b", "2", 9),
		modified(member("d", "4", 2), func(m *Member) { m.Status = control.Removed })))
	removed := modified(member("d", "4", 2), func(m *Member) {
		m.Status, m.StartedAt, m.StartAssumed = control.Removed, clock+time.Second, true
	})
	if diff := cmp.Diff(Update{Servers: []Member{member("b", "2", 9), removed}}, v.Update); diff != "" {
		t.Errorf("weight raised again, and one Removed (-want +got):\n%s", diff)
	}
}

// TestStreamUpdatesAreNotChanged checks that updates from the coordinator and etcd are published as they came.
func TestStreamUpdatesAreNotChanged(t *testing.T) {
	p := New()
	invalid := []Member{member("a", "1", 0), member("b", "1", 0), {ServerEntry: control.ServerEntry{ID: "c"}}}
	for i, u := range []Update{
		{Servers: invalid, Complete: true},
		{Servers: []Member{modified(member("a", "1", 0), func(m *Member) { m.Status = control.Draining })}},
		{Servers: []Member{modified(member("b", "1", 0), func(m *Member) { m.Status = control.Removed })}},
		{Servers: nil, Complete: true},
	} {
		v := p.Apply(clock+time.Duration(i)*time.Second, Candidate{Source: FromCoordinator, Update: u})
		if diff := cmp.Diff(u, v.Update); diff != "" || !v.Changed {
			t.Errorf("update %d (-want +got):\n%s", i, diff)
		}
	}
	var got []string
	for _, v := range p.History() {
		got = append(got, v.Change.String())
	}
	if diff := cmp.Diff([]string{"removed a c", "removed b", "restated a", "added a b c"}, got); diff != "" {
		t.Errorf("history (-want +got):\n%s", diff)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	p := New()
	p.Apply(clock, fileCandidate(member("a", "1", 1)))
	for i := range 3 * maxHistory {
		p.Apply(clock+time.Duration(i), fileCandidate(member("a", "1", NoNewCalls)))
	}
	if refused, _ := p.LastRefused(); refused.Repeats != 3*maxHistory-1 || len(p.History()) != 2 {
		t.Errorf("same candidate refused repeatedly: %d repeats, %d versions", refused.Repeats, len(p.History()))
	}
	for i := range 3 * maxHistory {
		p.Apply(clock+time.Duration(i), fileCandidate(member("a", "1", i+1)))
	}
	if versions := p.History(); len(versions) != maxHistory || versions[0].Number != 2+3*maxHistory-1 {
		t.Errorf("%d versions, the newest number %d", len(versions), versions[0].Number)
	}
	if accepted, refused := p.Counts(); accepted != 3*maxHistory || refused[NoneActive] != 1 {
		t.Errorf("accepted %d, refused %v", accepted, refused)
	}
}

// drawCandidate draws a set like those that operators write. It has few names, so that they recur, and some sets are invalid.
func drawCandidate(t *rapid.T) Candidate {
	n := rapid.IntRange(0, 5).Draw(t, "servers")
	var members []Member
	for range n {
		m := member(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name"),
			rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"}).Draw(t, "port"),
			rapid.SampledFrom([]int{NoNewCalls, 1, 2, 1000, 1001}).Draw(t, "weight"))
		m.Status = control.ServerStatus(rapid.IntRange(0, 2).Draw(t, "status"))
		m.StartedAt = rapid.SampledFrom([]time.Duration{0, 0, clock - time.Hour, clock + time.Second, clock + 5*time.Second}).Draw(t, "since")
		members = append(members, m)
	}
	return fileCandidate(members...)
}

// TestActiveSetIsAlwaysOneValidCandidate applies random sequences of candidates. A subscriber that applies the published
// updates must end up with the same set as the pool.
func TestActiveSetIsAlwaysOneValidCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		now := clock
		var last *Candidate
		published := map[control.ServerID]Member{}
		for range rapid.IntRange(1, 12).Draw(t, "sets") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			c := drawCandidate(t)
			valid := len(Check(now, &c)) == 0
			v := p.Apply(now, c)
			if v.Accepted != valid {
				t.Fatalf("accepted %v, valid %v: %v", v.Accepted, valid, v.Faults)
			}
			if valid {
				last = &c
			} else if v.Changed || len(v.Update.Servers) > 0 {
				t.Fatalf("a refused set changes %+v", v.Update)
			}
			for _, m := range v.Update.Servers {
				if published[m.ID] = m; m.Status == control.Removed {
					delete(published, m.ID)
				}
			}
			if last == nil {
				if len(p.Members()) > 0 {
					t.Fatal("a set is active before the first valid one")
				}
				continue
			}
			expected := map[control.ServerID]Member{}
			for _, m := range last.Servers {
				if m.Status != control.Removed {
					expected[m.ID] = m
				}
			}
			for _, m := range p.Members() {
				want, ok := expected[m.ID]
				want.StartedAt, want.StartAssumed = m.StartedAt, m.StartAssumed // decided by the pool
				if !ok || m != want {
					t.Fatalf("active: %+v, the candidate has %+v", m, want)
				}
				if m.StartedAt > now+maxClockSkew {
					t.Fatalf("%s has started in the future", m.ID)
				}
				if got := published[m.ID]; got != p.entries[m.ID].published() {
					t.Fatalf("published %+v, active %+v", got, m)
				}
			}
			if len(p.Members()) != len(expected) || len(published) != len(expected) {
				t.Fatalf("%d active, %d published, %d in the candidate", len(p.Members()), len(published), len(expected))
			}
			before := p.Current()
			if again := p.Apply(now, *last); again.Changed && len(again.Update.Servers) > 0 || p.Current().Number != before.Number {
				t.Fatalf("the same set again changes %+v", again.Update)
			}
		}
		// A later process that restores the snapshot must have the same set.
		restored := New()
		if last != nil {
			if v := restored.Restore(now, p.Snapshot()); !v.Accepted {
				t.Fatalf("the snapshot is refused: %v", v.Faults)
			}
			if diff := cmp.Diff(p.Members(), restored.Members()); diff != "" {
				t.Fatalf("restored (-want +got):\n%s", diff)
			}
			if v := restored.Apply(now, *last); len(v.Update.Servers) > 0 {
				t.Fatalf("applying the restored set again changes %+v", v.Update)
			}
		}
	})
}

// TestFilePoller checks that complete files are processed soon and once, and unfinished ones only after they have stayed
// unchanged, whatever the order of change notifications.
func TestFilePoller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		poller := NewFilePoller(now, rapid.Bool().Draw(t, "watched"))
		processed := ""
		current, changedAt := Observation{Digest: "0"}, now // content of the file, and when it was written
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "write") {
				current = Observation{Digest: fmt.Sprint(i), Unfinished: rapid.Bool().Draw(t, "unfinished"), InPlace: rapid.Bool().Draw(t, "in place")}
				changedAt = now
				if poller.watched {
					poller.NoteChange(now)
				}
			}
			until := now + time.Duration(rapid.IntRange(0, 700).Draw(t, "ms"))*time.Millisecond
			for polls := 0; poller.NextPoll() <= until; polls++ {
				if polls > 60 {
					t.Fatal("too many polls")
				}
				now = max(now, poller.NextPoll())
				if poller.Observe(now, current) {
					if processed == current.Digest {
						t.Fatal("processed twice")
					}
					if current.Unfinished && now-changedAt < stableTimeUnfinished {
						t.Fatalf("an unfinished file is processed %v after it changed", now-changedAt)
					}
					if current.InPlace && now-changedAt < stableTimeInPlace {
						t.Fatalf("a file that was written in place is processed %v after it changed", now-changedAt)
					}
					processed = current.Digest
				}
				if poller.NextPoll() <= now {
					t.Fatal("the next poll is due at once")
				}
			}
			now = until
			if age := now - changedAt; !current.Unfinished && age > 450*time.Millisecond && processed != current.Digest {
				t.Fatalf("not processed %v after it was written", age)
			}
		}
	})
}

// TestLimitAppliesToAllSources checks that a set above the limit is refused as a whole, whether it comes from a file, as a
// complete list of a stream or as a change.
func TestLimitAppliesToAllSources(t *testing.T) {
	p := New()
	p.SetLimit(3)
	members := func(from, to int) (all []Member) {
		for i := from; i < to; i++ {
			all = append(all, member(fmt.Sprint("s", i), fmt.Sprint(1000+i), 1))
		}
		return all
	}
	removed := member("s0", "1000", 1)
	removed.Status = control.Removed
	stream := func(complete bool, all ...Member) Candidate {
		return Candidate{Source: FromCoordinator, Update: Update{Complete: complete, Servers: all}}
	}
	for i, test := range []struct {
		Candidate
		accepted bool
		servers  int
	}{
		{fileCandidate(members(0, 4)...), false, 0},
		{fileCandidate(members(0, 3)...), true, 3},
		{stream(true, members(0, 4)...), false, 3},
		{stream(false, members(2, 4)...), false, 3},
		{stream(false, members(0, 3)...), true, 3},
		{stream(false, append(members(3, 4), removed)...), true, 3},
		{stream(true, members(5, 7)...), true, 2},
	} {
		v := p.Apply(clock+time.Duration(i), test.Candidate)
		if v.Accepted != test.accepted || len(p.Members()) != test.servers {
			t.Errorf("step %d: accepted %v, %d active: %v", i, v.Accepted, len(p.Members()), v.Faults)
		}
		if !v.Accepted && (len(v.Faults) != 1 || v.Faults[0].String() != "4 servers exceed the limit of 3") {
			t.Errorf("step %d: %v", i, v.Faults)
		}
	}
}
