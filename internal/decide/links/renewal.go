package links

import "time"

const (
	// renewalDelay is how long after a loss the next connection is dialled: losses that come together are served by one.
	renewalDelay = 100 * time.Millisecond
	// renewalInterval is the pace of new connections to a dispatcher that may go on to tell ends on one that nobody reads. It must be
	// well below the 8 s within which an end is to reach its caller.
	renewalInterval = 5 * time.Second
)

// Renewal decides when one more connection to a dispatcher is opened for the ends of calls that may have been lost. A dispatcher tells an
// end on one connection, and repeats it on the next that opens after that, and on no other. The zero value is that of a new dispatcher.
type Renewal struct {
	requestedAt      time.Time // only a connection that is dialled from then on is of use; zero if none is wanted
	endsMissing      bool      // ends may have been lost that no connection has brought since
	dueAt            time.Time // when the next connection is to be dialled; zero if none is
	lastDialedAt     time.Time // when the dial of the last connection that opened began
	unreadConnection bool
}

// Request asks for a connection on which the ends are repeated that were told until now.
func (r *Renewal) Request(now time.Time) {
	r.requestedAt = now
	if r.dueAt.IsZero() {
		r.dueAt = now.Add(renewalDelay)
	}
}

// RecordLoss notes that ends which were told until now may have been lost.
func (r *Renewal) RecordLoss(now time.Time) {
	r.endsMissing = true
	r.Request(now)
}

// RequestPeriodic asks for a connection if the last one is older than renewalInterval and none is due.
func (r *Renewal) RequestPeriodic(now time.Time) {
	if r.dueAt.IsZero() && now.Sub(r.lastDialedAt) >= renewalInterval {
		r.Request(now)
	}
}

// RecordOpened notes that a connection has come up whose dial began at the given time. The dispatcher may have accepted it at any time since: it
// brings what was lost before.
func (r *Renewal) RecordOpened(dialedAt time.Time) {
	r.lastDialedAt = dialedAt
	if !dialedAt.Before(r.requestedAt) {
		r.requestedAt, r.dueAt, r.endsMissing = time.Time{}, time.Time{}, false
	}
}

// Cancel has no connection dialled until the next one is asked for.
func (r *Renewal) Cancel() { r.dueAt = time.Time{} }

// EndsMissing reports whether ends may have been lost that no connection has brought since.
func (r *Renewal) EndsMissing() bool { return r.endsMissing }

// Pending reports whether a connection is to be dialled, now or soon.
func (r *Renewal) Pending() bool { return !r.dueAt.IsZero() }

// Due reports whether a connection is to be dialled now.
func (r *Renewal) Due(now time.Time) bool { return r.Pending() && !now.Before(r.dueAt) }

// SetUnreadConnection sets whether the dispatcher may hold a connection for open that nobody reads.
func (r *Renewal) SetUnreadConnection(unread bool) { r.unreadConnection = unread }

// HasUnreadConnection reports whether it may.
func (r *Renewal) HasUnreadConnection() bool { return r.unreadConnection }
