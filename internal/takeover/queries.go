package takeover

import (
	"encoding/hex"
	"path/filepath"
	"time"

	decide "cherryrelay/internal/decide/takeover"
)

// answeredFile is the name of the file in a ledger's directory that its owner rewrites after each scan whose queries it has answered. Its
// modification time is compared with those of the query files: all of them come from the clock of the file system.
const answeredFile = "looked"

// Query is the request of another controller for a call that its caller wants to resume there.
type Query struct {
	Token     []byte    // hash of the caller's token
	FirstSeen time.Time // time at which this controller first saw the query
}

// seenQuery is the state of a query's file when this controller first saw it.
type seenQuery struct {
	modified time.Time
	seen     time.Time
}

// observeQueries records the queries of other controllers. A controller that has failed never removes its queries, so a query that is older than
// any lookup can be is removed here.
func (p *Participant) observeQueries() {
	ids, err := p.files.List(decide.QueriesDir)
	p.recordFailure(err)
	observed := map[string]seenQuery{}
	for _, id := range ids {
		if !p.queriedAt[id].IsZero() {
			continue
		}
		path := filepath.Join(decide.QueriesDir, id)
		info, err := p.files.root.Stat(path)
		if err != nil {
			continue // removed: its lookup has ended
		}
		q, known := p.queries[id]
		if !known || !q.modified.Equal(info.ModTime()) {
			q = seenQuery{modified: info.ModTime(), seen: time.Now()}
		}
		if decide.QueryExpired(time.Since(q.seen), p.options.Lease) {
			p.recordFailure(p.files.Remove(path))
			continue
		}
		observed[id] = q
	}
	p.queries = observed
}

// answerQueries passes the queries of other controllers to the core, which transfers those of the calls that it holds. Once the core has handled
// them, the next scan records that in answeredFile.
func (p *Participant) answerQueries() {
	queries := p.readQueries()
	if p.queriesDelivered.Swap(false) {
		p.recordFailure(p.files.Write(filepath.Join(p.options.Name, answeredFile), []byte(p.options.Name)))
	}
	if len(p.queries)+len(p.queriedAt) == 0 { // an own query counts: another controller may query the same call
		return
	}
	p.options.Post(func() {
		p.core.TransferRequested(queries)
		p.queriesDelivered.Store(true) // set on the event loop, so that a blocked loop does not count as an answer
	})
}

// readQueries returns the observed queries by the id of the call, without those for calls in the own inbox, which are being claimed or
// transferred.
func (p *Participant) readQueries() map[string]Query {
	queries := map[string]Query{}
	for id, q := range p.queries {
		if p.inbox[id] {
			continue
		}
		data, err := p.files.Read(filepath.Join(decide.QueriesDir, id))
		if err != nil {
			continue
		}
		if token, err := hex.DecodeString(string(data)); err == nil && len(token) > 0 {
			queries[id] = Query{Token: token, FirstSeen: q.seen}
		}
	}
	return queries
}

// query writes a query for a call. A controller that holds the call transfers it unless its caller has resumed it there since.
func (p *Participant) query(id string, token []byte) {
	path := filepath.Join(decide.QueriesDir, id)
	p.recordFailure(p.files.Write(path, []byte(hex.EncodeToString(token))))
	if info, err := p.files.root.Stat(path); err == nil {
		p.queriedAt[id] = info.ModTime()
	}
}

// queryRemoved reports whether the file of an own query no longer exists: another controller took it for an older, expired query
// for the same call.
func (p *Participant) queryRemoved(id string) bool {
	_, err := p.files.root.Stat(filepath.Join(decide.QueriesDir, id))
	return err != nil
}
