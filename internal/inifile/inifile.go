// Package inifile reads INI files that people write, with the line of every section and key. The values come from
// gopkg.in/ini.v1. A pass in front of it gives the lines, which it does not tell, and refuses what people here do not mean:
// values that go on in the next line, quotes, keys outside of a section, a key twice. What the two read must agree.
package inifile

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// File is what a file holds, in its order.
type File struct{ Sections []Section }

// Section is one section. Names may come more than once; what that means is for the reader to say.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Key is one key and its value.
type Key struct {
	Name, Value string
	Line        int
}

// Get is the key of a name; nil if it is not there.
func (s *Section) Get(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// Named is the rest of the name of a section with a first word, such as "s-1" of [server s-1], if it is such a section.
func (s *Section) Named(word string) (rest string, ok bool) {
	first, rest, _ := strings.Cut(s.Name, " ")
	return strings.TrimSpace(rest), first == word
}

// Number reads a whole number from least to most. The fault is nil if the value is one.
func (k *Key) Number(least, most int) (int, *Fault) {
	n, err := strconv.Atoi(k.Value)
	if err != nil || n < least || n > most {
		return 0, &Fault{Line: k.Line, Text: fmt.Sprintf("%s: %.40q is no whole number from %d to %d", k.Name, k.Value, least, most)}
	}
	return n, nil
}

// Fault is what is wrong with a line.
type Fault struct {
	Line int // 0 for the whole file
	Text string
}

func (f Fault) Error() string {
	if f.Line > 0 {
		return fmt.Sprintf("line %d: %s", f.Line, f.Text)
	}
	return f.Text
}

// maxLine bounds a line; no value here is near it.
const maxLine = 4096

// options have ini.v1 read lines as people here write them.
var options = ini.LoadOptions{
	AllowNonUniqueSections: true, IgnoreContinuation: true, SpaceBeforeInlineComment: true, PreserveSurroundedQuote: true,
	KeyValueDelimiters: "=",
}

// Parse reads a file. If there are faults, there is no file.
func Parse(text []byte) (*File, []Fault) {
	f, faults := lines(text)
	if len(faults) > 0 {
		return nil, faults
	}
	// Another byte order mark would be taken off by it, too.
	read, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, []Fault{{0, "cannot be read: " + strings.Join(strings.Fields(err.Error()), " ")}}
	}
	sections := read.Sections()[1:] // the first stands for what is outside of all sections
	if len(sections) != len(f.Sections) {
		return nil, []Fault{{0, fmt.Sprintf("can be read in two ways: %d sections, or %d", len(f.Sections), len(sections))}}
	}
	for i := range f.Sections {
		s := &f.Sections[i]
		keys := sections[i].Keys()
		if sections[i].Name() != s.Name || len(keys) != len(s.Keys) {
			return nil, []Fault{{s.Line, fmt.Sprintf("section [%.80s] can be read in two ways", s.Name)}}
		}
		for j, key := range keys {
			if key.Name() != s.Keys[j].Name {
				return nil, []Fault{{s.Keys[j].Line, fmt.Sprintf("key %.80q can be read in two ways", key.Name())}}
			}
			s.Keys[j].Value = key.Value()
		}
	}
	return f, nil
}

// lines finds sections and keys, without the values.
func lines(text []byte) (*File, []Fault) {
	f := &File{}
	var faults []Fault
	number := 0
	add := func(format string, args ...any) {
		if len(faults) < 100 { // what is no INI at all has a fault in each line
			faults = append(faults, Fault{number, fmt.Sprintf(format, args...)})
		}
	}
	if !utf8.Valid(text) {
		return nil, []Fault{{1 + bytes.Count(text[:firstInvalid(text)], []byte("\n")), "is no UTF-8"}}
	}
	var seen map[string]int
	for raw := range bytes.Lines(text) {
		number++
		line := strings.TrimSpace(string(raw))
		switch {
		case len(raw) > maxLine:
			add("longer than %d bytes", maxLine)
		case strings.ContainsFunc(strings.TrimRight(string(raw), "\r\n"), func(r rune) bool { return unicode.IsControl(r) && r != '\t' || r == '\ufeff' }):
			add("has characters that cannot be printed")
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[':
			name, rest, closed := strings.Cut(line[1:], "]")
			rest = strings.TrimSpace(rest)
			switch {
			case !closed || name != strings.TrimSpace(name) || name == "" || strings.ContainsAny(name, "[\"`"):
				add("%.80q is no [section]", line)
			case strings.EqualFold(name, ini.DefaultSection):
				add("no section can be called %s", name)
			case rest != "" && rest[0] != ';' && rest[0] != '#':
				add("%.80q follows the section [%.80s]", rest, name)
			}
			f.Sections = append(f.Sections, Section{Name: name, Line: number})
			seen = map[string]int{}
		default:
			name, value, is := strings.Cut(line, "=")
			name, value = strings.TrimSpace(name), strings.TrimSpace(value)
			switch {
			case !is:
				add("%.80q is neither a [section] nor a key = value", line)
				continue
			case name == "" || strings.ContainsFunc(name, func(r rune) bool { return r != '_' && r != '.' && !unicode.IsLetter(r) && !unicode.IsDigit(r) }):
				add("%.80q is no name of a key", name)
				continue
			case len(f.Sections) == 0:
				add("key %q stands before the first section", name)
				continue
			case strings.HasSuffix(value, `\`) || value != "" && strings.ContainsRune("\"'`", rune(value[0])):
				add("key %q: values have no quotes and don't go on in the next line", name)
				continue
			case seen[name] > 0:
				add("key %q stands in line %d, too", name, seen[name])
				continue
			}
			seen[name] = number
			s := &f.Sections[len(f.Sections)-1]
			s.Keys = append(s.Keys, Key{Name: name, Line: number})
		}
	}
	return f, faults
}

func firstInvalid(text []byte) int {
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return len(text)
}
