package peer

import (
	"net"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/sip"
	"cherryrelay/internal/websocket"
)

// Event is what a dispatcher has been told: "setup", "cancel", "release", "probe", or "ack"; and, if it tells of them, that a
// connection was "opened" or has "closed".
type Event struct {
	Kind, ID, Class, Key, Description string
	Left                              time.Duration
	Cause                             int
	At                                time.Time
	link                              *link
	seq                               uint32
}

// Answer lets the call of a set-up stand. SIP's answer carries the number 1 whatever the attempt, as dispatchers do.
func (e Event) Answer(description string) error {
	if e.link.d.ws {
		return e.link.write(api(jsonl.Message{Type: "answer", ID: e.ID, SDP: &description}))
	}
	return e.link.write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: e.ID, Seq: 1, SeqOf: "INVITE",
		Body: []byte(description)}))
}

// AnswerHalf sends the first half of an answer, and no more.
func (e Event) AnswerHalf() error {
	whole := sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: e.ID, Seq: 1, SeqOf: "INVITE", Body: []byte("half")})
	if e.link.d.ws {
		whole = websocket.Append(nil, websocket.Text, []byte(`{"type":"answer","id":"`+e.ID+`"}`), false)
	}
	return e.link.write(whole[:len(whole)/2])
}

// Refuse turns a set-up down.
func (e Event) Refuse(r Refusal) error {
	if e.link.d.ws {
		return e.link.write(api(jsonl.Message{Type: "release", ID: e.ID, Cause: &r.Cause}))
	}
	return e.link.write(sip.Append(nil, &sip.Message{Status: r.Status, Phrase: "No", CallID: e.ID, Seq: 1, SeqOf: "INVITE",
		Headers: []sip.Header{{Name: "P-Reason", Value: r.Note}}}))
}

// ReleaseHere ends a call that stands, on the connection of the event.
func (e Event) ReleaseHere(id string, cause int) error { return e.link.release(id, cause) }

// SendRaw writes bytes as they are, on the connection of the event.
func (e Event) SendRaw(p []byte) error { return e.link.write(p) }

// Reset resets the connection of the event, and no other.
func (e Event) Reset() error {
	if tcp, ok := e.link.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	err := e.link.Close()
	e.link.noteClosed()
	return err
}

// CloseHere ends the connection of the event in order.
func (e Event) CloseHere() error {
	err := e.link.Close()
	e.link.noteClosed()
	return err
}

// ClosedHere is when a script had closed the connection of the event; zero if none has.
func (e Event) ClosedHere() time.Time {
	if at := e.link.closedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Deafen has the connection of the event be dead from now on, as its dispatcher does not know: nothing that comes is taken in, its end
// neither. What the dispatcher tells there, the script leaves out.
func (e Event) Deafen() { close(e.link.deaf) }

// Beside reports whether two events came on the same connection.
func (e Event) Beside(o Event) bool { return e.link == o.link }
