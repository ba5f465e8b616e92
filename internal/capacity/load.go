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
	// description is that of a call, of the size of a small SDP.
	description = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
	// leftFor is how long a caller waits for an answer.
	leftFor = 5 * time.Second
	// callerConnections share the calls of a load.
	callerConnections = 4
	// drainFor is how long the last answers are waited for.
	drainFor = 500 * time.Millisecond
	// longestLatency bounds a histogram, in microseconds.
	longestLatency = 60_000_000
	// releaseCause is that of a call that ends as it should.
	releaseCause = 16
)

// load places calls at a pace, whatever the answers take, and releases each once it is answered.
type load struct {
	callers []*peer.Caller
	next    int

	mu        sync.Mutex
	sent      map[string]time.Time // calls without an answer
	latencies *hdrhistogram.Histogram
	passages  *hdrhistogram.Histogram // from a caller's write to the write towards the dispatcher
	answered  int
	refused   int
}

// newLoad is a load without callers. Numbers of calls begin at first.
func newLoad(first int) *load {
	const digits = 3
	return &load{next: first, sent: map[string]time.Time{}, latencies: hdrhistogram.New(1, longestLatency, digits),
		passages: hdrhistogram.New(1, longestLatency, digits)}
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
		go l.hear(c)
	}
	return nil
}

// arrived takes in when a set-up was written towards its dispatcher.
func (l *load) arrived(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent, open := l.sent[id]; open && !at.IsZero() {
		_ = l.passages.RecordValue(max(at.UnixMicro()-sent.UnixMicro(), 1)) // beyond a minute nobody waits
	}
}

func (l *load) close() {
	for _, c := range l.callers {
		_ = c.Close() // what it was for is over
	}
}

// hear takes what callers are told.
func (l *load) hear(c *peer.Caller) {
	for {
		m, err := c.NextWithin(time.Hour)
		if err != nil {
			return // closed
		}
		at := time.Now()
		l.mu.Lock()
		sent, open := l.sent[m.ID]
		delete(l.sent, m.ID)
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

// place sets calls up at a pace while a time passes, and returns how many.
func (l *load) place(ctx context.Context, perSecond int, lasting time.Duration) (int, error) {
	begun, placed := time.Now(), 0
	for ; ; placed++ {
		due := begun.Add(time.Duration(placed) * time.Second / time.Duration(perSecond))
		if due.Sub(begun) >= lasting {
			return placed, nil
		}
		if wait := time.Until(due); wait > 0 {
			if err := pause(ctx, wait); err != nil {
				return placed, err
			}
		}
		l.next++
		id := fmt.Sprintf("%016x", l.next)
		l.mu.Lock()
		l.sent[id] = time.Now()
		l.mu.Unlock()
		if err := l.callers[placed%len(l.callers)].SetUp(id, leftFor, placed%cells, description); err != nil {
			return placed, fmt.Errorf("capacity: %w", err)
		}
	}
}

// unanswered waits a little for the last answers, and counts what is left.
func (l *load) unanswered(ctx context.Context) (int, error) {
	left := 0
	err := until(ctx, drainFor, time.Millisecond, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		left = len(l.sent)
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

// passage tells those from the caller's write to the write towards the dispatcher.
func (l *load) passage(name string) []Figure {
	return l.quantilesOf(name+" set-up passed on", l.passages)
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
