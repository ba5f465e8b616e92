package takeover

import (
	"hash/fnv"
	"time"
)

const (
	// restartGrace is how long a process that died may take to restart before its ledger is sealed: a supervisor starts it again within some
	// tens of milliseconds, and a start takes as long.
	restartGrace = 250 * time.Millisecond
	// rankDelay staggers the controllers that would seal the same ledger.
	rankDelay = 50 * time.Millisecond
	// maxRank bounds the delay in a large fleet.
	maxRank = 8
)

// IncarnationID is one incarnation of a fleet member, with the id of the store that counted it.
type IncarnationID struct {
	Store  uint64 `json:"store"`
	Number int64  `json:"incarnation"`
}

// Observation is the state of a controller's ledger as another one sees it.
type Observation struct {
	Name   string
	Locked bool          // a process holds its lock
	Owner  IncarnationID // the owner's incarnation as a fleet member; zero if it was none
}

// Membership is the view of the fleet's members.
type Membership interface {
	// HasEnded reports whether an incarnation has certainly ended and no member has its name now.
	HasEnded(name string, l IncarnationID) bool
}

// FailureDetector decides which ledgers one controller is to seal. Use NewFailureDetector.
type FailureDetector struct {
	self     string
	suspects map[string]suspicion
}

// suspicion is why an owner is thought to have failed, and since when.
type suspicion struct {
	since  time.Duration
	locked bool
}

// NewFailureDetector returns the failure detector of the controller with that name.
func NewFailureDetector(self string) *FailureDetector {
	return &FailureDetector{self, map[string]suspicion{}}
}

// ReadyToSeal takes the observations of all ledgers but the own one, and returns those that are to be sealed now.
func (d *FailureDetector) ReadyToSeal(now time.Duration, all []Observation, m Membership) []Observation {
	var names []string
	for _, o := range all {
		names = append(names, o.Name)
	}
	var ready []Observation
	suspects := map[string]suspicion{}
	for _, o := range all {
		if o.mayBeAlive(m) {
			continue
		}
		s, known := d.suspects[o.Name]
		if !known || s.locked != o.Locked {
			s = suspicion{now, o.Locked}
		}
		suspects[o.Name] = s
		if now-s.since >= d.sealDelay(o, names) {
			ready = append(ready, o)
		}
	}
	d.suspects = suspects
	return ready
}

// mayBeAlive reports whether the owner may still be at work.
func (o *Observation) mayBeAlive(m Membership) bool {
	return o.Locked && (o.Owner == (IncarnationID{}) || !m.HasEnded(o.Name, o.Owner))
}

// sealDelay is how long a suspicion must last before this controller seals the ledger.
func (d *FailureDetector) sealDelay(o Observation, names []string) time.Duration {
	delay := time.Duration(d.rank(o.Name, names)) * rankDelay
	if !o.Locked {
		delay += restartGrace
	}
	return delay
}

// rank is the place of this controller among those that may seal a ledger, by rendezvous hashing.
func (d *FailureDetector) rank(failed string, names []string) int {
	own, rank := rendezvousWeight(failed, d.self), 0
	for _, name := range names {
		if name != failed && rendezvousWeight(failed, name) < own {
			rank++
		}
	}
	return min(rank, maxRank)
}

func rendezvousWeight(failed, by string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(failed + "@" + by)) // a hash's Write returns no error
	return h.Sum64()
}
