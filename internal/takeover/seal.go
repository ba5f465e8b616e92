package takeover

import (
	"encoding/json"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
)

const (
	// settledLeases is how many leases a process must have been certain of its name before it seals the ledger of an owner that may live.
	settledLeases = 2
	// liveOwnerSuffix ends the number of a sealed ledger whose owner may live.
	liveOwnerSuffix = "h"
)

// writeOwner writes the own incarnation beside the own ledger, for others to judge whether its owner lives while the lock is held.
func (r *Room) writeOwner() {
	if r.options.Certain == nil {
		return
	}
	incarnation, certain := r.options.Certain()
	if !certain {
		r.certainSince = r.now()
	}
	if !certain || incarnation == r.incarnation {
		return
	}
	r.certainSince = r.now()
	text, err := json.Marshal(incarnation)
	if err == nil {
		err = r.files.replace(filepath.Join(r.options.Name, OwnerName), text)
	}
	if err != nil {
		r.recordFailure(err)
		return
	}
	r.incarnation = incarnation
}

// observe reads the state of another controller's ledger.
func (r *Room) observe(name string) decide.Observation {
	o := decide.Observation{Name: name}
	var err error
	if o.Locked, err = ledger.IsLocked(filepath.Join(r.options.Ledgers, name)); err != nil {
		r.recordFailure(err)
		o.Locked = true // nothing is known of it
	}
	if o.Locked {
		if text, err := r.files.Read(filepath.Join(name, OwnerName)); err == nil {
			_ = json.Unmarshal(text, &o.Owner) // a damaged file says nothing
		}
	}
	return o
}

func (r *Room) observeAll(names []string) []decide.Observation {
	var all []decide.Observation
	for _, name := range names {
		all = append(all, r.observe(name))
	}
	return all
}

// noMembership knows of no incarnation that has ended.
type noMembership struct{}

func (noMembership) HasEnded(string, decide.IncarnationID) bool { return false }

// membership is the fleet's, once this process has held its lease for long enough.
func (r *Room) membership() decide.Membership {
	// A store that was lost for long has ended everybody's lease: the first process to return must not seal the ledgers of others that
	// are about to return.
	if r.options.Fleet == nil || r.incarnation == (decide.IncarnationID{}) || r.now()-r.certainSince < settledLeases*r.options.Lease {
		return noMembership{}
	}
	return r.options.Fleet
}

// newNumber returns a number for a sealed ledger.
func newNumber() string { return strconv.FormatInt(time.Now().UnixNano(), 16) }

// sealFailed seals and unpacks the ledgers of failed controllers.
func (r *Room) sealFailed(others []string) {
	for _, failed := range r.owners.ReadyToSeal(r.now(), r.observeAll(others), r.membership()) {
		number := newNumber()
		if failed.Locked {
			number += liveOwnerSuffix
		}
		begun := time.Now()
		s, err := decide.Seal(r.files, failed.Name, number, r.options.Name)
		if err != nil {
			r.recordFailure(err)
			continue
		}
		r.updateStatus(func(s *Shown) { s.Sealed++ })
		r.unpack(s, begun, "")
	}
}

// reclaimFailed takes over the sealed ledgers of claimants that have failed as well, and returns all sealed ledgers as they are then.
func (r *Room) reclaimFailed(sealed []decide.SealedLedger) []decide.SealedLedger {
	var names []string
	for _, s := range sealed {
		if s.Claimant != r.options.Name && !slices.Contains(names, s.Claimant) {
			names = append(names, s.Claimant)
		}
	}
	failed := r.claimants.ReadyToSeal(r.now(), r.observeAll(names), r.membership())
	for i, s := range sealed {
		if !slices.ContainsFunc(failed, func(o decide.Observation) bool { return o.Name == s.Claimant }) {
			continue
		}
		number := s.Number
		if number == transferNumber { // it becomes an ordinary sealed ledger: this controller has a transfer ledger of its own
			number = newNumber()
		}
		begun := time.Now()
		reclaimed, err := decide.ReclaimAs(r.files, s, number, r.options.Name)
		if err != nil {
			r.recordFailure(err)
			continue
		}
		sealed[i] = reclaimed
		r.unpack(reclaimed, begun, s.Claimant)
	}
	return sealed
}

// unpack writes the calls of a sealed ledger to files, one each. The previous claimant is empty for a ledger that was just sealed.
func (r *Room) unpack(s decide.SealedLedger, begun time.Time, previous string) {
	ownerMayLive := strings.HasSuffix(s.Number, liveOwnerSuffix)
	if err := decide.Unpack(r.files, s, r.readLedger(ownerMayLive)); err != nil {
		r.recordFailure(err)
		return
	}
	ids, _, err := decide.UnclaimedCalls(r.files, s)
	r.recordFailure(err)
	r.unpackedAt[s] = r.now()
	took := time.Since(begun)
	r.addTakeover(Told{At: begun, Name: s.Name, Held: ownerMayLive, Calls: len(ids), TookMs: took.Milliseconds(), From: previous})
	r.log.Warn("the ledger of a lost controller is taken over",
		"lost", s.Name, "calls", len(ids), "owner_may_live", ownerMayLive, "took", took, "from", previous)
}
