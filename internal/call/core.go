package call

import (
	"fmt"
	"log/slog"
	"math"
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
	answer    string         // what the dispatcher gave
	end       End            // how it ended
	told      Caller         // who had its final answer
	claimedAt time.Time      // when its caller came for it here; zero if it never did
	orphan    *Timer         // when it is given up, or released, unless its caller comes
	notBefore time.Duration  // no attempt before that, on the clock of now
	parked    bool           // the module does not know it yet: it waits for its caller
	moving    bool           // it is being given to another controller
	ranSince  time.Time      // of the first attempt that may have run, with a selection; zero for none
	tried     []triedAttempt // its attempts by this process that may have established it; the last is the latest one
	overtaken *overtaking    // its end, if that came before the answer to the attempt that is out
	ambiguous *ambiguousEnd  // its end, or that of an earlier attempt
	heldThere bool           // the dispatcher of the attempt that is out may hold the call by an earlier attempt there
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
	received     map[receivedEnd]uint64
	asked        map[control.ServerID]asks
	durable      *durable // nil without a ledger
	lost         *lost
	passing      *passing // nil without other controllers
	places       map[control.ServerID]Server
	selection    *selection      // nil where the whole list is connected to
	claims       []ResumeRequest // that came while a predecessor had the calls
	releases     []*record       // calls of an earlier process to be released once there is a list
	unchecked    []*record       // those that stood, until there is one
	recovered    RecoveryStatus
	awaitsLedger bool
	parts        []func() []*dto.MetricFamily // figures of other parts
	draining     time.Time
	byItself     bool // the end is for the successor's sake: nobody asked for it
	left         bool
}

// New returns a Core on the loop.
func New(loop *Loop, log *slog.Logger, s *settings.Settings, seed uint64) (*Core, error) {
	decisions, err := s.ControlSettings()
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
		asked: map[control.ServerID]asks{}, received: map[receivedEnd]uint64{},
	}
	c.heir, c.lost, c.places = &heir{c}, &lost{heir{c}}, map[control.ServerID]Server{}
	c.showClasses()
	c.AddMetrics(c.endFigures)
	loop.turn = c.turn
	return c, nil
}

// Loop is the loop that owns the core.
func (c *Core) Loop() *Loop { return c.loop }

// Log is the core's log.
func (c *Core) Log() *slog.Logger { return c.log }

// SetDispatchers names where calls are placed; it comes before the first list.
func (c *Core) SetDispatchers(d Dispatchers) { c.dispatchers = d }

// AddFront names a way in for callers.
func (c *Core) AddFront(f Front) { c.fronts = append(c.fronts, f) }

// LimitMemory bounds what is held for callers by the memory that the process has; 0 is no bound.
func (c *Core) LimitMemory(memory int64) {
	c.maxHeld = math.MaxInt
	if memory > 0 {
		c.maxHeld = int(heldShare * float64(memory))
	}
}

// OnFlush has f run at the end of each round, to send what was written in it.
func (c *Core) OnFlush(f func()) { c.flush = append(c.flush, f) }

func (c *Core) tell(e control.Event) { c.events = append(c.events, e) }
