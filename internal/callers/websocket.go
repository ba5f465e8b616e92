package callers

import (
	"errors"
	"io"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/websocket"
)

// WebSocket is the format of the call-control API: each text message contains one JSON message.
type WebSocket struct {
	path string
	open bool
	dec  websocket.Decoder
}

// NewWebSocket returns the format of one connection to the API at the path.
func NewWebSocket(path string) *WebSocket {
	return &WebSocket{path: path, dec: websocket.Decoder{Masked: true}}
}

// Next decodes the next message. It returns io.EOF after a clean close by the peer.
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
				return nil, errors.Join(&websocket.Error{Code: websocket.InvalidPayload, Text: "unreadable message"}, err)
			}
			return message, nil
		}
	}
}

// Open reports whether the opening handshake is complete.
func (w *WebSocket) Open() bool { return w.open }

// Frame returns the text as a WebSocket text message.
func (w *WebSocket) Frame(text []byte) []byte {
	return websocket.Append(nil, websocket.Text, text, false)
}

// ClosingMessage returns a close frame with the code for the error.
func (w *WebSocket) ClosingMessage(err error) []byte {
	if !w.open {
		return nil // the response to the handshake was the last message
	}
	return websocket.AppendClose(nil, websocket.CloseCode(err), "", false)
}

// HasErrorField returns true: releases contain the error name of the API.
func (w *WebSocket) HasErrorField() bool { return true }
