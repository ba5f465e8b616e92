// Package jsonl encodes and decodes the messages of callers, one JSON object per line.
package jsonl

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/internal/ring"
)

// MaxMessageSize is the maximum size of a message in bytes, including its line feed.
const MaxMessageSize = 16 << 10

// ErrTooLong means that a line is longer than MaxMessageSize bytes.
var ErrTooLong = errors.New("message exceeds 16 KiB")

var api = jsoniter.Config{SortMapKeys: true, ValidateJsonRawMessage: true}.Froze()

// Value is the value of a field: a string, or a number as it was written.
type Value string

// UnmarshalJSON decodes a string. Any other JSON value is kept as written: a number is used like that, and anything else is invalid
// in every field.
func (v *Value) UnmarshalJSON(p []byte) error {
	if len(p) > 0 && p[0] == '"' {
		var s string
		if err := api.Unmarshal(p, &s); err != nil {
			return err
		}
		*v = Value(s)
		return nil
	}
	*v = Value(p)
	return nil
}

// Message is a message from or to a caller.
type Message struct {
	Type   string           `json:"type"`
	ID     string           `json:"id"`
	Fields map[string]Value `json:"fields"`
	Cause  *int             `json:"cause,omitempty"`
	SDP    *string          `json:"sdp,omitempty"`
	// TooManyFields is set if the message has so many fields that they, and its description, were not decoded.
	TooManyFields bool `json:"-"`
}

// CauseOr returns the cause, or the default value if there is none.
func (m *Message) CauseOr(defaultValue int) int {
	if m.Cause == nil {
		return defaultValue
	}
	return *m.Cause
}

// Description returns the session description, or an empty string if there is none.
func (m *Message) Description() string {
	if m.SDP == nil {
		return ""
	}
	return *m.SDP
}

// Decoder decodes messages from a ring buffer.
type Decoder struct{ searched int } // number of bytes in the buffer that contain no line feed

// Next returns the next message, or nil if the line is not complete yet.
func (d *Decoder) Next(in *ring.Buffer) (*Message, error) {
	for {
		length := in.Len() // taken before the search, since more bytes, with a line feed among them, may arrive during it
		end := in.Index('\n', d.searched)
		if end < 0 && length >= MaxMessageSize || end >= MaxMessageSize {
			return nil, ErrTooLong
		}
		if end < 0 {
			d.searched = length
			return nil, nil
		}
		d.searched = 0
		line := bytes.TrimSpace(in.Peek(end + 1))
		if len(line) == 0 {
			in.Discard(end + 1)
			continue
		}
		m, err := Parse(line)
		in.Discard(end + 1)
		return m, err
	}
}

// Parse decodes a message.
func Parse(line []byte) (*Message, error) {
	m, err := decode(line)
	if err != nil {
		return nil, err
	}
	if m.Type == "" {
		return nil, errors.New("invalid message: type is missing")
	}
	return m, nil
}

// decode decodes a message, without its fields if it has too many of them.
func decode(line []byte) (*Message, error) {
	var o outline
	if o.scan(line); o.members > maxFields {
		return o.message()
	}
	m := new(Message)
	if err := api.Unmarshal(line, m); err != nil {
		return nil, fmt.Errorf("invalid message: %w", err)
	}
	return m, nil
}

// Append appends a message to p, without a line feed.
func Append(p []byte, m Message) ([]byte, error) {
	if m.Fields == nil {
		m.Fields = map[string]Value{}
	}
	text, err := api.Marshal(m)
	if err != nil {
		return p, fmt.Errorf("encoding message: %w", err)
	}
	return append(p, text...), nil
}

// IntField returns the value of a field that must be an integer.
func (m *Message) IntField(name string) (int64, error) {
	v, ok := m.Fields[name]
	if !ok {
		return 0, fmt.Errorf("field %s is missing", name)
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("field %s is not an integer: %q", name, string(v))
	}
	return n, nil
}
