package call

import (
	"math"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
)

// This file checks the calls of other processes against the list of dispatchers. The list may be older than a call: then its source has yet
// to report the process at which the call is established.

const (
	// alwaysConfirmed is the confirmation time of a list whose source gives none.
	alwaysConfirmed time.Duration = math.MaxInt64
	// undecidedTimeout is how long an undecided call is kept that no dispatcher can be asked about. Its end may stay unreported for 8 s.
	undecidedTimeout = 5 * time.Second
)

// pendingRelease is a call of another process that must not be established anywhere.
type pendingRelease struct {
	*recovery.Call
	everywhere bool // it was released at all dispatchers that were listed by then
}

// AwaitListConfirmation makes calls of other processes wait for ListConfirmed before they count as ended because the list lacks their
// dispatchers. It must be called before the first list arrives.
func (c *Core) AwaitListConfirmation() { c.listConfirmedAt = 0 }

// ListConfirmed reports that the list contains everything that its source had at the given Unix time.
func (c *Core) ListConfirmed(at time.Duration) {
	c.selection.afterUpdates(func() {
		c.listConfirmedAt = max(c.listConfirmedAt, at)
		c.dropUnplacedReleases(c.now())
		c.verifyRecovered(nil)
		c.forgetAdoptedDispatchers()
	})
}

// forgetAdoptedDispatchers forgets the unlisted dispatchers once no call needs them.
func (c *Core) forgetAdoptedDispatchers() {
	if len(c.unverified) == 0 {
		clear(c.adoptedDispatchers)
	}
}

// verifyRecovered checks recovered established calls against the list once there is one, and releases calls that must not be established.
// removed holds the entries that the list has just removed.
func (c *Core) verifyRecovered(removed map[control.ServerID]Server) {
	if !c.listReceived {
		return
	}
	defer func() { c.listedByAddress = nil }()
	c.sendPendingReleases(removed)
	unverified := c.unverified
	c.unverified = nil
	for _, k := range unverified {
		switch {
		case c.calls[k.ID] != k || k.state != established || k.restored == nil: // it has ended, or is held by another controller
		case k.transferring:
			c.unverified = append(c.unverified, k)
		default:
			c.verify(k, removed)
		}
	}
}

// verify checks an established call of another process against the list.
func (c *Core) verify(k *record, removed map[control.ServerID]Server) {
	entry := c.listEntryOf(k.server, removed)
	if k.fromPredecessor && !entry.Listed { // calls go on at a dispatcher that is removed while the controller serves
		c.applyVerdict(k, recovery.Undecided, "", false)
		return
	}
	verdict, why := k.restored.Verify(entry, c.listConfirmedAt)
	if verdict == recovery.Undecided && c.isAddressTakenSince(k.restored) {
		verdict = recovery.Gone
	}
	c.applyVerdict(k, verdict, why, entry.Removed)
}

// applyVerdict continues or ends an established call of another process. removed is set if its dispatcher was removed by a change of the
// list.
func (c *Core) applyVerdict(k *record, verdict recovery.Verdict, why string, removed bool) {
	switch verdict {
	case recovery.StillEstablished:
		c.setMisplaced(k, false)
		c.selection.retain(k.server)
	case recovery.Undecided:
		c.unverified = append(c.unverified, k)
		_, listed := c.listedServer(k.server)
		c.setMisplaced(k, listed || !c.adoptDispatcher(k.restored))
	case recovery.Gone:
		c.log.Info("call of the previous process is cut", "id", k.ID, "server", k.server, "why", why)
		c.recovered.Cut++
		if _, adopted := c.adoptedDispatchers[k.server]; adopted || removed {
			c.dispatchers.Release(k.server, k.ID, CauseTemporary) // its process may run all the same
		}
		c.setMisplaced(k, false)
		c.terminate(k, CauseTemporary, nil)
	}
}

// decideMisplaced decides a misplaced call by the list, as if that were current.
func (c *Core) decideMisplaced(k *record) {
	verdict, why := k.restored.Verify(c.listEntryOf(k.server, nil), alwaysConfirmed)
	c.applyVerdict(k, verdict, why, false)
}

// setMisplaced records whether the list has another process in the place of the one at which a call is established. Such a call does not
// depend on the connections to that process. If the list is not confirmed in time, it is taken to be current.
func (c *Core) setMisplaced(k *record, misplaced bool) {
	if k.misplaced == misplaced {
		return
	}
	k.misplaced = misplaced
	c.loop.Stop(k.undecidedTimer)
	k.undecidedTimer = nil
	if misplaced {
		k.undecidedTimer = c.loop.After(undecidedTimeout, func() { c.decideMisplaced(k) })
	}
}

// listEntryOf returns what the list says about a dispatcher, and about those that it has just removed.
func (c *Core) listEntryOf(id control.ServerID, removed map[control.ServerID]Server) recovery.ListEntry {
	if entry, listed := c.listedServer(id); listed {
		return listEntry(entry)
	}
	entry, named := removed[id]
	if named && entry.CallsContinue { // an operator has left it out, and its calls go on
		return listEntry(entry)
	}
	return recovery.ListEntry{Removed: named}
}

// listEntry returns the entry of a dispatcher in the form that the recovery decisions use.
func listEntry(entry Server) recovery.ListEntry {
	known := recovery.ListEntry{Address: entry.Address, Started: entry.StartedAt, Listed: true}
	if entry.StartAssumed {
		known.Started = 0
	}
	return known
}

// adoptDispatcher connects to the dispatcher of a call that the list does not name, where the call was established: its connections show
// whether the process runs, and bring the ends of its calls. It returns false if the address is not known, or is that of another
// dispatcher.
func (c *Core) adoptDispatcher(call *recovery.Call) bool {
	id := control.ServerID(call.Server)
	if address, adopted := c.adoptedDispatchers[id]; adopted {
		return address == call.Address
	}
	if call.Address == "" || len(c.listedAt(call.Address)) > 0 {
		return false
	}
	c.adoptedDispatchers[id] = call.Address
	c.log.Info("dispatcher of recovered calls is not listed", "server", id, "address", call.Address)
	c.dispatchers.Update(Update{Servers: []Server{asRetained(Server{
		ServerEntry: control.ServerEntry{ID: id, StartedAt: call.ServerStarted}, Address: call.Address,
	})}})
	return true
}

// isAddressTakenSince reports whether the list shows that another dispatcher has started at the address of a call's process since the last
// event of the call.
func (c *Core) isAddressTakenSince(call *recovery.Call) bool {
	return slices.ContainsFunc(c.listedAt(call.Address), func(entry Server) bool {
		return string(entry.ID) != call.Server && listEntry(entry).Started > call.LastEventAt
	})
}

// listedAt returns the listed dispatchers at an address. It must be called during verifyRecovered.
func (c *Core) listedAt(address string) []Server {
	if c.listedByAddress == nil {
		c.listedByAddress = map[string][]Server{}
		for _, entry := range c.knownServers {
			c.listedByAddress[entry.Address] = append(c.listedByAddress[entry.Address], entry)
		}
		for entry := range c.selection.unannounced() {
			c.listedByAddress[entry.Address] = append(c.listedByAddress[entry.Address], entry)
		}
	}
	return c.listedByAddress[address]
}

// recoverAndVerify runs f, which recovers calls, and checks these calls only: a lost controller may have had very many.
func (c *Core) recoverAndVerify(f func()) {
	earlier := c.unverified
	c.unverified = nil
	f()
	c.verifyRecovered(nil)
	c.unverified = append(earlier, c.unverified...)
}

// sendPendingReleases releases calls that must not be established: at all listed dispatchers, as the last known one may not be the only one,
// and at the last known one if the list comes to name it, or does not name it yet.
func (c *Core) sendPendingReleases(removed map[control.ServerID]Server) {
	pending := c.pendingReleases
	c.pendingReleases = nil
	for _, r := range pending {
		if c.sendPendingRelease(r, removed) {
			c.pendingReleases = append(c.pendingReleases, r)
		}
	}
}

// sendPendingRelease releases a call, and reports whether it may have to be released at its last known dispatcher later.
func (c *Core) sendPendingRelease(r *pendingRelease, removed map[control.ServerID]Server) (later bool) {
	k, id := c.calls[r.ID], control.ServerID(r.Server)
	if k == nil || r.everywhere && k.attempts > r.Attempts {
		return false // a release would end the attempt that was made since
	}
	first := !r.everywhere
	if first {
		r.everywhere = true
		c.selection.includeForRelease(id)
		c.dispatchers.Release("", r.ID, CauseNormal)
	}
	if id == "" {
		return false
	}
	entry := c.listEntryOf(id, removed)
	verdict, _ := r.Verify(entry, c.listConfirmedAt)
	switch {
	case verdict == recovery.Gone || verdict == recovery.StillEstablished && first:
		return false
	case verdict == recovery.Undecided && (entry.Listed || !c.adoptDispatcher(r.Call)):
		return true
	}
	c.dispatchers.Release(id, r.ID, CauseNormal)
	return false
}

// releaseAtDispatcher releases an established call at its dispatcher, and once more if the list comes to name the process that it is
// established at.
func (c *Core) releaseAtDispatcher(k *record, cause int) {
	c.dispatchers.Release(k.server, k.ID, cause)
	if k.misplaced {
		c.pendingReleases = append(c.pendingReleases, &pendingRelease{Call: k.restored, everywhere: true})
	}
}

// ContinuesAt reports whether a call of another process is known to be established at the process of its dispatcher that a
// new entry of the list describes.
func (c *Core) ContinuesAt(entry Server, id string) bool {
	k := c.calls[id]
	if k == nil || k.restored == nil || k.restored.Address != entry.Address {
		return false
	}
	ok, _ := k.restored.MayStillBeEstablished(listEntry(entry))
	return ok
}
