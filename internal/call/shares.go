package call

import "cherryrelay/control"

// DispatcherShare is what this controller gets of one dispatcher, and what keeps it from more. Counts are since the start, and of
// dispatchers that are listed.
type DispatcherShare struct {
	ID         control.ServerID `json:"id"`
	SetUpsSent int              `json:"asked"`   // set-ups sent
	NoLine     int              `json:"no_line"` // of them, turned away for want of a line
	Lines      float64          `json:"lines"`   // that it has, as far as is told
	FreeLines  int              `json:"free"`    // that it has left, as far as is known; -1 if that is not told
	OwnLines   int              `json:"own"`     // that calls of this controller have
	BackOffMS  int64            `json:"rest_ms"` // for which it gets no more set-ups from here
	Unlimited  bool             `json:"open"`    // it has no window
	Window     float64          `json:"window"`  // starts a control period, if it has one
}

// setUpCount counts what a dispatcher was asked.
type setUpCount struct{ sent, noLine int }

func (c *Core) countSetUp(id control.ServerID, noLine bool) {
	n := c.setUpCounts[id]
	if noLine {
		n.noLine++
	} else {
		n.sent++
	}
	c.setUpCounts[id] = n
}

// Shares are those of all dispatchers that the module knows, in the order in which they were first listed.
func (c *Core) Shares() []DispatcherShare {
	figures := c.module.Stats(c.now())
	shares := make([]DispatcherShare, 0, len(figures))
	for _, f := range figures {
		n := c.setUpCounts[f.ID]
		shares = append(shares, DispatcherShare{ID: f.ID, SetUpsSent: n.sent, NoLine: n.noLine, Lines: f.Lines, FreeLines: f.FreeLines, OwnLines: f.OwnLines,
			BackOffMS: f.BackOff.Milliseconds(), Unlimited: f.Unlimited, Window: f.Window})
	}
	return shares
}

// forgetSetUpCount drops the counts of a dispatcher that is gone.
func (c *Core) forgetSetUpCount(id control.ServerID) { delete(c.setUpCounts, id) }
