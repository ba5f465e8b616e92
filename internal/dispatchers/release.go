package dispatchers

import (
	"maps"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
)

// Releases of calls, from here to the dispatchers that hold them.

// release is one of a call.
type release struct {
	id        string
	cause     int
	knownHere bool // the call is known to be at this dispatcher
}

// sentRelease is a release on a connection, until its dispatcher has confirmed it.
type sentRelease struct {
	release
	writtenAt time.Time // when all of it had gone to the socket; zero before
}

// releaseDialPeriod is how long a dispatcher that is off the list is dialled, once it has no connection, to release calls there.
const releaseDialPeriod = 10 * time.Second

// Release cuts a call that stands.
func (p *Pool) Release(id control.ServerID, callID string, cause int) {
	for _, s := range p.order {
		if id != "" && s.ID != id || s.obsolete() && len(s.conns) == 0 && (id == "" || s.replaced) {
			continue
		}
		delete(s.established, callID)
		if c := s.latestConn(); c != nil && len(s.releases) == 0 {
			c.sendRelease(release{callID, cause, id != ""})
		} else if id != "" || len(s.releases) < maxUnknownReleases {
			r := release{callID, cause, id != ""}
			s.logRelease(endlog.WaitingRelease, r, 0)
			s.releases = append(s.releases, r)
			p.markActive(s)
		}
	}
}

// releaseUnknownOutcomes releases what may have come of set-ups whose connection ended without a word of theirs: an answer may have gone down with it,
// and its dispatcher hold the call.
func (c *connection) releaseUnknownOutcomes(setUps map[string]*setUpState) {
	s := c.server
	if c.process != s.process || s.replaced {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(setUps)) {
		if !s.hasCallOrAttempt(id) && len(s.releases) < maxUnknownReleases {
			r := release{id, call.CauseNormal, true}
			s.logRelease(endlog.LostAnswer, r, c.number)
			s.releases = append(s.releases, r)
			s.pool.markActive(s)
		}
	}
}

// hasCallOrAttempt reports whether another attempt of a call is at the dispatcher, or on its way there. A release would end that one too.
func (s *server) hasCallOrAttempt(id string) bool {
	if s.established[id] != nil || slices.ContainsFunc(s.waiting, func(w waitingSetUp) bool { return w.ID == id }) {
		return true
	}
	return slices.ContainsFunc(s.conns, func(c *connection) bool {
		setUp := c.setUps[id]
		return setUp != nil && setUp.cancelledAt.IsZero()
	})
}

// connWithRelease is the connection with a release of a call that its dispatcher may not have heard; nil if there is none. The next attempt of the
// call at the dispatcher follows it there: on another connection it could be established first, and the release would cut it.
func (s *server) connWithRelease(id string) *connection {
	now := time.Now()
	for _, c := range s.conns {
		if c.ready() && c.healthy(now) && c.setUps[id] == nil && c.hasUnconfirmedRelease(id) {
			return c
		}
	}
	return nil
}

// connAfterRelease is the connection for an attempt that waited: the one with a release of its call, or else the one that is ready now.
func (s *server) connAfterRelease(id string, readyConn *connection) *connection {
	if c := s.connWithRelease(id); c != nil {
		return c
	}
	return readyConn
}

// hasUnconfirmedRelease reports whether a release of a call has been sent that the dispatcher may not have heard.
func (c *connection) hasUnconfirmedRelease(id string) bool {
	c.dropDelivered()
	return slices.ContainsFunc(c.unconfirmed, func(r *sentRelease) bool { return r.id == id })
}

// collectReleases takes the releases of calls that are known to be at the dispatcher: those that wait for a connection, and those of calls that stand,
// which are about to count as cut.
func (s *server) collectReleases() []release {
	collected := slices.DeleteFunc(s.releases, func(r release) bool { return !r.knownHere })
	s.releases = nil
	for _, id := range slices.Sorted(s.pool.core.EstablishedAt(s.ID)) {
		collected = append(collected, release{id, call.CauseTemporary, true})
	}
	return collected
}

// mayDialForRelease reports whether a dispatcher of which nothing is to be expected any more may be dialled to release calls: its process may live.
func (s *server) mayDialForRelease(now time.Time) bool {
	return !s.replaced && s.hasWaitingRelease() && s.disconnectedFor(now) < releaseDialPeriod
}

// sendReleases sends releases that have waited for a connection, and reports whether none is left. Of many, some go at once; the rest comes
// with the next look at the dispatcher.
func (s *server) sendReleases(c *connection) bool {
	if c.conn.Unsent() > 0 && len(s.releases) > 0 {
		return false // it has not taken the last ones yet
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

// hasUnconfirmedKnownRelease reports whether the release of a call that is known to be at the dispatcher has not left, or may not have been heard.
func (c *connection) hasUnconfirmedKnownRelease() bool {
	c.dropDelivered()
	return slices.ContainsFunc(c.unconfirmed, func(r *sentRelease) bool { return r.knownHere })
}

// sendRelease ends a call that stands at the dispatcher, or may. It is kept until the dispatcher has confirmed it.
func (c *connection) sendRelease(r release) {
	if !c.writable() {
		return
	}
	c.server.logRelease(endlog.SentRelease, r, c.number)
	sent := &sentRelease{release: r}
	c.dropDelivered()
	c.unconfirmed = append(c.unconfirmed, sent)
	c.conn.WriteThen(c.protocol.Release(r.id, r.cause), func() { sent.writtenAt = time.Now() })
	c.markDirty()
}

// confirmRelease takes in that the dispatcher has heard the release of a call.
func (c *connection) confirmRelease(id string) {
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r *sentRelease) bool { return r.id == id })
}

// dropDelivered drops releases that the dispatcher has not confirmed, and must have heard: what it has said since came well after them.
func (c *connection) dropDelivered() {
	c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(r *sentRelease) bool {
		return !r.writtenAt.IsZero() && c.lastReceivedAt.Sub(r.writtenAt) > responseTimeout
	})
}

// requeueUnconfirmed has the releases of calls that are known to be at the dispatcher wait for the next connection, if they may not have come
// through on this one. One over which another attempt has gone there since would end that one.
func (c *connection) requeueUnconfirmed() {
	c.dropDelivered()
	for _, r := range c.unconfirmed {
		if r.knownHere && c.process == c.server.process && !c.server.hasCallOrAttempt(r.id) {
			c.server.releases = append(c.server.releases, r.release)
		}
	}
	c.unconfirmed = nil
}
