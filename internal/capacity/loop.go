package capacity

import (
	"sync"
	"time"

	"cherryrelay/internal/jsonl"
	"cherryrelay/internal/peer"
)

// pingInterval is the pace at which a controller's event loop is asked for a sign.
const pingInterval = 2 * time.Millisecond

// loopWatch asks a controller's event loop for a sign every few milliseconds, and keeps the longest wait for one.
type loopWatch struct {
	address  string
	stopping chan struct{}
	done     chan struct{}

	mu      sync.Mutex
	longest time.Duration
}

// startLoopWatch tests the front of a controller, over and over: every answer is given by its event loop.
func startLoopWatch(address string) (*loopWatch, error) {
	c, err := peer.Call("tcp", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // it says what it is
	}
	w := &loopWatch{address: address, stopping: make(chan struct{}), done: make(chan struct{})}
	go w.run(c)
	return w, nil
}

// run tests on one connection after the other: a front closes one on which no call is set up.
func (w *loopWatch) run(c *peer.Caller) {
	defer close(w.done)
	for {
		select {
		case <-w.stopping:
			_ = c.Close() // it has served
			return
		default:
		}
		start := time.Now()
		if w.ping(c) != nil {
			_ = c.Close() // it is closed at the other end
			var err error
			if c, err = peer.Call("tcp", w.address); err != nil {
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

func (w *loopWatch) ping(c *peer.Caller) error {
	if err := c.Send(jsonl.Message{Type: "ping", ID: "0000000000000000"}); err != nil {
		return err //nolint:wrapcheck // only that there is one counts
	}
	_, err := c.Next()
	return err //nolint:wrapcheck // only that there is one counts
}

// reset returns the longest wait since it was called last.
func (w *loopWatch) reset() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := w.longest
	w.longest = 0
	return longest
}

func (w *loopWatch) close() {
	close(w.stopping)
	<-w.done
}
