package jsonl

import (
	"errors"
	"fmt"
)

// maxFields is the number of members that a message may have, with those of its fields. A message that follows the protocol has fewer
// than twenty. The fields of a message of very many short ones take thirty times its size in memory, and a hundred times as long to decode.
const maxFields = 64

// errUnbalanced means that an object is not complete.
var errUnbalanced = errors.New("invalid message: not a complete object")

// outline is what can be told of a message without decoding its fields.
type outline struct {
	members          int    // members of the message and of all objects in it
	kind, id, cause  []byte // the values as written; nil if there is none
	depth            int    // number of open objects and arrays
	inString, escape bool
	key, value       int // start of the last string, and of the value after the last colon, outside of other values
	name             []byte
}

// scan reads the outline of a message. It does not check more than is needed for that.
func (o *outline) scan(line []byte) {
	for i, b := range line {
		switch {
		case o.escape:
			o.escape = false
		case o.inString && b == '\\':
			o.escape = true
		case b == '"':
			o.scanQuote(line, i)
		case o.inString:
		case b == '{' || b == '[':
			o.depth++
		case b == ':':
			o.members++
			if o.depth == 1 {
				o.value = i + 1
			}
		case b == ',' && o.depth == 1:
			o.endMember(line[o.value:i])
		case b == '}' || b == ']':
			if o.depth == 1 {
				o.endMember(line[o.value:i])
			}
			o.depth--
		}
	}
}

// scanQuote handles the beginning or the end of a string. Before the colon of a member of the message, it is its name.
func (o *outline) scanQuote(line []byte, at int) {
	if o.inString = !o.inString; o.inString {
		o.key = at + 1
	} else if o.depth == 1 && o.value == 0 {
		o.name = line[o.key:at]
	}
}

// endMember handles the end of a member of the message.
func (o *outline) endMember(value []byte) {
	switch string(o.name) {
	case "type":
		o.kind = value
	case "id":
		o.id = value
	case "cause":
		o.cause = value
	}
	o.name, o.value = nil, 0
}

// message returns the message without its fields and its description.
func (o *outline) message() (*Message, error) {
	m := &Message{TooManyFields: true}
	if o.depth != 0 || o.inString {
		return nil, errUnbalanced
	}
	for _, member := range []struct {
		text  []byte
		value any
	}{{o.kind, &m.Type}, {o.id, &m.ID}, {o.cause, &m.Cause}} {
		if member.text == nil {
			continue
		}
		if err := api.Unmarshal(member.text, member.value); err != nil {
			return nil, fmt.Errorf("invalid message: %w", err)
		}
	}
	return m, nil
}
