package dispatchers

import (
	"errors"
	"math/rand/v2"
	"time"

	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
)

// connect dials one more connection if that is allowed now.
func (s *server) connect() {
	now := time.Now()
	if s.dialing || !s.reachable(now) || len(s.conns) >= s.pool.maxConns || !s.pool.mayDial(s, now) {
		return
	}
	s.dialing = true
	s.pool.sockets.held++
	s.pool.sockets.dialCount++
	address := s.Address
	dialAddress, protocol := ParseAddress(address, &s.pool.ReportFields)
	var c *connection
	handler := func(transport transportConn) conn.Handler {
		now := time.Now()
		s.pool.lastConnNumber++
		c = &connection{server: s, number: s.pool.lastConnNumber, process: s.process, lifetime: &lifetime{remote: &remoteProcess{connectedAt: now, lastReceivedAt: now}},
			conn: transport, protocol: protocol, setUps: map[string]*setUpState{},
			openedAt: now, lastReceivedAt: now, since: now, usedAt: now}
		return countedConn{c}
	}
	s.pool.dial(dialAddress, s.pool.ConnectTimeout, handler, func(err error) {
		s.dialing = false
		s.pool.markActive(s)
		if err != nil {
			s.dialFailed(err)
			s.renewalFailed()
			s.pool.socketReleased(false)
			return
		}
		if s.Address != address || !s.reachable(time.Now()) {
			c.conn.Close(conn.ErrClosedLocally)
			return
		}
		s.connOpened(c, now)
	})
}

// reachable reports whether a connection to the dispatcher is of use.
func (s *server) reachable(now time.Time) bool {
	return !s.obsolete() ||
		s.mayDialForRelease(now) || (s.renewal.EndsMissing() || s.renewal.Pending()) && !s.replaced && s.pool.core.EstablishedCount(s.ID) > 0
}

// dialFailed handles a failed dial.
func (s *server) dialFailed(err error) {
	if errors.Is(err, conn.ErrNoSocket) { // the fault is not the dispatcher's
		s.backoff.RecordFailure(time.Now(), rand.Float64())
		s.pool.Log.Warn("no file descriptor for a connection", "server", s.ID, "err", err)
		return
	}
	s.backoff.RecordFailure(time.Now(), rand.Float64())
	s.lastDialRefused = errors.Is(err, conn.ErrRefused)
	s.lastDialTimedOut = !s.lastDialRefused
	if s.lastDialTimedOut {
		s.dialTimedOutAt = time.Now()
	}
	s.pool.Log.Info("no connection", "server", s.ID, "err", err)
	if len(s.conns) > 0 && (s.lastDialTimedOut || time.Since(s.lastReceivedAt) <= suspectAfter) {
		return
	}
	if len(s.conns) > 0 && !s.hasCalls() {
		return // there is nothing that it could send
	}
	switch {
	case s.lastDialTimedOut:
		s.failExpired(time.Time{})
	case len(s.conns) == 0:
		s.handleStopped()
	}
}

// handleStopped handles a dispatcher that refuses connections while all its connections have closed or had no input for long: a process
// that stops at the end of its drain may leave its connections open. The process has stopped, and its calls have ended.
func (s *server) handleStopped() {
	s.logStep(endlog.DispatcherStopped, nil)
	s.disconnect(errors.New("dispatcher has stopped"))
	s.releases = nil // no connection can be opened for them
	s.pool.core.DispatcherFailed(s.ID)
}

// updateConnected updates the pool's set of dispatchers that have connections.
func (s *server) updateConnected() {
	if len(s.conns)+len(s.abandoned) > 0 {
		s.pool.connected[s] = struct{}{}
	} else {
		delete(s.pool.connected, s)
	}
}

// connOpened handles a connection whose dial, begun at dialedAt, has succeeded.
func (s *server) connOpened(c *connection, dialedAt time.Time) {
	s.backoff.Reset()
	s.lastDialTimedOut, s.lastDialRefused = false, false
	s.renewal.RecordOpened(dialedAt)
	s.conns = append(s.conns, c)
	s.addProcess(c.remote)
	s.updateConnected()
	c.logOpened(dialedAt)
	c.logStep(endlog.ConnectionOpened, nil)
	c.send(c.protocol.Handshake())
	c.conn.Flush()
	if c.ready() {
		s.connReady(c) // flushed at the end of the event loop iteration: callers that disconnect before are noticed first
	}
}

// connReady reports to the core that calls can be placed, and sends what waits for a connection.
func (s *server) connReady(c *connection) {
	s.pool.core.DispatcherReached()
	s.sendWaiting(c)
}
