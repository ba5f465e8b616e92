package recovery

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a call.
type State int

// The states of a call.
const (
	StatePending     State = iota // its caller waits for the final answer
	StateEstablished              // it was answered and has not ended
	StateRejected                 // it got a final answer and was never established
	StateTerminated               // it was established and has ended
)

// Call is the replayed state of one call.
type Call struct {
	Event               // the KindAccepted event; only the id and a time if that is missing
	State               State
	Attempts            int
	AttemptInProgress   bool // an attempt has neither failed nor been answered
	MayHaveRun          bool // an attempt has failed without proof that it never ran
	Server              string
	Address             string
	ServerStarted       time.Duration
	NotBefore           time.Duration // earliest time of the next attempt
	Answer              string        // description of the answer
	Cause               int
	Reason              string
	HoldOff             time.Duration
	LastEventAt         time.Duration // time of the last event
	Doubtful            bool          // events of the call may be missing
	FromOtherController bool          // claimed from another controller, which may have another address for the same dispatcher
}

// Deadline returns the time by which the caller needs the final answer.
func (c *Call) Deadline() time.Duration { return microseconds(c.DeadlineUs) }

// AcceptedAt returns the time at which the set-up was accepted.
func (c *Call) AcceptedAt() time.Duration { return microseconds(c.AtUs) }

// RetentionPeriod is how long a call is kept after it has ended, so that the outcome can be reported to a caller that resumes it late.
const RetentionPeriod = 20 * time.Second

// CallTable holds the calls that replayed events result in, by id. It is not safe for concurrent use.
type CallTable struct {
	calls      map[string]*Call
	lastAlive  time.Duration // latest time at which the process is known to have been alive
	gapped     bool          // records may be missing
	unexpected int           // number of unexpected or unreadable events
}

// NewCallTable returns an empty CallTable.
func NewCallTable() *CallTable { return &CallTable{calls: map[string]*Call{}} }

// MarkGap records that events of any call may be missing at this point.
func (t *CallTable) MarkGap() {
	t.gapped = true
	for _, c := range t.calls {
		c.Doubtful = c.Doubtful || c.isActive()
	}
}

// Apply replays one event. If the event is unexpected in the state of its call, events are missing, and the call becomes doubtful.
func (t *CallTable) Apply(e Event) {
	at := microseconds(e.AtUs)
	t.lastAlive = max(t.lastAlive, at)
	c := t.calls[e.ID]
	if e.Kind == KindAccepted {
		if c != nil { // ids are never reused
			t.recordUnexpected(c)
			return
		}
		t.calls[e.ID] = &Call{Event: e, LastEventAt: at}
		return
	}
	if c == nil {
		// The first event of the call is missing, or the call was pruned after its end. The event is applied nevertheless: the call may be established.
		t.unexpected++
		c = &Call{Event: Event{ID: e.ID, AtUs: e.AtUs}, Doubtful: true}
		t.calls[e.ID] = c
	}
	c.LastEventAt = max(c.LastEventAt, at)
	t.applyToCall(c, e)
}

// applyToCall replays an event of a call other than its first one.
func (t *CallTable) applyToCall(c *Call, e Event) {
	switch e.Kind {
	case KindAttemptSent:
		if c.State != StatePending || c.AttemptInProgress || e.Attempt != c.Attempts {
			t.recordUnexpected(c)
		}
		c.AttemptInProgress, c.Attempts = true, max(c.Attempts, e.Attempt+1)
		c.setServer(e)
	case KindAttemptFailed:
		if c.State != StatePending || !c.AttemptInProgress || e.Attempt != c.Attempts-1 {
			t.recordUnexpected(c)
		}
		c.AttemptInProgress, c.NotBefore = false, max(c.NotBefore, microseconds(e.NotBeforeUs))
		c.MayHaveRun = c.MayHaveRun || !e.NeverRan
	case KindEstablished:
		if c.State != StatePending || !c.AttemptInProgress && c.Server != "" {
			t.recordUnexpected(c)
		}
		if c.State == StatePending {
			c.State, c.AttemptInProgress, c.Answer = StateEstablished, false, e.Description
		}
		c.Attempts = max(c.Attempts, e.Attempt+1)
		c.setServer(e)
	case KindRejected, KindCancelled:
		if c.State != StatePending {
			t.recordUnexpected(c)
			return
		}
		c.terminate(StateRejected, e)
		if e.Kind == KindCancelled {
			delete(t.calls, e.ID) // its caller will not resume it
		}
	case KindTerminated:
		if c.State != StateEstablished {
			t.recordUnexpected(c)
		}
		c.terminate(StateTerminated, e)
	}
}

func (c *Call) setServer(e Event) {
	c.Server, c.Address, c.ServerStarted = e.Server, e.Address, microseconds(e.ServerStartedUs)
}

// isActive reports whether the call has not ended, so that a missing event can change its state.
func (c *Call) isActive() bool { return c.State == StatePending || c.State == StateEstablished }

func (t *CallTable) recordUnexpected(c *Call) {
	t.unexpected++
	c.Doubtful = c.Doubtful || c.isActive()
}

func (c *Call) terminate(s State, e Event) {
	c.State, c.AttemptInProgress = s, false
	c.Cause, c.Reason, c.HoldOff = e.Cause, e.Reason, microseconds(e.HoldOffUs)
	c.Doubtful = false // the end is certain, whichever events are missing
	c.Description = ""
}

// Prune drops calls that ended more than RetentionPeriod ago.
func (t *CallTable) Prune(now time.Duration) {
	for id, c := range t.calls {
		if c.State >= StateRejected && now-c.LastEventAt > RetentionPeriod {
			delete(t.calls, id)
		}
	}
}

// Calls returns all calls, sorted by id.
func (t *CallTable) Calls() []*Call {
	all := make([]*Call, 0, len(t.calls))
	for _, c := range t.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(x, y *Call) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// LastAlive returns the last time at which the process is known to have been alive.
func (t *CallTable) LastAlive() time.Duration { return t.lastAlive }

// UnexpectedEvents returns the number of unexpected or unreadable events.
func (t *CallTable) UnexpectedEvents() int { return t.unexpected }

// Events returns the fewest events that replay to the same CallTable. There is no KindAccepted event for a doubtful call,
// which therefore stays doubtful, nor for a call of which only the end is known.
func (t *CallTable) Events() []Event {
	var all []Event
	for _, c := range t.Calls() {
		all = append(all, c.Events()...)
	}
	return all
}

// Events returns the fewest events that replay to the same state of the call.
func (c *Call) Events() []Event {
	var all []Event
	common := Event{ID: c.ID, AtUs: c.LastEventAt.Microseconds(), Server: c.Server, Address: c.Address, ServerStartedUs: c.ServerStarted.Microseconds()}
	accepted := c.Event
	accepted.Kind, accepted.Description = KindAccepted, ""
	if c.State == StatePending {
		accepted.Description = c.Event.Description
	}
	if c.DeadlineUs > 0 && !c.Doubtful {
		all = append(all, accepted)
	}
	sent, failed, established := common, common, common
	sent.Kind, sent.Attempt = KindAttemptSent, max(c.Attempts-1, 0)
	failed.Kind, failed.Attempt, failed.NotBeforeUs, failed.NeverRan = KindAttemptFailed, sent.Attempt, c.NotBefore.Microseconds(), !c.MayHaveRun
	established.Kind, established.Attempt, established.Description = KindEstablished, sent.Attempt, c.Answer
	switch c.State {
	case StatePending:
		if c.Attempts > 0 || c.Doubtful {
			all = append(all, replayAttempts(sent, !c.MayHaveRun)...)
		}
		if c.Attempts > 0 && !c.AttemptInProgress && !c.Doubtful {
			all = append(all, failed)
		}
	case StateEstablished:
		all = append(all, established)
	case StateRejected, StateTerminated:
		end := common
		end.Kind, end.Cause, end.Reason, end.HoldOffUs = KindRejected, c.Cause, c.Reason, c.HoldOff.Microseconds()
		if c.State == StateTerminated {
			end.Kind = KindTerminated
			all = append(all, established)
		}
		all = append(all, end)
	}
	return all
}

// replayAttempts returns the events of an attempt and of those before it. Of the earlier attempts, only the number matters, and whether
// none of them ran.
func replayAttempts(sent Event, neverRan bool) []Event {
	var all []Event
	for n := range sent.Attempt {
		earlier, failed := sent, sent
		earlier.Attempt, failed.Attempt, failed.Kind, failed.NeverRan = n, n, KindAttemptFailed, neverRan
		all = append(all, earlier, failed)
	}
	return append(all, sent)
}

// Compact reduces encoded events to the fewest that replay to the same calls, without those past RetentionPeriod. Gaps is as in Replay.
func Compact(records [][]byte, gaps map[int]bool, now time.Duration) ([][]byte, error) {
	t, err := Replay(records, gaps)
	t.Prune(max(now, t.lastAlive))
	var out [][]byte
	for _, e := range t.Events() {
		data, encodeErr := e.Encode()
		if encodeErr != nil {
			return nil, encodeErr
		}
		out = append(out, data)
	}
	return out, err
}

// Replay replays encoded events into a CallTable; gaps holds the indexes before which records may be missing. An unreadable record counts as
// missing. The error of the last one is returned together with the table.
func Replay(records [][]byte, gaps map[int]bool) (t *CallTable, err error) {
	t = NewCallTable()
	for i, data := range records {
		if gaps[i] {
			t.MarkGap()
		}
		e, decodeErr := Decode(data)
		if decodeErr != nil {
			err = decodeErr
			t.unexpected++
			t.MarkGap()
			continue
		}
		t.Apply(e)
	}
	if gaps[len(records)] {
		t.MarkGap()
	}
	return t, err
}

// MarkAlive records that the process was alive at the given time.
func (t *CallTable) MarkAlive(at time.Duration) { t.lastAlive = max(t.lastAlive, at) }
