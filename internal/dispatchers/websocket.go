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

// WebSocket speaks the call-control API to a dispatcher, as its client.
type WebSocket struct {
	fields     *[]string // of load reports, as the settings have them now
	host, path string
	opening    websocket.Opening
	open, bye  bool
	dec        websocket.Decoder
	probes     uint32 // sent
	replies    uint32 // to them, which come in their order
}

// ParseAddress tells where an address of the list leads and in which form to speak there: "host:port" is SIP over TCP,
// "ws://host:port/path" the call-control API.
func ParseAddress(address string, fields *[]string) (dial string, w Protocol) {
	if !strings.HasPrefix(address, "ws://") {
		return address, &SIP{fields: fields}
	}
	u, err := url.Parse(address)
	if err != nil {
		return address, &SIP{fields: fields} // no such host: the dial says so
	}
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	return u.Host, &WebSocket{fields: fields, host: u.Host, path: path}
}

// Handshake is the opening request.
func (w *WebSocket) Handshake() []byte { return w.opening.Request(w.host, w.path) }

// HandshakeDone reports whether the dispatcher has taken the connection.
func (w *WebSocket) HandshakeDone() bool { return w.open }

// ClosingMessage closes in good order.
func (w *WebSocket) ClosingMessage(err error) []byte {
	if !w.open {
		return nil
	}
	return websocket.AppendClose(nil, websocket.CloseCode(err), "", true)
}

func frame(m jsonl.Message) []byte {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		return nil // a message of strings and numbers can always be written
	}
	return websocket.Append(nil, websocket.Text, text, true)
}

// SetUp is a "setup".
func (w *WebSocket) SetUp(a call.SetUp) []byte {
	return frame(jsonl.Message{Type: "setup", ID: a.ID, SDP: &a.Description, Fields: map[string]jsonl.Value{
		"class": jsonl.Value(a.Class), "key": jsonl.Value(a.Called),
		"left": jsonl.Value(strconv.FormatInt(a.Timeout.Milliseconds(), 10)),
	}})
}

// Cancel is a "release" with cause 16.
func (w *WebSocket) Cancel(id string, _ int, _ string) []byte { return w.Release(id, call.CauseNormal) }

// Release is a "release".
func (w *WebSocket) Release(id string, cause int) []byte {
	return frame(jsonl.Message{Type: "release", ID: id, Cause: &cause})
}

// Probe is a "ping".
func (w *WebSocket) Probe() (message []byte, number uint32) {
	w.probes++
	none := 0
	return frame(jsonl.Message{Type: "ping", ID: "load", Cause: &none}), w.probes
}

// Next reads a message.
func (w *WebSocket) Next(in *ring.Buffer) (*Message, error) {
	switch {
	case w.bye:
		return nil, io.EOF
	case !w.open:
		open, err := w.opening.Done(in)
		if err != nil || !open {
			return nil, err
		}
		w.open = true
		return &Message{kind: hello}, nil
	}
	m, err := w.dec.Next(in)
	if m == nil || err != nil {
		return nil, err
	}
	switch m.Op {
	case websocket.Ping:
		return reply(websocket.Append(nil, websocket.Pong, m.Payload, true)), nil
	case websocket.Close:
		w.bye = true
		return reply(websocket.AppendClose(nil, m.Code, "", true)), nil
	case websocket.Text:
		message, err := jsonl.Parse(m.Payload)
		if err != nil {
			return nil, errors.Join(&websocket.Error{Code: websocket.BadData, Text: "unreadable message"}, err)
		}
		return w.meaning(message), nil
	case websocket.Binary:
		return nil, &websocket.Error{Code: websocket.Unsupported, Text: "messages are text"}
	}
	return &Message{}, nil
}

func reply(p []byte) *Message { return &Message{reply: func(string) []byte { return p }} }

func (w *WebSocket) meaning(m *jsonl.Message) *Message {
	got := &Message{id: m.ID}
	if text := string(m.Fields["report"]); text != "" {
		got.kind, got.report = report, settings.ParseReport(text, *w.fields)
	}
	switch m.Type {
	case "answer":
		got.kind, got.final, got.description = answer, true, m.Description()
		got.damaged = !call.ValidDescription(got.description)
	case "released":
		got.kind = confirmation
	case "pong":
		w.replies++
		got.probe = w.replies
	case "release":
		got.kind, got.final, got.cause = ended, true, m.CauseOr(call.CauseNormal)
		got.outcome, got.noLine = outcome(got.cause)
	}
	return got
}

// outcome of a set-up that a dispatcher releases instead of answering it; docs/api.md has the table.
func outcome(cause int) (o control.Outcome, noLine bool) {
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
