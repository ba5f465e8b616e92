// Package pool decides which set of dispatchers is active. Candidates come from files, the coordinator or etcd. Each is
// accepted or refused as a whole, a refused one with all faults that were found, and the rest of the program is notified only
// of what an accepted one changes. The package does no I/O, and the time is an argument: Unix time, as a duration since 1970.
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
	// MaxWeight is the highest weight. It allows shares of a thousandth.
	MaxWeight = 1000
	// NoNewCalls is the weight of a dispatcher that gets no new calls. Files write it as 0; in a Member, 0 stands for a list
	// without weights.
	NoNewCalls = -1
)

// Member is an entry of a list of dispatchers. Its Weight is 0 in lists without weights, NoNewCalls, or 1 to MaxWeight.
type Member struct {
	control.ServerEntry
	Address string
	// CallsContinue applies to a Removed member that an operator left out of a set. It gets no new calls, but its process is
	// not known to have ended, and its calls continue.
	CallsContinue bool
	// StartAssumed applies to a member whose StartedAt was decided here instead of reported: it limits new calls, but does not show that a
	// process has ended.
	StartAssumed bool
}

// Update is a complete list of dispatchers, or changes to it.
type Update struct {
	Servers  []Member
	Complete bool // dispatchers that are not in Servers are removed
}

// Source is the origin of a candidate.
type Source string

// Sources of candidates.
const (
	FromFile        Source = "file"
	FromSnapshot    Source = "store" // the last accepted set of a previous process
	FromCoordinator Source = "coordinator"
	FromEtcd        Source = "etcd"
	FromStart       Source = "known" // the platform's list at the start
)

// Candidate is a set that may become active, or a change to the active set. Sets from operators are checked and may be refused.
// Streams come from systems that this program must follow, so they are accepted without these checks.
type Candidate struct {
	Update
	Source Source
	Label  string // the operator's name for the version
	Digest string // of its content
	Lines  []int  // line numbers of Servers, if known
	Faults []Fault
}

// fromOperator reports whether the candidate is checked like a set from an operator.
func (c *Candidate) fromOperator() bool { return c.Source == FromFile || c.Source == FromSnapshot }

// entry is a member of the active set.
type entry struct {
	Member                      // as published, except that Weight may be NoNewCalls
	reportedStart time.Duration // StartedAt as reported by the source
	firstSeenAt   time.Duration // when this process, by name and address, became part of the active set
}

// Pool holds the active set and the history of its versions. It is not safe for concurrent use.
type Pool struct {
	entries         map[control.ServerID]*entry
	hasSet          bool // a complete set has been accepted
	current         Version
	lastRefused     *Version // the last candidate from an operator, if it was refused
	history         []Version
	lastNumber      int
	fileLimit       int // maximum servers in a set from an operator
	streamLimit     int // maximum servers in a set from a stream; 0 for no limit
	acceptedCount   int
	refusedByReason map[Reason]int
}

// New returns a Pool without an active set.
func New() *Pool {
	return &Pool{entries: map[control.ServerID]*entry{}, refusedByReason: map[Reason]int{}, fileLimit: DefaultLimit}
}

// SetLimit sets the maximum number of servers in a set from any source, so that memory suffices. A larger set is refused as a
// whole.
func (p *Pool) SetLimit(servers int) { p.fileLimit, p.streamLimit = min(servers, MaxServers), servers }

// checkLimit returns a fault if the candidate has more servers than the limit allows.
func (p *Pool) checkLimit(c *Candidate) []Fault {
	n, limit := 0, p.fileLimit
	if !c.fromOperator() {
		limit = p.streamLimit
		if !c.Complete {
			n = len(p.entries)
		}
	}
	if limit == 0 || n+len(c.Servers) <= limit {
		return nil
	}
	for _, m := range c.Servers { // a change may name servers of the active set
		switch old := p.entries[m.ID]; {
		case m.Status != control.Removed && (c.Complete || old == nil):
			n++
		case m.Status == control.Removed && !c.Complete && old != nil:
			n--
		}
	}
	if n <= limit {
		return nil
	}
	return []Fault{{Reason: TooLarge, Text: fmt.Sprintf("%d servers exceed the limit of %d", n, limit)}}
}

// Verdict is the decision about a candidate.
type Verdict struct {
	Version
	Update  Update // the changes to publish; empty if nothing changes
	Changed bool   // Update is to be published
}

// Apply checks a candidate and makes it the active set if it is accepted.
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
	next, change, departed := p.merge(now, &c)
	first := !p.hasSet
	u := Update{Complete: first}
	for _, id := range change.ids() {
		if e := next[id]; e != nil {
			u.Servers = append(u.Servers, e.published())
			continue
		}
		removed := p.entries[id].published()
		removed.Status, removed.CallsContinue = control.Removed, !departed[id]
		u.Servers = append(u.Servers, removed)
	}
	p.entries, p.hasSet = next, true
	v := p.accept(now, &c, change)
	return Verdict{Version: v, Update: u, Changed: first || len(u.Servers) > 0}
}

// published returns the member as the decision module and the connections see it. A member with the weight NoNewCalls is
// draining to them.
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

// merge returns the set that is active after the candidate, and what changes. It modifies neither the candidate nor the active
// set. departed holds the members that the candidate lists as Removed.
func (p *Pool) merge(now time.Duration, c *Candidate) (next map[control.ServerID]*entry, change Change, departed map[control.ServerID]bool) {
	next, departed = make(map[control.ServerID]*entry, len(c.Servers)), map[control.ServerID]bool{}
	for _, m := range c.Servers {
		if m.Status == control.Removed {
			departed[m.ID] = true
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
	return next, change, departed
}

// newEntry returns the entry of a member and decides its start time. A member that is added to an active set, added again, or
// moved to another address counts as a process that has just started, unless it is reported to have started earlier. A
// dispatcher that is treated as warm although it has just started would be overloaded.
func (p *Pool) newEntry(now time.Duration, m Member, old *entry) *entry {
	e := &entry{Member: m, reportedStart: m.StartedAt, firstSeenAt: now}
	switch {
	case old == nil && p.hasSet && m.StartedAt == 0:
		e.StartedAt, e.StartAssumed = now, true
	case old == nil:
	case old.Address != m.Address:
		if m.StartedAt <= old.StartedAt {
			e.StartedAt, e.StartAssumed = now, true // no start time is reported for the new process, or only that of the old one
		}
	default:
		e.firstSeenAt = old.firstSeenAt
		if !old.isRestart(m.StartedAt) {
			e.StartedAt, e.StartAssumed = old.StartedAt, old.StartAssumed
			break
		}
		e.firstSeenAt = now
	}
	return e
}

// isRestart reports whether a reported start time means another process than the active one. If no start time was reported
// before, a start before the member was first seen only adds detail about the same process.
func (e *entry) isRestart(reportedStart time.Duration) bool {
	if reportedStart <= max(e.StartedAt, e.reportedStart) {
		return false
	}
	return e.reportedStart != 0 || reportedStart > e.firstSeenAt
}

// applyStream applies an update from a stream unchanged.
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
			e.Address = old.Address // a change may omit it
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

// Members returns the active set, sorted by name, as reported by its source except for the start times that were decided here.
func (p *Pool) Members() []Member {
	members := make([]Member, 0, len(p.entries))
	for _, e := range p.entries {
		members = append(members, e.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// HasSet reports whether any set is active.
func (p *Pool) HasSet() bool { return p.hasSet }

// Snapshot is an active set in a form that can be stored and restored by a later process.
type Snapshot struct {
	Label   string           `json:"label"`
	Digest  string           `json:"digest"`
	Members []SnapshotMember `json:"members"`
}

// SnapshotMember is one member of a Snapshot. Times are in microseconds of Unix time.
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
	StartAssumed    bool   `json:"assumed,omitempty"` // StartedUs was decided here instead of reported
}

// Snapshot returns the active set.
func (p *Pool) Snapshot() Snapshot {
	s := Snapshot{Label: p.current.Label, Digest: p.current.Digest}
	for _, id := range slices.Sorted(maps.Keys(p.entries)) {
		e := p.entries[id]
		s.Members = append(s.Members, SnapshotMember{
			Name: string(id), Address: e.Address, Zone: e.Zone, Group: e.Cell, Status: int(e.Status), Weight: e.Weight,
			StartedUs: e.StartedAt.Microseconds(), ReportedStartUs: e.reportedStart.Microseconds(), FirstSeenUs: e.firstSeenAt.Microseconds(),
			StartAssumed: e.StartAssumed,
		})
	}
	return s
}

// Restore makes the snapshot of a previous process the active set, before any other set. It is checked like a file, since the
// snapshot may come from a version with other limits.
func (p *Pool) Restore(now time.Duration, s Snapshot) Verdict {
	c := Candidate{Source: FromSnapshot, Label: s.Label, Digest: s.Digest, Update: Update{Complete: true}}
	for _, r := range s.Members {
		c.Servers = append(c.Servers, Member{Address: r.Address, StartAssumed: r.StartAssumed, ServerEntry: control.ServerEntry{
			ID: control.ServerID(r.Name), Zone: r.Zone, Cell: r.Group, Status: control.ServerStatus(r.Status), Weight: r.Weight,
			StartedAt: min(microseconds(r.StartedUs), now+maxClockSkew), // the clock may have been set back since
		}})
	}
	v := p.Apply(now, c)
	if !v.Accepted {
		return v
	}
	for _, r := range s.Members {
		if e := p.entries[control.ServerID(r.Name)]; e != nil {
			e.reportedStart, e.firstSeenAt = min(microseconds(r.ReportedStartUs), now+maxClockSkew), min(microseconds(r.FirstSeenUs), now)
		}
	}
	return v
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
