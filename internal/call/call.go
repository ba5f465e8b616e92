// Package call implements the core of a call controller: it keeps the state of all calls, their attempts and their
// outcomes. It drives the decision module, runs its timers, and ensures that each caller gets exactly one final answer.
// It is independent of any protocol: callers' fronts, dispatchers and server lists are attached through the interfaces
// below.
package call

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"cherryrelay/control"
	"cherryrelay/internal/decide/pool"
)

// Causes of releases, with the numbers of Q.850.
const (
	CauseNormal     = 16  // the call ended normally, or its set-up was cancelled
	CauseNoCircuit  = 34  // the call was refused
	CauseTemporary  = 41  // the attempt failed, or an established call was cut
	CauseCongestion = 42  // the call was refused, and a retry does no harm
	CauseFacility   = 102 // the call was refused
	CauseBadField   = 100 // the call failed: a field of the set-up is invalid
)

// Request is a set-up from a caller.
type Request struct {
	ID          string
	Class       string
	Called      string
	FirstCell   int
	Redial      bool // the call was cut and is set up again, or it is a marked redial
	Description string
	TimeLeft    time.Duration // how long the caller waits, as stated when it sent the set-up
	Deadline    time.Time     // when the caller stops waiting
	Caller      Caller
	Token       []byte // hash of the token with which its caller can resume it on another connection; nil if it cannot
}

// Reason is the reason for the end of a call, as named in the call-control API.
type Reason string

// The reasons; docs/api.md describes how callers should react to each.
const (
	ReasonEnded      Reason = "ended"       // the call was established and has ended
	ReasonCut        Reason = "cut"         // the call was established and was cut
	ReasonRefused    Reason = "refused"     // the decision module refused the call
	ReasonFailed     Reason = "failed"      // no attempt established the call
	ReasonDeadline   Reason = "deadline"    // the call was not established before its deadline
	ReasonDraining   Reason = "draining"    // this controller is about to restart
	ReasonBadRequest Reason = "bad-request" // the set-up is invalid
	ReasonBadStream  Reason = "bad-stream"  // the connection is closed because of an illegal message
	ReasonUnknown    Reason = "unknown"     // the caller resumed a call that is not known here
)

// BadRequest is the final answer to a set-up with invalid fields.
var BadRequest = End{Cause: CauseBadField, Reason: ReasonBadRequest}

// End describes why a call was refused, has failed or is terminated.
type End struct {
	Cause   int
	Reason  Reason
	HoldOff time.Duration // of a refused call: how long the caller should wait before a retry; 0 for no advice
}

// Caller is the connection on which a call was set up or resumed.
type Caller interface {
	// Answer sends the answer that establishes the call. It returns an error, and sends nothing, if the description
	// does not fit a message.
	Answer(id, description string) error
	// End sends the final answer to a call that is not established.
	End(id string, end End)
	// Disconnected reports whether the caller has disconnected, even if that has not been reported yet. It first
	// processes the caller's unread input.
	Disconnected() bool
	// NotifyTerminated reports the end of an established call. The call is not bound to this connection: if it has
	// closed, the end is sent on another one.
	NotifyTerminated(id string, end End)
}

// Front accepts connections from callers.
type Front interface {
	// Release delivers the end of a call whose caller's connection is not known, as after a restart.
	Release(id string, end End)
	// Connections returns the number of open connections.
	Connections() int
	// Idle reports whether there is no unread input from callers, no unsent output to them, and no end of a call that
	// waits for its caller to connect or may not have been read.
	Idle() bool
}

// MaxDescription is the longest description, in bytes. It leaves room for the headers in a message of 16 KiB on every
// protocol.
const MaxDescription = 14 << 10

// ValidID reports whether id is a valid call id: 16 hex digits.
func ValidID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// ValidDescription reports whether a description can be forwarded unchanged on every protocol: it must be non-empty
// UTF-8 text without control characters other than tabs and line breaks.
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
	Timeout     time.Duration // how long the call controller waits for an answer
}

// Dispatchers sends attempts to dispatchers. Their outcomes are reported to the methods of Core.
type Dispatchers interface {
	// Update applies changes to the list of dispatchers.
	Update(Update)
	// SetUp starts an attempt.
	SetUp(control.ServerID, SetUp)
	// CancelAttempt cancels an attempt, and reports whether nothing of it was sent, and nothing will be.
	CancelAttempt(server control.ServerID, id string, attempt int) (neverSent bool)
	// Release releases an established call; an empty server releases it at all dispatchers.
	Release(server control.ServerID, id string, cause int)
	// Probe sends a probe to a dispatcher.
	Probe(control.ServerID)
	// Ping probes the connection of an attempt. It calls done(true) when the reply has been read, and everything that
	// the dispatcher sent there before it; or at once if the attempt has not been sent yet. It calls done(false) if the
	// connection ends first or has already ended.
	Ping(server control.ServerID, id string, attempt int, done func(replied bool))
	// Reconnect opens one more connection, on which the dispatcher repeats what it last sent on a lost one.
	Reconnect(control.ServerID)
}

// Server is an entry of the list of dispatchers.
type Server = pool.Member

// Update is a complete list of dispatchers, or changes to it.
type Update = pool.Update
