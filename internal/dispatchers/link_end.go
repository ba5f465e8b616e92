package dispatchers

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/endlog"
)

// How connections to dispatchers end.

// retire gives the connection up. Its set-ups end at once, but an end of a call may be on its way here: a dispatcher that
// has sent it does not send it again. So this side is closed alone, and the rest is read until the dispatcher closes too.
func (l *link) retire(reason error) { l.retireWithin(reason, halfClosedFor) }

// retireWithin is retire with a bound on how long the connection is still read.
func (l *link) retireWithin(reason error, within time.Duration) {
	l.conn.Flush() // what the socket takes has left
	l.giveUp(reason, linkHalfClosed)
	l.conn.Finish(within)
}

// drain gives the connection up whose dispatcher may live, though it counts as gone. Its set-ups end at once and are cancelled. A call that the
// dispatcher has established meanwhile is released, as are those that it had: it may have no other connection, and listen no more.
func (l *link) drain(reason error) {
	l.giveUp(reason, linkDraining)
	for id, i := range l.invites {
		if i.withdrawn.IsZero() {
			l.withdraw(id, i)
		}
	}
	l.server.pool.loop.After(halfClosedFor, func() { l.conn.Close(conn.ErrClosedHere) })
}

// giveUp ends the set-ups on an open connection, which is read on in the given state.
func (l *link) giveUp(reason error, state linkState) {
	s, invites := l.server, l.invites
	l.suspect = !errors.Is(reason, conn.ErrClosedHere)
	if l.suspect {
		s.logEndsInDoubt()
		s.wantRenewal()
	}
	l.end(reason)
	l.state, l.invites, l.since = state, invites, time.Now()
	l.log(endlog.LinkGivenUp, reason)
	s.pool.touch(s)
	if s.givenUp = append(s.givenUp, l); len(s.givenUp) > MaxConnections { // of one dispatcher, so many are held at most
		s.givenUp[0].log(endlog.LinkPushedOut, reason)
		s.givenUp[0].conn.Abort(conn.ErrClosedHere)
		s.givenUp = s.givenUp[1:]
	}
	s.track()
}

// Closed takes in that the connection has ended.
func (l *link) Closed(reason error) {
	s, invites := l.server, l.invites
	l.log(endlog.LinkEnded, reason)
	if l.losesEnds(reason) {
		s.noteLostEnds()
	}
	if l.state != linkClosed && closedForFault(reason) {
		s.renewal.SetUnreadConnection(true) // its dispatcher may tell ends here until it sees the close
	}
	if l.state == linkOpen {
		l.end(reason)
	} else {
		l.ended(reason)
	}
	s.tellEarly(l.lifetime)
	l.endPings()
	if !inOrder(reason) {
		l.releaseUnknown(invites)
	}
	if best := s.best(); best != nil {
		s.serveReleases(best)
	}
}

// inOrder reports whether a connection was ended by its dispatcher, behind all that it had to say.
func inOrder(reason error) bool {
	return errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrReset)
}

// closedForFault reports whether this side closed a connection for a fault. What its dispatcher sends there after that is discarded.
func closedForFault(reason error) bool {
	return !errors.Is(reason, io.EOF) && !errors.Is(reason, conn.ErrClosedHere)
}

// ended takes in the end of a connection that had been given up.
func (l *link) ended(reason error) {
	s := l.server
	if errors.Is(reason, conn.ErrClosedHere) && !l.closedInOrder && (l.givenUp() || !l.evicted) {
		s.renewal.SetUnreadConnection(true) // its dispatcher may hold it for open still
	}
	if l.suspect && s.hasEndsAtRisk() {
		s.wantRenewal() // its dispatcher may have told ends here until now, and reset it as it saw the close
	}
	l.state, l.invites = linkClosed, nil
	l.keepUnconfirmed()
	s.givenUp = slices.DeleteFunc(s.givenUp, func(o *link) bool { return o == l })
	s.track()
}

// end ends the set-ups that were open on the connection.
func (l *link) end(reason error) {
	l.state, l.lifetime.over = linkClosed, true
	s := l.server
	s.probedAt = time.Time{} // it may have gone out here
	s.pool.touch(s)
	if closedForFault(reason) && !errors.Is(reason, errDead) {
		s.pool.Log.Warn("connection to dispatcher closed", "server", s.ID, "reason", reason)
	}
	s.links = slices.DeleteFunc(s.links, func(o *link) bool { return o == l })
	s.track()
	l.endSetUps()
	l.keepUnconfirmed()
	if len(s.links) == 0 {
		s.withoutSince = time.Now()
		s.generation++
	}
	if now := time.Now(); now.Sub(l.openedAt) < endsAtOnce {
		s.backoff.RecordFailure(now, rand.Float64())
	}
	if len(s.links) == 0 || len(s.links) < s.wanted(time.Now()) {
		s.connect()
	}
}

// endSetUps tells the core that the set-ups on the connection have broken, in the order of their ids.
func (l *link) endSetUps() {
	s := l.server
	ids := make([]string, 0, len(l.invites))
	for id := range l.invites {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if i := l.invites[id]; i.withdrawn.IsZero() {
			s.pool.core.AttemptEnded(s.ID, id, i.attempt, control.Reset, false, nil)
		}
	}
	l.invites = nil
}
