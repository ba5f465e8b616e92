package control

import (
	"cmp"
	"time"
)

// This file resizes the windows of servers, which limit the set-ups that each gets.

const (
	// controlPeriod is the paper's CCperiod. It is short because overloads last only seconds here; a much
	// shorter one would contain too few starts.
	controlPeriod = 700 * time.Millisecond
	// minIntervalStarts is the number of starts after which an update interval (OPPUI) ends. The interval
	// lasts as many control periods as that takes.
	minIntervalStarts = 2
	// maxOccupancy, minOccupancy and tooHighOccupancy are max.occup, min.occup and occ.too.high of the paper.
	maxOccupancy     = 0.9
	minOccupancy     = 0.75
	tooHighOccupancy = 1.2
	// minFractionCalls is the paper's min.fraction.calls, with the paper's value.
	minFractionCalls = 0.75
	// maxIncrease, maxDecrease and extraDecrement are limits of one change of a window, as shares of it.
	maxIncrease    = 0.5
	maxDecrease    = 0.15
	extraDecrement = 0.1
	// minWindowShare is the smallest window, as a share of the node's arrivals for the server. It lets a
	// window grow back.
	minWindowShare = 0.4
	// targetWaitShare is the wait that counts as full occupancy, as a share of the tightest aim.
	targetWaitShare = 0.2
)

// advanceWindow adds the credit for the time since the last step and resizes the window at the end of an
// update interval. The window may be much less than one start per period, but not less than this node's
// share of the reported rate. The credit is limited so that the queue stays within the target wait even if
// all nodes spend theirs at once.
func (c *Controller) advanceWindow(s *server) {
	elapsed := c.now - s.advancedAt
	s.advancedAt = c.now
	if s.unlimited {
		s.window = 0
	}
	s.window = max(s.window, c.capacityRate(s)/float64(max(c.settings.Nodes, 1))*controlPeriod.Seconds())
	maxCredit := max(1, s.window*targetWaitShare*c.tightestAim.Seconds()/controlPeriod.Seconds())
	if s.cold {
		s.window, maxCredit = c.coldRate(s)*controlPeriod.Seconds(), 1
	}
	s.credit = min(s.credit+s.window*elapsed.Seconds()/controlPeriod.Seconds(), maxCredit)
	if s.Status == Active && !s.cold && !s.suspect {
		if s.observedTime += elapsed; s.observedTime > minRatePeriod && s.recentStarts >= 4*minIntervalStarts {
			s.observedTime, s.recentStarts, s.promptAnswers = s.observedTime/2, s.recentStarts/2, s.promptAnswers/2
		}
	}
	for c.now-s.periodStart >= controlPeriod {
		s.periodStart += controlPeriod
		if !s.cold && s.intervalAnswers > 0 &&
			(s.intervalStarts >= minIntervalStarts || c.occupancy(s) >= tooHighOccupancy) {
			c.updateWindow(s)
		}
	}
}

// updateWindow resizes the window at the end of an update interval and starts the next interval.
func (c *Controller) updateWindow(s *server) {
	meanStarts := perSecond(s.recentStarts, s.observedTime) * controlPeriod.Seconds()
	occupancy := c.occupancy(s)
	previous := s.window
	if s.unlimited {
		previous = meanStarts
	}
	meanStarts = min(meanStarts, previous)
	if occupancy >= minOccupancy || !s.unlimited && meanStarts >= minFractionCalls*previous {
		s.window = max(resize(previous, meanStarts, occupancy, s.overhead),
			minWindowShare*c.arrivalShare(s)*controlPeriod.Seconds())
		if s.unlimited {
			s.unlimited, s.credit = false, c.rng.Float64()
		}
	} // Otherwise traffic was too light to show what the server can process, and the window stays as it is.
	s.intervalStarts, s.intervalAnswers, s.utilSum, s.utilReports, s.wasFull, s.reportedWait =
		0, 0, 0, 0, false, 0
}

// occupancy returns the occupancy of a server in the update interval. It is the larger of the reported
// utilisation (or the reported wait as a share of the target wait) and the delay of own set-ups as a share
// of the target wait. The age of an attempt in progress is a lower bound of its delay.
func (c *Controller) occupancy(s *server) float64 {
	target := targetWaitShare * float64(c.tightestAim)
	occupancy := float64(max(s.excessDelay, c.oldestAge(s)-s.minDelay)) / target
	if s.wasFull {
		occupancy = max(occupancy, tooHighOccupancy)
	}
	return max(occupancy, cmp.Or(s.utilSum/float64(max(s.utilReports, 1)), float64(s.reportedWait)/target))
}

// resize applies the paper's rule for the next window N. previous is the last N, meanStarts the mean number
// of starts per period under it. The paper rounds N down where it is used and increases a small N by a
// whole call to compensate; below one, the increase is left out.
func resize(previous, meanStarts, occupancy, overhead float64) float64 {
	prelim := meanStarts
	if occupancy > overhead {
		prelim = (maxOccupancy - overhead) / (occupancy - overhead) * meanStarts
	}
	if occupancy >= tooHighOccupancy {
		return max(prelim, previous*(1-maxDecrease)) * (1 - extraDecrement)
	}
	if prelim-previous >= 1 && maxIncrease*previous < 1 && previous >= 1 {
		return previous + 1
	}
	return min(max(prelim, previous*(1-maxDecrease)), previous*(1+maxIncrease))
}

// Avoids reports whether the server gets no calls at the moment, or only trial calls.
func (c *Controller) Avoids(now time.Duration, id ServerID) bool {
	s := c.byID[id]
	return s == nil || s.Status != Active || s.suspect || now < s.backOffUntil
}

// allows reports whether the server may be sent one more set-up now, as first choice or as overflow.
// Overflow goes to servers that are not the call's first choice. It is limited to this node's share of the
// reported rate and of the free lines, even without a window: a little overflow from large servers, sent by
// each of many nodes, would overload small ones. While a server is short of lines and this node has its
// share of them, the limit on free lines applies to first-choice calls, too.
func (c *Controller) allows(s *server, firstChoice bool) bool {
	if s.Status != Active || c.now < s.backOffUntil || s.freeLines == 0 ||
		s.overflowLines == 0 && (!firstChoice || c.hasLineShare(s)) ||
		s.backOff > 0 && len(s.inProgress) > 0 { // one at a time until a call has been answered
		return false
	}
	if s.suspect && !s.cold { // a trial call; overflow only if no first-choice call came for long
		return firstChoice || c.now-s.backOffUntil > maxBackOffFactor*maxFirstBackOff
	}
	return s.credit >= 1 || s.unlimited && (firstChoice || s.window == 0)
}
