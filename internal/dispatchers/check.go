package dispatchers

import (
	"cmp"
	"container/heap"
	"errors"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/decide/links"
)

const (
	// countEvery is the pace at which the calls that stand are counted, and dispatchers that have some are looked at.
	countEvery = time.Second
	// askAgain is when a connection to a dispatcher that drains is asked for again that the budget was against.
	askAgain = time.Second
)

// touch has a dispatcher looked at with the next check.
func (p *Pool) touch(s *server) {
	if !s.active {
		s.active = true
		p.active = append(p.active, s)
	}
}

// check runs at a steady pace. It goes over the dispatchers that something is to be done for, however many are on the list.
func (p *Pool) check() {
	now := time.Now()
	p.keepToBudget()
	p.touchStanding(now)
	p.dialAhead(now)
	active := p.active
	p.active = nil
	if !p.plenty() { // who has been without a connection for longest asks first
		slices.SortStableFunc(active, func(a, b *server) int { return cmp.Compare(b.without(now), a.without(now)) })
	}
	forgotten := false
	for _, s := range active {
		s.active = false
		s.check(now)
		switch {
		case s.Status == control.Removed && s.gone() && len(s.links)+len(s.givenUp)+len(s.releases) == 0 && !s.dialing:
			p.leave(s)
			delete(p.servers, s.ID)
			forgotten = true
		case s.busy(now):
			p.touch(s)
		default:
			p.queue(s)
		}
	}
	if forgotten {
		p.order = slices.DeleteFunc(p.order, func(s *server) bool { return p.servers[s.ID] != s })
	}
	p.loop.After(checkEvery, p.check)
}

// check looks at one dispatcher.
func (s *server) check(now time.Time) {
	silent := now.Sub(s.heardAt)
	switch {
	case s.gone():
		s.checkGone(now)
		return
	case silent > deadAfter && s.dialTimedOut && s.holds(): // also where all connections were given up before: as each was unresponsive
		s.pool.Log.Warn("dispatcher is silent", "server", s.ID, "for", silent)
		s.drop(errors.New("dispatcher is silent"))
		s.pool.core.DispatcherFailed(s.ID)
		return
	case s.refuses && len(s.links) > 0 && silent > silence && s.holds() && s.quietForGood(now):
		s.stopped()
		return
	case len(s.links) == 0:
		if s.purpose(now) >= links.ActiveCalls {
			s.connect()
		}
	case len(s.links) < s.wanted(now) && silent <= silence: // also to one that drains: a new one brings the releases of a lost one
		s.connect()
	case silent > silence && s.holds() && (len(s.links) < s.pool.links || s.probeUnanswered(now) && s.room(now)):
		s.connect()
	}
	for _, l := range slices.Clone(s.links) {
		for id, i := range l.invites {
			if !i.withdrawn.IsZero() && now.Sub(i.withdrawn) > forgetAfter {
				delete(l.invites, id) // its dispatcher will say nothing more of it
			}
		}
		if l.overtaken() || l.open() == 0 && l.unresponsive(now) {
			s.replaceStalled(l)
			continue
		}
		s.checkSilent(l, now)
	}
	s.trim()
	s.repeatEnds(now)
	s.renew(now)
	if l := s.best(); l != nil && len(s.releases) > 0 {
		s.serve(l)
	}
	s.expire(now)
}

// checkSilent looks at a connection that has brought nothing for long while others did.
func (s *server) checkSilent(l *link, now time.Time) {
	switch {
	case s.heardAt.Sub(l.heardAt) <= deadAfter:
	case l.open() == 0:
		s.letGo(l) // the others are alive, and this one has nothing to do
	case s.pool.core.EstablishedCount(s.ID) > 0: // its set-ups may have their answers yet, but ends may be told here in vain
		s.renewal.RequestPeriodic(now)
	}
}

// replaceStalled gives up a connection that is open but dead. The only one is kept until the next one is up: it may be that its dispatcher is
// slow and takes no new ones, and there would be no way to it for the releases of calls that it holds.
func (s *server) replaceStalled(l *link) {
	if len(s.links) == 1 && (s.pool.links > 1 || s.Status != control.Active) {
		s.connect()
		return
	}
	s.pool.Log.Warn("connection to dispatcher is open but dead", "server", s.ID, "open", l.open())
	l.retire(errDead)
}

// touchStanding has dispatchers looked at where calls stand, some of which the pool has not seen to stand: those of a predecessor.
func (p *Pool) touchStanding(now time.Time) {
	if age := now.Sub(p.touchedAt); age >= 0 && age < countEvery {
		return
	}
	p.touchedAt = now
	p.countStanding(now, 0)
	for id := range p.sockets.standing {
		if s := p.servers[id]; s != nil {
			p.touch(s)
		}
	}
}

// busy reports whether there is anything to look at again with the next check.
func (s *server) busy(now time.Time) bool {
	switch {
	case s.Status == control.Removed, s.dialing, len(s.waiting) > 0, len(s.givenUp) > 0, s.renewal.Pending():
		return true
	case len(s.links) == 0:
		return !s.gone() && (s.pool.sockets.standing[s.ID] > 0 || s.hasRelease())
	case s.gone(), len(s.links) > s.pool.links, len(s.releases) > 0:
		return true
	case slices.ContainsFunc(s.links, func(l *link) bool { return len(l.invites) > 0 }):
		return true
	}
	return s.pool.sockets.standing[s.ID] > 0 || now.Sub(s.answeredAt) < countEvery || s.wanted(now) > len(s.links)
}

// queue has a dispatcher without a connection dialled when that is due, as no call needs it.
func (p *Pool) queue(s *server) {
	if s.queued || len(s.links) > 0 || s.dialing || s.gone() {
		return
	}
	s.queued, s.due = true, s.backoff.NextDial(links.Preconnect)
	heap.Push(&p.ahead, s)
}

// dialAhead dials those that no call needs and that are due, as far as pace and budget allow.
func (p *Pool) dialAhead(now time.Time) {
	for len(p.ahead) > 0 && !p.ahead[0].due.After(now) {
		s := p.ahead[0]
		purpose := s.purpose(now)
		if p.servers[s.ID] == s && len(s.links) == 0 && !s.dialing && !s.gone() {
			switch s.connect(); {
			case s.dialing, s.starved:
			case !s.backoff.Due(now, purpose):
				s.due = s.backoff.NextDial(purpose)
				heap.Fix(&p.ahead, 0)
				continue
			case purpose == links.Draining:
				s.due = now.Add(askAgain)
				heap.Fix(&p.ahead, 0)
				continue
			default:
				return
			}
		}
		s.queued = false
		heap.Pop(&p.ahead)
	}
}

// aheadQueue is a heap of dispatchers by when they are due.
type aheadQueue []*server

func (q aheadQueue) Len() int           { return len(q) }
func (q aheadQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q aheadQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *aheadQueue) Push(x any) {
	if s, ok := x.(*server); ok {
		*q = append(*q, s)
	}
}

// Pop is for container/heap.
func (q *aheadQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}
