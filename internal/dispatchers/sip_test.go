package dispatchers

import (
	"fmt"
	"strings"
	"testing"

	"cherryrelay/internal/ring"
)

// TestInvalidAnswers guards against an answer that is passed on truncated or damaged, and so differs from what the dispatcher sent.
func TestInvalidAnswers(t *testing.T) {
	const body = "9d41c07a5be2f318\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
	text := func(length, rest string) string {
		return "SIP/2.0 200 OK\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nContent-Length: " + length + "\r\n\r\n" + rest
	}
	whole := fmt.Sprint(len(body))
	for name, test := range map[string]struct {
		text string
		want string // the description, or "" for an error
	}{
		"complete":                           {text(whole, body), body},
		"two at once":                        {text(whole, body) + text(whole, body), body},
		"part of a next":                     {text(whole, body) + "\r\nSIP", body},
		"a release follows":                  {text(whole, body) + "BYE sip:x", body},
		"length too short":                   {text("20", body), ""},
		"length too long":                    {text(fmt.Sprint(len(body)+30), body+text(whole, body)), ""},
		"length below 0":                     {text("-1", body), ""},
		"gigabytes":                          {text("3221225472", body), ""},
		"over 16 KiB":                        {text("16385", body), ""},
		"no number":                          {text("x", body), ""},
		"not text":                           {text("4", "\xff\x0f\x14\x02"), ""},
		"bytes that are not text come first": {"\xff\x0f\r\n" + text(whole, body), ""},
		"another version":                    {"SIP/9.9 OK 200\r\n\r\n", ""},
		"an endless line":                    {"SIP/2.0 200 " + strings.Repeat("x", 17<<10), ""},
		"endless headers":                    {"SIP/2.0 200 OK\r\n" + strings.Repeat("A: b\r\n", 3000), ""},
	} {
		in := ring.New(32 << 10)
		in.Write([]byte(test.text))
		m, err := new(SIP).Next(in)
		switch {
		case test.want == "" && err == nil && !m.damaged:
			t.Errorf("%s: got %+v, want an error", name, m)
		case test.want != "" && (err != nil || m.damaged || m.kind != answer || m.description != test.want):
			t.Errorf("%s: got %+v, %v", name, m, err)
		}
	}
}
