package control

import "time"

// This file limits the set-ups to servers that have started recently.

// coldSilence is the time without answers after which a server that answers again is treated as cold.
const coldSilence = 3 * time.Second

// startCold marks a server as started at the given time. coldRate determines its window until it is warm.
func (c *Controller) startCold(s *server, at time.Duration) {
	s.cold, s.coldSince, s.suspect = true, at, false
	s.unlimited, s.credit = false, c.rng.Float64()
	s.excessDelay = 0
	c.emit(Log{Text: "server " + string(s.ID) + " starts cold"})
}

// coldRate returns how many starts per second this node sends to a cold server. It is the node's rate at
// the warm server, reduced to the capacity reached so far, times half of the factor that overloads a cold
// server. This keeps the sum over all nodes safe.
func (c *Controller) coldRate(s *server) float64 {
	progress := float64(c.now-s.coldSince) / float64(max(c.settings.WarmUpTime, 1))
	s.cold = progress < 1
	share := c.settings.ColdCapacity + (1-c.settings.ColdCapacity)*min(max(0, progress), 1)
	return c.warmRate(s) * share * max(1, c.settings.ColdOverloadFactor/2)
}

// warmRate returns how many starts per second this node sends to the server when it is warm. For a new
// server it is the rate of the server that it replaces in its cell, or the new server's share of the node's
// total rate by capacity if that is more: the replaced server may have been nobody's first choice. The
// share allows for other new servers; when each was treated as the only one, the rates added up to more
// than the total.
func (c *Controller) warmRate(s *server) float64 {
	if s.observedTime > 0 {
		return max(s.ownRate(), c.minRate())
	}
	rate, lines, knownSizes, others, cellRate := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, o := range c.servers {
		if o.observedTime > 0 && o.Cell == s.Cell && s.Weight == 0 {
			cellRate = max(cellRate, o.ownRate())
		}
		if o.observedTime > 0 && o.Status != Removed {
			rate += o.ownRate() // other servers take over the rate of a draining one
		}
		if o != s && o.Status == Active {
			if others++; o.observedTime > 0 || o.capacity() > 1 {
				lines, knownSizes = lines+o.capacity(), knownSizes+1
			}
		}
	}
	mean, size := lines/max(knownSizes, 1), s.capacity()
	if size <= 1 && s.Weight == 0 && knownSizes > 0 {
		size = mean // its lines are not reported yet
	}
	return max(rate*size/(others*mean+size), cellRate, c.minRate())
}
