package control

import (
	"cmp"
	"math"
	"time"
)

// This file estimates the rates and the capacity of servers.

const (
	// minRatePeriod is the shortest time over which a count is converted to a rate.
	minRatePeriod = 2 * time.Second
	// minTotalRate is the lowest rate that is assumed for all nodes together, in starts per second.
	minTotalRate = 1.0
)

// updateEstimates computes ratePerLine and minSetUpTime for this step. Without a healthy server,
// minSetUpTime is 0.
func (c *Controller) updateEstimates() {
	c.minSetUpTime = math.MaxInt64
	rate, lines := 0.0, 1.0
	for _, s := range c.servers {
		if s.reportedRate > 0 {
			rate, lines = rate+s.reportedRate, lines+s.lines
		}
		if s.Status == Active && !s.suspect {
			c.minSetUpTime = min(c.minSetUpTime, s.minDelay+s.excessDelay)
		}
	}
	c.ratePerLine = rate / lines
	if c.minSetUpTime == math.MaxInt64 {
		c.minSetUpTime = 0
	}
}

// arrivalShare returns the server's share of the node's arrivals per second: by weight, or an equal share.
func (c *Controller) arrivalShare(s *server) float64 {
	weight, total := 1, len(c.servers)
	if s.Weight > 0 {
		weight, total = s.Weight, 0
		for _, o := range c.servers {
			total += o.Weight
		}
	}
	arrivalRate := perSecond(float64(c.offeredCalls), c.now-c.startedAt)
	return max(arrivalRate*float64(weight)/float64(total), c.minRate())
}

// capacity returns the size of a server relative to the others: its weight or else its lines.
func (s *server) capacity() float64 {
	return cmp.Or(float64(max(s.Weight, 0)), s.lines)
}

// capacityRate returns how many set-ups per second the server can process from all nodes: the reported
// rate, or an estimate from its lines and the rates of other servers. It is 0 if no server reports a rate.
func (c *Controller) capacityRate(s *server) float64 {
	return cmp.Or(s.reportedRate, s.lines*c.ratePerLine)
}

// ownRate returns how many calls of this node the server answers promptly per second.
func (s *server) ownRate() float64 { return perSecond(s.promptAnswers, s.observedTime) }

// perSecond returns the rate of a count over a time span. A small count in a short span may be chance, so
// it is spread over minRatePeriod.
func perSecond(count float64, span time.Duration) float64 {
	if count < 2*minIntervalStarts {
		span = max(span, minRatePeriod)
	}
	return count / max(span, fullBackOff).Seconds()
}

// minRate returns this node's share of minTotalRate. It is enough to learn the state of a server, and
// harmless even if all nodes send it.
func (c *Controller) minRate() float64 { return minTotalRate / float64(max(c.settings.Nodes, 1)) }
