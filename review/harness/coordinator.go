package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Coordinator is a stand-in for the platform's coordinator. It sends the events as the protocol page says.
type Coordinator struct {
	Address string
	c       *Case
	name    string
	server  *http.Server

	mu      sync.Mutex
	events  []map[string]any
	changed chan struct{}
	wait    time.Duration // how long a request waits in turn before it is served
}

// SetWait sets how long each request waits in turn before it is served.
func (k *Coordinator) SetWait(d time.Duration) {
	k.c.Log(k.name, "requests wait %v in turn", d)
	k.mu.Lock()
	k.wait = d
	k.mu.Unlock()
}

// NewCoordinator starts a coordinator with the first events of a list.
func (c *Case) NewCoordinator(name string, events ...map[string]any) *Coordinator {
	k := &Coordinator{Address: c.Address(), c: c, name: name, events: events, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", k.Address)
	c.Must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/stream", k.stream)
	k.server = &http.Server{Handler: mux}
	go func() { _ = k.server.Serve(ln) }()
	return k
}

// Publish adds an event.
func (k *Coordinator) Publish(event map[string]any) {
	text, _ := json.Marshal(event)
	k.c.Log(k.name, "event %s", text)
	k.mu.Lock()
	k.events = append(k.events, event)
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
}

// Close ends the coordinator and its streams.
func (k *Coordinator) Close() {
	k.c.Log(k.name, "ends")
	_ = k.server.Close()
}

func (k *Coordinator) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	k.c.Log(k.name, "request from %s for the stream after event %d", r.RemoteAddr, last)
	k.mu.Lock()
	wait := k.wait
	k.mu.Unlock()
	select {
	case <-r.Context().Done():
		k.c.Log(k.name, "%s is gone before its turn", r.RemoteAddr)
		return
	case <-time.After(wait):
	}
	k.c.Log(k.name, "stream to %s", r.RemoteAddr)
	w.Header().Set("Content-Type", "text/event-stream")
	comment := time.NewTicker(time.Second)
	defer comment.Stop()
	_, _ = fmt.Fprint(w, ": here\n\n")
	for {
		k.mu.Lock()
		events, changed := k.events[min(last, len(k.events)):], k.changed
		k.mu.Unlock()
		for _, e := range events {
			text, _ := json.Marshal(e)
			last++
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, text)
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-comment.C:
			_, _ = fmt.Fprint(w, ": here\n\n")
		}
	}
}
