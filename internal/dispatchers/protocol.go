package dispatchers

import (
	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/ring"
)

// What dispatchers say and are told, whatever the form.

// kind says what a dispatcher's message means.
type kind int

const (
	noAction          kind = iota // progress, or what wants no more than its reply
	handshakeComplete             // the connection may be used now
	answer
	refusal
	released
	refusedOrReleased // a refusal if the set-up is open, else the end of a call that stood
	releaseConfirmed  // of a release
	report
)

// Message is what a dispatcher says, whatever the wire.
type Message struct {
	kind        kind
	id          string
	description string
	outcome     control.Outcome
	noLine      bool
	cause       int
	report      []float64
	encodeReply func(called string) []byte // what the wire owes for it; nil for nothing
	final       bool                       // nothing more comes for the set-up
	damaged     bool                       // the description cannot be what was meant
	probeReply  uint32                     // the number of the probe that it is the reply to; 0 for none
}

// Protocol is the form in which one connection speaks to a dispatcher.
type Protocol interface {
	// Handshake opens the conversation; nil if the wire has no such thing.
	Handshake() []byte
	// HandshakeDone reports whether calls can be placed.
	HandshakeDone() bool
	SetUp(call.SetUp) []byte
	Cancel(id string, attempt int, called string) []byte
	Release(id string, cause int) []byte
	// Probe is a probe and its number on the connection, from 1 on.
	Probe() (message []byte, number uint32)
	// Next takes one message off the ring; nil if none is whole yet.
	Next(*ring.Buffer) (*Message, error)
	// ClosingMessage are the last words before the connection is closed for an error.
	ClosingMessage(err error) []byte
}
