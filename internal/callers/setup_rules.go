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
	// maxKeyLength is the maximum length of a called number.
	maxKeyLength = 64
	// maxExtraValue is the maximum of numbers for which the settings give no limit.
	maxExtraValue = 1 << 20
)

// SetUpRules are the rules that a set-up must satisfy. A dispatcher closes the connection if it cannot read a message, and that
// connection is shared by other calls. So a set-up is passed on only if the settings know its values and they fit every protocol.
type SetUpRules struct {
	classes         map[string]classRules
	tenants         []string
	resumeOverLines bool // calls may be resumed over JSON lines as well
}

// SetResumeOverLines sets whether calls may be resumed over JSON lines as well. The platform's callers never request it.
func (rules *SetUpRules) SetResumeOverLines(allowed bool) *SetUpRules {
	rules.resumeOverLines = allowed
	return rules
}

// classRules are the rules for the set-ups of one class.
type classRules struct {
	timeout      time.Duration
	allowedCells []int // values allowed for dest; empty for any
	width        int   // required width; 0 for any
}

// NewSetUpRules returns the rules that follow from the settings.
func NewSetUpRules(s *settings.Settings) *SetUpRules {
	rules := &SetUpRules{classes: map[string]classRules{}}
	for i, c := range s.RequestClasses {
		class := classRules{timeout: time.Duration(c.DeadlineUs) * time.Microsecond}
		if i < len(s.FamilyInfo.AllowedPools) {
			class.allowedCells = s.FamilyInfo.AllowedPools[i]
		}
		if i < len(s.FamilyInfo.ClassWidth) {
			class.width = s.FamilyInfo.ClassWidth[i]
		}
		rules.classes[c.Name] = class
	}
	for _, tenant := range s.Tenants {
		rules.tenants = append(rules.tenants, tenant.Name)
	}
	return rules
}

// longestTimeout returns the longest timeout of all classes.
func (rules *SetUpRules) longestTimeout() (longest time.Duration) {
	for _, class := range rules.classes {
		longest = max(longest, class.timeout)
	}
	return longest
}

// parseSetUp checks and converts the fields of a set-up. Its token is used only if calls can be resumed on the connection.
func (rules *SetUpRules) parseSetUp(m *jsonl.Message, at time.Time, resumable bool) (r call.Request, err error) {
	if m.TooManyFields {
		return r, errors.New("too many fields")
	}
	field := func(name string) string { return string(m.Fields[name]) }
	class, ok := rules.classes[field("class")]
	if !ok {
		return r, fmt.Errorf("unknown class %.40q", field("class"))
	}
	if len(rules.tenants) > 0 && !slices.Contains(rules.tenants, field("tenant")) {
		return r, fmt.Errorf("unknown tenant %.40q", field("tenant"))
	}
	leftMS, err := m.IntField("left")
	if err != nil {
		return r, err //nolint:wrapcheck // the error needs no context
	}
	if leftMS < 0 || leftMS > class.timeout.Milliseconds() {
		return r, fmt.Errorf("left out of range: %d", leftMS)
	}
	if key := field("key"); key == "" || len(key) > maxKeyLength || strings.Trim(key, keyCharacters) != "" {
		return r, fmt.Errorf("invalid key %.40q", key)
	}
	extras, err := parseExtras(m)
	if err != nil {
		return r, err
	}
	dest, hasDest := extras["dest"]
	switch width, hasWidth := extras["width"]; {
	case !hasDest:
		dest = -1
	case dest < 0 || len(class.allowedCells) > 0 && !slices.Contains(class.allowedCells, dest):
		return r, fmt.Errorf("dest %d is not allowed for the class", dest)
	case hasWidth && (width < 1 || class.width > 0 && width != class.width):
		return r, fmt.Errorf("width out of range: %d", width)
	}
	description := m.Description()
	token := field("token")
	if !resumable {
		token = ""
	}
	switch {
	case token != "" && !recovery.ValidToken(token):
		return r, fmt.Errorf("invalid token of %d bytes", len(token))
	case !call.ValidDescription(description):
		return r, errors.New("description is missing or not text")
	case len(description) > call.MaxDescription:
		return r, errors.New("description is too long")
	}
	timeLeft := time.Duration(leftMS) * time.Millisecond
	return call.Request{
		ID: m.ID, Class: field("class"), Called: field("key"), FirstCell: dest, Redial: field("retry") == "1",
		Description: description, Token: recovery.HashToken(token),
		// The caller's timeout starts when it has sent the last byte. The time of arrival is the closest known time.
		TimeLeft: timeLeft, Deadline: at.Add(timeLeft),
	}, nil
}

// keyCharacters are the characters that need no escaping in the URI of a SIP request. Every called number consists of them.
const keyCharacters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.~+*"

// parseExtras parses extras such as "dest:2;width:1". All values must be integers.
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
			return nil, fmt.Errorf("invalid extras %.40q", text)
		}
		extras[name] = n
	}
	return extras, nil
}
