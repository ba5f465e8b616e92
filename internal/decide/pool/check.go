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
	// MaxServers is the most that a set of people may name at all: 8 MiB hold about as many. What a process takes is bounded by Bound.
	MaxServers = 50_000
	// DefaultLimit is what a process takes of people unless it is told otherwise: each dispatcher is a connection, at least.
	DefaultLimit = 10_000
	// MaxNameLength bounds names, zones and labels: they are on every line of a log.
	MaxNameLength = 64
	// MaxGroup bounds groups; first choices name them.
	MaxGroup = 1 << 20
	// maxAddressLength bounds addresses.
	maxAddressLength = 256
	// maxClockSkew is how far in the future a start may lie: clocks differ, but not by more.
	maxClockSkew = time.Minute
)

// Reason is the kind of a fault, of which there are few: figures are counted by it.
type Reason string

// The reasons.
const (
	BadFormat  Reason = "form"       // it cannot be read, or has what it must not have
	BadValue   Reason = "value"      // a value makes no sense
	Unfinished Reason = "unfinished" // no end mark last: it may still be written
	BadCount   Reason = "count"      // not as many servers as announced
	Duplicate  Reason = "twice"      // a name or an address is used twice
	NoneActive Reason = "nobody"     // nobody would get calls
	BadMAC     Reason = "mac"        // the MAC is wrong or missing
	TooLarge   Reason = "size"       // it is over a bound
	Missing    Reason = "missing"    // there is no file, or it cannot be opened
)

// Reasons are all of them.
var Reasons = []Reason{BadFormat, BadValue, Unfinished, BadCount, Duplicate, NoneActive, BadMAC, TooLarge, Missing}

// Fault is one thing that is wrong with a candidate, and where.
type Fault struct {
	Reason Reason `json:"reason"`
	Line   int    `json:"line,omitempty"` // 0 where there is none
	Key    string `json:"key,omitempty"`
	Text   string `json:"text"`
}

// String is one plain line.
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

// Check finds every fault of a set that people have made: those that its reader found, and those that only the whole shows.
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
		add(-1, TooLarge, "", "%d servers, %d are allowed", len(c.Servers), MaxServers)
		return faults
	}
	if len(c.Label) > MaxNameLength {
		add(-1, BadValue, "version", "longer than %d bytes", MaxNameLength)
	}
	names := make(map[control.ServerID]int, len(c.Servers))
	addresses := make(map[string]int, len(c.Servers))
	takes := false
	for i, m := range c.Servers {
		if text := nameProblem(string(m.ID)); text != "" {
			add(i, BadValue, "server", "the name %.80q %s", m.ID, text)
		}
		if first, twice := names[m.ID]; twice {
			add(i, Duplicate, "server", "%q is named twice%s", m.ID, c.firstLineNote(first))
		} else {
			names[m.ID] = i
		}
		gone := m.Status == control.Removed
		if text := addressProblem(m.Address); text != "" {
			add(i, BadValue, "address", "%.80q of server %q %s", m.Address, m.ID, text)
		} else if first, twice := addresses[hostPort(m.Address)]; twice && !gone {
			add(i, Duplicate, "address", "%q of server %q is that of server %q%s, too", m.Address, m.ID, c.Servers[first].ID, c.firstLineNote(first))
		} else if !gone {
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
			add(i, BadValue, "status", "%d of server %q is none", m.Status, m.ID)
		}
		if m.StartedAt < 0 || m.StartedAt > now+maxClockSkew {
			add(i, BadValue, "since", "server %q would start in the future, or before 1970", m.ID)
		}
		takes = takes || m.Status == control.Active && m.Weight != NoNewCalls
	}
	if !takes && len(faults) == 0 {
		add(-1, NoneActive, "", "no server is active with a weight above 0: nobody would get calls")
	}
	return faults
}

// firstLineNote tells the line of a server, if it is known.
func (c *Candidate) firstLineNote(i int) string {
	if i < len(c.Lines) && c.Lines[i] > 0 {
		return fmt.Sprintf(", first in line %d", c.Lines[i])
	}
	return ""
}

// nameProblem says what is wrong with a name; nothing if it is one. Names go into logs, figures and the protocols of others.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "is empty"
	case len(name) > MaxNameLength:
		return fmt.Sprintf("is longer than %d bytes", MaxNameLength)
	case !utf8.ValidString(name):
		return "is no UTF-8"
	case strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) || r == ' ' || r == '"' || r == '\\' }):
		return "has spaces, quotes or characters that cannot be printed"
	}
	return ""
}

// addressProblem says what is wrong with an address; nothing if it is host:port or ws://host:port/path.
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
		return "is no host:port"
	}
	if err != nil || u.Hostname() == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "is neither host:port nor ws://host:port/path"
	}
	if port, err := strconv.Atoi(u.Port()); err != nil || port < 1 || port > 65535 {
		return "has no port from 1 to 65535"
	}
	return ""
}

// hostPort is the part of an address that two processes can't share.
func hostPort(address string) string {
	address = strings.TrimPrefix(address, "ws://")
	address, _, _ = strings.Cut(address, "/")
	return address
}
