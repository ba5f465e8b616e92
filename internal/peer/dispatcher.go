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

// Dispatcher listens like one.
type Dispatcher struct {
	Events    chan Event // all but acks
	Acks      chan Event
	tellLinks atomic.Bool
	ln        net.Listener
	ws        bool
	report    string
	rest      sync.RWMutex

	mu    sync.Mutex
	links []*link
}

// Dispatch listens at the address. The report is what every new connection is told first.
func Dispatch(transport, address, report string) (*Dispatcher, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dispatcher: %w", err)
	}
	d := dispatcher(ln, transport, report)
	d.Open()
	return d, nil
}

func dispatcher(ln net.Listener, transport, report string) *Dispatcher {
	return &Dispatcher{Events: make(chan Event, 1024), Acks: make(chan Event, 1024), ln: ln, ws: transport == "ws", report: report}
}

// Open has a late dispatcher take connections.
func (d *Dispatcher) Open() {
	go func() {
		for {
			nc, err := d.ln.Accept()
			if err != nil {
				return
			}
			l := &link{stream: newStream(nc), d: d}
			l.stream.rest, l.stream.deaf = &d.rest, make(chan struct{})
			go d.serve(l)
		}
	}()
}

// Address is the dispatcher's in a list.
func (d *Dispatcher) Address() string {
	if d.ws {
		return "ws://" + d.ln.Addr().String() + Path
	}
	return d.ln.Addr().String()
}

// Listening is the plain address.
func (d *Dispatcher) Listening() string { return d.ln.Addr().String() }

// Links is the number of connections that are open.
func (d *Dispatcher) Links() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.links)
}

// TellLinks has Events tell of connections that come from now on, too.
func (d *Dispatcher) TellLinks() { d.tellLinks.Store(true) }

// Report tells all that are connected of another state.
func (d *Dispatcher) Report(report string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report = report
	var err error
	for _, l := range d.links {
		err = errors.Join(err, l.write(d.state()))
	}
	return err
}

func (d *Dispatcher) state() []byte {
	if d.ws {
		return api(jsonl.Message{Type: "state", ID: "0", Fields: map[string]jsonl.Value{"report": jsonl.Value(d.report)}})
	}
	return sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqOf: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: d.report}}})
}

// Next waits for what the dispatcher is told.
func (d *Dispatcher) Next() (Event, error) {
	select {
	case e := <-d.Events:
		return e, nil
	case <-time.After(Patience):
		return Event{}, errors.New("dispatcher: nothing came")
	}
}

// Release ends a call that stands, on any connection.
func (d *Dispatcher) Release(id string, cause int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.links) == 0 {
		return errors.New("dispatcher: no connection")
	}
	return d.links[len(d.links)-1].release(id, cause)
}

// Rest has it take nothing in, nor see that a connection has closed, until Wake. What it is told to send it does send.
func (d *Dispatcher) Rest() { d.rest.Lock() }

// Wake ends a Rest.
func (d *Dispatcher) Wake() { d.rest.Unlock() }

// Stop has nothing listen any more and leaves the connections open.
func (d *Dispatcher) Stop() { _ = d.ln.Close() }

// Cut resets all connections and goes on listening.
func (d *Dispatcher) Cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if tcp, ok := l.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = l.Close()
		l.noteClosed()
	}
	d.links = nil
}

// Die ends the process: nothing listens, and all connections are reset.
func (d *Dispatcher) Die() {
	_ = d.ln.Close()
	d.Cut()
}
