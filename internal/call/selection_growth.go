package call

import (
	"time"

	"cherryrelay/control"
)

// This file decides when the subset of dispatchers grows and shrinks.

// growUntilReached grows the subset while no dispatcher has been reached: until then there are no calls that would show
// the need.
func (s *selection) growUntilReached() {
	if !s.core.reached && !s.coversList() {
		s.grow()
		s.core.loop.After(reachTimeout, s.growUntilReached)
	}
}

// callOffered adds the dispatchers that a call may try first to the subset, before the module learns of the call.
func (s *selection) callOffered(k *record, class control.Class) {
	if s.coversList() {
		return
	}
	now := s.core.now()
	s.waiting[k] = max(now, k.notBefore)
	s.subset.UseCell(now, k.FirstCell)
	count := 0
	for _, cell := range class.Cells {
		if count >= s.size {
			break
		}
		s.subset.UseCell(now, cell)
		count += s.subset.CountInCell(cell)
	}
	s.announceNeed()
}

// announceNeed announces changes of the subset, and schedules its shrinking.
func (s *selection) announceNeed() {
	s.announceChanges()
	if s.shrinkTimer == nil && !s.subset.AtBaseSize() {
		s.shrinkTimer = s.core.loop.After(max(time.Duration(shrinkIntervalShare*float64(s.shrinkAfter)), time.Millisecond), s.shrink)
	}
}

// shrink removes the dispatchers that are no longer needed.
func (s *selection) shrink() {
	s.shrinkTimer = nil
	s.subset.Shrink(s.core.now(), s.usable)
	s.announceNeed()
}

// usable reports whether the module sends calls to a dispatcher.
func (s *selection) usable(id control.ServerID) bool { return !s.core.module.Avoids(s.core.now(), id) }

// attemptFailed records that an attempt failed, and when the next one may begin.
func (s *selection) attemptFailed(k *record, o control.Outcome) {
	if s == nil {
		return
	}
	now := s.core.now()
	if o.MayStillRun() {
		k.notBefore = now + s.core.decisions.ReleaseGuard
	}
	if s.coversList() {
		return
	}
	s.attemptRefused = s.attemptRefused || o != control.Failed && o != control.NotSent
	s.waiting[k] = max(now-maxWindowWait, k.notBefore) // refused or full: unless another dispatcher accepts it at once, more are needed
}

// growIfNeeded grows the subset if calls wait for a window, or if most of its dispatchers have just refused calls: each
// of them would cost a call one of its allowed attempts. It reports whether the subset has grown.
func (s *selection) growIfNeeded() bool {
	if s == nil || len(s.waiting) == 0 && !s.attemptRefused {
		return false
	}
	now := s.core.now()
	needed := s.attemptRefused && s.subset.TooFewUsable(s.usable)
	s.attemptRefused = false
	for k, since := range s.waiting {
		switch {
		case k.state != pending || k.attemptInProgress || k.transferring:
			delete(s.waiting, k)
		case now-since >= maxWindowWait:
			needed = true
		}
	}
	if !needed || now < s.nextGrowth {
		return false
	}
	s.nextGrowth = now + growthInterval
	return s.grow()
}

// grow adds dispatchers to the subset. It reports whether there were any to add.
func (s *selection) grow() bool {
	if s.coversList() || !s.subset.Grow(s.core.now()) {
		return false
	}
	s.core.log.Info("subset of dispatchers has grown", "subset", s.subset.Len(), "listed", len(s.entries))
	s.announceNeed()
	return true
}

// retryAfterGrowth offers a call again that the module has refused, if the subset can grow. It reports whether it has,
// in which case there is no final answer yet. The number of attempts and the guard carry over.
func (s *selection) retryAfterGrowth(k *record) bool {
	if s.coversList() || k.state != pending || k.attemptInProgress {
		return false
	}
	c := s.core
	class := c.classIndex(k.Class)
	maxAttempts := c.decisions.MaxAttempts
	if class < 0 || maxAttempts > 0 && k.attempts >= maxAttempts || time.Until(k.Deadline) < max(2*answerMargin, 4*c.decisions.Tick) ||
		!k.mayBeOfferedAgain(&c.decisions.Classes[class]) {
		return false
	}
	if !s.grow() {
		return false
	}
	c.offerToModule(k, class)
	return true
}
