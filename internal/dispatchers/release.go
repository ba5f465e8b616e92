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
	id    string
	cause int
	here  bool // the call is known to be at this dispatcher
}

// sentRelease is a release on a connection, until its dispatcher has confirmed it.
type sentRelease struct {
	release
	leftAt time.Time // when all of it had gone to the socket; zero before
}

// releaseFor is how long a dispatcher that is off the list is dialled, once it has no connection, to release calls there.
const releaseFor = 10 * time.Second

// Release cuts a call that stands.
func (p *Pool) Release(id control.ServerID, callID string, cause int) {
	for _, s := range p.order {
		if id != "" && s.ID != id || s.gone() && len(s.links) == 0 && (id == "" || s.replaced) {
			continue
		}
		delete(s.standing, callID)
		if l := s.best(); l != nil && len(s.releases) == 0 {
			l.release(release{callID, cause, id != ""})
		} else if id != "" || len(s.releases) < maxReleases {
			r := release{callID, cause, id != ""}
			s.logRelease(endlog.WaitingRelease, r, 0)
			s.releases = append(s.releases, r)
			p.touch(s)
		}
	}
}

// releaseUnknown releases what may have come of set-ups whose connection ended without a word of theirs: an answer may have gone down with it,
// and its dispatcher hold the call.
func (l *link) releaseUnknown(invites map[string]*invite) {
	s := l.server
	if l.process != s.process || s.replaced {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(invites)) {
		if !s.serves(id) && len(s.releases) < maxReleases {
			r := release{id, call.CauseNormal, true}
			s.logRelease(endlog.LostAnswer, r, l.number)
			s.releases = append(s.releases, r)
			s.pool.touch(s)
		}
	}
}

// serves reports whether another attempt of a call is at the dispatcher, or on its way there. A release would end that one too.
func (s *server) serves(id string) bool {
	if s.standing[id] != nil || slices.ContainsFunc(s.waiting, func(w waiting) bool { return w.ID == id }) {
		return true
	}
	return slices.ContainsFunc(s.links, func(l *link) bool {
		i := l.invites[id]
		return i != nil && i.withdrawn.IsZero()
	})
}

// releasing is the connection with a release of a call that its dispatcher may not have heard; nil if there is none. The next attempt of the
// call at the dispatcher follows it there: on another connection it could be established first, and the release would cut it.
func (s *server) releasing(id string) *link {
	now := time.Now()
	for _, l := range s.links {
		if l.ready() && l.healthy(now) && l.invites[id] == nil && l.releases(id) {
			return l
		}
	}
	return nil
}

// behindRelease is the connection for an attempt that waited: the one with a release of its call, or else the one that is ready now.
func (s *server) behindRelease(id string, ready *link) *link {
	if l := s.releasing(id); l != nil {
		return l
	}
	return ready
}

// releases reports whether a release of a call has been sent that the dispatcher may not have heard.
func (l *link) releases(id string) bool {
	l.forgetDelivered()
	return slices.ContainsFunc(l.unconfirmed, func(r *sentRelease) bool { return r.id == id })
}

// takeReleases takes the releases of calls that are known to be at the dispatcher: those that wait for a connection, and those of calls that stand,
// which are about to count as cut.
func (s *server) takeReleases() []release {
	taken := slices.DeleteFunc(s.releases, func(r release) bool { return !r.here })
	s.releases = nil
	for _, id := range slices.Sorted(s.pool.core.EstablishedAt(s.ID)) {
		taken = append(taken, release{id, call.CauseTemporary, true})
	}
	return taken
}

// mayRelease reports whether a dispatcher of which nothing is to be expected any more may be dialled to release calls: its process may live.
func (s *server) mayRelease(now time.Time) bool {
	return !s.replaced && s.hasRelease() && s.without(now) < releaseFor
}

// serveReleases sends releases that have waited for a connection, and reports whether none is left. Of many, some go at once; the rest comes
// with the next look at the dispatcher.
func (s *server) serveReleases(l *link) bool {
	if l.conn.Unsent() > 0 && len(s.releases) > 0 {
		return false // it has not taken the last ones yet
	}
	some := s.releases[:min(len(s.releases), releasesAtOnce)]
	for _, r := range some {
		l.release(r)
	}
	if s.releases = s.releases[len(some):]; len(s.releases) > 0 {
		return false
	}
	s.releases = nil
	return true
}

// owesRelease reports whether the release of a call that is known to be at the dispatcher has not left, or may not have been heard.
func (l *link) owesRelease() bool {
	l.forgetDelivered()
	return slices.ContainsFunc(l.unconfirmed, func(r *sentRelease) bool { return r.here })
}

// release ends a call that stands at the dispatcher, or may. It is kept until the dispatcher has confirmed it.
func (l *link) release(r release) {
	if !l.writable() {
		return
	}
	l.server.logRelease(endlog.SentRelease, r, l.number)
	sent := &sentRelease{release: r}
	l.forgetDelivered()
	l.unconfirmed = append(l.unconfirmed, sent)
	l.conn.WriteThen(l.wire.Release(r.id, r.cause), func() { sent.leftAt = time.Now() })
	l.written()
}

// confirmed takes in that the dispatcher has heard the release of a call.
func (l *link) confirmed(id string) {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(r *sentRelease) bool { return r.id == id })
}

// forgetDelivered drops releases that the dispatcher has not confirmed, and must have heard: what it has said since came well after them.
func (l *link) forgetDelivered() {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(r *sentRelease) bool {
		return !r.leftAt.IsZero() && l.heardAt.Sub(r.leftAt) > closesWithin
	})
}

// keepUnconfirmed has the releases of calls that are known to be at the dispatcher wait for the next connection, if they may not have come
// through on this one. One over which another attempt has gone there since would end that one.
func (l *link) keepUnconfirmed() {
	l.forgetDelivered()
	for _, r := range l.unconfirmed {
		if r.here && l.process == l.server.process && !l.server.serves(r.id) {
			l.server.releases = append(l.server.releases, r.release)
		}
	}
	l.unconfirmed = nil
}
