package dispatchers

import (
	"errors"
	"slices"
	"time"
)

// This file handles dispatchers that were replaced or are off the list.

// checkObsolete checks a dispatcher that is off the list or replaced. Its process may still run: it is disconnected once it is idle, and
// dialled only to release calls and to receive ends that may have been lost.
func (s *server) checkObsolete(now time.Time) {
	if len(s.conns) == 0 || now.Sub(s.lastReceivedAt) > suspectAfter && s.presumedStopped(now) {
		s.disconnect(errors.New("dispatcher was removed or replaced"))
		s.pool.core.DispatcherFailed(s.ID)
	}
	if !s.mayDialForRelease(now) {
		s.passReleasesOn()
	}
	if len(s.conns) == 0 || s.renewal.EndsMissing() {
		s.connect()
	}
	for _, c := range slices.Clone(s.conns) {
		s.checkUnresponsive(c, now)
	}
	s.endLostProcesses(now)
	s.requestRepeats(now)
	s.renew(now)
}

// passReleasesOn passes waiting releases to the dispatcher that has the address now, if there is one: the calls may have been set up there,
// on a connection under this one's name. A call that is known to be there under that dispatcher's own name is not released.
func (s *server) passReleasesOn() {
	releases := s.releases
	s.releases = nil
	next := s.nextAtAddress()
	if next == nil {
		return
	}
	for _, r := range releases {
		if s.isAtLaterProcess(r) && !next.hasCallOrAttempt(r.id) {
			s.pool.Release(next.ID, r.id, r.cause)
		}
	}
}

// nextAtAddress returns the dispatcher that has the address of a replaced one, or nil.
func (s *server) nextAtAddress() *server {
	if !s.replaced {
		return nil
	}
	for _, o := range s.pool.byAddress[s.Address] {
		if o != s && !o.obsolete() {
			return o
		}
	}
	return nil
}

// presumedStopped reports whether a dispatcher without input for long is presumed to have stopped: it has not replied to a probe, or ends
// of its calls may have been lost and no connection can be opened on which it would repeat them. The end of a call whose own connection
// is open arrives there.
func (s *server) presumedStopped(now time.Time) bool {
	return s.renewal.EndsMissing() && s.hasEndsAtRisk() && (s.lastDialRefused || s.lastDialTimedOut || s.replaced) || s.probeUnanswered(now)
}

// probeUnanswered reports whether the dispatcher has not replied within probeTimeout to a probe on the connection with the latest input.
// It sends the probe first. A draining dispatcher may have stopped listening, and has nothing to send until its calls end.
func (s *server) probeUnanswered(now time.Time) bool {
	if s.probedAt.IsZero() || s.lastReceivedAt.After(s.probedAt) {
		c := s.latestConn()
		if c == nil {
			return true
		}
		s.probedAt = now
		c.probe()
		return false
	}
	return now.Sub(s.probedAt) > probeTimeout
}
