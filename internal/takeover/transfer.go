package takeover

import (
	"path/filepath"

	decide "cherryrelay/internal/decide/takeover"
)

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
		r.options.Post(func() { r.core.TransferWritten(id) })
	}
	for _, id := range released {
		r.recordFailure(decide.TransferCall(r.files, r.transferLedger(), id))
		delete(r.inbox, id)
	}
	r.updateStatus(func(s *Shown) { s.Given += uint64(len(released)) })
}
