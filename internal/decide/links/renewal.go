package links

import "time"

const (
	// renewalDelay is the time from a loss to the next dial. One connection serves all losses within it.
	renewalDelay = 100 * time.Millisecond
	// renewalInterval is the time between new connections to a dispatcher that may still send ends on a connection that is no
	// longer read. It must be well below the 8 s within which an end must reach its caller.
	renewalInterval = 5 * time.Second
)

// Renewal decides when to open another connection to a dispatcher for the ends of calls that may have been lost. A dispatcher
// sends an end on one connection and repeats it only on the next connection that opens. The zero value is that of a new
// dispatcher.
type Renewal struct {
	requestedAt      time.Time // only a connection dialled at this time or later serves the request; zero without a request
	endsMissing      bool      // ends may have been lost, and no connection has delivered them since
	dueAt            time.Time // when to dial the next connection; zero if none is pending
	lastDialedAt     time.Time // when the dial of the last established connection began
	unreadConnection bool
}

// Request asks for a connection on which the dispatcher repeats the ends that it has sent until now.
func (r *Renewal) Request(now time.Time) {
	r.requestedAt = now
	if r.dueAt.IsZero() {
		r.dueAt = now.Add(renewalDelay)
	}
}

// RecordLoss records that ends sent until now may have been lost, and requests a connection.
func (r *Renewal) RecordLoss(now time.Time) {
	r.endsMissing = true
	r.Request(now)
}

// RequestPeriodic requests a connection if none is pending and the last one is older than renewalInterval.
func (r *Renewal) RequestPeriodic(now time.Time) {
	if r.dueAt.IsZero() && now.Sub(r.lastDialedAt) >= renewalInterval {
		r.Request(now)
	}
}

// RecordOpened records a new connection whose dial began at the given time. The dispatcher may have accepted it at any time
// since then, so it delivers only what was lost before its dial.
func (r *Renewal) RecordOpened(dialedAt time.Time) {
	r.lastDialedAt = dialedAt
	if !dialedAt.Before(r.requestedAt) {
		r.requestedAt, r.dueAt, r.endsMissing = time.Time{}, time.Time{}, false
	}
}

// Cancel cancels the pending dial.
func (r *Renewal) Cancel() { r.dueAt = time.Time{} }

// EndsMissing reports whether ends may have been lost that no connection has delivered since.
func (r *Renewal) EndsMissing() bool { return r.endsMissing }

// Pending reports whether a connection is to be dialled, now or later.
func (r *Renewal) Pending() bool { return !r.dueAt.IsZero() }

// Due reports whether a connection is to be dialled now.
func (r *Renewal) Due(now time.Time) bool { return r.Pending() && !now.Before(r.dueAt) }

// SetUnreadConnection sets whether the dispatcher may regard a connection as open that this side no longer reads.
func (r *Renewal) SetUnreadConnection(unread bool) { r.unreadConnection = unread }

// HasUnreadConnection reports whether the dispatcher may regard a connection as open that this side no longer reads.
func (r *Renewal) HasUnreadConnection() bool { return r.unreadConnection }
