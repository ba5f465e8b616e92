// Package peer has the other ends of a call controller, written from the protocol pages: a caller and a dispatcher
// that do as they are told. Tests script them, and the example's toy is made of them.
package peer

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/ring"
	"cherryrelay/internal/sip"
	"cherryrelay/internal/websocket"
)

// Patience is how long a peer waits for what must come. Only what has gone wrong ever takes as long.
const Patience = 20 * time.Second

// Free is a local address that nobody listens at by now. Its host is one of the loopback range that no connection goes out from: at
// 127.0.0.1 the port may be taken for one before who asked listens there.
func Free() (string, error) {
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	l, err := net.Listen("tcp", net.JoinHostPort(host.String(), "0"))
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// stream is a connection that reads into a ring.
type stream struct {
	net.Conn
	in   *ring.Buffer
	mu   sync.Mutex    // one writer at a time
	rest *sync.RWMutex // held while nothing is to be taken in; nil for never
	deaf chan struct{} // closed once nothing is to be taken in ever again, nor its end; nil for never
}

func newStream(nc net.Conn) *stream { return &stream{Conn: nc, in: ring.New(64 << 10)} }

// more waits for bytes.
func (s *stream) more() error {
	buf := make([]byte, min(4096, s.in.Free()))
	n, err := s.Read(buf)
	if s.rest != nil {
		s.rest.RLock()
		defer s.rest.RUnlock()
	}
	select {
	case <-s.deaf:
		return s.never()
	default:
	}
	s.in.Write(buf[:n])
	if n > 0 {
		return nil
	}
	return err
}

// never takes in what comes and leaves it, until this side is closed.
func (s *stream) never() error {
	for {
		if _, err := io.Copy(io.Discard, s.Conn); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond) // the other side has ended its part; this one does not see it
	}
}

func (s *stream) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.Conn.Write(p)
	return err
}

// Caller is a connection of a caller. "ws" speaks the call-control API, anything else JSON lines.
type Caller struct {
	*stream
	ws   bool
	line jsonl.Decoder
	dec  websocket.Decoder

	Class, Tenant string // of its set-ups
}

// Path is where the call-control API is served and dispatched to.
const Path = "/v1/calls"

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

// Reset leaves without a word in order.
func (c *Caller) Reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}

// CloseWrite ends the caller's side alone.
func (c *Caller) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("caller: no TCP")
	}
	return tcp.CloseWrite()
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
		var m *jsonl.Message
		var err error
		if c.ws {
			var f *websocket.Message
			if f, err = c.dec.Next(c.in); f != nil {
				switch f.Op {
				case websocket.Text:
					m, err = jsonl.Parse(f.Payload)
				case websocket.Close:
					return nil, &websocket.Error{Code: f.Code, Text: "closed by the controller"}
				default:
					continue
				}
			}
		} else {
			m, err = c.line.Next(c.in)
		}
		if m != nil || err != nil {
			return m, err
		}
		if err := c.more(); err != nil {
			return nil, err
		}
	}
}

// Refusal is how a dispatcher turns a set-up down.
type Refusal struct {
	Status int    // of SIP
	Note   string // of SIP
	Cause  int    // of the call-control API
}

// The refusals.
var (
	NoLine = Refusal{503, "all_trunks_busy", 34}
	Full   = Refusal{503, "cpu_full", 42}
	Busy   = Refusal{486, "number_busy", 17}
	Broken = Refusal{504, "", 41}
	Moot   = Refusal{480, "", 27}
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

// Rest has it take nothing in, nor see that a connection has closed, until Wake. What it is told to send it does send.
func (d *Dispatcher) Rest() { d.rest.Lock() }

// Wake ends a Rest.
func (d *Dispatcher) Wake() { d.rest.Unlock() }

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

// DispatchLate is a dispatcher to which connections do not come up before it is opened: what dials it gets no answer, and tries
// again after a second, as a kernel does.
func DispatchLate(transport, report string) (*Dispatcher, error) {
	ln, err := full()
	if err != nil {
		return nil, fmt.Errorf("late dispatcher: %w", err)
	}
	return dispatcher(ln, transport, report), nil
}

// full listens with as many connections waiting as it may have.
func full() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	if err != nil {
		return nil, err
	}
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	for {
		filler, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return ln, nil //nolint:nilerr // it is full
		}
		defer filler.Close()
	}
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

// TellLinks has Events tell of connections that come from now on, too.
func (d *Dispatcher) TellLinks() { d.tellLinks.Store(true) }

// Address is the dispatcher's in a list.
func (d *Dispatcher) Address() string {
	if d.ws {
		return "ws://" + d.ln.Addr().String() + Path
	}
	return d.ln.Addr().String()
}

// Listening is the plain address.
func (d *Dispatcher) Listening() string { return d.ln.Addr().String() }

// Die ends the process: nothing listens, and all connections are reset.
func (d *Dispatcher) Die() {
	_ = d.ln.Close()
	d.Cut()
}

// Links is the number of connections that are open.
func (d *Dispatcher) Links() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.links)
}

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

func (d *Dispatcher) serve(l *link) {
	if d.ws {
		for {
			response, err := websocket.Accept(l.in, Path)
			if response != nil {
				_ = l.write(response)
			}
			if err != nil {
				_ = l.Close()
				return
			}
			if response != nil {
				break
			}
			if l.more() != nil {
				return
			}
		}
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

func (d *Dispatcher) state() []byte {
	if d.ws {
		return api(jsonl.Message{Type: "state", ID: "0", Fields: map[string]jsonl.Value{"report": jsonl.Value(d.report)}})
	}
	return sip.Append(nil, &sip.Message{Method: "NOTIFY", URI: "sip:state@net", CallID: "state", Seq: 1, SeqOf: "NOTIFY",
		Headers: []sip.Header{{Name: "P-Report", Value: d.report}}})
}

func api(m jsonl.Message) []byte {
	text, err := jsonl.Append(nil, m)
	if err != nil {
		panic(err)
	}
	return websocket.Append(nil, websocket.Text, text, false)
}

func (l *link) tell(e Event) {
	e.At, e.link = time.Now(), l
	if e.Kind == "ack" {
		l.d.Acks <- e
		return
	}
	l.d.Events <- e
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
		e := Event{ID: m.CallID, seq: m.Seq}
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
			_ = l.write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: m.CallID, Seq: m.Seq, SeqOf: "BYE"}))
		case "OPTIONS":
			e.Kind = "probe"
		case "ACK":
			e.Kind = "ack"
		default:
			continue
		}
		l.tell(e)
	}
}

// Answer lets the call of a set-up stand. SIP's answer carries the number 1 whatever the attempt, as dispatchers do.
func (e Event) Answer(description string) error {
	if e.link.d.ws {
		return e.link.write(api(jsonl.Message{Type: "answer", ID: e.ID, SDP: &description}))
	}
	return e.link.write(sip.Append(nil, &sip.Message{Status: 200, Phrase: "OK", CallID: e.ID, Seq: 1, SeqOf: "INVITE",
		Body: []byte(description)}))
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

// Deafen has the connection of the event be dead from now on, as its dispatcher does not know: nothing that comes is taken in, its end
// neither. What the dispatcher tells there, the script leaves out.
func (e Event) Deafen() { close(e.link.deaf) }

// ClosedHere is when a script had closed the connection of the event; zero if none has.
func (e Event) ClosedHere() time.Time {
	if at := e.link.closedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Beside reports whether two events came on the same connection.
func (e Event) Beside(o Event) bool { return e.link == o.link }

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

// Release ends a call that stands, on any connection.
func (d *Dispatcher) Release(id string, cause int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.links) == 0 {
		return errors.New("dispatcher: no connection")
	}
	return d.links[len(d.links)-1].release(id, cause)
}

func (l *link) release(id string, cause int) error {
	if l.d.ws {
		return l.write(api(jsonl.Message{Type: "release", ID: id, Cause: &cause}))
	}
	return l.write(sip.Append(nil, &sip.Message{Method: "BYE", URI: "sip:caller@net", CallID: id, Seq: 2, SeqOf: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: fmt.Sprintf("Q.850;cause=%d", cause)}}}))
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
