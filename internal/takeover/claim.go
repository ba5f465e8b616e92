package takeover

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	decide "cherryrelay/internal/decide/takeover"
)

// notTerminated is passed as the cause to Core.CallReceived if no end of the call has been reported.
const notTerminated = -1

// processSealed advances a sealed ledger that this controller has claimed. It unpacks the ledger if the previous process of this name did not,
// claims the calls that were not resumed in time, and deletes the ledger when no calls are left in it.
func (p *Participant) processSealed(s decide.SealedLedger) {
	ids, unpacked, err := decide.UnclaimedCalls(p.files, s)
	if err != nil {
		p.recordFailure(err)
		return
	}
	if !unpacked {
		p.unpack(s, time.Now(), s.Claimant)
		return
	}
	if len(ids) == 0 {
		delete(p.unpackedAt, s)
		if s.Number != transferNumber {
			p.recordFailure(decide.Delete(p.files, s))
		}
		return
	}
	if _, known := p.unpackedAt[s]; !known {
		p.unpackedAt[s] = p.now()
	}
	p.claimExpired(s, ids)
}

// claimExpired claims the calls of a sealed ledger that were not resumed in time, and delivers them in the order of their deadlines.
func (p *Participant) claimExpired(s decide.SealedLedger, ids []string) {
	var claimed []*Call
	for _, id := range decide.ExpiredCalls(p.now(), p.unpackedAt[s], ids) {
		data, err := decide.ClaimCall(p.files, s, id, p.options.Name)
		if err != nil {
			p.recordFailure(err)
			continue
		}
		if c := p.receive(id, data); c != nil {
			claimed = append(claimed, c)
		}
	}
	slices.SortFunc(claimed, func(a, b *Call) int { return cmp.Compare(a.Events[0].DeadlineUs, b.Events[0].DeadlineUs) })
	p.updateStatus(func(s *Status) { s.Expired += uint64(len(claimed)) })
	for _, c := range claimed {
		p.deliver(c)
	}
}

// receive decodes the file of a call in the own inbox. It deletes a damaged file and returns nil.
func (p *Participant) receive(id string, data []byte) *Call {
	p.inbox[id] = true
	c, err := decode(data, p.options.Key)
	if err == nil && c.ID() != id {
		err = errDamaged
	}
	if err != nil {
		p.recordFailure(fmt.Errorf("call %s: %w", id, err))
		p.recordFailure(decide.Acknowledge(p.files, id, p.options.Name))
		delete(p.inbox, id)
		return nil
	}
	return c
}

// deliver passes a claimed call to the core, with the cause of its end if a dispatcher has reported that to another controller.
func (p *Participant) deliver(c *Call) {
	cause := notTerminated
	path := filepath.Join(decide.TerminationsDir, c.ID())
	if data, err := p.files.Read(path); err == nil {
		if reported, err := strconv.Atoi(string(data)); err == nil {
			cause = reported
			p.recordFailure(p.files.Remove(path))
		}
	}
	p.options.Post(func() { p.core.CallReceived(c, cause) })
}

// recoverInbox delivers the calls in the own inbox that the core does not know of because the previous process of this name claimed them.
func (p *Participant) recoverInbox() {
	ids, err := decide.ClaimedCalls(p.files, p.options.Name)
	p.recordFailure(err)
	for _, id := range ids {
		if p.inbox[id] {
			continue
		}
		data, err := p.files.Read(filepath.Join(decide.InboxDir(p.options.Name), id))
		if err != nil {
			p.recordFailure(err)
			continue
		}
		if c := p.receive(id, data); c != nil {
			p.deliver(c)
		}
	}
}

// acknowledgePersisted deletes the inbox files of the claimed calls that the own ledger now contains.
func (p *Participant) acknowledgePersisted() {
	p.mu.Lock()
	ids := p.persisted
	p.persisted = nil
	p.mu.Unlock()
	for _, id := range ids {
		p.recordFailure(decide.Acknowledge(p.files, id, p.options.Name))
		delete(p.inbox, id)
	}
}
