package recovery

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a call.
type State int

// The states.
const (
	StatePending     State = iota // its caller waits for a final answer
	StateEstablished              // established
	StateRejected                 // rejected: it had a final answer and was not established
	StateTerminated               // established, and terminated
)

// Call is the replayed state of one call.
type Call struct {
	Event               // as it was accepted; only the id if that event is lost
	State               State
	Attempts            int
	AttemptInProgress   bool // an attempt was in progress
	Server              string
	Address             string
	ServerStarted       time.Duration
	NotBefore           time.Duration // no attempt before that
	Answer              string        // the description of the answer
	Cause               int
	Reason              string
	HoldOff             time.Duration
	LastEventAt         time.Duration // of the last event
	Doubtful            bool          // events of it may be lost
	FromOtherController bool          // claimed from another controller, which may reach the same dispatcher at another address
}

// Deadline is when its caller gives up.
func (c *Call) Deadline() time.Duration { return microseconds(c.DeadlineUs) }

// AcceptedAt is when it was accepted.
func (c *Call) AcceptedAt() time.Duration { return microseconds(c.AtUs) }

// RetentionPeriod is how long a call is kept after its end, so that a caller that resumes it late is told.
const RetentionPeriod = 20 * time.Second

// CallTable replays events into calls. It is not safe for concurrent use.
type CallTable struct {
	calls      map[string]*Call
	last       time.Duration // of all events
	gapped     bool
	unexpected int // events that do not fit
}

// NewCallTable returns an empty Book.
func NewCallTable() *CallTable { return &CallTable{calls: map[string]*Call{}} }

// MarkGap records that events may be missing here, of any call.
func (b *CallTable) MarkGap() {
	b.gapped = true
	for _, c := range b.calls {
		c.Doubtful = c.Doubtful || c.unresolved()
	}
}

// Apply replays one event. One that is unexpected in the state of its call makes the call doubtful: events have been lost.
func (b *CallTable) Apply(e Event) {
	at := microseconds(e.AtUs)
	b.last = max(b.last, at)
	c := b.calls[e.ID]
	if e.Kind == KindAccepted {
		if c != nil { // an id is never used again
			b.recordUnexpected(c)
			return
		}
		b.calls[e.ID] = &Call{Event: e, LastEventAt: at}
		return
	}
	if c == nil {
		// Its first event was lost, or it was forgotten after its end. What the event says of a call that may be established still counts.
		b.unexpected++
		c = &Call{Event: Event{ID: e.ID, AtUs: e.AtUs}, Doubtful: true}
		b.calls[e.ID] = c
	}
	c.LastEventAt = max(c.LastEventAt, at)
	b.applyTo(c, e)
}

// applyTo replays an event that follows the first one of its call.
func (b *CallTable) applyTo(c *Call, e Event) {
	switch e.Kind {
	case KindAttemptSent:
		if c.State != StatePending || c.AttemptInProgress || e.Attempt != c.Attempts {
			b.recordUnexpected(c)
		}
		c.AttemptInProgress, c.Attempts = true, max(c.Attempts, e.Attempt+1)
		c.setServer(e)
	case KindAttemptFailed:
		if c.State != StatePending || !c.AttemptInProgress || e.Attempt != c.Attempts-1 {
			b.recordUnexpected(c)
		}
		c.AttemptInProgress, c.NotBefore = false, max(c.NotBefore, microseconds(e.NotBeforeUs))
	case KindEstablished:
		if c.State != StatePending || !c.AttemptInProgress && c.Server != "" {
			b.recordUnexpected(c)
		}
		if c.State == StatePending {
			c.State, c.AttemptInProgress, c.Answer = StateEstablished, false, e.Description
		}
		c.Attempts = max(c.Attempts, e.Attempt+1)
		c.setServer(e)
	case KindRejected, KindCancelled:
		if c.State != StatePending {
			b.recordUnexpected(c)
			return
		}
		c.finish(StateRejected, e)
		if e.Kind == KindCancelled {
			delete(b.calls, e.ID) // its caller does not come back
		}
	case KindTerminated:
		if c.State != StateEstablished {
			b.recordUnexpected(c)
		}
		c.finish(StateTerminated, e)
	}
}

func (c *Call) setServer(e Event) {
	c.Server, c.Address, c.ServerStarted = e.Server, e.Address, microseconds(e.ServerStartedUs)
}

// unresolved reports whether the loss of events can matter to the call.
func (c *Call) unresolved() bool { return c.State == StatePending || c.State == StateEstablished }

func (b *CallTable) recordUnexpected(c *Call) {
	b.unexpected++
	c.Doubtful = c.Doubtful || c.unresolved()
}

func (c *Call) finish(s State, e Event) {
	c.State, c.AttemptInProgress = s, false
	c.Cause, c.Reason, c.HoldOff = e.Cause, e.Reason, microseconds(e.HoldOffUs)
	c.Doubtful = false // the end is certain, whatever was lost
	c.Description = ""
}

// Prune drops calls that ended more than Remember ago.
func (b *CallTable) Prune(now time.Duration) {
	for id, c := range b.calls {
		if c.State >= StateRejected && now-c.LastEventAt > RetentionPeriod {
			delete(b.calls, id)
		}
	}
}

// Calls returns all calls, sorted by id.
func (b *CallTable) Calls() []*Call {
	all := make([]*Call, 0, len(b.calls))
	for _, c := range b.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(x, y *Call) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// LastAlive returns the last time at which the process is known to have been alive.
func (b *CallTable) LastAlive() time.Duration { return b.last }

// UnexpectedEvents returns the number of unexpected or unreadable events.
func (b *CallTable) UnexpectedEvents() int { return b.unexpected }

// Events returns the fewest events that replay to the same Book. Doubtful calls stay doubtful: one of which only the end is known has no Took.
func (b *CallTable) Events() []Event {
	var all []Event
	for _, c := range b.Calls() {
		all = append(all, c.Events()...)
	}
	return all
}

// Events returns the fewest events that replay to the same call.
func (c *Call) Events() []Event {
	var all []Event
	place := Event{ID: c.ID, AtUs: c.LastEventAt.Microseconds(), Server: c.Server, Address: c.Address, ServerStartedUs: c.ServerStarted.Microseconds()}
	taken := c.Event
	taken.Kind, taken.Description = KindAccepted, ""
	if c.State == StatePending {
		taken.Description = c.Event.Description
	}
	if c.DeadlineUs > 0 && !c.Doubtful {
		all = append(all, taken)
	}
	sent, back, stood := place, place, place
	sent.Kind, sent.Attempt = KindAttemptSent, max(c.Attempts-1, 0)
	back.Kind, back.Attempt, back.NotBeforeUs = KindAttemptFailed, sent.Attempt, c.NotBefore.Microseconds()
	stood.Kind, stood.Attempt, stood.Description = KindEstablished, sent.Attempt, c.Answer
	switch c.State {
	case StatePending:
		if c.Attempts > 0 || c.Doubtful {
			all = append(all, replayAttempts(sent)...)
		}
		if c.Attempts > 0 && !c.AttemptInProgress && !c.Doubtful {
			all = append(all, back)
		}
	case StateEstablished:
		all = append(all, stood)
	case StateRejected, StateTerminated:
		end := place
		end.Kind, end.Cause, end.Reason, end.HoldOffUs = KindRejected, c.Cause, c.Reason, c.HoldOff.Microseconds()
		if c.State == StateTerminated {
			end.Kind = KindTerminated
			all = append(all, stood)
		}
		all = append(all, end)
	}
	return all
}

// replayAttempts returns an attempt and those before it, of which only the number matters.
func replayAttempts(sent Event) []Event {
	var all []Event
	for n := range sent.Attempt {
		earlier, failed := sent, sent
		earlier.Attempt, failed.Attempt, failed.Kind = n, n, KindAttemptFailed
		all = append(all, earlier, failed)
	}
	return append(all, sent)
}

// Compact reduces encoded events to the fewest that replay to the same calls. Gaps are those of Read.
func Compact(records [][]byte, gaps map[int]bool, now time.Duration) ([][]byte, error) {
	b, err := Replay(records, gaps)
	b.Prune(max(now, b.last))
	var out [][]byte
	for _, e := range b.Events() {
		text, encodeErr := e.Encode()
		if encodeErr != nil {
			return nil, encodeErr
		}
		out = append(out, text)
	}
	return out, err
}

// Replay replays records into a Book; gaps holds the indexes before which records may be missing. An unreadable record counts as missing, and
// the last error is returned with the Book.
func Replay(records [][]byte, gaps map[int]bool) (b *CallTable, err error) {
	b = NewCallTable()
	for i, text := range records {
		if gaps[i] {
			b.MarkGap()
		}
		e, bad := Decode(text)
		if bad != nil {
			err = bad
			b.unexpected++
			b.MarkGap()
			continue
		}
		b.Apply(e)
	}
	if gaps[len(records)] {
		b.MarkGap()
	}
	return b, err
}

// MarkAlive records that the process was alive at a time.
func (b *CallTable) MarkAlive(at time.Duration) { b.last = max(b.last, at) }
