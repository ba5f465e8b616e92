package jsonl

import (
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/ring"
	"cherryrelay/internal/ring/ringtest"
)

// decodeAll decodes text that arrives in pieces. It returns the messages, and the error that ended them if any.
func decodeAll(text string, piece int) (all []*Message, err error) {
	return ringtest.Feed(new(Decoder).Next, 32<<10, []byte(text), piece)
}

func ptr[T any](v T) *T { return &v }

func TestMessages(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []*Message
		bad  bool
	}{
		"string and number fields": {"{\"type\":\"setup\",\"id\":\"1\",\"fields\":{\"left\":1500,\"class\":\"v\"},\"sdp\":\"a\\r\\nb\"}\r\n",
			[]*Message{{Type: "setup", ID: "1", Fields: map[string]Value{"left": "1500", "class": "v"}, SDP: ptr("a\r\nb")}}, false},
		"blank lines":                      {"\n\r\n{\"type\":\"ping\",\"cause\":0}\n\n", []*Message{{Type: "ping", Cause: ptr(0)}}, false},
		"two messages and part of another": {"{\"type\":\"a\"}\n{\"type\":\"b\"}\n{\"ty", []*Message{{Type: "a"}, {Type: "b"}}, false},
		"field of another type":            {`{"type":"a","fields":{"x":[1]}}` + "\n", []*Message{{Type: "a", Fields: map[string]Value{"x": "[1]"}}}, false},
		"very many fields": {`{"id":"1","fields":{"type":"x","id":"2"` + strings.Repeat(`,"a":"b\\\":"`, maxFields) + `},"type":"setup","sdp":"{\\"type\\":1}","cause":3}` + "\n",
			[]*Message{{Type: "setup", ID: "1", Cause: ptr(3), TooManyFields: true}}, false},
		"colons in a description": {`{"type":"a","sdp":"` + strings.Repeat(`\":`, 2*maxFields) + `"}` + "\n",
			[]*Message{{Type: "a", SDP: ptr(strings.Repeat(`":`, 2*maxFields))}}, false},
		"very many fields, not complete": {`{"type":"a","fields":{"x":1` + strings.Repeat(`,"x":1`, maxFields) + "\n", nil, true},
		"very many fields, no type":      {`{"fields":{"x":1` + strings.Repeat(`,"x":1`, maxFields) + "}}\n", nil, true},
		"not an object":                  {"[]\n", nil, true},
		"no type":                        {"{}\n", nil, true},
		"text after the object":          {`{"type":"a"}{}` + "\n", nil, true},
		"too long":                       {`{"type":"` + strings.Repeat("x", MaxMessageSize), nil, true},
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			got, err := decodeAll(test.text, piece)
			if diff := cmp.Diff(test.want, got); diff != "" || (err != nil) != test.bad {
				t.Errorf("%s, in pieces of %d: error %v, messages (-want +got):\n%s", name, piece, err, diff)
			}
		}
	}
}

// TestMessagesThatComeWhileOthersAreRead guards against a message that is not noticed because its line feed arrives while the decoder
// searches the buffer: it stayed there until the next message arrived, which was then read as part of it.
func TestMessagesThatComeWhileOthersAreRead(t *testing.T) {
	const messages = 200_000
	in, d := ring.New(32<<10), new(Decoder)
	go func() {
		for i := range messages {
			text, err := Append(nil, Message{Type: "ping", ID: strconv.Itoa(i)})
			if err != nil {
				panic(err)
			}
			for text = append(text, '\n'); len(text) > 0; {
				text = text[in.Write(text[:min(len(text), 1+i%40)]):]
			}
		}
	}()
	for i := 0; i < messages; {
		m, err := d.Next(in)
		if err != nil || m != nil && m.ID != strconv.Itoa(i) {
			t.Fatalf("message %d is decoded as %+v, %v", i, m, err)
		}
		if m != nil {
			i++
		}
	}
}

// FuzzDecoder checks that messages are decoded in the same way however they are split into pieces, and that encoding preserves them.
func FuzzDecoder(f *testing.F) {
	f.Add("{\"type\":\"setup\",\"id\":\"1\",\"fields\":{\"left\":1500},\"sdp\":\"\\u00fc\"}\n{\"type\":\"x\"}\n", 3)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		whole, err := decodeAll(text, len(text)+1)
		parts, errParts := decodeAll(text, 1+max(piece, 0)%64)
		if diff := cmp.Diff(whole, parts); diff != "" || (err == nil) != (errParts == nil) {
			t.Fatalf("in pieces: %v and %v\n%s", err, errParts, diff)
		}
		for _, m := range whole {
			p, err := Append(nil, *m)
			if err != nil {
				t.Fatal(err)
			}
			again, err := Parse(p)
			if err != nil || again.Type != m.Type || again.ID != m.ID || again.Description() != m.Description() {
				t.Fatalf("%s reads as %+v: %v", p, again, err)
			}
		}
	})
}
