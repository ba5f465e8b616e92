// Package http1 decodes heads and requests of HTTP/1.1 from a ring buffer, and encodes responses. It does not use sockets. The
// opening handshake of WebSocket and the management server share it.
package http1

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"cherryrelay/internal/ring"
)

const (
	// maxHeadSize is the maximum size of a head in bytes. A ring buffer has a larger capacity.
	maxHeadSize = 8 << 10
	// maxHeaders is the maximum number of headers in a head. No request that is served here needs more than twenty.
	maxHeaders = 100
	// maxBodySize is the maximum size of a body in bytes. No request that is served here needs one.
	maxBodySize = 4 << 10
)

var (
	// ErrTooLong means that a head or a body exceeds its maximum size.
	ErrTooLong = errors.New("too long for a head of 8 KiB or a body of 4 KiB")
	// ErrTooManyHeaders means that a head has more than maxHeaders headers.
	ErrTooManyHeaders = errors.New("more than 100 headers")
	// ErrMalformed means that the input is not valid HTTP/1.1, or uses a feature that is not supported.
	ErrMalformed = errors.New("no HTTP/1.1")
)

// ReadHead decodes a head and removes it from the buffer. It returns the first line and the headers, with names in lower case. The
// first line is empty if the head is not complete yet.
func ReadHead(in *ring.Buffer) (first string, headers map[string]string, err error) {
	end := -1
	for from, lines := 0, 0; end < 0; lines++ {
		if lines > maxHeaders+1 { // the first line, the headers and the empty line
			return "", nil, ErrTooManyHeaders
		}
		length := in.Len() // taken before the search, since more bytes, with a line feed among them, may arrive during it
		i := in.Index('\n', from)
		if i < 0 && length <= maxHeadSize {
			return "", nil, nil
		}
		if i < 0 || i >= maxHeadSize {
			return "", nil, ErrTooLong
		}
		line := strings.TrimRight(string(in.Peek(i + 1)[from:]), "\r\n")
		switch {
		case line != "":
		case from == 0:
			return "", nil, fmt.Errorf("%w: an empty first line", ErrMalformed)
		default:
			end = i + 1
		}
		from = i + 1
	}
	text := string(in.Peek(end))
	in.Discard(end)
	lines := strings.Split(strings.ReplaceAll(strings.TrimRight(text, "\r\n"), "\r\n", "\n"), "\n")
	headers = map[string]string{}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return "", nil, fmt.Errorf("%w: header %.40q", ErrMalformed, line)
		}
		name = strings.ToLower(name)
		if previous, repeated := headers[name]; repeated {
			value = previous + "," + value
		}
		headers[name] = strings.TrimSpace(value)
	}
	return lines[0], headers, nil
}

// ListContains reports whether a comma-separated list contains the token, ignoring case.
func ListContains(list, token string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// Request is a complete request.
type Request struct {
	Method, Path string
	Query        string // the part of the URL after the question mark
	Headers      map[string]string
	Body         []byte
}

// Decoder decodes the requests of one connection.
type Decoder struct {
	pending    *Request // request whose body is not complete yet
	bodyLength int
}

// Next decodes the next request; it returns nil if none is complete yet.
func (d *Decoder) Next(in *ring.Buffer) (*Request, error) {
	if d.pending == nil {
		first, headers, err := ReadHead(in)
		if first == "" || err != nil {
			return nil, err
		}
		if d.pending, err = parseRequest(first, headers); err != nil {
			return nil, err
		}
		if d.bodyLength, err = contentLength(headers); err != nil {
			return nil, err
		}
	}
	if in.Len() < d.bodyLength {
		return nil, nil
	}
	r := d.pending
	r.Body = append([]byte(nil), in.Peek(d.bodyLength)...)
	in.Discard(d.bodyLength)
	d.pending = nil
	return r, nil
}

func parseRequest(first string, headers map[string]string) (*Request, error) {
	parts := strings.Split(first, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return nil, fmt.Errorf("%w: %.60q", ErrMalformed, first)
	}
	if version := parts[2]; version != "HTTP/1.1" && version != "HTTP/1.0" || version == "HTTP/1.1" && headers["host"] == "" {
		return nil, fmt.Errorf("%w: %.60q, host %.60q", ErrMalformed, first, headers["host"])
	}
	path, query, _ := strings.Cut(parts[1], "?")
	return &Request{Method: parts[0], Path: path, Query: query, Headers: headers}, nil
}

// contentLength returns the size of the body after a head with these headers.
func contentLength(headers map[string]string) (int, error) {
	if coding := headers["transfer-encoding"]; coding != "" {
		return 0, fmt.Errorf("%w that is taken here: transfer-encoding %.40q", ErrMalformed, coding)
	}
	text, found := headers["content-length"]
	if !found {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%w: content-length %.40q", ErrMalformed, text)
	case n > maxBodySize:
		return 0, ErrTooLong
	}
	return int(n), nil
}

// EncodeResponse encodes a response, after which the connection is closed. The headers are lines without line ends.
func EncodeResponse(status int, body string, headers ...string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		text += h + "\r\n"
	}
	return []byte(text + "Connection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}
