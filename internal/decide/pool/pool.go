// Package pool decides which set of dispatchers is in force. Candidates come from files, the coordinator or etcd; each is
// taken whole or refused whole, with every fault that was found, and what a taken one changes is all that the rest of the
// program is told. There is no I/O here, and the clock is an argument: the Unix clock, as a duration since 1970.
package pool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cherryrelay/control"
)

const (
	// MaxWeight is the highest weight: enough for parts of a thousandth.
	MaxWeight = 1000
	// NoNewCalls is the weight of a dispatcher that gets nothing new. In a file it is written 0; the zero value is that of lists
	// that have no weights.
	NoNewCalls = -1
)

// Member is a line of a list of dispatchers. Its Weight is 0 in lists without weights, Idle, or 1 to MaxWeight.
type Member struct {
	control.ServerEntry
	Address string
	// CallsContinue is for one that is Removed: people left it out of a set, so nothing new goes there, but nobody says that its
	// process has ended, and its calls go on.
	CallsContinue bool
}

// Update is a list of dispatchers, or changes to it.
type Update struct {
	Servers  []Member
	Complete bool // dispatchers that are not named are gone
}

// Source names where a candidate comes from.
type Source string

// The sources.
const (
	FromFile        Source = "file"
	FromSnapshot    Source = "store" // the last good set of an earlier process
	FromCoordinator Source = "coordinator"
	FromEtcd        Source = "etcd"
	FromStart       Source = "known" // the platform's list at the start
)

// Candidate is a set that may come into force, or a change to the one that is. Sets of people are checked closely and
// may be refused; streams are made by machines that this program must follow, so what they say stands.
type Candidate struct {
	Update
	Source Source
	Label  string // a version's name, for people
	Digest string // of its bytes
	Lines  []int  // where each of Servers is, if that is known
	Faults []Fault
}

// fromOperator reports whether the candidate is checked closely.
func (c *Candidate) fromOperator() bool { return c.Source == FromFile || c.Source == FromSnapshot }

// entry is a member in force.
type entry struct {
	Member                      // as the rest of the program is told, but for an Idle one
	reportedStart time.Duration // StartedAt as the source gives it
	firstSeenAt   time.Duration // since when this process, by name and address, has been in force
}

// Pool is the set in force and how it came to be. It is not safe for concurrent use.
type Pool struct {
	entries         map[control.ServerID]*entry
	hasSet          bool // a whole set has come
	current         Version
	lastRefused     *Version // the last candidate of people, if it was refused
	history         []Version
	lastNumber      int
	fileLimit       int // most servers in a set of people
	streamLimit     int // as many in one of streams; 0 for any number
	acceptedCount   int
	refusedByReason map[Reason]int
}

// New returns a Pool without a set.
func New() *Pool {
	return &Pool{entries: map[control.ServerID]*entry{}, refusedByReason: map[Reason]int{}, fileLimit: DefaultLimit}
}

// SetLimit sets the most servers that a set may have, whoever it comes from: what the memory bears. What is over it is refused whole.
func (p *Pool) SetLimit(servers int) { p.fileLimit, p.streamLimit = min(servers, MaxServers), servers }

// checkLimit tells of a candidate with more servers than are taken.
func (p *Pool) checkLimit(c *Candidate) []Fault {
	n, most := 0, p.fileLimit
	if !c.fromOperator() {
		most = p.streamLimit
		if !c.Complete {
			n = len(p.entries)
		}
	}
	if most == 0 || n+len(c.Servers) <= most {
		return nil
	}
	for _, m := range c.Servers { // a change may name what is in force
		switch old := p.entries[m.ID]; {
		case m.Status != control.Removed && (c.Complete || old == nil):
			n++
		case m.Status == control.Removed && !c.Complete && old != nil:
			n--
		}
	}
	if n <= most {
		return nil
	}
	return []Fault{{Reason: TooLarge, Text: fmt.Sprintf("%d servers, %d are allowed", n, most)}}
}

// Verdict is what became of a candidate.
type Verdict struct {
	Version
	Update  Update // what the rest of the program is to be told; empty if nothing changes
	Changed bool   // Update has something to tell
}

// Apply judges a candidate.
func (p *Pool) Apply(now time.Duration, c Candidate) Verdict {
	if !c.fromOperator() {
		return p.applyStream(now, c)
	}
	faults := p.checkLimit(&c)
	if len(faults) == 0 {
		faults = Check(now, &c)
	}
	if len(faults) > 0 {
		return p.refuse(now, &c, faults)
	}
	next, change, left := p.merge(now, &c)
	first := !p.hasSet
	u := Update{Complete: first}
	for _, id := range change.ids() {
		if e := next[id]; e != nil {
			u.Servers = append(u.Servers, e.published())
			continue
		}
		gone := p.entries[id].published()
		gone.Status, gone.CallsContinue = control.Removed, !left[id]
		u.Servers = append(u.Servers, gone)
	}
	p.entries, p.hasSet = next, true
	v := p.accept(now, &c, change)
	return Verdict{Version: v, Update: u, Changed: first || len(u.Servers) > 0}
}

// published is the member as the module and the connections know it: to them, one that gets nothing new is draining.
func (e *entry) published() Member {
	m := e.Member
	if m.Weight == NoNewCalls {
		m.Weight = 0
		if m.Status == control.Active {
			m.Status = control.Draining
		}
	}
	return m
}

// merge lays the candidate over the set in force. Both stay as they are. Those that the candidate names as having left are told
// beside it.
func (p *Pool) merge(now time.Duration, c *Candidate) (next map[control.ServerID]*entry, change Change, left map[control.ServerID]bool) {
	next, left = make(map[control.ServerID]*entry, len(c.Servers)), map[control.ServerID]bool{}
	for _, m := range c.Servers {
		if m.Status == control.Removed {
			left[m.ID] = true
			continue
		}
		old := p.entries[m.ID]
		e := p.newEntry(now, m, old)
		next[m.ID] = e
		change.addDifference(old, e)
	}
	for id := range p.entries {
		if next[id] == nil {
			change.Removed = append(change.Removed, id)
		}
	}
	change.sort()
	return next, change, left
}

// newEntry decides since when a member runs. Who comes to a set that is in force already, or comes back to it, or has another
// address, is taken for a process that has just started unless it is said to run since earlier: one that is taken for warm
// and is not would be pushed over.
func (p *Pool) newEntry(now time.Duration, m Member, old *entry) *entry {
	e := &entry{Member: m, reportedStart: m.StartedAt, firstSeenAt: now}
	switch {
	case old == nil && p.hasSet && m.StartedAt == 0:
		e.StartedAt = now
	case old == nil:
	case old.Address != m.Address:
		if m.StartedAt <= old.StartedAt {
			e.StartedAt = now // nothing is said of the new process, or only what was said of the old one
		}
	default:
		e.firstSeenAt = old.firstSeenAt
		if !old.isRestart(m.StartedAt) {
			e.StartedAt = old.StartedAt
			break
		}
		e.firstSeenAt = now
	}
	return e
}

// isRestart reports whether a start that is given now tells of another process than the one in force. A start that lies before
// that one was first seen, where none was given, only says more of it.
func (e *entry) isRestart(given time.Duration) bool {
	if given <= max(e.StartedAt, e.reportedStart) {
		return false
	}
	return e.reportedStart != 0 || given > e.firstSeenAt
}

// applyStream takes in what a stream says, as it says it.
func (p *Pool) applyStream(now time.Duration, c Candidate) Verdict {
	if faults := append(c.Faults, p.checkLimit(&c)...); len(faults) > 0 {
		return p.refuse(now, &c, faults)
	}
	next := p.entries
	if c.Complete {
		next = make(map[control.ServerID]*entry, len(c.Servers))
		p.hasSet = true
	}
	var change Change
	for _, m := range c.Servers {
		old := p.entries[m.ID]
		if m.Status == control.Removed {
			if !c.Complete && old != nil {
				change.Removed = append(change.Removed, m.ID)
				delete(next, m.ID)
			}
			continue
		}
		e := &entry{Member: m, reportedStart: m.StartedAt, firstSeenAt: now}
		if m.Address == "" && old != nil {
			e.Address = old.Address // a change may leave it out
		}
		if old != nil && old.Address == e.Address && old.StartedAt == m.StartedAt {
			e.firstSeenAt = old.firstSeenAt
		}
		next[m.ID] = e
		change.addDifference(old, e)
	}
	if c.Complete {
		for id := range p.entries {
			if next[id] == nil {
				change.Removed = append(change.Removed, id)
			}
		}
	}
	change.sort()
	p.entries = next
	v := p.accept(now, &c, change)
	return Verdict{Version: v, Update: c.Update, Changed: true}
}

// Members are the set in force, by name, as its source gives it but for the times of starts that were decided here.
func (p *Pool) Members() []Member {
	members := make([]Member, 0, len(p.entries))
	for _, e := range p.entries {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// HasSet reports whether any set is in force.
func (p *Pool) HasSet() bool { return p.hasSet }

// Snapshot is a set in force in a form that can be kept and taken up again by a later process.
type Snapshot struct {
	Label   string           `json:"label"`
	Digest  string           `json:"digest"`
	Members []SnapshotMember `json:"members"`
}

// SnapshotMember is one member of a Memory. Times are microseconds of the Unix clock.
type SnapshotMember struct {
	Name            string `json:"name"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Group           int    `json:"group"`
	Status          int    `json:"status"`
	Weight          int    `json:"weight"`
	StartedUs       int64  `json:"started_us"`
	ReportedStartUs int64  `json:"given_us"`
	FirstSeenUs     int64  `json:"seen_us"`
}

// Snapshot gives the set in force.
func (p *Pool) Snapshot() Snapshot {
	m := Snapshot{Label: p.current.Label, Digest: p.current.Digest}
	for _, id := range slices.Sorted(maps.Keys(p.entries)) {
		e := p.entries[id]
		m.Members = append(m.Members, SnapshotMember{
			Name: string(id), Address: e.Address, Zone: e.Zone, Group: e.Cell, Status: int(e.Status), Weight: e.Weight,
			StartedUs: e.StartedAt.Microseconds(), ReportedStartUs: e.reportedStart.Microseconds(), FirstSeenUs: e.firstSeenAt.Microseconds(),
		})
	}
	return m
}

// Restore takes up what an earlier process remembered, before any other set. It is checked as a file is: what was kept may
// be of a version whose limits were others.
func (p *Pool) Restore(now time.Duration, m Snapshot) Verdict {
	c := Candidate{Source: FromSnapshot, Label: m.Label, Digest: m.Digest, Update: Update{Complete: true}}
	for _, r := range m.Members {
		c.Servers = append(c.Servers, Member{Address: r.Address, ServerEntry: control.ServerEntry{
			ID: control.ServerID(r.Name), Zone: r.Zone, Cell: r.Group, Status: control.ServerStatus(r.Status), Weight: r.Weight,
			StartedAt: min(microseconds(r.StartedUs), now+maxClockSkew), // the clock may have been set back since
		}})
	}
	v := p.Apply(now, c)
	if !v.Accepted {
		return v
	}
	for _, r := range m.Members {
		if e := p.entries[control.ServerID(r.Name)]; e != nil {
			e.reportedStart, e.firstSeenAt = min(microseconds(r.ReportedStartUs), now+maxClockSkew), min(microseconds(r.FirstSeenUs), now)
		}
	}
	return v
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
