// Package sip reads and writes the SIP messages that dispatchers speak, framed as RFC 3261 has it for
// streams: headers up to an empty line, then as many bytes as Content-Length says.
package sip

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cherryrelay/internal/ring"
)

// MaxMessage is the largest message, headers and body.
const MaxMessage = 16 << 10

// Errors of a stream that cannot be read on.
var (
	ErrTooLong  = errors.New("message of over 16 KiB")
	ErrNoLength = errors.New("message without a usable Content-Length")
)

// Message is a request, if Method is set, or a response.
type Message struct {
	Method  string
	URI     string
	Status  int
	Phrase  string
	CallID  string
	Seq     uint32 // CSeq's number
	SeqOf   string // CSeq's method
	Headers []Header
	Body    []byte
}

// Header is any header but those that Message names.
type Header struct{ Name, Value string }

// Get returns the first header of that name, whatever its case.
func (m *Message) Get(name string) string {
	for _, h := range m.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// fullNames has the full names of the compact forms.
var fullNames = map[string]string{"i": "call-id", "l": "content-length", "v": "via", "f": "from", "t": "to",
	"m": "contact", "c": "content-type", "s": "subject", "k": "supported", "e": "content-encoding"}

// Decoder takes messages off a ring.
type Decoder struct {
	scanned    int // bytes in which no end of the headers was found
	headLength int // length of the headers, once known
	message    *Message
	bodyLength int
}

// Next returns the next message, or nil if it is not whole yet.
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

// MayBegin reports whether what is on the ring can begin a message: line ends, a method, or a response's version.
func MayBegin(in *ring.Buffer) bool {
	start := bytes.TrimLeft(in.Peek(maxStartPeek), "\r\n")
	word, _, _ := bytes.Cut(start, []byte(" "))
	if version := []byte("SIP/2.0"); len(word) > 0 && (bytes.HasPrefix(word, version) || bytes.HasPrefix(version, word)) {
		return true
	}
	for _, c := range word {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return true
}

// maxStartPeek is as much as any method and the line ends before it.
const maxStartPeek = 24

func (d *Decoder) readHead(in *ring.Buffer) error {
	for d.scanned == 0 && in.Len() > 0 && (in.Peek(1)[0] == '\r' || in.Peek(1)[0] == '\n') {
		in.Discard(1) // RFC 3261 7.5: line ends before the first line are passed over
	}
	for {
		seen := in.Len() // before the look: more may come meanwhile, its end among it
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

func parseHead(text string) (m *Message, length int, err error) {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	text = strings.NewReplacer("\n ", " ", "\n\t", " ").Replace(text) // a folded header
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if m, err = parseStart(lines[0]); err != nil {
		return nil, 0, err
	}
	length = -1
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if name = strings.TrimSpace(name); !ok || name == "" {
			return nil, 0, fmt.Errorf("unreadable header %.40q", line)
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
				return nil, 0, fmt.Errorf("unreadable CSeq %.40q", value)
			}
			m.Seq, m.SeqOf = uint32(n), strings.TrimSpace(method)
		default:
			m.Headers = append(m.Headers, Header{name, value})
		}
	}
	if length < 0 {
		return nil, 0, ErrNoLength
	}
	return m, length, nil
}

func parseStart(line string) (*Message, error) {
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, phrase, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || status < 100 || status > 699 {
			return nil, fmt.Errorf("unreadable status line %.40q", line)
		}
		return &Message{Status: status, Phrase: phrase}, nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] != "SIP/2.0" {
		return nil, fmt.Errorf("unreadable first line %.40q", line)
	}
	return &Message{Method: parts[0], URI: parts[1]}, nil
}

// Append adds the message to p as it goes on the wire.
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
	p = fmt.Appendf(p, "CSeq: %d %s\r\n", m.Seq, m.SeqOf)
	for _, h := range m.Headers {
		p = fmt.Appendf(p, "%s: %s\r\n", h.Name, h.Value)
	}
	p = fmt.Appendf(p, "Content-Length: %d\r\n\r\n", len(m.Body))
	return append(p, m.Body...)
}
