package capacity

import (
	"sync"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// pingInterval is the pause between two pings.
const pingInterval = 2 * time.Millisecond

// loopWatch pings the event loop of a controller every few milliseconds, and records the longest wait for a reply.
type loopWatch struct {
	address  string
	stopping chan struct{}
	done     chan struct{}

	mu      sync.Mutex
	longest time.Duration
}

// startLoopWatch starts to ping the listener for callers, where the event loop sends every reply.
func startLoopWatch(address string) (*loopWatch, error) {
	c, err := peer.DialCaller("tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names its operation
	}
	w := &loopWatch{address: address, stopping: make(chan struct{}), done: make(chan struct{})}
	go w.run(c)
	return w, nil
}

// run pings until close is called. It reconnects when the controller closes the connection, as it does if no call is set up.
func (w *loopWatch) run(c *peer.Caller) {
	defer close(w.done)
	for {
		select {
		case <-w.stopping:
			_ = c.Close() // the measurement is complete
			return
		default:
		}
		start := time.Now()
		if w.ping(c) != nil {
			_ = c.Close() // the controller has closed it
			var err error
			if c, err = peer.DialCaller("tcp", w.address); err != nil {
				return // the controller has ended
			}
			continue
		}
		w.mu.Lock()
		w.longest = max(w.longest, time.Since(start))
		w.mu.Unlock()
		time.Sleep(pingInterval)
	}
}

// ping sends one ping and waits for the reply.
func (w *loopWatch) ping(c *peer.Caller) error {
	if err := c.Send(jsonl.Message{Type: "ping", ID: "0000000000000000"}); err != nil {
		return err //nolint:wrapcheck // the caller only compares it with nil
	}
	_, err := c.Next()
	return err //nolint:wrapcheck // the caller only compares it with nil
}

// reset returns the longest wait since the previous call.
func (w *loopWatch) reset() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := w.longest
	w.longest = 0
	return longest
}

// close stops the pings and waits until they have ended.
func (w *loopWatch) close() {
	close(w.stopping)
	<-w.done
}
