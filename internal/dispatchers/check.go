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
	// establishedCountInterval is the interval at which established calls are counted and the dispatchers that have some are checked.
	establishedCountInterval = time.Second
	// drainingRetryInterval is the interval between attempts to connect to a draining dispatcher while the budget does not allow it.
	drainingRetryInterval = time.Second
)

// markActive includes a dispatcher in the next check.
func (p *Pool) markActive(s *server) {
	if !s.active {
		s.active = true
		p.active = append(p.active, s)
	}
}

// check runs every checkInterval. It visits only the active dispatchers, however many the list has.
func (p *Pool) check() {
	now := time.Now()
	p.enforceBudget()
	p.markEstablishedActive(now)
	p.dialQueued(now)
	active := p.active
	p.active = nil
	if !p.hasSpareSockets() { // longest without a connection first
		slices.SortStableFunc(active, func(a, b *server) int { return cmp.Compare(b.disconnectedFor(now), a.disconnectedFor(now)) })
	}
	deleted := false
	for _, s := range active {
		s.active = false
		s.check(now)
		switch {
		case s.Status == control.Removed && s.obsolete() && len(s.conns)+len(s.abandoned)+len(s.releases) == 0 && !s.dialing:
			p.removeAddress(s)
			delete(p.servers, s.ID)
			deleted = true
		case s.needsCheck(now):
			p.markActive(s)
		default:
			p.enqueueDial(s)
		}
	}
	if deleted {
		p.order = slices.DeleteFunc(p.order, func(s *server) bool { return p.servers[s.ID] != s })
	}
	p.loop.After(checkInterval, p.check)
}

// check handles the timeouts of one dispatcher, and opens and closes its connections as needed.
func (s *server) check(now time.Time) {
	withoutInput := now.Sub(s.lastReceivedAt)
	switch {
	case s.obsolete():
		s.checkObsolete(now)
		return
	case withoutInput > unresponsiveTimeout && s.lastDialTimedOut && s.hasCalls(): // also if all connections were abandoned before, each as unresponsive
		s.pool.Log.Warn("dispatcher is unresponsive", "server", s.ID, "for", withoutInput)
		s.disconnect(errors.New("dispatcher is unresponsive"))
		s.pool.core.DispatcherFailed(s.ID)
		return
	case s.lastDialRefused && len(s.conns) > 0 && withoutInput > suspectAfter && s.hasCalls() && s.presumedStopped(now):
		s.handleStopped()
		return
	case len(s.conns) == 0:
		if s.purpose(now) >= links.ActiveCalls {
			s.connect()
		}
	case len(s.conns) < s.wantedConns(now) && withoutInput <= suspectAfter: // also if it drains: a new connection brings the releases of a lost one
		s.connect()
	case withoutInput > suspectAfter && s.hasCalls() && (len(s.conns) < s.pool.maxConns || s.probeUnanswered(now) && s.ensureCapacity(now)):
		s.connect()
	}
	for _, c := range slices.Clone(s.conns) {
		for id, setUp := range c.setUps {
			if !setUp.cancelledAt.IsZero() && now.Sub(setUp.cancelledAt) > cancelledRetention {
				delete(c.setUps, id) // the dispatcher sends nothing about it any more
			}
		}
		if c.overtaken() || c.openSetUps() == 0 && c.unresponsive(now) {
			s.replaceStalled(c)
			continue
		}
		s.checkUnresponsive(c, now)
	}
	s.endLostProcesses(now)
	s.closeExcess()
	s.requestRepeats(now)
	s.renew(now)
	if c := s.latestConn(); c != nil && len(s.releases) > 0 {
		s.sendWaiting(c)
	}
	s.failExpired(now)
}

// checkUnresponsive handles a connection that has received nothing for long while others have.
func (s *server) checkUnresponsive(c *connection, now time.Time) {
	switch {
	case s.lastReceivedAt.Sub(c.lastReceivedAt) <= unresponsiveTimeout:
	case c.openSetUps() == 0:
		s.closeIdle(c) // the other connections work, and this one is idle
	case s.pool.core.EstablishedCount(s.ID) > 0: // answers to its set-ups may still come, but ends sent here may be lost
		s.renewal.RequestPeriodic(now)
	}
}

// replaceStalled half-closes an unresponsive connection. The only connection is kept until another one is open: the dispatcher may be
// slow and accept no new ones, and there would be no connection for the releases of its calls.
func (s *server) replaceStalled(c *connection) {
	if len(s.conns) == 1 && (s.pool.maxConns > 1 || s.Status != control.Active) {
		s.connect()
		return
	}
	s.pool.Log.Warn("connection to dispatcher is open but unresponsive", "server", s.ID, "open", c.openSetUps())
	c.halfClose(errUnresponsive)
}

// markEstablishedActive marks the dispatchers with established calls as active. The pool has not seen the answers to some of these calls:
// those of a predecessor.
func (p *Pool) markEstablishedActive(now time.Time) {
	if age := now.Sub(p.establishedMarkedAt); age >= 0 && age < establishedCountInterval {
		return
	}
	p.establishedMarkedAt = now
	p.refreshEstablished(now, 0)
	for id := range p.sockets.established {
		if s := p.servers[id]; s != nil {
			p.markActive(s)
		}
	}
}

// needsCheck reports whether the dispatcher stays active for the next check.
func (s *server) needsCheck(now time.Time) bool {
	switch {
	case s.Status == control.Removed, s.dialing, len(s.waiting) > 0, len(s.abandoned) > 0, s.renewal.Pending():
		return true
	case len(s.conns) == 0:
		return !s.obsolete() && (s.pool.sockets.established[s.ID] > 0 || s.hasWaitingRelease())
	case s.obsolete(), len(s.conns) > s.pool.maxConns, len(s.releases) > 0:
		return true
	case slices.ContainsFunc(s.conns, func(c *connection) bool { return len(c.setUps) > 0 }):
		return true
	}
	return s.pool.sockets.established[s.ID] > 0 || now.Sub(s.establishedAt) < establishedCountInterval || s.wantedConns(now) > len(s.conns)
}

// enqueueDial queues a dispatcher without a connection for a dial that no call needs.
func (p *Pool) enqueueDial(s *server) {
	if s.dialQueued || len(s.conns) > 0 || s.dialing || s.obsolete() {
		return
	}
	s.dialQueued, s.dialDueAt = true, s.backoff.NextDial(links.Preconnect)
	heap.Push(&p.dialQueue, s)
}

// dialQueued dials the queued dispatchers that are due, as far as the dial limiter and the budget allow.
func (p *Pool) dialQueued(now time.Time) {
	for len(p.dialQueue) > 0 && !p.dialQueue[0].dialDueAt.After(now) {
		s := p.dialQueue[0]
		purpose := s.purpose(now)
		if p.servers[s.ID] == s && len(s.conns) == 0 && !s.dialing && !s.obsolete() {
			switch s.connect(); {
			case s.dialing, s.awaitsSocket:
			case !s.backoff.Due(now, purpose):
				s.dialDueAt = s.backoff.NextDial(purpose)
				heap.Fix(&p.dialQueue, 0)
				continue
			case purpose == links.Draining:
				s.dialDueAt = now.Add(drainingRetryInterval)
				heap.Fix(&p.dialQueue, 0)
				continue
			default:
				return
			}
		}
		s.dialQueued = false
		heap.Pop(&p.dialQueue)
	}
}

// dialQueue is a heap of dispatchers, ordered by the time at which their dial is due.
type dialQueue []*server

func (q dialQueue) Len() int           { return len(q) }
func (q dialQueue) Less(i, j int) bool { return q[i].dialDueAt.Before(q[j].dialDueAt) }
func (q dialQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dialQueue) Push(x any) {
	if s, ok := x.(*server); ok {
		*q = append(*q, s)
	}
}

// Pop implements heap.Interface.
func (q *dialQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}
