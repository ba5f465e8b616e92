package call

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/ledger"
	"cherryrelay/internal/takeover"
)

// Finder looks up calls of failed controllers, and transfers calls between live ones; it is implemented by
// *takeover.Participant.
type Finder interface {
	// Lookup starts the lookup of a call; CallReceived or CallNotFound delivers the result.
	Lookup(id string, token []byte) bool
	// Persisted reports that received calls are in the own ledger.
	Persisted(ids ...string)
	// Terminated reports the end of a call that is not held here.
	Terminated(id string, cause int)
	// Transfer writes a call's file; TransferWritten follows once it is written. Transferred reports that the call is
	// no longer held here.
	Transfer(c *takeover.Call) error
	Transferred(ids ...string)
}

// transferState is the core's part in the transfer of calls between controllers.
type transferState struct {
	finder        Finder
	holdsLease    func() bool                // reports whether this process holds its lease, as far as known
	abort         func(error)                // does not return: the process restarts
	everPersisted bool                       // calls have been persisted: another controller may take them over
	resumes       map[string][]ResumeRequest // resume requests that wait for the lookup of their call
	resumeCounts  map[Caller]int             // number of these by caller
	persisted     []string                   // received calls, not yet reported as persisted
	transferred   []string                   // transferred calls, not yet reported as such
}

// UseFinder makes the core look up unknown calls at other controllers, and transfer calls to them. Abort stops the
// process at once, before it sends another message; it is called when the process must no longer hold its calls.
func (c *Core) UseFinder(f Finder, holdsLease func() bool, abort func(error)) {
	c.transfers = &transferState{
		finder: f, holdsLease: holdsLease, abort: abort, resumes: map[string][]ResumeRequest{}, resumeCounts: map[Caller]int{},
		everPersisted: c.ledgerWriter != nil && c.ledgerWriter.ledger.Enabled(),
	}
}

// lookUp starts the lookup of the call of a resume request. It reports whether it has.
func (c *Core) lookUp(request ResumeRequest) bool {
	t := c.transfers
	if t == nil || !ValidID(request.ID) || !t.finder.Lookup(request.ID, recovery.HashToken(request.Token)) {
		return false
	}
	t.resumes[request.ID] = append(t.resumes[request.ID], request)
	t.resumeCounts[request.Caller]++
	c.onResumeTimeout(request, func() { c.expireLookup(request) })
	return true
}

// expireLookup rejects a resume request shortly before its deadline, by which a final answer is due. The lookup goes on:
// the call has to be released wherever it is established.
func (c *Core) expireLookup(request ResumeRequest) {
	t := c.transfers
	if !slices.Contains(t.resumes[request.ID], request) {
		return // found, not found, or its caller has disconnected
	}
	t.removeResume(request)
	c.rejectUnknown(request.Caller, request.ID, request.Token, false)
}

// removeResumes removes and returns the resume requests that wait for a call.
func (t *transferState) removeResumes(id string) []ResumeRequest {
	requests := t.resumes[id]
	for _, request := range slices.Clone(requests) {
		t.removeResume(request)
	}
	return requests
}

// removeResume removes a waiting resume request.
func (t *transferState) removeResume(request ResumeRequest) {
	if t.resumes[request.ID] = slices.DeleteFunc(slices.Clone(t.resumes[request.ID]),
		func(o ResumeRequest) bool { return o == request }); len(t.resumes[request.ID]) == 0 {
		delete(t.resumes, request.ID)
	}
	if t.resumeCounts[request.Caller]--; t.resumeCounts[request.Caller] <= 0 {
		delete(t.resumeCounts, request.Caller)
	}
}

// removeCaller removes the resume requests of a caller that has disconnected: it will resume its calls again, here or
// elsewhere.
func (t *transferState) removeCaller(caller Caller) {
	if t == nil || t.resumeCounts[caller] == 0 {
		return
	}
	delete(t.resumeCounts, caller)
	for id, requests := range t.resumes {
		if t.resumes[id] = slices.DeleteFunc(requests, func(o ResumeRequest) bool { return o.Caller == caller }); len(t.resumes[id]) == 0 {
			delete(t.resumes, id) // the call may still be found, and then waits for its caller like any orphaned call
		}
	}
}

// CallReceived takes over a call of another controller; endCause is the cause of its end if a dispatcher has reported
// that already, and -1 otherwise.
func (c *Core) CallReceived(received *takeover.Call, endCause int) {
	t, id := c.transfers, received.ID()
	if k := c.calls[id]; k != nil && !k.transferring {
		// The previous process ended after it had persisted the call, before it reported that.
		t.persisted = append(t.persisted, id)
		c.serveResumes(id)
		return
	}
	c.recoverAndVerify(func() { c.recoverReceived(received) })
	t.persisted = append(t.persisted, id)
	k := c.calls[id]
	if k == nil { // no answer is due
		c.CallNotFound(id, false)
		return
	}
	if k.state == established { // its end may have been sent to the failed controller, which notified nobody
		c.dispatchers.Reconnect(k.server)
	}
	c.serveResumes(id)
	if endCause >= 0 && k.state == established {
		c.terminate(k, endCause, nil)
	}
}

// recoverReceived restores a call of another controller and persists it.
func (c *Core) recoverReceived(received *takeover.Call) {
	rules := recovery.Rules{Guard: c.decisions.ReleaseGuard, MaxAttempts: c.decisions.MaxAttempts}
	for _, d := range received.CallTable().Plan(c.now(), rules) {
		d = decide.AdjustForLiveOwner(d, received.OwnerMayLive)
		d.Call.FromOtherController = true
		if c.recovered.Actions == nil {
			c.recovered.Actions, c.recovered.Reasons = map[string]int{}, map[string]int{}
		}
		c.recover(d)
	}
	if k := c.calls[received.ID()]; k != nil {
		endlog.Call(c.log, endlog.TransferredIn, k.ID, endlog.Server(k.server))
		c.persistCall(k)
	}
}

// persistCall appends the events that replay to the current state of a call to the ledger.
func (c *Core) persistCall(k *record) {
	if c.ledgerWriter == nil {
		return
	}
	for _, e := range c.recoveryCall(k).Events() {
		c.ledgerWriter.append(e)
	}
}

// serveResumes serves the resume requests that wait for a call.
func (c *Core) serveResumes(id string) {
	requests := c.transfers.removeResumes(id)
	for _, request := range requests {
		if err := c.ResumeCall(request); err != nil {
			c.log.Error("resume request failed", "id", request.ID, "err", err)
		}
	}
}

// CallNotFound rejects the resume requests for a call that was not found; noHolder means that no controller can hold it.
func (c *Core) CallNotFound(id string, noHolder bool) {
	requests := c.transfers.removeResumes(id)
	for _, request := range requests {
		c.rejectUnknown(request.Caller, request.ID, request.Token, noHolder)
	}
}

// ApplyRemoteEnds applies ends that dispatchers sent to other controllers, and returns the ids of the calls held here.
func (c *Core) ApplyRemoteEnds(ends map[string]int) (held []string) {
	for id, cause := range ends {
		if k := c.calls[id]; k != nil && k.state == established && !k.transferring {
			c.terminate(k, cause, nil)
			held = append(held, id)
		}
	}
	return held
}

// TransferRequested transfers calls whose callers resume them at other controllers, as the hash of the token proves. An
// attempt in progress is cancelled first, so that the written state is complete.
func (c *Core) TransferRequested(calls map[string]takeover.Query) {
	for id, query := range calls {
		k := c.calls[id]
		if k == nil || k.transferring || len(k.Token) == 0 || !bytes.Equal(k.Token, query.Token) || k.end.Reason == ReasonUnknown {
			continue
		}
		// If the caller has resumed the call here since, the controller that asked has failed or has lost the caller.
		if k.resumedAt.After(query.FirstSeen) {
			continue
		}
		if k.attemptInProgress {
			c.cancelAttempt(k, control.Cancelled, true)
		}
		if k.state == pending && !k.awaitsResume {
			c.forgetInModule(k)
		}
		c.stopTimers(k)
		k.transferring = true
		recoveryCall := c.recoveryCall(k)
		if err := c.transfers.finder.Transfer(&takeover.Call{Events: recoveryCall.Events(), LastAliveUs: c.now().Microseconds()}); err != nil {
			c.log.Error("call cannot be transferred to another controller", "id", id, "err", err)
		}
	}
}

// TransferWritten drops a call that is transferred, once its file is written.
func (c *Core) TransferWritten(id string) {
	k := c.calls[id]
	if k == nil || !k.transferring {
		return
	}
	endlog.Call(c.log, endlog.TransferredOut, id, endlog.Server(k.server))
	c.persistEvent(k, recovery.KindCancelled, nil)
	switch {
	case k.state == pending:
		c.removePending(k)
	case k.state == established:
		if c.establishedByCaller[k.Caller]--; c.establishedByCaller[k.Caller] == 0 {
			delete(c.establishedByCaller, k.Caller)
		}
	default:
		c.recentlyTerminated.remove(k)
	}
	delete(c.calls, id)
	c.transfers.transferred = append(c.transfers.transferred, id)
	if requests := c.transfers.resumes[id]; len(requests) > 0 { // its caller is connected here again
		c.transfers.finder.Lookup(id, recovery.HashToken(requests[0].Token))
	}
}

// reportPersisted reports to the finder what the ledger contains by now. It is called after each commit.
func (c *Core) reportPersisted() {
	t := c.transfers
	if t == nil || c.ledgerWriter != nil && !c.ledgerWriter.ledger.Enabled() {
		return
	}
	t.everPersisted = true
	if len(t.persisted) > 0 {
		t.finder.Persisted(t.persisted...)
		t.persisted = nil
	}
	if len(t.transferred) > 0 {
		t.finder.Transferred(t.transferred...)
		t.transferred = nil
	}
}

// checkOwnership aborts the process if another controller may have taken over its calls: if its ledger was sealed, or
// if it is disabled and the process may not hold its lease.
func (c *Core) checkOwnership(err error) {
	t := c.transfers
	if t == nil {
		return
	}
	if errors.Is(err, ledger.ErrSealed) || t.everPersisted && !c.ledgerWriter.ledger.Enabled() && !t.holdsLease() {
		t.abort(err)
	}
}

// ownershipCheckInterval is the interval at which a process without a ledger checks whether it may go on.
const ownershipCheckInterval = 50 * time.Millisecond
