package capacity

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cherryrelay/internal/ring"
	"cherryrelay/internal/sip"
)

// reportedState is the state that every fake dispatcher reports. It is never full.
const reportedState = "x0:1000000;x1:1000000"

// connBuffer is the size of the read buffer of a connection in bytes. Messages in the measurements are below 1 KiB.
const connBuffer = 4 << 10

// dispatchers is a set of fake dispatchers, each at its own address, that answer every set-up immediately. They need little memory, so
// there can be thousands of them. internal/peer has a dispatcher that a test controls step by step.
type dispatchers struct {
	listeners []net.Listener
	// onSetUp, if not nil, is called for each set-up with the time at which the kernel received it. It is not changed after the start.
	onSetUp func(id string, at time.Time)

	mu    sync.Mutex
	conns map[net.Conn]bool

	open, accepted, setUps, messages, bytes atomic.Int64
}

// startDispatchers starts n dispatchers.
func startDispatchers(n int) (*dispatchers, error) { return startStampedDispatchers(n, nil) }

// startStampedDispatchers is like startDispatchers and calls onSetUp, if not nil, for each set-up.
func startStampedDispatchers(n int, onSetUp func(id string, at time.Time)) (*dispatchers, error) {
	d := &dispatchers{conns: map[net.Conn]bool{}, onSetUp: onSetUp}
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(fmt.Errorf("capacity: dispatcher: %w", err), d.close())
		}
		d.listeners = append(d.listeners, ln)
		go d.accept(ln)
	}
	return d, nil
}

// addresses returns the listen address of each dispatcher.
func (d *dispatchers) addresses() []string {
	var all []string
	for _, ln := range d.listeners {
		all = append(all, ln.Addr().String())
	}
	return all
}

// close closes all listeners and connections.
func (d *dispatchers) close() error {
	var err error
	for _, ln := range d.listeners {
		err = errors.Join(err, ln.Close())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		err = errors.Join(err, conn.Close())
	}
	return err
}

// accept serves the connections to one dispatcher until its listener is closed.
func (d *dispatchers) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // closed
		}
		d.mu.Lock()
		d.conns[conn] = true
		d.mu.Unlock()
		d.open.Add(1)
		d.accepted.Add(1)
		go func() {
			d.serve(conn)
			_ = conn.Close()
			d.open.Add(-1)
			d.mu.Lock()
			delete(d.conns, conn)
			d.mu.Unlock()
		}()
	}
}

// serve answers the messages on a connection until it is closed.
func (d *dispatchers) serve(conn net.Conn) {
	state := sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqMethod: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: reportedState}}})
	if _, err := conn.Write(state); err != nil {
		return
	}
	read, err := d.reader(conn)
	if err != nil {
		return
	}
	in, chunk := ring.New(connBuffer), make([]byte, connBuffer/2)
	var decoder sip.Decoder
	for {
		n, at, err := read(chunk[:min(len(chunk), in.Free())])
		if err != nil {
			return
		}
		d.bytes.Add(int64(n))
		in.Write(chunk[:n])
		for {
			m, err := decoder.Next(in)
			if err != nil {
				return
			}
			if m == nil {
				break
			}
			d.messages.Add(1)
			if d.onSetUp != nil && m.Method == "INVITE" {
				d.onSetUp(m.CallID, at)
			}
			if answer := d.answer(m); answer != nil {
				if _, err := conn.Write(answer); err != nil {
					return
				}
			}
		}
	}
}

// reader returns a read function for a connection, with kernel time stamps if onSetUp is set.
func (d *dispatchers) reader(conn net.Conn) (func(p []byte) (int, time.Time, error), error) {
	if d.onSetUp == nil {
		return func(p []byte) (int, time.Time, error) {
			n, err := conn.Read(p)
			return n, time.Time{}, err //nolint:wrapcheck // io.Reader implementations return plain errors
		}, nil
	}
	r, err := newStampedReader(conn)
	if err != nil {
		return nil, err
	}
	return r.read, nil
}

// sendReport sends an unsolicited state report on a connection. The reported state varies with number.
func sendReport(conn net.Conn, number int) error {
	text := sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqMethod: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: fmt.Sprintf("x0:%d;x1:1000000", 1_000_000-number%1000)}}})
	_, err := conn.Write(text)
	return err //nolint:wrapcheck // the error names its operation
}

// connections returns the open connections.
func (d *dispatchers) connections() []net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.conns))
}

// answer returns the encoded reply to a message, or nil if it needs none.
func (d *dispatchers) answer(m *sip.Message) []byte {
	reply := &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqMethod: m.Method}
	switch m.Method {
	case "INVITE":
		d.setUps.Add(1)
		reply.Body = m.Body
	case "OPTIONS":
		reply.Headers = []sip.Header{{Name: "P-Report", Value: reportedState}}
	case "BYE":
	default:
		return nil
	}
	return sip.Append(nil, reply)
}

// refusingAddresses returns loopback addresses without a listener, which refuse connections immediately.
func refusingAddresses(n int) []string {
	const closedPort = 9 // port of the discard service, which is not in use today
	var all []string
	for i := range n {
		address := net.IPv4(127, 77, byte(i>>8), byte(i)) // unique up to 65,536 addresses
		all = append(all, net.JoinHostPort(address.String(), fmt.Sprint(closedPort)))
	}
	return all
}
