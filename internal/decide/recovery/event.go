// Package recovery decides how a controller that restarts after a crash continues the calls of the previous process. A CallTable replays
// the logged events into calls, and its Plan method decides on each call. The package does no I/O, and the current time is an argument: Unix
// time, as a duration since 1970.
package recovery

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. Their numbers are stored on disk: new ones may be added, but none may be changed or reused.
const (
	KindAccepted      Kind = 1 // a set-up was accepted: its caller waits for a final answer
	KindAttemptSent   Kind = 2 // an attempt was sent
	KindAttemptFailed Kind = 3 // the attempt failed
	KindEstablished   Kind = 4 // the call was established
	KindRejected      Kind = 5 // the call was rejected
	KindTerminated    Kind = 6 // the established call was terminated
	KindCancelled     Kind = 7 // the caller cancelled the set-up: it needs no answer
)

// Repetition states when a set-up may be repeated. The numbers are stored on disk: none may be changed or reused.
type Repetition uint8

// The values of Repetition.
const (
	RepetitionUnknown  Repetition = 0 // the event is of an older version
	RepeatFreely       Repetition = 1
	RepeatByKey        Repetition = 2 // all servers discard repeats
	RepeatByKeyInZone  Repetition = 3 // the servers in one zone discard repeats
	RepeatByKeyInCell  Repetition = 4 // the servers in one cell discard repeats
	RepeatIfItNeverRan Repetition = 5
)

// Event is an event of a call. Times are Unix times in microseconds.
type Event struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	AtUs int64  `cbor:"3,keyasint"`

	// Fields of KindAccepted.
	Class       string `cbor:"4,keyasint,omitempty"`
	Called      string `cbor:"5,keyasint,omitempty"`
	FirstCell   int    `cbor:"6,keyasint,omitempty"`
	Redial      bool   `cbor:"7,keyasint,omitempty"`
	Description string `cbor:"8,keyasint,omitempty"` // of the set-up; in KindEstablished, of the answer
	DeadlineUs  int64  `cbor:"9,keyasint,omitempty"`
	Token       []byte `cbor:"10,keyasint,omitempty"` // hash of the token with which the caller can resume the call
	// Repetition is that of the class when the set-up was accepted.
	Repetition Repetition `cbor:"19,keyasint,omitempty"`

	// Fields of KindAttemptSent, KindAttemptFailed and KindEstablished.
	Attempt         int    `cbor:"11,keyasint,omitempty"`
	Server          string `cbor:"12,keyasint,omitempty"`
	Address         string `cbor:"13,keyasint,omitempty"`
	ServerStartedUs int64  `cbor:"14,keyasint,omitempty"` // start time of the server
	NotBeforeUs     int64  `cbor:"15,keyasint,omitempty"` // in KindAttemptFailed: earliest time of the next attempt
	NeverRan        bool   `cbor:"20,keyasint,omitempty"` // in KindAttemptFailed: the outcome proves that the attempt never ran

	// Fields of KindRejected and KindTerminated.
	Cause     int    `cbor:"16,keyasint,omitempty"`
	Reason    string `cbor:"17,keyasint,omitempty"`
	HoldOffUs int64  `cbor:"18,keyasint,omitempty"`
}

// maxIDLength and maxDescriptionLength are the largest sizes of an id and a description in an event, in bytes. This program writes no larger
// ones.
const (
	maxIDLength          = 64
	maxDescriptionLength = 64 << 10
)

// The CBOR modes. The encoding is deterministic.
var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 64}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // cannot happen: the options above are constant
	}
	return v
}

// Encode encodes an event as CBOR.
func (e *Event) Encode() ([]byte, error) {
	data, err := encoder.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("event: %w", err)
	}
	return data, nil
}

// Decode decodes an event. Unknown keys are ignored; an unknown kind is an error.
func Decode(data []byte) (Event, error) {
	var e Event
	if err := decoder.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("event: %w", err)
	}
	switch {
	case e.Kind < KindAccepted || e.Kind > KindCancelled:
		return e, fmt.Errorf("event has the unknown kind %d", e.Kind)
	case e.ID == "" || len(e.ID) > maxIDLength || len(e.Description) > maxDescriptionLength || e.Attempt < 0 || e.AtUs < 0 || e.DeadlineUs < 0:
		return e, fmt.Errorf("event of kind %d has a missing, too long or negative field", e.Kind)
	}
	return e, nil
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
