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
	// leaseMarginDivisor of a lease is what its owner gives up for clocks whose rates differ.
	leaseMarginDivisor = 8
	// maxViewAgeLeases is the age in leases beyond which a view is not acted on.
	maxViewAgeLeases = 2
	// maxHistory bounds what is told of changes: some minutes of a release of 300 controllers.
	maxHistory = 1024
	// maxGone bounds the members that are told as gone, the latest ones.
	maxGone = 512
)

// Margin is the part of a lease that its owner does not count on.
func Margin(lease time.Duration) time.Duration { return lease / leaseMarginDivisor }

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
	lastState   State
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

	storeID         uint64
	highestRevision int64 // the highest revision that a linearizable answer has told
	revision        int64 // up to which the view is whole; 0 before the first read
	asOf            time.Duration
	loaded          bool
	samples         []revisionSample // those that the watch has not caught up with, oldest first

	incarnation int64 // of the own key; 0 without one
	leaseUntil  time.Duration
	heldLease   bool // at the last turn, for the history

	members       map[string]*Member
	gone          []*Member
	history       []Event
	droppedEvents int // events that the history has lost
}

// revisionSample is a linearizable answer: the store was at a revision at some time after it was asked.
type revisionSample struct {
	sent     time.Duration
	revision int64
}

// New returns the view of a process that knows nothing yet. The lease must be above 0.
func New(self string, lease time.Duration) *View {
	return &View{self: self, lease: lease, members: map[string]*Member{}}
}

func (v *View) recordEvent(at time.Duration, k Kind, e Entry, cause string) {
	if len(v.history) == maxHistory {
		v.history = slices.Delete(v.history, 0, maxHistory/4)
		v.droppedEvents += maxHistory / 4
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
		v.incarnation, v.leaseUntil = incarnation, 0
	}
	v.extendLease(now, sent)
}

// RecordRenewal takes in the answer to a renewal of the own lease. It counts from when the request was sent: however late the answer, the
// store had it no sooner.
func (v *View) RecordRenewal(now, sent time.Duration, incarnation int64) {
	if incarnation == v.incarnation && incarnation != 0 {
		v.extendLease(now, sent)
	}
}

func (v *View) extendLease(now, sent time.Duration) {
	v.leaseUntil = max(v.leaseUntil, sent+v.lease-Margin(v.lease))
	v.updateLeaseState(now, "")
}

// RecordLeaseEnd takes in that the own lease or key is no more, for all that the store says, or that this process gives it up.
func (v *View) RecordLeaseEnd(now time.Duration, cause string) {
	v.leaseUntil = 0
	v.updateLeaseState(now, cause)
	v.incarnation = 0
}

// updateLeaseState notes a change of the own certainty.
func (v *View) updateLeaseState(now time.Duration, cause string) {
	if is := v.incarnation != 0 && now < v.leaseUntil; is != v.heldLease {
		v.heldLease = is
		kind := LeaseLost
		if is {
			kind = LeaseGained
		}
		v.recordEvent(now, kind, Entry{Name: v.self, Incarnation: v.incarnation}, cause)
	}
}

// HoldsLease reports whether this process has its name for itself now, as which incarnation, and until when if nothing more is heard.
// Whoever acts on it must act before then.
func (v *View) HoldsLease(now time.Duration) (incarnation int64, until time.Duration, ok bool) {
	v.updateLeaseState(now, "no renewal was answered in time")
	return v.incarnation, v.leaseUntil, v.heldLease
}

// --- The others ---

// ObserveStore takes in which store answered and at which revision, of any answer that is linearizable. It reports false if this is
// another store, or the same one put back to an earlier state: then no key that is missing there says that anybody has ended, and the
// own key must be made anew. The revision need not be that of this request's keys.
func (v *View) ObserveStore(now time.Duration, cluster uint64, revision int64) bool {
	same := v.storeID == 0 || cluster == v.storeID && revision >= v.highestRevision
	if !same {
		cause := "the store went back"
		if cluster != v.storeID {
			cause = "another store"
		}
		v.recordEvent(now, StoreReplaced, Entry{Name: v.self, Incarnation: v.incarnation}, cause)
		v.RecordLeaseEnd(now, cause)
		// Who lives is not known any more. Nobody has ended.
		v.members, v.loaded, v.revision, v.samples = map[string]*Member{}, false, 0, nil
		v.highestRevision = 0
	}
	v.storeID, v.highestRevision = cluster, max(v.highestRevision, revision)
	return same
}

// RecordRevision takes in a linearizable answer that was asked for then: the view is as old as that once it is whole up to the revision.
func (v *View) RecordRevision(sent time.Duration, revision int64) {
	if n := len(v.samples); n > 0 && v.samples[n-1].sent >= sent {
		return
	}
	if len(v.samples) == 8 { // the watch is behind; the oldest that it has yet to reach tells most
		v.samples = v.samples[:7]
	}
	v.samples = append(v.samples, revisionSample{sent, revision})
	v.advanceRevision(v.revision)
}

// advanceRevision is called when the view is whole up to a revision.
func (v *View) advanceRevision(revision int64) {
	v.revision = max(v.revision, revision)
	for len(v.samples) > 0 && v.loaded && v.samples[0].revision <= v.revision {
		v.asOf = max(v.asOf, v.samples[0].sent)
		v.samples = v.samples[1:]
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
			v.recordEnd(now, m, "missing from a whole read")
		}
	}
	if !v.loaded || sent > v.asOf {
		v.asOf = sent
	}
	v.loaded = true
	v.advanceRevision(revision)
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
			v.recordEnd(now, m, "its key was deleted")
		}
	}
	v.advanceRevision(revision)
}

func (v *View) put(now time.Duration, e Entry) {
	m := v.members[e.Name]
	switch {
	case m == nil:
	case e.Revision <= m.Revision:
		return // told before
	case e.Incarnation > m.Incarnation:
		v.recordEnd(now, m, "its name was taken anew")
	default:
		if m.State != e.State {
			v.recordEvent(now, MemberStateChanged, e, "")
		}
		m.Entry = e
		return
	}
	v.members[e.Name] = &Member{Entry: e, Store: v.storeID, FirstSeenAt: now}
	v.recordEvent(now, MemberAppeared, e, "")
}

// recordEnd is the one way for a member to be gone.
func (v *View) recordEnd(now time.Duration, m *Member, cause string) {
	delete(v.members, m.Name)
	m.WasLeaving, m.EndedAt = m.State == Leaving, now
	m.lastState, m.State = m.State, Gone
	v.recordEvent(now, MemberEnded, m.Entry, cause)
	if len(v.gone) == maxGone {
		v.gone = slices.Delete(v.gone, 0, maxGone/4)
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
func (v *View) StoreID() uint64 { return v.storeID }

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
	return max(0, now-v.asOf), v.loaded
}

// Actable reports whether the view is young enough to act on, for one whose own membership is certain.
func (v *View) Actable(now time.Duration) bool {
	age, known := v.Age(now)
	_, _, certain := v.HoldsLease(now)
	return known && certain && age <= maxViewAgeLeases*v.lease
}

// Revision up to which the view is whole, and Behind what a look has told beyond it.
func (v *View) Revision() int64 { return v.revision }

// Behind reports whether the store has told of a revision that the watch has not reached.
func (v *View) Behind() bool { return len(v.samples) > 0 }

// History is what has happened from the event of that number on, oldest first, as far as it is kept, and the number of the next one.
// Events are numbered from 0.
func (v *View) History(from int) (events []Event, next int) {
	next = v.droppedEvents + len(v.history)
	return slices.Clone(v.history[min(max(from-v.droppedEvents, 0), len(v.history)):]), next
}
