package dispatchers

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/decide/links"
)

// socketUsage counts the sockets that the connections to all dispatchers hold, against the budget that they share. The package
// decide/links makes the decisions about them.
type socketUsage struct {
	budget         links.Budget
	pace           links.DialLimiter
	dialCount      int                      // number of dials since the start
	held           int                      // sockets of open and half-closed connections, and of those being dialled
	evicting       int                      // number of held sockets whose connection was evicted and has not ended yet
	awaitingSocket []*server                // dispatchers whose next connection waits for the end of an evicted one
	established    map[control.ServerID]int // number of established calls by dispatcher
	countedAt      time.Time                // time at which the established calls were counted
}

// SetSocketBudget sets how many sockets the connections to all dispatchers may hold together; 0 means no limit. While the limit is
// exceeded, connections without an open set-up are closed.
func (p *Pool) SetSocketBudget(sockets int) {
	p.sockets.budget = links.Budget(sockets)
	p.enforceBudget()
}

// SocketCount returns the number of sockets that the connections to all dispatchers hold.
func (p *Pool) SocketCount() int { return p.sockets.held }

// enforceBudget evicts connections while the budget is exceeded.
func (p *Pool) enforceBudget() {
	for p.sockets.budget.Exceeded(p.sockets.held-p.sockets.evicting) && p.evictLeastNeeded(links.SetUp, 0) {
	}
}

// mayDial reports whether a connection to a dispatcher may be dialled now. If the budget does not allow it, mayDial evicts a less needed
// connection if there is one; the dispatcher is dialled once that connection has ended.
func (p *Pool) mayDial(s *server, now time.Time) bool {
	spare := p.hasSpareSockets()
	if spare && !s.backoff.Failed() {
		return true // the purpose does not matter
	}
	purpose := s.purpose(now)
	if !s.backoff.Due(now, purpose) {
		return false
	}
	if spare || p.sockets.budget.Allows(purpose, p.sockets.held) {
		return purpose >= links.ActiveCalls || !s.backoff.Failed() || p.sockets.pace.Allow(now)
	}
	p.evictFor(s, purpose, now)
	return false
}

// hasSpareSockets reports whether the budget allows connections for any purpose.
func (p *Pool) hasSpareSockets() bool { return p.sockets.budget.Allows(links.Draining, p.sockets.held) }

// evictFor evicts a connection in favour of one to the dispatcher, if the purpose justifies it. The dispatcher is dialled once the
// evicted connection has ended.
func (p *Pool) evictFor(s *server, purpose links.Purpose, now time.Time) {
	if s.awaitsSocket {
		return
	}
	spareSocket := len(p.sockets.awaitingSocket) < p.sockets.evicting
	if purpose >= links.ActiveCalls && spareSocket || p.evictLeastNeeded(purpose, s.disconnectedFor(now)) {
		s.awaitsSocket = true
		p.sockets.awaitingSocket = append(p.sockets.awaitingSocket, s)
	}
}

// disconnectedFor returns how long the dispatcher has had no open connection.
func (s *server) disconnectedFor(now time.Time) time.Duration {
	if len(s.conns) > 0 {
		return 0
	}
	return now.Sub(s.disconnectedSince)
}

// purpose returns the purpose of the next connection to the dispatcher.
func (s *server) purpose(now time.Time) links.Purpose {
	switch {
	case len(s.waiting) > 0:
		return links.SetUp
	case (len(s.conns) == 0 || s.renewal.Pending() || now.Sub(s.lastReceivedAt) > suspectAfter) && s.pool.establishedCount(s.ID, now) > 0:
		return links.ActiveCalls
	case links.IsSuspect(s.oldestWithoutInput(now)), len(s.conns) == 0 && s.hasWaitingRelease():
		return links.ActiveCalls
	case s.Status != control.Active:
		return links.Draining
	}
	return links.Preconnect
}

// hasWaitingRelease reports whether the release of a call at this dispatcher waits for a connection. The call occupies its line until
// then.
func (s *server) hasWaitingRelease() bool {
	return slices.ContainsFunc(s.releases, func(r release) bool { return r.knownHere })
}

// establishedCount returns the number of calls established at a dispatcher, which may be up to checkInterval old. The calls of all
// dispatchers are counted together.
func (p *Pool) establishedCount(id control.ServerID, now time.Time) int {
	p.refreshEstablished(now, checkInterval)
	return p.sockets.established[id]
}

// refreshEstablished counts the established calls of each dispatcher, unless the last count is younger than maxAge.
func (p *Pool) refreshEstablished(now time.Time, maxAge time.Duration) {
	if age := now.Sub(p.sockets.countedAt); p.sockets.established != nil && age >= 0 && age < maxAge {
		return
	}
	p.sockets.established, p.sockets.countedAt = map[control.ServerID]int{}, now
	p.core.EachEstablished(func(server control.ServerID) { p.sockets.established[server]++ })
}

// evictLeastNeeded closes the connection that is needed least, if the purpose justifies it.
func (p *Pool) evictLeastNeeded(purpose links.Purpose, disconnectedFor time.Duration) bool {
	now := time.Now()
	var conns []*connection
	var candidates []links.Connection
	for s := range p.connected {
		for _, c := range slices.Concat(s.conns, s.abandoned) {
			if !c.evicted {
				conns, candidates = append(conns, c), append(candidates, c.evictionCandidate(now))
			}
		}
	}
	i := links.Evict(now, purpose, disconnectedFor, candidates)
	if i < 0 {
		return false
	}
	p.sockets.evicting++
	conns[i].evict()
	return true
}

// evictionCandidate describes the connection for the choice of the one to evict.
func (c *connection) evictionCandidate(now time.Time) links.Connection {
	s := c.server
	return links.Connection{
		Draining: s.Status != control.Active || s.replaced, Sole: len(s.conns) == 1, HalfClosed: c.isAbandoned(),
		HasReceived: c.lastReceivedAt.After(c.openedAt), PendingSetUps: len(c.setUps),
		HasCalls: s.pool.establishedCount(s.ID, now) > 0 || c.hasUnconfirmedKnownRelease(), Since: c.since, UsedAt: c.usedAt,
	}
}

// evict closes the connection to free its socket. If calls are established at the dispatcher, an end may be in transit here, and the
// dispatcher would repeat it only on the next connection that opens. An open connection is therefore half-closed and read for
// evictedReadTimeout, in which a working dispatcher closes its side.
func (c *connection) evict() {
	c.evicted = true
	if s := c.server; c.state == connOpen && s.pool.core.EstablishedCount(s.ID) > 0 {
		c.halfCloseWithin(conn.ErrClosedLocally, evictedReadTimeout)
		return
	}
	c.conn.Abort(conn.ErrClosedLocally) // no set-up is open on it, and its descriptor is needed
	if c.state == connOpen {
		c.Closed(conn.ErrClosedLocally)
	}
}

// socketReleased updates the count of sockets when one was closed, and dials the dispatchers that waited for it.
func (p *Pool) socketReleased(evicted bool) {
	p.sockets.held--
	if evicted {
		p.sockets.evicting--
	}
	for len(p.sockets.awaitingSocket) > 0 && p.sockets.budget.Allows(links.SetUp, p.sockets.held) {
		s := p.sockets.awaitingSocket[0]
		p.sockets.awaitingSocket = p.sockets.awaitingSocket[1:]
		s.awaitsSocket = false
		s.connect()
		p.markActive(s)
	}
}

// countedConn is the handler that a transport gets for a connection. It counts the socket until the transport has closed its descriptor,
// which may be long after the connection was abandoned.
type countedConn struct{ *connection }

// SocketClosed updates the count of sockets. It is called once, as the last callback.
func (c countedConn) SocketClosed() { c.server.pool.socketReleased(c.evicted) }
