// Package dispatchers maintains the connections to dispatchers and places call attempts on them.
package dispatchers

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
)

const (
	// MaxConnections is the maximum number of connections to one dispatcher; a dispatcher accepts four. The package decide/links decides how
	// many of them are opened.
	MaxConnections = 4
	// checkInterval is the interval at which active dispatchers are checked.
	checkInterval = 100 * time.Millisecond
	// messageTimeout is the time within which a message must be complete; a dispatcher writes each message at once.
	messageTimeout = 250 * time.Millisecond
	// overtakenAfter is how much later than an unanswered set-up another one must have been sent, and been answered, for the connection of
	// the first to count as unresponsive. A dispatcher's processor handles set-ups in order, so their answers differ by much less.
	overtakenAfter = 250 * time.Millisecond
	// suspectAfter is the time without input after which a new connection to a dispatcher with calls is tried: a machine that has
	// vanished leaves the old connections open.
	suspectAfter = 2500 * time.Millisecond
	// probeTimeout is the time within which a dispatcher that has long sent nothing and refuses connections, or is off the list, must reply
	// to a probe. Its calls must be released within 8 s of its end.
	probeTimeout = time.Second
	// unresponsiveTimeout is the time without input after which, if no new connection opens, the calls of a dispatcher are ended. The end of a
	// call may stay unreported for 8 s.
	unresponsiveTimeout = 5 * time.Second
	// cancelledRetention is how long a cancelled attempt is kept for an answer that its dispatcher may still send.
	cancelledRetention = 10 * time.Second
	// halfCloseTimeout is how long an abandoned connection is still read, unless its dispatcher closes it first. A dispatcher that is paused
	// has not noticed the close: when it continues, it may first send the end of a call there, and it repeats that end only on the next
	// connection that opens afterwards. A dispatcher that is paused for longer counts as lost (unresponsiveTimeout).
	halfCloseTimeout = unresponsiveTimeout
	// evictedReadTimeout replaces halfCloseTimeout if the descriptor is needed; a working dispatcher has closed its side by then.
	evictedReadTimeout = 50 * time.Millisecond
	// responseTimeout is the time within which a dispatcher must close its side of a connection that was half-closed here, or reply to a
	// cancellation. A working dispatcher does so at once. After the timeout, ends may be lost there. Each end must still be reported within
	// 8 s, which includes the unresponsiveTimeout in which an idle connection is found to be unresponsive.
	responseTimeout = time.Second
	// cancelTimeout is the time without input after the cancellation of a set-up after which a connection is half-closed.
	cancelTimeout = 100 * time.Millisecond
	// unansweredWeight is the number of open set-ups that a cancelled set-up without an answer counts as.
	unansweredWeight = 8
	// maxUnknownReleases limits how many releases of unknown calls wait for a connection, as any client can send any number of them.
	// Releases of established calls need no limit: no call is established before there is a connection.
	maxUnknownReleases = 1024
	// releaseBatchSize is the number of waiting releases sent in one event loop iteration. A larger number, together with the replies to
	// them, could close the connection as too slow or too fast.
	releaseBatchSize = 256
	// minConnLifetime is the time within which the end of a connection counts as a failed dial, so that a dispatcher that closes each new
	// connection is not dialled continuously.
	minConnLifetime = 100 * time.Millisecond
)

// Core receives the events of the connections; *call.Core implements it.
type Core interface {
	// DispatcherReached reports that calls can be placed at some dispatcher.
	DispatcherReached()
	// SetUpWritten reports that a set-up was written to a dispatcher's socket completely.
	SetUpWritten()
	// Answered reports the answer to an attempt, and returns whether the answer establishes the call.
	Answered(server control.ServerID, id string, attempt int, description string) bool
	// AttemptEnded reports the outcome of an attempt that has not established its call.
	AttemptEnded(server control.ServerID, id string, attempt int, o control.Outcome, noLine bool, report []float64)
	// Released reports the release of a call by a dispatcher. The attempt is the one on whose connection it arrived; noAttempt if there is
	// none.
	Released(server control.ServerID, id string, attempt, cause int, report []float64)
	// ReleasedOnOtherConnection is like Released, for a release on another connection than that of the answer. It returns whether the call
	// continues there.
	ReleasedOnOtherConnection(server control.ServerID, id string, cause int, report []float64) (continues bool)
	// LoadReported reports a load report that belongs to no attempt.
	LoadReported(server control.ServerID, report []float64)
	// DispatcherFailed reports that a dispatcher has stopped or counts as lost.
	DispatcherFailed(server control.ServerID)
	// CallsFailed is like DispatcherFailed, for some of the calls that are established at a dispatcher.
	CallsFailed(server control.ServerID, ids []string)
	// ContinuesAt reports whether a call is known to be established at the very process of a dispatcher that its new entry of the list
	// describes.
	ContinuesAt(entry call.Server, id string) bool
	// EstablishedCount returns the number of calls established at a dispatcher.
	EstablishedCount(server control.ServerID) int
	// EstablishedAt returns the ids of those calls.
	EstablishedAt(server control.ServerID) iter.Seq[string]
	// EachEstablished calls f for each established call, in no particular order.
	EachEstablished(f func(server control.ServerID))
}

// Options are the settings of a Pool.
type Options struct {
	ConnectTimeout time.Duration
	ReportFields   []string // names of the fields of load reports
	Log            *slog.Logger
}

// Pool manages the connections to all dispatchers.
type Pool struct {
	Options
	core                Core
	loop                *call.Loop
	dial                dialer
	servers             map[control.ServerID]*server
	order               []*server
	maxConns            int    // maximum number of connections per dispatcher
	lastConnNumber      uint64 // number of the last connection that was opened, counted from 1
	sockets             socketUsage
	connected           map[*server]struct{} // dispatchers with connections, including half-closed ones
	establishedMarkedAt time.Time            // time at which the dispatchers with established calls were last marked active
	active              []*server            // dispatchers to visit in the next check
	dialQueue           dialQueue            // dispatchers without a connection that no call needs
	byAddress           map[string][]*server // dispatchers by address
	dirty               []*connection        // connections written to since the last Flush
}

// New returns an empty Pool.
func New(loop *call.Loop, core Core, o Options) *Pool {
	p := &Pool{Options: o, core: core, loop: loop, dial: dialTCP(loop), servers: map[control.ServerID]*server{},
		byAddress: map[string][]*server{}, connected: map[*server]struct{}{}, maxConns: MaxConnections}
	p.check()
	return p
}

// Reconfigure changes the settings of the pool and of its connections.
func (p *Pool) Reconfigure(connectTimeout time.Duration, fields []string) {
	p.ConnectTimeout, p.ReportFields = connectTimeout, fields
}

// SetMaxConnections sets the maximum number of connections per dispatcher. Idle connections beyond it are closed.
func (p *Pool) SetMaxConnections(connections int) {
	p.maxConns = connections
	for s := range p.connected {
		s.closeExcess()
	}
}

// SetUp places an attempt.
func (p *Pool) SetUp(id control.ServerID, a call.SetUp) {
	s := p.servers[id]
	if s == nil || s.replaced {
		p.core.AttemptEnded(id, a.ID, a.Attempt, control.Unreachable, false, nil)
		return
	}
	s.demand.Observe(time.Now(), s.openSetUps()+len(s.waiting)+1)
	if c := s.connWithRelease(a.ID); c != nil && len(s.releases) == 0 {
		c.setUp(a)
		return
	}
	now := time.Now()
	c := s.leastLoaded(a.ID)
	if c != nil && len(s.releases) == 0 && (c.healthy(now) || !s.ensureCapacity(now)) {
		c.setUp(a)
		return
	}
	s.waiting = append(s.waiting, waitingSetUp{a, now, now.Add(p.ConnectTimeout)})
	p.markActive(s)
	s.connect()
}

// CancelAttempt cancels an attempt, and reports whether nothing of it was sent, and nothing will be.
func (p *Pool) CancelAttempt(id control.ServerID, callID string, attempt int) (neverSent bool) {
	s := p.servers[id]
	if s == nil {
		return false
	}
	waits := func(w waitingSetUp) bool { return w.ID == callID }
	neverSent = slices.ContainsFunc(s.waiting, waits)
	s.waiting = slices.DeleteFunc(s.waiting, waits)
	for _, c := range s.conns {
		if setUp := c.setUps[callID]; setUp != nil && setUp.attempt == attempt && setUp.cancelledAt.IsZero() {
			neverSent = c.cancelSetUp(callID, setUp)
		}
	}
	return neverSent
}

// Reconnect opens one more connection to a dispatcher, after a short delay that combines several requests. If the dispatcher has the
// maximum number of connections, an idle one is closed first.
func (p *Pool) Reconnect(id control.ServerID) {
	if s := p.servers[id]; s != nil {
		s.requestRenewal()
	}
}

// NoUnreadInput reports whether the event loop has received all that dispatchers have sent, as far as it may be. Dispatchers without
// established calls and open set-ups are not considered, as nothing that they send needs to be awaited.
func (p *Pool) NoUnreadInput() bool {
	return !slices.ContainsFunc(p.active, func(s *server) bool {
		return slices.ContainsFunc(s.conns, func(c *connection) bool { return c.conn.HasUnreadInput() })
	})
}

// Flush sends what was written since the last Flush.
func (p *Pool) Flush() {
	dirty := p.dirty
	p.dirty = nil
	for _, c := range dirty {
		c.dirty = false
		c.conn.Flush()
	}
}
