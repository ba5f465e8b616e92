package takeover

import (
	"hash/fnv"
	"time"
)

const (
	// restartGrace is how long a process that has ended may take to restart before its ledger is sealed: a supervisor restarts it within some
	// tens of milliseconds, and the start takes about as long.
	restartGrace = 250 * time.Millisecond
	// rankDelay is the delay per rank, which staggers the controllers that would seal the same ledger.
	rankDelay = 50 * time.Millisecond
	// maxRank limits the delay in a large fleet.
	maxRank = 8
)

// IncarnationID identifies an incarnation of a fleet member by its number and the id of the store that assigned the number.
type IncarnationID struct {
	Store  uint64 `json:"store"`
	Number int64  `json:"incarnation"`
}

// Observation is the state of a controller's ledger as another controller sees it.
type Observation struct {
	Name   string
	Locked bool          // a process holds the ledger's lock
	Owner  IncarnationID // the owner's incarnation as a fleet member; zero if it was not a member
}

// Membership is the view of the fleet's members.
type Membership interface {
	// HasEnded reports whether an incarnation has certainly ended and no member uses its name now.
	HasEnded(name string, l IncarnationID) bool
}

// FailureDetector decides which ledgers a controller seals. NewFailureDetector creates one.
type FailureDetector struct {
	self     string
	suspects map[string]suspicion
}

// suspicion records since when an owner is suspected to have failed, and whether the ledger was locked.
type suspicion struct {
	since  time.Duration
	locked bool
}

// NewFailureDetector returns the failure detector of the controller with the given name.
func NewFailureDetector(self string) *FailureDetector {
	return &FailureDetector{self, map[string]suspicion{}}
}

// ReadyToSeal returns the ledgers to be sealed now, out of the observations of all other controllers' ledgers.
func (d *FailureDetector) ReadyToSeal(now time.Duration, observations []Observation, m Membership) []Observation {
	var names []string
	for _, o := range observations {
		names = append(names, o.Name)
	}
	var ready []Observation
	suspects := map[string]suspicion{}
	for _, o := range observations {
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

// mayBeAlive reports whether the owner may still be running.
func (o *Observation) mayBeAlive(m Membership) bool {
	return o.Locked && (o.Owner == (IncarnationID{}) || !m.HasEnded(o.Name, o.Owner))
}

// sealDelay returns how long an owner must be suspected before this controller seals its ledger.
func (d *FailureDetector) sealDelay(o Observation, names []string) time.Duration {
	delay := time.Duration(d.rank(o.Name, names)) * rankDelay
	if !o.Locked {
		delay += restartGrace
	}
	return delay
}

// rank returns the position of this controller among those that may seal a ledger, ordered by rendezvous hashing.
func (d *FailureDetector) rank(failed string, names []string) int {
	own, rank := rendezvousWeight(failed, d.self), 0
	for _, name := range names {
		if name != failed && rendezvousWeight(failed, name) < own {
			rank++
		}
	}
	return min(rank, maxRank)
}

func rendezvousWeight(failed, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(failed + "@" + candidate)) // Write of a hash never returns an error
	return h.Sum64()
}
