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

// decode feeds a client's frames in pieces to a decoder and returns the messages up to the first error, and that error.
func decode(text []byte, piece int) (all []*Message, err error) {
	return ringtest.Feed((&Decoder{Masked: true}).Next, 64<<10, text, piece)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

func TestDecoder(t *testing.T) {
	fragment := func(op Opcode, text string, fin bool) []byte { return AppendFragment(nil, op, []byte(text), true, fin) }
	long := strings.Repeat("x", MaxMessage)
	for name, test := range map[string]struct {
		text []byte
		want []*Message
		code int // close code of the error, 0 for no error
	}{
		"fragments around a ping": {join(fragment(Text, "ab", false), fragment(Ping, "?", true), fragment(Continuation, "", false),
			fragment(Continuation, "c", true)),
			[]*Message{{Op: Ping, Payload: []byte("?")}, {Op: Text, Payload: []byte("abc")}}, 0},
		"masked text of RFC 6455, 5.7": {[]byte{0x81, 0x85, 0x37, 0xfa, 0x21, 0x3d, 0x7f, 0x9f, 0x4d, 0x51, 0x58},
			[]*Message{{Op: Text, Payload: []byte("Hello")}}, 0},
		"largest message":                 {fragment(Text, long, true), []*Message{{Op: Text, Payload: []byte(long)}}, 0},
		"incomplete frame":                {fragment(Text, "abcdef", true)[:9], nil, 0},
		"close":                           {AppendClose(nil, GoingAway, "bye", true), []*Message{{Op: Close, Code: GoingAway, Payload: []byte("bye")}}, 0},
		"close without a code":            {fragment(Close, "", true), []*Message{{Op: Close, Code: noStatus}}, 0},
		"message too big":                 {fragment(Text, long+"x", true), nil, TooBig},
		"64-bit length":                   {[]byte{0x81, 0xff, 0, 0, 0, 0, 0, 1, 0, 0}, nil, TooBig},
		"fragments too big together":      {join(fragment(Text, long, false), fragment(Continuation, "x", true)), nil, TooBig},
		"no mask":                         {Append(nil, Text, []byte("x"), false), nil, ProtocolError},
		"reserved bit":                    {[]byte{0xc1, 0x80, 0, 0, 0, 0}, nil, ProtocolError},
		"opcode 3":                        {[]byte{0x83, 0x80, 0, 0, 0, 0}, nil, ProtocolError},
		"oversized ping":                  {fragment(Ping, strings.Repeat("x", 126), true), nil, ProtocolError},
		"fragmented ping":                 {fragment(Ping, "x", false), nil, ProtocolError},
		"continuation without a message":  {fragment(Continuation, "x", true), nil, ProtocolError},
		"message within another":          {join(fragment(Text, "x", false), fragment(Text, "y", true)), nil, ProtocolError},
		"length not in its shortest form": {[]byte{0x81, 0xfe, 0, 5}, nil, ProtocolError},
		"invalid UTF-8":                   {fragment(Text, "\xff", true), nil, InvalidPayload},
		"incomplete close code":           {fragment(Close, "\x03", true), nil, ProtocolError},
		"close code 1005":                 {fragment(Close, "\x03\xed", true), nil, ProtocolError},
	} {
		for _, piece := range []int{1, 5, 1 << 20} {
			got, err := decode(test.text, piece)
			code := 0
			var e *Error
			if errors.As(err, &e) {
				code = e.Code
			}
			if diff := cmp.Diff(test.want, got); diff != "" || code != test.code {
				t.Errorf("%s, in pieces of %d: close code %d (%v), want %d; messages (-want +got):\n%s", name, piece, code, err, test.code, diff)
			}
		}
	}
}

func TestHandshake(t *testing.T) {
	// The key and the value of Sec-WebSocket-Accept are the example of RFC 6455, 1.3.
	const good = "GET /v1 HTTP/1.1\r\nHost: h\r\nUpgrade: WebSocket\r\nConnection: keep-alive, Upgrade\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
	for name, test := range map[string]struct{ from, to, status string }{
		"valid":             {"", "", "101"},
		"other path":        {"/v1", "/v2", "404"},
		"POST":              {"GET", "POST", "400"},
		"no upgrade":        {"Upgrade: WebSocket\r\n", "", "426"},
		"version 8":         {"13", "8", "426"},
		"invalid key":       {"dGhl", "", "400"},
		"other subprotocol": {"\r\n\r\n", "\r\nSec-WebSocket-Protocol: chat\r\n\r\n", "400"},
		"too long":          {"Host: h", "Host: " + strings.Repeat("h", 8<<10), "400"},
	} {
		in := ring.New(32 << 10)
		in.Write([]byte(strings.Replace(good, test.from, test.to, 1)))
		response, err := Accept(in, "/v1")
		if !strings.HasPrefix(string(response), "HTTP/1.1 "+test.status) || (err == nil) != (test.status == "101") {
			t.Errorf("%s: %q, %v", name, response, err)
		}
		if err == nil && !strings.Contains(string(response), "Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n") {
			t.Errorf("%s: %q lacks the right Sec-WebSocket-Accept", name, response)
		}
	}
	var client ClientHandshake
	requests, responses := ring.New(1<<10), ring.New(1<<10)
	requests.Write(client.Request("h", "/v1"))
	response, err := Accept(requests, "/v1")
	if err != nil {
		t.Fatal(err)
	}
	responses.Write(response[:20])
	if open, err := client.ReadResponse(responses); open || err != nil {
		t.Errorf("incomplete response: open %v, error %v", open, err)
	}
	responses.Write(response[20:])
	if open, err := client.ReadResponse(responses); !open || err != nil {
		t.Errorf("valid response: open %v, error %v", open, err)
	}
	responses.Write([]byte(strings.Replace(string(response), "Accept: ", "Accept: x", 1)))
	if open, err := client.ReadResponse(responses); open || err == nil {
		t.Error("a response to another key is accepted")
	}
}

// FuzzDecoder checks that the size of the pieces makes no difference, and that no message exceeds MaxMessage.
func FuzzDecoder(f *testing.F) {
	f.Add(join(Append(nil, Text, []byte("ab"), true), AppendClose(nil, Normal, "x", true)), 3)
	f.Add([]byte{0x81, 0xfe, 0x40, 0x01}, 1)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		whole, err := decode(text, len(text)+1)
		parts, errParts := decode(text, 1+max(piece, 0)%64)
		if len(text) > 64<<10 {
			return // whole does not fit into the ring at once
		}
		if diff := cmp.Diff(whole, parts); diff != "" || (err == nil) != (errParts == nil) {
			t.Fatalf("at once: error %v; in pieces: error %v; messages (-at once +in pieces):\n%s", err, errParts, diff)
		}
		for _, m := range whole {
			if len(m.Payload) > MaxMessage {
				t.Fatalf("a message of %d bytes exceeds MaxMessage", len(m.Payload))
			}
		}
	})
}
