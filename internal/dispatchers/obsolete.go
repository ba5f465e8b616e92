package dispatchers

import (
	"errors"
	"slices"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
)

// Dispatchers that count as no more, or are about to.

// checkObsolete looks at a dispatcher of which nothing is to be expected any more. The list may be ahead of the process: it is let go when it is quiet,
// and dialled only to release calls, and for ends that may have been lost.
func (s *server) checkObsolete(now time.Time) {
	if len(s.conns) == 0 || now.Sub(s.lastReceivedAt) > silenceThreshold && s.presumedStopped(now) {
		s.disconnect(errors.New("dispatcher is gone"))
		s.pool.core.DispatcherFailed(s.ID)
	}
	if !s.mayDialForRelease(now) {
		s.releases = nil
	}
	if len(s.conns) == 0 || s.renewal.EndsMissing() {
		s.connect()
	}
	for _, c := range slices.Clone(s.conns) {
		s.checkSilent(c, now)
	}
	if s.replaced {
		s.endOrphaned()
	}
	s.requestRepeats(now)
	s.renew(now)
}

// endOrphaned ends the calls at a dispatcher whose place is another's, and to which no connection is open that its process had. Those that have been
// opened since under its name lead to whoever has the address. Should that be its process all the same, the calls are released there.
func (s *server) endOrphaned() {
	for _, id := range slices.Sorted(s.pool.core.EstablishedAt(s.ID)) {
		answeredOn := s.established[id]
		if answeredOn == nil || answeredOn.generation == s.generation {
			continue
		}
		endlog.Call(s.pool.Log, endlog.Stranded, id, endlog.Server(s.ID))
		s.pool.Release(s.ID, id, call.CauseTemporary)
		s.pool.core.Released(s.ID, id, noAttempt, call.CauseTemporary, nil)
	}
}

// presumedStopped reports whether a silent dispatcher counts as no more: it leaves a probe unanswered, or ends of its calls may have been lost and it
// can't be connected to for what it would tell again. The end of a call whose own connection is open comes there.
func (s *server) presumedStopped(now time.Time) bool {
	return s.renewal.EndsMissing() && s.hasEndsAtRisk() && (s.lastDialRefused || s.lastDialTimedOut || s.replaced) || s.probeUnanswered(now)
}

// probeUnanswered reports whether the dispatcher leaves a probe unanswered for probeTimeout on the connection that was heard from last. It sends
// the probe first. One that drains may listen no more, and have nothing to say of its calls until they end.
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
