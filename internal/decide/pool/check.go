package pool

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"cherryrelay/control"
)

const (
	// MaxServers is the hard limit for sets from operators. A file of 8 MiB holds about as many servers. Pool.SetLimit sets the
	// limit of a process.
	MaxServers = 50_000
	// DefaultLimit is the default limit for sets from operators. Each dispatcher costs at least one connection.
	DefaultLimit = 10_000
	// MaxNameLength limits names, zones and labels, in bytes. They are part of every log line.
	MaxNameLength = 64
	// MaxGroup limits group numbers, by which calls name their first choice.
	MaxGroup = 1 << 20
	// maxAddressLength limits addresses, in bytes.
	maxAddressLength = 256
	// maxClockSkew is how far in the future a start time may lie, to allow for clocks that differ.
	maxClockSkew = time.Minute
)

// Reason is the kind of a fault. Metrics count refused versions by reason.
type Reason string

// Reasons for refusing a candidate.
const (
	BadFormat  Reason = "form"       // the file cannot be parsed or has unknown content
	BadValue   Reason = "value"      // a value is invalid
	Unfinished Reason = "unfinished" // the end mark is missing: the file may still be being written
	BadCount   Reason = "count"      // the number of servers differs from the announced one
	Duplicate  Reason = "twice"      // a name or an address is used twice
	NoneActive Reason = "nobody"     // no server is active with a weight above 0
	BadMAC     Reason = "mac"        // the MAC is wrong or missing
	TooLarge   Reason = "size"       // a limit is exceeded
	Missing    Reason = "missing"    // the file does not exist or cannot be opened
)

// Reasons lists all reasons.
var Reasons = []Reason{BadFormat, BadValue, Unfinished, BadCount, Duplicate, NoneActive, BadMAC, TooLarge, Missing}

// Fault describes one fault of a candidate and where it is.
type Fault struct {
	Reason Reason `json:"reason"`
	Line   int    `json:"line,omitempty"` // 0 if unknown
	Key    string `json:"key,omitempty"`
	Text   string `json:"text"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	text := f.Text
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}

// Check returns all faults of a set from an operator: those that its reader found, and those that show only in the whole set.
func Check(now time.Duration, c *Candidate) []Fault {
	faults := c.Faults
	add := func(i int, reason Reason, key, format string, args ...any) {
		line := 0
		if i >= 0 && i < len(c.Lines) {
			line = c.Lines[i]
		}
		faults = append(faults, Fault{reason, line, key, fmt.Sprintf(format, args...)})
	}
	if len(c.Servers) > MaxServers {
		add(-1, TooLarge, "", "%d servers exceed the limit of %d", len(c.Servers), MaxServers)
		return faults
	}
	if len(c.Label) > MaxNameLength {
		add(-1, BadValue, "version", "longer than %d bytes", MaxNameLength)
	}
	names := make(map[control.ServerID]int, len(c.Servers))
	addresses := make(map[string]int, len(c.Servers))
	anyActive := false
	for i, m := range c.Servers {
		if text := nameProblem(string(m.ID)); text != "" {
			add(i, BadValue, "server", "the name %.80q %s", m.ID, text)
		}
		if first, duplicate := names[m.ID]; duplicate {
			add(i, Duplicate, "server", "%q is named twice%s", m.ID, c.firstLineNote(first))
		} else {
			names[m.ID] = i
		}
		removed := m.Status == control.Removed
		if text := addressProblem(m.Address); text != "" {
			add(i, BadValue, "address", "%.80q of server %q %s", m.Address, m.ID, text)
		} else if first, duplicate := addresses[hostPort(m.Address)]; duplicate && !removed {
			add(i, Duplicate, "address", "%q of server %q is already used by server %q%s", m.Address, m.ID, c.Servers[first].ID, c.firstLineNote(first))
		} else if !removed {
			addresses[hostPort(m.Address)] = i
		}
		if m.Zone != "" {
			if text := nameProblem(m.Zone); text != "" {
				add(i, BadValue, "zone", "%.80q of server %q %s", m.Zone, m.ID, text)
			}
		}
		if m.Cell < 0 || m.Cell > MaxGroup {
			add(i, BadValue, "group", "%d of server %q is not from 0 to %d", m.Cell, m.ID, MaxGroup)
		}
		if m.Weight != NoNewCalls && (m.Weight < 1 || m.Weight > MaxWeight) {
			add(i, BadValue, "weight", "%d of server %q is not from 0 to %d", m.Weight, m.ID, MaxWeight)
		}
		if m.Status < control.Active || m.Status > control.Removed {
			add(i, BadValue, "status", "%d of server %q is not a known status", m.Status, m.ID)
		}
		if m.StartedAt < 0 || m.StartedAt > now+maxClockSkew {
			add(i, BadValue, "since", "server %q would start in the future, or before 1970", m.ID)
		}
		anyActive = anyActive || m.Status == control.Active && m.Weight != NoNewCalls
	}
	if !anyActive && len(faults) == 0 {
		add(-1, NoneActive, "", "no server is active with a weight above 0: no server would get calls")
	}
	return faults
}

// firstLineNote returns a note about the line of a server, or an empty string if the line is unknown.
func (c *Candidate) firstLineNote(i int) string {
	if i < len(c.Lines) && c.Lines[i] > 0 {
		return fmt.Sprintf(", first in line %d", c.Lines[i])
	}
	return ""
}

// nameProblem returns what is wrong with a name, or an empty string. Names are used in logs, metrics and external protocols.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "is empty"
	case len(name) > MaxNameLength:
		return fmt.Sprintf("is longer than %d bytes", MaxNameLength)
	case !utf8.ValidString(name):
		return "is not valid UTF-8"
	case strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) || r == ' ' || r == '"' || r == '\\' }):
		return "has spaces, quotes, backslashes or unprintable characters"
	}
	return ""
}

// addressProblem returns what is wrong with an address, or an empty string for a valid host:port or ws://host:port/path.
func addressProblem(address string) string {
	if len(address) > maxAddressLength {
		return fmt.Sprintf("is longer than %d bytes", maxAddressLength)
	}
	u, err := url.Parse("tcp://" + address)
	if strings.HasPrefix(address, "ws://") {
		u, err = url.Parse(address)
		if err == nil && u.Path == "" {
			return "has no path"
		}
	} else if err == nil && u.Path != "" {
		return "is not host:port"
	}
	if err != nil || u.Hostname() == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "is neither host:port nor ws://host:port/path"
	}
	if port, err := strconv.Atoi(u.Port()); err != nil || port < 1 || port > 65535 {
		return "has no port from 1 to 65535"
	}
	return ""
}

// hostPort returns the part of an address that two processes cannot share.
func hostPort(address string) string {
	address = strings.TrimPrefix(address, "ws://")
	address, _, _ = strings.Cut(address, "/")
	return address
}
