package call

import (
	"time"

	"cherryrelay/internal/endlog"
)

const (
	// replyTimeout is how long after it was read an ambiguous end waits for the reply to the probe. The end of an
	// established call must reach its caller within a second.
	replyTimeout = 800 * time.Millisecond
	// replyTimeoutAfterAnswer is the least time to wait for the reply after the answer: the reply may follow right
	// after it.
	replyTimeoutAfterAnswer = 100 * time.Millisecond
)

// ambiguousEnd is the end of a call that was read on a connection other than that of the latest attempt, before or
// after the answer, while an earlier attempt at the same dispatcher may have established the call. A dispatcher sends
// the end of a call on the connection of its set-up unless that is closed, so the next message on the connection of the
// latest attempt shows to which attempt the end belongs.
type ambiguousEnd struct {
	cause  int
	report []float64
	readAt time.Time
	// ofEarlierAttempt is true if an earlier attempt is known to have established the call: without a reply, the end is
	// attributed to that attempt.
	ofEarlierAttempt bool
	timer            *Timer // started with the answer
}

// probeAmbiguous stores an ambiguous end and probes the connection of the attempt. If the reply arrives without an end
// before it, the end belongs to an earlier attempt. If the connection ends first, after the answer, the end belongs to
// the established call.
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
			endlog.Call(c.log, endlog.EndOfEarlierAttempt, k.ID, endlog.Server(k.server), endlog.Attempt(k.attempts-1))
			c.dropAmbiguous(k)
		case k.state == established:
			c.applyAmbiguous(k)
		}
	})
	c.startReplyTimer(k)
}

// startReplyTimer limits the wait for the reply once the call is established.
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

// applyAmbiguous terminates an established call by its ambiguous end. The call is also released at its dispatcher,
// which may still hold it.
func (c *Core) applyAmbiguous(k *record) {
	end := k.ambiguous
	endlog.Call(c.log, endlog.EndOfEstablishedCall, k.ID, endlog.Server(k.server), endlog.Attempt(k.attempts-1))
	c.dropAmbiguous(k)
	c.dispatchers.Release(k.server, k.ID, CauseTemporary)
	c.Released(k.server, k.ID, noAttempt, end.cause, end.report)
}

// dropAmbiguous discards an ambiguous end.
func (c *Core) dropAmbiguous(k *record) {
	if k.ambiguous != nil {
		c.loop.Stop(k.ambiguous.timer)
		k.ambiguous = nil
	}
}
