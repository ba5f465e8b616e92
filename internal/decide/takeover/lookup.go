package takeover

import (
	"slices"
	"time"

	"cherryrelay/internal/decide/recovery"
)

const (
	// callerReturnWindow is how long an unpacked call waits for its caller before the claimant of its ledger claims it.
	callerReturnWindow = recovery.PendingResumeTimeout
	// lookupGrace is how long beyond a lease a lookup waits for a call that may be in a ledger which is not sealed yet.
	lookupGrace = 2 * time.Second
	// QueryAnswerWindow is how long after its owner has read a query a call may take to be transferred: some scans, and a commit.
	QueryAnswerWindow = time.Second
)

// ExpiredCalls returns those of the unclaimed calls of a sealed ledger that its claimant claims now: all, once they have waited long enough
// for their callers.
func ExpiredCalls(now, unpackedAt time.Duration, ids []string) []string {
	if now-unpackedAt < callerReturnWindow {
		return nil
	}
	return slices.Clone(ids)
}

// LookupOutcome is the result of looking up a call that a caller came back for.
type LookupOutcome int

// The outcomes.
const (
	LookupPending    LookupOutcome = iota
	LookupNotFound                 // another controller may hold the call, or have held it
	LookupImpossible               // no other controller can hold the call: it must not stand at any dispatcher
)

// ResolveLookup decides on a lookup that has found nothing for a time. Holders is the number of ledgers of other controllers that may hold
// calls, sealed ones included. MayBeFound tells that one of their owners has not read the query yet and may hold the call.
func ResolveLookup(waited, lease time.Duration, holders int, mayBeFound bool) LookupOutcome {
	switch {
	case holders == 0:
		return LookupImpossible
	case waited < lease+lookupGrace && mayBeFound:
		return LookupPending
	}
	return LookupNotFound
}

// QueryExpired reports whether a query that has been there for so long is older than any lookup: the controller that wrote it has failed.
func QueryExpired(age, lease time.Duration) bool { return age > lease+lookupGrace+QueryAnswerWindow }

// AdjustForLiveOwner adjusts the recovery decision on a claimed call. A call whose owner may live is not tried again while an attempt may be in progress:
// what the owner has sent cannot be recalled.
func AdjustForLiveOwner(d recovery.Decision, ownerMayLive bool) recovery.Decision {
	if ownerMayLive && d.Action == recovery.AwaitResume && d.Call.AttemptInProgress {
		d.Action, d.Why = recovery.FailCall, "its attempt may still be out"
	}
	return d
}
