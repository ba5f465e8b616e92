package control

import (
	"slices"
	"time"
)

// This file requests and applies the server list.

// listRetryDelay is the delay before the server list is requested again after a failure.
const listRetryDelay = time.Second

// server holds the state that the node keeps for one core server.
type server struct {
	ServerEntry
	inProgress         []*call       // attempts in progress, oldest first
	ownLines           int           // lines of this node's calls and attempts
	noLineAt           time.Duration // when it last had no line; 0 for never
	backOffUntil       time.Duration // end of the back-off
	backOffSince       time.Duration // start of the last back-off
	backOff            time.Duration // length of the last back-off; 0 after a prompt answer
	lines              float64       // 1 if unknown
	freeLines          int           // lines free at the last report, less own starts since; -1 if unknown
	overflowLines      int           // this node's share of freeLines, for overflow; -1 if unknown
	currentWeight      float64       // balance of the weighted round-robin, in starts times weights
	wasFull            bool          // answered full or became suspect in this update interval
	suspect            bool          // gets trial calls only
	suspectSince       time.Duration
	lastListedAt       time.Duration // time of the last list in which it was not removed
	lastAnswerAt       time.Duration // last answer, or first start after a time without attempts in progress
	lastAnsweredSentAt time.Duration // start of the latest attempt that was answered
	coldSince          time.Duration // start time of a cold server
	cold               bool          // started recently, with reduced capacity
	minDelay           time.Duration // lowest delay of an answer
	excessDelay        time.Duration // smoothed delay of own set-ups beyond minDelay
	excessDelayAt      time.Duration // time of the last update of excessDelay

	unlimited       bool          // has no window yet
	window          float64       // the paper's N, in starts per control period
	credit          float64       // starts that the window allows now; fractions are carried over
	periodStart     time.Duration // start of this control period
	advancedAt      time.Duration // time of the last step
	intervalStarts  int           // starts in this update interval
	intervalAnswers int           // answers in this update interval
	recentStarts    float64       // starts while neither cold nor suspect; halved at times
	promptAnswers   float64       // prompt answers while warm; halved with recentStarts
	observedTime    time.Duration // time while neither cold nor suspect; halved with recentStarts
	overhead        float64       // lowest reported utilisation, the paper's overhead
	utilSum         float64       // sum of the utilisations reported in this update interval
	utilReports     int           // number of utilisations in utilSum
	reportedWait    time.Duration // last wait reported in this update interval
	reportedRate    float64       // last reported rate; 0 if unknown
}

func (c *Controller) handleListReceived(e ListReceived) {
	if e.Failed {
		c.listRequestAt = c.now + listRetryDelay
		return
	}
	listed := map[ServerID]bool{}
	for _, entry := range e.Entries {
		listed[entry.ID] = true
		s := c.byID[entry.ID]
		if s == nil {
			s = &server{unlimited: true, lastAnswerAt: c.now, advancedAt: c.now,
				freeLines: -1, overflowLines: -1, lines: 1}
			s.credit = c.rng.Float64()
			s.periodStart = c.now - time.Duration(c.rng.Int64N(int64(controlPeriod)))
			s.excessDelayAt = s.periodStart
			c.byID[entry.ID] = s
			c.servers = append(c.servers, s)
		}
		restarted := entry.StartedAt != s.StartedAt
		s.ServerEntry = entry
		if restarted && entry.StartedAt > 0 && c.now-entry.StartedAt < c.settings.WarmUpTime {
			c.startCold(s, entry.StartedAt)
		}
	}
	for _, s := range c.servers {
		if e.Whole && !listed[s.ID] {
			s.Status = Removed
		}
		if s.Status != Removed {
			s.lastListedAt = c.now
		}
	}
	c.removeStaleServers()
}

// removeStaleServers deletes servers that were removed long ago. Until then, a replacement in the same cell
// starts from the rate of the removed server.
func (c *Controller) removeStaleServers() {
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		stale := s.Status == Removed && len(s.inProgress) == 0 &&
			c.now-s.lastListedAt > 2*max(c.settings.WarmUpTime, controlPeriod)
		if stale {
			delete(c.byID, s.ID)
			c.clearLastServer(s)
		}
		return stale
	})
}

func (c *Controller) requestList() {
	if c.listRequestAt > 0 && c.now >= c.listRequestAt {
		c.listRequestAt = 0
		c.emit(Subscribe{})
	}
}
