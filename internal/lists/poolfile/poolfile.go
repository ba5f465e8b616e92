// Package poolfile has the form of a pool file: a list of dispatchers and their weights, as people write it. docs/pool-files.md
// tells the form. What a set means, and whether it may come into force, is decided by decide/pool.
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
	// MaxBytes bounds a file.
	MaxBytes = 8 << 20
	// Format is the version of the form that is read here.
	Format = 1
	// MinKey is the least length of a key: shorter ones can be guessed.
	MinKey = 16
)

// Digest names the bytes of a file in logs and histories. It is no proof against forgery; that is the MAC's.
func Digest(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }

// Unfinished reports whether a file may still be written: it does not close with its end mark.
func Unfinished(text []byte) bool {
	_, _, closed := split(text)
	return !closed
}

// split parts a file at its end mark, the last line that is [end]: what it holds, and what follows the mark. The mark must
// be followed by nothing, or by one line, whole: so no prefix of a file that is closed is closed too, but for one that ends
// at the mark itself, and whether a line must follow is known from the key.
func split(text []byte) (body, tail []byte, closed bool) {
	const mark = "[end]"
	at := 0
	if !bytes.HasPrefix(text, []byte(mark)) {
		if at = bytes.LastIndex(text, []byte("\n"+mark)) + 1; at == 0 {
			return text, nil, false
		}
	}
	tail, ok := newline(text[at+len(mark):])
	if !ok {
		return text, nil, false
	}
	if len(tail) > 0 && bytes.IndexByte(tail, '\n') != len(tail)-1 {
		return text, nil, false
	}
	return text[:at], tail, true
}

// newline takes the end of a line off.
func newline(text []byte) (rest []byte, ok bool) {
	if rest, ok = bytes.CutPrefix(text, []byte("\n")); !ok {
		rest, ok = bytes.CutPrefix(text, []byte("\r\n"))
	}
	return rest, ok
}

// Read reads a file. All that is wrong with it is in the candidate's faults. With a key, the file must carry the MAC that
// the key gives; without one, it must carry none, as nobody could tell whether it is right.
func Read(text, key []byte) pool.Candidate {
	c := pool.Candidate{Source: pool.FromFile, Digest: Digest(text), Update: pool.Update{Complete: true}}
	r := &reader{c: &c}
	switch {
	case len(text) > MaxBytes:
		r.fault(pool.TooLarge, 0, "", "%d bytes, %d are allowed", len(text), MaxBytes)
		return c
	case len(bytes.TrimSpace(text)) == 0:
		r.fault(pool.Unfinished, 0, "", "the file is empty")
		return c
	}
	body, tail, closed := split(text)
	if !closed {
		r.fault(pool.Unfinished, 0, "", "the last line is not [end], or a whole one that follows it: the file is not finished, or was cut")
	}
	f, faults := inifile.Parse(body)
	for _, fault := range faults {
		r.fault(pool.BadFormat, fault.Line, "", "%s", fault.Text)
	}
	if f == nil {
		return c
	}
	if closed {
		r.mac(body, tail, key)
	}
	r.file(f)
	return c
}

type reader struct{ c *pool.Candidate }

func (r *reader) fault(reason pool.Reason, line int, key, format string, args ...any) {
	r.c.Faults = append(r.c.Faults, pool.Fault{Reason: reason, Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

// mac checks what follows the end mark.
func (r *reader) mac(body, tail, key []byte) {
	line := bytes.Count(body, []byte("\n")) + 2
	text, is := strings.CutPrefix(strings.TrimSpace(string(tail)), "mac")
	text = strings.TrimSpace(text)
	given, assigned := strings.CutPrefix(text, "=")
	got, err := hex.DecodeString(strings.TrimSpace(given))
	switch {
	case len(tail) == 0 && key == nil:
	case len(tail) == 0:
		r.fault(pool.BadMAC, line-1, "mac", "missing: the file must be sealed")
	case !is || !assigned:
		r.fault(pool.BadFormat, line, "", "only mac = ... may follow [end]")
	case key == nil:
		r.fault(pool.BadMAC, line, "mac", "the file is sealed, and no key is configured to check it with")
	case err != nil || !hmac.Equal(got, sum(body, key)):
		r.fault(pool.BadMAC, line, "mac", "it is not that of the file under the key")
	}
}

func sum(body, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body) // it never fails
	return h.Sum(nil)
}

// keys of the sections, and which of them must be there.
var (
	poolKeys   = map[string]bool{"format": true, "servers": true, "version": false}
	serverKeys = map[string]bool{"address": true, "weight": true, "group": true, "zone": false, "status": false, "since": false}
)

// file reads the sections.
func (r *reader) file(f *inifile.File) {
	if len(f.Sections) == 0 || f.Sections[0].Name != "pool" {
		r.fault(pool.BadFormat, 0, "", "the first section must be [pool]")
		return
	}
	head := &f.Sections[0]
	r.keys(head, poolKeys)
	if key := head.Get("format"); key != nil && key.Value != strconv.Itoa(Format) {
		r.fault(pool.BadFormat, key.Line, key.Name, "%.40q is not known here, %d is", key.Value, Format)
		return // what follows may mean anything
	}
	if key := head.Get("version"); key != nil {
		r.c.Label = key.Value
		if strings.ContainsAny(key.Value, "\"\\") {
			r.fault(pool.BadValue, key.Line, key.Name, "has quotes or backslashes")
		}
	}
	for i := range f.Sections[1:] {
		s := &f.Sections[1+i]
		if name, ok := s.Named("server"); ok {
			r.server(s, name)
			continue
		}
		switch s.Name {
		case "pool":
			r.fault(pool.BadFormat, s.Line, "", "a second [pool]")
		case "end":
			r.fault(pool.BadFormat, s.Line, "", "[end] is not last")
		default:
			r.fault(pool.BadFormat, s.Line, "", "unknown section [%.80s]", s.Name)
		}
	}
	if key := head.Get("servers"); key != nil {
		if n, ok := r.number(key, 0, pool.MaxServers); ok && n != len(r.c.Servers) {
			r.fault(pool.BadCount, key.Line, key.Name, "%d are announced, %d follow", n, len(r.c.Servers))
		}
	}
}

// keys tells of keys that are not known and of those that are missing.
func (r *reader) keys(s *inifile.Section, known map[string]bool) {
	for _, k := range s.Keys {
		if _, ok := known[k.Name]; !ok {
			r.fault(pool.BadFormat, k.Line, "", "unknown key %.40q in [%.80s]", k.Name, s.Name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		if known[name] && s.Get(name) == nil {
			r.fault(pool.BadFormat, s.Line, "", "[%.80s] lacks the key %s", s.Name, name)
		}
	}
}

// number reads a whole number.
func (r *reader) number(key *inifile.Key, least, most int) (int, bool) {
	n, err := strconv.Atoi(key.Value)
	if err != nil || n < least || n > most {
		r.fault(pool.BadValue, key.Line, key.Name, "%.40q is no whole number from %d to %d", key.Value, least, most)
		return 0, false
	}
	return n, true
}

func (r *reader) server(s *inifile.Section, name string) {
	r.keys(s, serverKeys)
	m := pool.Member{ServerEntry: control.ServerEntry{ID: control.ServerID(name), Weight: 1}}
	for i := range s.Keys {
		key := &s.Keys[i]
		switch key.Name {
		case "address":
			m.Address = key.Value
		case "zone":
			m.Zone = key.Value
		case "group":
			m.Cell, _ = r.number(key, 0, pool.MaxGroup)
		case "weight":
			n, ok := r.number(key, 0, pool.MaxWeight)
			switch {
			case ok && n == 0:
				m.Weight = pool.NoNewCalls
			case ok:
				m.Weight = n
			}
		case "status":
			status, err := settings.ParseStatus(key.Value)
			if err != nil {
				r.fault(pool.BadValue, key.Line, key.Name, "%.40q is none of active, leaving and left", key.Value)
			}
			m.Status = status
		case "since":
			t, err := time.Parse(time.RFC3339, key.Value)
			if err != nil || t.Before(time.Unix(0, 1)) {
				r.fault(pool.BadValue, key.Line, key.Name, "%.40q is no time such as 2026-12-01T10:00:00Z", key.Value)
				continue
			}
			m.StartedAt = time.Duration(t.UnixNano())
		}
	}
	r.c.Servers = append(r.c.Servers, m)
	r.c.Lines = append(r.c.Lines, s.Line)
}

// Seal gives a file the MAC of a key, in place of the one it has.
func Seal(text, key []byte) ([]byte, error) {
	if err := CheckKey(key); err != nil {
		return nil, err
	}
	body, _, closed := split(text)
	if !closed {
		return nil, errors.New("the last line is not [end]")
	}
	sealed := append(slices.Clone(body), "[end]\nmac = "...)
	return append(sealed, hex.EncodeToString(sum(body, key))+"\n"...), nil
}

// CheckKey reports whether a key will do.
func CheckKey(key []byte) error {
	if len(key) < MinKey {
		return fmt.Errorf("the key has %d bytes, %d are the least", len(key), MinKey)
	}
	return nil
}

// Write gives a set the form of a file.
func Write(label string, members []pool.Member) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[pool]\nformat = %d\n", Format)
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
