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
	Open     State = iota // its caller waits for a final answer
	Standing              // established
	Answered              // rejected: it had a final answer and was not established
	Ended                 // established, and terminated
)

// Call is the replayed state of one call.
type Call struct {
	Event     // as it was accepted; only the id if that event is lost
	State     State
	Attempts  int
	Out       bool // an attempt was in progress
	Server    string
	Address   string
	Started   time.Duration
	NotBefore time.Duration // no attempt before that
	Answer    string        // the description of the answer
	Cause     int
	Reason    string
	HoldOff   time.Duration
	At        time.Duration // of the last event
	Doubtful  bool          // events of it may be lost
	Foreign   bool          // claimed from another controller, which may reach the same dispatcher at another address
}

// Deadline is when its caller gives up.
func (c *Call) Deadline() time.Duration { return microseconds(c.DeadlineUs) }

// TakenAt is when it was accepted.
func (c *Call) TakenAt() time.Duration { return microseconds(c.AtUs) }

// Remember is how long a call is kept after its end, so that a caller that resumes it late is told.
const Remember = 20 * time.Second

// Book replays events into calls. It is not safe for concurrent use.
type Book struct {
	calls      map[string]*Call
	last       time.Duration // of all events
	gapped     bool
	unexpected int // events that do not fit
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{calls: map[string]*Call{}} }

// Gap records that events may be missing here, of any call.
func (b *Book) Gap() {
	b.gapped = true
	for _, c := range b.calls {
		c.Doubtful = c.Doubtful || c.unresolved()
	}
}

// Apply replays one event. One that is unexpected in the state of its call makes the call doubtful: events have been lost.
func (b *Book) Apply(e Event) {
	at := microseconds(e.AtUs)
	b.last = max(b.last, at)
	c := b.calls[e.ID]
	if e.Kind == Took {
		if c != nil { // an id is never used again
			b.recordUnexpected(c)
			return
		}
		b.calls[e.ID] = &Call{Event: e, At: at}
		return
	}
	if c == nil {
		// Its first event was lost, or it was forgotten after its end. What the event says of a call that may be established still counts.
		b.unexpected++
		c = &Call{Event: Event{ID: e.ID, AtUs: e.AtUs}, Doubtful: true}
		b.calls[e.ID] = c
	}
	c.At = max(c.At, at)
	b.applyTo(c, e)
}

// applyTo replays an event that follows the first one of its call.
func (b *Book) applyTo(c *Call, e Event) {
	switch e.Kind {
	case Sent:
		if c.State != Open || c.Out || e.Attempt != c.Attempts {
			b.recordUnexpected(c)
		}
		c.Out, c.Attempts = true, max(c.Attempts, e.Attempt+1)
		c.setServer(e)
	case Back:
		if c.State != Open || !c.Out || e.Attempt != c.Attempts-1 {
			b.recordUnexpected(c)
		}
		c.Out, c.NotBefore = false, max(c.NotBefore, microseconds(e.NotBeforeUs))
	case Stood:
		if c.State != Open || !c.Out && c.Server != "" {
			b.recordUnexpected(c)
		}
		if c.State == Open {
			c.State, c.Out, c.Answer = Standing, false, e.Description
		}
		c.Attempts = max(c.Attempts, e.Attempt+1)
		c.setServer(e)
	case Final, Left:
		if c.State != Open {
			b.recordUnexpected(c)
			return
		}
		c.finish(Answered, e)
		if e.Kind == Left {
			delete(b.calls, e.ID) // its caller does not come back
		}
	case Over:
		if c.State != Standing {
			b.recordUnexpected(c)
		}
		c.finish(Ended, e)
	}
}

func (c *Call) setServer(e Event) {
	c.Server, c.Address, c.Started = e.Server, e.Address, microseconds(e.StartedUs)
}

// unresolved reports whether the loss of events can matter to the call.
func (c *Call) unresolved() bool { return c.State == Open || c.State == Standing }

func (b *Book) recordUnexpected(c *Call) {
	b.unexpected++
	c.Doubtful = c.Doubtful || c.unresolved()
}

func (c *Call) finish(s State, e Event) {
	c.State, c.Out = s, false
	c.Cause, c.Reason, c.HoldOff = e.Cause, e.Reason, microseconds(e.HoldOffUs)
	c.Doubtful = false // the end is certain, whatever was lost
	c.Description = ""
}

// Forget drops calls that ended more than Remember ago.
func (b *Book) Forget(now time.Duration) {
	for id, c := range b.calls {
		if c.State >= Answered && now-c.At > Remember {
			delete(b.calls, id)
		}
	}
}

// Calls returns all calls, sorted by id.
func (b *Book) Calls() []*Call {
	all := make([]*Call, 0, len(b.calls))
	for _, c := range b.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(x, y *Call) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Last returns the last time at which the process is known to have been alive.
func (b *Book) Last() time.Duration { return b.last }

// Strays returns the number of unexpected or unreadable events.
func (b *Book) Strays() int { return b.unexpected }

// Events returns the fewest events that replay to the same Book. Doubtful calls stay doubtful: one of which only the end is known has no Took.
func (b *Book) Events() []Event {
	var all []Event
	for _, c := range b.Calls() {
		all = append(all, c.Events()...)
	}
	return all
}

// Events returns the fewest events that replay to the same call.
func (c *Call) Events() []Event {
	var all []Event
	place := Event{ID: c.ID, AtUs: c.At.Microseconds(), Server: c.Server, Address: c.Address, StartedUs: c.Started.Microseconds()}
	taken := c.Event
	taken.Kind, taken.Description = Took, ""
	if c.State == Open {
		taken.Description = c.Event.Description
	}
	if c.DeadlineUs > 0 && !c.Doubtful {
		all = append(all, taken)
	}
	sent, back, stood := place, place, place
	sent.Kind, sent.Attempt = Sent, max(c.Attempts-1, 0)
	back.Kind, back.Attempt, back.NotBeforeUs = Back, sent.Attempt, c.NotBefore.Microseconds()
	stood.Kind, stood.Attempt, stood.Description = Stood, sent.Attempt, c.Answer
	switch c.State {
	case Open:
		if c.Attempts > 0 || c.Doubtful {
			all = append(all, replayAttempts(sent)...)
		}
		if c.Attempts > 0 && !c.Out && !c.Doubtful {
			all = append(all, back)
		}
	case Standing:
		all = append(all, stood)
	case Answered, Ended:
		end := place
		end.Kind, end.Cause, end.Reason, end.HoldOffUs = Final, c.Cause, c.Reason, c.HoldOff.Microseconds()
		if c.State == Ended {
			end.Kind = Over
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
		earlier.Attempt, failed.Attempt, failed.Kind = n, n, Back
		all = append(all, earlier, failed)
	}
	return append(all, sent)
}

// Compact reduces encoded events to the fewest that replay to the same calls. Gaps are those of Read.
func Compact(records [][]byte, gaps map[int]bool, now time.Duration) ([][]byte, error) {
	b, err := Read(records, gaps)
	b.Forget(max(now, b.last))
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

// Read replays records into a Book; gaps holds the indexes before which records may be missing. An unreadable record counts as missing, and
// the last error is returned with the Book.
func Read(records [][]byte, gaps map[int]bool) (b *Book, err error) {
	b = NewBook()
	for i, text := range records {
		if gaps[i] {
			b.Gap()
		}
		e, bad := Decode(text)
		if bad != nil {
			err = bad
			b.unexpected++
			b.Gap()
			continue
		}
		b.Apply(e)
	}
	if gaps[len(records)] {
		b.Gap()
	}
	return b, err
}

// Alive records that the process was alive at a time.
func (b *Book) Alive(at time.Duration) { b.last = max(b.last, at) }
