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

// This file delivers the ends of established calls. They may be sent on another connection than that of the set-up.

// callEnd is the end of a call that has to be delivered.
type callEnd struct {
	id       string
	end      call.End
	queuedAt time.Time
	// firstSentAt is when all of it was first written to a socket, on any connection; zero until then.
	firstSentAt time.Time
}

// sentEnd is the end of a call that was queued on a connection.
type sentEnd struct {
	callEnd
	sentAt      time.Time // time at which all of it was written to the socket; zero until then
	onOtherConn bool      // the connection is not that of the call
}

// deliverPending sends the ends that wait for a connection. A process that has superseded this one gets them instead, as callers
// connect there.
func (f *Front) deliverPending() {
	f.dropExpired()
	superseded := f.core.Superseded()
	if len(f.pendingEnds) == 0 || !superseded && !slices.ContainsFunc(f.openConns, (*Conn).acceptsEnds) {
		return
	}
	pending := f.pendingEnds
	f.pendingEnds = nil
	for _, e := range pending {
		if superseded && f.core.RelayToSuccessor(e.id, e.end) {
			continue
		}
		if !f.sendOnAnyConn(e) {
			f.pendingEnds = append(f.pendingEnds, e)
		}
	}
}

// dropExpired drops the ends that have waited for too long.
func (f *Front) dropExpired() {
	f.pendingEnds = slices.DeleteFunc(f.pendingEnds, func(e callEnd) bool {
		if time.Since(e.queuedAt) < endTimeout {
			return false
		}
		f.drop(e, "no caller connected in time")
		return true
	})
}

// dropPending drops all waiting ends when the front closes.
func (f *Front) dropPending() {
	for _, e := range f.pendingEnds {
		f.drop(e, "the process ends")
	}
	f.pendingEnds = nil
}

// drop drops the end of a call: this process does not deliver it.
func (f *Front) drop(e callEnd, reason string) {
	f.endCounts.Dropped++
	endlog.Call(f.log, endlog.EndDropped, e.id)
	f.log.Warn("end of a call given up", "id", e.id, "cause", e.end.Cause, "reason", reason, "waited", time.Since(e.queuedAt))
}

// Release sends the end of a call whose connection is not known.
func (f *Front) Release(id string, end call.End) {
	f.deliverOrQueue(callEnd{id: id, end: end, queuedAt: time.Now()})
}

// deliverOrQueue sends the end of an established call, or queues it until there is a connection for it.
func (f *Front) deliverOrQueue(e callEnd) {
	if f.sendOnAnyConn(e) {
		return
	}
	f.dropExpired()
	endlog.Call(f.log, endlog.EndWaits, e.id)
	f.endCounts.Queued++
	f.pendingEnds = append(f.pendingEnds, e)
}

// sendOnAnyConn sends the end of a call on an open connection that accepts it, and reports whether there is one. It prefers a
// connection that had an established call to one with requests only, which may be anyone's, and among equals the one that was
// used last.
func (f *Front) sendOnAnyConn(e callEnd) bool {
	candidates := slices.DeleteFunc(slices.Clone(f.openConns), func(c *Conn) bool { return !c.acceptsEnds() })
	slices.SortStableFunc(candidates, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(b.endPriority(), a.endPriority()), b.lastUsedAt.Compare(a.lastUsedAt))
	})
	for _, c := range candidates {
		if !c.callerDisconnected() {
			c.sendEnd(e).onOtherConn = true
			return true
		}
	}
	return false
}

// endPriority ranks the connections on which the end of another connection's call may be sent.
func (c *Conn) endPriority() int {
	switch {
	case c.hadCall:
		return 2
	case c.receivedRequest:
		return 1
	}
	return 0
}

// NotifyTerminated sends the end of an established call, on another connection if this one has closed.
func (c *Conn) NotifyTerminated(id string, end call.End) {
	e := callEnd{id: id, end: end, queuedAt: time.Now()}
	if c.callerDisconnected() {
		c.front.deliverOrQueue(e)
		return
	}
	c.sendEnd(e)
}

func (c *Conn) writeRelease(e callEnd, then func()) {
	m := jsonl.Message{Type: "release", ID: e.id, Cause: &e.end.Cause, Fields: map[string]jsonl.Value{}}
	if e.end.HoldOff > 0 {
		m.Fields["wait"] = jsonl.Value(strconv.FormatInt(e.end.HoldOff.Milliseconds(), 10))
	}
	if c.format.HasErrorField() {
		m.Fields["error"] = jsonl.Value(e.end.Reason)
	}
	c.writeThen(m, then)
}

// sendEnd sends the end of an established call and keeps it for some time: callers close connections without calls, and an end
// that crosses the close is lost.
func (c *Conn) sendEnd(e callEnd) *sentEnd {
	c.logCall(endlog.EndQueued, e.id)
	e.queuedAt = time.Now()
	s := &sentEnd{callEnd: e}
	c.writeRelease(e, func() { c.recordWritten(s) })
	c.sentEnds = slices.DeleteFunc(c.sentEnds, func(other *sentEnd) bool { return !c.maybeUnread(other) && time.Since(other.sentAt) > maxUnreadTime })
	c.sentEnds = append(c.sentEnds, s)
	return s
}

// recordWritten records that all of an end was written to the socket.
func (c *Conn) recordWritten(s *sentEnd) {
	c.logCall(endlog.EndWrittenToKernel, s.id)
	s.sentAt = time.Now()
	if s.firstSentAt.IsZero() {
		s.firstSentAt = s.sentAt
	}
	c.front.endCounts.Written++
}

// mayLoseEnd reports whether an end that was sent here may be lost because the caller closes the connection. A caller closes a
// connection without calls at any time. It keeps the connection of a call open until it has read the end, unless that connection
// has already been closed.
func (c *Conn) mayLoseEnd() bool {
	if c.callerDisconnected() {
		return slices.ContainsFunc(c.sentEnds, c.maybeUnread)
	}
	return c.front.core.PendingOf(c) == 0 && c.front.core.EstablishedOf(c) == 0 &&
		slices.ContainsFunc(c.sentEnds, func(s *sentEnd) bool { return s.onOtherConn && c.maybeUnread(s) })
}

// redeliver sends the end of a call on another connection, as it may not have been read on this one.
func (c *Conn) redeliver(s *sentEnd) {
	c.front.endCounts.Repeated++
	c.front.deliverOrQueue(s.callEnd)
}

// markAsHealthCheck marks the connection as a health check, and sends the ends that were sent on it on others: the sender of the
// ping has taken one for the result.
func (c *Conn) markAsHealthCheck() {
	sent := c.sentEnds
	c.sentEnds, c.receivedPing = nil, true
	for _, s := range sent {
		c.logCall(endlog.EndOnTestConnection, s.id)
		s.firstSentAt = time.Time{} // no caller has received it
		c.redeliver(s)
	}
}

// maybeUnread reports whether an end that was sent may not have been read: it has not been written to the socket, it was written
// shortly before now or before the end of the connection, the connection was reset, or no message was ever received on it. A
// socket that is closed with unread input sends a reset. An end that was first sent endTimeout ago counts as read, since a caller
// may close all its connections by a reset.
func (c *Conn) maybeUnread(s *sentEnd) bool {
	if s.sentAt.IsZero() {
		return true
	}
	if time.Since(s.firstSentAt) >= endTimeout {
		return false
	}
	endedAt := c.conn.EndedAt()
	if endedAt.IsZero() {
		endedAt = time.Now()
	}
	age := endedAt.Sub(s.sentAt)
	return age <= crossingTime || c.wasReset && age <= maxUnreadTime || !c.receivedRequest && !c.receivedPing && age <= endTimeout
}
