package pool

import (
	"slices"
	"time"
)

const (
	// maxHistory is how many versions are kept: a busy day of an operator.
	maxHistory = 64
	// maxVersionFaults of each are kept: a file of 10,000 servers may have as many, and who mends 20 sees the next.
	maxVersionFaults = 20
)

// Version is one candidate of people, or a change that a stream told, and what became of it.
type Version struct {
	Number         int           `json:"number"` // counts from 1
	Source         Source        `json:"source"`
	Label          string        `json:"label,omitempty"`
	Digest         string        `json:"digest,omitempty"`
	At             time.Duration `json:"at"` // when it was first judged, ns of the Unix clock
	Accepted       bool          `json:"taken"`
	Repeats        int           `json:"again,omitempty"` // how many times more the same was refused
	Faults         []Fault       `json:"faults,omitempty"`
	FaultCount     int           `json:"found,omitempty"` // faults in all
	Change         Change        `json:"change,omitzero"`
	ChangedServers int           `json:"changed"` // servers that the change touches
	Servers        int           `json:"servers"` // of the set in force after it
}

// refuse notes that a candidate is not taken. The set in force stays.
func (p *Pool) refuse(now time.Duration, c *Candidate, faults []Fault) Verdict {
	if t := p.lastRefused; t != nil && c.Digest != "" && t.Digest == c.Digest && t.Source == c.Source && c.fromOperator() && slices.Equal(t.Faults, firstFaults(faults)) {
		t.Repeats++ // seen again, not news
		if last := &p.history[len(p.history)-1]; last.Number == t.Number {
			last.Repeats = t.Repeats
		}
		return Verdict{Version: *t}
	}
	seen := map[Reason]bool{}
	for _, f := range faults {
		if !seen[f.Reason] {
			p.refusedByReason[f.Reason]++
		}
		seen[f.Reason] = true
	}
	v := p.record(Version{Source: c.Source, Label: c.Label, Digest: c.Digest, At: now, Faults: firstFaults(faults), FaultCount: len(faults)})
	if c.fromOperator() {
		p.lastRefused = &v
	}
	return Verdict{Version: v}
}

func firstFaults(faults []Fault) []Fault {
	return slices.Clone(faults[:min(len(faults), maxVersionFaults)])
}

// accept notes that a candidate is in force. The same set again is no new version.
func (p *Pool) accept(now time.Duration, c *Candidate, change Change) Version {
	if c.fromOperator() {
		p.lastRefused = nil
	}
	if change.Empty() && p.current.Number > 0 && (!c.fromOperator() || c.Digest == p.current.Digest && c.Label == p.current.Label) {
		return p.current
	}
	v := Version{Source: c.Source, Label: c.Label, Digest: c.Digest, At: now, Accepted: true}
	v.Change, v.ChangedServers = change.truncated()
	p.acceptedCount++
	p.current = p.record(v)
	return p.current
}

func (p *Pool) record(v Version) Version {
	p.lastNumber++
	v.Number, v.Servers = p.lastNumber, len(p.entries)
	p.history = append(p.history, v)
	if len(p.history) > maxHistory {
		p.history = slices.Delete(p.history, 0, len(p.history)-maxHistory)
	}
	return v
}

// Current is the version in force; its Number is 0 before the first.
func (p *Pool) Current() Version { return p.current }

// LastRefused is the last candidate of people if that was refused, and nothing good has come since.
func (p *Pool) LastRefused() (Version, bool) {
	if p.lastRefused == nil {
		return Version{}, false
	}
	return *p.lastRefused, true
}

// History is the versions that are kept, the newest first.
func (p *Pool) History() []Version {
	h := slices.Clone(p.history)
	slices.Reverse(h)
	return h
}

// Counts are how many versions were taken, and how many refused for each reason. One with several reasons counts for each.
func (p *Pool) Counts() (taken int, refused map[Reason]int) {
	return p.acceptedCount, p.refusedByReason
}
