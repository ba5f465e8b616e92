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

// notTerminated is the cause delivered with a call whose end nobody has reported.
const notTerminated = -1

// processSealed continues with a sealed ledger whose claimant is this controller: it unpacks it if an earlier process of this name did not,
// claims the calls that no caller came for in time, and deletes it when it is empty.
func (r *Room) processSealed(s decide.SealedLedger) {
	ids, unpacked, err := decide.UnclaimedCalls(r.files, s)
	if err != nil {
		r.recordFailure(err)
		return
	}
	if !unpacked {
		r.unpack(s, time.Now(), s.Claimant)
		return
	}
	if len(ids) == 0 {
		delete(r.unpackedAt, s)
		if s.Number != transferNumber {
			r.recordFailure(decide.Delete(r.files, s))
		}
		return
	}
	if _, known := r.unpackedAt[s]; !known {
		r.unpackedAt[s] = r.now()
	}
	r.claimExpired(s, ids)
}

// claimExpired claims the calls of a sealed ledger that no caller came for in time, and delivers those with the earliest deadline first.
func (r *Room) claimExpired(s decide.SealedLedger, ids []string) {
	var claimed []*Call
	for _, id := range decide.ExpiredCalls(r.now(), r.unpackedAt[s], ids) {
		text, err := decide.ClaimCall(r.files, s, id, r.options.Name)
		if err != nil {
			r.recordFailure(err)
			continue
		}
		if c := r.receive(id, text); c != nil {
			claimed = append(claimed, c)
		}
	}
	slices.SortFunc(claimed, func(a, b *Call) int { return cmp.Compare(a.Events[0].DeadlineUs, b.Events[0].DeadlineUs) })
	r.updateStatus(func(s *Shown) { s.Left += uint64(len(claimed)) })
	for _, c := range claimed {
		r.deliver(c)
	}
}

// receive decodes the file of a call in the own inbox. A damaged file is deleted, and nil returned.
func (r *Room) receive(id string, text []byte) *Call {
	r.inbox[id] = true
	c, err := decode(text, r.options.Key)
	if err == nil && c.ID() != id {
		err = errDamaged
	}
	if err != nil {
		r.recordFailure(fmt.Errorf("call %s: %w", id, err))
		r.recordFailure(decide.Acknowledge(r.files, id, r.options.Name))
		delete(r.inbox, id)
		return nil
	}
	return c
}

// deliver passes a claimed call to the core, with the cause of its end if that was reported to another controller.
func (r *Room) deliver(c *Call) {
	cause := notTerminated
	path := filepath.Join(decide.TerminationsDir, c.ID())
	if text, err := r.files.Read(path); err == nil {
		if reported, err := strconv.Atoi(string(text)); err == nil {
			cause = reported
			r.recordFailure(r.files.Remove(path))
		}
	}
	r.options.Post(func() { r.core.CallReceived(c, cause) })
}

// recoverInbox delivers the calls in the own inbox that the core does not know of: an earlier process of this name claimed them.
func (r *Room) recoverInbox() {
	ids, err := decide.ClaimedCalls(r.files, r.options.Name)
	r.recordFailure(err)
	for _, id := range ids {
		if r.inbox[id] {
			continue
		}
		text, err := r.files.Read(filepath.Join(decide.InboxDir(r.options.Name), id))
		if err != nil {
			r.recordFailure(err)
			continue
		}
		if c := r.receive(id, text); c != nil {
			r.deliver(c)
		}
	}
}

// acknowledgePersisted deletes the inbox files of calls that are in the own ledger.
func (r *Room) acknowledgePersisted() {
	r.mu.Lock()
	ids := r.persisted
	r.persisted = nil
	r.mu.Unlock()
	for _, id := range ids {
		r.recordFailure(decide.Acknowledge(r.files, id, r.options.Name))
		delete(r.inbox, id)
	}
}
