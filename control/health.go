package control

import (
	"slices"
	"time"
)

// This file keeps calls away from servers that do not answer in time.

const (
	// suspectDelayShare is the delay that makes a server suspect, as a share of the tightest aim.
	suspectDelayShare = 0.45
	// delayHalfLife is the age at which the smoothed delay and a new delay have equal weight. The weight
	// depends on age because with few calls the newest delay is all that is known.
	delayHalfLife = time.Second
	// fullBackOff is the back-off of a server that answered full, and the shortest one of a suspect server.
	fullBackOff = 250 * time.Millisecond
	// suspectBackOffShare is the first back-off of a suspect server, as a share of the tightest aim;
	// maxFirstBackOff is its upper limit. maxReportedBackOff is the longest back-off for a reported wait.
	suspectBackOffShare = 0.33
	maxFirstBackOff     = 500 * time.Millisecond
	maxReportedBackOff  = 4 * time.Second
	unreachableBackOff  = time.Second
	// maxBackOffFactor limits repeated back-offs, which double each time, to this multiple of the first.
	maxBackOffFactor = 16
)

// overtaken reports whether a set-up sent after sentAt was answered before the one sent at sentAt. The
// processor works in order of arrival, so the earlier set-up or its answer was lost: its age does not
// indicate a queue.
func (c *Controller) overtaken(s *server, sentAt time.Duration) bool {
	return s.lastAnsweredSentAt-sentAt > max(s.minDelay, 4*c.settings.Tick)
}

// oldestAge returns the age of the oldest attempt in progress at the server that was not overtaken.
func (c *Controller) oldestAge(s *server) time.Duration {
	for _, k := range s.inProgress {
		if !c.overtaken(s, k.sentAt) {
			return c.now - k.sentAt
		}
	}
	return 0
}

// checkHealth makes a server suspect when a set-up has no answer for too long. This covers every cause of
// missing answers, and keeps calls away from a queue that is already too long.
func (c *Controller) checkHealth(s *server) {
	timeout := c.suspectTimeout()
	if c.oldestAge(s)-c.minDelay > timeout && !s.suspect {
		c.markSuspect(s, c.now-c.oldestAge(s))
	}
	if !s.suspect || c.now-s.lastAnswerAt < timeout || !c.settings.MayCancel {
		return
	}
	// The server is unresponsive: move the calls with enough time left to a healthy server.
	healthy := func(o *server) bool { return o.Status == Active && !o.suspect }
	if !slices.ContainsFunc(c.servers, healthy) {
		return
	}
	for _, k := range s.inProgress {
		trial := k == s.inProgress[len(s.inProgress)-1]
		if !trial && !k.cancelSent && c.now-k.sentAt >= timeout && c.now+c.settings.ReleaseGuard < k.deadline {
			k.cancelSent = true
			c.emit(Cancel{ID: k.id, Attempt: k.attempts - 1})
		}
	}
}

// suspectTimeout returns how long a set-up may have no answer before its server becomes suspect.
func (c *Controller) suspectTimeout() time.Duration {
	return time.Duration(suspectDelayShare * float64(c.tightestAim))
}

// markSuspect makes a server suspect. It then gets only trial calls, at growing intervals, until one is
// answered promptly or the server reports a short wait. A queue that is too long sustains itself, because
// waiting set-ups are repeated; only a back-off lets it drain. Outcomes of set-ups sent before the server
// became suspect are ignored, as they tell nothing new.
func (c *Controller) markSuspect(s *server, sentAt time.Duration) {
	if s.suspect && sentAt < s.suspectSince {
		return
	}
	if !s.suspect {
		s.suspect, s.suspectSince = true, c.now
		s.wasFull = true
		c.updateWindow(s)
	}
	c.startBackOff(s, min(maxFirstBackOff,
		max(fullBackOff, time.Duration(suspectBackOffShare*float64(c.tightestAim)))), sentAt)
}

// startBackOff sends nothing to the server for a time that doubles with each repetition, plus up to half of
// it at random. A set-up that was sent before the last back-off does not double it, because attempts that
// were in progress together end alike.
func (c *Controller) startBackOff(s *server, minBackOff, sentAt time.Duration) {
	if sentAt >= s.backOffSince {
		s.backOff *= 2
	}
	s.backOffSince = c.now
	s.backOff = min(max(s.backOff, minBackOff), maxBackOffFactor*minBackOff)
	s.backOffUntil = max(s.backOffUntil, c.now+s.backOff+time.Duration(c.rng.Int64N(int64(s.backOff)/2+1)))
}

// markHealthy records a prompt answer. A suspect server that had not answered for long may have restarted.
func (c *Controller) markHealthy(s *server) {
	if s.suspect && c.now-s.lastAnswerAt >= coldSilence {
		c.startCold(s, c.now)
	}
	s.suspect, s.backOff = false, 0
	s.lastAnswerAt = c.now
}
