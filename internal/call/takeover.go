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

// passing is the core's part in calls that pass between controllers.
type passing struct {
	finder  Finder
	certain func() bool                // whether this process has its name for itself, as far as is known
	letGo   func(error)                // does not return: this process begins anew
	held    bool                       // calls have been kept: another controller may take them
	claims  map[string][]ResumeRequest // that wait for their call to be found
	waiting map[Caller]int             // how many of each
	kept    []string                   // arrived, and not told to be kept
	gone    []string                   // let go, and not told to be gone
}

// UseFinder has calls that are not known here looked for among those of other controllers. LetGo ends the process's work at once, before another
// word leaves it; it is for a process that may hold its calls no more.
func (c *Core) UseFinder(f Finder, certain func() bool, letGo func(error)) {
	c.passing = &passing{finder: f, certain: certain, letGo: letGo, claims: map[string][]ResumeRequest{}, waiting: map[Caller]int{}, held: c.durable != nil && c.durable.ledger.Enabled()}
}

// want has a call looked for that somebody has come for. It reports whether it is.
func (c *Core) want(claim ResumeRequest) bool {
	p := c.passing
	if p == nil || !ValidID(claim.ID) || !p.finder.Lookup(claim.ID, recovery.HashToken(claim.Token)) {
		return false
	}
	p.claims[claim.ID] = append(p.claims[claim.ID], claim)
	p.waiting[claim.Caller]++
	c.unlessFound(claim, func() { c.tooLate(claim) })
	return true
}

// tooLate tells a caller whose time for an open call is over that nothing is known of it yet, as a final answer is owed by then. The call
// goes on being looked for: what stands of it, wherever, has to be released.
func (c *Core) tooLate(claim ResumeRequest) {
	p := c.passing
	if !slices.Contains(p.claims[claim.ID], claim) {
		return // found, or missed, or its caller has gone
	}
	p.drop(claim)
	c.unknown(claim.Caller, claim.ID, claim.Token, false)
}

// came takes the claims that have waited for a call.
func (p *passing) came(id string) []ResumeRequest {
	claims := p.claims[id]
	for _, claim := range slices.Clone(claims) {
		p.drop(claim)
	}
	return claims
}

// drop forgets a claim that waits.
func (p *passing) drop(claim ResumeRequest) {
	if p.claims[claim.ID] = slices.DeleteFunc(slices.Clone(p.claims[claim.ID]), func(o ResumeRequest) bool { return o == claim }); len(p.claims[claim.ID]) == 0 {
		delete(p.claims, claim.ID)
	}
	if p.waiting[claim.Caller]--; p.waiting[claim.Caller] <= 0 {
		delete(p.waiting, claim.Caller)
	}
}

// left drops the claims of a caller that has gone: it comes again, here or elsewhere.
func (p *passing) left(caller Caller) {
	if p == nil || p.waiting[caller] == 0 {
		return
	}
	delete(p.waiting, caller)
	for id, claims := range p.claims {
		if p.claims[id] = slices.DeleteFunc(claims, func(o ResumeRequest) bool { return o.Caller == caller }); len(p.claims[id]) == 0 {
			delete(p.claims, id) // the call may still come, and then waits for it as any that is left
		}
	}
}

// CallReceived takes up a call that was another controller's. Over is the cause of its end, if a dispatcher has told that already; else -1.
func (c *Core) CallReceived(from *takeover.Call, over int) {
	p, id := c.passing, from.ID()
	if k := c.calls[id]; k != nil && !k.moving {
		p.kept = append(p.kept, id) // it is here already: an earlier process was lost between the two steps of keeping it
		c.claimed(id)
		return
	}
	rules := recovery.Rules{Guard: c.decisions.ReleaseGuard, MaxAttempts: c.decisions.MaxAttempts}
	for _, d := range from.Book().Plan(c.now(), rules) {
		d = decide.AdjustForLiveOwner(d, from.MayLive)
		d.Call.FromOtherController = true
		if c.recovered.Actions == nil {
			c.recovered.Actions, c.recovered.Reasons = map[string]int{}, map[string]int{}
		}
		c.recover(d)
	}
	k := c.calls[id]
	if k == nil {
		p.kept = append(p.kept, id) // nothing is owed
		c.CallNotFound(id, false)
		return
	}
	endlog.Call(c.log, endlog.Arrived, id, endlog.Server(k.server))
	c.noteAll(k)
	p.kept = append(p.kept, id)
	c.checkRecovered()
	if k.state == stands { // its end may have been told to the one that had it, which told nobody
		c.dispatchers.Reconnect(k.server)
	}
	c.claimed(id)
	if over >= 0 && k.state == stands {
		c.finish(k, over, nil)
	}
}

// noteAll has all that is known of a call kept.
func (c *Core) noteAll(k *record) {
	if c.durable == nil {
		return
	}
	for _, e := range c.known(k).Events() {
		c.durable.append(e)
	}
}

// claimed gives a call to those that have waited for it.
func (c *Core) claimed(id string) {
	claims := c.passing.came(id)
	for _, claim := range claims {
		if err := c.ResumeCall(claim); err != nil {
			c.log.Error("claim that cannot be served", "id", claim.ID, "err", err)
		}
	}
}

// CallNotFound tells those that have waited for a call that nothing is known of it; cut, that nobody can have it.
func (c *Core) CallNotFound(id string, cut bool) {
	claims := c.passing.came(id)
	for _, claim := range claims {
		c.unknown(claim.Caller, claim.ID, claim.Token, cut)
	}
}

// ApplyRemoteEnds takes in ends that dispatchers told to other controllers, and returns the calls that are held here.
func (c *Core) ApplyRemoteEnds(ends map[string]int) (mine []string) {
	for id, cause := range ends {
		if k := c.calls[id]; k != nil && k.state == stands && !k.moving {
			c.finish(k, cause, nil)
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
		if k == nil || k.moving || len(k.Token) == 0 || !bytes.Equal(k.Token, query.Token) || k.end.Reason == ReasonUnknown {
			continue
		}
		if k.claimedAt.After(query.Seen) { // its caller has come here since: who asked has failed, or lost it
			continue
		}
		if k.out {
			c.withdraw(k, control.Cancelled, true)
		}
		if k.state == open && !k.parked {
			c.forget(k)
		}
		c.stopTimers(k)
		k.moving = true
		known := c.known(k)
		if err := c.passing.finder.Transfer(&takeover.Call{Events: known.Events(), LastUs: c.now().Microseconds()}); err != nil {
			c.log.Error("a call cannot be given to another controller", "id", id, "err", err)
		}
	}
}

// TransferWritten lets a call go whose file is written.
func (c *Core) TransferWritten(id string) {
	k := c.calls[id]
	if k == nil || !k.moving {
		return
	}
	endlog.Call(c.log, endlog.Given, id, endlog.Server(k.server))
	c.note(k, recovery.KindCancelled, nil)
	switch {
	case k.state == open:
		c.settle(k)
	case k.state == stands:
		if c.standing[k.Caller]--; c.standing[k.Caller] == 0 {
			delete(c.standing, k.Caller)
		}
	default:
		c.ended = slices.DeleteFunc(c.ended, func(o *record) bool { return o == k })
	}
	delete(c.calls, id)
	c.passing.gone = append(c.passing.gone, id)
	if claims := c.passing.claims[id]; len(claims) > 0 { // its caller is here again
		c.passing.finder.Lookup(id, recovery.HashToken(claims[0].Token))
	}
}

// passed tells the finder what the ledger has by now. It comes after a commit.
func (c *Core) passed() {
	p := c.passing
	if p == nil || c.durable != nil && !c.durable.ledger.Enabled() {
		return
	}
	p.held = true
	if len(p.kept) > 0 {
		p.finder.Persisted(p.kept...)
		p.kept = nil
	}
	if len(p.gone) > 0 {
		p.finder.Transferred(p.gone...)
		p.gone = nil
	}
}

// mayGoOn ends this process's work if its calls may be another's: its ledger was taken, or nothing is written and it is not certain either
// that nobody may take it.
func (c *Core) mayGoOn(err error) {
	p := c.passing
	if p == nil {
		return
	}
	if errors.Is(err, ledger.ErrSealed) || p.held && !c.durable.ledger.Enabled() && !p.certain() {
		p.letGo(err)
	}
}

// lookAgain is the pace at which a process without a ledger looks whether it may go on.
const lookAgain = 50 * time.Millisecond
