// Package dispatchers keeps the connections to dispatchers and places attempts over them.
package dispatchers

import (
	"errors"
	"iter"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/conn"
	"cherryrelay/internal/decide/links"
)

const (
	// MaxLinks is how many connections a dispatcher is given at most; it takes four. How many it is worth by now
	// is decided in decide/links.
	MaxLinks = 4
	// checkEvery is the pace of the look at every dispatcher.
	checkEvery = 100 * time.Millisecond
	// wholeWithin is how long a message may take to become whole: a dispatcher writes it in one go.
	wholeWithin = 250 * time.Millisecond
	// overtakenBy is how much later than a set-up another one must have been sent that has its answer already. A
	// dispatcher's processor takes them in turn, so this is far more than they differ by.
	overtakenBy = 250 * time.Millisecond
	// silence without a word where calls are held has a new connection tried: a machine that has vanished leaves
	// the old ones open.
	silence = 2500 * time.Millisecond
	// deadAfter is the silence after which, with no new connection coming up, calls are held no more. A call's end
	// may stay untold for 8 s.
	deadAfter = 5 * time.Second
	// forgetAfter is how long a withdrawn attempt is kept for the answer that its dispatcher may still send.
	forgetAfter = 10 * time.Second
	// lingerFor is how long a connection that is given up is still read, unless its dispatcher closes it first. One that stands still for
	// a while has not seen the end yet: as it goes on, it may tell the end of a call there before it does, and tells it again only on the
	// next connection that opens after that. What stands still for longer is no more (deadAfter).
	lingerFor = deadAfter
	// closesWithin is how long a dispatcher is given to close its side of a connection that is given up here, or to answer what takes a
	// set-up back. One that lives does so at once. After that, ends may be told there in vain: each must come within 8 s all the same, the
	// deadAfter included in which a connection with nothing to do is found out.
	closesWithin = time.Second
	// tellAgain is the pace of new connections, on each of which a dispatcher tells once more what it has told since the last, while it may
	// still tell ends on one that is dead. It must be well below 8 s.
	tellAgain = 5 * time.Second
	// muteFor is how long after the end of a set-up nothing may have come on a connection before it is given up.
	muteFor = 100 * time.Millisecond
	// owedWeight is how many open set-ups one counts for that was given up without an answer.
	owedWeight = 8
	// maxReleases bounds the releases of calls that nothing is known of, of which anybody may send any number, as they wait for a
	// connection. Those of calls that stood need no bound: no more can stand before there is one.
	maxReleases = 1024
	// releasesAtOnce is how many of those go out in one turn: they, and what their dispatcher says to them, must not close the connection
	// as too slow or too fast.
	releasesAtOnce = 256
	// endsAtOnce is how early a connection ends that counts as one that never came up: a dispatcher that closes whatever is new is not
	// dialled without pause.
	endsAtOnce = 100 * time.Millisecond
)

// Core is what the connections report to; *call.Core is one.
type Core interface {
	// Reached tells that calls can be placed at some dispatcher.
	Reached()
	// Written tells that all of a set-up has gone to a dispatcher.
	Written()
	Answered(server control.ServerID, id string, attempt int, description string)
	Ended(server control.ServerID, id string, attempt int, o control.Outcome, noLine bool, report []float64)
	Released(server control.ServerID, id string, attempt, cause int, report []float64)
	Reported(server control.ServerID, report []float64)
	Died(server control.ServerID)
	Standing(server control.ServerID) int
	// StandAt names those calls.
	StandAt(server control.ServerID) iter.Seq[string]
	// EachStanding calls f for each call that stands, in no order.
	EachStanding(f func(server control.ServerID))
}

// Options are the settings of a Pool.
type Options struct {
	ConnectTimeout time.Duration
	Fields         []string // of load reports
	Log            *slog.Logger
}

// Pool is all dispatchers.
type Pool struct {
	Options
	core      Core
	loop      *call.Loop
	servers   map[control.ServerID]*server
	order     []*server
	links     int // that each may be given
	sockets   sockets
	linked    map[*server]struct{} // those with connections, half-closed ones among them
	touchedAt time.Time            // when those were touched at which calls stand
	active    []*server            // to be looked at with the next check
	ahead     aheadQueue           // those without a connection that no call needs
	at        map[string][]*server // by address
	dirty     []*link              // that were written to since the last Flush
}

// New returns an empty Pool.
func New(loop *call.Loop, core Core, o Options) *Pool {
	p := &Pool{Options: o, core: core, loop: loop, servers: map[control.ServerID]*server{}, at: map[string][]*server{}, linked: map[*server]struct{}{}, links: MaxLinks}
	p.check()
	return p
}

// Retune gives the pool, and the connections it has, other settings.
func (p *Pool) Retune(connectTimeout time.Duration, fields []string) {
	p.ConnectTimeout, p.Fields = connectTimeout, fields
}

// Limit sets how many connections each dispatcher may be given. Beyond them, those go that have nothing to do.
func (p *Pool) Limit(links int) {
	p.links = links
	for s := range p.linked {
		s.trim()
	}
}

// trim closes connections beyond the limit, as far as no set-up is open on them. A call that stands needs none of its own.
func (s *server) trim() {
	for _, l := range slices.Clone(s.links) {
		if len(s.links) <= s.pool.links {
			return
		}
		if l.open() == 0 {
			s.letGo(l)
		}
	}
}

// letGo gives up a connection that has nothing to do. An end may be on its way there, and its dispatcher may reset it in the moment in
// which it closes: while calls stand, another connection brings what has been told since.
func (s *server) letGo(l *link) {
	reason := conn.ErrClosedHere
	if s.pool.core.Standing(s.ID) > 0 {
		reason = errDead
	}
	l.retire(reason)
}

// server is one dispatcher and the connections to it.
type server struct {
	call.Server
	pool       *Pool
	links      []*link
	renewAt    time.Time       // when one more connection is due, however many there are; zero if none is
	lingering  []*link         // given up, and still read; MaxLinks at most
	doubtful   map[string]bool // calls that stood as a connection was given up: their ends may be told there, in vain
	doubtAt    time.Time       // when their ends are to be told on a new connection
	unclosed   bool            // there was one that the dispatcher never closed
	dialing    bool
	backoff    links.Backoff
	waiting    []waiting
	heardAt    time.Time
	answered   time.Time // when the latest set-up was sent that has an answer
	answeredAt time.Time // when a call last came to stand here
	unanswered bool      // the last connection tried did not come up in time
	replaced   bool      // another dispatcher has its address now
	releases   []release
	demand     links.Demand

	active       bool      // it is looked at with the next check
	queued       bool      // it is in the queue of those that no call needs
	due          time.Time // there
	starved      bool      // room is being made for a connection
	withoutSince time.Time // when it last came to have no open connection
}

// waiting is an attempt for which there is no connection yet.
type waiting struct {
	call.SetUp
	since, until time.Time
}

// due is the set-up as it is to be sent by now; not ok if its time has passed. What it tells its dispatcher is how long the
// controller will wait: told the whole limit, the dispatcher would still have it out when the controller has given it up,
// and the next attempt would come before the end of the guard.
func (w *waiting) due(now time.Time) (a call.SetUp, ok bool) {
	a = w.SetUp
	a.Limit -= max(now.Sub(w.since), 0)
	return a, a.Limit > 0
}

// release is one that no connection was open for.
type release struct {
	id    string
	cause int
}

// Update takes in changes of the list.
func (p *Pool) Update(u call.Update) {
	now := time.Now()
	named := map[control.ServerID]bool{}
	for _, entry := range u.Servers {
		named[entry.ID] = true
		s := p.servers[entry.ID]
		if s == nil {
			s = &server{Server: entry, pool: p, heardAt: now, withoutSince: now}
			p.servers[entry.ID] = s
			p.order = append(p.order, s)
			p.at[s.Address] = append(p.at[s.Address], s)
		}
		p.touch(s)
		restarted := entry.StartedAt != 0 && entry.StartedAt != s.StartedAt
		moved := entry.Address != "" && entry.Address != s.Address
		if entry.Address == "" {
			entry.Address = s.Address
		}
		if s.Status == control.Removed && entry.Status != control.Removed {
			s.heardAt = now
		}
		if restarted || moved || s.Status != control.Active && entry.Status == control.Active {
			s.backoff.Reset()
		}
		if moved {
			p.leave(s)
			p.at[entry.Address] = append(p.at[entry.Address], s)
		}
		s.Server = entry
		if restarted || moved {
			// Its calls went with the old process, and old connections may look open still.
			p.Log.Info("dispatcher began anew", "server", s.ID)
			s.drop(errors.New("dispatcher began anew"))
			p.core.Died(s.ID)
		}
		if entry.Status != control.Removed {
			for _, o := range p.at[s.Address] { // a new dispatcher may have the address of one that has gone
				if o != s {
					o.replaced = true
					p.touch(o)
				}
			}
			s.replaced = false
			if len(s.links) == 0 { // each event that named it opened one more, up to four
				s.connect()
			}
		}
	}
	if u.Whole {
		for _, s := range p.order {
			if !named[s.ID] {
				s.Status = control.Removed
				p.touch(s)
			}
		}
	}
	for _, s := range p.active {
		if s.Status != control.Active {
			s.callBack()
		}
	}
}

// leave forgets where a dispatcher is.
func (p *Pool) leave(s *server) {
	there := slices.DeleteFunc(p.at[s.Address], func(o *server) bool { return o == s })
	if p.at[s.Address] = there; len(there) == 0 {
		delete(p.at, s.Address)
	}
}

// callBack takes back what has not gone out to a dispatcher that drains or is gone: set-ups that wait for a connection, which may come
// up after the time in which the last may arrive there, and those that lie in a queue. They go elsewhere at once, as never sent.
func (s *server) callBack() {
	waited := s.waiting
	s.waiting = nil
	for _, w := range waited {
		s.pool.core.Ended(s.ID, w.ID, w.Attempt, control.NotSent, false, nil)
	}
	for _, l := range s.links {
		for _, id := range slices.Sorted(maps.Keys(l.invites)) {
			if i := l.invites[id]; i.withdrawn.IsZero() && l.conn.Recall(i.ticket) {
				delete(l.invites, id)
				s.pool.core.Ended(s.ID, id, i.attempt, control.NotSent, false, nil)
			}
		}
	}
}

func (s *server) check(now time.Time) {
	silent := now.Sub(s.heardAt)
	switch {
	case s.gone():
		// The register may be ahead of the process: it is let go when it is quiet.
		if len(s.links) == 0 || silent > silence {
			s.drop(errors.New("dispatcher is gone"))
			s.pool.core.Died(s.ID)
		}
		return
	case silent > deadAfter && s.unanswered && s.holds(): // also where all connections were given up before: as each was mute
		s.pool.Log.Warn("dispatcher is silent", "server", s.ID, "for", silent)
		s.drop(errors.New("dispatcher is silent"))
		s.pool.core.Died(s.ID)
		return
	case len(s.links) == 0:
		if s.purpose(now) >= links.Standing {
			s.connect()
		}
	case len(s.links) < s.wanted(now) && silent <= silence: // also to one that drains: a new one brings the releases of a lost one
		s.connect()
	case silent > silence && s.holds():
		s.connect()
	}
	for _, l := range slices.Clone(s.links) {
		for id, i := range l.invites {
			if !i.withdrawn.IsZero() && now.Sub(i.withdrawn) > forgetAfter {
				delete(l.invites, id) // its dispatcher will say nothing more of it
			}
		}
		if l.overtaken() || l.open() == 0 && l.mute(now) {
			s.pool.Log.Warn("connection to dispatcher is open but dead", "server", s.ID, "open", l.open())
			l.retire(errDead)
			continue
		}
		if l.open() == 0 && s.heardAt.Sub(l.heardAt) > deadAfter {
			s.letGo(l) // the others are alive, and this one has nothing to do
		}
	}
	s.trim()
	s.settleDoubts(now)
	s.renew(now)
	if l := s.best(); l != nil && len(s.releases) > 0 {
		s.serve(l)
	}
	s.expire(now)
}

// expire tells of attempts that no connection came up for: they never ran.
func (s *server) expire(now time.Time) {
	for len(s.waiting) > 0 && (now.After(s.waiting[0].until) || now.IsZero()) {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.pool.core.Ended(s.ID, w.ID, w.Attempt, control.Unreachable, false, nil)
	}
}

// gone reports whether nothing is to be expected of a dispatcher any more: its place is another's, or it is off the list. One
// that people left out, and whose calls may go on, is kept until they have ended.
func (s *server) gone() bool {
	return s.replaced || s.Status == control.Removed && !(s.Lingers && s.pool.core.Standing(s.ID) > 0)
}

// wanted is how many connections there should be.
func (s *server) wanted(now time.Time) int {
	return s.demand.Wanted(now, s.oldestUnheard(now), s.pool.links)
}

// oldestUnheard is the age of the oldest open set-up since which nothing has come on its connection.
func (s *server) oldestUnheard(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, l := range s.links {
		for _, i := range l.invites {
			if i.withdrawn.IsZero() && l.heardAt.Before(i.sentAt) {
				oldest = max(oldest, now.Sub(i.sentAt))
			}
		}
	}
	return oldest
}

// holds reports whether a dispatcher has anything to say: set-ups are open at it, or calls stand.
func (s *server) holds() bool { return s.openSetUps() > 0 || s.pool.core.Standing(s.ID) > 0 }

func (s *server) openSetUps() int {
	n := 0
	for _, l := range s.links {
		n += l.open()
	}
	return n
}

// connect opens one more connection if that is allowed now.
func (s *server) connect() {
	now := time.Now()
	if s.dialing || s.gone() || len(s.links) >= s.pool.links || !s.pool.admit(s, now) {
		return
	}
	s.dialing = true
	s.pool.sockets.held++
	s.pool.sockets.dials++
	address := s.Address
	dial, wire := Place(address, &s.pool.Fields)
	var l *link
	handler := func(c *conn.Conn) conn.Handler {
		now := time.Now()
		l = &link{server: s, conn: c, wire: wire, invites: map[string]*invite{}, openedAt: now, heardAt: now, since: now, usedAt: now}
		return socket{l}
	}
	conn.Dial(s.pool.loop, dial, s.pool.ConnectTimeout, handler, func(err error) {
		s.dialing = false
		s.pool.touch(s)
		if err != nil {
			s.refused(err)
			s.pool.released(false)
			return
		}
		if s.Address != address || s.gone() {
			l.conn.Close(conn.ErrClosedHere)
			return
		}
		s.opened(l)
	})
}

func (s *server) refused(err error) {
	if errors.Is(err, conn.ErrNoSocket) { // says nothing of the dispatcher
		s.backoff.Fail(time.Now(), rand.Float64())
		s.pool.Log.Warn("no descriptor for a connection", "server", s.ID, "err", err)
		return
	}
	s.backoff.Fail(time.Now(), rand.Float64())
	s.unanswered = !errors.Is(err, conn.ErrRefused)
	s.pool.Log.Info("no connection", "server", s.ID, "err", err)
	if len(s.links) > 0 && (s.unanswered || time.Since(s.heardAt) <= silence) {
		return
	}
	if len(s.links) > 0 && !s.holds() {
		return // it has nothing to say
	}
	if !s.unanswered {
		// Nothing listens, and every connection is gone or has long been silent: a process that stops at the end of
		// its drain may leave its connections open. It is no more, and its calls with it.
		s.drop(errors.New("dispatcher has stopped"))
		s.pool.core.Died(s.ID)
		return
	}
	s.expire(time.Time{})
}

// track notes whether the dispatcher has connections.
func (s *server) track() {
	if len(s.links)+len(s.lingering) > 0 {
		s.pool.linked[s] = struct{}{}
	} else {
		delete(s.pool.linked, s)
	}
}

func (s *server) opened(l *link) {
	s.backoff.Reset()
	s.unanswered = false
	s.links = append(s.links, l)
	s.track()
	l.send(l.wire.Hello())
	l.conn.Flush()
	if l.ready() {
		s.ready(l) // it goes out at the end of the turn: who has left meanwhile is seen before
	}
}

// ready tells that calls can be placed.
func (s *server) ready(l *link) {
	s.pool.core.Reached()
	s.serve(l)
}

// serve sends what has waited for a connection. Releases go first: a set-up under the same id is not to be ended by one. Of many, some
// go at once; the rest comes with the next look at the dispatcher.
func (s *server) serve(l *link) {
	if l.conn.Unsent() > 0 && len(s.releases) > 0 {
		return // it has not taken the last ones yet
	}
	some := s.releases[:min(len(s.releases), releasesAtOnce)]
	for _, r := range some {
		l.send(l.wire.Release(r.id, r.cause))
	}
	if s.releases = s.releases[len(some):]; len(s.releases) > 0 {
		return
	}
	s.releases = nil
	waited := s.waiting
	s.waiting = nil
	for _, w := range waited {
		if a, ok := w.due(time.Now()); ok {
			l.setUp(a)
		} else {
			s.pool.core.Ended(s.ID, w.ID, w.Attempt, control.Unreachable, false, nil)
		}
	}
}

// drop closes all connections and ends what was under way.
func (s *server) drop(reason error) {
	for _, l := range slices.Clone(s.links) {
		l.conn.Close(reason)
		l.Closed(reason)
	}
	s.expire(time.Time{})
	s.releases, s.doubtful, s.unclosed = nil, nil, false
}

// best is the connection that was heard from last.
func (s *server) best() *link {
	var best *link
	for _, l := range s.links {
		if l.ready() && l.partial.IsZero() && (best == nil || l.heardAt.After(best.heardAt)) {
			best = l
		}
	}
	return best
}

// least is the connection for a set-up: the one with the fewest, so that little is lost with any. An attempt does not
// follow an earlier one of its call on the same connection, where a late answer to that could be taken for its own.
func (s *server) least(id string) *link {
	var least *link
	now := time.Now()
	for i, l := range s.links {
		if !l.ready() || !l.partial.IsZero() || l.invites[id] != nil || i >= s.pool.links { // beyond those, one is to go

			continue
		}
		if least == nil || l.sound(now) && !least.sound(now) || l.sound(now) == least.sound(now) && l.load() < least.load() {
			least = l
		}
	}
	return least
}

// room reports whether one more connection may be opened. One that has long been silent and has nothing to do makes room.
func (s *server) room(now time.Time) bool {
	if len(s.links) < s.pool.links {
		return true
	}
	for _, l := range s.links {
		if l.open() == 0 && !l.sound(now) {
			l.retire(conn.ErrClosedHere)
			return true
		}
	}
	return false
}

// SetUp places an attempt.
func (p *Pool) SetUp(id control.ServerID, a call.SetUp) {
	s := p.servers[id]
	if s == nil || s.replaced {
		p.core.Ended(id, a.ID, a.Attempt, control.Unreachable, false, nil)
		return
	}
	s.demand.Note(time.Now(), s.openSetUps()+len(s.waiting)+1)
	now := time.Now()
	l := s.least(a.ID)
	if l != nil && len(s.releases) == 0 && (l.sound(now) || !s.room(now)) {
		l.setUp(a)
		return
	}
	s.waiting = append(s.waiting, waiting{a, now, now.Add(p.ConnectTimeout)})
	p.touch(s)
	s.connect()
}

// Withdraw gives up an attempt.
func (p *Pool) Withdraw(id control.ServerID, callID string, attempt int) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool { return w.ID == callID })
	for _, l := range s.links {
		if i := l.invites[callID]; i != nil && i.attempt == attempt && i.withdrawn.IsZero() {
			l.withdraw(callID, i)
		}
	}
}

// Release cuts a call that stands.
func (p *Pool) Release(id control.ServerID, callID string, cause int) {
	for _, s := range p.order {
		if id != "" && s.ID != id || s.gone() && len(s.links) == 0 {
			continue
		}
		if l := s.best(); l != nil && len(s.releases) == 0 {
			l.send(l.wire.Release(callID, cause))
		} else if id != "" || len(s.releases) < maxReleases {
			s.releases = append(s.releases, release{callID, cause})
			p.touch(s)
		}
	}
}

// Renew opens one more connection to a dispatcher, soon: others that ask meanwhile are served by the same. Where there are as many as there
// may be, one that has nothing to do makes room.
func (p *Pool) Renew(id control.ServerID) {
	if s := p.servers[id]; s != nil && s.renewAt.IsZero() {
		s.renewAt = time.Now().Add(checkEvery)
		p.touch(s)
	}
}

// doubt notes calls whose ends may be told on a connection that was given up, unless the dispatcher closes that soon.
func (s *server) doubt(calls iter.Seq[string]) {
	if len(s.doubtful) == 0 {
		s.doubtful, s.doubtAt = map[string]bool{}, time.Now().Add(closesWithin)
	}
	for id := range calls {
		s.doubtful[id] = true
	}
}

// settleDoubts opens new connections, one at a time, for the ends of calls in doubt, for as long as one of them stands. Once the
// dispatcher has closed all that was given up, it tells them elsewhere by itself.
func (s *server) settleDoubts(now time.Time) {
	if len(s.doubtful) == 0 || now.Before(s.doubtAt) {
		return
	}
	if len(s.lingering) == 0 && !s.unclosed {
		s.doubtful = nil
		return
	}
	standing := map[string]bool{}
	for id := range s.pool.core.StandAt(s.ID) {
		standing[id] = s.doubtful[id]
	}
	maps.DeleteFunc(s.doubtful, func(id string, _ bool) bool { return !standing[id] })
	if len(s.doubtful) == 0 {
		s.unclosed = false
		return
	}
	s.pool.Renew(s.ID)
	s.doubtAt = now.Add(tellAgain)
}

// renew does what Renew asked for.
func (s *server) renew(now time.Time) {
	if s.renewAt.IsZero() || now.Before(s.renewAt) || s.dialing {
		return
	}
	if len(s.links) >= s.pool.links {
		idle := slices.IndexFunc(s.links, func(l *link) bool { return l.open() == 0 })
		if idle < 0 {
			return // later
		}
		s.links[idle].retire(conn.ErrClosedHere)
	}
	if s.connect(); s.dialing {
		s.renewAt = time.Time{}
	}
}

// Probe asks a dispatcher for a report.
func (p *Pool) Probe(id control.ServerID) {
	if s := p.servers[id]; s != nil {
		if l := s.best(); l != nil {
			l.send(l.wire.Probe())
		}
	}
}

// Heard reports whether all that dispatchers have sent is with the loop, as far as it may be. Those at which nothing stands and nothing is
// open have nothing to say that could be waited for.
func (p *Pool) Heard() bool {
	return !slices.ContainsFunc(p.active, func(s *server) bool {
		return slices.ContainsFunc(s.links, func(l *link) bool { return l.conn.Unread() })
	})
}

// Flush sends what was written since the last time.
func (p *Pool) Flush() {
	dirty := p.dirty
	p.dirty = nil
	for _, l := range dirty {
		l.dirty = false
		l.conn.Flush()
	}
}
