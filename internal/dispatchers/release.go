package dispatchers

import (
	"maps"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
)

// This file releases calls at the dispatchers that hold them.

// release is the release of a call at a dispatcher.
type release struct {
	id        string
	cause     int
	knownHere bool // the call is known to be at this dispatcher
	// process is the process at which the call was established; nil if that is not known.
	process *remoteProcess
}

// sentRelease is a release on a connection that its dispatcher has not confirmed.
type sentRelease struct {
	release
	writtenAt time.Time // when it was written to the socket completely; zero before
}

// releaseDialPeriod is how long a removed dispatcher without a connection is dialled to release its calls.
const releaseDialPeriod = 10 * time.Second

// Release releases a call; an empty id means all dispatchers.
func (p *Pool) Release(id control.ServerID, callID string, cause int) {
	for _, s := range p.order {
		r := release{id: callID, cause: cause, knownHere: id != "", process: s.processOf(callID)}
		if id != "" && s.ID != id || s.obsolete() && len(s.conns) == 0 && (id == "" || s.replaced && !s.isAtLaterProcess(r)) {
			continue
		}
		delete(s.established, callID)
		if c := s.latestConn(); c != nil && len(s.releases) == 0 {
			c.sendRelease(r)
		} else if id != "" || len(s.releases) < maxUnknownReleases {
			s.logRelease(endlog.ReleaseWaits, r, 0)
			s.releases = append(s.releases, r)
			p.markActive(s)
		}
	}
}

// releaseUnknownOutcomes releases the calls of set-ups whose connection closed without an answer: an answer may have been lost with it,
// and the dispatcher may have established the call.
func (c *connection) releaseUnknownOutcomes(setUps map[string]*setUpState) {
	s := c.server
	if c.process != s.process || s.replaced {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(setUps)) {
		if !s.hasCallOrAttempt(id) && len(s.releases) < maxUnknownReleases {
			r := release{id: id, cause: call.CauseNormal, knownHere: true}
			s.logRelease(endlog.ReleasedWithoutAnswer, r, c.number)
			s.releases = append(s.releases, r)
			s.pool.markActive(s)
		}
	}
}

// hasCallOrAttempt reports whether the call is established at the dispatcher, or another attempt of it is waiting or open there. A
// release would end that one too.
func (s *server) hasCallOrAttempt(id string) bool {
	if s.established[id] != nil || slices.ContainsFunc(s.waiting, func(w waitingSetUp) bool { return w.ID == id }) {
		return true
	}
	return slices.ContainsFunc(s.conns, func(c *connection) bool {
		setUp := c.setUps[id]
		return setUp != nil && setUp.cancelledAt.IsZero()
	})
}

// connWithRelease returns a connection with an unconfirmed release of a call, or nil. The next attempt of the call at the dispatcher is
// sent behind the release: on another connection it could be established first, and the release would then end it.
func (s *server) connWithRelease(id string) *connection {
	now := time.Now()
	for _, c := range s.conns {
		if c.ready() && c.healthy(now) && c.setUps[id] == nil && c.hasUnconfirmedRelease(id) {
			return c
		}
	}
	return nil
}

// connAfterRelease returns the connection for an attempt that has waited: one with a release of its call, or else the one that is ready
// now.
func (s *server) connAfterRelease(id string, readyConn *connection) *connection {
	if c := s.connWithRelease(id); c != nil {
		return c
	}
	return readyConn
}

// hasUnconfirmedRelease reports whether a release of a call was sent that the dispatcher may not have received.
func (c *connection) hasUnconfirmedRelease(id string) bool {
	c.dropDelivered()
	return slices.ContainsFunc(c.unconfirmed, func(r *sentRelease) bool { return r.id == id })
}

// collectReleases returns the releases of the calls that are known to be at the dispatcher: those that wait for a connection, and those
// of the given established calls, which are about to be reported as ended.
func (s *server) collectReleases(established []string) []release {
	collected := slices.DeleteFunc(s.releases, func(r release) bool { return !r.knownHere })
	s.releases = nil
	for _, id := range established {
		collected = append(collected, release{id: id, cause: call.CauseTemporary, knownHere: true, process: s.processOf(id)})
	}
	return collected
}

// mayDialForRelease reports whether a dispatcher that is off the list may be dialled to release calls, as its process may still run.
func (s *server) mayDialForRelease(now time.Time) bool {
	return !s.replaced && s.hasWaitingRelease() && s.disconnectedFor(now) < releaseDialPeriod
}

// sendReleases sends releases that have waited for a connection, and reports whether none is left. It sends at most releaseBatchSize of
// them; the rest follows with the next check.
func (s *server) sendReleases(c *connection) bool {
	if c.conn.Unsent() > 0 && len(s.releases) > 0 {
		return false // the previous ones have not been sent yet
	}
	batch := s.releases[:min(len(s.releases), releaseBatchSize)]
	for _, r := range batch {
		c.sendRelease(r)
	}
	if s.releases = s.releases[len(batch):]; len(s.releases) > 0 {
		return false
	}
	s.releases = nil
	return true
}

// hasUnconfirmedKnownRelease reports whether the release of a call that is known to be at the dispatcher has not been sent, or may not
// have been received.
func (c *connection) hasUnconfirmedKnownRelease() bool {
	c.dropDelivered()
	return slices.ContainsFunc(c.unconfirmed, func(r *sentRelease) bool { return r.knownHere })
}

// sendRelease releases a call that is, or may be, established at the dispatcher. The release is kept until the dispatcher confirms it.
func (c *connection) sendRelease(r release) {
	if !c.writable() {
		return
	}
	c.server.logRelease(endlog.ReleaseSent, r, c.number)
	sent := &sentRelease{release: r}
	c.dropDelivered()
	c.unconfirmed = append(c.unconfirmed, sent)
	c.conn.WriteThen(c.protocol.Release(r.id, r.cause), func() { sent.writtenAt = time.Now() })
	c.markDirty()
}

// confirmRelease handles the dispatcher's confirmation of a release.
func (c *connection) confirmRelease(id string) {
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r *sentRelease) bool { return r.id == id })
}

// dropDelivered drops unconfirmed releases that the dispatcher must have received, as input has arrived more than responseTimeout after
// they were sent.
func (c *connection) dropDelivered() {
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r *sentRelease) bool {
		return !r.writtenAt.IsZero() && c.lastReceivedAt.Sub(r.writtenAt) > responseTimeout
	})
}

// requeueUnconfirmed queues the unconfirmed releases of calls that are known to be at the dispatcher for the next connection. A release
// of a call of which another attempt is at the dispatcher by now is dropped, as it would end that attempt.
func (c *connection) requeueUnconfirmed() {
	c.dropDelivered()
	for _, r := range c.unconfirmed {
		if r.knownHere && c.process == c.server.process && !c.server.hasCallOrAttempt(r.id) {
			c.server.releases = append(c.server.releases, r.release)
		}
	}
	c.unconfirmed = nil
}
