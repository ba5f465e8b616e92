package dispatchers

import (
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/decide/links"
)

// socketUsage counts what the connections to all dispatchers hold, against the budget that they have together. What is decided about them is
// decided in decide/links.
type socketUsage struct {
	budget         links.Budget
	pace           links.DialLimiter
	dialCount      int       // since the start
	held           int       // open connections, half-closed ones, and those being dialled
	evicting       int       // of them, closed to make room and not told to have ended yet
	awaitingSocket []*server // whose need waits for the end of an evicted one
	established    map[control.ServerID]int
	countedAt      time.Time // when standing was counted
}

// SetSocketBudget sets how many sockets the connections to all dispatchers may hold together; 0 is no bound. Beyond it, those are closed that no
// set-up is open on.
func (p *Pool) SetSocketBudget(sockets int) {
	p.sockets.budget = links.Budget(sockets)
	p.enforceBudget()
}

// SocketCount is how many sockets the connections to all dispatchers hold.
func (p *Pool) SocketCount() int { return p.sockets.held }

// enforceBudget closes connections while there are more than there may be.
func (p *Pool) enforceBudget() {
	for p.sockets.budget.Exceeded(p.sockets.held-p.sockets.evicting) && p.evictLeastNeeded(links.SetUp, 0) {
	}
}

// mayDial reports whether a connection to a dispatcher may be dialled now. If the budget is against it, another connection is closed to make
// room where the need is greater than what that one is kept for; the dispatcher is connected to once it has ended.
func (p *Pool) mayDial(s *server, now time.Time) bool {
	plenty := p.hasSpareSockets()
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
	p.evictFor(s, purpose, now)
	return false
}

// hasSpareSockets reports whether connections are opened whatever they are for.
func (p *Pool) hasSpareSockets() bool { return p.sockets.budget.Allows(links.Draining, p.sockets.held) }

// evictFor has a connection closed to make room for one to the dispatcher, if the purpose is worth it. It is dialled then.
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

// disconnectedFor is how long the dispatcher has had no open connection.
func (s *server) disconnectedFor(now time.Time) time.Duration {
	if len(s.conns) > 0 {
		return 0
	}
	return now.Sub(s.disconnectedSince)
}

// purpose is what the next connection to the dispatcher is opened for.
func (s *server) purpose(now time.Time) links.Purpose {
	switch {
	case len(s.waiting) > 0:
		return links.SetUp
	case (len(s.conns) == 0 || s.renewal.Pending() || now.Sub(s.lastReceivedAt) > silenceThreshold) && s.pool.establishedCount(s.ID, now) > 0:
		return links.ActiveCalls
	case links.IsSuspect(s.oldestWithoutInput(now)), len(s.conns) == 0 && s.hasWaitingRelease():
		return links.ActiveCalls
	case s.Status != control.Active:
		return links.Draining
	}
	return links.Preconnect
}

// hasWaitingRelease reports whether the release of a call at this dispatcher waits for a connection: until then the call keeps its line.
func (s *server) hasWaitingRelease() bool {
	return slices.ContainsFunc(s.releases, func(r release) bool { return r.knownHere })
}

// establishedCount is how many calls stood at a dispatcher a moment ago. They are counted for all dispatchers at once.
func (p *Pool) establishedCount(id control.ServerID, now time.Time) int {
	p.refreshEstablished(now, checkInterval)
	return p.sockets.established[id]
}

// refreshEstablished counts the calls that stand at each dispatcher, unless that was done a moment ago.
func (p *Pool) refreshEstablished(now time.Time, maxAge time.Duration) {
	if age := now.Sub(p.sockets.countedAt); p.sockets.established != nil && age >= 0 && age < maxAge {
		return
	}
	p.sockets.established, p.sockets.countedAt = map[control.ServerID]int{}, now
	p.core.EachEstablished(func(server control.ServerID) { p.sockets.established[server]++ })
}

// evictLeastNeeded closes the connection that is missed least, if the purpose is worth it.
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

// evictionCandidate is the connection as it counts when one must make room.
func (c *connection) evictionCandidate(now time.Time) links.Connection {
	s := c.server
	return links.Connection{
		Draining: s.Status != control.Active || s.replaced, Sole: len(s.conns) == 1, HalfClosed: c.isAbandoned(),
		HasReceived: c.lastReceivedAt.After(c.openedAt), PendingSetUps: len(c.setUps),
		HasCalls: s.pool.establishedCount(s.ID, now) > 0 || c.hasUnconfirmedKnownRelease(), Since: c.stateSince, UsedAt: c.usedAt,
	}
}

// evict closes the connection to make room. Where calls stand, an end may be on its way here, and be told again only on the next connection that
// opens: an open one is read for a moment more, in which its dispatcher closes it too.
func (c *connection) evict() {
	c.evicted = true
	if s := c.server; c.state == connOpen && s.pool.core.EstablishedCount(s.ID) > 0 {
		c.halfCloseWithin(conn.ErrClosedHere, evictedReadTimeout)
		return
	}
	c.conn.Abort(conn.ErrClosedHere) // nothing is open on it, and its descriptor is wanted
	if c.state == connOpen {
		c.Closed(conn.ErrClosedHere)
	}
}

// socketReleased tells that a socket is no more. Those that waited for it are connected to now.
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

// countedConn is a link as its connection knows it: it counts until the connection holds no descriptor, however early the link was given up.
type countedConn struct{ *connection }

// Released comes once, last.
func (s countedConn) Released() { s.server.pool.socketReleased(s.evicted) }
