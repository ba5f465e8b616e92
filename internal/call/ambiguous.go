package call

import (
	"time"

	"cherryrelay/internal/endlog"
)

const (
	// replyTimeout is how long after it was read an ambiguous end waits for the reply to the probe. What has stood is to be released towards its
	// caller within a second of its end.
	replyTimeout = 800 * time.Millisecond
	// replyTimeoutAfterAnswer is how long it waits at least once the answer has come: the reply may be right behind that.
	replyTimeoutAfterAnswer = 100 * time.Millisecond
)

// ambiguousEnd is the end of a call that was read on another connection than that of its latest attempt, ahead of the answer or behind it, where an
// earlier attempt at the same dispatcher may have established the call. A dispatcher tells the end of a call on the connection of its set-up, unless it
// has closed that: what comes there next tells whose end it is.
type ambiguousEnd struct {
	cause  int
	report []float64
	readAt time.Time
	// ofEarlierAttempt is set where an earlier attempt is known to have established the call: without a reply the end counts as that one's.
	ofEarlierAttempt bool
	timer            *Timer // runs from the answer on
}

// probeAmbiguous keeps such an end, and has the connection of the attempt probed. If the reply comes and no end ahead of it, the end is an earlier
// attempt's. If the connection ends first, behind the answer, it is that of the call that was answered.
func (c *Core) probeAmbiguous(k *record, cause int, report []float64) {
	end := &ambiguousEnd{cause: cause, report: report, readAt: time.Now(), ofEarlierAttempt: k.earlierEstablished()}
	if k.ambiguous != nil && k.state == established {
		end.readAt = k.ambiguous.readAt
	}
	c.dropAmbiguous(k)
	k.ambiguous = end
	c.dispatchers.Ping(k.server, k.ID, k.attempts-1, func(replied bool) {
		switch {
		case k.ambiguous != end:
		case replied:
			endlog.Call(c.log, endlog.EndOfEarlier, k.ID, endlog.Server(k.server), endlog.Attempt(k.attempts-1))
			c.dropAmbiguous(k)
		case k.state == established:
			c.applyAmbiguous(k)
		}
	})
	c.startReplyTimer(k)
}

// startReplyTimer bounds the wait for the reply once a call has been answered.
func (c *Core) startReplyTimer(k *record) {
	end := k.ambiguous
	if end == nil || k.state != established {
		return
	}
	end.timer = c.loop.After(max(replyTimeout-time.Since(end.readAt), replyTimeoutAfterAnswer), func() {
		switch {
		case k.ambiguous != end:
		case end.ofEarlierAttempt:
			c.dropAmbiguous(k)
		default:
			c.applyAmbiguous(k)
		}
	})
}

// applyAmbiguous ends a call that was answered, by the ambiguous end that came. Its dispatcher may hold it all the same, and releases it then.
func (c *Core) applyAmbiguous(k *record) {
	end := k.ambiguous
	endlog.Call(c.log, endlog.EndOfLatest, k.ID, endlog.Server(k.server), endlog.Attempt(k.attempts-1))
	c.dropAmbiguous(k)
	c.dispatchers.Release(k.server, k.ID, CauseTemporary)
	c.Released(k.server, k.ID, noAttempt, end.cause, end.report)
}

// dropAmbiguous forgets an ambiguous end.
func (c *Core) dropAmbiguous(k *record) {
	if k.ambiguous != nil {
		c.loop.Stop(k.ambiguous.timer)
		k.ambiguous = nil
	}
}
