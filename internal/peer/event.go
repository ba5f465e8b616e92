package peer

import (
	"net"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/sip"
	"cherryrelay/internal/websocket"
)

// Event is a message that a dispatcher has received. Its Kind is "setup", "release", "probe" or "ack". With EnableConnEvents, the kinds "opened" and
// "closed" report changes of connections.
type Event struct {
	Kind, ID, Class, Key, Description string
	Left                              time.Duration // time until the deadline of a set-up
	Cause                             int
	At                                time.Time
	conn                              *conn
	seq                               uint32 // CSeq number of a SIP request
}

// Answer answers a set-up, which establishes its call. A SIP answer has the sequence number 1 for every attempt, as real dispatchers send it.
func (e Event) Answer(description string) error {
	if e.conn.dispatcher.ws {
		return e.conn.write(encodeAPI(jsonl.Message{Type: "answer", ID: e.ID, SDP: &description}))
	}
	return e.conn.write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: e.ID, Seq: 1, SeqMethod: "INVITE",
		Body: []byte(description)}))
}

// SendPartialAnswer sends only the first half of an answer.
func (e Event) SendPartialAnswer() error {
	message := sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: e.ID, Seq: 1, SeqMethod: "INVITE", Body: []byte("half")})
	if e.conn.dispatcher.ws {
		message = websocket.Append(nil, websocket.Text, []byte(`{"type":"answer","id":"`+e.ID+`"}`), false)
	}
	return e.conn.write(message[:len(message)/2])
}

// Refuse refuses a set-up.
func (e Event) Refuse(r Refusal) error {
	if e.conn.dispatcher.ws {
		return e.conn.write(encodeAPI(jsonl.Message{Type: "release", ID: e.ID, Cause: &r.Cause}))
	}
	return e.conn.write(sip.Append(nil, &sip.Message{Status: r.Status, Phrase: "No", CallID: e.ID, Seq: 1, SeqMethod: "INVITE",
		Headers: []sip.Header{{Name: "P-Reason", Value: r.Reason}}}))
}

// ReleaseOnConn ends an established call with a message on the connection of the event.
func (e Event) ReleaseOnConn(id string, cause int) error { return e.conn.release(id, cause) }

// SendRaw writes unframed bytes on the connection of the event.
func (e Event) SendRaw(p []byte) error { return e.conn.write(p) }

// ResetConn resets the connection of the event.
func (e Event) ResetConn() error {
	if tcp, ok := e.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	err := e.conn.Close()
	e.conn.recordClose()
	return err
}

// CloseConn closes the connection of the event without a reset.
func (e Event) CloseConn() error {
	err := e.conn.Close()
	e.conn.recordClose()
	return err
}

// ConnClosedAt returns the time at which the test closed the connection of the event, or the zero time if it did not.
func (e Event) ConnClosedAt() time.Time {
	if at := e.conn.closedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// DiscardInput simulates a connection that is dead without the knowledge of the dispatcher: all further input, including its end, is ignored. The
// test itself must send nothing more on this connection.
func (e Event) DiscardInput() { close(e.conn.discarding) }

// SameConn reports whether two events arrived on the same connection.
func (e Event) SameConn(other Event) bool { return e.conn == other.conn }

// AnswerProbe replies to a probe.
func (e Event) AnswerProbe() error {
	if e.conn.dispatcher.ws {
		passed := 1
		return e.conn.write(encodeAPI(jsonl.Message{Type: "pong", ID: e.ID, Cause: &passed}))
	}
	return e.conn.write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: e.ID, Seq: e.seq, SeqMethod: "OPTIONS"}))
}
