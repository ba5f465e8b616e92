package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// line is a message between a caller and the controller.
type line struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  *int           `json:"cause,omitempty"`
	SDP    *string        `json:"sdp,omitempty"`
}

// cause returns the cause of a release, or -1 without one.
func (m line) cause() int {
	if m.Cause == nil {
		return -1
	}
	return *m.Cause
}

// caller is a connection of a caller, over JSON lines or WebSocket.
type caller struct {
	net.Conn
	record *record
	name   string
	in     *bufio.Reader
	ws     bool
	mu     sync.Mutex
	closed chan struct{} // closed when the connection has ended
}

// dialCaller connects and passes all messages to handle, until the connection ends.
func dialCaller(r *record, name, address, wsPath string, handle func(*caller, line)) (*caller, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{Conn: nc, record: r, name: name, in: bufio.NewReader(nc), ws: wsPath != "", closed: make(chan struct{})}
	if c.ws {
		if err := c.handshake(address, wsPath); err != nil {
			_ = nc.Close()
			return nil, err
		}
	}
	go func() {
		defer close(c.closed)
		for {
			text, err := c.read()
			if err != nil {
				r.say("%s: connection ended: %v", name, err)
				_ = c.Close()
				return
			}
			var m line
			if err := json.Unmarshal(text, &m); err != nil {
				r.say("%s: unreadable message %q", name, text)
				continue
			}
			r.say("%s: gets %s", name, strings.TrimSpace(string(text)))
			handle(c, m)
		}
	}()
	return c, nil
}

func (c *caller) handshake(address, path string) error {
	key := make([]byte, 16)
	_, _ = rand.Read(key)
	_, err := fmt.Fprintf(c.Conn, "GET %s HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: %s\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: call-control.v1\r\n\r\n", path, address, base64.StdEncoding.EncodeToString(key))
	if err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	for first := true; ; first = false {
		text, err := c.in.ReadString('\n')
		switch {
		case err != nil:
			return err
		case first && !strings.Contains(text, " 101 "):
			return fmt.Errorf("no WebSocket: %q", text)
		case strings.TrimSpace(text) == "":
			return nil
		}
	}
}

// read returns the text of the next message.
func (c *caller) read() ([]byte, error) {
	if !c.ws {
		return c.in.ReadBytes('\n')
	}
	for {
		var head [2]byte
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return nil, err
		}
		n := int(head[1] & 0x7f)
		switch n {
		case 126:
			var long [2]byte
			if _, err := io.ReadFull(c.in, long[:]); err != nil {
				return nil, err
			}
			n = int(binary.BigEndian.Uint16(long[:]))
		case 127:
			return nil, errors.New("frame of over 64 KiB")
		}
		payload := make([]byte, n)
		if _, err := io.ReadFull(c.in, payload); err != nil {
			return nil, err
		}
		switch head[0] & 0x0f {
		case 1:
			return payload, nil
		case 8:
			_ = c.frame(8, payload)
			return nil, fmt.Errorf("closed by a frame: %x", payload)
		case 9:
			_ = c.frame(10, payload)
		}
	}
}

// frame writes one masked frame.
func (c *caller) frame(op byte, payload []byte) error {
	p := []byte{0x80 | op}
	if n := len(payload); n < 126 {
		p = append(p, 0x80|byte(n))
	} else {
		p = binary.BigEndian.AppendUint16(append(p, 0x80|126), uint16(n))
	}
	var key [4]byte
	_, _ = rand.Read(key[:])
	p = append(p, key[:]...)
	for i, b := range payload {
		p = append(p, b^key[i%4])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(p)
	return err
}

// tell sends a message.
func (c *caller) tell(m line) error {
	if m.Fields == nil {
		m.Fields = map[string]any{}
	}
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.record.say("%s: sends %s", c.name, text)
	if c.ws {
		return c.frame(1, text)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err = c.Write(append(text, '\n'))
	return err
}

// setUp sends a set-up for a dispatcher of first choice.
func (c *caller) setUp(id string, left time.Duration, first int, token string) error {
	sdp := "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
	fields := map[string]any{"class": "send-setup", "left": fmt.Sprint(left.Milliseconds()), "key": id,
		"extras": fmt.Sprintf("dest:%d;width:1;via:-1", first)}
	if token != "" {
		fields["token"] = token
	}
	return c.tell(line{Type: "setup", ID: id, Fields: fields, SDP: &sdp})
}

// newID returns a new id of a call.
func newID() string {
	p := make([]byte, 8)
	_, _ = rand.Read(p)
	return hex.EncodeToString(p)
}
