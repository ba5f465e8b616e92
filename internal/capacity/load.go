package capacity

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherryrelay/internal/peer"
)

const (
	// sessionDescription is that of a call, of the size of a small SDP.
	sessionDescription = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 5 * time.Second
	// callerConnections share the calls of a load.
	callerConnections = 4
	// drainTimeout is how long the last answers are waited for.
	drainTimeout = 500 * time.Millisecond
	// maxLatencyUs bounds a histogram, in microseconds.
	maxLatencyUs = 60_000_000
	// releaseCause is that of a call that ends as it should.
	releaseCause = 16
)

// load places calls at a pace, whatever the answers take, and releases each once it is answered.
type load struct {
	callers    []*peer.Caller
	lastNumber int

	mu           sync.Mutex
	pending      map[string]time.Time // calls without an answer
	latencies    *hdrhistogram.Histogram
	forwardTimes *hdrhistogram.Histogram // from a caller's write to the write towards the dispatcher
	answered     int
	refused      int
}

// newLoad is a load without callers. Numbers of calls begin at first.
func newLoad(first int) *load {
	const digits = 3
	return &load{lastNumber: first, pending: map[string]time.Time{}, latencies: hdrhistogram.New(1, maxLatencyUs, digits),
		forwardTimes: hdrhistogram.New(1, maxLatencyUs, digits)}
}

// connect connects callers to an address.
func (l *load) connect(address string) error {
	for range callerConnections {
		c, err := peer.Call("tcp", address)
		if err != nil {
			l.close()
			return err //nolint:wrapcheck // it says what it is
		}
		l.callers = append(l.callers, c)
		go l.readMessages(c)
	}
	return nil
}

// recordArrival takes in when a set-up was written towards its dispatcher.
func (l *load) recordArrival(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent, open := l.pending[id]; open && !at.IsZero() {
		_ = l.forwardTimes.RecordValue(max(at.UnixMicro()-sent.UnixMicro(), 1)) // beyond a minute nobody waits
	}
}

func (l *load) close() {
	for _, c := range l.callers {
		_ = c.Close() // what it was for is over
	}
}

// readMessages takes what callers are told.
func (l *load) readMessages(c *peer.Caller) {
	for {
		m, err := c.NextWithin(time.Hour)
		if err != nil {
			return // closed
		}
		at := time.Now()
		l.mu.Lock()
		sent, open := l.pending[m.ID]
		delete(l.pending, m.ID)
		if open && m.Type == "answer" {
			l.answered++
			_ = l.latencies.RecordValue(at.Sub(sent).Microseconds()) // beyond a minute nobody waits
		} else if open {
			l.refused++
		}
		l.mu.Unlock()
		if m.Type == "answer" && c.Release(m.ID, releaseCause) != nil {
			return // closed
		}
	}
}

// placeCalls sets calls up at a pace while a time passes, and returns how many.
func (l *load) placeCalls(ctx context.Context, perSecond int, lasting time.Duration) (int, error) {
	start, placed := time.Now(), 0
	for ; ; placed++ {
		due := start.Add(time.Duration(placed) * time.Second / time.Duration(perSecond))
		if due.Sub(start) >= lasting {
			return placed, nil
		}
		if wait := time.Until(due); wait > 0 {
			if err := pause(ctx, wait); err != nil {
				return placed, err
			}
		}
		l.lastNumber++
		id := fmt.Sprintf("%016x", l.lastNumber)
		l.mu.Lock()
		l.pending[id] = time.Now()
		l.mu.Unlock()
		if err := l.callers[placed%len(l.callers)].SetUp(id, answerTimeout, placed%cells, sessionDescription); err != nil {
			return placed, fmt.Errorf("capacity: %w", err)
		}
	}
}

// countUnanswered waits a little for the last answers, and counts what is left.
func (l *load) countUnanswered(ctx context.Context) (int, error) {
	left := 0
	err := waitUntil(ctx, drainTimeout, time.Millisecond, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		left = len(l.pending)
		return left == 0
	})
	if errors.Is(err, errTimeout) {
		err = nil
	}
	return left, err
}

// quantiles that are told of latencies.
var quantiles = []float64{50, 90, 95, 99}

// latency tells the quantiles from set-up to answer in milliseconds, each under a name that begins like that.
func (l *load) latency(name string) []Figure { return l.quantilesOf(name, l.latencies) }

// forwardTime tells those from the caller's write to the write towards the dispatcher.
func (l *load) forwardTime(name string) []Figure {
	return l.quantilesOf(name+" set-up passed on", l.forwardTimes)
}

func (l *load) quantilesOf(name string, h *hdrhistogram.Histogram) []Figure {
	l.mu.Lock()
	defer l.mu.Unlock()
	var figures []Figure
	for _, q := range quantiles {
		figures = append(figures, Figure{fmt.Sprintf("%s p%.0f", name, q), "ms", float64(h.ValueAtQuantile(q)) / 1000})
	}
	return figures
}

// counts are how many calls were answered, and how many refused.
func (l *load) counts() (answered, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered, l.refused
}

// median is the middle one of some times.
func median(times []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}
