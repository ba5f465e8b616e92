// Package websocket is the framing of RFC 6455 without sockets: frames are taken off a ring, put together to
// messages, and written. See handshake.go for the opening.
package websocket

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"unicode/utf8"

	"cherryrelay/internal/ring"
)

// Opcode is the kind of a frame.
type Opcode byte

// The opcodes of RFC 6455, 5.2.
const (
	Continuation Opcode = 0
	Text         Opcode = 1
	Binary       Opcode = 2
	Close        Opcode = 8
	Ping         Opcode = 9
	Pong         Opcode = 10
)

// Close codes of RFC 6455, 7.4.1.
const (
	Normal        = 1000
	GoingAway     = 1001
	ProtocolError = 1002
	Unsupported   = 1003
	noStatus      = 1005 // never sent
	BadData       = 1007
	PolicyError   = 1008
	TooBig        = 1009
)

// MaxMessage is the largest message, all its fragments together.
const MaxMessage = 16 << 10

// maxControl is the largest payload of a control frame.
const maxControl = 125

// Error is a fault of the peer, with the code to close with.
type Error struct {
	Code int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("websocket: %s (%d)", e.Text, e.Code) }

// CloseCode is the code to close a connection with for an error.
func CloseCode(err error) int {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e.Code
	case err == nil:
		return Normal
	}
	return PolicyError
}

// Message is a whole message or a control frame. For Close, Code is what the peer gave.
type Message struct {
	Op      Opcode
	Payload []byte
	Code    int
}

// Decoder takes messages off a ring.
type Decoder struct {
	// Masked says whether the peer must mask its frames: clients must, servers must not.
	Masked bool

	message []byte // fragments so far
	op      Opcode // of the message under way; Continuation for none
}

// Next returns the next message or control frame, or nil if none is whole yet.
func (d *Decoder) Next(in *ring.Buffer) (*Message, error) {
	for {
		f, size, err := d.readFrame(in)
		if f == nil || err != nil {
			return nil, err
		}
		in.Discard(size)
		switch {
		case f.op == Close:
			return parseClose(f.payload)
		case f.op >= Close:
			return &Message{Op: f.op, Payload: f.payload}, nil
		case f.op != Continuation && d.op != Continuation:
			return nil, &Error{ProtocolError, "a message began inside another"}
		case f.op == Continuation && d.op == Continuation:
			return nil, &Error{ProtocolError, "a continuation of nothing"}
		case len(d.message)+len(f.payload) > MaxMessage:
			return nil, &Error{TooBig, "message of over 16 KiB"}
		}
		if f.op != Continuation {
			d.op = f.op
		}
		d.message = append(d.message, f.payload...)
		if !f.fin {
			continue
		}
		m := &Message{Op: d.op, Payload: d.message}
		d.op, d.message = Continuation, nil
		if m.Op == Text && !utf8.Valid(m.Payload) {
			return nil, &Error{BadData, "text that is not UTF-8"}
		}
		return m, nil
	}
}

type frame struct {
	fin     bool
	op      Opcode
	payload []byte
}

// readFrame reads one frame without taking it off; it is nil if the frame is not whole yet. Faults are found as soon
// as the header shows them.
func (d *Decoder) readFrame(in *ring.Buffer) (f *frame, size int, err error) {
	head := in.Peek(14)
	if len(head) < 2 {
		return nil, 0, nil
	}
	f = &frame{fin: head[0]&0x80 != 0, op: Opcode(head[0] & 0x0f)}
	masked, length, at := head[1]&0x80 != 0, int(head[1]&0x7f), 2
	switch {
	case head[0]&0x70 != 0:
		return nil, 0, &Error{ProtocolError, "reserved bits are set"}
	case f.op > Binary && f.op < Close || f.op > Pong:
		return nil, 0, &Error{ProtocolError, "unknown opcode"}
	case masked != d.Masked:
		return nil, 0, &Error{ProtocolError, "wrong masking"}
	case f.op >= Close && (!f.fin || length > maxControl):
		return nil, 0, &Error{ProtocolError, "fragmented or oversized control frame"}
	}
	switch {
	case length == 126:
		if len(head) < 4 {
			return nil, 0, nil
		}
		length, at = int(binary.BigEndian.Uint16(head[2:])), 4
		if length < 126 {
			return nil, 0, &Error{ProtocolError, "length not in its shortest form"}
		}
	case length == 127:
		if len(head) < 10 {
			return nil, 0, nil
		}
		long := binary.BigEndian.Uint64(head[2:])
		if long < 1<<16 || long>>63 != 0 {
			return nil, 0, &Error{ProtocolError, "length not in its shortest form"}
		}
		return nil, 0, &Error{TooBig, "message of over 16 KiB"}
	}
	if length > MaxMessage {
		return nil, 0, &Error{TooBig, "message of over 16 KiB"}
	}
	if masked {
		at += 4
	}
	if size = at + length; in.Len() < size {
		return nil, 0, nil
	}
	whole := in.Peek(size)
	f.payload = append([]byte{}, whole[at:]...)
	if masked {
		for i := range f.payload {
			f.payload[i] ^= whole[at-4+i%4]
		}
	}
	return f, size, nil
}

// parseClose reads a close frame.
func parseClose(payload []byte) (*Message, error) {
	m := &Message{Op: Close, Code: noStatus}
	switch {
	case len(payload) == 0:
		return m, nil
	case len(payload) == 1:
		return nil, &Error{ProtocolError, "close frame with half a code"}
	}
	m.Code, m.Payload = int(binary.BigEndian.Uint16(payload)), payload[2:]
	known := m.Code >= Normal && m.Code <= Unsupported || m.Code >= BadData && m.Code <= 1014 ||
		m.Code >= 3000 && m.Code <= 4999
	if !known {
		return nil, &Error{ProtocolError, "close frame with a code that is not for use"}
	}
	if !utf8.Valid(m.Payload) {
		return nil, &Error{BadData, "close reason that is not UTF-8"}
	}
	return m, nil
}

// Append adds a whole frame to p; mask is for clients.
func Append(p []byte, op Opcode, payload []byte, mask bool) []byte {
	return AppendFragment(p, op, payload, mask, true)
}

// AppendFragment adds a frame to p, which ends its message if fin is set.
func AppendFragment(p []byte, op Opcode, payload []byte, mask, fin bool) []byte {
	first, bit := byte(op), byte(0)
	if fin {
		first |= 0x80
	}
	if mask {
		bit = 0x80
	}
	switch n := len(payload); {
	case n < 126:
		p = append(p, first, bit|byte(n))
	case n < 1<<16:
		p = binary.BigEndian.AppendUint16(append(p, first, bit|126), uint16(n))
	default:
		p = binary.BigEndian.AppendUint64(append(p, first, bit|127), uint64(n))
	}
	if !mask {
		return append(p, payload...)
	}
	var key [4]byte
	_, _ = rand.Read(key[:]) // it never fails: crypto/rand ends the program instead
	p = append(p, key[:]...)
	for i, b := range payload {
		p = append(p, b^key[i%4])
	}
	return p
}

// AppendClose adds a close frame to p. The reason is cut to what fits.
func AppendClose(p []byte, code int, reason string, mask bool) []byte {
	if code == noStatus {
		return Append(p, Close, nil, mask)
	}
	for len(reason) > maxControl-2 || !utf8.ValidString(reason) {
		reason = reason[:len(reason)-1]
	}
	return Append(p, Close, append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason...), mask)
}
