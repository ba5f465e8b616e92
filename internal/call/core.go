package call

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"

	"cherryrelay/control"
	"cherryrelay/internal/decide/recovery"
	"cherryrelay/internal/settings"
	"cherryrelay/internal/telemetry"
)

const (
	// early is how long before a caller's limit the last attempt is withdrawn and the answer given, so that the
	// answer is not overtaken by the limit.
	early = 25 * time.Millisecond
	// last is how long before that limit a call is answered come what may.
	last = 3 * time.Millisecond
	// remember is how long an ended call is known, so that what comes late or twice is not passed on.
	remember = 20 * time.Second
	// heritage is how long after the start calls may still stand that an earlier process set up, for callers to end.
	heritage = time.Minute
	// lateArrivals is how long after SIGTERM new set-ups may still arrive.
	lateArrivals = 700 * time.Millisecond
	// killAfter and killMost bound the time from SIGTERM to SIGKILL: the longest deadline, of which no more than
	// killMost counts, and killAfter. What was taken is answered inReserve before.
	killAfter = 700 * time.Millisecond
	killMost  = 3 * time.Second
	// killMostSuperseded is as much for a process that has a successor.
	killMostSuperseded = 5 * time.Second
	inReserve          = 400 * time.Millisecond
	// maxOpen is how many set-ups may be open on one connection; callers were seen with six.
	maxOpen = 256
	// heldShare of the memory is what descriptions of open set-ups may take, of all connections together.
	heldShare = 1.0 / 16
	// turns bounds how often the module is asked in one round of the loop for what its own actions led to.
	turns = 8
)

type state int

const (
	open   state = iota // owed a final answer
	stands              // answered
	over
)

// record is what is known of one call.
type record struct {
	Request
	state    state
	attempts int
	out      bool // an attempt is under way
	server   control.ServerID
	sentAt   time.Time
	timer    *Timer // of the attempt
	limit    *Timer // of the caller
	overAt   time.Time

	// Of calls that can be resumed, and of those that an earlier process had.
	answer    string        // what the dispatcher gave
	end       End           // how it ended
	told      Caller        // who had its final answer
	orphan    *Timer        // when it is given up, or released, unless its caller comes
	notBefore time.Duration // no attempt before that, on the clock of now
	parked    bool          // the module does not know it yet: it waits for its caller
	moving    bool          // it is being given to another controller
	ranSince  time.Time     // of the first attempt that may have run, with a selection; zero for none
	place     *recovery.Call
}

// Core is the call controller without any wire. Its methods run on its loop.
type Core struct {
	loop         *Loop
	log          *slog.Logger
	decisions    control.Settings
	module       *control.Controller
	dispatchers  Dispatchers
	fronts       []Front
	flush        []func()
	calls        map[string]*record
	owing        map[Caller]map[string]*record // the open ones, by who waits for them
	standing     map[Caller]int
	ended        []*record // in the order of their ends
	owed         int
	held         int // bytes of the descriptions of open set-ups
	maxHeld      int
	events       []control.Event
	status       map[control.ServerID]control.ServerStatus
	epoch        time.Time
	listed       bool
	wake         *Timer
	reached      bool
	waits        bool      // a predecessor still serves
	evacuated    time.Time // zero if callers are served
	superseded   time.Time // when a successor began to serve; zero without one
	relay        func(id string, end End) bool
	heir         *heir
	figures      telemetry.Figures
	asked        map[control.ServerID]asks
	durable      *durable // nil without a ledger
	lost         *lost
	passing      *passing // nil without other controllers
	places       map[control.ServerID]Server
	selection    *selection // nil where the whole list is connected to
	claims       []Claim    // that came while a predecessor had the calls
	releases     []*record  // calls of an earlier process to be released once there is a list
	unchecked    []*record  // those that stood, until there is one
	recovered    Recovered
	awaitsLedger bool
	parts        []func() []*dto.MetricFamily // figures of other parts
	draining     time.Time
	byItself     bool // the end is for the successor's sake: nobody asked for it
	left         bool
}

// New returns a Core on the loop.
func New(loop *Loop, log *slog.Logger, s *settings.Settings, seed uint64) (*Core, error) {
	decisions, err := s.Control()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	module, err := control.New(decisions, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Core{
		loop: loop, log: log, decisions: decisions, module: module, calls: map[string]*record{},
		owing: map[Caller]map[string]*record{}, standing: map[Caller]int{}, maxHeld: math.MaxInt, status: map[control.ServerID]control.ServerStatus{}, epoch: time.Now(),
		asked: map[control.ServerID]asks{},
	}
	c.heir, c.lost, c.places = &heir{c}, &lost{heir{c}}, map[control.ServerID]Server{}
	c.showClasses()
	loop.turn = c.turn
	return c, nil
}

// Loop is the loop that owns the core.
func (c *Core) Loop() *Loop { return c.loop }

// Log is the core's log.
func (c *Core) Log() *slog.Logger { return c.log }

// Serve names where calls are placed; it comes before the first list.
func (c *Core) Serve(d Dispatchers) { c.dispatchers = d }

// AddFront names a way in for callers.
func (c *Core) AddFront(f Front) { c.fronts = append(c.fronts, f) }

// Within bounds what is held for callers by the memory that the process has; 0 is no bound.
func (c *Core) Within(memory int64) {
	c.maxHeld = math.MaxInt
	if memory > 0 {
		c.maxHeld = int(heldShare * float64(memory))
	}
}

// OnFlush has f run at the end of each round, to send what was written in it.
func (c *Core) OnFlush(f func()) { c.flush = append(c.flush, f) }

func (c *Core) tell(e control.Event) { c.events = append(c.events, e) }

// --- Callers ---

// ErrRepeated is a set-up under the id of another that is open, or of a call that stands, on the same connection: there
// is no answer that could not be taken for the other's.
var ErrRepeated = errors.New("set-up under an id that is in use")

// Offer takes in a set-up. An error calls for the end of its connection.
func (c *Core) Offer(r Request) error {
	if old := c.calls[r.ID]; old != nil {
		if old.Caller == r.Caller && old.state != over {
			return ErrRepeated
		}
		// An id is never used again. Whoever sent this is no party to the call of that id, and must not go on to end it.
		c.log.Warn("set-up with a known id", "id", r.ID)
		c.end(&r, BadRequest)
		if old.state != over {
			return ErrRepeated
		}
		return nil
	}
	now := time.Now()
	k := &record{Request: r}
	class := c.class(r.Class)
	switch {
	case class < 0:
		c.log.Warn("set-up of an unknown class", "id", r.ID, "class", r.Class)
		c.end(&r, BadRequest)
		return nil
	case !r.Deadline.After(now):
		c.log.Debug("set-up past its time", "id", r.ID)
		c.end(&r, End{Cause: CauseTemporary, Reason: ReasonDeadline})
		return nil
	case len(c.owing[r.Caller]) >= maxOpen || c.held+len(r.Description) > c.maxHeld:
		c.log.Warn("too many set-ups are open", "id", r.ID)
		c.end(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
		return nil
	case !c.draining.IsZero() && !c.Superseded() && now.Sub(c.draining) > lateArrivals:
		c.end(&r, End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: c.holdOff()})
		return nil
	case c.Phase() == Refusing:
		c.end(&r, c.turnAway())
		return nil
	case c.durable != nil && c.durable.refuses():
		c.end(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
		return nil
	}
	c.calls[r.ID] = k
	c.owe(k)
	c.note(k, recovery.Took, nil)
	c.limit(k)
	c.offer(k, class)
	return nil
}

// TurnAway refuses a set-up whose connection there is no room for.
func (c *Core) TurnAway(r Request) {
	c.log.Warn("no room for another connection", "id", r.ID)
	c.end(&r, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: c.holdOff()})
}

// limit has a call answered at its caller's limit, come what may.
func (c *Core) limit(k *record) {
	// The module answers by itself. This is for what it could miss: a call must never be left without an answer.
	k.limit = c.loop.After(time.Until(k.Deadline)-last, func() {
		c.log.Warn("call without an answer at its limit", "id", k.ID)
		c.abandon(k)
		c.final(k, End{Cause: CauseCongestion, Reason: ReasonDeadline, HoldOff: c.holdOff()})
	})
}

// offer tells the module of a call.
func (c *Core) offer(k *record, class int) {
	c.selection.offered(k, c.decisions.Classes[class])
	c.tell(control.CallOffered{
		ID: control.CallID(k.ID), Class: class, Budget: time.Until(k.Deadline), Called: k.Called,
		FirstCell: k.FirstCell, Redial: k.Again, Attempts: k.attempts, NotBefore: k.notBefore,
	})
}

// class is the place of a class in the settings; -1 if there is none of that name.
func (c *Core) class(name string) int {
	return slices.IndexFunc(c.decisions.Classes, func(class control.Class) bool { return class.Name == name })
}

func (c *Core) holdOff() time.Duration {
	if !c.decisions.HoldOff {
		return 0
	}
	return c.decisions.MaxHoldOff
}

// GiveUp is a caller's release: of a set-up that it no longer waits for, or of a call that stands.
func (c *Core) GiveUp(caller Caller, id string, cause int) {
	k := c.calls[id]
	switch {
	case k != nil && k.moving:
		c.dispatchers.Release("", id, cause)
		c.passing.finder.Ended(id, cause)
	case k == nil:
		// A call that stood before a restart: whichever dispatcher has it releases it. A set-up that was lost
		// with the restart has nothing to release.
		if c.passing != nil && ValidID(id) {
			c.dispatchers.Release("", id, cause)
			c.passing.finder.Ended(id, cause)
			return
		}
		if cause != CauseNormal && ValidID(id) && time.Since(c.epoch) < heritage {
			c.dispatchers.Release("", id, cause)
			c.knowOver(id) // its caller need not be told
		}
	case k.state == open && k.Caller != caller: // only whoever waits for an answer can give it up
	case k.state == open:
		c.abandon(k)
		c.note(k, recovery.Left, nil)
		c.close(k)
	case k.state == stands:
		c.dispatchers.Release(k.server, id, cause)
		c.tell(control.AttemptEnded{ID: control.CallID(id), Server: k.server, Attempt: k.attempts - 1,
			Outcome: control.Cancelled, CallOver: true})
		if k.Caller != caller {
			// It may come on any connection, but who waits for the call's end may be elsewhere.
			c.log.Info("call ended from another connection", "id", id, "cause", cause)
			c.tellOver(k.Caller, id, endOf(cause))
		}
		c.noteOver(k, endOf(cause))
		c.close(k)
		k.end = endOf(cause)
	}
}

// CallerClosed ends the set-ups of a connection that has closed: no answer is owed for them. Calls that stand go
// on.
func (c *Core) CallerClosed(caller Caller) {
	c.passing.left(caller)
	for _, id := range c.openOf(caller) {
		c.callerLeft(c.calls[id])
	}
}

// callerLeft ends an open call whose caller's connection has closed, or keeps it for one that can come back.
func (c *Core) callerLeft(k *record) {
	if k.Token != nil && c.draining.IsZero() {
		c.lose(k)
		return
	}
	c.GiveUp(k.Caller, k.ID, CauseNormal)
}

// CallerBroke answers the set-ups of a connection that is about to be closed for a fault of its peer.
func (c *Core) CallerBroke(caller Caller) {
	for _, id := range c.openOf(caller) {
		k := c.calls[id]
		c.abandon(k)
		c.final(k, End{Cause: CauseTemporary, Reason: ReasonBadStream})
	}
}

// openOf asks no call but the caller's own: connections come and go by hundreds.
func (c *Core) openOf(caller Caller) []string { return slices.Sorted(maps.Keys(c.owing[caller])) }

// Owes is the number of set-ups without an answer that came from the caller, and of calls that it has come for and that are looked for.
func (c *Core) Owes(caller Caller) int {
	if c.passing != nil {
		return len(c.owing[caller]) + c.passing.waiting[caller]
	}
	return len(c.owing[caller])
}

// StandingOf is the number of calls of the caller that stand.
func (c *Core) StandingOf(caller Caller) int { return c.standing[caller] }

func (c *Core) owe(k *record) {
	c.owed++
	c.held += len(k.Description)
	if c.owing[k.Caller] == nil {
		c.owing[k.Caller] = map[string]*record{}
	}
	c.owing[k.Caller][k.ID] = k
}

func (c *Core) settle(k *record) {
	c.owed--
	c.held -= len(k.Description)
	delete(c.owing[k.Caller], k.ID)
	if len(c.owing[k.Caller]) == 0 {
		delete(c.owing, k.Caller)
	}
}

// forget has the module forget an open call.
func (c *Core) forget(k *record) { c.tell(control.CallerLeft{ID: control.CallID(k.ID)}) }

// abandon withdraws what is out for a call that its caller waits for no longer, and has the module forget it.
func (c *Core) abandon(k *record) {
	c.forget(k)
	if k.out {
		c.withdraw(k, control.Cancelled, true)
	}
}

// final gives a call its final answer.
func (c *Core) final(k *record, end End) {
	if k.state != open {
		return
	}
	r := k.Request
	c.note(k, recovery.Final, func(e *recovery.Event) {
		e.Cause, e.Reason, e.HoldOffUs = end.Cause, string(end.Reason), end.HoldOff.Microseconds()
	})
	c.close(k)
	k.end, k.told = end, r.Caller
	c.end(&r, end)
}

// close ends the record of a call.
func (c *Core) close(k *record) {
	switch {
	case k.state == open:
		c.settle(k)
	case k.state == stands && k.Caller != nil:
		if c.standing[k.Caller]--; c.standing[k.Caller] == 0 {
			delete(c.standing, k.Caller)
		}
	}
	c.stopTimers(k)
	k.state, k.out, k.overAt = over, false, time.Now()
	k.Caller, k.Description, k.answer, k.place = nil, "", "", nil
	c.ended = append(c.ended, k)
	for len(c.ended) > 0 && time.Since(c.ended[0].overAt) > remember {
		delete(c.calls, c.ended[0].ID)
		c.ended = c.ended[1:]
	}
}

func (c *Core) stopTimers(k *record) {
	c.loop.Stop(k.timer)
	c.loop.Stop(k.limit)
	c.loop.Stop(k.orphan)
}

// --- Dispatchers ---

// Answered tells that a dispatcher says that a call stands. Nobody waits for it if the attempt was withdrawn or
// the caller has left; then the dispatcher's call is released.
func (c *Core) Answered(server control.ServerID, id string, attempt int, description string) {
	k := c.calls[id]
	if k != nil && k.state == stands && k.server == server {
		return // said twice, or late, of an earlier attempt
	}
	if k != nil && k.out && k.server == server && attempt >= 0 && attempt < k.attempts-1 {
		// An earlier attempt's, late. A release would go out under the id that both have, and cut the call that the later
		// one is about to stand as.
		return
	}
	if k != nil && k.state == open && k.Caller.Left() && k.state == open {
		c.callerLeft(k) // before the answer came: whoever leaves later has had it, and its call stands
	}
	if k == nil || !k.out || k.server != server || attempt >= 0 && attempt != k.attempts-1 {
		c.dispatchers.Release(server, id, CauseNormal)
		return
	}
	if err := k.Caller.Answer(id, description); err != nil {
		c.log.Warn("answer that cannot be passed on", "id", id, "server", server, "err", err)
		c.dispatchers.Release(server, id, CauseNormal)
		c.Ended(server, id, attempt, control.Failed, false, nil)
		return
	}
	c.note(k, recovery.Stood, func(e *recovery.Event) {
		if k.Token != nil {
			e.Description = description
		}
	})
	c.figures.Class(k.Class).Served++
	c.stopTimers(k)
	c.settle(k)
	k.out, k.state = false, stands
	c.standing[k.Caller]++
	k.Description, k.told = "", k.Caller
	if k.Token != nil {
		k.answer = description
	}
	if k.Caller == c.lost {
		c.claimWithin(k, recovery.ClaimWithin)
	}
	c.tell(control.CallStands{ID: control.CallID(id), Server: server, Attempt: k.attempts - 1,
		Elapsed: time.Since(k.sentAt)})
}

// Ended tells the outcome of an attempt that does not stand. The outcome of one that was withdrawn has been told
// already, so only its report counts.
func (c *Core) Ended(server control.ServerID, id string, attempt int, o control.Outcome, noLine bool, report []float64) {
	k := c.calls[id]
	if k == nil || !k.out || k.server != server || attempt >= 0 && attempt != k.attempts-1 {
		c.Reported(server, report)
		return
	}
	c.loop.Stop(k.timer)
	k.out = false
	if noLine {
		c.countAsk(server, true)
	}
	c.noteBack(k, o)
	c.tell(control.AttemptEnded{ID: control.CallID(id), Server: server, Attempt: k.attempts - 1, Outcome: o,
		Elapsed: time.Since(k.sentAt), NoLine: noLine, Report: report})
}

// Released tells that a dispatcher has released a call that stood. The attempt is the one that was made on the connection
// that it came on; -1 for none.
func (c *Core) Released(server control.ServerID, id string, attempt, cause int, report []float64) {
	k := c.calls[id]
	switch {
	case k != nil && k.moving:
		c.passing.finder.Ended(id, cause)
	case k == nil && c.passing != nil: // another controller may have it
		c.passing.finder.Ended(id, cause)
	case k == nil:
		// A call from before a restart: its caller still has to hear of it.
		c.knowOver(id)
		c.tellOver(c.heir, id, endOf(cause))
	case attempt >= 0 && attempt < k.attempts-1: // what an earlier attempt led to; a later one has taken its place
	case k.state == stands && k.server == server:
		c.finish(k, cause, report)
	case k.out && k.server == server && attempt >= 0:
		// The call stood and is over; its answer was lost, or is late. Were it another attempt's, it would not have come
		// here. Its caller is owed the end of what has stood, within a second: another attempt would keep it from that.
		k.out = false
		c.tell(control.AttemptEnded{ID: control.CallID(id), Server: server, Attempt: k.attempts - 1, Outcome: control.Reset,
			Elapsed: time.Since(k.sentAt), CallOver: true, Report: report})
		c.final(k, End{Cause: CauseTemporary, Reason: ReasonFailed})
	}
}

// finish ends a call that stood.
func (c *Core) finish(k *record, cause int, report []float64) {
	outcome := control.Completed
	if cause != CauseNormal {
		outcome = control.Reset
	}
	c.tell(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: outcome,
		Elapsed: time.Since(k.sentAt), CallOver: true, Report: report})
	caller := k.Caller
	c.noteOver(k, endOf(cause))
	c.close(k)
	k.end = endOf(cause)
	c.tellOver(caller, k.ID, endOf(cause))
}

// knowOver notes that a call of another process is over.
func (c *Core) knowOver(id string) {
	c.calls[id] = &record{Request: Request{ID: id}, state: stands}
	c.close(c.calls[id])
}

// endOf is the end of a call that stood.
func endOf(cause int) End {
	if cause == CauseNormal {
		return End{Cause: cause, Reason: ReasonEnded}
	}
	return End{Cause: cause, Reason: ReasonCut}
}

// Reported brings a load report outside an attempt.
func (c *Core) Reported(server control.ServerID, report []float64) {
	if len(report) > 0 {
		c.tell(control.ReportReceived{Server: server, OK: true, Report: report})
	}
}

// Died tells that a dispatcher is no more. Its calls were cut, and it can't say so itself.
func (c *Core) Died(server control.ServerID) {
	cut := slices.Sorted(c.StandAt(server))
	for _, id := range cut {
		c.finish(c.calls[id], CauseTemporary, nil)
	}
	if len(cut) > 0 {
		c.log.Warn("dispatcher died with calls", "server", server, "calls", len(cut))
	}
}

// StandAt names the calls that stand at a dispatcher, in no order.
func (c *Core) StandAt(server control.ServerID) iter.Seq[string] {
	return func(yield func(string) bool) {
		for id, k := range c.calls {
			if k.state == stands && k.server == server && !yield(id) {
				return
			}
		}
	}
}

// Standing is their number.
func (c *Core) Standing(server control.ServerID) int {
	n := 0
	for range c.StandAt(server) {
		n++
	}
	return n
}

// EachStanding calls f with the dispatcher of each call that stands, in no order.
func (c *Core) EachStanding(f func(server control.ServerID)) {
	for _, k := range c.calls {
		if k.state == stands {
			f(k.server)
		}
	}
}

// --- Lists ---

// Update takes in the list of dispatchers, or changes to it.
func (c *Core) Update(u Update) {
	if !c.selection.update(u) {
		c.take(u)
	}
}

// take takes in what the module and the connections are to know of the list.
func (c *Core) take(u Update) {
	named := map[control.ServerID]bool{}
	entries := make([]control.ServerEntry, 0, len(u.Servers))
	for _, s := range u.Servers {
		named[s.ID] = true
		entries = append(entries, s.ServerEntry)
		if s.Address == "" {
			s.Address = c.places[s.ID].Address
		}
		c.places[s.ID] = s
		c.setStatus(s.ID, s.Status) // which forgets the place of one that is gone
	}
	if u.Whole {
		var gone []control.ServerID
		for id := range c.status {
			if !named[id] {
				gone = append(gone, id)
			}
		}
		slices.Sort(gone)
		for _, id := range gone {
			c.setStatus(id, control.Removed)
		}
		c.listed = true
	}
	c.dispatchers.Update(u)
	c.tell(control.ListReceived{Entries: entries, Whole: u.Whole})
	c.checkRecovered()
}

func (c *Core) setStatus(id control.ServerID, status control.ServerStatus) {
	if old, ok := c.status[id]; !ok && status != control.Removed || ok && old != status {
		c.log.Info("dispatcher", "server", id, "status", int(status))
	}
	if status == control.Removed {
		delete(c.status, id)
		c.forgetAsks(id)
		delete(c.places, id) // they come and go under new names all day
		return
	}
	c.status[id] = status
}

// active reports whether the list has a dispatcher as taking calls.
func (c *Core) active(id control.ServerID) bool {
	status, ok := c.status[id]
	return ok && status == control.Active
}

// --- Turns ---

// now is the Unix clock, as it was at the start and has run since: a clock that is set back would leave the module
// waiting for a turn that it has been given already.
func (c *Core) now() time.Duration { return time.Duration(c.epoch.UnixNano()) + time.Since(c.epoch) }

// turn gives the module all that the round brought, and does what it says.
func (c *Core) turn() {
	for c.consult(); c.selection.relieve(); c.consult() {
	}
	if len(c.events) > 0 {
		c.loop.Post(func() {})
	}
	c.loop.Commit()
	for _, f := range c.flush {
		f()
	}
	c.leave()
}

// consult tells the module what has happened, and does what it says.
func (c *Core) consult() {
	for range turns {
		if len(c.events) == 0 {
			break
		}
		events := c.events
		c.events = nil
		now := c.now()
		actions := c.module.Step(now, events)
		if c.log.Enabled(context.Background(), slog.LevelDebug) {
			c.trace(now, events, actions)
		}
		for _, a := range actions {
			c.do(a)
		}
	}
}

// trace logs what the module was told and what it said.
func (c *Core) trace(now time.Duration, events []control.Event, actions []control.Action) {
	for _, e := range events {
		if _, idle := e.(control.Woken); !idle {
			c.log.Debug("told", "now", now, "event", fmt.Sprintf("%T%+v", e, e))
		}
	}
	for _, a := range actions {
		if _, idle := a.(control.Wake); !idle {
			c.log.Debug("says", "now", now, "action", fmt.Sprintf("%T%+v", a, a))
		}
	}
}

func (c *Core) do(a control.Action) {
	switch a := a.(type) {
	case control.SetUp:
		c.setUp(a)
	case control.Cancel:
		if k := c.calls[string(a.ID)]; k != nil && k.out && a.Attempt == k.attempts-1 {
			c.withdraw(k, control.Cancelled, false)
		}
	case control.Refuse:
		if k := c.calls[string(a.ID)]; k != nil && !c.selection.retries(k) {
			c.final(k, End{Cause: CauseCongestion, Reason: ReasonRefused, HoldOff: a.HoldOff})
		}
	case control.Fail:
		if k := c.calls[string(a.ID)]; k != nil {
			c.final(k, End{Cause: CauseTemporary, Reason: failure(k)})
		}
	case control.Probe:
		c.dispatchers.Probe(a.Server)
	case control.Wake:
		c.loop.Stop(c.wake)
		c.wake = c.loop.After(a.After, func() { c.tell(control.Woken{}) })
	case control.Log:
		c.log.Info("module", "text", a.Text)
	case control.Subscribe: // the lists here come unasked
	}
}

// failure says why the module failed a call.
func failure(k *record) Reason {
	if time.Until(k.Deadline) <= 2*early {
		return ReasonDeadline
	}
	return ReasonFailed
}

// setUp starts an attempt. One that can't be is told to the module as never sent: the rules hold whatever it asks.
func (c *Core) setUp(a control.SetUp) {
	k := c.calls[string(a.ID)]
	if k == nil || k.state != open || k.out || !c.active(a.Server) {
		c.log.Error("attempt that must not be made", "id", a.ID, "server", a.Server)
		if k != nil && k.state == open && !k.out {
			k.attempts++
			c.tell(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: k.attempts - 1, Outcome: control.NotSent})
		}
		return
	}
	if k.Caller.Left() || k.state != open { // while it waited; that is told in a later turn, or was lying unread
		if k.attempts++; k.state == open {
			c.callerLeft(k)
		}
		c.tell(control.AttemptEnded{ID: a.ID, Server: a.Server, Attempt: k.attempts - 1, Outcome: control.NotSent, CallOver: k.state == over})
		return
	}
	now := time.Now()
	limit := k.Deadline.Sub(now) - early
	if a.Limit > 0 {
		limit = min(limit, a.Limit)
	}
	limit = max(limit, time.Millisecond)
	k.out, k.server, k.sentAt = true, a.Server, now
	k.attempts++
	c.countAsk(a.Server, false)
	c.note(k, recovery.Sent, nil)
	attempt := k.attempts - 1
	k.timer = c.loop.After(limit, func() {
		if k.out && k.attempts-1 == attempt {
			c.withdraw(k, control.TimedOut, false)
		}
	})
	c.dispatchers.SetUp(a.Server, SetUp{ID: k.ID, Attempt: attempt, Class: k.Class, Called: k.Called,
		Description: k.Description, Limit: limit})
}

// withdraw gives up the attempt that is out. Its outcome is told at once; what the dispatcher still says of it is
// late.
func (c *Core) withdraw(k *record, o control.Outcome, callOver bool) {
	c.loop.Stop(k.timer)
	k.out = false
	c.dispatchers.Withdraw(k.server, k.ID, k.attempts-1)
	c.noteBack(k, o)
	c.tell(control.AttemptEnded{ID: control.CallID(k.ID), Server: k.server, Attempt: k.attempts - 1, Outcome: o,
		Elapsed: time.Since(k.sentAt), CallOver: callOver})
}

// --- Planned restarts ---

// Drain serves out what was taken and then ends the loop.
func (c *Core) Drain() {
	if !c.draining.IsZero() {
		c.byItself = false // now it is asked for
		return
	}
	c.draining = time.Now()
	since := c.draining
	c.log.Info("draining", "open", c.owed)
	c.loop.After(lateArrivals+time.Millisecond, func() {}) // a turn in which to leave
	c.loop.After(c.endsWithin(), func() {
		if !c.draining.Equal(since) {
			return // it serves again
		}
		for _, id := range c.allOpen() {
			k := c.calls[id]
			c.abandon(k)
			c.final(k, End{Cause: CauseCongestion, Reason: ReasonDraining, HoldOff: c.holdOff()})
		}
	})
}

// endsWithin is how long after SIGTERM everything is answered, in reserve before the SIGKILL that may follow.
func (c *Core) endsWithin() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.decisions.Classes {
		longest = max(longest, class.Deadline)
	}
	most := killMost
	if c.Superseded() {
		most = killMostSuperseded
	}
	return min(longest, most) + killAfter - inReserve
}

// quiet reports whether callers have sent nothing that is not taken in yet.
func (c *Core) quiet() bool {
	return !slices.ContainsFunc(c.fronts, func(f Front) bool { return !f.Quiet() })
}

func (c *Core) allOpen() []string {
	var ids []string
	for id, k := range c.calls {
		if k.state == open {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// leave ends the loop of a controller that drains once nothing is owed, nothing new can arrive, and what has arrived is taken in: a
// set-up may have come in time and lie unread, if this process had to wait for its core.
func (c *Core) leave() {
	if c.draining.IsZero() || c.left || c.owed > 0 {
		return
	}
	if since := time.Since(c.draining); since > lateArrivals && !c.keepsCallers() && (c.quiet() || since > c.endsWithin()) {
		c.left = true
		c.log.Info("served out")
		c.loop.Quit()
	}
}
