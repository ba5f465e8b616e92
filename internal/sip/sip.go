// Package sip reads and writes the SIP messages that are exchanged with dispatchers. Messages are framed as RFC 3261 defines it for
// stream transports: headers up to an empty line, then a body of Content-Length bytes.
package sip

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cherryrelay/internal/ring"
)

// MaxMessage is the size in bytes of the largest message, with its headers and its body.
const MaxMessage = 16 << 10

// Errors after which a stream cannot be read any further.
var (
	ErrTooLong  = errors.New("message longer than 16 KiB")
	ErrNoLength = errors.New("message with a missing or invalid Content-Length")
)

// Message is a request if Method is set, and a response otherwise.
type Message struct {
	Method    string
	URI       string
	Status    int
	Phrase    string // the reason phrase of a response
	CallID    string
	Seq       uint32 // the number in CSeq
	SeqMethod string // the method in CSeq
	Headers   []Header
	Body      []byte
}

// Header is a header that has no field of its own in Message.
type Header struct{ Name, Value string }

// Get returns the value of the first header with the name, which is compared without regard to case. It returns "" if there is none.
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// fullNames maps the compact forms of header names to the full names, in lower case.
var fullNames = map[string]string{"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to",
	"m": "contact", "c": "content-type", "s": "subject", "k": "supported", "e": "content-encoding"}

// Decoder reads messages from a ring.
type Decoder struct {
	scanned    int // bytes in which no end of the headers was found
	headLength int // length of the headers, once known
	message    *Message
	bodyLength int
}

// Next returns the next message and removes it from the ring, or returns nil if the message is not complete yet.
func (d *Decoder) Next(in *ring.Buffer) (*Message, error) {
	if d.message == nil {
		if err := d.readHead(in); d.message == nil {
			return nil, err
		}
	}
	if in.Len() < d.headLength+d.bodyLength {
		return nil, nil
	}
	m := d.message
	m.Body = bytes.Clone(in.Peek(d.headLength + d.bodyLength)[d.headLength:])
	in.Discard(d.headLength + d.bodyLength)
	*d = Decoder{}
	return m, nil
}

// MayStartMessage reports whether the content of the ring can be the start of a message: line breaks, then a method or the version of a
// response, each of them possibly incomplete.
func MayStartMessage(in *ring.Buffer) bool {
	start := bytes.TrimLeft(in.Peek(maxStartPeek), "\r\n")
	token, _, _ := bytes.Cut(start, []byte(" "))
	if version := []byte("SIP/2.0"); len(token) > 0 && (bytes.HasPrefix(token, version) || bytes.HasPrefix(version, token)) {
		return true
	}
	for _, c := range token {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return true
}

// maxStartPeek is the number of bytes that MayStartMessage inspects, enough for any method and the line breaks before it.
const maxStartPeek = 24

// readHead parses the first line and the headers of the next message once they are complete. It leaves them on the ring.
func (d *Decoder) readHead(in *ring.Buffer) error {
	for d.scanned == 0 && in.Len() > 0 && (in.Peek(1)[0] == '\r' || in.Peek(1)[0] == '\n') {
		in.Discard(1) // RFC 3261, 7.5: line breaks before the first line are ignored
	}
	for {
		seen := in.Len() // read before the search, because the end of the line may arrive in between
		end := in.Index('\n', d.scanned)
		if end >= MaxMessage || end < 0 && seen >= MaxMessage {
			return ErrTooLong
		}
		if end < 0 {
			return nil
		}
		line := in.Peek(end + 1)[d.scanned:]
		d.scanned = end + 1
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		m, length, err := parseHead(string(in.Peek(end + 1)))
		if err != nil {
			return err
		}
		if end+1+length > MaxMessage {
			return ErrTooLong
		}
		d.message, d.headLength, d.bodyLength = m, end+1, length
		return nil
	}
}

// parseHead parses the first line and the headers of a message. It returns the length of the body.
func parseHead(text string) (m *Message, length int, err error) {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	text = strings.NewReplacer("\n ", " ", "\n\t", " ").Replace(text) // unfold headers that span several lines
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if m, err = parseStart(lines[0]); err != nil {
		return nil, 0, err
	}
	length = -1
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if name = strings.TrimSpace(name); !ok || name == "" {
			return nil, 0, fmt.Errorf("malformed header %.40q", line)
		}
		value = strings.TrimSpace(value)
		key := strings.ToLower(name)
		if full, ok := fullNames[key]; ok {
			key = full
		}
		switch key {
		case "call-id":
			m.CallID = value
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return nil, 0, ErrNoLength
			}
			length = int(n)
		case "cseq":
			number, method, _ := strings.Cut(value, " ")
			n, err := strconv.ParseUint(number, 10, 32)
			if err != nil {
				return nil, 0, fmt.Errorf("invalid CSeq %.40q", value)
			}
			m.Seq, m.SeqMethod = uint32(n), strings.TrimSpace(method)
		default:
			m.Headers = append(m.Headers, Header{name, value})
		}
	}
	if length < 0 {
		return nil, 0, ErrNoLength
	}
	return m, length, nil
}

// parseStart parses the first line of a message: a status line or a request line.
func parseStart(line string) (*Message, error) {
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, phrase, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || status < 100 || status > 699 {
			return nil, fmt.Errorf("malformed status line %.40q", line)
		}
		return &Message{Status: status, Phrase: phrase}, nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] != "SIP/2.0" {
		return nil, fmt.Errorf("malformed request line %.40q", line)
	}
	return &Message{Method: parts[0], URI: parts[1]}, nil
}

// Append appends the wire format of the message to p.
func Append(p []byte, m *Message) []byte {
	if m.Method != "" {
		p = fmt.Appendf(p, "%s %s SIP/2.0\r\n", m.Method, m.URI)
	} else {
		p = fmt.Appendf(p, "SIP/2.0 %d %s\r\n", m.Status, m.Phrase)
	}
	p = append(p, "Via: SIP/2.0/TCP peer\r\n"...)
	if m.CallID != "" {
		p = fmt.Appendf(p, "Call-ID: %s\r\n", m.CallID)
	}
	p = fmt.Appendf(p, "CSeq: %d %s\r\n", m.Seq, m.SeqMethod)
	for _, h := range m.Headers {
		p = fmt.Appendf(p, "%s: %s\r\n", h.Name, h.Value)
	}
	p = fmt.Appendf(p, "Content-Length: %d\r\n\r\n", len(m.Body))
	return append(p, m.Body...)
}
