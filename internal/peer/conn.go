package peer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/sip"
	"cherryrelay/internal/websocket"
)

// conn is a connection of a Dispatcher.
type conn struct {
	*stream
	dispatcher *Dispatcher
	closedAt   atomic.Pointer[time.Time] // time at which the test closed the connection; nil before
}

// recordClose records the time at which the test closed the connection. The other side may detect the close before the
// reader of this side does, but not before the close has started.
func (c *conn) recordClose() {
	now := time.Now()
	c.closedAt.CompareAndSwap(nil, &now)
}

// serve sends the report on a new connection and delivers its messages as events until it ends.
func (d *Dispatcher) serve(c *conn) {
	if d.ws && !c.acceptHandshake() {
		return
	}
	d.mu.Lock()
	_ = c.write(d.stateMessage())
	d.conns = append(d.conns, c)
	d.mu.Unlock()
	if d.connEvents.Load() {
		c.deliver(Event{Kind: "opened"})
	}
	if d.ws {
		c.serveAPI()
	} else {
		c.serveSIP()
	}
	_ = c.Close()
	d.mu.Lock()
	d.conns = slices.DeleteFunc(d.conns, func(other *conn) bool { return other == c })
	d.mu.Unlock()
	if d.connEvents.Load() {
		c.deliver(Event{Kind: "closed"})
	}
}

// acceptHandshake performs the WebSocket handshake of the call-control API. It reports whether the handshake succeeded.
func (c *conn) acceptHandshake() bool {
	for {
		response, err := websocket.Accept(c.input, Path)
		if response != nil {
			_ = c.write(response)
		}
		if err != nil {
			_ = c.Close()
			return false
		}
		if response != nil {
			return true
		}
		if c.readMore() != nil {
			return false
		}
	}
}

func (c *conn) serveAPI() {
	dec := websocket.Decoder{Masked: true}
	for {
		frame, err := dec.Next(c.input)
		if err != nil {
			return
		}
		if frame == nil {
			if c.readMore() != nil {
				return
			}
			continue
		}
		if frame.Op != websocket.Text {
			continue
		}
		m, err := jsonl.Parse(frame.Payload)
		if err != nil {
			return
		}
		left, _ := m.IntField("left")
		kind := map[string]string{"setup": "setup", "release": "release", "ping": "probe"}[m.Type]
		c.deliver(Event{Kind: kind, ID: m.ID, Class: string(m.Fields["class"]), Key: string(m.Fields["key"]),
			Description: m.Description(), Left: time.Duration(left) * time.Millisecond, Cause: m.CauseOr(0)})
	}
}

func (c *conn) serveSIP() {
	var dec sip.Decoder
	for {
		m, err := dec.Next(c.input)
		if err != nil {
			return
		}
		if m == nil {
			if c.readMore() != nil {
				return
			}
			continue
		}
		e, ok := eventFromSIP(m)
		if !ok {
			continue
		}
		if m.Method == "BYE" {
			_ = c.write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqMethod: "BYE"}))
		}
		c.deliver(e)
	}
}

// eventFromSIP converts a SIP request to an event. It reports false if the method is unknown.
func eventFromSIP(m *sip.Message) (e Event, ok bool) {
	e = Event{ID: m.CallID, seq: m.Seq}
	switch m.Method {
	case "INVITE":
		ms, _ := strconv.Atoi(m.Get("P-Time-Left"))
		key, _, _ := strings.Cut(strings.TrimPrefix(m.URI, "sip:"), "@")
		e.Kind, e.Class, e.Key, e.Description = "setup", m.Get("P-Kind"), key, string(m.Body)
		e.Left = time.Duration(ms) * time.Millisecond
	case "CANCEL": // the call-control API has one message, release, for CANCEL and BYE
		e.Kind, e.Cause = "release", 16
	case "BYE":
		_, text, _ := strings.Cut(m.Get("Reason"), "cause=")
		e.Kind = "release"
		e.Cause, _ = strconv.Atoi(text)
	case "OPTIONS":
		e.Kind = "probe"
	case "ACK":
		e.Kind = "ack"
	default:
		return Event{}, false
	}
	return e, true
}

// deliver sends an event to Acks or Events of the dispatcher.
func (c *conn) deliver(e Event) {
	e.At, e.conn = time.Now(), c
	if e.Kind == "ack" {
		c.dispatcher.Acks <- e
		return
	}
	c.dispatcher.Events <- e
}

// release sends the message that ends an established call.
func (c *conn) release(id string, cause int) error {
	if c.dispatcher.ws {
		return c.write(encodeAPI(jsonl.Message{Type: "release", ID: id, Cause: &cause}))
	}
	return c.write(sip.Append(nil, &sip.Message{Method: "BYE", URI: "sip:caller@net", CallID: id, Seq: 2, SeqMethod: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}}}))
}

// encodeAPI encodes a message of the call-control API in a WebSocket frame of a server.
func encodeAPI(m jsonl.Message) []byte {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		panic(err)
	}
	return websocket.Append(nil, websocket.Text, text, false)
}
