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

// clock is some time of the Unix clock.
const clock = 1_790_000_000 * time.Second

func member(name, port string, weight int) Member {
	return Member{Address: "127.0.0.1:" + port, ServerEntry: control.ServerEntry{ID: control.ServerID(name), Weight: weight}}
}

func with(m Member, f func(*Member)) Member {
	f(&m)
	return m
}

// fileCandidate is a candidate of people; its digest is made of what it holds.
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
	good := []Member{member("a", "1", 1), member("b", "2", 3)}
	for name, test := range map[string]struct {
		servers []Member
		want    []string
	}{
		"a name twice":       {append(slices.Clone(good), member("a", "3", 1)), []string{`twice: line 30: server: "a" is named twice, first in line 10`}},
		"an address twice":   {append(slices.Clone(good), member("c", "2", 1)), []string{`twice: line 30: address: "127.0.0.1:2" of server "c" is that of server "b", first in line 20, too`}},
		"every weight zero":  {[]Member{member("a", "1", NoNewCalls), member("b", "2", NoNewCalls)}, []string{"nobody: no server is active with a weight above 0: nobody would get calls"}},
		"nobody active":      {[]Member{with(member("a", "1", 1), func(m *Member) { m.Status = control.Draining })}, []string{"nobody: no server is active with a weight above 0: nobody would get calls"}},
		"nobody at all":      {nil, []string{"nobody: no server is active with a weight above 0: nobody would get calls"}},
		"a weight too high":  {[]Member{member("a", "1", 1001)}, []string{`value: line 10: weight: 1001 of server "a" is not from 0 to 1000`}},
		"no weight":          {[]Member{member("a", "1", 0)}, []string{`value: line 10: weight: 0 of server "a" is not from 0 to 1000`}},
		"no port":            {[]Member{member("a", "", 1)}, []string{`value: line 10: address: "127.0.0.1:" of server "a" has no port from 1 to 65535`}},
		"a port too high":    {[]Member{member("a", "65536", 1)}, []string{`value: line 10: address: "127.0.0.1:65536" of server "a" has no port from 1 to 65535`}},
		"a name with spaces": {[]Member{member("a b", "1", 1)}, []string{`value: line 10: server: the name "a b" has spaces, quotes or characters that cannot be printed`}},
		"a group below zero": {[]Member{with(member("a", "1", 1), func(m *Member) { m.Cell = -1 })}, []string{`value: line 10: group: -1 of server "a" is not from 0 to 1048576`}},
		"a start to come":    {[]Member{with(member("a", "1", 1), func(m *Member) { m.StartedAt = clock + time.Hour })}, []string{`value: line 10: since: server "a" would start in the future, or before 1970`}},
		"two faults at once": {[]Member{member("", "1", 1), member("b", "x", 1)}, []string{
			`value: line 10: server: the name "" is empty`, `value: line 20: address: "127.0.0.1:x" of server "b" is neither host:port nor ws://host:port/path`}},
		"far too many": {make([]Member, DefaultLimit+1), []string{"size: 10001 servers, 10000 are allowed"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := New()
			p.Apply(clock, fileCandidate(good...))
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
				t.Errorf("taken %v, faults (-want +got):\n%s", v.Accepted, diff)
			}
			if diff := cmp.Diff(before, p.Members()); diff != "" {
				t.Errorf("the set in force changed:\n%s", diff)
			}
			if trouble, is := p.LastRefused(); !is || trouble.Number != 2 {
				t.Errorf("trouble %v %+v", is, trouble)
			}
			if p.Apply(clock+2*time.Second, fileCandidate(good...)); func() bool { _, is := p.LastRefused(); return is }() {
				t.Error("the good set has come back, and the trouble is still told")
			}
		})
	}
}

func TestAddresses(t *testing.T) {
	for address, good := range map[string]bool{
		"127.0.0.1:7001": true, "[::1]:7001": true, "dispatch.example:1": true, "ws://127.0.0.1:80/v1/calls": true,
		"": false, ":7001": false, "127.0.0.1": false, "127.0.0.1:0": false, "127.0.0.1:7001/x": false, "ws://127.0.0.1:80": false,
		"wss://127.0.0.1:80/x": false, "ws://127.0.0.1/x": false, "user@127.0.0.1:1": false, "127.0.0.1:1?x": false, strings.Repeat("a", 300) + ":1": false,
	} {
		if text := addressProblem(address); (text == "") != good {
			t.Errorf("%q: %q", address, text)
		}
	}
}

// TestStartTimes: a dispatcher that is taken for warm and is not would be pushed over.
func TestStartTimes(t *testing.T) {
	const seen = clock + 100*time.Second
	since := func(d time.Duration) func(*Member) { return func(m *Member) { m.StartedAt = d } }
	for name, test := range map[string]struct {
		sets      [][]Member // a second apart
		starts    time.Duration
		restarted string
		moved     string
	}{
		"in the first set, nothing said":                    {[][]Member{{member("a", "1", 1)}}, 0, "", ""},
		"in the first set, said":                            {[][]Member{{with(member("a", "1", 1), since(seen-time.Second))}}, seen - time.Second, "", ""},
		"a newcomer, nothing said":                          {[][]Member{{member("b", "2", 1)}, {member("a", "1", 1), member("b", "2", 1)}}, seen + time.Second, "", ""},
		"a newcomer that runs for long":                     {[][]Member{{member("b", "2", 1)}, {with(member("a", "1", 1), since(5)), member("b", "2", 1)}}, 5, "", ""},
		"under another name at the same address":            {[][]Member{{member("b", "1", 1)}, {member("a", "1", 1)}}, seen + time.Second, "", ""},
		"the same again":                                    {[][]Member{{member("a", "1", 1)}, {member("a", "1", 1)}}, 0, "", ""},
		"only another weight":                               {[][]Member{{member("a", "1", 1)}, {member("a", "1", 7)}}, 0, "", ""},
		"another address":                                   {[][]Member{{member("a", "1", 1)}, {member("a", "2", 1)}}, seen + time.Second, "", "a"},
		"another address, and what was said of the old one": {[][]Member{{with(member("a", "1", 1), since(5))}, {with(member("a", "2", 1), since(5))}}, seen + time.Second, "", "a"},
		"another address, said":                             {[][]Member{{with(member("a", "1", 1), since(5))}, {with(member("a", "2", 1), since(9))}}, 9, "", "a"},
		"a later start":                                     {[][]Member{{with(member("a", "1", 1), since(5))}, {with(member("a", "1", 1), since(9))}}, 9, "a", ""},
		"an earlier start":                                  {[][]Member{{with(member("a", "1", 1), since(9))}, {with(member("a", "1", 1), since(5))}}, 9, "", ""},
		"a start told later, of before it was seen":         {[][]Member{{member("a", "1", 1)}, {with(member("a", "1", 1), since(seen-time.Hour))}}, 0, "", ""},
		"a start told later, of after it was seen":          {[][]Member{{member("a", "1", 1)}, {with(member("a", "1", 1), since(seen+time.Second))}}, seen + time.Second, "a", ""},
		"a start told no more":                              {[][]Member{{with(member("a", "1", 1), since(5))}, {member("a", "1", 1)}}, 5, "", ""},
		"back after a time away":                            {[][]Member{{member("a", "1", 1)}, {member("b", "2", 1)}, {member("a", "1", 1), member("b", "2", 1)}}, seen + 2*time.Second, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := New()
			var v Verdict
			for i, set := range test.sets {
				if v = p.Apply(seen+time.Duration(i)*time.Second, fileCandidate(set...)); !v.Accepted {
					t.Fatalf("refused: %v", v.Faults)
				}
			}
			if got := p.entries["a"].StartedAt; got != test.starts {
				t.Errorf("a has started at %v, want %v", got-seen, test.starts-seen)
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
		with(member("e", "5", 1), func(m *Member) { m.Status = control.Removed })))
	want := Update{Servers: []Member{
		with(member("b", "2", 0), func(m *Member) { m.Status = control.Draining }),
		with(member("c", "3", 1), func(m *Member) { m.Status, m.CallsContinue = control.Removed, true }),
		with(member("d", "4", 2), func(m *Member) { m.StartedAt = clock + time.Second }),
	}}
	if diff := cmp.Diff(want, v.Update); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if got := v.Change.String(); got != "added d; removed c; weighed b" {
		t.Errorf("change %q", got)
	}
	v = p.Apply(clock+2*time.Second, fileCandidate(member("a", "1", 1), member("b", "2", 9),
		with(member("d", "4", 2), func(m *Member) { m.Status = control.Removed })))
	gone := with(member("d", "4", 2), func(m *Member) { m.Status, m.StartedAt = control.Removed, clock+time.Second })
	if diff := cmp.Diff(Update{Servers: []Member{member("b", "2", 9), gone}}, v.Update); diff != "" {
		t.Errorf("back to work, and one that has left (-want +got):\n%s", diff)
	}
}

// TestStreamUpdatesAreNotChanged: what the coordinator and etcd say goes on unchanged, as it did before there was a pool.
func TestStreamUpdatesAreNotChanged(t *testing.T) {
	p := New()
	odd := []Member{member("a", "1", 0), member("b", "1", 0), {ServerEntry: control.ServerEntry{ID: "c"}}}
	for i, u := range []Update{
		{Servers: odd, Complete: true},
		{Servers: []Member{with(member("a", "1", 0), func(m *Member) { m.Status = control.Draining })}},
		{Servers: []Member{with(member("b", "1", 0), func(m *Member) { m.Status = control.Removed })}},
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
	if trouble, _ := p.LastRefused(); trouble.Repeats != 3*maxHistory-1 || len(p.History()) != 2 {
		t.Errorf("the same refused often: again %d, %d versions", trouble.Repeats, len(p.History()))
	}
	for i := range 3 * maxHistory {
		p.Apply(clock+time.Duration(i), fileCandidate(member("a", "1", i+1)))
	}
	if h := p.History(); len(h) != maxHistory || h[0].Number != 2+3*maxHistory-1 {
		t.Errorf("%d versions, the newest number %d", len(h), h[0].Number)
	}
	if taken, refused := p.Counts(); taken != 3*maxHistory || refused[NoneActive] != 1 {
		t.Errorf("taken %d, refused %v", taken, refused)
	}
}

// drawCandidate draws sets as people might write them: few names, so that they meet again, and some sets that are bad.
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

// TestActiveSetIsAlwaysOneValidCandidate takes any sequence of candidates. A follower that applies the updates must
// see the same set as one that looks at the pool.
func TestActiveSetIsAlwaysOneValidCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		now := clock
		var last *Candidate
		told := map[control.ServerID]Member{}
		for range rapid.IntRange(1, 12).Draw(t, "sets") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			c := drawCandidate(t)
			valid := len(Check(now, &c)) == 0
			v := p.Apply(now, c)
			if v.Accepted != valid {
				t.Fatalf("taken %v, valid %v: %v", v.Accepted, valid, v.Faults)
			}
			if valid {
				last = &c
			} else if v.Changed || len(v.Update.Servers) > 0 {
				t.Fatalf("a refused set changes %+v", v.Update)
			}
			for _, m := range v.Update.Servers {
				if told[m.ID] = m; m.Status == control.Removed {
					delete(told, m.ID)
				}
			}
			if last == nil {
				if len(p.Members()) > 0 {
					t.Fatal("a set is in force before the first valid one")
				}
				continue
			}
			in := map[control.ServerID]Member{}
			for _, m := range last.Servers {
				if m.Status != control.Removed {
					in[m.ID] = m
				}
			}
			for _, m := range p.Members() {
				want, ok := in[m.ID]
				want.StartedAt = m.StartedAt // decided here
				if !ok || m != want {
					t.Fatalf("in force: %+v, the candidate has %+v", m, want)
				}
				if m.StartedAt > now+maxClockSkew {
					t.Fatalf("%s has started in the future", m.ID)
				}
				if heard := told[m.ID]; heard != p.entries[m.ID].published() {
					t.Fatalf("told %+v, in force %+v", heard, m)
				}
			}
			if len(p.Members()) != len(in) || len(told) != len(in) {
				t.Fatalf("%d in force, %d told, %d in the candidate", len(p.Members()), len(told), len(in))
			}
			before := p.Current()
			if again := p.Apply(now, *last); again.Changed && len(again.Update.Servers) > 0 || p.Current().Number != before.Number {
				t.Fatalf("the same set again changes %+v", again.Update)
			}
		}
		// And a later process that recalls it has the same.
		q := New()
		if last != nil {
			if v := q.Restore(now, p.Snapshot()); !v.Accepted {
				t.Fatalf("what was remembered is refused: %v", v.Faults)
			}
			if diff := cmp.Diff(p.Members(), q.Members()); diff != "" {
				t.Fatalf("recalled (-want +got):\n%s", diff)
			}
			if v := q.Apply(now, *last); len(v.Update.Servers) > 0 {
				t.Fatalf("the set that was recalled, again, changes %+v", v.Update)
			}
		}
	})
}

// TestFilePoller: however the signs of changes fall, whole files are judged soon and once, and half ones only when they stay.
func TestFilePoller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		l := NewFilePoller(now, rapid.Bool().Draw(t, "watched"))
		judged := ""
		sight, changed := Observation{Digest: "0"}, now // what is in the file, and since when
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "write") {
				sight = Observation{Digest: fmt.Sprint(i), Unfinished: rapid.Bool().Draw(t, "unfinished"), InPlace: rapid.Bool().Draw(t, "in place")}
				changed = now
				if l.watched {
					l.NoteChange(now)
				}
			}
			until := now + time.Duration(rapid.IntRange(0, 700).Draw(t, "ms"))*time.Millisecond
			for looks := 0; l.NextPoll() <= until; looks++ {
				if looks > 60 {
					t.Fatal("it never stops looking")
				}
				now = max(now, l.NextPoll())
				if l.Observe(now, sight) {
					if judged == sight.Digest {
						t.Fatal("judged twice")
					}
					if sight.Unfinished && now-changed < stableTimeUnfinished {
						t.Fatalf("an unfinished file is judged %v after it changed", now-changed)
					}
					if sight.InPlace && now-changed < stableTimeInPlace {
						t.Fatalf("a file that was written in place is judged %v after it changed", now-changed)
					}
					judged = sight.Digest
				}
				if l.NextPoll() <= now {
					t.Fatal("the next look is due at once")
				}
			}
			now = until
			if age := now - changed; !sight.Unfinished && age > 450*time.Millisecond && judged != sight.Digest {
				t.Fatalf("not judged %v after it was written", age)
			}
		}
	})
}

// TestLimitAppliesToAllSources: what is over it is refused whole, be it a file, a list of a stream or a change to one.
func TestLimitAppliesToAllSources(t *testing.T) {
	p := New()
	p.SetLimit(3)
	members := func(from, to int) (all []Member) {
		for i := from; i < to; i++ {
			all = append(all, member(fmt.Sprint("s", i), fmt.Sprint(1000+i), 1))
		}
		return all
	}
	gone := member("s0", "1000", 1)
	gone.Status = control.Removed
	stream := func(whole bool, all ...Member) Candidate {
		return Candidate{Source: FromCoordinator, Update: Update{Complete: whole, Servers: all}}
	}
	for i, test := range []struct {
		Candidate
		taken bool
		left  int
	}{
		{fileCandidate(members(0, 4)...), false, 0},
		{fileCandidate(members(0, 3)...), true, 3},
		{stream(true, members(0, 4)...), false, 3},
		{stream(false, members(2, 4)...), false, 3},
		{stream(false, members(0, 3)...), true, 3},
		{stream(false, append(members(3, 4), gone)...), true, 3},
		{stream(true, members(5, 7)...), true, 2},
	} {
		v := p.Apply(clock+time.Duration(i), test.Candidate)
		if v.Accepted != test.taken || len(p.Members()) != test.left {
			t.Errorf("step %d: taken %v, %d in force: %v", i, v.Accepted, len(p.Members()), v.Faults)
		}
		if !v.Accepted && (len(v.Faults) != 1 || v.Faults[0].String() != "4 servers, 3 are allowed") {
			t.Errorf("step %d: %v", i, v.Faults)
		}
	}
}
