package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"cherryrelay/internal/call"
	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// shutdownCallers are all callers of one run.
type shutdownCallers struct {
	checker   *shutdownChecker
	transport string
	address   string
	maxLeft   time.Duration // longest time that a caller waits for its final answer
	dialUntil atomic.Int64  // Unix nanoseconds until which new connections are opened; 0 for no limit
	done      chan struct{} // closed when the process has ended
	next      atomic.Uint64
	running   sync.WaitGroup

	mu          sync.Mutex
	answerTimes *hdrhistogram.Histogram // microseconds from a set-up to its final answer
}

// shutdownConnection is one connection of a caller.
type shutdownConnection struct {
	*peer.Caller
	callers  *shutdownCallers
	from     time.Time
	excluded bool // the caller does not read, so that its set-ups are not checked
	late     bool // messages may have arrived earlier than they are read

	writing sync.Mutex
	mu      sync.Mutex
	ids     []string // of the set-ups that were written on it
}

// slowReaderPause is the time in which a slow reader of a crowd reads nothing.
const slowReaderPause = 2500 * time.Millisecond

// refusalCauses are the causes of final answers that tell a caller that another try does no harm.
var refusalCauses = []int{call.CauseNoCircuit, call.CauseCongestion, call.CauseFacility}

// maxCallerPause is the longest pause between two actions of a caller.
const maxCallerPause = 30 * time.Millisecond

func (c *shutdownCallers) dial() *shutdownConnection {
	if until := c.dialUntil.Load(); until > 0 && time.Now().UnixNano() > until {
		return nil
	}
	p, err := peer.DialCaller(c.transport, c.address)
	if err != nil {
		return nil
	}
	return &shutdownConnection{Caller: p, callers: c, from: time.Now()}
}

func (c *shutdownCallers) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// run makes a caller use one connection after another until the process ends.
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
		for !c.ended() && s.performAction(rng) {
			select {
			case <-reading: // closed by the controller
			case <-time.After(time.Duration(rng.Int64N(int64(maxCallerPause)))):
				continue
			}
			break
		}
		if c.ended() {
			_ = s.SetReadDeadline(time.Now().Add(time.Second))
		}
		<-reading
		s.callers.checker.markCrossed(s.ids)
		_ = s.Close()
	}
}

// encodeSetUps returns n set-ups in one piece, and their IDs.
func (s *shutdownConnection) encodeSetUps(rng *rand.Rand, n int) (text []byte, ids []string) {
	left := 50*time.Millisecond + time.Duration(rng.Int64N(int64(s.callers.maxLeft-50*time.Millisecond)))
	for range n {
		number := int(s.callers.next.Add(1))
		m, err := jsonl.Append(nil, s.SetUpMessage(id(number), left, rng.IntN(3), "x"))
		if err != nil {
			panic(err)
		}
		text, ids = append(text, s.Frame(m)...), append(ids, id(number))
	}
	s.register(ids, left)
	return text, ids
}

// send writes the last or only part of set-ups.
func (s *shutdownConnection) send(text []byte, ids []string) {
	if s.SendRaw(text) == nil {
		s.callers.checker.markSent(ids, time.Now())
	}
}

// register adds set-ups that are about to be written to the checker.
func (s *shutdownConnection) register(ids []string, left time.Duration) {
	for _, id := range ids {
		s.callers.checker.markWritten(id, time.Now(), left, s.excluded)
	}
	s.mu.Lock()
	s.ids = append(s.ids, ids...)
	s.mu.Unlock()
}

func (s *shutdownConnection) encodeRelease(id string) []byte {
	cause := 16
	text, err := jsonl.Append(nil, jsonl.Message{Type: "release", ID: id, Cause: &cause})
	if err != nil {
		panic(err)
	}
	return s.Frame(text)
}

// performAction performs a random action and reports whether the connection is used further.
func (s *shutdownConnection) performAction(rng *rand.Rand) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	switch rng.IntN(20) {
	case 0: // cancelled in the same segment
		text, ids := s.encodeSetUps(rng, 1)
		s.send(append(text, s.encodeRelease(ids[0])...), ids)
		s.callers.checker.markCancelled(ids[0], time.Now(), true)
	case 1: // cancelled a little later
		text, ids := s.encodeSetUps(rng, 1)
		s.send(text, ids)
		time.AfterFunc(time.Duration(rng.IntN(200))*time.Millisecond, func() {
			s.writing.Lock() // not between the parts of a set-up
			defer s.writing.Unlock()
			_ = s.SendRaw(s.encodeRelease(ids[0]))
			s.callers.checker.markCancelled(ids[0], time.Now(), true)
		})
	case 2: // cancelled and closed in one segment
		text, ids := s.encodeSetUps(rng, 1)
		s.send(append(text, s.encodeRelease(ids[0])...), ids)
		s.disconnect()
		return false
	case 3: // in parts
		text, ids := s.encodeSetUps(rng, 1)
		for n := min(len(text), 1+rng.IntN(100)); n < len(text); n = min(len(text), 1+rng.IntN(100)) {
			_ = s.SendRaw(text[:n])
			text = text[n:]
			time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
		}
		s.send(text, ids)
	case 4: // several at once
		s.send(s.encodeSetUps(rng, 2+rng.IntN(6)))
	default:
		s.send(s.encodeSetUps(rng, 1))
	}
	return true
}

// disconnect closes the connection and cancels its calls.
func (s *shutdownConnection) disconnect() {
	s.mu.Lock()
	ids := s.ids
	s.mu.Unlock()
	for _, id := range ids {
		s.callers.checker.markCancelled(id, time.Now(), false)
	}
	_ = s.CloseWrite()
}

// read handles messages until the connection ends.
func (s *shutdownConnection) read() {
	for {
		m, err := s.NextWithin(time.Minute)
		if err != nil {
			s.reportEnd(err)
			return
		}
		if m.Type != "answer" && m.Type != "release" {
			continue
		}
		at := time.Now()
		if s.late {
			at = s.from // it arrived at some time since then
		}
		if end := m.CauseOr(call.CauseNormal); m.Type == "release" && slices.Contains(refusalCauses, end) {
			s.callers.checker.markRefused(m.ID)
		}
		s.callers.checker.markReceived(m.ID, m.Type, m.Description(), at)
		s.callers.recordAnswerTime(m.ID)
	}
}

// recordAnswerTime records the time to a final answer.
func (c *shutdownCallers) recordAnswerTime(id string) {
	c.checker.mu.Lock()
	call := c.checker.calls[id]
	took := time.Duration(0)
	if call != nil && call.finals == 1 && !call.endReported {
		took = call.finalAt.Sub(call.written)
	}
	c.checker.mu.Unlock()
	if took > 0 {
		c.mu.Lock()
		_ = c.answerTimes.RecordValue(took.Microseconds())
		c.mu.Unlock()
	}
}

// reportEnd reports the end of the connection to the checker. The kernel knows when the last segment of the other side arrived: the close,
// or a later acknowledgement of data of this side.
func (s *shutdownConnection) reportEnd(err error) {
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
	s.callers.checker.markConnectionEnded(ids, s.from, kernel, seen, err)
}

// startCrowd starts n more callers of random kinds at once.
func (c *shutdownCallers) startCrowd(rng *rand.Rand, n int) {
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
			case 0: // sends nothing
			case 1: // does not read
				for range 10 {
					_ = s.SetWriteDeadline(time.Now().Add(time.Second))
					s.send(s.encodeSetUps(rng, 4))
				}
				select {
				case <-time.After(slowReaderPause): // before the process may be killed: unread data is lost with the reset
				case <-c.done:
				}
				s.late = true
			case 2: // half a request
				m, _ := jsonl.Append(nil, s.SetUpMessage(id(int(c.next.Add(1))), time.Second, 0, "x"))
				text := s.Frame(m)
				_ = s.SendRaw(text[:len(text)/2])
			case 3: // a flood behind a set-up
				s.send(s.encodeSetUps(rng, 1))
				noise := s.Frame([]byte(`{"type":"progress","id":"` + id(1) + `","fields":{}}`))
				_ = s.SetWriteDeadline(time.Now().Add(time.Second))
				_ = s.SendRaw([]byte(strings.Repeat(string(noise), 1<<18/len(noise))))
			default:
				s.send(s.encodeSetUps(rng, 1))
			}
			reading := make(chan struct{})
			go func() { defer close(reading); s.read() }()
			select {
			case <-reading:
			case <-c.done:
				_ = s.SetReadDeadline(time.Now().Add(time.Second))
				<-reading
			}
		})
	}
}
