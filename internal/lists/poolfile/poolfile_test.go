package poolfile

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
)

const testTime = 1_790_000_000 * time.Second

var testKey = []byte("a key that has more than sixteen bytes")

const validFile = `; the pool of the spring
[pool]
format = 1
version = spring-42          ; a label
servers = 2

[server s-1]
address = 127.0.0.1:7001
zone = tallinn
group = 0
weight = 100
status = active

[server s-2]
address = ws://127.0.0.1:7002/v1/calls
group = 1
weight = 0
status = leaving
since = 2026-09-01T10:00:00Z
[end]
`

// faultTexts returns the reasons and texts of all faults of a file, as operators see them.
func faultTexts(text, key []byte) []string {
	c := Parse(text, key)
	var got []string
	for _, f := range pool.Check(testTime, &c) {
		got = append(got, string(f.Reason)+": "+f.String())
	}
	return got
}

func TestReadsValidFile(t *testing.T) {
	c := Parse([]byte(validFile), nil)
	want := []pool.Member{
		{Address: "127.0.0.1:7001", ServerEntry: control.ServerEntry{ID: "s-1", Zone: "tallinn", Weight: 100}},
		{Address: "ws://127.0.0.1:7002/v1/calls", ServerEntry: control.ServerEntry{ID: "s-2", Cell: 1, Weight: pool.NoNewCalls, Status: control.Draining,
			StartedAt: time.Duration(time.Date(2026, 9, 1, 10, 0, 0, 0, time.UTC).UnixNano())}},
	}
	if diff := cmp.Diff(want, c.Servers); diff != "" || c.Label != "spring-42" || len(c.Faults) > 0 {
		t.Errorf("label %q, faults %v (-want +got):\n%s", c.Label, c.Faults, diff)
	}
	if crlf := Parse([]byte(strings.ReplaceAll(validFile, "\n", "\r\n")), nil); len(crlf.Faults) > 0 || len(crlf.Servers) != 2 {
		t.Errorf("with CRLF line ends: %v", crlf.Faults)
	}
}

func TestReportsFaults(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{validFile, "", "unfinished: the file is empty"},
		{validFile, " \n", "unfinished: the file is empty"},
		{"[end]\n", "", "unfinished: the last line is not [end]"},
		{"[end]\n", "[end]", "unfinished: the last line is not [end]"},
		{"[end]\n", "[end]\n\n\n", "unfinished: the last line is not [end]"},
		{"[end]\n", "[end]\n[server x]\n", "form: line 21: only mac = ... may follow [end]"},
		{"[end]\n", "[end]\nmac = 00\n", "mac: line 21: mac: the file is sealed, but no key is configured"},
		{"format = 1", "format = 2", `form: line 3: format: "2" is not supported, only 1 is`},
		{"format = 1\n", "", "form: line 2: [pool] lacks the key format"},
		{"servers = 2", "servers = 3", "count: line 5: servers: 3 are declared, 2 follow"},
		{"servers = 2", "servers = two", `value: line 5: servers: "two" is no whole number from 0 to 50000`},
		{"servers = 2\n", "", "form: line 2: [pool] lacks the key servers"},
		{"server s-2", "server s-1", `twice: line 14: server: "s-1" is named twice, first in line 7`},
		{"ws://127.0.0.1:7002", "ws://127.0.0.1:7001", `twice: line 14: address: "ws://127.0.0.1:7001/v1/calls" of server "s-2" is already used by server "s-1"`},
		{"zone = tallinn", "zones = tallinn", `form: line 9: unknown key "zones" in [server s-1]`},
		{"group = 1\n", "", "form: line 14: [server s-2] lacks the key group"},
		{"group = 1", "group = -1", `value: line 16: group: "-1" is no whole number from 0 to 1048576`},
		{"weight = 100", "weight = 0", "nobody: no server is active with a weight above 0"},
		{"weight = 100", "weight = 1001", `value: line 11: weight: "1001" is no whole number from 0 to 1000`},
		{"weight = 100", "weight = 1e2", `value: line 11: weight: "1e2" is no whole number`},
		{"status = active", "status = left", "nobody: no server is active"},
		{"status = active", "status = up", `value: line 12: status: "up" is not one of active, leaving and left`},
		{"2026-09-01T10:00:00Z", "yesterday", `value: line 19: since: "yesterday" is not a time`},
		{"2026-09-01T10:00:00Z", "2126-09-01T10:00:00Z", `value: line 14: since: server "s-2" would start in the future`},
		{"tallinn", "tal\xfflinn", "form: line 9: is not valid UTF-8"},
		{"[server s-2]", "[sever s-2]", "form: line 14: unknown section [sever s-2]"},
		{"[server s-2]", "[end]\n[server s-2]", "form: line 14: [end] is not the last section"},
		{"[server s-2]", "[server s-2", `form: line 14: "[server s-2" is not a valid [section]`},
		{"zone = tallinn", "zone = " + strings.Repeat("x", 65), "is longer than 64 bytes"},
		{"zone = tallinn", "; " + strings.Repeat("x", MaxBytes), "size: "},
	} {
		text := strings.Replace(validFile, test.from, test.to, 1)
		if text == validFile {
			t.Fatalf("the file lacks %q", test.from)
		}
		got := faultTexts([]byte(text), nil)
		if len(got) == 0 || !strings.Contains(strings.Join(got, "\n"), test.want) || strings.Contains(got[0], "\n") {
			t.Errorf("%.40q in place of %.40q: faults %q, want %q", test.to, test.from, got, test.want)
		}
	}
}

func TestSeal(t *testing.T) {
	sealed, err := Seal([]byte(validFile), testKey)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Seal(sealed, testKey)
	if err != nil || !bytes.Equal(sealed, again) {
		t.Errorf("sealed again: %v", err)
	}
	if got := faultTexts(sealed, testKey); len(got) > 0 {
		t.Errorf("sealed: %q", got)
	}
	for name, test := range map[string]struct{ text, key []byte }{
		"not sealed":   {[]byte(validFile), testKey},
		"another key":  {sealed, []byte("another key, long enough")},
		"another byte": {bytes.Replace(sealed, []byte("weight = 100"), []byte("weight = 101"), 1), testKey},
		"not hex":      {bytes.Replace(sealed, []byte("mac = "), []byte("mac = x"), 1), testKey},
		"truncated":    {append(sealed[:len(sealed)-3:len(sealed)-3], '\n'), testKey},
	} {
		if got := faultTexts(test.text, test.key); len(got) != 1 || !strings.HasPrefix(got[0], "mac: ") {
			t.Errorf("%s: %q", name, got)
		}
	}
	if _, err := Seal([]byte(validFile), []byte("short")); err == nil {
		t.Error("a short key is accepted")
	}
	if _, err := Seal([]byte("[pool]\n"), testKey); err == nil {
		t.Error("an unfinished file is sealed")
	}
}

// TestNoPrefixIsValid truncates a file at every byte, with and without a MAC.
func TestNoPrefixIsValid(t *testing.T) {
	sealed, err := Seal([]byte(validFile), testKey)
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ text, key []byte }{"plain": {[]byte(validFile), nil}, "sealed": {sealed, testKey}} {
		if got := faultTexts(test.text, test.key); len(got) > 0 {
			t.Fatalf("%s: %q", name, got)
		}
		for n := range test.text {
			if len(faultTexts(test.text[:n], test.key)) == 0 {
				t.Errorf("%s: the first %d of %d bytes are accepted", name, n, len(test.text))
			}
			if n < len(test.text) && name == "plain" && !Unfinished(test.text[:n]) {
				t.Errorf("the first %d of %d bytes count as finished", n, len(test.text))
			}
		}
	}
}

// TestWriteAndRead checks for random sets that a written file is read unchanged, and that no prefix of it is valid.
func TestWriteAndRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []pool.Member
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			members = append(members, pool.Member{Address: fmt.Sprint("127.0.0.1:", 7000+i), ServerEntry: control.ServerEntry{
				ID: control.ServerID(fmt.Sprint("s-", i)), Cell: rapid.IntRange(0, 9).Draw(t, "group"),
				Zone: rapid.SampledFrom([]string{"", "tartu"}).Draw(t, "zone"), Weight: rapid.SampledFrom([]int{pool.NoNewCalls, 1, 1000}).Draw(t, "weight"),
				Status:    control.ServerStatus(rapid.IntRange(0, 2).Draw(t, "status")),
				StartedAt: time.Duration(rapid.Int64Range(0, int64(testTime)).Draw(t, "since")),
			}})
		}
		text := Encode("v", members)
		c := Parse(text, nil)
		if diff := cmp.Diff(members, c.Servers); diff != "" || len(c.Faults) > 0 {
			t.Fatalf("faults %v (-want +got):\n%s", c.Faults, diff)
		}
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		if prefix := Parse(text[:cut], nil); len(prefix.Faults) == 0 {
			t.Fatalf("the first %d of %d bytes are accepted", cut, len(text))
		}
	})
}

// FuzzRead checks that every text is either accepted or has faults. An accepted file must be finished and stay
// unchanged when it is written and read again. A fault must have a text of one line and the number of an existing line.
func FuzzRead(f *testing.F) {
	f.Add([]byte(validFile), false)
	sealed, _ := Seal([]byte(validFile), testKey)
	f.Add(sealed, true)
	f.Add([]byte("[end]\n"), false)
	f.Add([]byte("[pool]\nformat = 1\nservers = 1\n[server a]\naddress = a:1\ngroup = 0\nweight = 1\n[end]\nmac =\n"), true)
	f.Fuzz(func(t *testing.T, text []byte, keyed bool) {
		k := testKey
		if !keyed {
			k = nil
		}
		c := Parse(text, k)
		faults := pool.Check(testTime, &c)
		for _, fault := range faults {
			if fault.Line < 0 || fault.Line > bytes.Count(text, []byte("\n"))+1 || strings.ContainsAny(fault.String(), "\n\r") {
				t.Errorf("fault %q", fault)
			}
		}
		if len(faults) == 0 {
			if Unfinished(text) {
				t.Error("an unfinished file is accepted")
			}
			if again := Parse(Encode(c.Label, c.Servers), nil); len(again.Faults) > 0 || !cmp.Equal(again.Servers, c.Servers) {
				t.Errorf("read again: %v", again.Faults)
			}
		}
	})
}

func BenchmarkRead(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		var members []pool.Member
		for i := range n {
			members = append(members, pool.Member{Address: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250), ServerEntry: control.ServerEntry{
				ID: control.ServerID(fmt.Sprint("s-", i)), Zone: "tallinn", Cell: i % 4, Weight: 100}})
		}
		text := Encode("v", members)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if c := Parse(text, nil); len(c.Faults) > 0 {
					b.Fatal(c.Faults)
				}
			}
		})
	}
}
