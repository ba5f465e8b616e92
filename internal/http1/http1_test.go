package http1

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cherryrelay/internal/ring"
)

// TestRequestInPieces checks that a request that arrives in two pieces is decoded once it is complete, and that the bytes after it stay in
// the buffer.
func TestRequestInPieces(t *testing.T) {
	const text = "POST /api/rejoin?x=1 HTTP/1.1\r\nHost: h\r\nAccept: a\r\naccept: b\r\nContent-Length: 4\r\n\r\nbodynext"
	want := &Request{Method: "POST", Path: "/api/rejoin", Query: "x=1", Body: []byte("body"),
		Headers: map[string]string{"host": "h", "accept": "a, b", "content-length": "4"}}
	for cut := range len(text) - len("next") {
		in, d := ring.New(16<<10), Decoder{}
		in.Write([]byte(text[:cut]))
		if r, err := d.Next(in); r != nil || err != nil {
			t.Fatalf("the first %d bytes are decoded as %+v, %v", cut, r, err)
		}
		in.Write([]byte(text[cut:]))
		r, err := d.Next(in)
		if diff := cmp.Diff(want, r); diff != "" || err != nil || string(in.Peek(in.Len())) != "next" {
			t.Fatalf("cut at %d: error %v, %d bytes left (-want +got):\n%s", cut, err, in.Len(), diff)
		}
	}
}

// FuzzRequest checks that every request that is decoded from any input is within the limits.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.0\nContent-Length: 3\n\nabc"))
	f.Add([]byte("\r\n\r\n:\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		in, d := ring.New(16<<10), Decoder{}
		in.Write(text)
		r, err := d.Next(in)
		if r != nil && (err != nil || len(r.Body) > maxBodySize || !strings.HasPrefix(r.Path, "/")) {
			t.Errorf("%q is decoded as %+v, %v", text, r, err)
		}
	})
}

// TestHeadsOfVeryManyHeadersAreRefused guards against heads that are searched line by line, thousands of lines at each piece that arrives.
func TestHeadsOfVeryManyHeadersAreRefused(t *testing.T) {
	for headers, want := range map[int]error{maxHeaders: nil, maxHeaders + 1: ErrTooManyHeaders} {
		in := ring.New(16 << 10)
		in.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", headers-1) + "\r\n"))
		if first, _, err := ReadHead(in); !errors.Is(err, want) || (first != "") != (want == nil) {
			t.Errorf("%d headers: first line %q, error %v; want %v", headers, first, err, want)
		}
	}
	in := ring.New(16 << 10)
	in.Write([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", maxHeaders+1)))
	if _, _, err := ReadHead(in); !errors.Is(err, ErrTooManyHeaders) {
		t.Errorf("an incomplete head of %d headers: error %v, want %v", maxHeaders+1, err, ErrTooManyHeaders)
	}
}
