package takeover

import (
	"path/filepath"

	decide "cherryrelay/internal/decide/takeover"
)

// transferCalls writes the files of outgoing calls to the own inbox, and moves the calls that are removed from the own ledger to the transfer
// ledger, where other controllers may claim them.
func (p *Participant) transferCalls() {
	p.mu.Lock()
	outgoing, transferred := p.outgoing, p.transferred
	p.outgoing, p.transferred = map[string][]byte{}, nil
	p.mu.Unlock()
	for id, data := range outgoing {
		p.inbox[id] = true
		if err := p.files.Write(filepath.Join(decide.InboxDir(p.options.Name), id), data); err != nil {
			p.recordFailure(err)
			continue
		}
		p.options.Post(func() { p.core.TransferWritten(id) })
	}
	for _, id := range transferred {
		p.recordFailure(decide.TransferCall(p.files, p.transferLedger(), id))
		delete(p.inbox, id)
	}
	p.updateStatus(func(s *Status) { s.Transferred += uint64(len(transferred)) })
}
