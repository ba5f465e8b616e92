package takeover

import (
	"encoding/hex"
	"path/filepath"
	"time"

	decide "cherryrelay/internal/decide/takeover"
)

// answeredName is the file in a ledger's directory that its owner rewrites after each scan in which it has answered the queries of others.
// Its modification time and that of the query files are compared: both are the file system's.
const answeredName = "looked"

// Query is another controller's query for a call that its caller came back for there.
type Query struct {
	Token []byte    // hash of the caller's token
	Seen  time.Time // when this controller first saw the query
}

// seenQuery is the file of a query, as it was first seen.
type seenQuery struct {
	modified time.Time
	seen     time.Time
}

// observeQueries notes which queries of other controllers there are. The controller that wrote one may have failed since and never removes
// it: one that is older than any lookup is removed here.
func (r *Room) observeQueries() {
	ids, err := r.files.List(decide.QueriesDir)
	r.recordFailure(err)
	observed := map[string]seenQuery{}
	for _, id := range ids {
		if !r.queriedAt[id].IsZero() {
			continue
		}
		path := filepath.Join(decide.QueriesDir, id)
		info, err := r.files.root.Stat(path)
		if err != nil {
			continue // its lookup has ended
		}
		q, known := r.queries[id]
		if !known || !q.modified.Equal(info.ModTime()) {
			q = seenQuery{modified: info.ModTime(), seen: time.Now()}
		}
		if decide.QueryExpired(time.Since(q.seen), r.options.Lease) {
			r.recordFailure(r.files.Remove(path))
			continue
		}
		observed[id] = q
	}
	r.queries = observed
}

// answerQueries passes the queries of other controllers to the core, which transfers the calls that it holds.
func (r *Room) answerQueries() {
	queries := r.readQueries()
	if r.queriesDelivered.Swap(false) {
		r.recordFailure(r.files.Write(filepath.Join(r.options.Name, answeredName), []byte(r.options.Name)))
	}
	if len(r.queries)+len(r.queriedAt) == 0 { // another one may ask for the same call as this controller
		return
	}
	r.options.Post(func() {
		r.core.TransferRequested(queries)
		r.queriesDelivered.Store(true) // set on the event loop: one that is blocked has not answered
	})
}

// readQueries returns the queries that were observed, by the id of the call, but for calls that are being transferred.
func (r *Room) readQueries() map[string]Query {
	queries := map[string]Query{}
	for id, q := range r.queries {
		if r.inbox[id] {
			continue
		}
		text, err := r.files.Read(filepath.Join(decide.QueriesDir, id))
		if err != nil {
			continue
		}
		if token, err := hex.DecodeString(string(text)); err == nil && len(token) > 0 {
			queries[id] = Query{Token: token, Seen: q.seen}
		}
	}
	return queries
}

// query asks the other controllers for a call: one that holds it and has lost its caller transfers it.
func (r *Room) query(id string, token []byte) {
	path := filepath.Join(decide.QueriesDir, id)
	r.recordFailure(r.files.Write(path, []byte(hex.EncodeToString(token))))
	if info, err := r.files.root.Stat(path); err == nil {
		r.queriedAt[id] = info.ModTime()
	}
}

// queryLost reports whether the file of an own query has been removed by another controller, which saw an earlier one of the same call.
func (r *Room) queryLost(id string) bool {
	_, err := r.files.root.Stat(filepath.Join(decide.QueriesDir, id))
	return err != nil
}
