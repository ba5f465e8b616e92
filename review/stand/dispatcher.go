package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// standing is a call that stands at a dispatcher.
type standing struct {
	id   string
	conn *dispatcherConn
	at   time.Time
	// endedAt is when this dispatcher ended the call, releasedAt when the controller released it; zero for not yet.
	endedAt, releasedAt time.Time
}

// dispatcher is a SIP dispatcher: it answers each set-up after a delay, and ends each call after its hold.
type dispatcher struct {
	record  *record
	name    string
	address string
	ln      net.Listener
	delay   time.Duration // from a set-up to its answer
	hold    time.Duration // from the answer to the end of the call

	mu     sync.Mutex
	conns  []*dispatcherConn
	calls  map[string]*standing
	setUps int // set-ups received
	// setUpTimes are the times at which they arrived.
	setUpTimes []time.Time
	repeats    []string // ends to be sent also on the next connection that opens
	closed     bool
}

type dispatcherConn struct {
	net.Conn
	d    *dispatcher
	mu   sync.Mutex
	open map[string]chan struct{} // set-ups without a final answer, closed when given up
}

func startDispatcher(r *record, name, address string, delay, hold time.Duration) (*dispatcher, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &dispatcher{record: r, name: name, address: ln.Addr().String(), ln: ln, delay: delay, hold: hold, calls: map[string]*standing{}}
	go d.tellState()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c := &dispatcherConn{Conn: nc, d: d, open: map[string]chan struct{}{}}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			repeats := d.repeats
			d.repeats = nil
			d.mu.Unlock()
			c.send(stateMessage)
			for _, id := range repeats {
				c.bye(id, 16)
			}
			go c.serve()
		}
	}()
	return d, nil
}

const report = "P-Report: x0:500;x1:500;latency_ms:2;qps:60\r\n"

// stateMessage is the state of the group. It comes first on each new connection, and each second on every open one.
const stateMessage = "NOTIFY sip:state@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: state\r\nCSeq: 1 NOTIFY\r\n" + report + "Content-Length: 0\r\n\r\n"

// tellState sends the state on all open connections each second, until the listener is closed.
func (d *dispatcher) tellState() {
	for range time.Tick(time.Second) {
		d.mu.Lock()
		conns, closed := slices.Clone(d.conns), d.closed
		d.mu.Unlock()
		if closed {
			return
		}
		for _, c := range conns {
			c.send(stateMessage)
		}
	}
}

func (c *dispatcherConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, text)
}

func (c *dispatcherConn) bye(id string, cause int) {
	c.send(fmt.Sprintf("BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=%d\r\nContent-Length: 0\r\n\r\n", id, cause))
}

// message is one SIP message.
type message struct {
	start   string
	headers map[string]string
	body    string
}

func readMessage(in *bufio.Reader) (*message, error) {
	m := &message{headers: map[string]string{}}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && m.start == "":
			continue
		case line == "":
			n, err := strconv.Atoi(m.headers["content-length"])
			if err != nil {
				return nil, err
			}
			body := make([]byte, n)
			if _, err := io.ReadFull(in, body); err != nil {
				return nil, err
			}
			m.body = string(body)
			return m, nil
		case m.start == "":
			m.start = line
		default:
			name, value, _ := strings.Cut(line, ":")
			m.headers[strings.ToLower(strings.TrimSpace(name))] = strings.TrimSpace(value)
		}
	}
}

func (c *dispatcherConn) serve() {
	in := bufio.NewReader(c.Conn)
	for {
		m, err := readMessage(in)
		if err != nil {
			break
		}
		c.handle(m)
	}
	_ = c.Close()
	d := c.d
	d.mu.Lock()
	d.conns = slices.DeleteFunc(d.conns, func(o *dispatcherConn) bool { return o == c })
	for _, given := range c.open { // the set-ups open on it are given up
		close(given)
	}
	c.open = map[string]chan struct{}{}
	d.mu.Unlock()
}

func (c *dispatcherConn) reply(m *message, status, headers, body string) {
	c.send(fmt.Sprintf("SIP/2.0 %s\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, m.headers["call-id"], m.headers["cseq"], headers, len(body), body))
}

func (c *dispatcherConn) handle(m *message) {
	method, _, _ := strings.Cut(m.start, " ")
	id := m.headers["call-id"]
	d := c.d
	switch method {
	case "INVITE":
		d.record.say("%s: set-up %s", d.name, id)
		given := make(chan struct{})
		d.mu.Lock()
		d.setUps++
		d.setUpTimes = append(d.setUpTimes, time.Now())
		c.open[id] = given
		d.mu.Unlock()
		go func() {
			select {
			case <-given:
				return
			case <-time.After(d.delay):
			}
			c.answer(m, id, given)
		}()
	case "CANCEL":
		d.record.say("%s: set-up %s given up", d.name, id)
		d.mu.Lock()
		given := c.open[id]
		delete(c.open, id)
		d.mu.Unlock()
		c.reply(m, "200 OK", "", "")
		if given != nil {
			close(given)
			invite := &message{headers: map[string]string{"call-id": id, "cseq": strings.Replace(m.headers["cseq"], "CANCEL", "INVITE", 1)}}
			c.reply(invite, "487 Given up", "", "")
		}
	case "BYE":
		d.mu.Lock()
		s := d.calls[id]
		stood := s != nil && s.endedAt.IsZero() && s.releasedAt.IsZero()
		if stood {
			s.releasedAt = time.Now()
		}
		d.mu.Unlock()
		d.record.say("%s: the controller releases %s (%s), which stood here: %v", d.name, id, m.headers["reason"], stood)
		c.reply(m, "200 OK", "", "")
	case "OPTIONS":
		c.reply(m, "200 OK", report, "")
	}
}

// answer answers a set-up unless it was given up; the call then stands until its hold is over.
func (c *dispatcherConn) answer(m *message, id string, given chan struct{}) {
	d := c.d
	d.mu.Lock()
	if c.open[id] != given {
		d.mu.Unlock()
		return
	}
	delete(c.open, id)
	s := &standing{id: id, conn: c, at: time.Now()}
	d.calls[id] = s
	d.mu.Unlock()
	c.reply(m, "200 OK", report, "answer of "+d.name+" for "+id)
	d.record.say("%s: answers %s, which stands", d.name, id)
	time.AfterFunc(d.hold, func() { d.end(s) })
}

// end ends a call that stands: on the connection of its set-up, else on any open one, and on the next one that opens.
func (d *dispatcher) end(s *standing) {
	d.mu.Lock()
	if !s.releasedAt.IsZero() || !s.endedAt.IsZero() {
		d.mu.Unlock()
		return
	}
	s.endedAt = time.Now()
	on := s.conn
	if !slices.Contains(d.conns, on) {
		on = nil
		if len(d.conns) > 0 {
			on = d.conns[0]
		}
	}
	d.repeats = append(d.repeats, s.id)
	d.mu.Unlock()
	if on != nil {
		on.bye(s.id, 16)
	}
	d.record.say("%s: %s has come to its end, told: %v", d.name, s.id, on != nil)
}

// call returns a copy of the state of a call.
func (d *dispatcher) call(id string) (standing, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.calls[id]; s != nil {
		return *s, true
	}
	return standing{}, false
}

// close stops listening and closes all connections.
func (d *dispatcher) close() {
	_ = d.ln.Close()
	d.mu.Lock()
	d.closed = true
	conns := slices.Clone(d.conns)
	d.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
