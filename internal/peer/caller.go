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

// Caller is a connection of a caller. "ws" speaks the call-control API, anything else JSON lines.
type Caller struct {
	*stream
	ws   bool
	line jsonl.Decoder
	dec  websocket.Decoder

	Class, Tenant string // of its set-ups
}

// Call connects to a front.
func Call(transport, address string) (*Caller, error) {
	nc, err := net.DialTimeout("tcp", address, Patience)
	if err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	c := &Caller{stream: newStream(nc), ws: transport == "ws", Class: "send-setup", Tenant: "acme"}
	if !c.ws {
		return c, nil
	}
	var o websocket.Opening
	if err := c.write(o.Request(address, Path)); err != nil {
		return nil, fmt.Errorf("caller: %w", err)
	}
	for {
		if open, err := o.Done(c.in); open || err != nil {
			return c, err
		}
		if err := c.more(); err != nil {
			return nil, fmt.Errorf("caller: opening: %w", err)
		}
	}
}

// Frame is a text as this transport carries it.
func (c *Caller) Frame(text []byte) []byte {
	if c.ws {
		return websocket.Append(nil, websocket.Text, text, true)
	}
	return append(text, '\n')
}

// SendRaw writes bytes as they are.
func (c *Caller) SendRaw(p []byte) error { return c.write(p) }

// Send writes a message.
func (c *Caller) Send(m jsonl.Message) error {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		return err
	}
	return c.write(c.Frame(text))
}

// SetUp sends a set-up with that much time left, for the dispatcher of first choice.
func (c *Caller) SetUp(id string, left time.Duration, first int, sdp string) error {
	return c.Send(c.Asks(id, left, first, sdp))
}

// Asks is what SetUp sends.
func (c *Caller) Asks(id string, left time.Duration, first int, sdp string) jsonl.Message {
	return jsonl.Message{Type: "setup", ID: id, SDP: &sdp, Fields: map[string]jsonl.Value{
		"class": jsonl.Value(c.Class), "tenant": jsonl.Value(c.Tenant), "key": jsonl.Value("k" + id), "left": jsonl.Value(strconv.Itoa(int(left.Milliseconds()))),
		"extras": jsonl.Value(fmt.Sprintf("dest:%d;width:1;via:-1", first)),
	}}
}

// Release gives up a set-up or ends a call.
func (c *Caller) Release(id string, cause int) error {
	return c.Send(jsonl.Message{Type: "release", ID: id, Cause: &cause})
}

// Next waits for a message.
func (c *Caller) Next() (*jsonl.Message, error) { return c.NextWithin(Patience) }

// NextWithin waits for a message so long.
func (c *Caller) NextWithin(patience time.Duration) (*jsonl.Message, error) {
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return nil, err
	}
	for {
		m, err := c.parse()
		if m != nil || err != nil {
			return m, err
		}
		if err := c.more(); err != nil {
			return nil, err
		}
	}
}

// parse is the next message of what has come; nil if that is not whole yet.
func (c *Caller) parse() (*jsonl.Message, error) {
	if !c.ws {
		return c.line.Next(c.in)
	}
	for {
		f, err := c.dec.Next(c.in)
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

// CloseWrite ends the caller's side alone.
func (c *Caller) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("caller: no TCP")
	}
	return tcp.CloseWrite()
}

// Reset leaves without a word in order.
func (c *Caller) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}
