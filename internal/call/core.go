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
	// answerMargin is how long before a caller's deadline the last attempt is cancelled and the final answer sent, so
	// that the answer arrives in time.
	answerMargin = 25 * time.Millisecond
	// fallbackMargin is how long before that deadline a call that is still pending is answered in any case.
	fallbackMargin = 3 * time.Millisecond
	// previousCallsWindow is how long after the start callers may still release calls of the previous process.
	previousCallsWindow = time.Minute
	// lateArrivalWindow is how long after SIGTERM new set-ups may still arrive.
	lateArrivalWindow = 700 * time.Millisecond
	// SIGKILL may follow SIGTERM after the longest deadline, of which at most killMaxDeadline counts, plus killGrace.
	// Accepted set-ups are answered killMargin before that.
	killGrace       = 700 * time.Millisecond
	killMaxDeadline = 3 * time.Second
	// killMaxDeadlineSuperseded replaces killMaxDeadline in a process that has a successor.
	killMaxDeadlineSuperseded = 5 * time.Second
	killMargin                = 400 * time.Millisecond
	// maxPendingPerConnection bounds the pending set-ups of one connection; up to six have been observed.
	maxPendingPerConnection = 256
	// descriptionMemoryShare is the share of the memory that the descriptions of all pending set-ups may take.
	descriptionMemoryShare = 1.0 / 16
	// maxModuleSteps bounds the module steps in one event loop iteration: the actions of one step cause events for the
	// next.
	maxModuleSteps = 8
)

// state is the state of a call.
type state int

const (
	pending     state = iota // waits for its final answer
	established              // answered
	terminated
)

// record is the state of one call.
type record struct {
	Request
	class             control.Class // as configured when the call was accepted
	state             state
	attempts          int
	attemptInProgress bool
	server            control.ServerID
	sentAt            time.Time
	attemptTimer      *Timer // of the attempt in progress
	deadlineTimer     *Timer // fires shortly before the caller's deadline
	terminatedAt      time.Time

	// For calls that can be resumed, and for calls of the previous process.
	answer               string         // description of the dispatcher's answer
	end                  End            // how the call ended
	answeredTo           Caller         // the connection that received the final answer
	resumedAt            time.Time      // when its caller resumed it here; zero if it did not
	orphanTimer          *Timer         // cancels or releases the call unless its caller resumes it
	notBefore            time.Duration  // earliest time of the next attempt, on the clock of Core.now
	awaitsResume         bool           // the module does not know the call until its caller resumes it
	transferring         bool           // the call is being transferred to another controller
	firstRunAt           time.Time      // when the first attempt that has ended and may have run was sent; zero for none
	tried                []triedAttempt // attempts of this process that may have established the call; the last is the latest one
	earlyEnd             *earlyEnd      // the end of the call, if it arrived before the answer to the attempt in progress
	ambiguous            *ambiguousEnd  // the end of the call or of an earlier attempt
	heldByEarlierAttempt bool           // the dispatcher of the attempt in progress may hold the call by an earlier attempt
	restored             *recovery.Call // the call as the recovery has restored it; nil for other calls
	misplaced            bool           // the list, which may be older than the call, has another process in the place of its dispatcher's
	undecidedTimer       *Timer         // ends the wait for a current list
	fromPredecessor      bool           // a predecessor had the call until it ended, whatever its list said about the dispatcher
}

// Core is the protocol-independent call controller. Its methods must run on its event loop.
type Core struct {
	loop                *Loop
	log                 *slog.Logger
	decisions           control.Settings
	module              *control.Controller
	dispatchers         Dispatchers
	fronts              []Front
	flushers            []func()
	calls               map[string]*record
	pendingByCaller     map[Caller]map[string]*record // pending calls by their callers
	establishedByCaller map[Caller]int
	recentlyTerminated  terminatedCalls
	attemptedElsewhere  attemptedElsewhere
	reportAttempt       func(id string) // reports the first attempt of a call to the other process of an upgrade; nil without one
	pendingCount        int
	descriptionBytes    int // size of the descriptions of pending set-ups
	maxDescriptionBytes int
	events              []control.Event                           // for the next step of the module
	serverStatus        map[control.ServerID]control.ServerStatus // of listed dispatchers
	startedAt           time.Time
	listReceived        bool
	wakeTimer           *Timer                        // for the module
	reached             bool                          // a dispatcher has been reached
	awaitsPredecessor   bool                          // a predecessor still serves
	evacuatedAt         time.Time                     // zero while callers are served
	supersededAt        time.Time                     // when a successor began to serve; zero without one
	relayEnd            func(id string, end End) bool // passes an end to the successor; nil without one
	unknownCaller       *unknownCaller
	metrics             telemetry.Metrics
	endCounts           map[receivedEnd]uint64
	setUpCounts         map[control.ServerID]setUpCount
	ledgerWriter        *ledgerWriter // nil without a ledger
	orphanCaller        *orphanCaller
	transfers           *transferState // nil without other controllers
	knownServers        map[control.ServerID]Server
	selection           *selection      // nil if all dispatchers of the list are connected to
	waitingResumes      []ResumeRequest // received while a predecessor has the ledger
	listConfirmedAt     time.Duration   // the list is known to be complete up to this Unix time
	pendingReleases     []*pendingRelease
	unplacedReleases    []unplacedRelease           // in the order of their times
	unverified          []*record                   // established calls of other processes to be checked against the list
	listedByAddress     map[string][]Server         // the list, while calls are checked against it; nil until it is needed
	adoptedDispatchers  map[control.ServerID]string // addresses of unlisted dispatchers that unverified calls are established at
	recovered           RecoveryStatus
	awaitsLedger        bool
	metricSources       []func() []*dto.MetricFamily // metrics of other components
	drainingSince       time.Time
	drainsForSuccessor  bool // draining was started for the successor, not requested from outside
	quitting            bool
}

// New returns a Core that runs on the loop.
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
		pendingByCaller: map[Caller]map[string]*record{}, establishedByCaller: map[Caller]int{},
		serverStatus: map[control.ServerID]control.ServerStatus{}, startedAt: time.Now(),
		setUpCounts: map[control.ServerID]setUpCount{}, endCounts: map[receivedEnd]uint64{},
		listConfirmedAt: alwaysConfirmed, adoptedDispatchers: map[control.ServerID]string{},
	}
	c.unknownCaller, c.orphanCaller, c.knownServers = &unknownCaller{c}, &orphanCaller{unknownCaller{c}}, map[control.ServerID]Server{}
	c.LimitMemory(0)
	c.registerClasses()
	c.AddMetrics(c.endMetrics)
	loop.onIteration = c.finishIteration
	return c, nil
}

// Loop returns the event loop of the core.
func (c *Core) Loop() *Loop { return c.loop }

// Log returns the logger of the core.
func (c *Core) Log() *slog.Logger { return c.log }

// SetDispatchers sets where calls are placed; it must be called before the first list arrives.
func (c *Core) SetDispatchers(d Dispatchers) { c.dispatchers = d }

// AddFront adds a front for callers.
func (c *Core) AddFront(f Front) { c.fronts = append(c.fronts, f) }

// LimitMemory limits the descriptions of pending set-ups and the terminated calls that are kept to shares of the memory
// of the process; 0 means no limit.
func (c *Core) LimitMemory(memory int64) {
	c.recentlyTerminated.limit(memory)
	c.maxDescriptionBytes = math.MaxInt
	if memory > 0 {
		c.maxDescriptionBytes = int(descriptionMemoryShare * float64(memory))
	}
}

// OnFlush registers f to run at the end of each event loop iteration, to send the output written in it.
func (c *Core) OnFlush(f func()) { c.flushers = append(c.flushers, f) }

// queueEvent queues an event for the next step of the module.
func (c *Core) queueEvent(e control.Event) { c.events = append(c.events, e) }
