// Package inifile parses INI files with the line numbers of sections and keys. The values come from gopkg.in/ini.v1. A
// scan before it finds the line numbers, which ini.v1 does not provide, and rejects likely mistakes: continuation
// lines, quotes, keys outside of a section, duplicate keys. The two results must agree.
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

// File is the content of a file, in order.
type File struct{ Sections []Section }

// Section is one section. Names may repeat; the caller decides what that means.
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

// Get returns the key with a name; nil if there is none.
func (s *Section) Get(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// NameAfter returns the section's name without its first word, such as "s-1" for [server s-1]. ok reports whether the first
// word is word.
func (s *Section) NameAfter(word string) (rest string, ok bool) {
	first, rest, _ := strings.Cut(s.Name, " ")
	return strings.TrimSpace(rest), first == word
}

// Number parses an integer from minimum to maximum. The fault is nil if the value is valid.
func (k *Key) Number(minimum, maximum int) (int, *Fault) {
	n, err := strconv.Atoi(k.Value)
	if err != nil || n < minimum || n > maximum {
		return 0, &Fault{Line: k.Line, Text: fmt.Sprintf("%s: %.40q is no whole number from %d to %d", k.Name, k.Value, minimum, maximum)}
	}
	return n, nil
}

// Fault is an error in a line.
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

// maxLineBytes bounds the length of a line, in bytes.
const maxLineBytes = 4096

// parserOptions disable the features of ini.v1 that the scan rejects.
var parserOptions = ini.LoadOptions{
	AllowNonUniqueSections: true, IgnoreContinuation: true, SpaceBeforeInlineComment: true, PreserveSurroundedQuote: true,
	KeyValueDelimiters: "=",
}

// Parse parses a file. It returns either the file or its faults.
func Parse(text []byte) (*File, []Fault) {
	f, faults := scanLines(text)
	if len(faults) > 0 {
		return nil, faults
	}
	// The scan has rejected every byte order mark, which ini.v1 would strip.
	parsed, err := ini.LoadSources(parserOptions, text)
	if err != nil {
		return nil, []Fault{{0, "cannot be parsed: " + strings.Join(strings.Fields(err.Error()), " ")}}
	}
	sections := parsed.Sections()[1:] // the first holds keys outside of all sections
	if len(sections) != len(f.Sections) {
		return nil, []Fault{{0, fmt.Sprintf("is ambiguous: it has %d or %d sections", len(f.Sections), len(sections))}}
	}
	for i := range f.Sections {
		s := &f.Sections[i]
		keys := sections[i].Keys()
		if sections[i].Name() != s.Name || len(keys) != len(s.Keys) {
			return nil, []Fault{{s.Line, fmt.Sprintf("section [%.80s] is ambiguous", s.Name)}}
		}
		for j, key := range keys {
			if key.Name() != s.Keys[j].Name {
				return nil, []Fault{{s.Keys[j].Line, fmt.Sprintf("key %.80q is ambiguous", key.Name())}}
			}
			s.Keys[j].Value = key.Value()
		}
	}
	return f, nil
}

// maxFaults bounds the reported faults: a file that is not INI at all has a fault in every line.
const maxFaults = 100

// scanner finds the sections and keys of a file, without the values.
type scanner struct {
	file   File
	faults []Fault
	line   int
	keys   map[string]int // lines of the keys of the current section
}

func (s *scanner) fault(format string, args ...any) {
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, Fault{s.line, fmt.Sprintf(format, args...)})
	}
}

// scanLines returns the sections and keys of a text, without the values.
func scanLines(text []byte) (*File, []Fault) {
	if !utf8.Valid(text) {
		return nil, []Fault{{1 + bytes.Count(text[:firstInvalid(text)], []byte("\n")), "is not valid UTF-8"}}
	}
	s := &scanner{}
	for raw := range bytes.Lines(text) {
		s.line++
		s.scan(string(raw))
	}
	return &s.file, s.faults
}

func (s *scanner) scan(raw string) {
	line := strings.TrimSpace(raw)
	switch {
	case len(raw) > maxLineBytes:
		s.fault("longer than %d bytes", maxLineBytes)
	case strings.ContainsFunc(strings.TrimRight(raw, "\r\n"), isUnprintable):
		s.fault("contains characters that cannot be printed")
	case line == "" || isComment(line):
	case line[0] == '[':
		s.section(line)
	default:
		s.key(line)
	}
}

func isUnprintable(r rune) bool { return unicode.IsControl(r) && r != '\t' || r == '\ufeff' }

func isComment(text string) bool { return text[0] == ';' || text[0] == '#' }

func (s *scanner) section(line string) {
	name, rest, closed := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	switch {
	case !closed || name != strings.TrimSpace(name) || name == "" || strings.ContainsAny(name, "[\"`"):
		s.fault("%.80q is not a valid [section]", line)
	case strings.EqualFold(name, ini.DefaultSection):
		s.fault("a section cannot be named %s", name)
	case rest != "" && !isComment(rest):
		s.fault("unexpected %.80q after the section [%.80s]", rest, name)
	}
	s.file.Sections = append(s.file.Sections, Section{Name: name, Line: s.line})
	s.keys = map[string]int{}
}

func (s *scanner) key(line string) {
	name, value, hasValue := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !hasValue:
		s.fault("%.80q is neither a [section] nor a key = value", line)
	case name == "" || strings.ContainsFunc(name, isNotInKeys):
		s.fault("%.80q is not a valid name of a key", name)
	case len(s.file.Sections) == 0:
		s.fault("key %q precedes the first section", name)
	case strings.HasSuffix(value, `\`) || value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		s.fault("key %q: values cannot be quoted or continue on the next line", name)
	case s.keys[name] > 0:
		s.fault("duplicate key %q, first in line %d", name, s.keys[name])
	default:
		s.keys[name] = s.line
		section := &s.file.Sections[len(s.file.Sections)-1]
		section.Keys = append(section.Keys, Key{Name: name, Line: s.line})
	}
}

func isNotInKeys(r rune) bool {
	return r != '_' && r != '.' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
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
