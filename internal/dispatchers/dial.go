package dispatchers

import (
	"errors"
	"math/rand/v2"
	"time"

	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
)

// connect opens one more connection if that is allowed now.
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
		c = &connection{server: s, number: s.pool.lastConnNumber, process: s.process, lifetime: &lifetime{generation: s.generation}, conn: transport, protocol: protocol, setUps: map[string]*setUpState{}, openedAt: now, lastReceivedAt: now, stateSince: now, usedAt: now}
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
			c.conn.Close(conn.ErrClosedHere)
			return
		}
		s.connOpened(c, now)
	})
}

// reachable reports whether connections to the dispatcher are of use.
func (s *server) reachable(now time.Time) bool {
	return !s.obsolete() || s.mayDialForRelease(now) || (s.renewal.EndsMissing() || s.renewal.Pending()) && !s.replaced && s.pool.core.EstablishedCount(s.ID) > 0
}

func (s *server) dialFailed(err error) {
	if errors.Is(err, conn.ErrNoSocket) { // says nothing of the dispatcher
		s.backoff.RecordFailure(time.Now(), rand.Float64())
		s.pool.Log.Warn("no descriptor for a connection", "server", s.ID, "err", err)
		return
	}
	s.backoff.RecordFailure(time.Now(), rand.Float64())
	s.lastDialRefused = errors.Is(err, conn.ErrRefused)
	s.lastDialTimedOut = !s.lastDialRefused
	s.pool.Log.Info("no connection", "server", s.ID, "err", err)
	if len(s.conns) > 0 && (s.lastDialTimedOut || time.Since(s.lastReceivedAt) <= silenceThreshold) {
		return
	}
	if len(s.conns) > 0 && !s.hasCalls() {
		return // it has nothing to say
	}
	switch {
	case s.lastDialTimedOut:
		s.failExpired(time.Time{})
	case len(s.conns) == 0:
		s.handleStopped()
	}
}

// handleStopped takes in that nothing listens, and that every connection is gone or has long been silent: a process that stops at the end of its
// drain may leave its connections open. It is no more, and its calls with it.
func (s *server) handleStopped() {
	s.logStep(endlog.Stopped, nil)
	s.disconnect(errors.New("dispatcher has stopped"))
	s.releases = nil // there is no way to send them
	s.pool.core.DispatcherFailed(s.ID)
}

// updateConnected notes whether the dispatcher has connections.
func (s *server) updateConnected() {
	if len(s.conns)+len(s.abandoned) > 0 {
		s.pool.connected[s] = struct{}{}
	} else {
		delete(s.pool.connected, s)
	}
}

func (s *server) connOpened(c *connection, dialedAt time.Time) {
	s.backoff.Reset()
	s.lastDialTimedOut, s.lastDialRefused = false, false
	s.renewal.RecordOpened(dialedAt)
	s.conns = append(s.conns, c)
	s.updateConnected()
	c.logStep(endlog.LinkOpened, nil)
	c.send(c.protocol.Handshake())
	c.conn.Flush()
	if c.ready() {
		s.connReady(c) // it goes out at the end of the turn: who has left meanwhile is seen before
	}
}

// connReady tells that calls can be placed.
func (s *server) connReady(c *connection) {
	s.pool.core.DispatcherReached()
	s.sendWaiting(c)
}
