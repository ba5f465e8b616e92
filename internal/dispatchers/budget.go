package dispatchers

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/decide/links"
)

// sockets counts what the connections to all dispatchers hold, against the budget that they have together. What is decided about them is
// decided in decide/links.
type sockets struct {
	budget   links.Budget
	pace     links.DialLimiter
	dials    int       // since the start
	held     int       // open connections, half-closed ones, and those being dialled
	evicted  int       // of them, closed to make room and not told to have ended yet
	starved  []*server // whose need waits for the end of an evicted one
	standing map[control.ServerID]int
	countAt  time.Time // when standing was counted
}

// SetSocketBudget sets how many sockets the connections to all dispatchers may hold together; 0 is no bound. Beyond it, those are closed that no
// set-up is open on.
func (p *Pool) SetSocketBudget(sockets int) {
	p.sockets.budget = links.Budget(sockets)
	p.keepToBudget()
}

// SocketCount is how many sockets the connections to all dispatchers hold.
func (p *Pool) SocketCount() int { return p.sockets.held }

// keepToBudget closes connections while there are more than there may be.
func (p *Pool) keepToBudget() {
	for p.sockets.budget.Exceeded(p.sockets.held-p.sockets.evicted) && p.evict(links.SetUp, 0) {
	}
}

// admit reports whether a connection to a dispatcher may be dialled now. If the budget is against it, another connection is closed to make
// room where the need is greater than what that one is kept for; the dispatcher is connected to once it has ended.
func (p *Pool) admit(s *server, now time.Time) bool {
	plenty := p.plenty()
	if plenty && !s.backoff.Failed() {
		return true // nobody needs to know what for
	}
	purpose := s.purpose(now)
	if !s.backoff.Due(now, purpose) {
		return false
	}
	if plenty || p.sockets.budget.Allows(purpose, p.sockets.held) {
		return purpose >= links.ActiveCalls || !s.backoff.Failed() || p.sockets.pace.Allow(now)
	}
	p.makeRoom(s, purpose, now)
	return false
}

// plenty reports whether connections are opened whatever they are for.
func (p *Pool) plenty() bool { return p.sockets.budget.Allows(links.Draining, p.sockets.held) }

// makeRoom has a connection closed to make room for one to the dispatcher, if the purpose is worth it. It is dialled then.
func (p *Pool) makeRoom(s *server, purpose links.Purpose, now time.Time) {
	if s.starved {
		return
	}
	unclaimed := len(p.sockets.starved) < p.sockets.evicted
	if purpose >= links.ActiveCalls && unclaimed || p.evict(purpose, s.without(now)) {
		s.starved = true
		p.sockets.starved = append(p.sockets.starved, s)
	}
}

// without is how long the dispatcher has had no open connection.
func (s *server) without(now time.Time) time.Duration {
	if len(s.links) > 0 {
		return 0
	}
	return now.Sub(s.withoutSince)
}

// purpose is what the next connection to the dispatcher is opened for.
func (s *server) purpose(now time.Time) links.Purpose {
	switch {
	case len(s.waiting) > 0:
		return links.SetUp
	case (len(s.links) == 0 || s.renewal.Pending() || now.Sub(s.heardAt) > silence) && s.pool.standingAt(s.ID, now) > 0:
		return links.ActiveCalls
	case links.IsSuspect(s.oldestUnheard(now)), len(s.links) == 0 && s.hasRelease():
		return links.ActiveCalls
	case s.Status != control.Active:
		return links.Draining
	}
	return links.Preconnect
}

// hasRelease reports whether the release of a call at this dispatcher waits for a connection: until then the call keeps its line.
func (s *server) hasRelease() bool {
	return slices.ContainsFunc(s.releases, func(r release) bool { return r.here })
}

// standingAt is how many calls stood at a dispatcher a moment ago. They are counted for all dispatchers at once.
func (p *Pool) standingAt(id control.ServerID, now time.Time) int {
	p.countStanding(now, checkEvery)
	return p.sockets.standing[id]
}

// countStanding counts the calls that stand at each dispatcher, unless that was done a moment ago.
func (p *Pool) countStanding(now time.Time, moment time.Duration) {
	if age := now.Sub(p.sockets.countAt); p.sockets.standing != nil && age >= 0 && age < moment {
		return
	}
	p.sockets.standing, p.sockets.countAt = map[control.ServerID]int{}, now
	p.core.EachEstablished(func(server control.ServerID) { p.sockets.standing[server]++ })
}

// evict closes the connection that is missed least, if the purpose is worth it.
func (p *Pool) evict(purpose links.Purpose, without time.Duration) bool {
	now := time.Now()
	var all []*link
	var connections []links.Connection
	for s := range p.linked {
		for _, l := range slices.Concat(s.links, s.givenUp) {
			if !l.evicted {
				all, connections = append(all, l), append(connections, l.counts(now))
			}
		}
	}
	i := links.Evict(now, purpose, without, connections)
	if i < 0 {
		return false
	}
	p.sockets.evicted++
	all[i].evict()
	return true
}

// counts is the connection as it counts when one must make room.
func (l *link) counts(now time.Time) links.Connection {
	s := l.server
	return links.Connection{
		Draining: s.Status != control.Active || s.replaced, Sole: len(s.links) == 1, HalfClosed: l.givenUp(),
		HasReceived: l.heardAt.After(l.openedAt), PendingSetUps: len(l.invites),
		HasCalls: s.pool.standingAt(s.ID, now) > 0 || l.owesRelease(), Since: l.since, UsedAt: l.usedAt,
	}
}

// evict closes the connection to make room. Where calls stand, an end may be on its way here, and be told again only on the next connection that
// opens: an open one is read for a moment more, in which its dispatcher closes it too.
func (l *link) evict() {
	l.evicted = true
	if s := l.server; l.state == linkOpen && s.pool.core.EstablishedCount(s.ID) > 0 {
		l.retireWithin(conn.ErrClosedHere, evictedFor)
		return
	}
	l.conn.Abort(conn.ErrClosedHere) // nothing is open on it, and its descriptor is wanted
	if l.state == linkOpen {
		l.Closed(conn.ErrClosedHere)
	}
}

// released tells that a socket is no more. Those that waited for it are connected to now.
func (p *Pool) released(evicted bool) {
	p.sockets.held--
	if evicted {
		p.sockets.evicted--
	}
	for len(p.sockets.starved) > 0 && p.sockets.budget.Allows(links.SetUp, p.sockets.held) {
		s := p.sockets.starved[0]
		p.sockets.starved = p.sockets.starved[1:]
		s.starved = false
		s.connect()
		p.touch(s)
	}
}

// socket is a link as its connection knows it: it counts until the connection holds no descriptor, however early the link was given up.
type socket struct{ *link }

// Released comes once, last.
func (s socket) Released() { s.server.pool.released(s.evicted) }
