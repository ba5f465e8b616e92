package websocket

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/ring"
	"cherryrelay/internal/ring/ringtest"
)

// decode feeds frames of a client in pieces.
func decode(text []byte, piece int) (all []*Message, err error) {
	return ringtest.Feed((&Decoder{Masked: true}).Next, 64<<10, text, piece)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

func TestDecoder(t *testing.T) {
	part := func(op Opcode, text string, fin bool) []byte { return AppendFragment(nil, op, []byte(text), true, fin) }
	long := strings.Repeat("x", MaxMessage)
	for name, test := range map[string]struct {
		text []byte
		want []*Message
		code int // of the close, 0 for none
	}{
		"fragments around a ping": {join(part(Text, "ab", false), part(Ping, "?", true), part(Continuation, "", false), part(Continuation, "c", true)),
			[]*Message{{Op: Ping, Payload: []byte("?")}, {Op: Text, Payload: []byte("abc")}}, 0},
		"the masked hello of RFC 6455": {[]byte{0x81, 0x85, 0x37, 0xfa, 0x21, 0x3d, 0x7f, 0x9f, 0x4d, 0x51, 0x58},
			[]*Message{{Op: Text, Payload: []byte("Hello")}}, 0},
		"largest message":  {part(Text, long, true), []*Message{{Op: Text, Payload: []byte(long)}}, 0},
		"part of a frame":  {part(Text, "abcdef", true)[:9], nil, 0},
		"close":            {AppendClose(nil, GoingAway, "bye", true), []*Message{{Op: Close, Code: GoingAway, Payload: []byte("bye")}}, 0},
		"close, no code":   {part(Close, "", true), []*Message{{Op: Close, Code: noStatus}}, 0},
		"too big":          {part(Text, long+"x", true), nil, TooBig},
		"much too big":     {[]byte{0x81, 0xff, 0, 0, 0, 0, 0, 1, 0, 0}, nil, TooBig},
		"too big in all":   {join(part(Text, long, false), part(Continuation, "x", true)), nil, TooBig},
		"no mask":          {Append(nil, Text, []byte("x"), false), nil, ProtocolError},
		"reserved bit":     {[]byte{0xc1, 0x80, 0, 0, 0, 0}, nil, ProtocolError},
		"opcode 3":         {[]byte{0x83, 0x80, 0, 0, 0, 0}, nil, ProtocolError},
		"long ping":        {part(Ping, strings.Repeat("x", 126), true), nil, ProtocolError},
		"ping in parts":    {part(Ping, "x", false), nil, ProtocolError},
		"nothing to go on": {part(Continuation, "x", true), nil, ProtocolError},
		"one in another":   {join(part(Text, "x", false), part(Text, "y", true)), nil, ProtocolError},
		"long form":        {[]byte{0x81, 0xfe, 0, 5}, nil, ProtocolError},
		"not UTF-8":        {part(Text, "\xff", true), nil, BadData},
		"half a code":      {part(Close, "\x03", true), nil, ProtocolError},
		"code 1005":        {part(Close, "\x03\xed", true), nil, ProtocolError},
	} {
		for _, piece := range []int{1, 5, 1 << 20} {
			got, err := decode(test.text, piece)
			code := 0
			var e *Error
			if errors.As(err, &e) {
				code = e.Code
			}
			if diff := cmp.Diff(test.want, got); diff != "" || code != test.code {
				t.Errorf("%s, in pieces of %d: closed with %d (%v), want %d; messages (-want +got):\n%s", name, piece, code, err, test.code, diff)
			}
		}
	}
}

func TestHandshake(t *testing.T) {
	// The key and its answer are RFC 6455's own.
	const good = "GET /v1 HTTP/1.1\r\nHost: h\r\nUpgrade: WebSocket\r\nConnection: keep-alive, Upgrade\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
	for name, test := range map[string]struct{ from, to, status string }{
		"good":          {"", "", "101"},
		"other path":    {"/v1", "/v2", "404"},
		"POST":          {"GET", "POST", "400"},
		"no upgrade":    {"Upgrade: WebSocket\r\n", "", "426"},
		"version 8":     {"13", "8", "426"},
		"bad key":       {"dGhl", "", "400"},
		"other dialect": {"\r\n\r\n", "\r\nSec-WebSocket-Protocol: chat\r\n\r\n", "400"},
		"endless":       {"Host: h", "Host: " + strings.Repeat("h", 8<<10), "400"},
	} {
		in := ring.New(32 << 10)
		in.Write([]byte(strings.Replace(good, test.from, test.to, 1)))
		response, err := Accept(in, "/v1")
		if !strings.HasPrefix(string(response), "HTTP/1.1 "+test.status) || (err == nil) != (test.status == "101") {
			t.Errorf("%s: %q, %v", name, response, err)
		}
		if err == nil && !strings.Contains(string(response), "Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n") {
			t.Errorf("%s: %q lacks the accepted key", name, response)
		}
	}
	var o Opening
	asked, answered := ring.New(1<<10), ring.New(1<<10)
	asked.Write(o.Request("h", "/v1"))
	response, err := Accept(asked, "/v1")
	if err != nil {
		t.Fatal(err)
	}
	answered.Write(response[:20])
	if open, err := o.Done(answered); open || err != nil {
		t.Errorf("part of a response: open %v, %v", open, err)
	}
	answered.Write(response[20:])
	if open, err := o.Done(answered); !open || err != nil {
		t.Errorf("own response: open %v, %v", open, err)
	}
	answered.Write([]byte(strings.Replace(string(response), "Accept: ", "Accept: x", 1)))
	if open, err := o.Done(answered); open || err == nil {
		t.Error("a response to another key is taken")
	}
}

// FuzzDecoder checks that pieces make no difference and that no message grows over its bound.
func FuzzDecoder(f *testing.F) {
	f.Add(join(Append(nil, Text, []byte("ab"), true), AppendClose(nil, Normal, "x", true)), 3)
	f.Add([]byte{0x81, 0xfe, 0x40, 0x01}, 1)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		whole, err := decode(text, len(text)+1)
		parts, errParts := decode(text, 1+max(piece, 0)%64)
		if len(text) > 64<<10 {
			return // more than the ring takes at once
		}
		if diff := cmp.Diff(whole, parts); diff != "" || (err == nil) != (errParts == nil) {
			t.Fatalf("in pieces: %v and %v\n%s", err, errParts, diff)
		}
		for _, m := range whole {
			if len(m.Payload) > MaxMessage {
				t.Fatalf("message of %d bytes", len(m.Payload))
			}
		}
	})
}
