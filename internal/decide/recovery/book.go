package recovery

import (
	"cmp"
	"slices"
	"time"
)

// State is how far a call has come.
type State int

// The states.
const (
	Open     State = iota // owed a final answer
	Standing              // answered
	Answered              // had a final answer, and did not stand
	Ended                 // stood, and is over
)

// Call is what is known of one call.
type Call struct {
	Event           // as it was taken; of one whose taking is not known, only the id
	State     State //
	Attempts  int
	Out       bool // an attempt was under way
	Server    string
	Address   string
	Started   time.Duration
	NotBefore time.Duration // no attempt before that
	Answer    string        // the description of the answer
	Cause     int
	Reason    string
	HoldOff   time.Duration
	At        time.Duration // of the last event
	Doubtful  bool          // something of it may be lost
	Foreign   bool          // it was another controller's, which may reach the same dispatcher at another address
}

// Deadline is when its caller gives up.
func (c *Call) Deadline() time.Duration { return micros(c.DeadlineUs) }

// TakenAt is when it was taken.
func (c *Call) TakenAt() time.Duration { return micros(c.AtUs) }

// Remember is how long a call that is over is known, so that who resumes it late still hears.
const Remember = 20 * time.Second

// Book makes calls of events. It is not safe for concurrent use.
type Book struct {
	calls  map[string]*Call
	last   time.Duration // of all events
	gapped bool
	strays int // events that do not fit
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{calls: map[string]*Call{}} }

// Gap tells that events may be missing here: they may have been about any call.
func (b *Book) Gap() {
	b.gapped = true
	for _, c := range b.calls {
		c.Doubtful = c.Doubtful || c.State == Open || c.State == Standing
	}
}

// Apply takes in one event. Those that do not fit what is known make their call doubtful: something has been lost.
func (b *Book) Apply(e Event) {
	at := micros(e.AtUs)
	b.last = max(b.last, at)
	c := b.calls[e.ID]
	if e.Kind == Took {
		if c != nil { // an id is never used again
			b.stray(c)
			return
		}
		b.calls[e.ID] = &Call{Event: e, At: at}
		return
	}
	if c == nil {
		// Its beginning was lost, or it was forgotten as over. What it says of a call that may stand still counts.
		b.strays++
		c = &Call{Event: Event{ID: e.ID, AtUs: e.AtUs}, Doubtful: true}
		b.calls[e.ID] = c
	}
	c.At = max(c.At, at)
	switch e.Kind {
	case Sent:
		if c.State != Open || c.Out || e.Attempt != c.Attempts {
			b.stray(c)
		}
		c.Out, c.Attempts = true, max(c.Attempts, e.Attempt+1)
		c.Server, c.Address, c.Started = e.Server, e.Address, micros(e.StartedUs)
	case Back:
		if c.State != Open || !c.Out || e.Attempt != c.Attempts-1 {
			b.stray(c)
		}
		c.Out, c.NotBefore = false, max(c.NotBefore, micros(e.NotBeforeUs))
	case Stood:
		if c.State != Open || !c.Out && c.Server != "" {
			b.stray(c)
		}
		if c.State == Open {
			c.State, c.Out, c.Answer = Standing, false, e.Description
		}
		c.Attempts = max(c.Attempts, e.Attempt+1)
		c.Server, c.Address, c.Started = e.Server, e.Address, micros(e.StartedUs)
	case Final, Left:
		if c.State != Open {
			b.stray(c)
			return
		}
		c.finish(Answered, e)
		if e.Kind == Left {
			delete(b.calls, e.ID) // nobody will ask
		}
	case Over:
		if c.State != Standing {
			b.stray(c)
		}
		c.finish(Ended, e)
	}
}

func (b *Book) stray(c *Call) {
	b.strays++
	c.Doubtful = c.Doubtful || c.State == Open || c.State == Standing
}

func (c *Call) finish(s State, e Event) {
	c.State, c.Out = s, false
	c.Cause, c.Reason, c.HoldOff = e.Cause, e.Reason, micros(e.HoldOffUs)
	c.Doubtful = false // whatever was lost, this is how it ended
	c.Description = ""
}

// Forget drops calls that have long been over.
func (b *Book) Forget(now time.Duration) {
	for id, c := range b.calls {
		if c.State >= Answered && now-c.At > Remember {
			delete(b.calls, id)
		}
	}
}

// Calls are all that are known, by id.
func (b *Book) Calls() []*Call {
	all := make([]*Call, 0, len(b.calls))
	for _, c := range b.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(x, y *Call) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Last is when the last event happened: the process was alive then.
func (b *Book) Last() time.Duration { return b.last }

// Strays is how many events did not fit.
func (b *Book) Strays() int { return b.strays }

// Events are the least that makes the same Book, but for what was doubtful, which stays so: a call of which only its end
// is known has no Took.
func (b *Book) Events() []Event {
	var all []Event
	for _, c := range b.Calls() {
		all = append(all, c.Events()...)
	}
	return all
}

// Events are the least that makes the same call.
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
			all = append(all, catchUp(sent)...)
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

// catchUp gives an attempt those before it, of which nothing but their number counts any more.
func catchUp(sent Event) []Event {
	var all []Event
	for n := range sent.Attempt {
		s, b := sent, sent
		s.Attempt, b.Attempt, b.Kind = n, n, Back
		all = append(all, s, b)
	}
	return append(all, sent)
}

// Compact makes the least of a log: the events in their encoding, with whether some are missing before each. What was lost
// stays doubtful.
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

// Read makes a Book of records; gaps names those before which others may be missing. One that cannot be read counts as
// missing, and the last error is returned beside the Book.
func Read(records [][]byte, gaps map[int]bool) (b *Book, err error) {
	b = NewBook()
	for i, text := range records {
		if gaps[i] {
			b.Gap()
		}
		e, bad := Decode(text)
		if bad != nil {
			err = bad
			b.strays++
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

// Alive tells that the process was alive at a time, whether or not an event says so.
func (b *Book) Alive(at time.Duration) { b.last = max(b.last, at) }
