package callers

import (
	"errors"
	"io"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/websocket"
)

// WebSocket is the framing of the call-control API: each text message holds one JSON message.
type WebSocket struct {
	path string
	open bool
	dec  websocket.Decoder
}

// NewWebSocket returns the framing for one connection of an API that is served at the path.
func NewWebSocket(path string) *WebSocket {
	return &WebSocket{path: path, dec: websocket.Decoder{Masked: true}}
}

// Next reads a message. A peer that closes in good order ends the stream with io.EOF.
func (w *WebSocket) Next(in *ring.Buffer, write func([]byte)) (*jsonl.Message, error) {
	if !w.open {
		response, err := websocket.Accept(in, w.path)
		write(response)
		if err != nil || response == nil {
			return nil, err
		}
		w.open = true
	}
	for {
		m, err := w.dec.Next(in)
		if m == nil || err != nil {
			return nil, err
		}
		switch m.Op {
		case websocket.Ping:
			write(websocket.Append(nil, websocket.Pong, m.Payload, false))
		case websocket.Close:
			write(websocket.AppendClose(nil, m.Code, "", false))
			return nil, io.EOF
		case websocket.Binary:
			return nil, &websocket.Error{Code: websocket.Unsupported, Text: "messages are text"}
		case websocket.Text:
			message, err := jsonl.Parse(m.Payload)
			if err != nil {
				return nil, errors.Join(&websocket.Error{Code: websocket.BadData, Text: "unreadable message"}, err)
			}
			return message, nil
		}
	}
}

// Open reports whether the opening handshake is done.
func (w *WebSocket) Open() bool { return w.open }

// Frame makes a text message of it.
func (w *WebSocket) Frame(text []byte) []byte {
	return websocket.Append(nil, websocket.Text, text, false)
}

// Bye closes in good order, with the code that the error calls for.
func (w *WebSocket) Bye(err error) []byte {
	if !w.open {
		return nil // the response to the opening has said it
	}
	return websocket.AppendClose(nil, websocket.CloseCode(err), "", false)
}

// NamesErrors has releases carry the API's error.
func (w *WebSocket) NamesErrors() bool { return true }
