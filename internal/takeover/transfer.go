package takeover

import (
	"encoding/hex"
	"path/filepath"

	decide "cherryrelay/internal/decide/takeover"
)

// answeredName is the file in a ledger's directory that its owner rewrites after each scan in which it has answered the queries of others.
// Its modification time and that of the query files are compared: both are the file system's.
const answeredName = "looked"

// transferCalls writes the files of outgoing calls, and makes those claimable that have left the own ledger.
func (r *Room) transferCalls() {
	r.mu.Lock()
	outgoing, released := r.outgoing, r.released
	r.outgoing, r.released = map[string][]byte{}, nil
	r.mu.Unlock()
	for id, text := range outgoing {
		r.inbox[id] = true
		if err := r.files.Write(filepath.Join(decide.InboxDir(r.options.Name), id), text); err != nil {
			r.recordFailure(err)
			continue
		}
		r.options.Post(func() { r.core.Given(id) })
	}
	for _, id := range released {
		r.recordFailure(decide.TransferCall(r.files, r.transferLedger(), id))
		delete(r.inbox, id)
	}
	r.updateStatus(func(s *Shown) { s.Given += uint64(len(released)) })
}

// answerQueries passes the queries of other controllers to the core, which transfers the calls that it holds.
func (r *Room) answerQueries() {
	ids, err := r.files.List(decide.QueriesDir)
	r.recordFailure(err)
	queries := r.readQueries(ids)
	if r.queriesDelivered.Swap(false) {
		r.recordFailure(r.files.Write(filepath.Join(r.options.Name, answeredName), []byte(r.options.Name)))
	}
	if len(ids) == 0 {
		return
	}
	r.options.Post(func() {
		r.core.Wanted(queries)
		r.queriesDelivered.Store(true) // set on the event loop: one that is blocked has not answered
	})
}

// readQueries returns the token hashes of other controllers' queries, by the id of the call.
func (r *Room) readQueries(ids []string) map[string][]byte {
	queries := map[string][]byte{}
	for _, id := range ids {
		if !r.queriedAt[id].IsZero() || r.inbox[id] {
			continue
		}
		text, err := r.files.Read(filepath.Join(decide.QueriesDir, id))
		if err != nil {
			continue
		}
		if token, err := hex.DecodeString(string(text)); err == nil && len(token) > 0 {
			queries[id] = token
		}
	}
	return queries
}
