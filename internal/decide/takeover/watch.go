package takeover

import (
	"hash/fnv"
	"slices"
	"time"

	"cherryrelay/internal/decide/recovery"
)

const (
	// backWithin is how long a dead process may come back by itself before its ledger is taken: a supervisor starts it anew within some
	// tens of milliseconds, and a start takes as much.
	backWithin = 250 * time.Millisecond
	// rankPause parts those who would take a ledger at the same time.
	rankPause = 50 * time.Millisecond
	// mostRanks bounds that: in a large fleet the last would wait for ever.
	mostRanks = 8
	// comeWithin is how long a call that was laid out waits for its caller before the sealer takes it.
	comeWithin = recovery.ResumeWithin
	// waitBeyond is how long beyond a lease a resume waits for a call that may be in a ledger which is not sealed yet.
	waitBeyond = 2 * time.Second
	// AskedWithin is how long after an owner has looked at what others want it has given what it has of it: some looks, and a commit.
	AskedWithin = time.Second
)

// Life is one incarnation of a member, by the number of its store.
type Life struct {
	Store       uint64 `json:"store"`
	Incarnation int64  `json:"incarnation"`
}

// Seen is what a look at the directory of a ledger tells.
type Seen struct {
	Name  string
	Held  bool // a process has its lock
	Owner Life // as which its owner has been a member; zero if it was none
}

// Fleet is what is known of members.
type Fleet interface {
	// HasEnded reports whether an incarnation has certainly ended and nobody is a member under its name now.
	HasEnded(name string, l Life) bool
}

// Watch decides which ledgers are to be sealed by one controller. The zero value is of no use; see NewWatch.
type Watch struct {
	self string
	lost map[string]loss
}

// loss is since when a ledger is seen to be lost, and why.
type loss struct {
	since time.Duration
	held  bool
}

// NewWatch returns the watch of a controller.
func NewWatch(self string) *Watch { return &Watch{self, map[string]loss{}} }

// Due takes in what was seen of all ledgers but the own one, and says which are to be sealed now.
func (w *Watch) Due(now time.Duration, seen []Seen, f Fleet) []Seen {
	var names []string
	for _, s := range seen {
		names = append(names, s.Name)
	}
	var due []Seen
	still := map[string]loss{}
	for _, s := range seen {
		if s.Held && (s.Owner == (Life{}) || !f.HasEnded(s.Name, s.Owner)) {
			continue // its owner may be at work
		}
		l, known := w.lost[s.Name]
		if !known || l.held != s.Held {
			l = loss{now, s.Held}
		}
		still[s.Name] = l
		pause := time.Duration(w.rank(s.Name, names)) * rankPause
		if !s.Held {
			pause += backWithin
		}
		if now-l.since >= pause {
			due = append(due, s)
		}
	}
	w.lost = still
	return due
}

// rank is the place of this controller among those that may seal a ledger.
func (w *Watch) rank(lost string, names []string) int {
	own, rank := weight(lost, w.self), 0
	for _, name := range names {
		if name != lost && weight(lost, name) < own {
			rank++
		}
	}
	return min(rank, mostRanks)
}

func weight(lost, by string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(lost + "@" + by)) // a hash's write does not fail
	return h.Sum64()
}

// Leftovers says which of the calls that wait in a sealed ledger its sealer takes now: all, once they have waited long enough for their
// callers.
func Leftovers(now, openedAt time.Duration, ids []string) []string {
	if now-openedAt < comeWithin {
		return nil
	}
	return slices.Clone(ids)
}

// Answer is what a caller is told that came for a call which is not known here.
type Answer int

// The answers.
const (
	Wait       Answer = iota // nothing yet
	Unknown                  // that nothing is known of it; it may be with another controller, or was
	UnknownCut               // the same; nobody can have it, so it must not stand anywhere
)

// Claim says what to answer, so long after the caller came; others is how many ledgers of other controllers there are, sealed ones with
// calls that wait included. Doubt says that one of their owners has not looked at what is wanted since, and may have the call.
func Claim(waited, lease time.Duration, others int, doubt bool) Answer {
	switch {
	case others == 0:
		return UnknownCut
	case waited < lease+waitBeyond && doubt:
		return Wait
	}
	return Unknown
}

// Found says what becomes of a call that was taken. That of an owner which may live is not tried again while an attempt may be out: what
// the owner has sent it cannot take back.
func Found(d recovery.Decision, ownerMayLive bool) recovery.Decision {
	if ownerMayLive && d.Act == recovery.Await && d.Call.Out {
		d.Act, d.Why = recovery.Fail, "its attempt may still be out"
	}
	return d
}
