package control

import "time"

// This file applies load reports of servers.

func (c *Controller) applyReport(s *server, values []float64) {
	fields, nodes := c.settings.ReportFields, max(c.settings.Nodes, 1)
	for i, v := range values {
		if i >= len(fields) || v < 0 {
			continue
		}
		switch fields[i] {
		case FreeLines:
			// All nodes get this number, and their overflow together must not exceed it.
			s.freeLines, s.overflowLines = int(v), int(v/float64(nodes)+c.rng.Float64())
		case Lines:
			s.lines = max(v, 1)
		case QueueWait:
			s.reportedWait = max(0, time.Duration(v*float64(time.Millisecond)))
			if s.suspect {
				c.applyReportedWait(s)
			}
		case MaxRate:
			s.reportedRate = v
		case Utilisation:
			s.utilSum += v
			s.utilReports++
			if v < minOccupancy && (s.overhead == 0 || v < s.overhead) {
				s.overhead = v // the paper measures the overhead in light traffic
			}
		}
	}
}

// applyReportedWait applies the wait that a suspect server reports. The excess of a long wait becomes its
// back-off. After a short one the server is no longer suspect once its back-off is over; until a call has
// been answered it gets one call at a time, and the next back-off is longer.
func (c *Controller) applyReportedWait(s *server) {
	excess := s.reportedWait - time.Duration(targetWaitShare*float64(c.tightestAim))
	if excess > 0 {
		s.backOffUntil = max(s.backOffUntil,
			c.now+min(excess, maxReportedBackOff)+time.Duration(c.rng.Int64N(int64(fullBackOff))))
	} else if c.now >= s.backOffUntil {
		s.suspect, s.credit = false, c.rng.Float64()
	}
}
