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

// entry is a dispatcher as the coordinator tells of it.
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

// event is one numbered change of the list.
type event struct {
	Index     int64     `json:"index"`
	Endpoints endpoints `json:"endpoints"`
}

const (
	zones           = 18 // of the deployment that docs/CAPACITY.md is about
	cells           = 2
	commentInterval = time.Second // pace of the stream's comments
)

// entries are the list of dispatchers at some addresses. Names of different generations differ.
func entries(generation int, addresses []string) []entry {
	all := make([]entry, 0, len(addresses))
	for i, a := range addresses {
		all = append(all, entry{Name: fmt.Sprintf("s-%02x%06x", generation, i), Address: a, Zone: fmt.Sprintf("zone-%02d", i%zones),
			Type: "std", Group: i % cells, Status: "active", Weight: 4})
	}
	return all
}

// coordinator is a stand-in that serves the stream of events.
type coordinator struct {
	server  *http.Server
	address string
	rate    int // bytes a second of each stream; 0 for any

	streams, bytes atomic.Int64 // times that the stream was asked for, and bytes of events that were written

	mu      sync.Mutex
	events  [][]byte // from number 1
	changed chan struct{}
}

// startCoordinator opens a coordinator that knows of no event yet.
func startCoordinator(rate int) (*coordinator, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("capacity: coordinator: %w", err)
	}
	c := &coordinator{address: ln.Addr().String(), rate: rate, changed: make(chan struct{})}
	c.server = &http.Server{Handler: http.HandlerFunc(c.stream), ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(ln) }() // it ends with close
	return c, nil
}

func (c *coordinator) close() error { return c.server.Close() } //nolint:wrapcheck // it says what it is

// publish tells an event; whole is for one that holds the entire list. It returns the bytes that go over the stream.
func (c *coordinator) publish(whole bool, list []entry) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := int64(len(c.events) + 1)
	data, err := json.Marshal(event{Index: number, Endpoints: endpoints{Index: number, Snapshot: whole, Endpoints: list}})
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	text := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", number, data)
	c.events = append(c.events, text)
	close(c.changed)
	c.changed = make(chan struct{})
	return len(text), nil
}

// eventAfter is the event that follows a number, if there is one yet, and what is closed when there are more.
func (c *coordinator) eventAfter(number int) (text []byte, more <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number < len(c.events) {
		return c.events[number], c.changed
	}
	return nil, c.changed
}

func (c *coordinator) stream(w http.ResponseWriter, r *http.Request) {
	c.streams.Add(1)
	next, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // without one, from the start
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

// write writes a text at the stream's rate, a tenth of a second's worth at a time.
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
