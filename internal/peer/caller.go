package peer

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/websocket"
)

// Caller is a connection of a fake caller.
type Caller struct {
	*stream
	ws           bool
	lineDecoder  jsonl.Decoder
	frameDecoder websocket.Decoder

	Class, Tenant string // class and tenant of its set-ups
}

// DialCaller connects to a front. The transport is "ws" for the call-control API over WebSocket and anything else for JSON lines.
func DialCaller(transport, address string) (*Caller, error) {
	nc, err := net.DialTimeout("tcp", address, Timeout)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	c := &Caller{stream: newStream(nc), ws: transport == "ws", Class: "send-setup", Tenant: "acme"}
	if !c.ws {
		return c, nil
	}
	var handshake websocket.ClientHandshake
	if err := c.write(handshake.Request(address, Path)); err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	for {
		if done, err := handshake.ReadResponse(c.input); done || err != nil {
			return c, err
		}
		if err := c.readMore(); err != nil {
			return nil, fmt.Errorf("caller: WebSocket handshake: %w", err)
		}
	}
}

// Frame frames a text for the transport of the caller.
func (c *Caller) Frame(text []byte) []byte {
	if c.ws {
		return websocket.Append(nil, websocket.Text, text, true)
	}
	return append(text, '\n')
}

// SendRaw writes unframed bytes.
func (c *Caller) SendRaw(p []byte) error { return c.write(p) }

// Send encodes, frames and writes a message.
func (c *Caller) Send(m jsonl.Message) error {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		return err
	}
	return c.write(c.Frame(text))
}

// SetUp sends a set-up. left is the time until its deadline, and first the index of the preferred dispatcher.
func (c *Caller) SetUp(id string, left time.Duration, first int, sdp string) error {
	return c.Send(c.SetUpMessage(id, left, first, sdp))
}

// SetUpMessage returns the message that SetUp sends.
func (c *Caller) SetUpMessage(id string, left time.Duration, first int, sdp string) jsonl.Message {
	return jsonl.Message{Type: "setup", ID: id, SDP: &sdp, Fields: map[string]jsonl.Value{
		"class": jsonl.Value(c.Class), "tenant": jsonl.Value(c.Tenant), "key": jsonl.Value("k" + id), "left": jsonl.Value(strconv.Itoa(int(left.Milliseconds()))),
		"extras": jsonl.Value(fmt.Sprintf("dest:%d;width:1;via:-1", first)),
	}}
}

// Release cancels a set-up or ends an established call.
func (c *Caller) Release(id string, cause int) error {
	return c.Send(jsonl.Message{Type: "release", ID: id, Cause: &cause})
}

// Next waits for the next message.
func (c *Caller) Next() (*jsonl.Message, error) { return c.NextWithin(Timeout) }

// NextWithin waits for the next message until the timeout expires.
func (c *Caller) NextWithin(timeout time.Duration) (*jsonl.Message, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	for {
		m, err := c.parse()
		if m != nil || err != nil {
			return m, err
		}
		if err := c.readMore(); err != nil {
			return nil, err
		}
	}
}

// parse returns the next message of the input, or nil if the input holds no complete message.
func (c *Caller) parse() (*jsonl.Message, error) {
	if !c.ws {
		return c.lineDecoder.Next(c.input)
	}
	for {
		f, err := c.frameDecoder.Next(c.input)
		if f == nil {
			return nil, err
		}
		switch f.Op {
		case websocket.Text:
			return jsonl.Parse(f.Payload)
		case websocket.Close:
			return nil, &websocket.Error{Code: f.Code, Text: "closed by the controller"}
		}
	}
}

// CloseWrite closes the connection for writing; it can still be read.
func (c *Caller) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("caller: the connection is not a TCP connection")
	}
	return tcp.CloseWrite()
}

// Reset closes the connection with a reset.
func (c *Caller) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}
