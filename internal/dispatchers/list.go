package dispatchers

import (
	"errors"
	"maps"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

// Update takes in changes of the list.
func (p *Pool) Update(u call.Update) {
	now := time.Now()
	named := map[control.ServerID]bool{}
	for _, entry := range u.Servers {
		named[entry.ID] = true
		s := p.servers[entry.ID]
		if s == nil {
			s = &server{Server: entry, pool: p, heardAt: now, withoutSince: now, standing: map[string]*lifetime{}}
			p.servers[entry.ID] = s
			p.order = append(p.order, s)
			p.at[s.Address] = append(p.at[s.Address], s)
		}
		p.touch(s)
		restarted := entry.StartedAt != 0 && entry.StartedAt != s.StartedAt
		moved := entry.Address != "" && entry.Address != s.Address
		if entry.Address == "" {
			entry.Address = s.Address
		}
		if s.Status == control.Removed && entry.Status != control.Removed {
			s.heardAt = now
		}
		if restarted || moved || s.Status != control.Active && entry.Status == control.Active {
			s.backoff.Reset()
		}
		if moved {
			p.leave(s)
			p.at[entry.Address] = append(p.at[entry.Address], s)
		}
		s.Server = entry
		if restarted || moved {
			// Its calls went with the old process, and old connections may look open still.
			p.Log.Info("dispatcher began anew", "server", s.ID)
			s.drop(errors.New("dispatcher began anew"))
			s.releases = nil
			s.process++
			p.core.DispatcherFailed(s.ID)
		}
		if entry.Status != control.Removed {
			for _, o := range p.at[s.Address] { // a new dispatcher may have the address of one that has gone
				if o != s {
					o.replaced = true
					p.touch(o)
				}
			}
			s.replaced = false
			if len(s.links) == 0 { // each event that named it opened one more, up to four
				s.connect()
			}
		}
	}
	if u.Complete {
		for _, s := range p.order {
			if !named[s.ID] {
				s.Status = control.Removed
				p.touch(s)
			}
		}
	}
	for _, s := range p.active {
		if s.Status != control.Active {
			s.callBack()
		}
	}
}

// leave forgets where a dispatcher is.
func (p *Pool) leave(s *server) {
	there := slices.DeleteFunc(p.at[s.Address], func(o *server) bool { return o == s })
	if p.at[s.Address] = there; len(there) == 0 {
		delete(p.at, s.Address)
	}
}

// callBack takes back what has not gone out to a dispatcher that drains or is gone: set-ups that wait for a connection, which may come
// up after the time in which the last may arrive there, and those that lie in a queue. They go elsewhere at once, as never sent.
func (s *server) callBack() {
	waited := s.waiting
	s.waiting = nil
	for _, w := range waited {
		s.pool.core.AttemptEnded(s.ID, w.ID, w.Attempt, control.NotSent, false, nil)
	}
	for _, l := range s.links {
		for _, id := range slices.Sorted(maps.Keys(l.invites)) {
			if i := l.invites[id]; i.withdrawn.IsZero() && l.conn.Recall(i.ticket) {
				delete(l.invites, id)
				s.pool.core.AttemptEnded(s.ID, id, i.attempt, control.NotSent, false, nil)
			}
		}
	}
}
