package takeover

import (
	"slices"
	"time"

	"cherryrelay/internal/decide/recovery"
)

const (
	// callerReturnTimeout is how long an unpacked call waits for its caller to resume it before the claimant of the ledger claims the call.
	callerReturnTimeout = recovery.PendingResumeTimeout
	// lookupGrace is the time beyond a lease for which a lookup waits for a call that may be in a ledger which is not sealed yet.
	lookupGrace = 2 * time.Second
	// QueryAnswerWindow is how long a call may take to be transferred after its owner has read a query for it: some scans and a commit.
	QueryAnswerWindow = time.Second
)

// ExpiredCalls returns the unclaimed calls of a sealed ledger that its claimant has to claim now: all of them once callerReturnTimeout has
// passed, and none before.
func ExpiredCalls(now, unpackedAt time.Duration, ids []string) []string {
	if now-unpackedAt < callerReturnTimeout {
		return nil
	}
	return slices.Clone(ids)
}

// LookupOutcome is the result of looking up a call that a caller wants to resume.
type LookupOutcome int

// The outcomes.
const (
	LookupPending    LookupOutcome = iota
	LookupNotFound                 // not found, but another controller may hold the call or have held it
	LookupImpossible               // no other controller can hold the call: it must not remain established at any dispatcher
)

// ResolveLookup decides whether to continue a lookup that has not found the call so far. Holders is the number of other controllers' ledgers
// that may hold calls, including sealed ones. MayBeFound is true while one of their owners has not read the query yet and may hold the call.
func ResolveLookup(waited, lease time.Duration, holders int, mayBeFound bool) LookupOutcome {
	switch {
	case holders == 0:
		return LookupImpossible
	case waited < lease+lookupGrace && mayBeFound:
		return LookupPending
	}
	return LookupNotFound
}

// QueryExpired reports whether a query is older than any lookup can be, so that the controller that wrote it must have failed.
func QueryExpired(age, lease time.Duration) bool { return age > lease+lookupGrace+QueryAnswerWindow }

// AdjustForLiveOwner adjusts the recovery decision on a claimed call if its owner may still be running. While an attempt of the owner may be in
// progress, the call is not attempted again, as the message that the owner has sent cannot be cancelled.
func AdjustForLiveOwner(d recovery.Decision, ownerMayLive bool) recovery.Decision {
	if ownerMayLive && d.Action == recovery.AwaitResume && d.Call.AttemptInProgress {
		d.Action, d.Why = recovery.FailCall, "its attempt may still be out"
	}
	return d
}
