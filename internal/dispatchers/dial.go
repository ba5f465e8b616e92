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
	if s.dialing || !s.reachable(now) || len(s.links) >= s.pool.links || !s.pool.admit(s, now) {
		return
	}
	s.dialing = true
	s.pool.sockets.held++
	s.pool.sockets.dials++
	address := s.Address
	dial, wire := ParseAddress(address, &s.pool.ReportFields)
	var l *link
	handler := func(c connection) conn.Handler {
		now := time.Now()
		s.pool.opened++
		l = &link{server: s, number: s.pool.opened, process: s.process, lifetime: &lifetime{generation: s.generation}, conn: c, wire: wire, invites: map[string]*invite{}, openedAt: now, heardAt: now, since: now, usedAt: now}
		return socket{l}
	}
	s.pool.dial(dial, s.pool.ConnectTimeout, handler, func(err error) {
		s.dialing = false
		s.pool.touch(s)
		if err != nil {
			s.refused(err)
			s.renewalFailed()
			s.pool.released(false)
			return
		}
		if s.Address != address || !s.reachable(time.Now()) {
			l.conn.Close(conn.ErrClosedHere)
			return
		}
		s.opened(l, now)
	})
}

// reachable reports whether connections to the dispatcher are of use.
func (s *server) reachable(now time.Time) bool {
	return !s.gone() || s.mayRelease(now) || (s.renewal.EndsMissing() || s.renewal.Pending()) && !s.replaced && s.pool.core.EstablishedCount(s.ID) > 0
}

func (s *server) refused(err error) {
	if errors.Is(err, conn.ErrNoSocket) { // says nothing of the dispatcher
		s.backoff.RecordFailure(time.Now(), rand.Float64())
		s.pool.Log.Warn("no descriptor for a connection", "server", s.ID, "err", err)
		return
	}
	s.backoff.RecordFailure(time.Now(), rand.Float64())
	s.refuses = errors.Is(err, conn.ErrRefused)
	s.dialTimedOut = !s.refuses
	s.pool.Log.Info("no connection", "server", s.ID, "err", err)
	if len(s.links) > 0 && (s.dialTimedOut || time.Since(s.heardAt) <= silence) {
		return
	}
	if len(s.links) > 0 && !s.holds() {
		return // it has nothing to say
	}
	switch {
	case s.dialTimedOut:
		s.expire(time.Time{})
	case len(s.links) == 0:
		s.stopped()
	}
}

// stopped takes in that nothing listens, and that every connection is gone or has long been silent: a process that stops at the end of its
// drain may leave its connections open. It is no more, and its calls with it.
func (s *server) stopped() {
	s.log(endlog.Stopped, nil)
	s.drop(errors.New("dispatcher has stopped"))
	s.releases = nil // there is no way to send them
	s.pool.core.DispatcherFailed(s.ID)
}

// track notes whether the dispatcher has connections.
func (s *server) track() {
	if len(s.links)+len(s.givenUp) > 0 {
		s.pool.linked[s] = struct{}{}
	} else {
		delete(s.pool.linked, s)
	}
}

func (s *server) opened(l *link, dialedAt time.Time) {
	s.backoff.Reset()
	s.dialTimedOut, s.refuses = false, false
	s.renewal.RecordOpened(dialedAt)
	s.links = append(s.links, l)
	s.track()
	l.log(endlog.LinkOpened, nil)
	l.send(l.wire.Handshake())
	l.conn.Flush()
	if l.ready() {
		s.ready(l) // it goes out at the end of the turn: who has left meanwhile is seen before
	}
}

// ready tells that calls can be placed.
func (s *server) ready(l *link) {
	s.pool.core.DispatcherReached()
	s.serve(l)
}
