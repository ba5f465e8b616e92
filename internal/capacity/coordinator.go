package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// entry is a dispatcher in an event of the coordinator.
type entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Type    string `json:"type"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	Weight  int    `json:"weight"`
	SinceMs int64  `json:"since_ms"`
}

// endpoints is the body of an event.
type endpoints struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// event is one numbered update of the list.
type event struct {
	Index     int64     `json:"index"`
	Endpoints endpoints `json:"endpoints"`
}

const (
	zones           = 18 // in the deployment that docs/CAPACITY.md describes
	cells           = 2
	commentInterval = time.Second // between the keep-alive comments of the stream
)

// entries returns a list of dispatchers with the given addresses. Each generation has its own names.
func entries(generation int, addresses []string) []entry {
	all := make([]entry, 0, len(addresses))
	for i, a := range addresses {
		all = append(all, entry{Name: fmt.Sprintf("s-%02x%06x", generation, i), Address: a, Zone: fmt.Sprintf("zone-%02d", i%zones),
			Type: "std", Group: i % cells, Status: "active", Weight: 4})
	}
	return all
}

// coordinator is a fake coordinator that serves the event stream.
type coordinator struct {
	server  *http.Server
	address string
	rate    int // bytes per second of each stream; 0 for no limit

	streams, bytes atomic.Int64 // requests for the stream, and bytes written to all streams

	mu      sync.Mutex
	events  [][]byte // events[0] has the number 1
	changed chan struct{}
}

// startCoordinator starts a coordinator without events.
func startCoordinator(rate int) (*coordinator, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("capacity: coordinator: %w", err)
	}
	c := &coordinator{address: ln.Addr().String(), rate: rate, changed: make(chan struct{})}
	c.server = &http.Server{Handler: http.HandlerFunc(c.stream), ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(ln) }() // it returns once close is called
	return c, nil
}

func (c *coordinator) close() error { return c.server.Close() } //nolint:wrapcheck // the error names its operation

// publish appends an event; snapshot marks one that holds the entire list. It returns the size of the event on the stream in bytes.
func (c *coordinator) publish(snapshot bool, list []entry) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := int64(len(c.events) + 1)
	data, err := json.Marshal(event{Index: number, Endpoints: endpoints{Index: number, Snapshot: snapshot, Endpoints: list}})
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	text := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", number, data)
	c.events = append(c.events, text)
	close(c.changed)
	c.changed = make(chan struct{})
	return len(text), nil
}

// eventAfter returns the event after the given number, or nil if there is none yet, and a channel that is closed when an event is
// published.
func (c *coordinator) eventAfter(number int) (text []byte, more <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number < len(c.events) {
		return c.events[number], c.changed
	}
	return nil, c.changed
}

// stream serves all events after the Last-Event-ID of the request, and comments while there are none.
func (c *coordinator) stream(w http.ResponseWriter, r *http.Request) {
	c.streams.Add(1)
	next, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // 0 without the header: all events
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(commentInterval)
	defer ticker.Stop()
	for {
		text, more := c.eventAfter(next)
		if text != nil {
			next++
			if c.write(r.Context(), w, text) != nil {
				return
			}
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-more:
		case <-ticker.C:
			if c.write(r.Context(), w, []byte(": still here\n\n")) != nil {
				return
			}
		}
	}
}

// write writes text at the rate of the stream, in parts of a tenth of a second each.
func (c *coordinator) write(ctx context.Context, w http.ResponseWriter, text []byte) error {
	const parts = 10
	for len(text) > 0 {
		n := len(text)
		if c.rate > 0 {
			n = min(n, c.rate/parts)
		}
		if _, err := w.Write(text[:n]); err != nil {
			return err //nolint:wrapcheck // the stream has ended
		}
		c.bytes.Add(int64(n))
		text = text[n:]
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if c.rate == 0 {
			continue
		}
		if err := pause(ctx, time.Second/parts); err != nil {
			return errors.Join(err, ctx.Err())
		}
	}
	return nil
}
