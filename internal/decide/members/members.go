// Package members says who lives in the fleet and how far that is certain, from what the store of the fleet answered and when. It does
// no I/O; every clock reading is an argument, on one monotonic clock of the process. docs/fleet-members.md has the argument.
package members

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// driftPart of a lease is what its owner gives up for clocks whose rates differ.
	driftPart = 8
	// staleLeases is the age in leases beyond which a view is not acted on.
	staleLeases = 2
	// keepHistory bounds what is told of changes: some minutes of a release of 300 controllers.
	keepHistory = 1024
	// keepGone bounds the members that are told as gone, the latest ones.
	keepGone = 512
)

// Margin is the part of a lease that its owner does not count on.
func Margin(lease time.Duration) time.Duration { return lease / driftPart }

// State is what a member says of itself; Gone is what the store says.
type State string

const (
	// Joining members have their key and do not serve yet.
	Joining State = "joining"
	// Serving members take calls.
	Serving State = "serving"
	// Leaving members serve out what they have.
	Leaving State = "leaving"
	// Gone members have certainly ended: their key went, and with it their right to the name.
	Gone State = "gone"
)

// SelfReported reports whether a member may say so of itself.
func (s State) SelfReported() bool { return s == Joining || s == Serving || s == Leaving }

// Entry is a member's key as the store has it.
type Entry struct {
	Name        string
	Incarnation int64 // the revision at which the key was made
	Revision    int64 // the revision of this value
	State       State
	Address     string
}

// Change is a key that was put, or one that went.
type Change struct {
	Entry
	Deleted bool // Revision is that of the deletion; of the rest, the name alone counts
}

// Member is one controller as this one knows it.
type Member struct {
	Entry
	Store       uint64        // the store whose revisions these are: one that was put back has them again, for others
	FirstSeenAt time.Duration // when this process first heard of the incarnation
	EndedAt     time.Duration // when it heard of its end; 0 while there is none
	WasLeaving  bool          // it said that it was leaving before it went
	last        State
}

// Kind says what happened to a member.
type Kind string

const (
	// MemberAppeared tells of a new incarnation, Turned of another state, Went of a certain end.
	MemberAppeared, MemberStateChanged, MemberEnded Kind = "came", "turned", "went"
	// LeaseGained and Parted are this process's own certainty, gained and lost; Moved is another store in the place of the one that was.
	LeaseGained, LeaseLost, StoreReplaced Kind = "joined", "parted", "store moved"
)

// Event is one line of the history.
type Event struct {
	At          time.Duration `json:"at"`
	Kind        Kind          `json:"kind"`
	Name        string        `json:"name"`
	Incarnation int64         `json:"incarnation"`
	State       State         `json:"state,omitempty"`
	Cause       string        `json:"cause,omitempty"`
}

// View is what one process knows. It is not safe for concurrent use.
type View struct {
	self  string
	lease time.Duration

	cluster  uint64
	highest  int64 // the highest revision that a linearizable answer has told
	revision int64 // up to which the view is whole; 0 before the first read
	asOf     time.Duration
	known    bool
	looks    []look // those that the watch has not caught up with, oldest first

	incarnation int64 // of the own key; 0 without one
	rightUntil  time.Duration
	certain     bool // at the last turn, for the history

	members map[string]*Member
	gone    []*Member
	history []Event
	dropped int // events that the history has lost
}

// look is a linearizable answer: the store was at a revision at some time after it was asked.
type look struct {
	sent     time.Duration
	revision int64
}

// New returns the view of a process that knows nothing yet. The lease must be above 0.
func New(self string, lease time.Duration) *View {
	return &View{self: self, lease: lease, members: map[string]*Member{}}
}

func (v *View) note(at time.Duration, k Kind, e Entry, cause string) {
	if len(v.history) == keepHistory {
		v.history = slices.Delete(v.history, 0, keepHistory/4)
		v.dropped += keepHistory / 4
	}
	v.history = append(v.history, Event{at, k, e.Name, e.Incarnation, e.State, cause})
}

// --- The own membership ---

// RecordOwnKey takes in that the own key is there, made at a revision, under a lease that was granted or renewed by a request sent then.
// A key made anew is a new incarnation; the old one's right does not pass on to it.
func (v *View) RecordOwnKey(now, sent time.Duration, incarnation int64) {
	if incarnation <= 0 || incarnation < v.incarnation {
		return
	}
	if incarnation != v.incarnation {
		v.incarnation, v.rightUntil = incarnation, 0
	}
	v.extend(now, sent)
}

// RecordRenewal takes in the answer to a renewal of the own lease. It counts from when the request was sent: however late the answer, the
// store had it no sooner.
func (v *View) RecordRenewal(now, sent time.Duration, incarnation int64) {
	if incarnation == v.incarnation && incarnation != 0 {
		v.extend(now, sent)
	}
}

func (v *View) extend(now, sent time.Duration) {
	v.rightUntil = max(v.rightUntil, sent+v.lease-Margin(v.lease))
	v.turn(now, "")
}

// RecordLeaseEnd takes in that the own lease or key is no more, for all that the store says, or that this process gives it up.
func (v *View) RecordLeaseEnd(now time.Duration, cause string) {
	v.rightUntil = 0
	v.turn(now, cause)
	v.incarnation = 0
}

// turn notes a change of the own certainty.
func (v *View) turn(now time.Duration, cause string) {
	if is := v.incarnation != 0 && now < v.rightUntil; is != v.certain {
		v.certain = is
		kind := LeaseLost
		if is {
			kind = LeaseGained
		}
		v.note(now, kind, Entry{Name: v.self, Incarnation: v.incarnation}, cause)
	}
}

// HoldsLease reports whether this process has its name for itself now, as which incarnation, and until when if nothing more is heard.
// Whoever acts on it must act before then.
func (v *View) HoldsLease(now time.Duration) (incarnation int64, until time.Duration, ok bool) {
	v.turn(now, "no renewal was answered in time")
	return v.incarnation, v.rightUntil, v.certain
}

// --- The others ---

// ObserveStore takes in which store answered and at which revision, of any answer that is linearizable. It reports false if this is
// another store, or the same one put back to an earlier state: then no key that is missing there says that anybody has ended, and the
// own key must be made anew. The revision need not be that of this request's keys.
func (v *View) ObserveStore(now time.Duration, cluster uint64, revision int64) bool {
	same := v.cluster == 0 || cluster == v.cluster && revision >= v.highest
	if !same {
		cause := "the store went back"
		if cluster != v.cluster {
			cause = "another store"
		}
		v.note(now, StoreReplaced, Entry{Name: v.self, Incarnation: v.incarnation}, cause)
		v.RecordLeaseEnd(now, cause)
		// Who lives is not known any more. Nobody has ended.
		v.members, v.known, v.revision, v.looks = map[string]*Member{}, false, 0, nil
		v.highest = 0
	}
	v.cluster, v.highest = cluster, max(v.highest, revision)
	return same
}

// RecordRevision takes in a linearizable answer that was asked for then: the view is as old as that once it is whole up to the revision.
func (v *View) RecordRevision(sent time.Duration, revision int64) {
	if n := len(v.looks); n > 0 && v.looks[n-1].sent >= sent {
		return
	}
	if len(v.looks) == 8 { // the watch is behind; the oldest that it has yet to reach tells most
		v.looks = v.looks[:7]
	}
	v.looks = append(v.looks, look{sent, revision})
	v.reach(v.revision)
}

// reach is called when the view is whole up to a revision.
func (v *View) reach(revision int64) {
	v.revision = max(v.revision, revision)
	for len(v.looks) > 0 && v.known && v.looks[0].revision <= v.revision {
		v.asOf = max(v.asOf, v.looks[0].sent)
		v.looks = v.looks[1:]
	}
}

// ApplyRead takes in a whole read that was asked for then. One from before what is known already is passed over, and reported as false:
// a key that is missing from it may have been made since.
func (v *View) ApplyRead(now, sent time.Duration, revision int64, entries []Entry) bool {
	if revision < v.revision {
		return false
	}
	there := map[string]bool{}
	for _, e := range entries {
		there[e.Name] = true
		v.put(now, e)
	}
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		if m := v.members[name]; !there[name] && m.Revision <= revision {
			v.end(now, m, "missing from a whole read")
		}
	}
	if !v.known || sent > v.asOf {
		v.asOf = sent
	}
	v.known = true
	v.reach(revision)
	return true
}

// ApplyChanges takes in what the watch told: all changes up to a revision, of which there may be none.
func (v *View) ApplyChanges(now time.Duration, revision int64, changes []Change) {
	for _, c := range changes {
		if !c.Deleted {
			v.put(now, c.Entry)
			continue
		}
		if m := v.members[c.Name]; m != nil && m.Revision < c.Revision {
			v.end(now, m, "its key was deleted")
		}
	}
	v.reach(revision)
}

func (v *View) put(now time.Duration, e Entry) {
	m := v.members[e.Name]
	switch {
	case m == nil:
	case e.Revision <= m.Revision:
		return // told before
	case e.Incarnation > m.Incarnation:
		v.end(now, m, "its name was taken anew")
	default:
		if m.State != e.State {
			v.note(now, MemberStateChanged, e, "")
		}
		m.Entry = e
		return
	}
	v.members[e.Name] = &Member{Entry: e, Store: v.cluster, FirstSeenAt: now}
	v.note(now, MemberAppeared, e, "")
}

// end is the one way for a member to be gone.
func (v *View) end(now time.Duration, m *Member, cause string) {
	delete(v.members, m.Name)
	m.WasLeaving, m.EndedAt = m.State == Leaving, now
	m.last, m.State = m.State, Gone
	v.note(now, MemberEnded, m.Entry, cause)
	if len(v.gone) == keepGone {
		v.gone = slices.Delete(v.gone, 0, keepGone/4)
	}
	v.gone = append(v.gone, m)
}

// Members are those that are not known to have ended, by name. They may have: ask Age.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// HasEnded reports whether that incarnation of a name, by the revisions of that store, has certainly ended.
func (v *View) HasEnded(store uint64, name string, incarnation int64) bool {
	if m := v.members[name]; m != nil && m.Store == store {
		return incarnation < m.Incarnation
	}
	return slices.ContainsFunc(v.gone, func(m *Member) bool {
		return m.Store == store && m.Name == name && incarnation <= m.Incarnation
	})
}

// StoreID is the number of the store whose revisions the incarnations are; 0 before it has answered.
func (v *View) StoreID() uint64 { return v.cluster }

// Gone are those that have ended, the latest last.
func (v *View) Gone() []Member {
	all := make([]Member, 0, len(v.gone))
	for _, m := range v.gone {
		all = append(all, *m)
	}
	return all
}

// Age is how old the view is at most; false before the first whole read.
func (v *View) Age(now time.Duration) (time.Duration, bool) {
	return max(0, now-v.asOf), v.known
}

// Actable reports whether the view is young enough to act on, for one whose own membership is certain.
func (v *View) Actable(now time.Duration) bool {
	age, known := v.Age(now)
	_, _, certain := v.HoldsLease(now)
	return known && certain && age <= staleLeases*v.lease
}

// Revision up to which the view is whole, and Behind what a look has told beyond it.
func (v *View) Revision() int64 { return v.revision }

// Behind reports whether the store has told of a revision that the watch has not reached.
func (v *View) Behind() bool { return len(v.looks) > 0 }

// History is what has happened from the event of that number on, oldest first, as far as it is kept, and the number of the next one.
// Events are numbered from 0.
func (v *View) History(from int) (events []Event, next int) {
	next = v.dropped + len(v.history)
	return slices.Clone(v.history[min(max(from-v.dropped, 0), len(v.history)):]), next
}
