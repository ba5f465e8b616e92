// Package recovery decides what becomes of calls when a controller restarts after it was killed. A Book replays the logged events into calls;
// its Plan decides on each. There is no I/O here, and the clock is an argument: Unix time, as a duration since 1970.
package recovery

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds. Their numbers are on disk: new ones may be added, none may be reused.
const (
	KindAccepted      Kind = 1 // a set-up was accepted: its caller waits for a final answer
	KindAttemptSent   Kind = 2 // an attempt was sent
	KindAttemptFailed Kind = 3 // the attempt failed
	KindEstablished   Kind = 4 // the call was established
	KindRejected      Kind = 5 // the call was rejected
	KindTerminated    Kind = 6 // the established call was terminated
	KindCancelled     Kind = 7 // the caller gave the set-up up: it needs no answer
)

// Event is an event of a call. Times are Unix times in microseconds.
type Event struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
	AtUs int64  `cbor:"3,keyasint"`

	// Took.
	Class       string `cbor:"4,keyasint,omitempty"`
	Called      string `cbor:"5,keyasint,omitempty"`
	FirstCell   int    `cbor:"6,keyasint,omitempty"`
	Redial      bool   `cbor:"7,keyasint,omitempty"`
	Description string `cbor:"8,keyasint,omitempty"` // of the set-up; of the answer in Stood
	DeadlineUs  int64  `cbor:"9,keyasint,omitempty"`
	Token       []byte `cbor:"10,keyasint,omitempty"` // hash of the token that its caller can claim it with

	// Sent, Back and Stood.
	Attempt         int    `cbor:"11,keyasint,omitempty"`
	Server          string `cbor:"12,keyasint,omitempty"`
	Address         string `cbor:"13,keyasint,omitempty"`
	ServerStartedUs int64  `cbor:"14,keyasint,omitempty"` // of the server
	NotBeforeUs     int64  `cbor:"15,keyasint,omitempty"` // Back: no attempt before that

	// Final and Over.
	Cause     int    `cbor:"16,keyasint,omitempty"`
	Reason    string `cbor:"17,keyasint,omitempty"`
	HoldOffUs int64  `cbor:"18,keyasint,omitempty"`
}

// maxID and maxText bound the sizes in an event; a larger one was not written by this program.
const (
	maxID   = 64
	maxText = 64 << 10
)

// The modes of the encoding, which is deterministic.
var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 64}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constant
	}
	return v
}

// Encode encodes an event as CBOR.
func (e *Event) Encode() ([]byte, error) {
	text, err := encoder.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("event: %w", err)
	}
	return text, nil
}

// Decode decodes an event. Unknown keys are ignored; an unknown kind is an error.
func Decode(text []byte) (Event, error) {
	var e Event
	if err := decoder.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("event: %w", err)
	}
	switch {
	case e.Kind < KindAccepted || e.Kind > KindCancelled:
		return e, fmt.Errorf("event of the unknown kind %d", e.Kind)
	case e.ID == "" || len(e.ID) > maxID || len(e.Description) > maxText || e.Attempt < 0 || e.AtUs < 0 || e.DeadlineUs < 0:
		return e, fmt.Errorf("event of kind %d that makes no sense", e.Kind)
	}
	return e, nil
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
