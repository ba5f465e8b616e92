package control

import (
	"slices"
	"time"
)

// This file starts attempts and handles their outcomes.

// send starts an attempt of the call at the server.
func (c *Controller) send(k *call, s *server) {
	c.held = slices.DeleteFunc(c.held, func(o *call) bool { return o == k })
	k.attempts++
	k.server, k.sentAt, k.cancelSent = s, c.now, false
	if len(s.inProgress) == 0 {
		s.lastAnswerAt = c.now
	}
	s.inProgress = append(s.inProgress, k)
	s.intervalStarts++
	s.ownLines++
	s.credit = max(0, s.credit-1)
	if !s.cold && !s.suspect {
		s.recentStarts++
	}
	if s.freeLines > 0 {
		s.freeLines, s.overflowLines = s.freeLines-1, max(s.overflowLines-1, 0)
	}
	timeout := time.Duration(0)
	if s.suspect {
		// A later answer to a trial call tells nothing new, and repeated set-ups of it lengthen the queue.
		timeout = c.tightestAim
	}
	c.emit(SetUp{ID: k.id, Server: s.ID, Limit: timeout})
}

func (c *Controller) handleCallStands(e CallStands) {
	s := c.byID[e.Server]
	if s != nil && c.overtaken(s, c.now-e.Elapsed) {
		s.lastAnswerAt = c.now // the processor did not cause this delay
		s.intervalAnswers++
	} else if s != nil {
		s.lastAnsweredSentAt = max(s.lastAnsweredSentAt, c.now-e.Elapsed)
		if s.minDelay == 0 || e.Elapsed < s.minDelay {
			s.minDelay = e.Elapsed
		}
		if c.minDelay == 0 || e.Elapsed < c.minDelay {
			c.minDelay = e.Elapsed
		}
		if e.Elapsed-c.minDelay <= c.suspectTimeout() {
			if !s.cold {
				s.promptAnswers++
			}
			c.markHealthy(s)
		} else {
			// The server answers, but its queue is too long and has to drain.
			s.lastAnswerAt = c.now
			c.markSuspect(s, c.now-e.Elapsed)
		}
		sinceLast := float64(c.now - s.excessDelayAt)
		s.excessDelay += time.Duration(sinceLast / (sinceLast + float64(delayHalfLife)) *
			float64(e.Elapsed-s.minDelay-s.excessDelay))
		s.excessDelayAt = c.now
		s.intervalAnswers++
	}
	if k := c.calls[e.ID]; k != nil {
		c.removeCall(k)
	}
}

func (c *Controller) handleAttemptEnded(e AttemptEnded) {
	s, k := c.byID[e.Server], c.calls[e.ID]
	if s != nil {
		c.applyReport(s, e.Report)
		s.ownLines = max(s.ownLines-1, 0)
		switch e.Outcome {
		case Completed:
			if s.freeLines >= 0 && !c.hasLineShare(s) { // otherwise it is left to nodes that have fewer
				s.freeLines, s.overflowLines = s.freeLines+1, s.overflowLines+1 // the call's own line
			}
		case Full:
			s.lastAnswerAt = c.now
			if e.NoLine {
				s.noLineAt = c.now
				// A doubled back-off would leave the lines to the nodes that already have them.
				c.startBackOff(s, fullBackOff, -1)
			} else {
				// Its queue is at its limit: no set-up that is sent now can be answered in time.
				c.markSuspect(s, c.now-e.Elapsed)
			}
			c.clearLastServer(s)
		case Unreachable:
			s.backOffUntil = max(s.backOffUntil, c.now+unreachableBackOff)
			c.markSuspect(s, c.now-e.Elapsed)
		case TimedOut:
			if !c.overtaken(s, c.now-e.Elapsed) {
				c.markSuspect(s, c.now-e.Elapsed)
			}
		}
	}
	if k == nil || k.server == nil || k.attempts-1 != e.Attempt {
		return
	}
	k.server.removeAttempt(k)
	if k.ranOn == nil && e.Outcome.MayHaveRun() {
		k.ranOn, k.ranSentAt = k.server, k.sentAt
	}
	k.server = nil
	if e.CallOver {
		c.removeCall(k)
		return
	}
	if e.Outcome.MayStillRun() {
		k.notBefore = c.now + c.settings.ReleaseGuard
	}
	if c.now >= k.deadline-2*c.settings.Tick {
		c.removeUnserved(k)
		c.emit(Fail{ID: k.id})
		return
	}
	c.held = append(c.held, k)
}

// removeAttempt removes the call from the attempts in progress.
func (s *server) removeAttempt(k *call) {
	if s == nil {
		return
	}
	s.inProgress = slices.DeleteFunc(s.inProgress, func(o *call) bool { return o == k })
}
