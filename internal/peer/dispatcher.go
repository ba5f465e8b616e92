package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/sip"
)

// Dispatcher is a fake dispatcher.
type Dispatcher struct {
	Events     chan Event  // all events except acknowledgements
	Acks       chan Event  // SIP acknowledgements
	connEvents atomic.Bool // whether Events includes "opened" and "closed"
	ln         net.Listener
	ws         bool
	report     string       // sent first on each new connection
	pauseMu    sync.RWMutex // locked for writing while input is paused

	mu    sync.Mutex
	conns []*conn
}

// StartDispatcher returns a dispatcher that listens on the address and accepts connections. The transport is "ws" for the call-control API and
// anything else for SIP. The report is the first message on each new connection.
func StartDispatcher(transport, address, report string) (*Dispatcher, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dispatcher: %w", err)
	}
	d := newDispatcher(ln, transport, report)
	d.StartAccepting()
	return d, nil
}

func newDispatcher(ln net.Listener, transport, report string) *Dispatcher {
	return &Dispatcher{Events: make(chan Event, 1024), Acks: make(chan Event, 1024), ln: ln, ws: transport == "ws", report: report}
}

// StartAccepting accepts connections in the background. Only a dispatcher from NewFullBacklogDispatcher needs this call.
func (d *Dispatcher) StartAccepting() {
	go func() {
		for {
			nc, err := d.ln.Accept()
			if err != nil {
				return
			}
			c := &conn{stream: newStream(nc), dispatcher: d}
			c.stream.pauseMu, c.stream.discarding = &d.pauseMu, make(chan struct{})
			go d.serve(c)
		}
	}()
}

// Address returns the address of the dispatcher in the form of a server list.
func (d *Dispatcher) Address() string {
	if d.ws {
		return "ws://" + d.ln.Addr().String() + Path
	}
	return d.ln.Addr().String()
}

// ListenAddress returns the host and port of the listener.
func (d *Dispatcher) ListenAddress() string { return d.ln.Addr().String() }

// ConnCount returns the number of open connections.
func (d *Dispatcher) ConnCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// EnableConnEvents also sends the events "opened" and "closed" for connections from now on.
func (d *Dispatcher) EnableConnEvents() { d.connEvents.Store(true) }

// SetReport replaces the report and sends the new one on all connections.
func (d *Dispatcher) SetReport(report string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report = report
	var err error
	for _, c := range d.conns {
		err = errors.Join(err, c.write(d.stateMessage()))
	}
	return err
}

// stateMessage encodes the report for the transport of the dispatcher.
func (d *Dispatcher) stateMessage() []byte {
	if d.ws {
		return encodeAPI(jsonl.Message{Type: "state", ID: "0", Fields: map[string]jsonl.Value{"report": jsonl.Value(d.report)}})
	}
	return sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqMethod: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: d.report}}})
}

// Next waits for the next event.
func (d *Dispatcher) Next() (Event, error) {
	select {
	case e := <-d.Events:
		return e, nil
	case <-time.After(Timeout):
		return Event{}, errors.New("dispatcher: timeout waiting for an event")
	}
}

// Release ends an established call. The message goes out on the newest connection.
func (d *Dispatcher) Release(id string, cause int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) == 0 {
		return errors.New("dispatcher: no connection")
	}
	return d.conns[len(d.conns)-1].release(id, cause)
}

// PauseInput pauses the input of all connections, including the detection of closed ones, until Dispatcher.ResumeInput is called. Output is not
// affected.
func (d *Dispatcher) PauseInput() { d.pauseMu.Lock() }

// ResumeInput resumes the input after Dispatcher.PauseInput.
func (d *Dispatcher) ResumeInput() { d.pauseMu.Unlock() }

// StopListening closes the listener and leaves the connections open.
func (d *Dispatcher) StopListening() { _ = d.ln.Close() }

// ResetConns resets all connections and continues to listen.
func (d *Dispatcher) ResetConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		c.recordClose()
	}
	d.conns = nil
}

// Kill simulates the end of the process: it closes the listener and resets all connections.
func (d *Dispatcher) Kill() {
	_ = d.ln.Close()
	d.ResetConns()
}
