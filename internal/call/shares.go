package call

import "cherryrelay/control"

// DispatcherShare is this controller's share of one dispatcher, and what limits it. Counts are since the start, and
// cover listed dispatchers only.
type DispatcherShare struct {
	ID         control.ServerID `json:"id"`
	SetUpsSent int              `json:"asked"`
	NoLine     int              `json:"no_line"` // set-ups refused for lack of a line
	Lines      float64          `json:"lines"`   // that it has, as far as it reports
	FreeLines  int              `json:"free"`    // that it has left, as far as known; -1 if it does not report that
	OwnLines   int              `json:"own"`     // occupied by calls of this controller
	BackOffMS  int64            `json:"rest_ms"` // remaining back-off, in ms
	Unlimited  bool             `json:"open"`    // it has no window
	Window     float64          `json:"window"`  // starts per control period, if it has a window
}

// setUpCount counts the set-ups sent to a dispatcher, and those refused for lack of a line.
type setUpCount struct{ sent, noLine int }

// countSetUp counts a set-up that is sent to a dispatcher, or that was refused for lack of a line.
func (c *Core) countSetUp(id control.ServerID, noLine bool) {
	n := c.setUpCounts[id]
	if noLine {
		n.noLine++
	} else {
		n.sent++
	}
	c.setUpCounts[id] = n
}

// Shares returns the shares of all dispatchers that the module knows, in the order in which they were first listed.
func (c *Core) Shares() []DispatcherShare {
	stats := c.module.Stats(c.now())
	shares := make([]DispatcherShare, 0, len(stats))
	for _, f := range stats {
		n := c.setUpCounts[f.ID]
		shares = append(shares, DispatcherShare{ID: f.ID, SetUpsSent: n.sent, NoLine: n.noLine, Lines: f.Lines, FreeLines: f.FreeLines, OwnLines: f.OwnLines,
			BackOffMS: f.BackOff.Milliseconds(), Unlimited: f.Unlimited, Window: f.Window})
	}
	return shares
}

// forgetSetUpCount drops the counts of a removed dispatcher.
func (c *Core) forgetSetUpCount(id control.ServerID) { delete(c.setUpCounts, id) }
