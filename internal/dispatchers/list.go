package dispatchers

import (
	"errors"
	"maps"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// Update applies changes of the list.
func (p *Pool) Update(u call.Update) {
	now := time.Now()
	listed := map[control.ServerID]bool{}
	for _, entry := range u.Servers {
		listed[entry.ID] = true
		s := p.servers[entry.ID]
		if s == nil {
			s = &server{Server: entry, pool: p, lastReceivedAt: now, disconnectedSince: now, established: map[string]*lifetime{}}
			p.servers[entry.ID] = s
			p.order = append(p.order, s)
			p.byAddress[s.Address] = append(p.byAddress[s.Address], s)
		}
		p.markActive(s)
		restarted := entry.StartedAt != 0 && entry.StartedAt != s.StartedAt
		moved := entry.Address != "" && entry.Address != s.Address
		if entry.Address == "" {
			entry.Address = s.Address
		}
		if s.Status == control.Removed && entry.Status != control.Removed {
			s.lastReceivedAt = now
		}
		if restarted || moved || s.Status != control.Active && entry.Status == control.Active {
			s.backoff.Reset()
		}
		if moved {
			p.removeAddress(s)
			p.byAddress[entry.Address] = append(p.byAddress[entry.Address], s)
		}
		s.Server = entry
		if restarted || moved {
			s.endFormerProcess()
		}
		if entry.Status != control.Removed {
			for _, o := range p.byAddress[s.Address] { // a new dispatcher may have the address of a removed one
				if o != s {
					o.replaced = true
					if s.StartedAt > 0 {
						o.separateNext(time.Unix(0, int64(s.StartedAt)))
					}
					p.markActive(o)
				}
			}
			s.replaced = false
			if len(s.conns) == 0 { // without this check, each update that names the dispatcher opened one more connection, up to four
				s.connect()
			}
		}
	}
	if u.Complete {
		for _, s := range p.order {
			if !listed[s.ID] {
				s.Status = control.Removed
				p.markActive(s)
			}
		}
	}
	for _, s := range p.active {
		if s.Status != control.Active {
			s.recallUnsent()
		}
	}
}

// endFormerProcess ends the calls of a process that the list has replaced, whose connections may still look open. Calls that are known to be
// at the process which the list has now go on: those of an earlier process of the controller, whose list was newer.
func (s *server) endFormerProcess() {
	s.pool.Log.Info("dispatcher restarted", "server", s.ID)
	core := s.pool.core
	ended := slices.DeleteFunc(slices.Sorted(core.EstablishedAt(s.ID)), func(id string) bool { return core.ContinuesAt(s.Server, id) })
	s.abandonAll(errors.New("dispatcher restarted"), ended)
	s.releases = nil
	s.forgetProcesses()
	s.process++
	core.CallsFailed(s.ID, ended)
}

// removeAddress removes a dispatcher from the index by address.
func (p *Pool) removeAddress(s *server) {
	rest := slices.DeleteFunc(p.byAddress[s.Address], func(o *server) bool { return o == s })
	if p.byAddress[s.Address] = rest; len(rest) == 0 {
		delete(p.byAddress, s.Address)
	}
}

// recallUnsent recalls the set-ups that have not been sent to a dispatcher that drains or is removed: those that wait for a connection,
// which may open after the time by which the last set-up may arrive there, and those in a write queue. They are reported as not sent, and
// can be placed elsewhere at once.
func (s *server) recallUnsent() {
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		s.pool.core.AttemptEnded(s.ID, w.ID, w.Attempt, control.NotSent, false, nil)
	}
	for _, c := range s.conns {
		for _, id := range slices.Sorted(maps.Keys(c.setUps)) {
			if setUp := c.setUps[id]; setUp.cancelledAt.IsZero() && c.conn.CancelWrite(setUp.ticket) {
				delete(c.setUps, id)
				s.pool.core.AttemptEnded(s.ID, id, setUp.attempt, control.NotSent, false, nil)
			}
		}
	}
}
