package takeover

import (
	"maps"
	"path/filepath"
	"time"

	decide "cherryrelay/internal/decide/takeover"
	"cherryrelay/internal/ledger"
)

// lookup is a call that a caller came back for.
type lookup struct {
	since time.Duration
	token []byte // hash of the caller's token
}

// resolveLookups claims the calls that are looked up, queries the other controllers for those that are not found, and gives up on those that
// cannot be found any more. Holders is the number of ledgers of others that may hold calls; notUnpacked tells that one of those that are
// sealed is not unpacked yet.
func (r *Room) resolveLookups(holders int, others []string, notUnpacked bool) {
	r.mu.Lock()
	lookups := maps.Clone(r.lookups)
	r.status.Waiting = len(lookups)
	r.mu.Unlock()
	r.observeQueries() // a caller that is looked up here has left the controllers that asked for its call before
	if len(lookups) == 0 {
		return
	}
	answeredAt := r.answeredAt(others)
	for id, l := range lookups {
		text, _, err := decide.FindAndClaim(r.files, id, r.options.Name)
		if err == nil {
			r.endLookup(id)
			if c := r.receive(id, text); c != nil {
				r.updateStatus(func(s *Shown) { s.Found++ })
				r.deliver(c)
			}
			continue
		}
		r.recordFailure(err)
		queriedAt := r.queriedAt[id]
		unanswered := len(others) > 0 && answeredAt.Sub(queriedAt) < decide.QueryAnswerWindow
		mayBeFound := notUnpacked || queriedAt.IsZero() || unanswered
		outcome := decide.ResolveLookup(r.now()-l.since, r.options.Lease, holders, mayBeFound)
		switch {
		case outcome != decide.LookupPending:
			r.endLookup(id)
			r.updateStatus(func(s *Shown) { s.Unknown++ })
			r.options.Post(func() { r.core.CallNotFound(id, outcome == decide.LookupImpossible) })
		case queriedAt.IsZero() || r.queryLost(id):
			r.query(id, l.token)
		}
	}
}

// endLookup drops a lookup and its query.
func (r *Room) endLookup(id string) {
	r.mu.Lock()
	delete(r.lookups, id)
	r.mu.Unlock()
	if !r.queriedAt[id].IsZero() {
		delete(r.queriedAt, id)
		r.recordFailure(r.files.Remove(filepath.Join(decide.QueriesDir, id)))
	}
}

// answeredAt returns the time up to which all owners of other ledgers have answered queries; zero if one of them never did or may have failed.
func (r *Room) answeredAt(others []string) (earliest time.Time) {
	for i, name := range others {
		info, err := r.files.root.Stat(filepath.Join(name, answeredName))
		if err != nil {
			return time.Time{}
		}
		if held, err := ledger.IsLocked(filepath.Join(r.options.Ledgers, name)); err != nil || !held {
			return time.Time{} // it is about to be sealed
		}
		if at := info.ModTime(); i == 0 || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}
