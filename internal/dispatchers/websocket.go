package dispatchers

import (
	"errors"
	"io"
	"net/url"
	"strconv"
	"strings"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/settings"
	"cherryrelay/internal/websocket"
)

// WebSocket implements Protocol for the call-control API, as its client.
type WebSocket struct {
	fields                       *[]string // fields of load reports in the active configuration
	host, path                   string
	opening                      websocket.ClientHandshake
	handshakeDone, closeReceived bool
	dec                          websocket.Decoder
	probes                       uint32 // number of probes sent
	probeReplies                 uint32 // number of replies to probes, which arrive in the order of the probes
}

// ParseAddress returns the address to dial and the protocol for an address of the list: "host:port" is SIP over TCP,
// "ws://host:port/path" the call-control API.
func ParseAddress(address string, fields *[]string) (dial string, protocol Protocol) {
	if !strings.HasPrefix(address, "ws://") {
		return address, &SIP{fields: fields}
	}
	u, err := url.Parse(address)
	if err != nil {
		return address, &SIP{fields: fields} // the dial will fail and report the host
	}
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	return u.Host, &WebSocket{fields: fields, host: u.Host, path: path}
}

// Handshake returns the opening request.
func (p *WebSocket) Handshake() []byte { return p.opening.Request(p.host, p.path) }

// HandshakeDone reports whether the dispatcher has accepted the opening request.
func (p *WebSocket) HandshakeDone() bool { return p.handshakeDone }

// ClosingMessage returns a close frame with the code of the error.
func (p *WebSocket) ClosingMessage(err error) []byte {
	if !p.handshakeDone {
		return nil
	}
	return websocket.AppendClose(nil, websocket.CloseCode(err), "", true)
}

func textFrame(m jsonl.Message) []byte {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		return nil // a message of strings and numbers can always be encoded
	}
	return websocket.Append(nil, websocket.Text, text, true)
}

// SetUp encodes a "setup" message.
func (p *WebSocket) SetUp(a call.SetUp) []byte {
	return textFrame(jsonl.Message{Type: "setup", ID: a.ID, SDP: &a.Description, Fields: map[string]jsonl.Value{
		"class": jsonl.Value(a.Class), "key": jsonl.Value(a.Called),
		"left": jsonl.Value(strconv.FormatInt(a.Timeout.Milliseconds(), 10)),
	}})
}

// Cancel encodes a "release" message with cause 16.
func (p *WebSocket) Cancel(id string, _ int, _ string) []byte { return p.Release(id, call.CauseNormal) }

// Release encodes a "release" message.
func (p *WebSocket) Release(id string, cause int) []byte {
	return textFrame(jsonl.Message{Type: "release", ID: id, Cause: &cause})
}

// Probe encodes a "ping" message.
func (p *WebSocket) Probe() (message []byte, number uint32) {
	p.probes++
	zero := 0
	return textFrame(jsonl.Message{Type: "ping", ID: "load", Cause: &zero}), p.probes
}

// Next decodes the next message.
func (p *WebSocket) Next(in *ring.Buffer) (*Message, error) {
	switch {
	case p.closeReceived:
		return nil, io.EOF
	case !p.handshakeDone:
		done, err := p.opening.ReadResponse(in)
		if err != nil || !done {
			return nil, err
		}
		p.handshakeDone = true
		return &Message{kind: handshakeComplete}, nil
	}
	m, err := p.dec.Next(in)
	if m == nil || err != nil {
		return nil, err
	}
	switch m.Op {
	case websocket.Ping:
		return replyMessage(websocket.Append(nil, websocket.Pong, m.Payload, true)), nil
	case websocket.Close:
		p.closeReceived = true
		return replyMessage(websocket.AppendClose(nil, m.Code, "", true)), nil
	case websocket.Text:
		message, err := jsonl.Parse(m.Payload)
		if err != nil {
			return nil, errors.Join(&websocket.Error{Code: websocket.InvalidPayload, Text: "unreadable message"}, err)
		}
		return p.interpret(message), nil
	case websocket.Binary:
		return nil, &websocket.Error{Code: websocket.Unsupported, Text: "binary messages are not supported"}
	}
	return &Message{}, nil
}

func replyMessage(p []byte) *Message { return &Message{encodeReply: func(string) []byte { return p }} }

func (p *WebSocket) interpret(m *jsonl.Message) *Message {
	message := &Message{id: m.ID}
	if text := string(m.Fields["report"]); text != "" {
		message.kind, message.report = report, settings.ParseReport(text, *p.fields)
	}
	switch m.Type {
	case "answer":
		message.kind, message.final, message.description = answer, true, m.Description()
		message.damaged = !call.ValidDescription(message.description)
	case "released":
		message.kind = releaseConfirmed
	case "pong":
		p.probeReplies++
		message.probeReply = p.probeReplies
	case "release":
		message.kind, message.final, message.cause = refusedOrReleased, true, m.CauseOr(call.CauseNormal)
		message.outcome, message.noLine = releaseOutcome(message.cause)
	}
	return message
}

// releaseOutcome returns the outcome of a set-up that a dispatcher releases instead of answering it; docs/api.md has the table.
func releaseOutcome(cause int) (o control.Outcome, noLine bool) {
	switch cause {
	case 34:
		return control.Full, true
	case 42:
		return control.Full, false
	case 27:
		return control.NotSent, false
	case 41:
		return control.Reset, false
	case 16:
		return control.Cancelled, false
	}
	return control.Failed, false
}
