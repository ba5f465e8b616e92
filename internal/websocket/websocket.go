// Package websocket implements the framing and the opening handshake of RFC 6455 without sockets. It reads frames from a ring, joins
// them to messages, and encodes frames.
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
	Normal          = 1000
	GoingAway       = 1001
	ProtocolError   = 1002
	Unsupported     = 1003
	noStatus        = 1005 // stands for a close frame without a code; never sent
	InvalidPayload  = 1007
	PolicyViolation = 1008
	TooBig          = 1009
)

// MaxMessage is the size in bytes of the largest message, with all its fragments.
const MaxMessage = 16 << 10

// maxControlPayload is the size in bytes of the largest payload of a control frame.
const maxControlPayload = 125

// Error is a protocol violation by the peer, with the code to close the connection with.
type Error struct {
	Code int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("websocket: %s (%d)", e.Text, e.Code) }

// CloseCode returns the code to close a connection with after an error, or Normal if err is nil.
func CloseCode(err error) int {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e.Code
	case err == nil:
		return Normal
	}
	return PolicyViolation
}

// Message is a complete message or a control frame. Code is the peer's close code if Op is Close.
type Message struct {
	Op      Opcode
	Payload []byte
	Code    int
}

// Decoder reads messages from a ring.
type Decoder struct {
	// Masked is set if the peer must mask its frames. Clients must, and servers must not.
	Masked bool

	message []byte // payload of the fragments of the current message
	op      Opcode // opcode of the current message; Continuation if there is none
}

// Next returns the next message or control frame and removes it from the ring, or returns nil if none is complete yet.
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
			return nil, &Error{ProtocolError, "data frame within a fragmented message"}
		case f.op == Continuation && d.op == Continuation:
			return nil, &Error{ProtocolError, "continuation frame without a message"}
		case len(d.message)+len(f.payload) > MaxMessage:
			return nil, &Error{TooBig, "message longer than 16 KiB"}
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
			return nil, &Error{InvalidPayload, "text message is not valid UTF-8"}
		}
		return m, nil
	}
}

// frame is a decoded frame with its payload unmasked.
type frame struct {
	fin     bool
	op      Opcode
	payload []byte
}

// readFrame decodes the next frame without removing it from the ring. The frame is nil if it is not complete yet; errors in its header are
// returned before the payload has arrived. size is the length of the frame in bytes.
func (d *Decoder) readFrame(in *ring.Buffer) (f *frame, size int, err error) {
	head := in.Peek(14)
	if len(head) < 2 {
		return nil, 0, nil
	}
	f = &frame{fin: head[0]&0x80 != 0, op: Opcode(head[0] & 0x0f)}
	masked, length, payloadStart := head[1]&0x80 != 0, int(head[1]&0x7f), 2
	switch {
	case head[0]&0x70 != 0:
		return nil, 0, &Error{ProtocolError, "frame with reserved bits set"}
	case f.op > Binary && f.op < Close || f.op > Pong:
		return nil, 0, &Error{ProtocolError, "unknown opcode"}
	case masked != d.Masked:
		return nil, 0, &Error{ProtocolError, "unmasked frame from a client or masked frame from a server"}
	case f.op >= Close && (!f.fin || length > maxControlPayload):
		return nil, 0, &Error{ProtocolError, "fragmented or oversized control frame"}
	}
	switch {
	case length == 126:
		if len(head) < 4 {
			return nil, 0, nil
		}
		length, payloadStart = int(binary.BigEndian.Uint16(head[2:])), 4
		if length < 126 {
			return nil, 0, &Error{ProtocolError, "length not encoded in its shortest form"}
		}
	case length == 127:
		if len(head) < 10 {
			return nil, 0, nil
		}
		length64 := binary.BigEndian.Uint64(head[2:])
		if length64 < 1<<16 || length64>>63 != 0 {
			return nil, 0, &Error{ProtocolError, "length not encoded in its shortest form"}
		}
		return nil, 0, &Error{TooBig, "message longer than 16 KiB"}
	}
	if length > MaxMessage {
		return nil, 0, &Error{TooBig, "message longer than 16 KiB"}
	}
	if masked {
		payloadStart += 4
	}
	if size = payloadStart + length; in.Len() < size {
		return nil, 0, nil
	}
	encoded := in.Peek(size)
	f.payload = append([]byte{}, encoded[payloadStart:]...)
	if masked {
		for i := range f.payload {
			f.payload[i] ^= encoded[payloadStart-4+i%4]
		}
	}
	return f, size, nil
}

// parseClose decodes the payload of a close frame.
func parseClose(payload []byte) (*Message, error) {
	m := &Message{Op: Close, Code: noStatus}
	switch {
	case len(payload) == 0:
		return m, nil
	case len(payload) == 1:
		return nil, &Error{ProtocolError, "close frame with an incomplete code"}
	}
	m.Code, m.Payload = int(binary.BigEndian.Uint16(payload)), payload[2:]
	valid := m.Code >= Normal && m.Code <= Unsupported || m.Code >= InvalidPayload && m.Code <= 1014 ||
		m.Code >= 3000 && m.Code <= 4999
	if !valid {
		return nil, &Error{ProtocolError, "close frame with an invalid code"}
	}
	if !utf8.Valid(m.Payload) {
		return nil, &Error{InvalidPayload, "close reason is not valid UTF-8"}
	}
	return m, nil
}

// Append appends an unfragmented frame to p. Clients must set mask.
func Append(p []byte, op Opcode, payload []byte, mask bool) []byte {
	return AppendFragment(p, op, payload, mask, true)
}

// AppendFragment appends a frame to p. The frame is the last one of its message if fin is set. Clients must set mask.
func AppendFragment(p []byte, op Opcode, payload []byte, mask, fin bool) []byte {
	first, maskBit := byte(op), byte(0)
	if fin {
		first |= 0x80
	}
	if mask {
		maskBit = 0x80
	}
	switch n := len(payload); {
	case n < 126:
		p = append(p, first, maskBit|byte(n))
	case n < 1<<16:
		p = binary.BigEndian.AppendUint16(append(p, first, maskBit|126), uint16(n))
	default:
		p = binary.BigEndian.AppendUint64(append(p, first, maskBit|127), uint64(n))
	}
	if !mask {
		return append(p, payload...)
	}
	var key [4]byte
	_, _ = rand.Read(key[:]) // never fails: crypto/rand terminates the program instead
	p = append(p, key[:]...)
	for i, b := range payload {
		p = append(p, b^key[i%4])
	}
	return p
}

// AppendClose appends a close frame to p. The reason is truncated to the size of a control frame.
func AppendClose(p []byte, code int, reason string, mask bool) []byte {
	if code == noStatus {
		return Append(p, Close, nil, mask)
	}
	for len(reason) > maxControlPayload-2 || !utf8.ValidString(reason) {
		reason = reason[:len(reason)-1]
	}
	return Append(p, Close, append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason...), mask)
}
