package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// shutdownCallers are all callers of one play.
type shutdownCallers struct {
	judge     *shutdownJudge
	transport string
	address   string
	dialUntil atomic.Int64  // Unix nanoseconds until which new connections are opened; 0 for no end
	over      chan struct{} // closed once the process has ended
	next      atomic.Uint64
	running   sync.WaitGroup

	mu   sync.Mutex
	took *hdrhistogram.Histogram // microseconds to the final answer
}

// shutdownConnection is one connection of a caller.
type shutdownConnection struct {
	*peer.Caller
	of       *shutdownCallers
	from     time.Time
	excluded bool // its caller does not read, so that its set-ups are not judged
	late     bool // what is read was told earlier

	writing sync.Mutex
	mu      sync.Mutex
	ids     []string // set-ups that were written on it
}

// slowReaderPause is how long a slow reader of a crowd reads nothing.
const slowReaderPause = 2500 * time.Millisecond

// maxCallerPause is the longest pause between two acts of a caller.
const maxCallerPause = 30 * time.Millisecond

func (c *shutdownCallers) dial() *shutdownConnection {
	if until := c.dialUntil.Load(); until > 0 && time.Now().UnixNano() > until {
		return nil
	}
	p, err := peer.Call(c.transport, c.address)
	if err != nil {
		return nil
	}
	return &shutdownConnection{Caller: p, of: c, from: time.Now()}
}

func (c *shutdownCallers) ended() bool {
	select {
	case <-c.over:
		return true
	default:
		return false
	}
}

// run has a caller act on one connection after another until the process ends, and on open ones until then.
func (c *shutdownCallers) run(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x736864))
	for !c.ended() {
		s := c.dial()
		if s == nil {
			time.Sleep(maxCallerPause / 3)
			continue
		}
		reading := make(chan struct{})
		go func() { defer close(reading); s.read() }()
		for !c.ended() && s.act(rng) {
			select {
			case <-reading: // closed by the other side
			case <-time.After(time.Duration(rng.Int64N(int64(maxCallerPause)))):
				continue
			}
			break
		}
		if c.ended() {
			_ = s.SetReadDeadline(time.Now().Add(time.Second))
		}
		<-reading
		s.of.judge.afterTheEnd(s.ids)
		_ = s.Close()
	}
}

// setUps are so many set-ups in one piece, with the time that they are answered in.
func (s *shutdownConnection) setUps(rng *rand.Rand, n int) (text []byte, ids []string) {
	left := 50*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second-50*time.Millisecond)))
	for range n {
		number := int(s.of.next.Add(1))
		m, err := jsonl.Append(nil, s.Asks(id(number), left, rng.IntN(3), "x"))
		if err != nil {
			panic(err)
		}
		text, ids = append(text, s.Frame(m)...), append(ids, id(number))
	}
	s.note(ids, left)
	return text, ids
}

// send writes the last or only part of set-ups.
func (s *shutdownConnection) send(text []byte, ids []string) {
	if s.SendRaw(text) == nil {
		s.of.judge.wholly(ids, time.Now())
	}
}

// note has the judge know of set-ups that are about to be written.
func (s *shutdownConnection) note(ids []string, left time.Duration) {
	s.mu.Lock()
	s.ids = append(s.ids, ids...)
	s.mu.Unlock()
	for _, id := range ids {
		s.of.judge.written(id, time.Now(), left, s.excluded)
	}
}

func (s *shutdownConnection) releases(id string) []byte {
	cause := 16
	text, err := jsonl.Append(nil, jsonl.Message{Type: "release", ID: id, Cause: &cause})
	if err != nil {
		panic(err)
	}
	return s.Frame(text)
}

// act does one thing, and reports whether the connection is to be used further.
func (s *shutdownConnection) act(rng *rand.Rand) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	switch rng.IntN(20) {
	case 0: // cancelled in the same segment
		text, ids := s.setUps(rng, 1)
		s.send(append(text, s.releases(ids[0])...), ids)
		s.of.judge.gaveUp(ids[0], time.Now())
	case 1: // cancelled a little later
		text, ids := s.setUps(rng, 1)
		s.send(text, ids)
		time.AfterFunc(time.Duration(rng.IntN(200))*time.Millisecond, func() {
			s.writing.Lock() // not between the pieces of a set-up
			defer s.writing.Unlock()
			_ = s.SendRaw(s.releases(ids[0]))
			s.of.judge.gaveUp(ids[0], time.Now())
		})
	case 2: // cancelled and closed in one segment
		text, ids := s.setUps(rng, 1)
		s.send(append(text, s.releases(ids[0])...), ids)
		s.leave()
		return false
	case 3: // in pieces
		text, ids := s.setUps(rng, 1)
		for n := min(len(text), 1+rng.IntN(100)); n < len(text); n = min(len(text), 1+rng.IntN(100)) {
			_ = s.SendRaw(text[:n])
			text = text[n:]
			time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
		}
		s.send(text, ids)
	case 4: // several at once
		s.send(s.setUps(rng, 2+rng.IntN(6)))
	default:
		s.send(s.setUps(rng, 1))
	}
	return true
}

// leave closes the connection: its caller waits for nothing any more.
func (s *shutdownConnection) leave() {
	s.mu.Lock()
	ids := s.ids
	s.mu.Unlock()
	for _, id := range ids {
		s.of.judge.gaveUp(id, time.Now())
	}
	_ = s.CloseWrite()
}

// read takes in what comes until the connection ends.
func (s *shutdownConnection) read() {
	for {
		m, err := s.NextWithin(time.Minute)
		if err != nil {
			s.endedWith(err)
			return
		}
		if m.Type != "answer" && m.Type != "release" {
			continue
		}
		at := time.Now()
		if s.late {
			at = s.from // it came at some time since then
		}
		s.of.judge.heardOf(m.ID, m.Type, m.Description(), at)
		s.of.tookTo(m.ID)
	}
}

// tookTo notes the time to a final answer.
func (c *shutdownCallers) tookTo(id string) {
	c.judge.mu.Lock()
	call := c.judge.calls[id]
	took := time.Duration(0)
	if call != nil && call.finals == 1 && !call.told {
		took = call.finalAt.Sub(call.written)
	}
	c.judge.mu.Unlock()
	if took > 0 {
		c.mu.Lock()
		_ = c.took.RecordValue(took.Microseconds())
		c.mu.Unlock()
	}
}

// endedWith tells the judge of the end. The kernel knows when the last segment of the other side came: the end, or what acknowledged the
// last words of this side, if they came later.
func (s *shutdownConnection) endedWith(err error) {
	seen := time.Now()
	kernel := seen
	if tcp, ok := s.Conn.(*net.TCPConn); ok && !errors.Is(err, os.ErrDeadlineExceeded) {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
					kernel = seen.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
				}
			})
		}
	}
	s.mu.Lock()
	ids := s.ids
	s.mu.Unlock()
	s.of.judge.ended(ids, s.from, kernel, seen, err)
}

// crowd has many more callers come at once, each of its kind.
func (c *shutdownCallers) crowd(rng *rand.Rand, n int) {
	for i := range n {
		kind, seed := rng.IntN(6), rng.Uint64()
		c.running.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			s := c.dial()
			if s == nil {
				return
			}
			defer s.Close()
			s.excluded = kind == 1
			switch kind {
			case 0: // says nothing
			case 1: // does not read
				for range 10 {
					_ = s.SetWriteDeadline(time.Now().Add(time.Second))
					s.send(s.setUps(rng, 4))
				}
				select {
				case <-time.After(slowReaderPause): // before the process may be killed: what is unread then is lost with the reset
				case <-c.over:
				}
				s.late = true
			case 2: // half a request
				m, _ := jsonl.Append(nil, s.Asks(id(int(c.next.Add(1))), time.Second, 0, "x"))
				text := s.Frame(m)
				_ = s.SendRaw(text[:len(text)/2])
			case 3: // a flood behind a set-up
				s.send(s.setUps(rng, 1))
				noise := s.Frame([]byte(`{"type":"progress","id":"` + id(1) + `","fields":{}}`))
				_ = s.SetWriteDeadline(time.Now().Add(time.Second))
				_ = s.SendRaw([]byte(strings.Repeat(string(noise), 1<<18/len(noise))))
			default:
				s.send(s.setUps(rng, 1))
			}
			reading := make(chan struct{})
			go func() { defer close(reading); s.read() }()
			select {
			case <-reading:
			case <-c.over:
				_ = s.SetReadDeadline(time.Now().Add(time.Second))
				<-reading
			}
		})
	}
}
