package recovery

import "time"

// ListEntry is a dispatcher's entry in the server list.
type ListEntry struct {
	Address string
	Started time.Duration
	Listed  bool
}

// MayStillBeEstablished reports whether an established call may still exist at its dispatcher, judged by the dispatcher's list entry; if
// not, it returns the reason. An unlisted dispatcher was removed, and one at another address or with a later start is a different process.
func (c *Call) MayStillBeEstablished(entry ListEntry) (ok bool, why string) {
	switch {
	case !entry.Listed:
		return false, "its dispatcher is not listed"
	case entry.Address != c.Address && !c.FromOtherController:
		return false, "its dispatcher has another address"
	case entry.Started > c.ServerStarted && entry.Started > c.LastEventAt:
		return false, "its dispatcher has restarted"
	}
	return true, ""
}
