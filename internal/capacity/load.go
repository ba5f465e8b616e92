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
	// sessionDescription is the description of every call. It has the size of a small SDP body.
	sessionDescription = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
	// answerTimeout is how long a caller waits for the final answer.
	answerTimeout = 5 * time.Second
	// callerConnections is the number of connections over which the calls are distributed.
	callerConnections = 4
	// drainTimeout is the time allowed for the last answers.
	drainTimeout = 500 * time.Millisecond
	// maxLatencyUs is the upper limit of a histogram in microseconds.
	maxLatencyUs = 60_000_000
	// releaseCause is the cause of a normal release.
	releaseCause = 16
)

// load places calls at a constant rate, independent of the latency of answers, and releases each call once it is answered.
type load struct {
	callers    []*peer.Caller
	lastNumber int

	mu           sync.Mutex
	pending      map[string]time.Time // time of the set-up of each call without an answer, by id
	latencies    *hdrhistogram.Histogram
	forwardTimes *hdrhistogram.Histogram // from the write of the caller to the write to the dispatcher
	answered     int
	refused      int
}

// newLoad returns a load without callers. Its calls are numbered after last.
func newLoad(last int) *load {
	const digits = 3
	return &load{lastNumber: last, pending: map[string]time.Time{}, latencies: hdrhistogram.New(1, maxLatencyUs, digits),
		forwardTimes: hdrhistogram.New(1, maxLatencyUs, digits)}
}

// connect opens the connections of the callers.
func (l *load) connect(address string) error {
	for range callerConnections {
		c, err := peer.DialCaller("tcp", address)
		if err != nil {
			l.close()
			return err //nolint:wrapcheck // the error names its operation
		}
		l.callers = append(l.callers, c)
		go l.readMessages(c)
	}
	return nil
}

// recordArrival records the time at which a set-up was written to its dispatcher.
func (l *load) recordArrival(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent, open := l.pending[id]; open && !at.IsZero() {
		_ = l.forwardTimes.RecordValue(max(at.UnixMicro()-sent.UnixMicro(), 1)) // no caller waits longer than maxLatencyUs
	}
}

// close closes the connections of the callers.
func (l *load) close() {
	for _, c := range l.callers {
		_ = c.Close() // the measurement is complete
	}
}

// readMessages processes the messages to one caller: it records answers and refusals, and releases answered calls.
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
			_ = l.latencies.RecordValue(at.Sub(sent).Microseconds()) // no caller waits longer than maxLatencyUs
		} else if open {
			l.refused++
		}
		l.mu.Unlock()
		if m.Type == "answer" && c.Release(m.ID, releaseCause) != nil {
			return // closed
		}
	}
}

// placeCalls sets up calls at a constant rate for a duration, and returns the number of calls.
func (l *load) placeCalls(ctx context.Context, perSecond int, duration time.Duration) (int, error) {
	start, placed := time.Now(), 0
	for ; ; placed++ {
		due := start.Add(time.Duration(placed) * time.Second / time.Duration(perSecond))
		if due.Sub(start) >= duration {
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

// countUnanswered waits up to drainTimeout for the last answers, and returns the number of calls without one.
func (l *load) countUnanswered(ctx context.Context) (int, error) {
	unanswered := 0
	err := waitUntil(ctx, drainTimeout, time.Millisecond, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		unanswered = len(l.pending)
		return unanswered == 0
	})
	if errors.Is(err, errTimeout) {
		err = nil
	}
	return unanswered, err
}

// quantiles are the percentiles that are reported of each latency.
var quantiles = []float64{50, 90, 95, 99}

// latency returns the quantiles of the time from set-up to answer, as figures whose names begin with name.
func (l *load) latency(name string) []Figure { return l.quantilesOf(name, l.latencies) }

// forwardTime returns the quantiles of the time from the write of the caller to the write to the dispatcher.
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

// counts returns the numbers of answered and refused calls.
func (l *load) counts() (answered, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered, l.refused
}

// median returns the median of times; of an even number, it is the upper one.
func median(times []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}
