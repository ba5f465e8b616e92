package dispatchers

import (
	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/ring"
)

// This file defines the messages that are exchanged with dispatchers, independently of the protocol.

// kind is the meaning of a message from a dispatcher.
type kind int

const (
	noAction          kind = iota // a provisional response, or a message that needs only its reply
	handshakeComplete             // the connection can be used now
	answer
	refusal
	released
	refusedOrReleased // a refusal if the set-up is open, else the end of an established call
	releaseConfirmed  // the dispatcher has confirmed a release
	report
)

// Message is a decoded message from a dispatcher.
type Message struct {
	kind        kind
	id          string
	description string
	outcome     control.Outcome
	noLine      bool
	cause       int
	report      []float64
	encodeReply func(called string) []byte // encodes the reply that the protocol requires; nil if it requires none
	final       bool                       // no more messages about the set-up follow
	damaged     bool                       // the description is invalid
	probeReply  uint32                     // number of the probe that it replies to; 0 if it is no reply to a probe
}

// Protocol encodes and decodes the messages on one connection to a dispatcher.
type Protocol interface {
	// Handshake returns the opening message, or nil if the protocol has none.
	Handshake() []byte
	// HandshakeDone reports whether calls can be placed.
	HandshakeDone() bool
	SetUp(call.SetUp) []byte
	Cancel(id string, attempt int, called string) []byte
	Release(id string, cause int) []byte
	// Probe returns a probe and its number on the connection, counted from 1.
	Probe() (message []byte, number uint32)
	// Next decodes the next message from the buffer; it returns nil if none is complete.
	Next(*ring.Buffer) (*Message, error)
	// ClosingMessage returns the message that is sent before the connection is closed because of an error.
	ClosingMessage(err error) []byte
}
