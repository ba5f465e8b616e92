// Package call holds the calls of a call controller: what was asked, which attempts were made and how they came
// out. It drives the decision module, keeps its timers and sees to it that each caller gets one final answer. It
// knows no wire: callers' fronts, dispatchers and server lists meet it through the interfaces below.
package call

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
)

// Causes of releases, as Q.850 numbers them.
const (
	CauseNormal     = 16  // the call has come to its end, or its set-up is given up
	CauseNoCircuit  = 34  // refused
	CauseTemporary  = 41  // failed, or a call that was cut
	CauseCongestion = 42  // refused: trying again is harmless
	CauseFacility   = 102 // refused
	CauseBadField   = 100 // failed: the set-up cannot be understood
)

// Request is a set-up that a caller has sent.
type Request struct {
	ID          string
	Class       string
	Called      string
	FirstCell   int
	Redial      bool // a call that was cut and comes again, or a marked redial
	Description string
	TimeLeft    time.Duration // how long its caller said, as it sent the set-up, that it waits
	Deadline    time.Time     // when the caller gives up
	Caller      Caller
	Token       []byte // hash of what its caller can claim it with on another connection; nil if it can't
}

// Reason names what became of a call, in the words of the call-control API.
type Reason string

// The reasons; docs/api.md says what a caller may make of each.
const (
	ReasonEnded      Reason = "ended"       // the call stood and has come to its end
	ReasonCut        Reason = "cut"         // the call stood and was cut
	ReasonRefused    Reason = "refused"     // the decisions have given it up
	ReasonFailed     Reason = "failed"      // its attempts came to nothing
	ReasonDeadline   Reason = "deadline"    // its time ran out
	ReasonDraining   Reason = "draining"    // this controller is about to restart
	ReasonBadRequest Reason = "bad-request" // the set-up makes no sense
	ReasonBadStream  Reason = "bad-stream"  // its connection is closed for an illegal message
	ReasonUnknown    Reason = "unknown"     // it was resumed, and nothing is known of it
)

// BadRequest is the end of a set-up with fields that make no sense.
var BadRequest = End{Cause: CauseBadField, Reason: ReasonBadRequest}

// End tells a caller that its call is refused, has failed or is over.
type End struct {
	Cause   int
	Reason  Reason
	HoldOff time.Duration // refused: how long to keep away; 0 for no advice
}

// Caller is where a call came from: one connection of a front.
type Caller interface {
	// Answer tells that the call stands. An error says that the description does not fit a message, and nothing is told.
	Answer(id, description string) error
	// End is the final answer to a call that does not stand.
	End(id string, end End)
	// Disconnected reports whether who waits there has gone, also where that has not been told yet. What it has said last is taken in first.
	Disconnected() bool
	// NotifyTerminated tells that a call that stood has ended. No connection owns it: if this one has closed since, another
	// one carries the news.
	NotifyTerminated(id string, end End)
}

// Front is a way in for callers.
type Front interface {
	// Release passes on the end of a call that no connection is known for, as after a restart.
	Release(id string, end End)
	// Connections is the number of its connections.
	Connections() int
	// Idle reports whether nothing that callers have sent waits to be taken in, and nothing to be sent to them, nor the end of a call to
	// one that is still to connect or may not have read it.
	Idle() bool
}

// MaxDescription leaves room for the headers around it in a message of 16 KiB, whatever the wire.
const MaxDescription = 14 << 10

// ValidID reports whether id names a call: 16 hex digits.
func ValidID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// ValidDescription reports whether a description can be passed on unchanged, whatever the wire: text that is not empty,
// without control characters but those that part lines. Noise is not.
func ValidDescription(text string) bool {
	return text != "" && utf8.ValidString(text) && !strings.ContainsFunc(text, func(r rune) bool {
		return unicode.IsControl(r) && r != '\r' && r != '\n' && r != '\t'
	})
}

// SetUp is an attempt at a dispatcher.
type SetUp struct {
	ID          string
	Attempt     int
	Class       string
	Called      string
	Description string
	Timeout     time.Duration // how long the call controller will wait
}

// Dispatchers places attempts. What becomes of them comes back through the methods of Core.
type Dispatchers interface {
	// Update takes in changes of the list of dispatchers.
	Update(Update)
	SetUp(control.ServerID, SetUp)
	// CancelAttempt gives up an attempt.
	CancelAttempt(server control.ServerID, id string, attempt int)
	// Release cuts a call that stands; an empty server stands for all of them.
	Release(server control.ServerID, id string, cause int)
	Probe(control.ServerID)
	// Ping probes the connection of an attempt. Done is called once the reply has been read there, behind all that the dispatcher told there
	// before; at once, if the attempt has not left; and with false if the connection ends first, or has ended.
	Ping(server control.ServerID, id string, attempt int, done func(replied bool))
	// Reconnect opens one more connection: a dispatcher tells on it what it told last on one that is lost.
	Reconnect(control.ServerID)
}

// Server is a line of the list of dispatchers.
type Server = pool.Member

// Update is the list of dispatchers, or changes to it.
type Update = pool.Update
