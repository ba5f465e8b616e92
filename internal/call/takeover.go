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

// Finder has the calls of lost controllers, and passes on those of living ones; *takeover.Room is one.
type Finder interface {
	// Lookup has a call looked for; Arrived or Missing tells how that came out.
	Lookup(id string, token []byte) bool
	// Persisted tells that calls which arrived are in the own ledger.
	Persisted(ids ...string)
	// Terminated tells the end of a call that is not held here.
	Terminated(id string, cause int)
	// Transfer has a call's file written; Given tells when it is. Gone tells that the call is held here no more.
	Transfer(c *takeover.Call) error
	Transferred(ids ...string)
}

// transferState is the core's part in calls that pass between controllers.
type transferState struct {
	finder        Finder
	holdsLease    func() bool                // whether this process has its name for itself, as far as is known
	abort         func(error)                // does not return: this process begins anew
	everPersisted bool                       // calls have been kept: another controller may take them
	resumes       map[string][]ResumeRequest // that wait for their call to be found
	resumeCounts  map[Caller]int             // how many of each
	persisted     []string                   // arrived, and not told to be kept
	transferred   []string                   // let go, and not told to be gone
}

// UseFinder has calls that are not known here looked for among those of other controllers. LetGo ends the process's work at once, before another
// word leaves it; it is for a process that may hold its calls no more.
func (c *Core) UseFinder(f Finder, certain func() bool, letGo func(error)) {
	c.transfers = &transferState{finder: f, holdsLease: certain, abort: letGo, resumes: map[string][]ResumeRequest{}, resumeCounts: map[Caller]int{}, everPersisted: c.ledgerWriter != nil && c.ledgerWriter.ledger.Enabled()}
}

// lookUp has a call looked for that somebody has come for. It reports whether it is.
func (c *Core) lookUp(claim ResumeRequest) bool {
	p := c.transfers
	if p == nil || !ValidID(claim.ID) || !p.finder.Lookup(claim.ID, recovery.HashToken(claim.Token)) {
		return false
	}
	p.resumes[claim.ID] = append(p.resumes[claim.ID], claim)
	p.resumeCounts[claim.Caller]++
	c.onResumeTimeout(claim, func() { c.expireLookup(claim) })
	return true
}

// expireLookup tells a caller whose time for an open call is over that nothing is known of it yet, as a final answer is owed by then. The call
// goes on being looked for: what stands of it, wherever, has to be released.
func (c *Core) expireLookup(claim ResumeRequest) {
	p := c.transfers
	if !slices.Contains(p.resumes[claim.ID], claim) {
		return // found, or missed, or its caller has gone
	}
	p.removeResume(claim)
	c.rejectUnknown(claim.Caller, claim.ID, claim.Token, false)
}

// removeResumes takes the claims that have waited for a call.
func (p *transferState) removeResumes(id string) []ResumeRequest {
	claims := p.resumes[id]
	for _, claim := range slices.Clone(claims) {
		p.removeResume(claim)
	}
	return claims
}

// removeResume forgets a claim that waits.
func (p *transferState) removeResume(claim ResumeRequest) {
	if p.resumes[claim.ID] = slices.DeleteFunc(slices.Clone(p.resumes[claim.ID]), func(o ResumeRequest) bool { return o == claim }); len(p.resumes[claim.ID]) == 0 {
		delete(p.resumes, claim.ID)
	}
	if p.resumeCounts[claim.Caller]--; p.resumeCounts[claim.Caller] <= 0 {
		delete(p.resumeCounts, claim.Caller)
	}
}

// removeCaller drops the claims of a caller that has gone: it comes again, here or elsewhere.
func (p *transferState) removeCaller(caller Caller) {
	if p == nil || p.resumeCounts[caller] == 0 {
		return
	}
	delete(p.resumeCounts, caller)
	for id, claims := range p.resumes {
		if p.resumes[id] = slices.DeleteFunc(claims, func(o ResumeRequest) bool { return o.Caller == caller }); len(p.resumes[id]) == 0 {
			delete(p.resumes, id) // the call may still come, and then waits for it as any that is left
		}
	}
}

// CallReceived takes up a call that was another controller's. Over is the cause of its end, if a dispatcher has told that already; else -1.
func (c *Core) CallReceived(from *takeover.Call, over int) {
	p, id := c.transfers, from.ID()
	if k := c.calls[id]; k != nil && !k.transferring {
		p.persisted = append(p.persisted, id) // it is here already: an earlier process was lost between the two steps of keeping it
		c.serveResumes(id)
		return
	}
	rules := recovery.Rules{Guard: c.decisions.ReleaseGuard, MaxAttempts: c.decisions.MaxAttempts}
	for _, d := range from.Book().Plan(c.now(), rules) {
		d = decide.AdjustForLiveOwner(d, from.MayLive)
		d.Call.FromOtherController = true
		if c.recovered.Actions == nil {
			c.recovered.Actions, c.recovered.Reasons = map[string]int{}, map[string]int{}
		}
		c.recoverCall(d)
	}
	k := c.calls[id]
	if k == nil {
		p.persisted = append(p.persisted, id) // nothing is owed
		c.CallNotFound(id, false)
		return
	}
	endlog.Call(c.log, endlog.Arrived, id, endlog.Server(k.server))
	c.persistCall(k)
	p.persisted = append(p.persisted, id)
	c.verifyRecovered()
	if k.state == established { // its end may have been told to the one that had it, which told nobody
		c.dispatchers.Reconnect(k.server)
	}
	c.serveResumes(id)
	if over >= 0 && k.state == established {
		c.terminate(k, over, nil)
	}
}

// persistCall has all that is known of a call kept.
func (c *Core) persistCall(k *record) {
	if c.ledgerWriter == nil {
		return
	}
	for _, e := range c.recoveryCall(k).Events() {
		c.ledgerWriter.appendEvent(e)
	}
}

// serveResumes gives a call to those that have waited for it.
func (c *Core) serveResumes(id string) {
	claims := c.transfers.removeResumes(id)
	for _, claim := range claims {
		if err := c.ResumeCall(claim); err != nil {
			c.log.Error("claim that cannot be served", "id", claim.ID, "err", err)
		}
	}
}

// CallNotFound tells those that have waited for a call that nothing is known of it; cut, that nobody can have it.
func (c *Core) CallNotFound(id string, cut bool) {
	claims := c.transfers.removeResumes(id)
	for _, claim := range claims {
		c.rejectUnknown(claim.Caller, claim.ID, claim.Token, cut)
	}
}

// ApplyRemoteEnds takes in ends that dispatchers told to other controllers, and returns the calls that are held here.
func (c *Core) ApplyRemoteEnds(ends map[string]int) (mine []string) {
	for id, cause := range ends {
		if k := c.calls[id]; k != nil && k.state == established && !k.transferring {
			c.terminate(k, cause, nil)
			mine = append(mine, id)
		}
	}
	return mine
}

// TransferRequested gives calls away whose callers have come back elsewhere, as the hash of the token shows. What is out for one is withdrawn first, so
// that all that is known of it can be written.
func (c *Core) TransferRequested(calls map[string]takeover.Query) {
	for id, query := range calls {
		k := c.calls[id]
		if k == nil || k.transferring || len(k.Token) == 0 || !bytes.Equal(k.Token, query.Token) || k.end.Reason == ReasonUnknown {
			continue
		}
		if k.resumedAt.After(query.Seen) { // its caller has come here since: who asked has failed, or lost it
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
		known := c.recoveryCall(k)
		if err := c.transfers.finder.Transfer(&takeover.Call{Events: known.Events(), LastUs: c.now().Microseconds()}); err != nil {
			c.log.Error("a call cannot be given to another controller", "id", id, "err", err)
		}
	}
}

// TransferWritten lets a call go whose file is written.
func (c *Core) TransferWritten(id string) {
	k := c.calls[id]
	if k == nil || !k.transferring {
		return
	}
	endlog.Call(c.log, endlog.Given, id, endlog.Server(k.server))
	c.persistEvent(k, recovery.KindCancelled, nil)
	switch {
	case k.state == pending:
		c.removePending(k)
	case k.state == established:
		if c.establishedByCaller[k.Caller]--; c.establishedByCaller[k.Caller] == 0 {
			delete(c.establishedByCaller, k.Caller)
		}
	default:
		c.recentlyTerminated = slices.DeleteFunc(c.recentlyTerminated, func(o *record) bool { return o == k })
	}
	delete(c.calls, id)
	c.transfers.transferred = append(c.transfers.transferred, id)
	if claims := c.transfers.resumes[id]; len(claims) > 0 { // its caller is here again
		c.transfers.finder.Lookup(id, recovery.HashToken(claims[0].Token))
	}
}

// reportPersisted tells the finder what the ledger has by now. It comes after a commit.
func (c *Core) reportPersisted() {
	p := c.transfers
	if p == nil || c.ledgerWriter != nil && !c.ledgerWriter.ledger.Enabled() {
		return
	}
	p.everPersisted = true
	if len(p.persisted) > 0 {
		p.finder.Persisted(p.persisted...)
		p.persisted = nil
	}
	if len(p.transferred) > 0 {
		p.finder.Transferred(p.transferred...)
		p.transferred = nil
	}
}

// checkOwnership ends this process's work if its calls may be another's: its ledger was taken, or nothing is written and it is not certain either
// that nobody may take it.
func (c *Core) checkOwnership(err error) {
	p := c.transfers
	if p == nil {
		return
	}
	if errors.Is(err, ledger.ErrSealed) || p.everPersisted && !c.ledgerWriter.ledger.Enabled() && !p.holdsLease() {
		p.abort(err)
	}
}

// ownershipCheckInterval is the pace at which a process without a ledger looks whether it may go on.
const ownershipCheckInterval = 50 * time.Millisecond
