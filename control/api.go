// Package control decides, for one access node, which core server gets each call set-up, and when.
//
// The interface (settings, events, actions) is in api.go; every decision is in control.go.
//
// The mechanism is Somoza's Dynamic Processor Overload Control, run at the sender: for each server a
// window of N new set-ups a control period, resized each update interval by the clamped ratio of wanted
// to seen occupancy. Calls that no window allows are held here. docs/design.md states what was kept of
// the paper and what was changed.
package control

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// CallID names one try of a caller at this access node.
type CallID string

// ServerID names a core server. It is the same at every access node.
type ServerID string

// Layout tells how access nodes and core servers are joined.
type Layout int

const (
	// Pools is a set of core servers that every access node can reach directly.
	Pools Layout = iota
	// Network is a set of exchanges; a call may cross one of them in transit.
	Network
)

// Idempotency tells what a repeated set-up of a class can do.
type Idempotency int

const (
	// Idempotent set-ups may be repeated and refused freely.
	Idempotent Idempotency = iota
	// IdempotentByKey set-ups may be repeated where and while repeats are discarded.
	IdempotentByKey
	// NonIdempotent set-ups may be repeated only when none of the earlier ones ran.
	NonIdempotent
)

// DedupScope is the set of servers that discard repeats of a Keyed set-up.
type DedupScope int

const (
	// DedupAll takes in every server.
	DedupAll DedupScope = iota
	// DedupZone takes in the servers of one zone.
	DedupZone
	// DedupCell takes in the servers of one cell.
	DedupCell
)

// Class describes one class of calls.
type Class struct {
	Name        string
	Aim         time.Duration // a call that stands within it earns its full worth
	Deadline    time.Duration // how long a caller keeps trying
	Worth       float64
	LateShare   float64 // share of the worth that a later call earns
	Idempotency Idempotency
	DedupScope  DedupScope    // Keyed: who discards repeats
	DedupWindow time.Duration // Keyed: how long repeats are discarded
	Cells       []int         // the pools that may take it; empty for all
}

// ReportField says what one figure of a load report means.
type ReportField int

const (
	// UnknownField figures are passed over.
	UnknownField ReportField = iota
	// FreeLines is the number of free lines towards the server.
	FreeLines
	// Lines is the number of lines towards the server.
	Lines
	// Utilisation is the busy share of the server's processor.
	Utilisation
	// QueueLength is the number of set-ups waiting at the processor.
	QueueLength
	// QueueWait is the wait at the processor, in milliseconds.
	QueueWait
	// MaxRate is how many set-ups a second the server can take by now, from all nodes together.
	MaxRate
)

// Settings is all that a Controller is told at its start.
type Settings struct {
	Classes            []Class
	Nodes              int // access nodes that share the servers, this one with them
	Layout             Layout
	OwnCell            int // Network: the cell of the own exchange
	Tick               time.Duration
	ReleaseGuard       time.Duration // least gap after an attempt that may have left a trace
	AnswerGrace        time.Duration // how long after a caller's limit an answer still counts
	ColdCapacity       float64       // least share of its capacity that a cold server has
	WarmUpTime         time.Duration // longest time until it is warm
	ColdOverloadFactor float64       // a cold server sent more than this multiple falls over
	MaxAttempts        int           // for each call; 0 for no limit
	MayHoldOff         bool          // callers can be told when to come back
	MaxHoldOff         time.Duration
	MayCancel          bool
	ListOnDemand       bool // the server list comes only when asked for
	ReportFields       []ReportField
}

// ServerStatus is what the server list says of a server.
type ServerStatus int

const (
	// Active servers take calls.
	Active ServerStatus = iota
	// Draining servers finish what they hold.
	Draining
	// Removed servers are gone.
	Removed
)

// ServerEntry is one line of the server list.
type ServerEntry struct {
	ID        ServerID
	Status    ServerStatus
	Cell      int
	Zone      string
	StartedAt time.Duration // on the clock of Step; 0 for long ago
	Weight    int           // its part of new set-ups against the others' weights; 0 for even parts
}

// Outcome is how an attempt ended.
type Outcome int

const (
	// Completed calls stood and have ended.
	Completed Outcome = iota
	// Failed attempts met a busy line or a signalling fault.
	Failed
	// Full attempts were turned away.
	Full
	// TimedOut attempts had no answer within their limit.
	TimedOut
	// Unreachable servers could not be connected to.
	Unreachable
	// Reset attempts, or calls that stood, were cut.
	Reset
	// Cancelled attempts were withdrawn by the node.
	Cancelled
	// NotSent attempts never left the node.
	NotSent
)

// mayHaveRun reports whether the server may have begun to do what was asked.
func (o Outcome) mayHaveRun() bool { return o == Failed || o.mayLinger() }

// mayLinger reports whether the server may still be at it, or hold something for it.
func (o Outcome) mayLinger() bool { return o == TimedOut || o == Reset || o == Cancelled }

// ServerStats is what the node knows of a server that decides how much of it the node gets.
type ServerStats struct {
	ID        ServerID
	Lines     float64       // that it has; 1 if that is not told
	FreeLines int           // lines that are free, as far as is known; -1 if that is not told
	OwnLines  int           // lines that this node's calls have
	BackOff   time.Duration // for which it gets no set-up from this node any more
	Unlimited bool          // it has no window
	Window    float64       // its window, in starts a control period
}

// Stats of all servers, in the order in which they were first listed.
func (c *Controller) Stats(now time.Duration) []ServerStats {
	var all []ServerStats
	for _, s := range c.servers {
		all = append(all, ServerStats{ID: s.ID, Lines: s.lines, FreeLines: s.free, OwnLines: s.own, BackOff: max(s.restUntil-now, 0), Unlimited: s.open, Window: s.limit})
	}
	return all
}

// Event is something that happened at the access node: one of the types below.
type Event interface{ event() }

// ListReceived brings the server list, or changes to it.
type ListReceived struct {
	Entries []ServerEntry
	Whole   bool // servers that are not named are gone
	Failed  bool // the request for the list, or the subscription, failed
}

// CallOffered brings a call that the node now owes a final answer.
type CallOffered struct {
	ID        CallID
	Class     int           // index in Settings.Classes
	Budget    time.Duration // until the caller gives up on this try
	Called    string        // the number called
	FirstCell int           // cell of the server of first choice
	Redial    bool          // the caller has been here before with it
	Transit   bool          // may only go to FirstCell
	Attempts  int           // that it has had already, at an earlier process
	NotBefore time.Duration // earliest time for the next one; 0 for at once
}

// CallStands tells that the call's attempt was answered; nothing more is owed.
type CallStands struct {
	ID      CallID
	Server  ServerID
	Attempt int
	Elapsed time.Duration
}

// AttemptEnded tells the outcome of an attempt.
type AttemptEnded struct {
	ID       CallID
	Server   ServerID
	Attempt  int
	Outcome  Outcome
	Elapsed  time.Duration
	NoLine   bool      // Full: for want of a line, not of the processor
	CallOver bool      // nothing more is owed for the call
	Report   []float64 // by Settings.ReportFields; may be empty
}

// CallerLeft tells that the caller gave up early.
type CallerLeft struct{ ID CallID }

// ReportReceived brings a load report outside an attempt.
type ReportReceived struct {
	Server ServerID
	OK     bool
	Report []float64
}

// Woken is the answer to a Wake.
type Woken struct{}

func (ListReceived) event()   {}
func (CallOffered) event()    {}
func (CallStands) event()     {}
func (AttemptEnded) event()   {}
func (CallerLeft) event()     {}
func (ReportReceived) event() {}
func (Woken) event()          {}

// Action is something the access node shall do: one of the types below.
type Action interface{ action() }

// SetUp starts an attempt. The attempts of a call are numbered 0, 1, 2, ...
type SetUp struct {
	ID     CallID
	Server ServerID
	Limit  time.Duration // time-out; 0 for the caller's own limit
}

// Cancel withdraws an attempt; its outcome still comes.
type Cancel struct {
	ID      CallID
	Attempt int
}

// Refuse is a final answer: turned away, to come back after MayHoldOff if above 0.
type Refuse struct {
	ID      CallID
	HoldOff time.Duration
}

// Fail is a final answer: the call failed.
type Fail struct{ ID CallID }

// Probe asks a server for a load report.
type Probe struct{ Server ServerID }

// Subscribe asks for the server list and its changes.
type Subscribe struct{}

// Wake asks for a Woken event after the given time.
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

// check reports what a Controller could not work with.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("control: no classes")
	}
	for _, class := range s.Classes {
		if class.Aim <= 0 || class.Deadline < class.Aim {
			return fmt.Errorf("control: class %q: aim %v and deadline %v", class.Name, class.Aim, class.Deadline)
		}
		if class.Worth < 0 || class.LateShare < 0 || class.LateShare > 1 {
			return fmt.Errorf("control: class %q: worth %v, late %v", class.Name, class.Worth, class.LateShare)
		}
	}
	switch {
	case s.Tick <= 0:
		return fmt.Errorf("control: tick %v", s.Tick)
	case s.ReleaseGuard < 0 || s.MaxHoldOff < 0 || s.AnswerGrace < 0 || s.MaxAttempts < 0:
		return errors.New("control: a time or count is below zero")
	case s.ColdCapacity < 0 || s.ColdCapacity > 1 || s.WarmUpTime < 0:
		return fmt.Errorf("control: cold start from %v within %v", s.ColdCapacity, s.WarmUpTime)
	}
	return nil
}

// aim is the tightest one of the classes.
func (s *Settings) aim() time.Duration {
	return slices.MinFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Aim, b.Aim) }).Aim
}
