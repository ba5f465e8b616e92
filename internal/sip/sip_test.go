package sip

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/ring/ringtest"
)

// decode feeds text in pieces to a decoder and returns the messages up to the first error, and that error.
func decode(text string, piece int) (all []*Message, err error) {
	return ringtest.Feed(new(Decoder).Next, 32<<10, []byte(text), piece)
}

const invite = "INVITE sip:7f@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b\r\nCSeq: 1 INVITE\r\nP-Kind: voice\r\n" +
	"Content-Length: 4\r\n\r\na\r\nb"

func TestDecoder(t *testing.T) {
	wantInvite := &Message{Method: "INVITE", URI: "sip:7f@net", CallID: "9b", Seq: 1, SeqMethod: "INVITE", Body: []byte("a\r\nb"),
		Headers: []Header{{"Via", "SIP/2.0/TCP peer"}, {"P-Kind", "voice"}}}
	for name, test := range map[string]struct {
		text string
		want []*Message
		fail bool
	}{
		"two in a row":                      {invite + invite, []*Message{wantInvite, wantInvite}, false},
		"line breaks before the first line": {"\r\n\r\n" + invite, []*Message{wantInvite}, false},
		"compact and folded headers, bare line feeds": {"SIP/2.0 503 Full up\ni: 9b\nl:0\nCSEQ:  7  INVITE\nReason: a\n  b\n\n",
			[]*Message{{Status: 503, Phrase: "Full up", CallID: "9b", Seq: 7, SeqMethod: "INVITE", Body: []byte{},
				Headers: []Header{{"Reason", "a  b"}}}}, false},
		"incomplete body":        {invite[:len(invite)-1], nil, false},
		"no Content-Length":      {"BYE sip:x SIP/2.0\r\nCall-ID: 1\r\n\r\n", nil, true},
		"two different lengths":  {"BYE sip:x SIP/2.0\r\nl: 1\r\nContent-Length: 2\r\n\r\n", nil, true},
		"negative length":        {"BYE sip:x SIP/2.0\r\nContent-Length: -1\r\n\r\n", nil, true},
		"other protocol":         {"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", nil, true},
		"invalid status":         {"SIP/2.0 999 X\r\nContent-Length: 0\r\n\r\n", nil, true},
		"header without a colon": {"BYE sip:x SIP/2.0\r\nwhat\r\nContent-Length: 0\r\n\r\n", nil, true},
		"body too long":          {"BYE sip:x SIP/2.0\r\nContent-Length: 16384\r\n\r\n", nil, true},
		"headers too long":       {"BYE sip:x SIP/2.0\r\nX: " + strings.Repeat("y", MaxMessage), nil, true},
	} {
		for _, piece := range []int{1, 5, 1 << 20} {
			got, err := decode(test.text, piece)
			if diff := cmp.Diff(test.want, got); diff != "" || (err != nil) != test.fail {
				t.Errorf("%s, in pieces of %d: error %v, messages (-want +got):\n%s", name, piece, err, diff)
			}
		}
	}
}

// FuzzDecoder checks that the size of the pieces makes no difference, and that a decoded message is equal after encoding and decoding.
func FuzzDecoder(f *testing.F) {
	f.Add(invite+"SIP/2.0 200 OK\r\nl: 0\r\n\r\n", 3)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		whole, err := decode(text, len(text)+1)
		parts, errParts := decode(text, 1+max(piece, 0)%64)
		if len(text) > 32<<10 {
			return // whole does not fit into the ring at once
		}
		if diff := cmp.Diff(whole, parts); diff != "" || (err == nil) != (errParts == nil) {
			t.Fatalf("at once: error %v; in pieces: error %v; messages (-at once +in pieces):\n%s", err, errParts, diff)
		}
		for _, m := range whole {
			m.Headers = nil
			again, err := decode(string(Append(nil, m)), 1<<20)
			if len(again) == 1 {
				again[0].Headers = nil
			}
			if m.SeqMethod == "" { // Append writes an empty CSeq for a message without one
				continue
			}
			if diff := cmp.Diff([]*Message{m}, again); diff != "" || err != nil {
				t.Fatalf("after encoding and decoding: error %v, messages (-want +got):\n%s", err, diff)
			}
		}
	})
}
