// Package members derives the members of the fleet, and how certain that knowledge is, from the answers of the fleet's store
// and their times. It does no I/O; all times are arguments, readings of one monotonic clock of the process.
// docs/fleet-members.md explains why the rules are safe.
package members

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// leaseMarginDivisor divides a lease to get its margin, which allows for clocks that run at different rates.
	leaseMarginDivisor = 8
	// maxViewAgeLeases is the age in leases beyond which a view is not acted on.
	maxViewAgeLeases = 2
	// maxHistory limits the events in the history, to some minutes of a rolling upgrade of 300 controllers.
	maxHistory = 1024
	// maxGone limits the ended members that are kept. The latest ones are kept.
	maxGone = 512
)

// Margin returns the final part of a lease that its owner does not rely on.
func Margin(lease time.Duration) time.Duration { return lease / leaseMarginDivisor }

// State is the state that a member reports of itself, or Gone, which is derived from the store.
type State string

const (
	// Joining members have their key and do not serve yet.
	Joining State = "joining"
	// Serving members accept calls.
	Serving State = "serving"
	// Leaving members finish their calls and accept no new ones.
	Leaving State = "leaving"
	// Gone members have certainly ended: their key was deleted, and with it their right to the name.
	Gone State = "gone"
)

// SelfReported reports whether a member may report this state of itself.
func (s State) SelfReported() bool { return s == Joining || s == Serving || s == Leaving }

// Entry is the key of a member as stored.
type Entry struct {
	Name        string
	Incarnation int64 // revision at which the key was created
	Revision    int64 // revision of this value
	State       State
	Address     string
}

// Change is a key that was written or deleted.
type Change struct {
	Entry
	Deleted bool // if set, Revision is that of the deletion, and of the other fields only Name is valid
}

// Member is a controller as known to this process.
type Member struct {
	Entry
	Store       uint64        // store that assigned the revisions; a restored store may assign the same ones again
	FirstSeenAt time.Duration // when this process first learned of the incarnation
	EndedAt     time.Duration // when it learned that the incarnation had ended; 0 before
	WasLeaving  bool          // its last reported state was Leaving
	lastState   State
}

// Kind is the type of an event.
type Kind string

const (
	// MemberAppeared reports a new incarnation, MemberStateChanged a new state, MemberEnded a certain end.
	MemberAppeared, MemberStateChanged, MemberEnded Kind = "came", "turned", "went"
	// LeaseGained and LeaseLost report whether this process holds its lease. StoreReplaced reports that another store answers.
	LeaseGained, LeaseLost, StoreReplaced Kind = "joined", "parted", "store moved"
)

// Event is one event of the history.
type Event struct {
	At          time.Duration `json:"at"`
	Kind        Kind          `json:"kind"`
	Name        string        `json:"name"`
	Incarnation int64         `json:"incarnation"`
	State       State         `json:"state,omitempty"`
	Cause       string        `json:"cause,omitempty"`
}

// View is what one process knows about the fleet. It is not safe for concurrent use.
type View struct {
	self  string
	lease time.Duration

	storeID         uint64
	highestRevision int64 // highest revision in any linearizable answer
	revision        int64 // revision up to which the view is complete; 0 before the first read
	asOf            time.Duration
	loaded          bool
	samples         []revisionSample // samples that the watch has not reached, oldest first

	incarnation int64 // of the own key; 0 without one
	leaseUntil  time.Duration
	heldLease   bool // whether the lease was held at the last update, for the history

	members       map[string]*Member
	gone          []*Member
	history       []Event
	droppedEvents int // number of events dropped from the history
}

// revisionSample is a linearizable answer: the store was at the revision at some time after the request was sent.
type revisionSample struct {
	sent     time.Duration
	revision int64
}

// New returns an empty View. The lease must be above 0.
func New(self string, lease time.Duration) *View {
	return &View{self: self, lease: lease, members: map[string]*Member{}}
}

func (v *View) recordEvent(at time.Duration, kind Kind, e Entry, cause string) {
	if len(v.history) == maxHistory {
		v.history = slices.Delete(v.history, 0, maxHistory/4)
		v.droppedEvents += maxHistory / 4
	}
	v.history = append(v.history, Event{at, kind, e.Name, e.Incarnation, e.State, cause})
}

// --- Own membership ---

// RecordOwnKey records that the own key exists, with the revision of its creation, under a lease that was granted or renewed by
// a request sent at the given time. A key that was created again is a new incarnation, which does not inherit the lease of the
// old one.
func (v *View) RecordOwnKey(now, sent time.Duration, incarnation int64) {
	if incarnation <= 0 || incarnation < v.incarnation {
		return
	}
	if incarnation != v.incarnation {
		v.incarnation, v.leaseUntil = incarnation, 0
	}
	v.extendLease(now, sent)
}

// RecordRenewal records the answer to a renewal of the own lease. The lease counts from the time at which the request was sent:
// however late the answer, the store received the request after that time.
func (v *View) RecordRenewal(now, sent time.Duration, incarnation int64) {
	if incarnation == v.incarnation && incarnation != 0 {
		v.extendLease(now, sent)
	}
}

func (v *View) extendLease(now, sent time.Duration) {
	v.leaseUntil = max(v.leaseUntil, sent+v.lease-Margin(v.lease))
	v.updateLeaseState(now, "")
}

// RecordLeaseEnd records that the own lease or key no longer exists according to the store, or that this process gives it up.
func (v *View) RecordLeaseEnd(now time.Duration, cause string) {
	v.leaseUntil = 0
	v.updateLeaseState(now, cause)
	v.incarnation = 0
}

// updateLeaseState records an event if the lease was gained or lost.
func (v *View) updateLeaseState(now time.Duration, cause string) {
	if holds := v.incarnation != 0 && now < v.leaseUntil; holds != v.heldLease {
		v.heldLease = holds
		kind := LeaseLost
		if holds {
			kind = LeaseGained
		}
		v.recordEvent(now, kind, Entry{Name: v.self, Incarnation: v.incarnation}, cause)
	}
}

// HoldsLease reports whether this process holds its lease now, and so is the only one with its name. It also returns the
// incarnation and the time until which the lease is held without another renewal. A caller that acts on the result must act
// before that time.
func (v *View) HoldsLease(now time.Duration) (incarnation int64, until time.Duration, ok bool) {
	v.updateLeaseState(now, "no renewal was answered in time")
	return v.incarnation, v.leaseUntil, v.heldLease
}

// --- Other members ---

// ObserveStore records the store and the revision of a linearizable answer. It returns false if this is another store, or the
// same one restored to an earlier state. A key that is missing there does not show that its member has ended, and the own key
// must be created again. The revision need not be that of the requested keys.
func (v *View) ObserveStore(now time.Duration, storeID uint64, revision int64) bool {
	same := v.storeID == 0 || storeID == v.storeID && revision >= v.highestRevision
	if !same {
		cause := "the store went back"
		if storeID != v.storeID {
			cause = "another store"
		}
		v.recordEvent(now, StoreReplaced, Entry{Name: v.self, Incarnation: v.incarnation}, cause)
		v.RecordLeaseEnd(now, cause)
		// The members are unknown until the next complete read. None of them has ended.
		v.members, v.loaded, v.revision, v.samples = map[string]*Member{}, false, 0, nil
		v.highestRevision = 0
	}
	v.storeID, v.highestRevision = storeID, max(v.highestRevision, revision)
	return same
}

// RecordRevision records a linearizable answer to a request sent at the given time. Once the view is complete up to the
// revision, it is at least as recent as that time.
func (v *View) RecordRevision(sent time.Duration, revision int64) {
	if n := len(v.samples); n > 0 && v.samples[n-1].sent >= sent {
		return
	}
	if len(v.samples) == 8 { // the watch lags; the oldest samples that it has not reached yet bound the age best
		v.samples = v.samples[:7]
	}
	v.samples = append(v.samples, revisionSample{sent, revision})
	v.advanceRevision(v.revision)
}

// advanceRevision is called when the view is complete up to a revision.
func (v *View) advanceRevision(revision int64) {
	v.revision = max(v.revision, revision)
	for len(v.samples) > 0 && v.loaded && v.samples[0].revision <= v.revision {
		v.asOf = max(v.asOf, v.samples[0].sent)
		v.samples = v.samples[1:]
	}
}

// ApplyRead applies a complete read that was requested at the given time. A read older than the view is ignored and reported as
// false: a key that is missing from it may have been created since.
func (v *View) ApplyRead(now, sent time.Duration, revision int64, entries []Entry) bool {
	if revision < v.revision {
		return false
	}
	present := map[string]bool{}
	for _, e := range entries {
		present[e.Name] = true
		v.put(now, e)
	}
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		if m := v.members[name]; !present[name] && m.Revision <= revision {
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

// ApplyChanges applies all changes that the watch reported up to a revision. There may be none.
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
		return // already applied
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

// recordEnd marks a member as gone. No other function does that.
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

// Members returns the members that are not known to have ended, sorted by name. Some may have ended since: see Age.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// HasEnded reports whether an incarnation of a name, by the revisions of the given store, has certainly ended.
func (v *View) HasEnded(store uint64, name string, incarnation int64) bool {
	if m := v.members[name]; m != nil && m.Store == store {
		return incarnation < m.Incarnation
	}
	return slices.ContainsFunc(v.gone, func(m *Member) bool {
		return m.Store == store && m.Name == name && incarnation <= m.Incarnation
	})
}

// StoreID returns the id of the store that assigned the incarnations; 0 before its first answer.
func (v *View) StoreID() uint64 { return v.storeID }

// Gone returns the members that have ended, the latest last.
func (v *View) Gone() []Member {
	all := make([]Member, 0, len(v.gone))
	for _, m := range v.gone {
		all = append(all, *m)
	}
	return all
}

// Age returns the maximum age of the view. It returns false before the first complete read.
func (v *View) Age(now time.Duration) (time.Duration, bool) {
	return max(0, now-v.asOf), v.loaded
}

// Actable reports whether this process may act on the view: it holds its lease, and the view is recent enough.
func (v *View) Actable(now time.Duration) bool {
	age, loaded := v.Age(now)
	_, _, holds := v.HoldsLease(now)
	return loaded && holds && age <= maxViewAgeLeases*v.lease
}

// Revision returns the revision up to which the view is complete.
func (v *View) Revision() int64 { return v.revision }

// Behind reports whether the store has answered with a revision that the watch has not reached.
func (v *View) Behind() bool { return len(v.samples) > 0 }

// History returns the kept events from the given number on, oldest first, and the number of the next event. Events are numbered
// from 0.
func (v *View) History(from int) (events []Event, next int) {
	next = v.droppedEvents + len(v.history)
	return slices.Clone(v.history[min(max(from-v.droppedEvents, 0), len(v.history)):]), next
}
