// Package fault is a TCP proxy that injects network faults between processes. It delays, throttles, splits and blocks the data of each
// direction separately, and closes, resets, half-closes and refuses connections. Jitter is derived from a seed. A log records each fault and
// its time.
package fault

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Direction is a direction of the data on a link.
type Direction int

const (
	// Forward is the direction from the client to the server.
	Forward Direction = iota
	// Backward is the direction from the server to the client.
	Backward
)

// Impairment holds the faults that apply to the data of one direction. Data is delivered in order.
type Impairment struct {
	Delay  time.Duration // fixed delay of each chunk
	Jitter time.Duration // upper bound of the random delay that is added to Delay
	Rate   int           // bytes per second; 0 for no limit
	Split  int           // maximum size of a chunk in bytes; 0 for the size of the read buffer
	Hole   bool          // holds back data and closes until the rule changes
}

// Rule holds the faults that apply to a link.
type Rule struct {
	Forth, Back Impairment
	// Shut blocks new connections: the proxy accepts them, but connects to the server only once Shut is lifted.
	Shut bool
}

// LogEntry is an entry of the log of a Net.
type LogEntry struct {
	At   time.Duration // since the Net was created
	Link string
	What string
}

// Net is a set of links that are controlled together. Its methods are safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	rng     *rand.Rand
	started time.Time
	links   map[string]*Link
	log     []LogEntry
	closed  chan struct{} // closed by Close
	closing sync.Once
}

// maxLogEntries is the number of log entries that are kept; later ones are dropped.
const maxLogEntries = 1 << 14

// New returns a Net without links. The seed determines the jitter.
func New(seed uint64) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, seed)), started: time.Now(), links: map[string]*Link{}, closed: make(chan struct{})}
}

func (n *Net) logf(link, format string, args ...any) {
	if len(n.log) < maxLogEntries {
		n.log = append(n.log, LogEntry{time.Since(n.started), link, fmt.Sprintf(format, args...)})
	}
}

// Log returns a copy of the log.
func (n *Net) Log() []LogEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.log)
}

// Link is a proxy from one named process to another.
type Link struct {
	Name           string // "from>to"
	net            *Net
	ln             net.Listener
	target         string
	rule           Rule
	changed        chan struct{} // closed when the rule changes
	conns          map[*proxiedConn]bool
	forwardedBytes [2]int64
	acceptAgain    chan struct{}   // receives when the link accepts connections again after Vanish
	fillers        map[string]bool // local addresses of the connections that fill the backlog
}

// proxiedConn is a connection through a link.
type proxiedConn struct {
	client, server net.Conn // server is nil until it is connected
	done           chan struct{}
	vanished       chan struct{} // closed when the machine of the server has vanished
	once           sync.Once
}

// closeBoth closes both sides, with a reset if so requested.
func (p *proxiedConn) closeBoth(reset bool) {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []net.Conn{p.client, p.server} {
			if c == nil {
				continue
			}
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// AddLink adds a link between two named processes and returns the address of its proxy. Connections to this address are forwarded to the
// target, which need not listen yet.
func (n *Net) AddLink(from, to, target string) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("fault: listen: %w", err)
	}
	l := &Link{Name: from + ">" + to, net: n, ln: ln, target: target, changed: make(chan struct{}), conns: map[*proxiedConn]bool{},
		acceptAgain: make(chan struct{}), fillers: map[string]bool{}}
	n.mu.Lock()
	n.links[l.Name] = l
	n.mu.Unlock()
	go l.accept()
	return ln.Addr().String(), nil
}

// Close closes all links and their connections.
func (n *Net) Close() {
	n.closing.Do(func() { close(n.closed) })
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		_ = l.ln.Close()
		for p := range l.conns {
			p.closeBoth(false)
		}
	}
}

// matchingLinks returns the links that match a pattern, sorted by name. A pattern is "from>to", where * stands for any process.
func (n *Net) matchingLinks(pattern string) []*Link {
	from, to, _ := strings.Cut(pattern, ">")
	var found []*Link
	for name, l := range n.links {
		a, b, _ := strings.Cut(name, ">")
		if (from == "*" || from == a) && (to == "*" || to == b) {
			found = append(found, l)
		}
	}
	slices.SortFunc(found, func(a, b *Link) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// SetRule sets the rule of all links that match a pattern, such as "n1>store" or "*>store". Delays and limits apply to data that is read from
// now on.
func (n *Net) SetRule(pattern string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.matchingLinks(pattern) {
		l.rule = r
		close(l.changed)
		l.changed = make(chan struct{})
		n.logf(l.Name, "%+v", r)
	}
}

// Heal removes the rules of all links.
func (n *Net) Heal() { n.SetRule("*>*", Rule{}) }

// Partition blocks the links between two groups of processes in both directions. Open connections stay open, new ones are not established, and
// data that was sent in the meantime is delivered after Heal.
func (n *Net) Partition(groupA, groupB []string) {
	for _, a := range groupA {
		for _, b := range groupB {
			blocked := Impairment{Hole: true}
			n.SetRule(a+">"+b, Rule{blocked, blocked, true})
			n.SetRule(b+">"+a, Rule{blocked, blocked, true})
		}
	}
}

// CloseConns closes or resets the connections of the links that match a pattern.
func (n *Net) CloseConns(pattern string, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.matchingLinks(pattern) {
		n.logf(l.Name, "closed %d connections, reset %v", len(l.conns), reset)
		for p := range l.conns {
			p.closeBoth(reset)
		}
	}
}

// RefuseConns closes the listeners of the links that match a pattern, so that new connections are refused. Open connections stay open.
func (n *Net) RefuseConns(pattern string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.matchingLinks(pattern) {
		n.logf(l.Name, "refuses")
		_ = l.ln.Close()
	}
}

// HalfClose closes one direction of the connections of the links that match a pattern and leaves the other one open.
func (n *Net) HalfClose(pattern string, d Direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.matchingLinks(pattern) {
		n.logf(l.Name, "half-closed %d connections, direction %d", len(l.conns), d)
		for p := range l.conns {
			to := p.server
			if d == Backward {
				to = p.client
			}
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		}
	}
}

// ForwardedBytes returns the number of bytes that a link has forwarded in each direction.
func (n *Net) ForwardedBytes(name string) (forward, backward int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[name]; l != nil {
		return l.forwardedBytes[Forward], l.forwardedBytes[Backward]
	}
	return 0, 0
}

func (l *Link) accept() {
	for {
		client, err := l.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			select {
			case <-l.acceptAgain:
				continue
			case <-l.net.closed:
				return
			}
		}
		if err != nil {
			return
		}
		if l.isFiller(client) {
			_ = client.Close()
			continue
		}
		go l.serve(&proxiedConn{client: client, done: make(chan struct{}), vanished: make(chan struct{})})
	}
}

// currentRule returns the active rule and a channel that is closed when the rule changes.
func (l *Link) currentRule() (Rule, chan struct{}) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return l.rule, l.changed
}

const dialTimeout = 2 * time.Second

// serve connects a client to the server and forwards both directions until they end.
func (l *Link) serve(p *proxiedConn) {
	l.net.mu.Lock()
	l.conns[p] = true
	l.net.mu.Unlock()
	defer func() {
		p.closeBoth(false)
		l.net.mu.Lock()
		delete(l.conns, p)
		l.net.mu.Unlock()
	}()
	for {
		rule, changed := l.currentRule()
		if !rule.Shut {
			break
		}
		select {
		case <-changed:
		case <-p.done:
			return
		}
	}
	server, err := net.DialTimeout("tcp", l.currentTarget(), dialTimeout)
	if err != nil {
		p.closeBoth(true) // the client sees a reset in place of a refused connection
		return
	}
	l.net.mu.Lock()
	p.server = server
	l.net.mu.Unlock()
	select {
	case <-p.done: // closed while the proxy was dialling
		_ = server.Close()
		return
	default:
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(p, p.client, server, Forward) })
	wg.Go(func() { l.forward(p, server, p.client, Backward) })
	wg.Wait()
}

// chunk is data or an error that was read from one side, with the time at which it is due on the other side.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// maxQueuedChunks limits the chunks that are queued in one direction. When the queue is full, the proxy stops reading, which applies
// backpressure to the sender.
const maxQueuedChunks = 256

// forward copies the data of one direction in order. A second goroutine reads the chunks and sets their due times; this one writes each chunk
// when it is due.
func (l *Link) forward(p *proxiedConn, from, to net.Conn, d Direction) {
	chunks := make(chan chunk, maxQueuedChunks)
	go l.readChunks(p, from, d, chunks)
	for {
		var next chunk
		select {
		case <-p.done:
			return
		case next = <-chunks:
		}
		select {
		case <-p.done:
			return
		case <-p.vanished:
			<-p.done
			return
		case <-time.After(time.Until(next.due)):
		}
		for { // Hole delays data and does not drop it
			rule, changed := l.currentRule()
			if impairment := rule.impairment(d); !impairment.Hole {
				break
			}
			select {
			case <-changed:
			case <-p.vanished:
			case <-p.done:
				return
			}
		}
		if p.hasVanished() {
			<-p.done
			return
		}
		if next.err != nil {
			if !errors.Is(next.err, io.EOF) {
				p.closeBoth(true)
				return
			}
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		l.net.mu.Lock()
		l.forwardedBytes[d] += int64(len(next.data)) // before the write, so that the count includes all data that a peer has received
		l.net.mu.Unlock()
		if _, err := to.Write(next.data); err != nil {
			p.closeBoth(true)
			return
		}
	}
}

func (r *Rule) impairment(d Direction) Impairment {
	if d == Forward {
		return r.Forth
	}
	return r.Back
}

// readChunks reads one side and queues what it has read as chunks with their due times.
func (l *Link) readChunks(p *proxiedConn, from net.Conn, d Direction, chunks chan<- chunk) {
	lastDue := time.Time{}
	for {
		rule, _ := l.currentRule()
		impairment := rule.impairment(d)
		size := 32 << 10
		if impairment.Split > 0 {
			size = min(size, impairment.Split)
		}
		data := make([]byte, size)
		n, err := from.Read(data)
		rule, _ = l.currentRule()
		impairment = rule.impairment(d)
		due := time.Now().Add(impairment.Delay)
		if impairment.Jitter > 0 {
			l.net.mu.Lock()
			due = due.Add(time.Duration(l.net.rng.Int64N(int64(impairment.Jitter))))
			l.net.mu.Unlock()
		}
		if impairment.Rate > 0 {
			due = later(due, lastDue).Add(time.Duration(n) * time.Second / time.Duration(impairment.Rate))
		}
		due = later(due, lastDue) // keeps the order despite jitter
		lastDue = due
		for _, next := range []chunk{{data: data[:n], due: due}, {due: due, err: err}} {
			if next.err == nil && len(next.data) == 0 {
				continue
			}
			select {
			case chunks <- next:
			case <-p.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
