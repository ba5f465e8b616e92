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
	// minLeasesHeld is the time, in TTLs of a lease, for which a process must have held its lease before it seals the ledger of an owner whose
	// process may be alive.
	minLeasesHeld = 2
	// liveOwnerSuffix ends the number of a sealed ledger whose owner's process may be alive.
	liveOwnerSuffix = "h"
)

// writeOwner writes the own incarnation into the directory of the own ledger. While the ledger is locked, other controllers use it to decide
// whether the owner is alive.
func (p *Participant) writeOwner() {
	if p.options.Incarnation == nil {
		return
	}
	incarnation, held := p.options.Incarnation()
	if !held {
		p.heldSince = p.now()
	}
	if !held || incarnation == p.incarnation {
		return
	}
	p.heldSince = p.now()
	data, err := json.Marshal(incarnation)
	if err == nil {
		err = p.files.replace(filepath.Join(p.options.Name, OwnerFile), data)
	}
	if err != nil {
		p.recordFailure(err)
		return
	}
	p.incarnation = incarnation
}

// observe returns the state of another controller's ledger.
func (p *Participant) observe(name string) decide.Observation {
	o := decide.Observation{Name: name}
	var err error
	if o.Locked, err = ledger.IsLocked(filepath.Join(p.options.LedgersDir, name)); err != nil {
		p.recordFailure(err)
		o.Locked = true // its state is unknown: it may be locked
	}
	if o.Locked {
		if data, err := p.files.Read(filepath.Join(name, OwnerFile)); err == nil {
			_ = json.Unmarshal(data, &o.Owner) // without a valid file, the incarnation of the owner is unknown
		}
	}
	return o
}

// observeAll returns the states of the ledgers of the named controllers.
func (p *Participant) observeAll(names []string) []decide.Observation {
	var all []decide.Observation
	for _, name := range names {
		all = append(all, p.observe(name))
	}
	return all
}

// noMembership is a Membership that reports no incarnation as ended.
type noMembership struct{}

func (noMembership) HasEnded(string, decide.IncarnationID) bool { return false }

// membership returns the membership of the fleet once this process has held its lease for long enough, and noMembership until then.
func (p *Participant) membership() decide.Membership {
	// All leases expire during a long outage of the store. The first process that holds a lease again must not seal the ledgers of the others,
	// which are about to rejoin.
	if p.options.Fleet == nil || p.incarnation == (decide.IncarnationID{}) || p.now()-p.heldSince < minLeasesHeld*p.options.Lease {
		return noMembership{}
	}
	return p.options.Fleet
}

// newNumber returns a number for a sealed ledger, unique among those of the same name.
func newNumber() string { return strconv.FormatInt(time.Now().UnixNano(), 16) }

// sealFailed seals and unpacks the ledgers of failed controllers.
func (p *Participant) sealFailed(others []string) {
	for _, failed := range p.owners.ReadyToSeal(p.now(), p.observeAll(others), p.membership()) {
		number := newNumber()
		if failed.Locked {
			number += liveOwnerSuffix
		}
		start := time.Now()
		s, err := decide.Seal(p.files, failed.Name, number, p.options.Name)
		if err != nil {
			p.recordFailure(err)
			continue
		}
		p.updateStatus(func(s *Status) { s.Sealed++ })
		p.unpack(s, start, "")
	}
}

// reclaimFailed claims the sealed ledgers of claimants that have failed, and returns all sealed ledgers with their claimants updated.
func (p *Participant) reclaimFailed(sealed []decide.SealedLedger) []decide.SealedLedger {
	var names []string
	for _, s := range sealed {
		if s.Claimant != p.options.Name && !slices.Contains(names, s.Claimant) {
			names = append(names, s.Claimant)
		}
	}
	failed := p.claimants.ReadyToSeal(p.now(), p.observeAll(names), p.membership())
	for i, s := range sealed {
		if !slices.ContainsFunc(failed, func(o decide.Observation) bool { return o.Name == s.Claimant }) {
			continue
		}
		number := s.Number
		if number == transferNumber { // gets a number of its own: the reclaiming controller has its own transfer ledger
			number = newNumber()
		}
		start := time.Now()
		reclaimed, err := decide.ReclaimAs(p.files, s, number, p.options.Name)
		if err != nil {
			p.recordFailure(err)
			continue
		}
		sealed[i] = reclaimed
		p.unpack(reclaimed, start, s.Claimant)
	}
	return sealed
}

// unpack writes each call of a sealed ledger to a file of its own. The previous claimant is empty for a ledger that was just sealed.
func (p *Participant) unpack(s decide.SealedLedger, start time.Time, previous string) {
	ownerMayLive := strings.HasSuffix(s.Number, liveOwnerSuffix)
	if err := decide.Unpack(p.files, s, p.readLedger(ownerMayLive)); err != nil {
		p.recordFailure(err)
		return
	}
	ids, _, err := decide.UnclaimedCalls(p.files, s)
	p.recordFailure(err)
	p.unpackedAt[s] = p.now()
	took := time.Since(start)
	p.addTakeover(Takeover{At: start, Name: s.Name, OwnerMayLive: ownerMayLive, Calls: len(ids), TookMs: took.Milliseconds(), PreviousClaimant: previous})
	p.log.Warn("the ledger of a lost controller is taken over",
		"lost", s.Name, "calls", len(ids), "owner_may_live", ownerMayLive, "took", took, "from", previous)
}
