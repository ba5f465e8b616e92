package recovery

import "time"

// ListEntry is what the list says about a dispatcher.
type ListEntry struct {
	Address string
	Started time.Duration
	Listed  bool
	Removed bool // the list has named it as removed; without that, it may be one that an older list does not name yet
}

// Verdict is what the list shows about an established call of another process.
type Verdict int

// The verdicts.
const (
	StillEstablished Verdict = iota + 1
	Undecided                // the list may be older than the call
	Gone                     // its dispatcher has been removed or replaced
)

// Verify judges an established call by its dispatcher's entry in a list that is complete up to the time confirmedAt. Unless the verdict is
// StillEstablished, it returns the reason.
func (c *Call) Verify(entry ListEntry, confirmedAt time.Duration) (verdict Verdict, why string) {
	ok, why := c.MayStillBeEstablished(entry)
	switch {
	case ok:
		return StillEstablished, ""
	case entry.Removed, entry.Listed && c.isBeforeRestart(entry):
		return Gone, why
	case confirmedAt < c.LastEventAt:
		return Undecided, why
	}
	return Gone, why
}

// MayStillBeEstablished reports whether an established call may still exist at its dispatcher, judged by the dispatcher's entry in a
// current list; if not, it returns the reason. An unlisted dispatcher was removed, and one at another address or with a later start is a
// different process.
func (c *Call) MayStillBeEstablished(entry ListEntry) (ok bool, why string) {
	switch {
	case !entry.Listed:
		return false, "its dispatcher is not listed"
	case entry.Address != c.Address && !c.FromOtherController:
		return false, "its dispatcher has another address"
	case c.isBeforeRestart(entry):
		return false, "its dispatcher has restarted"
	}
	return true, ""
}

// isBeforeRestart reports whether the entry shows that the dispatcher has restarted since the last event of the call.
func (c *Call) isBeforeRestart(entry ListEntry) bool {
	return entry.Started > c.ServerStarted && entry.Started > c.LastEventAt
}
