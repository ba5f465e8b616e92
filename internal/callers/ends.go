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

type release struct {
	id  string
	end call.End
	at  time.Time
	// firstLeftAt is when all of it was first with the kernel, on whatever connection; zero until then.
	firstLeftAt time.Time
}

// told is a release that was written to a connection.
type told struct {
	release
	leftAt    time.Time // when all of it was with the kernel; zero until then
	elsewhere bool      // the connection is not that of the call
}

// deliver passes on the ends that have waited for a connection. A process that has superseded this one takes them, as callers connect there.
func (f *Front) deliver() {
	f.dropExpired()
	superseded := f.core.Superseded()
	if len(f.pending) == 0 || !superseded && !slices.ContainsFunc(f.open, (*Conn).hears) {
		return
	}
	pending := f.pending
	f.pending = nil
	for _, r := range pending {
		if superseded && f.core.RelayToSuccessor(r.id, r.end) {
			continue
		}
		if !f.send(r) {
			f.pending = append(f.pending, r)
		}
	}
}

// dropExpired gives up the ends that have waited for too long.
func (f *Front) dropExpired() {
	f.pending = slices.DeleteFunc(f.pending, func(r release) bool {
		if time.Since(r.at) < keep {
			return false
		}
		f.drop(r, "no caller has connected in time")
		return true
	})
}

// dropPending gives up the ends that wait as the front closes.
func (f *Front) dropPending() {
	for _, r := range f.pending {
		f.drop(r, "this process ends")
	}
	f.pending = nil
}

// drop gives up the end of a call, which its caller is not told from here.
func (f *Front) drop(r release, reason string) {
	f.ends.Dropped++
	endlog.Call(f.log, endlog.EndDropped, r.id)
	f.log.Warn("end of a call given up", "id", r.id, "cause", r.end.Cause, "reason", reason, "waited", time.Since(r.at))
}

// Release passes on the end of a call that no connection is known for.
func (f *Front) Release(id string, end call.End) {
	f.release(release{id: id, end: end, at: time.Now()})
}

// release passes on the end of a call that stood, now or once there is a connection for it.
func (f *Front) release(r release) {
	if f.send(r) {
		return
	}
	f.dropExpired()
	endlog.Call(f.log, endlog.EndWaits, r.id)
	f.ends.Waited++
	f.pending = append(f.pending, r)
}

// send sends the end of a call that stood on another connection, as no connection owns the call: one on which a call
// stood rather than one that only asked, since that may be anybody's, and of these the one that was used last. It reports whether there is one.
func (f *Front) send(r release) bool {
	hears := slices.DeleteFunc(slices.Clone(f.open), func(c *Conn) bool { return !c.hears() })
	slices.SortStableFunc(hears, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), b.usedAt.Compare(a.usedAt))
	})
	for _, c := range hears {
		if !c.gone() {
			c.release(r).elsewhere = true
			return true
		}
	}
	return false
}

// rank says how much a connection is to be counted on.
func (c *Conn) rank() int {
	switch {
	case c.stood:
		return 2
	case c.asked:
		return 1
	}
	return 0
}

// NotifyTerminated sends the end of a call that stood, on another connection if this one has closed since.
func (c *Conn) NotifyTerminated(id string, end call.End) {
	r := release{id: id, end: end, at: time.Now()}
	if c.gone() {
		c.front.release(r)
		return
	}
	c.release(r)
}

func (c *Conn) writeRelease(r release, then func()) {
	m := jsonl.Message{Type: "release", ID: r.id, Cause: &r.end.Cause, Fields: map[string]jsonl.Value{}}
	if r.end.HoldOff > 0 {
		m.Fields["wait"] = jsonl.Value(strconv.FormatInt(r.end.HoldOff.Milliseconds(), 10))
	}
	if c.format.NamesErrors() {
		m.Fields["error"] = jsonl.Value(r.end.Reason)
	}
	c.writeThen(m, then)
}

// release sends the end of a call that stood and keeps it for a moment: callers close connections without calls, and
// one that crosses such a close is lost.
func (c *Conn) release(r release) *told {
	c.logCall(endlog.EndQueued, r.id)
	r.at = time.Now()
	t := &told{release: r}
	c.writeRelease(r, func() { c.reachedKernel(t) })
	c.sent = slices.DeleteFunc(c.sent, func(o *told) bool { return !c.unheard(o) && time.Since(o.leftAt) > unreadFor })
	c.sent = append(c.sent, t)
	return t
}

// reachedKernel notes that all of a release has gone to the kernel.
func (c *Conn) reachedKernel(t *told) {
	c.logCall(endlog.EndWithKernel, t.id)
	t.leftAt = time.Now()
	if t.firstLeftAt.IsZero() {
		t.firstLeftAt = t.leftAt
	}
	c.front.ends.Told++
}

// mayLoseEnd reports whether the end of a call that was told here may be lost, as the caller closes the connection. It may do so where no call of
// its own is; the connection of a call it keeps until it has read the end, unless it has ended it by now.
func (c *Conn) mayLoseEnd() bool {
	if c.gone() {
		return slices.ContainsFunc(c.sent, c.unheard)
	}
	return c.front.core.PendingOf(c) == 0 && c.front.core.EstablishedOf(c) == 0 &&
		slices.ContainsFunc(c.sent, func(t *told) bool { return t.elsewhere && c.unheard(t) })
}

// repeat tells the end of a call on another connection, as it may not have been read on this one.
func (c *Conn) repeat(t *told) {
	c.front.ends.Repeated++
	c.front.release(t.release)
}

// passOn has others told what this connection was while it said nothing: it is for tests, and who made it has taken an end for the
// result of one.
func (c *Conn) passOn() {
	sent := c.sent
	c.sent, c.tested = nil, true
	for _, t := range sent {
		c.logCall(endlog.EndForTest, t.id)
		t.firstLeftAt = time.Time{} // it has reached no caller
		c.repeat(t)
	}
}

// unheard reports whether a release that was sent may not have been read: it has not left, it left shortly before now or the end of the
// connection, the connection was reset, or nobody ever spoke here. A socket that is closed with words unread sends a reset. One that was told for
// as long as any waits for a caller counts as read: a caller may end all its connections by a reset.
func (c *Conn) unheard(t *told) bool {
	if t.leftAt.IsZero() {
		return true
	}
	if time.Since(t.firstLeftAt) >= keep {
		return false
	}
	until := c.conn.EndedAt()
	if until.IsZero() {
		until = time.Now()
	}
	age := until.Sub(t.leftAt)
	return age <= recent || c.reset && age <= unreadFor || !c.asked && !c.tested && age <= keep
}
