package pool

import (
	"slices"
	"time"
)

const (
	// maxHistory is the number of versions kept, enough for a busy day of an operator.
	maxHistory = 64
	// maxVersionFaults limits the faults kept with a version. A file of 10,000 servers may have as many faults, and an operator
	// who corrects 20 sees the next ones after that.
	maxVersionFaults = 20
)

// Version records a candidate from an operator, or a change from a stream, and whether it was accepted.
type Version struct {
	Number         int           `json:"number"` // starts at 1
	Source         Source        `json:"source"`
	Label          string        `json:"label,omitempty"`
	Digest         string        `json:"digest,omitempty"`
	At             time.Duration `json:"at"` // when it was first checked, in ns of Unix time
	Accepted       bool          `json:"taken"`
	Repeats        int           `json:"again,omitempty"` // how often the same candidate was refused again
	Faults         []Fault       `json:"faults,omitempty"`
	FaultCount     int           `json:"found,omitempty"` // total number of faults
	Change         Change        `json:"change,omitzero"`
	ChangedServers int           `json:"changed"` // number of servers changed
	Servers        int           `json:"servers"` // number of servers in the active set after it
}

// refuse records a refused candidate. The active set stays unchanged.
func (p *Pool) refuse(now time.Duration, c *Candidate, faults []Fault) Verdict {
	if previous := p.lastRefused; previous != nil && c.Digest != "" && previous.Digest == c.Digest && previous.Source == c.Source &&
		c.fromOperator() && slices.Equal(previous.Faults, firstFaults(faults)) {
		previous.Repeats++ // the same candidate again: no new version
		if latest := &p.history[len(p.history)-1]; latest.Number == previous.Number {
			latest.Repeats = previous.Repeats
		}
		return Verdict{Version: *previous}
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

// accept records that a candidate is active. The same set again creates no new version.
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

// Current returns the active version. Its Number is 0 before the first one.
func (p *Pool) Current() Version { return p.current }

// LastRefused returns the last candidate from an operator if it was refused and no valid one has followed.
func (p *Pool) LastRefused() (Version, bool) {
	if p.lastRefused == nil {
		return Version{}, false
	}
	return *p.lastRefused, true
}

// History returns the kept versions, newest first.
func (p *Pool) History() []Version {
	versions := slices.Clone(p.history)
	slices.Reverse(versions)
	return versions
}

// Counts returns the number of accepted versions, and of refused ones by reason. A version with several reasons counts for
// each.
func (p *Pool) Counts() (accepted int, refused map[Reason]int) {
	return p.acceptedCount, p.refusedByReason
}
