// Package poolfile reads and writes pool files: lists of dispatchers and their weights that people write.
// docs/pool-files.md describes the format. Package decide/pool decides what a set means and whether it may become
// active.
package poolfile

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
	"cherryrelay/internal/inifile"
	"cherryrelay/internal/settings"
)

const (
	// MaxBytes bounds the size of a file.
	MaxBytes = 8 << 20
	// FormatVersion is the supported version of the file format.
	FormatVersion = 1
	// MinKeyLength is the minimum length of a key in bytes: shorter keys can be guessed.
	MinKeyLength = 16
)

// Digest identifies the content of a file in logs and in the history. It does not protect against forgery; the MAC
// does.
func Digest(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

// Unfinished reports whether a file lacks its end mark, so that it may be incomplete.
func Unfinished(text []byte) bool {
	_, _, closed := splitAtEnd(text)
	return !closed
}

// splitAtEnd splits a file at its end mark, the last line that is [end], into the body before the mark and the tail
// after it. The tail must be empty or one complete line. So the only prefix of a closed file that is closed as well is
// the one that ends at the mark, and the key determines whether a line must follow.
func splitAtEnd(text []byte) (body, tail []byte, closed bool) {
	const mark = "[end]"
	start := 0
	if !bytes.HasPrefix(text, []byte(mark)) {
		if start = bytes.LastIndex(text, []byte("\n"+mark)) + 1; start == 0 {
			return text, nil, false
		}
	}
	tail, ok := cutNewline(text[start+len(mark):])
	if !ok {
		return text, nil, false
	}
	if len(tail) > 0 && bytes.IndexByte(tail, '\n') != len(tail)-1 {
		return text, nil, false
	}
	return text[:start], tail, true
}

// cutNewline removes a line break from the start of a text.
func cutNewline(text []byte) (rest []byte, ok bool) {
	if rest, ok = bytes.CutPrefix(text, []byte("\n")); !ok {
		rest, ok = bytes.CutPrefix(text, []byte("\r\n"))
	}
	return rest, ok
}

// Parse parses a file. The candidate's faults list all errors in it. With a key, the file must have the MAC that the key
// gives. Without a key, it must not have a MAC, since it could not be verified.
func Parse(text, key []byte) pool.Candidate {
	c := pool.Candidate{Source: pool.FromFile, Digest: Digest(text), Update: pool.Update{Complete: true}}
	p := &parser{c: &c}
	switch {
	case len(text) > MaxBytes:
		p.addFault(pool.TooLarge, 0, "", "%d bytes, at most %d are allowed", len(text), MaxBytes)
		return c
	case len(bytes.TrimSpace(text)) == 0:
		p.addFault(pool.Unfinished, 0, "", "the file is empty")
		return c
	}
	body, tail, closed := splitAtEnd(text)
	if !closed {
		p.addFault(pool.Unfinished, 0, "", "the last line is not [end] or one complete line after it: the file is incomplete or truncated")
	}
	f, faults := inifile.Parse(body)
	for _, fault := range faults {
		p.addFault(pool.BadFormat, fault.Line, "", "%s", fault.Text)
	}
	if f == nil {
		return c
	}
	if closed {
		p.checkMAC(body, tail, key)
	}
	p.parseSections(f)
	return c
}

type parser struct{ c *pool.Candidate }

func (p *parser) addFault(reason pool.Reason, line int, key, format string, args ...any) {
	p.c.Faults = append(p.c.Faults, pool.Fault{Reason: reason, Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

// checkMAC checks the tail after the end mark.
func (p *parser) checkMAC(body, tail, key []byte) {
	line := bytes.Count(body, []byte("\n")) + 2
	text, ok := strings.CutPrefix(strings.TrimSpace(string(tail)), "mac")
	text = strings.TrimSpace(text)
	given, assigned := strings.CutPrefix(text, "=")
	got, err := hex.DecodeString(strings.TrimSpace(given))
	switch {
	case len(tail) == 0 && key == nil:
	case len(tail) == 0:
		p.addFault(pool.BadMAC, line-1, "mac", "missing: the file must be sealed")
	case !ok || !assigned:
		p.addFault(pool.BadFormat, line, "", "only mac = ... may follow [end]")
	case key == nil:
		p.addFault(pool.BadMAC, line, "mac", "the file is sealed, but no key is configured to verify it")
	case err != nil || !hmac.Equal(got, computeMAC(body, key)):
		p.addFault(pool.BadMAC, line, "mac", "does not match the file and the key")
	}
}

func computeMAC(body, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body) // never returns an error
	return h.Sum(nil)
}

// Keys of the sections, and whether they are required.
var (
	poolKeys   = map[string]bool{"format": true, "servers": true, "version": false}
	serverKeys = map[string]bool{"address": true, "weight": true, "group": true, "zone": false, "status": false, "since": false}
)

// parseSections parses the sections.
func (p *parser) parseSections(f *inifile.File) {
	if len(f.Sections) == 0 || f.Sections[0].Name != "pool" {
		p.addFault(pool.BadFormat, 0, "", "the first section must be [pool]")
		return
	}
	head := &f.Sections[0]
	p.checkKeys(head, poolKeys)
	if key := head.Get("format"); key != nil && key.Value != strconv.Itoa(FormatVersion) {
		p.addFault(pool.BadFormat, key.Line, key.Name, "%.40q is not supported, only %d is", key.Value, FormatVersion)
		return // the rest may have another meaning in another format
	}
	if key := head.Get("version"); key != nil {
		p.c.Label = key.Value
		if strings.ContainsAny(key.Value, "\"\\") {
			p.addFault(pool.BadValue, key.Line, key.Name, "contains quotes or backslashes")
		}
	}
	for i := range f.Sections[1:] {
		s := &f.Sections[1+i]
		if name, ok := s.NameAfter("server"); ok {
			p.parseServer(s, name)
			continue
		}
		switch s.Name {
		case "pool":
			p.addFault(pool.BadFormat, s.Line, "", "duplicate section [pool]")
		case "end":
			p.addFault(pool.BadFormat, s.Line, "", "[end] is not the last section")
		default:
			p.addFault(pool.BadFormat, s.Line, "", "unknown section [%.80s]", s.Name)
		}
	}
	if key := head.Get("servers"); key != nil {
		if n, ok := p.parseInt(key, 0, pool.MaxServers); ok && n != len(p.c.Servers) {
			p.addFault(pool.BadCount, key.Line, key.Name, "%d are declared, %d follow", n, len(p.c.Servers))
		}
	}
}

// checkKeys reports unknown keys and missing required keys.
func (p *parser) checkKeys(s *inifile.Section, known map[string]bool) {
	for _, k := range s.Keys {
		if _, ok := known[k.Name]; !ok {
			p.addFault(pool.BadFormat, k.Line, "", "unknown key %.40q in [%.80s]", k.Name, s.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		if known[name] && s.Get(name) == nil {
			p.addFault(pool.BadFormat, s.Line, "", "[%.80s] lacks the key %s", s.Name, name)
		}
	}
}

// parseInt parses an integer from minimum to maximum.
func (p *parser) parseInt(key *inifile.Key, minimum, maximum int) (int, bool) {
	n, err := strconv.Atoi(key.Value)
	if err != nil || n < minimum || n > maximum {
		p.addFault(pool.BadValue, key.Line, key.Name, "%.40q is no whole number from %d to %d", key.Value, minimum, maximum)
		return 0, false
	}
	return n, true
}

func (p *parser) parseServer(s *inifile.Section, name string) {
	p.checkKeys(s, serverKeys)
	m := pool.Member{ServerEntry: control.ServerEntry{ID: control.ServerID(name), Weight: 1}}
	for i := range s.Keys {
		key := &s.Keys[i]
		switch key.Name {
		case "address":
			m.Address = key.Value
		case "zone":
			m.Zone = key.Value
		case "group":
			m.Cell, _ = p.parseInt(key, 0, pool.MaxGroup)
		case "weight":
			n, ok := p.parseInt(key, 0, pool.MaxWeight)
			switch {
			case ok && n == 0:
				m.Weight = pool.NoNewCalls
			case ok:
				m.Weight = n
			}
		case "status":
			status, err := settings.ParseStatus(key.Value)
			if err != nil {
				p.addFault(pool.BadValue, key.Line, key.Name, "%.40q is not one of active, leaving and left", key.Value)
			}
			m.Status = status
		case "since":
			t, err := time.Parse(time.RFC3339, key.Value)
			if err != nil || t.Before(time.Unix(0, 1)) {
				p.addFault(pool.BadValue, key.Line, key.Name, "%.40q is not a time such as 2026-12-01T10:00:00Z", key.Value)
				continue
			}
			m.StartedAt = time.Duration(t.UnixNano())
		}
	}
	p.c.Servers = append(p.c.Servers, m)
	p.c.Lines = append(p.c.Lines, s.Line)
}

// Seal returns the file with the MAC of a key, which replaces the MAC that it has.
func Seal(text, key []byte) ([]byte, error) {
	if err := CheckKey(key); err != nil {
		return nil, err
	}
	body, _, closed := splitAtEnd(text)
	if !closed {
		return nil, errors.New("the last line is not [end]")
	}
	sealed := append(slices.Clone(body), "[end]\nmac = "...)
	return append(sealed, hex.EncodeToString(computeMAC(body, key))+"\n"...), nil
}

// CheckKey returns an error if a key is too short.
func CheckKey(key []byte) error {
	if len(key) < MinKeyLength {
		return fmt.Errorf("the key has %d bytes, at least %d are required", len(key), MinKeyLength)
	}
	return nil
}

// Encode returns a set in the format of a pool file.
func Encode(label string, members []pool.Member) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[pool]\nformat = %d\n", FormatVersion)
	if label != "" {
		fmt.Fprintf(&b, "version = %s\n", label)
	}
	fmt.Fprintf(&b, "servers = %d\n", len(members))
	for _, m := range members {
		fmt.Fprintf(&b, "\n[server %s]\naddress = %s\ngroup = %d\nweight = %d\n", m.ID, m.Address, m.Cell, max(m.Weight, 0))
		if m.Zone != "" {
			fmt.Fprintf(&b, "zone = %s\n", m.Zone)
		}
		if m.Status != control.Active {
			fmt.Fprintf(&b, "status = %s\n", settings.StatusName(m.Status))
		}
		if m.StartedAt > 0 {
			fmt.Fprintf(&b, "since = %s\n", time.Unix(0, int64(m.StartedAt)).UTC().Format(time.RFC3339Nano))
		}
	}
	b.WriteString("\n[end]\n")
	return b.Bytes()
}
