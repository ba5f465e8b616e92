package takeover

import (
	"maps"
	"path/filepath"
	"time"

	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
)

// lookup is a pending lookup of a call that a caller wants to resume.
type lookup struct {
	startedAt time.Duration
	token     []byte // hash of the caller's token
}

// resolveLookups claims the calls that are looked up. For those that it does not find, it queries the other controllers, or reports them as not
// found once no further wait can help. The argument holders is the number of ledgers that may hold calls and are not the own one; others has
// the names of those that are not sealed; notUnpacked is true if one of the sealed ones is not unpacked yet.
func (p *Participant) resolveLookups(holders int, others []string, notUnpacked bool) {
	p.mu.Lock()
	lookups := maps.Clone(p.lookups)
	p.status.PendingLookups = len(lookups)
	p.mu.Unlock()
	p.observeQueries() // before the lookups: a caller that resumes here has left the controllers whose queries for its call are older
	if len(lookups) == 0 {
		return
	}
	answeredAt := p.answeredAt(others)
	for id, l := range lookups {
		data, _, err := decide.FindAndClaim(p.files, id, p.options.Name)
		if err == nil {
			p.endLookup(id)
			if c := p.receive(id, data); c != nil {
				p.updateStatus(func(s *Status) { s.Found++ })
				p.deliver(c)
			}
			continue
		}
		p.recordFailure(err)
		queriedAt := p.queriedAt[id]
		unanswered := len(others) > 0 && answeredAt.Sub(queriedAt) < decide.QueryAnswerWindow
		mayBeFound := notUnpacked || queriedAt.IsZero() || unanswered
		outcome := decide.ResolveLookup(p.now()-l.startedAt, p.options.Lease, holders, mayBeFound)
		switch {
		case outcome != decide.LookupPending:
			p.endLookup(id)
			p.updateStatus(func(s *Status) { s.NotFound++ })
			p.options.Post(func() { p.core.CallNotFound(id, outcome == decide.LookupImpossible) })
		case queriedAt.IsZero() || p.queryRemoved(id):
			p.query(id, l.token)
		}
	}
}

// endLookup removes a lookup and its query.
func (p *Participant) endLookup(id string) {
	p.mu.Lock()
	delete(p.lookups, id)
	p.mu.Unlock()
	if !p.queriedAt[id].IsZero() {
		delete(p.queriedAt, id)
		p.recordFailure(p.files.Remove(filepath.Join(decide.QueriesDir, id)))
	}
}

// answeredAt returns the time up to which the owners of all other ledgers have answered queries. It returns zero if one of them never has, or
// may have failed.
func (p *Participant) answeredAt(others []string) (earliest time.Time) {
	for i, name := range others {
		info, err := p.files.root.Stat(filepath.Join(name, answeredFile))
		if err != nil {
			return time.Time{}
		}
		if locked, err := ledger.IsLocked(filepath.Join(p.options.LedgersDir, name)); err != nil || !locked {
			return time.Time{} // the owner's process has ended, and the ledger will be sealed
		}
		if at := info.ModTime(); i == 0 || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}
