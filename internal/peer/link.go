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

// link is a connection to a dispatcher.
type link struct {
	*stream
	d        *Dispatcher
	closedAt atomic.Pointer[time.Time] // when a script closed it; nil before
}

// noteClosed notes that a script has closed the connection: the other side may know of that before this one's reader does, and not before the
// close has begun.
func (l *link) noteClosed() {
	now := time.Now()
	l.closedAt.CompareAndSwap(nil, &now)
}

func (d *Dispatcher) serve(l *link) {
	if d.ws && !l.open() {
		return
	}
	d.mu.Lock()
	_ = l.write(d.state())
	d.links = append(d.links, l)
	d.mu.Unlock()
	if d.tellLinks.Load() {
		l.tell(Event{Kind: "opened"})
	}
	if d.ws {
		l.serveAPI()
	} else {
		l.serveSIP()
	}
	_ = l.Close()
	d.mu.Lock()
	d.links = slices.DeleteFunc(d.links, func(o *link) bool { return o == l })
	d.mu.Unlock()
	if d.tellLinks.Load() {
		l.tell(Event{Kind: "closed"})
	}
}

// open takes the opening of the call-control API. It reports false if there is none.
func (l *link) open() bool {
	for {
		response, err := websocket.Accept(l.in, Path)
		if response != nil {
			_ = l.write(response)
		}
		if err != nil {
			_ = l.Close()
			return false
		}
		if response != nil {
			return true
		}
		if l.more() != nil {
			return false
		}
	}
}

func (l *link) serveAPI() {
	dec := websocket.Decoder{Masked: true}
	for {
		m, err := dec.Next(l.in)
		if err != nil {
			return
		}
		if m == nil {
			if l.more() != nil {
				return
			}
			continue
		}
		if m.Op != websocket.Text {
			continue
		}
		j, err := jsonl.Parse(m.Payload)
		if err != nil {
			return
		}
		left, _ := j.Int("left")
		kind := map[string]string{"setup": "setup", "release": "release", "ping": "probe"}[j.Type]
		l.tell(Event{Kind: kind, ID: j.ID, Class: string(j.Fields["class"]), Key: string(j.Fields["key"]),
			Description: j.Description(), Left: time.Duration(left) * time.Millisecond, Cause: j.CauseOr(0)})
	}
}

func (l *link) serveSIP() {
	var dec sip.Decoder
	for {
		m, err := dec.Next(l.in)
		if err != nil {
			return
		}
		if m == nil {
			if l.more() != nil {
				return
			}
			continue
		}
		e, ok := eventOf(m)
		if !ok {
			continue
		}
		if m.Method == "BYE" {
			_ = l.write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqOf: "BYE"}))
		}
		l.tell(e)
	}
}

// eventOf is what a request of SIP tells; false if it is none that is known.
func eventOf(m *sip.Message) (e Event, ok bool) {
	e = Event{ID: m.CallID, seq: m.Seq}
	switch m.Method {
	case "INVITE":
		ms, _ := strconv.Atoi(m.Get("P-Time-Left"))
		key, _, _ := strings.Cut(strings.TrimPrefix(m.URI, "sip:"), "@")
		e.Kind, e.Class, e.Key, e.Description = "setup", m.Get("P-Kind"), key, string(m.Body)
		e.Left = time.Duration(ms) * time.Millisecond
	case "CANCEL": // a release of a set-up, as the API has it
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

func (l *link) tell(e Event) {
	e.At, e.link = time.Now(), l
	if e.Kind == "ack" {
		l.d.Acks <- e
		return
	}
	l.d.Events <- e
}

func (l *link) release(id string, cause int) error {
	if l.d.ws {
		return l.write(api(jsonl.Message{Type: "release", ID: id, Cause: &cause}))
	}
	return l.write(sip.Append(nil, &sip.Message{Method: "BYE", URI: "sip:caller@net", CallID: id, Seq: 2, SeqOf: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}}}))
}

// api is a message of the call-control API as a dispatcher sends it.
func api(m jsonl.Message) []byte {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		panic(err)
	}
	return websocket.Append(nil, websocket.Text, text, false)
}
