// Package dispatchers keeps the connections to dispatchers and places attempts over them.
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
	// MaxConnections is how many connections a dispatcher is given at most; it takes four. How many it is worth by now
	// is decided in decide/links.
	MaxConnections = 4
	// checkInterval is the pace at which dispatchers are looked at that something is to be done for.
	checkInterval = 100 * time.Millisecond
	// messageTimeout is how long a message may take to become whole: a dispatcher writes it in one go.
	messageTimeout = 250 * time.Millisecond
	// overtakenAfter is how much later than a set-up another one must have been sent that has its answer already. A
	// dispatcher's processor takes them in turn, so this is far more than they differ by.
	overtakenAfter = 250 * time.Millisecond
	// silenceThreshold without a word where calls are held has a new connection tried: a machine that has vanished leaves
	// the old ones open.
	silenceThreshold = 2500 * time.Millisecond
	// probeTimeout is how long a dispatcher that has long been silent, and refuses connections or is off the list, has to answer a probe. What
	// it had must be released within 8 s of its end.
	probeTimeout = time.Second
	// silenceTimeout is the silence after which, with no new connection coming up, calls are held no more. A call's end
	// may stay untold for 8 s.
	silenceTimeout = 5 * time.Second
	// cancelledRetention is how long a withdrawn attempt is kept for the answer that its dispatcher may still send.
	cancelledRetention = 10 * time.Second
	// halfCloseTimeout is how long a connection that is given up is still read, unless its dispatcher closes it first. One that stands still for
	// a while has not seen the end yet: as it goes on, it may tell the end of a call there before it does, and tells it again only on the
	// next connection that opens after that. What stands still for longer is no more (silenceTimeout).
	halfCloseTimeout = silenceTimeout
	// evictedReadTimeout is as much where its descriptor is wanted: a dispatcher that lives has closed it by then.
	evictedReadTimeout = 50 * time.Millisecond
	// responseTimeout is how long a dispatcher is given to close its side of a connection that is given up here, or to answer what takes a
	// set-up back. One that lives does so at once. After that, ends may be told there in vain: each must come within 8 s all the same, the
	// silenceTimeout included in which a connection with nothing to do is found out.
	responseTimeout = time.Second
	// unresponsiveAfter is how long after the end of a set-up nothing may have come on a connection before it is given up.
	unresponsiveAfter = 100 * time.Millisecond
	// unansweredWeight is how many open set-ups one counts for that was given up without an answer.
	unansweredWeight = 8
	// maxUnknownReleases bounds the releases of calls that nothing is known of, of which anybody may send any number, as they wait for a
	// connection. Those of calls that stood need no bound: no more can stand before there is one.
	maxUnknownReleases = 1024
	// releaseBatchSize is how many of those go out in one turn: they, and what their dispatcher says to them, must not close the connection
	// as too slow or too fast.
	releaseBatchSize = 256
	// minConnLifetime is how early a connection ends that counts as one that never came up: a dispatcher that closes whatever is new is not
	// dialled without pause.
	minConnLifetime = 100 * time.Millisecond
)

// Core is what the connections report to; *call.Core is one.
type Core interface {
	// DispatcherReached tells that calls can be placed at some dispatcher.
	DispatcherReached()
	// SetUpWritten tells that all of a set-up has gone to a dispatcher.
	SetUpWritten()
	// Answered reports whether the call is established by the answer.
	Answered(server control.ServerID, id string, attempt int, description string) bool
	AttemptEnded(server control.ServerID, id string, attempt int, o control.Outcome, noLine bool, report []float64)
	Released(server control.ServerID, id string, attempt, cause int, report []float64)
	// ReleasedOnOtherConnection is Released on another connection than that of the answer. It reports whether the call goes on there.
	ReleasedOnOtherConnection(server control.ServerID, id string, cause int, report []float64) (goesOn bool)
	LoadReported(server control.ServerID, report []float64)
	DispatcherFailed(server control.ServerID)
	EstablishedCount(server control.ServerID) int
	// EstablishedAt names those calls.
	EstablishedAt(server control.ServerID) iter.Seq[string]
	// EachEstablished calls f for each call that stands, in no order.
	EachEstablished(f func(server control.ServerID))
}

// Options are the settings of a Pool.
type Options struct {
	ConnectTimeout time.Duration
	ReportFields   []string // of load reports
	Log            *slog.Logger
}

// Pool is all dispatchers.
type Pool struct {
	Options
	core                Core
	loop                *call.Loop
	dial                dialer
	servers             map[control.ServerID]*server
	order               []*server
	maxConns            int    // that each may be given
	lastConnNumber      uint64 // connections so far: the number of the last one
	sockets             socketUsage
	connected           map[*server]struct{} // those with connections, half-closed ones among them
	establishedMarkedAt time.Time            // when those were touched at which calls stand
	active              []*server            // to be looked at with the next check
	dialQueue           dialQueue            // those without a connection that no call needs
	byAddress           map[string][]*server // by address
	dirty               []*connection        // that were written to since the last Flush
}

// New returns an empty Pool.
func New(loop *call.Loop, core Core, o Options) *Pool {
	p := &Pool{Options: o, core: core, loop: loop, dial: dialTCP(loop), servers: map[control.ServerID]*server{}, byAddress: map[string][]*server{}, connected: map[*server]struct{}{}, maxConns: MaxConnections}
	p.check()
	return p
}

// Reconfigure gives the pool, and the connections it has, other settings.
func (p *Pool) Reconfigure(connectTimeout time.Duration, fields []string) {
	p.ConnectTimeout, p.ReportFields = connectTimeout, fields
}

// SetMaxConnections sets how many connections each dispatcher may be given. Beyond them, those go that have nothing to do.
func (p *Pool) SetMaxConnections(links int) {
	p.maxConns = links
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

// CancelAttempt gives up an attempt.
func (p *Pool) CancelAttempt(id control.ServerID, callID string, attempt int) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingSetUp) bool { return w.ID == callID })
	for _, c := range s.conns {
		if setUp := c.setUps[callID]; setUp != nil && setUp.attempt == attempt && setUp.cancelledAt.IsZero() {
			c.cancelSetUp(callID, setUp)
		}
	}
}

// Reconnect opens one more connection to a dispatcher, soon: others that ask meanwhile are served by the same. Where there are as many as there
// may be, one that has nothing to do makes room.
func (p *Pool) Reconnect(id control.ServerID) {
	if s := p.servers[id]; s != nil {
		s.requestRenewal()
	}
}

// NoUnreadInput reports whether all that dispatchers have sent is with the loop, as far as it may be. Those at which nothing stands and nothing is
// open have nothing to say that could be waited for.
func (p *Pool) NoUnreadInput() bool {
	return !slices.ContainsFunc(p.active, func(s *server) bool {
		return slices.ContainsFunc(s.conns, func(c *connection) bool { return c.conn.Unread() })
	})
}

// Flush sends what was written since the last time.
func (p *Pool) Flush() {
	dirty := p.dirty
	p.dirty = nil
	for _, c := range dirty {
		c.dirty = false
		c.conn.Flush()
	}
}
