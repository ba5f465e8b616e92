package callers

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/settings"
)

const (
	// maxKeyLength is the longest number called.
	maxKeyLength = 64
	// maxExtraValue bounds figures that the settings say nothing of.
	maxExtraValue = 1 << 20
)

// Terms are what a set-up must keep to. A dispatcher that is sent what it cannot read closes a connection that others
// share, so nothing goes on that the settings do not know or that does not fit every wire.
type Terms struct {
	classes         map[string]classRules
	tenants         []string
	resumeOverLines bool // calls may be resumed over JSON lines, too
}

// ResumeLines has calls resumed over JSON lines, too. The platform's callers never ask for it.
func (t *Terms) ResumeLines(allowed bool) *Terms {
	t.resumeOverLines = allowed
	return t
}

type classRules struct {
	timeout      time.Duration
	allowedCells []int // for dest; empty for any
	width        int   // 0 for any
}

// NewTerms reads the settings.
func NewTerms(s *settings.Settings) *Terms {
	t := &Terms{classes: map[string]classRules{}}
	for i, c := range s.RequestClasses {
		class := classRules{timeout: time.Duration(c.DeadlineUs) * time.Microsecond}
		if i < len(s.FamilyInfo.AllowedPools) {
			class.allowedCells = s.FamilyInfo.AllowedPools[i]
		}
		if i < len(s.FamilyInfo.ClassWidth) {
			class.width = s.FamilyInfo.ClassWidth[i]
		}
		t.classes[c.Name] = class
	}
	for _, tenant := range s.Tenants {
		t.tenants = append(t.tenants, tenant.Name)
	}
	return t
}

// longestTimeout is the longest time that a set-up may have.
func (t *Terms) longestTimeout() (longest time.Duration) {
	for _, class := range t.classes {
		longest = max(longest, class.timeout)
	}
	return longest
}

// parseSetUp reads the fields of a set-up. Its token counts where calls can be resumed.
func (t *Terms) parseSetUp(m *jsonl.Message, at time.Time, resumable bool) (r call.Request, err error) {
	field := func(name string) string { return string(m.Fields[name]) }
	class, ok := t.classes[field("class")]
	if !ok {
		return r, fmt.Errorf("unknown class %.40q", field("class"))
	}
	if len(t.tenants) > 0 && !slices.Contains(t.tenants, field("tenant")) {
		return r, fmt.Errorf("unknown tenant %.40q", field("tenant"))
	}
	left, err := m.Int("left")
	if err != nil {
		return r, err //nolint:wrapcheck // it says what it is
	}
	if left < 0 || left > class.timeout.Milliseconds() {
		return r, fmt.Errorf("left is out of range: %d", left)
	}
	if key := field("key"); key == "" || len(key) > maxKeyLength || strings.Trim(key, keyCharacters) != "" {
		return r, fmt.Errorf("unusable key %.40q", key)
	}
	extras, err := parseExtras(m)
	if err != nil {
		return r, err
	}
	dest, given := extras["dest"]
	switch width, sized := extras["width"]; {
	case !given:
		dest = -1
	case dest < 0 || len(class.allowedCells) > 0 && !slices.Contains(class.allowedCells, dest):
		return r, fmt.Errorf("no dispatcher %d for the class", dest)
	case sized && (width < 1 || class.width > 0 && width != class.width):
		return r, fmt.Errorf("width is out of range: %d", width)
	}
	description := m.Description()
	token := field("token")
	if !resumable {
		token = ""
	}
	switch {
	case token != "" && !recovery.ValidToken(token):
		return r, fmt.Errorf("token of %d bytes", len(token))
	case !call.ValidDescription(description):
		return r, errors.New("no description, or one that is no text")
	case len(description) > call.MaxDescription:
		return r, errors.New("description too long to pass on")
	}
	waits := time.Duration(left) * time.Millisecond
	return call.Request{
		ID: m.ID, Class: field("class"), Called: field("key"), FirstCell: dest, Redial: field("retry") == "1",
		Description: description, Token: recovery.HashToken(token),
		// The caller counts from when it sent the last byte; the nearest to that is when it came in.
		TimeLeft: waits, Deadline: at.Add(waits),
	}, nil
}

// keyCharacters are those that stand for themselves in the address of a SIP request, and in every number called.
const keyCharacters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.~+*"

// parseExtras reads "dest:2;width:1". All of it must be figures.
func parseExtras(m *jsonl.Message) (map[string]int, error) {
	extras := map[string]int{}
	text := string(m.Fields["extras"])
	if text == "" {
		return extras, nil
	}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(value)
		if err != nil || n < -1 && name == "via" || n > maxExtraValue || n < -maxExtraValue {
			return nil, fmt.Errorf("unreadable extras %.40q", text)
		}
		extras[name] = n
	}
	return extras, nil
}
