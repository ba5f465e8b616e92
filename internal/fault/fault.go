// Package fault sits between two processes as a TCP proxy and does to what passes what networks do: it delays, bunches, cuts, resets,
// swallows and splits, each direction by itself, on command or by a seed. What it did and when is kept as a log.
package fault

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Direction is one way through a link.
type Direction int

const (
	// Forth is from who dials to who listens, Back the other way.
	Forth Direction = iota
	Back
)

// Way is what happens to what passes in one direction.
type Way struct {
	Delay  time.Duration // each piece comes so late,
	Jitter time.Duration // and up to so much more, in order
	Rate   int           // bytes a second; 0 for any
	Split  int           // the most bytes of a piece; 0 for any
	Hole   bool          // nothing comes through, and nothing ends: it waits
}

// Rule is what happens on a link.
type Rule struct {
	Forth, Back Way
	// Shut has new connections never come up: what is dialled is taken in and gets no further.
	Shut bool
}

// Entry is one line of the log.
type Entry struct {
	At   time.Duration
	Link string
	What string
}

// Net is a set of links that are governed together. Its methods may be called from any goroutine.
type Net struct {
	mu    sync.Mutex
	rng   *rand.Rand
	begun time.Time
	links map[string]*Link
	log   []Entry
}

// keepLog bounds the log.
const keepLog = 1 << 14

// New returns a net without links. The seed decides jitter, and what Draw draws.
func New(seed uint64) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, seed)), begun: time.Now(), links: map[string]*Link{}}
}

func (n *Net) note(link, format string, args ...any) {
	if len(n.log) < keepLog {
		n.log = append(n.log, Entry{time.Since(n.begun), link, fmt.Sprintf(format, args...)})
	}
}

// Log is what was done so far.
func (n *Net) Log() []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.log)
}

// Link is a proxy from one named process to another.
type Link struct {
	Name    string // "from>to"
	net     *Net
	ln      net.Listener
	target  string
	rule    Rule
	changed chan struct{} // closed when the rule changes
	pairs   map[*pair]bool
	passed  [2]int64
}

// pair is one connection through a link.
type pair struct {
	near, far net.Conn // who dialled, who listens; far is nil while it is not up
	over      chan struct{}
	once      sync.Once
}

func (p *pair) end(reset bool) {
	p.once.Do(func() {
		close(p.over)
		for _, c := range []net.Conn{p.near, p.far} {
			if c == nil {
				continue
			}
			if t, ok := c.(*net.TCPConn); ok && reset {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// Between opens a link; who is called from dials the address that is returned to reach the one called to, which need not be up.
func (n *Net) Between(from, to, target string) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("fault: %w", err)
	}
	l := &Link{Name: from + ">" + to, net: n, ln: ln, target: target, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	n.mu.Lock()
	n.links[l.Name] = l
	n.mu.Unlock()
	go l.accept()
	return ln.Addr().String(), nil
}

// Close ends all links and their connections.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		_ = l.ln.Close()
		for p := range l.pairs {
			p.end(false)
		}
	}
}

// match are the links of a pattern: a name, or one whose ends are * for any.
func (n *Net) match(pattern string) []*Link {
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

// Set gives the links of a pattern ("n1>store", "*>store") a rule, for what passes from now on.
func (n *Net) Set(pattern string, r Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.match(pattern) {
		l.rule = r
		close(l.changed)
		l.changed = make(chan struct{})
		n.note(l.Name, "%+v", r)
	}
}

// Heal lets all pass everywhere.
func (n *Net) Heal() { n.Set("*>*", Rule{}) }

// Part has nothing pass between two sets of processes, in either direction, and no new connection come up; open ones stay open and
// say nothing. What lies in them arrives once it is healed.
func (n *Net) Part(some, others []string) {
	for _, a := range some {
		for _, b := range others {
			hole := Way{Hole: true}
			n.Set(a+">"+b, Rule{hole, hole, true})
			n.Set(b+">"+a, Rule{hole, hole, true})
		}
	}
}

// Cut ends the connections of a pattern, by a reset or in order.
func (n *Net) Cut(pattern string, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.match(pattern) {
		n.note(l.Name, "cut %d, reset %v", len(l.pairs), reset)
		for p := range l.pairs {
			p.end(reset)
		}
	}
}

// Refuse has new connections of a pattern refused from now on, as where nobody listens; open ones stay.
func (n *Net) Refuse(pattern string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.match(pattern) {
		n.note(l.Name, "refuses")
		_ = l.ln.Close()
	}
}

// Half closes one direction of the connections of a pattern and leaves the other open.
func (n *Net) Half(pattern string, d Direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.match(pattern) {
		n.note(l.Name, "half closed %d, direction %d", len(l.pairs), d)
		for p := range l.pairs {
			to := p.far
			if d == Back {
				to = p.near
			}
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		}
	}
}

// Passed is how many bytes went through a link.
func (n *Net) Passed(name string) (forth, back int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[name]; l != nil {
		return l.passed[Forth], l.passed[Back]
	}
	return 0, 0
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(&pair{near: near, over: make(chan struct{})})
	}
}

// now is the rule in force, and what tells of the next one.
func (l *Link) now() (Rule, chan struct{}) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return l.rule, l.changed
}

const dialWithin = 2 * time.Second

func (l *Link) serve(p *pair) {
	l.net.mu.Lock()
	l.pairs[p] = true
	l.net.mu.Unlock()
	defer func() {
		p.end(false)
		l.net.mu.Lock()
		delete(l.pairs, p)
		l.net.mu.Unlock()
	}()
	for {
		rule, changed := l.now()
		if !rule.Shut {
			break
		}
		select {
		case <-changed:
		case <-p.over:
			return
		}
	}
	far, err := net.DialTimeout("tcp", l.target, dialWithin)
	if err != nil {
		p.end(true) // as if there were nobody
		return
	}
	l.net.mu.Lock()
	p.far = far
	l.net.mu.Unlock()
	select {
	case <-p.over: // cut meanwhile
		_ = far.Close()
		return
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { l.pass(p, p.near, far, Forth) })
	both.Go(func() { l.pass(p, far, p.near, Back) })
	both.Wait()
}

// piece is what was read at once, and when it is due on the other side.
type piece struct {
	text []byte
	due  time.Time
	err  error
}

// ahead bounds the pieces that are on their way in one direction: then reading waits, as a full socket's writer does.
const ahead = 256

// pass carries one direction, in order. One goroutine reads and dates the pieces, this one writes them when they are due.
func (l *Link) pass(p *pair, from, to net.Conn, d Direction) {
	pieces := make(chan piece, ahead)
	go l.take(p, from, d, pieces)
	for {
		var one piece
		select {
		case <-p.over:
			return
		case one = <-pieces:
		}
		select {
		case <-p.over:
			return
		case <-time.After(time.Until(one.due)):
		}
		for { // a hole swallows nothing: it holds back
			rule, changed := l.now()
			if way := rule.way(d); !way.Hole {
				break
			}
			select {
			case <-changed:
			case <-p.over:
				return
			}
		}
		if one.err != nil {
			if !errors.Is(one.err, io.EOF) {
				p.end(true)
				return
			}
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		l.net.mu.Lock()
		l.passed[d] += int64(len(one.text)) // before whoever reads it can ask
		l.net.mu.Unlock()
		if _, err := to.Write(one.text); err != nil {
			p.end(true)
			return
		}
	}
}

func (r *Rule) way(d Direction) Way {
	if d == Forth {
		return r.Forth
	}
	return r.Back
}

func (l *Link) take(p *pair, from net.Conn, d Direction, pieces chan<- piece) {
	last := time.Time{}
	for {
		rule, _ := l.now()
		way := rule.way(d)
		most := 32 << 10
		if way.Split > 0 {
			most = min(most, way.Split)
		}
		text := make([]byte, most)
		got, err := from.Read(text)
		rule, _ = l.now()
		way = rule.way(d)
		due := time.Now().Add(way.Delay)
		if way.Jitter > 0 {
			l.net.mu.Lock()
			due = due.Add(time.Duration(l.net.rng.Int64N(int64(way.Jitter))))
			l.net.mu.Unlock()
		}
		if way.Rate > 0 {
			due = latest(due, last).Add(time.Duration(got) * time.Second / time.Duration(way.Rate))
		}
		due = latest(due, last) // in order
		last = due
		for _, one := range []piece{{text: text[:got], due: due}, {due: due, err: err}} {
			if one.err == nil && len(one.text) == 0 {
				continue
			}
			select {
			case pieces <- one:
			case <-p.over:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
