// Package control decides, for one access node, which core server gets each call set-up, and when.
//
// The interface (settings, events, actions) is in api.go. Each of the other files holds the decisions on one subject;
// Controller.Step in control.go runs them in order.
//
// The mechanism is Somoza's Dynamic Processor Overload Control, run at the sender. Each server has a
// window of N new set-ups per control period. At the end of each update interval the window is resized
// by the ratio of the target occupancy to the measured one, within limits. Calls that no window allows
// are held. docs/design.md describes which parts of the paper are kept and which are changed.
package control

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// CallID identifies one try of a caller at this access node.
type CallID string

// ServerID identifies a core server. It is the same at every access node.
type ServerID string

// Layout is the topology of access nodes and core servers.
type Layout int

const (
	// Pools is a set of core servers that every access node can reach directly.
	Pools Layout = iota
	// Network is a set of exchanges; a call may cross one of them in transit.
	Network
)

// Idempotency states when set-ups of a class may be repeated.
type Idempotency int

const (
	// Idempotent set-ups may be repeated and refused freely.
	Idempotent Idempotency = iota
	// IdempotentByKey set-ups may be repeated within the scope and the time in which servers discard repeats.
	IdempotentByKey
	// NonIdempotent set-ups may be repeated only if none of the earlier ones ran.
	NonIdempotent
)

// DedupScope is the set of servers that discard repeats of an IdempotentByKey set-up.
type DedupScope int

const (
	// DedupAll means every server.
	DedupAll DedupScope = iota
	// DedupZone means the servers in the zone of the first attempt that may have run.
	DedupZone
	// DedupCell means the servers in the cell of the first attempt that may have run.
	DedupCell
)

// Class describes one class of calls.
type Class struct {
	Name        string
	Aim         time.Duration // time within which an answered call has its full worth
	Deadline    time.Duration // time for which a caller keeps trying
	Worth       float64
	LateShare   float64 // share of the worth of a call that is answered after its aim
	Idempotency Idempotency
	DedupScope  DedupScope    // IdempotentByKey: servers that discard repeats
	DedupWindow time.Duration // IdempotentByKey: time for which repeats are discarded
	Cells       []int         // cells that may get its calls; empty for all
}

// ReportField is the meaning of one value of a load report.
type ReportField int

const (
	// UnknownField values are ignored.
	UnknownField ReportField = iota
	// FreeLines is the number of free lines towards the server.
	FreeLines
	// Lines is the number of lines towards the server.
	Lines
	// Utilisation is the busy share of the server's processor.
	Utilisation
	// QueueLength is the number of set-ups waiting at the processor.
	QueueLength
	// QueueWait is the waiting time at the processor, in milliseconds.
	QueueWait
	// MaxRate is the number of set-ups per second that the server can process now, from all nodes together.
	MaxRate
)

// Settings holds the configuration of a Controller.
type Settings struct {
	Classes            []Class
	Nodes              int // access nodes that share the servers, including this one
	Layout             Layout
	OwnCell            int           // Network: cell of the node's own exchange
	Tick               time.Duration // resolution of the clock and of timers
	ReleaseGuard       time.Duration // shortest gap after an attempt that may still run at its server
	AnswerGrace        time.Duration // time after a caller's timeout in which an answer still counts
	ColdCapacity       float64       // lowest share of its capacity that a cold server has
	WarmUpTime         time.Duration // longest time until a cold server is warm
	ColdOverloadFactor float64       // multiple of its capacity that makes a cold server fail
	MaxAttempts        int           // per call; 0 for no limit
	MayHoldOff         bool          // callers accept a hold-off with a refusal
	MaxHoldOff         time.Duration
	MayCancel          bool          // attempts can be cancelled
	ListOnDemand       bool          // the server list is sent only on request
	ReportFields       []ReportField // meaning of the values of a load report, in order
}

// ServerStatus is the status of a server in the server list.
type ServerStatus int

const (
	// Active servers accept calls.
	Active ServerStatus = iota
	// Draining servers keep their calls but get no new ones.
	Draining
	// Removed servers are no longer in the list.
	Removed
)

// ServerEntry is one entry of the server list.
type ServerEntry struct {
	ID        ServerID
	Status    ServerStatus
	Cell      int
	Zone      string
	StartedAt time.Duration // on the clock of Step; 0 for long ago
	Weight    int           // share of new set-ups relative to the weights of other servers; 0 for an equal share
}

// Outcome is the result of an attempt.
type Outcome int

const (
	// Completed calls were answered and have ended.
	Completed Outcome = iota
	// Failed attempts ended with a busy line or a signalling error.
	Failed
	// Full attempts were refused for lack of capacity.
	Full
	// TimedOut attempts had no answer within their timeout.
	TimedOut
	// Unreachable means that no connection to the server could be opened.
	Unreachable
	// Reset means that the connection of an attempt or of an established call was lost.
	Reset
	// Cancelled attempts were cancelled by the node.
	Cancelled
	// NotSent attempts never left the node.
	NotSent
)

// MayHaveRun reports whether the server may have started to process the set-up.
func (o Outcome) MayHaveRun() bool { return o == Failed || o.MayStillRun() }

// MayStillRun reports whether the server may still process the set-up or hold resources for it.
func (o Outcome) MayStillRun() bool { return o == TimedOut || o == Reset || o == Cancelled }

// ServerStats holds the state that limits the set-ups of this node to a server.
type ServerStats struct {
	ID        ServerID
	Lines     float64       // lines towards the server; 1 if unknown
	FreeLines int           // free lines at the last report, less own starts since; -1 if unknown
	OwnLines  int           // lines of this node's calls and attempts
	BackOff   time.Duration // time left in which it gets no set-up from this node
	Unlimited bool          // the server has no window yet
	Window    float64       // starts per control period
}

// Stats returns the state of all servers, in the order in which they were first listed.
func (c *Controller) Stats(now time.Duration) []ServerStats {
	var all []ServerStats
	for _, s := range c.servers {
		all = append(all, ServerStats{ID: s.ID, Lines: s.lines, FreeLines: s.freeLines, OwnLines: s.ownLines, BackOff: max(s.backOffUntil-now, 0), Unlimited: s.unlimited, Window: s.window})
	}
	return all
}

// Event is something that happened at the access node: one of the types below.
type Event interface{ event() }

// ListReceived delivers the server list, or changes to it.
type ListReceived struct {
	Entries []ServerEntry
	Whole   bool // the list is complete: servers without an entry are removed
	Failed  bool // the request for the list, or the subscription, failed
}

// CallOffered delivers a new pending call.
type CallOffered struct {
	ID        CallID
	Class     int           // index in Settings.Classes
	Budget    time.Duration // time until the caller cancels this try
	Called    string        // called number
	FirstCell int           // cell of the servers of first choice
	Redial    bool          // the caller has tried this call before
	Transit   bool          // may only go to FirstCell
	Attempts  int           // attempts made by the previous process
	NotBefore time.Duration // earliest time of the next attempt; 0 for at once
}

// CallStands reports that the attempt was answered. The call is established and no longer pending.
type CallStands struct {
	ID      CallID
	Server  ServerID
	Attempt int
	Elapsed time.Duration
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	ID       CallID
	Server   ServerID
	Attempt  int
	Outcome  Outcome
	Elapsed  time.Duration
	NoLine   bool      // Full: no line was free; otherwise the processor was overloaded
	CallOver bool      // the call is no longer pending
	Report   []float64 // values in the order of Settings.ReportFields; may be empty
}

// CallerLeft reports that the caller of a pending call cancelled it or disconnected.
type CallerLeft struct{ ID CallID }

// ReportReceived delivers a load report outside an attempt.
type ReportReceived struct {
	Server ServerID
	OK     bool
	Report []float64
}

// Woken reports that the time of a Wake has passed.
type Woken struct{}

func (ListReceived) event()   {}
func (CallOffered) event()    {}
func (CallStands) event()     {}
func (AttemptEnded) event()   {}
func (CallerLeft) event()     {}
func (ReportReceived) event() {}
func (Woken) event()          {}

// Action is an instruction to the access node: one of the types below.
type Action interface{ action() }

// SetUp starts an attempt. The attempts of a call are numbered 0, 1, 2, ...
type SetUp struct {
	ID     CallID
	Server ServerID
	Limit  time.Duration // timeout of the attempt; 0 for the caller's own timeout
}

// Cancel cancels an attempt; its outcome is still reported.
type Cancel struct {
	ID      CallID
	Attempt int
}

// Refuse is a final answer: the call is refused. The caller may call again after HoldOff if that is above 0.
type Refuse struct {
	ID      CallID
	HoldOff time.Duration
}

// Fail is a final answer: the call failed.
type Fail struct{ ID CallID }

// Probe asks a server for a load report.
type Probe struct{ Server ServerID }

// Subscribe requests the server list and its changes.
type Subscribe struct{}

// Wake requests a Woken event after the given time.
type Wake struct{ After time.Duration }

// Log writes one line to the node's log.
type Log struct{ Text string }

func (SetUp) action()     {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (Wake) action()      {}
func (Log) action()       {}

// validate returns an error if a Controller can't work with the settings.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errors.New("control: settings have no classes")
	}
	for _, class := range s.Classes {
		if class.Aim <= 0 || class.Deadline < class.Aim {
			return fmt.Errorf("control: class %q: aim %v must be above 0 and deadline %v not below it", class.Name, class.Aim, class.Deadline)
		}
		if class.Worth < 0 || class.LateShare < 0 || class.LateShare > 1 {
			return fmt.Errorf("control: class %q: worth %v must not be negative and late share %v must be from 0 to 1",
				class.Name, class.Worth, class.LateShare)
		}
	}
	switch {
	case s.Tick <= 0:
		return fmt.Errorf("control: tick %v must be above 0", s.Tick)
	case s.ReleaseGuard < 0 || s.MaxHoldOff < 0 || s.AnswerGrace < 0 || s.MaxAttempts < 0:
		return errors.New("control: release guard, hold-off, answer grace and attempts must not be negative")
	case s.ColdCapacity < 0 || s.ColdCapacity > 1 || s.WarmUpTime < 0:
		return fmt.Errorf("control: cold capacity %v must be from 0 to 1 and warm-up time %v not negative", s.ColdCapacity, s.WarmUpTime)
	}
	return nil
}

// tightestAim returns the shortest aim of all classes.
func (s *Settings) tightestAim() time.Duration {
	return slices.MinFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Aim, b.Aim) }).Aim
}
