package callers

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"cherryrelay/internal/call"
	"cherryrelay/internal/endlog"
	"cherryrelay/internal/jsonl"
)

// The ends of calls that stood, which may be told on another connection than that of their set-up.

type callEnd struct {
	id       string
	end      call.End
	queuedAt time.Time
	// firstSentAt is when all of it was first with the kernel, on whatever connection; zero until then.
	firstSentAt time.Time
}

// sentEnd is a release that was written to a connection.
type sentEnd struct {
	callEnd
	sentAt      time.Time // when all of it was with the kernel; zero until then
	onOtherConn bool      // the connection is not that of the call
}

// deliverPending passes on the ends that have waited for a connection. A process that has superseded this one takes them, as callers connect there.
func (f *Front) deliverPending() {
	f.dropExpired()
	superseded := f.core.Superseded()
	if len(f.pendingEnds) == 0 || !superseded && !slices.ContainsFunc(f.openConns, (*Conn).acceptsEnds) {
		return
	}
	pending := f.pendingEnds
	f.pendingEnds = nil
	for _, r := range pending {
		if superseded && f.core.RelayToSuccessor(r.id, r.end) {
			continue
		}
		if !f.sendOnAnyConn(r) {
			f.pendingEnds = append(f.pendingEnds, r)
		}
	}
}

// dropExpired gives up the ends that have waited for too long.
func (f *Front) dropExpired() {
	f.pendingEnds = slices.DeleteFunc(f.pendingEnds, func(r callEnd) bool {
		if time.Since(r.queuedAt) < endTimeout {
			return false
		}
		f.drop(r, "no caller has connected in time")
		return true
	})
}

// dropPending gives up the ends that wait as the front closes.
func (f *Front) dropPending() {
	for _, r := range f.pendingEnds {
		f.drop(r, "this process ends")
	}
	f.pendingEnds = nil
}

// drop gives up the end of a call, which its caller is not told from here.
func (f *Front) drop(r callEnd, reason string) {
	f.endCounts.Dropped++
	endlog.Call(f.log, endlog.EndDropped, r.id)
	f.log.Warn("end of a call given up", "id", r.id, "cause", r.end.Cause, "reason", reason, "waited", time.Since(r.queuedAt))
}

// Release passes on the end of a call that no connection is known for.
func (f *Front) Release(id string, end call.End) {
	f.deliverOrQueue(callEnd{id: id, end: end, queuedAt: time.Now()})
}

// deliverOrQueue passes on the end of a call that stood, now or once there is a connection for it.
func (f *Front) deliverOrQueue(r callEnd) {
	if f.sendOnAnyConn(r) {
		return
	}
	f.dropExpired()
	endlog.Call(f.log, endlog.EndWaits, r.id)
	f.endCounts.Waited++
	f.pendingEnds = append(f.pendingEnds, r)
}

// sendOnAnyConn sends the end of a call that stood on another connection, as no connection owns the call: one on which a call
// stood rather than one that only asked, since that may be anybody's, and of these the one that was used last. It reports whether there is one.
func (f *Front) sendOnAnyConn(r callEnd) bool {
	hears := slices.DeleteFunc(slices.Clone(f.openConns), func(c *Conn) bool { return !c.acceptsEnds() })
	slices.SortStableFunc(hears, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(b.endPriority(), a.endPriority()), b.lastUsedAt.Compare(a.lastUsedAt))
	})
	for _, c := range hears {
		if !c.callerDisconnected() {
			c.sendEnd(r).onOtherConn = true
			return true
		}
	}
	return false
}

// endPriority says how much a connection is to be counted on.
func (c *Conn) endPriority() int {
	switch {
	case c.hadCall:
		return 2
	case c.receivedRequest:
		return 1
	}
	return 0
}

// NotifyTerminated sends the end of a call that stood, on another connection if this one has closed since.
func (c *Conn) NotifyTerminated(id string, end call.End) {
	r := callEnd{id: id, end: end, queuedAt: time.Now()}
	if c.callerDisconnected() {
		c.front.deliverOrQueue(r)
		return
	}
	c.sendEnd(r)
}

func (c *Conn) writeRelease(r callEnd, then func()) {
	m := jsonl.Message{Type: "release", ID: r.id, Cause: &r.end.Cause, Fields: map[string]jsonl.Value{}}
	if r.end.HoldOff > 0 {
		m.Fields["wait"] = jsonl.Value(strconv.FormatInt(r.end.HoldOff.Milliseconds(), 10))
	}
	if c.format.NamesErrors() {
		m.Fields["error"] = jsonl.Value(r.end.Reason)
	}
	c.writeThen(m, then)
}

// sendEnd sends the end of a call that stood and keeps it for a moment: callers close connections without calls, and
// one that crosses such a close is lost.
func (c *Conn) sendEnd(r callEnd) *sentEnd {
	c.logCall(endlog.EndQueued, r.id)
	r.queuedAt = time.Now()
	t := &sentEnd{callEnd: r}
	c.writeRelease(r, func() { c.recordWritten(t) })
	c.sentEnds = slices.DeleteFunc(c.sentEnds, func(o *sentEnd) bool { return !c.maybeUnread(o) && time.Since(o.sentAt) > maxUnreadTime })
	c.sentEnds = append(c.sentEnds, t)
	return t
}

// recordWritten notes that all of a release has gone to the kernel.
func (c *Conn) recordWritten(t *sentEnd) {
	c.logCall(endlog.EndWithKernel, t.id)
	t.sentAt = time.Now()
	if t.firstSentAt.IsZero() {
		t.firstSentAt = t.sentAt
	}
	c.front.endCounts.Told++
}

// mayLoseEnd reports whether the end of a call that was told here may be lost, as the caller closes the connection. It may do so where no call of
// its own is; the connection of a call it keeps until it has read the end, unless it has ended it by now.
func (c *Conn) mayLoseEnd() bool {
	if c.callerDisconnected() {
		return slices.ContainsFunc(c.sentEnds, c.maybeUnread)
	}
	return c.front.core.PendingOf(c) == 0 && c.front.core.EstablishedOf(c) == 0 &&
		slices.ContainsFunc(c.sentEnds, func(t *sentEnd) bool { return t.onOtherConn && c.maybeUnread(t) })
}

// redeliver tells the end of a call on another connection, as it may not have been read on this one.
func (c *Conn) redeliver(t *sentEnd) {
	c.front.endCounts.Repeated++
	c.front.deliverOrQueue(t.callEnd)
}

// markAsHealthCheck has others told what this connection was while it said nothing: it is for tests, and who made it has taken an end for the
// result of one.
func (c *Conn) markAsHealthCheck() {
	sent := c.sentEnds
	c.sentEnds, c.receivedPing = nil, true
	for _, t := range sent {
		c.logCall(endlog.EndForTest, t.id)
		t.firstSentAt = time.Time{} // it has reached no caller
		c.redeliver(t)
	}
}

// maybeUnread reports whether a release that was sent may not have been read: it has not left, it left shortly before now or the end of the
// connection, the connection was reset, or nobody ever spoke here. A socket that is closed with words unread sends a reset. One that was told for
// as long as any waits for a caller counts as read: a caller may end all its connections by a reset.
func (c *Conn) maybeUnread(t *sentEnd) bool {
	if t.sentAt.IsZero() {
		return true
	}
	if time.Since(t.firstSentAt) >= endTimeout {
		return false
	}
	until := c.conn.EndedAt()
	if until.IsZero() {
		until = time.Now()
	}
	age := until.Sub(t.sentAt)
	return age <= crossingTime || c.wasReset && age <= maxUnreadTime || !c.receivedRequest && !c.receivedPing && age <= endTimeout
}
