package inifile

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLinesAndValues(t *testing.T) {
	got, faults := Parse([]byte("; a comment\n\n[pool]\nformat = 1\nversion=spring-42   ; a label\n# another\n" +
		"[server s-1] ; of the first floor\r\naddress = ws://127.0.0.1:1/v1#x;y\r\n[server s-1]\nempty =\n\tkey = a = b : c  \n"))
	want := &File{Sections: []Section{
		{"pool", 3, []Key{{"format", "1", 4}, {"version", "spring-42", 5}}},
		{"server s-1", 7, []Key{{"address", "ws://127.0.0.1:1/v1#x;y", 8}}},
		{"server s-1", 9, []Key{{"empty", "", 10}, {"key", "a = b : c", 11}}},
	}}
	if diff := cmp.Diff(want, got); diff != "" || len(faults) > 0 {
		t.Errorf("faults %v (-want +got):\n%s", faults, diff)
	}
	if name, ok := got.Sections[1].NameAfter("server"); !ok || name != "s-1" {
		t.Errorf("name of the server: %q %v", name, ok)
	}
}

func TestFaultLines(t *testing.T) {
	for text, want := range map[string][]string{
		"a = 1":                        {`line 1: key "a" precedes the first section`},
		"[a]\nb = 1\nb = 2\nc":         {`line 3: duplicate key "b", first in line 2`, `line 4: "c" is neither a [section] nor a key = value`},
		"[a]\nb = \"x\"":               {`line 2: key "b": values cannot be quoted or continue on the next line`},
		"[a]\nb = x\\\nc = 1":          {`line 2: key "b": values cannot be quoted or continue on the next line`},
		"[a]\nb = ```x":                {`line 2: key "b": values cannot be quoted or continue on the next line`},
		"[a]\n\nb = \xff":              {"line 3: is not valid UTF-8"},
		"[a]\nb = \x00":                {"line 2: contains characters that cannot be printed"},
		"\ufeff[a]":                    {"line 1: contains characters that cannot be printed"},
		"[a":                           {`line 1: "[a" is not a valid [section]`},
		"[]":                           {`line 1: "[]" is not a valid [section]`},
		"[DEFAULT]\na = 1":             {"line 1: a section cannot be named DEFAULT"},
		"[a] b = 1":                    {`line 1: unexpected "b = 1" after the section [a]`},
		"[a]\nb c = 1":                 {`line 2: "b c" is not a valid name of a key`},
		"{\"name\":\"example\"}\n":     {`line 1: "{\"name\":\"example\"}" is neither a [section] nor a key = value`},
		"[a]\n" + zeros(5000) + " = 1": {"line 2: longer than 4096 bytes"},
	} {
		f, faults := Parse([]byte(text))
		var got []string
		for _, fault := range faults {
			got = append(got, fault.Error())
		}
		if diff := cmp.Diff(want, got); diff != "" || f != nil {
			t.Errorf("%.40q: file %v (-want +got):\n%s", text, f, diff)
		}
	}
}

func zeros(n int) string { return fmt.Sprintf("%0*d", n, 0) }

// FuzzParse checks that every text gives either a file or faults, and that the line numbers in a file increase.
func FuzzParse(f *testing.F) {
	f.Add("[pool]\nformat = 1\n[server a]\naddress = 1:1 ; x\n[end]\n")
	f.Add("[a]\nb = \"\"\"x\ny\"\"\"\n")
	f.Add("[a]\nb = %(c)s\nc=#\n[a]\n-=1")
	f.Fuzz(func(t *testing.T, text string) {
		file, faults := Parse([]byte(text))
		if (file == nil) != (len(faults) > 0) {
			t.Fatalf("file %v, faults %v", file, faults)
		}
		if file == nil {
			return
		}
		line := 0
		for _, s := range file.Sections {
			if s.Line <= line || s.Name == "" {
				t.Fatalf("section %q in line %d after %d", s.Name, s.Line, line)
			}
			line = s.Line
			for _, k := range s.Keys {
				if k.Line <= line || k.Name == "" {
					t.Fatalf("key %q in line %d after %d", k.Name, k.Line, line)
				}
				line = k.Line
			}
		}
	})
}
