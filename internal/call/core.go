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
	// answerMargin is how long before a caller's limit the last attempt is withdrawn and the answer given, so that the
	// answer is not overtaken by the limit.
	answerMargin = 25 * time.Millisecond
	// fallbackMargin is how long before that limit a call is answered come what may.
	fallbackMargin = 3 * time.Millisecond
	// retentionPeriod is how long an ended call is known, so that what comes late or twice is not passed on.
	retentionPeriod = 20 * time.Second
	// previousCallsWindow is how long after the start calls may still stand that an earlier process set up, for callers to end.
	previousCallsWindow = time.Minute
	// lateArrivalWindow is how long after SIGTERM new set-ups may still arrive.
	lateArrivalWindow = 700 * time.Millisecond
	// killGrace and killMaxDeadline bound the time from SIGTERM to SIGKILL: the longest deadline, of which no more than
	// killMaxDeadline counts, and killGrace. What was taken is answered killMargin before.
	killGrace       = 700 * time.Millisecond
	killMaxDeadline = 3 * time.Second
	// killMaxDeadlineSuperseded is as much for a process that has a successor.
	killMaxDeadlineSuperseded = 5 * time.Second
	killMargin                = 400 * time.Millisecond
	// maxPendingPerConnection is how many set-ups may be open on one connection; callers were seen with six.
	maxPendingPerConnection = 256
	// descriptionMemoryShare of the memory is what descriptions of open set-ups may take, of all connections together.
	descriptionMemoryShare = 1.0 / 16
	// maxModuleSteps bounds how often the module is asked in one round of the loop for what its own actions led to.
	maxModuleSteps = 8
)

type state int

const (
	pending     state = iota // owed a final answer
	established              // answered
	terminated
)

// record is what is known of one call.
type record struct {
	Request
	state             state
	attempts          int
	attemptInProgress bool // an attempt is under way
	server            control.ServerID
	sentAt            time.Time
	attemptTimer      *Timer // of the attempt
	deadlineTimer     *Timer // of the caller
	terminatedAt      time.Time

	// Of calls that can be resumed, and of those that an earlier process had.
	answer               string         // what the dispatcher gave
	end                  End            // how it ended
	answeredTo           Caller         // who had its final answer
	resumedAt            time.Time      // when its caller came for it here; zero if it never did
	orphanTimer          *Timer         // when it is given up, or released, unless its caller comes
	notBefore            time.Duration  // no attempt before that, on the clock of now
	awaitsResume         bool           // the module does not know it yet: it waits for its caller
	transferring         bool           // it is being given to another controller
	firstRunAt           time.Time      // of the first attempt that may have run, with a selection; zero for none
	tried                []triedAttempt // its attempts by this process that may have established it; the last is the latest one
	earlyEnd             *earlyEnd      // its end, if that came before the answer to the attempt that is out
	ambiguous            *ambiguousEnd  // its end, or that of an earlier attempt
	heldByEarlierAttempt bool           // the dispatcher of the attempt that is out may hold the call by an earlier attempt there
	restored             *recovery.Call
}

// Core is the call controller without any wire. Its methods run on its loop.
type Core struct {
	loop                *Loop
	log                 *slog.Logger
	decisions           control.Settings
	module              *control.Controller
	dispatchers         Dispatchers
	fronts              []Front
	flushers            []func()
	calls               map[string]*record
	pendingByCaller     map[Caller]map[string]*record // the open ones, by who waits for them
	establishedByCaller map[Caller]int
	recentlyTerminated  []*record // in the order of their ends
	pendingCount        int
	descriptionBytes    int // bytes of the descriptions of open set-ups
	maxDescriptionBytes int
	events              []control.Event
	serverStatus        map[control.ServerID]control.ServerStatus
	startedAt           time.Time
	listReceived        bool
	wakeTimer           *Timer
	reached             bool
	awaitsPredecessor   bool      // a predecessor still serves
	evacuatedAt         time.Time // zero if callers are served
	supersededAt        time.Time // when a successor began to serve; zero without one
	relayEnd            func(id string, end End) bool
	unknownCaller       *unknownCaller
	metrics             telemetry.Figures
	endCounts           map[receivedEnd]uint64
	setUpCounts         map[control.ServerID]setUpCount
	ledgerWriter        *ledgerWriter // nil without a ledger
	orphanCaller        *orphanCaller
	transfers           *transferState // nil without other controllers
	knownServers        map[control.ServerID]Server
	selection           *selection      // nil where the whole list is connected to
	waitingResumes      []ResumeRequest // that came while a predecessor had the calls
	pendingReleases     []*record       // calls of an earlier process to be released once there is a list
	unverified          []*record       // those that stood, until there is one
	recovered           RecoveryStatus
	awaitsLedger        bool
	metricSources       []func() []*dto.MetricFamily // figures of other parts
	drainingSince       time.Time
	drainsForSuccessor  bool // the end is for the successor's sake: nobody asked for it
	quitting            bool
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
		pendingByCaller: map[Caller]map[string]*record{}, establishedByCaller: map[Caller]int{}, maxDescriptionBytes: math.MaxInt, serverStatus: map[control.ServerID]control.ServerStatus{}, startedAt: time.Now(),
		setUpCounts: map[control.ServerID]setUpCount{}, endCounts: map[receivedEnd]uint64{},
	}
	c.unknownCaller, c.orphanCaller, c.knownServers = &unknownCaller{c}, &orphanCaller{unknownCaller{c}}, map[control.ServerID]Server{}
	c.registerClasses()
	c.AddMetrics(c.endMetrics)
	loop.onIteration = c.finishIteration
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
	c.maxDescriptionBytes = math.MaxInt
	if memory > 0 {
		c.maxDescriptionBytes = int(descriptionMemoryShare * float64(memory))
	}
}

// OnFlush has f run at the end of each round, to send what was written in it.
func (c *Core) OnFlush(f func()) { c.flushers = append(c.flushers, f) }

func (c *Core) queueEvent(e control.Event) { c.events = append(c.events, e) }
