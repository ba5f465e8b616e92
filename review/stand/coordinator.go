package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a dispatcher in the list.
type entry struct {
	name, address, status string
	group                 int
	since                 int64 // Unix milliseconds of a late start, or 0
}

// event is a numbered event of the coordinator.
type event struct {
	number   int
	snapshot bool
	entries  []entry
}

// object returns the event in the form of the protocol page.
func (e event) object() any {
	list := []any{}
	for _, d := range e.entries {
		list = append(list, map[string]any{"name": d.name, "address": d.address, "zone": "tallinn", "type": "single-core", "group": d.group,
			"status": d.status, "weight": 1, "since_ms": d.since})
	}
	return map[string]any{"index": e.number, "endpoints": map[string]any{"index": e.number, "snapshot": e.snapshot, "endpoints": list}}
}

// coordinator is the platform's list of dispatchers.
type coordinator struct {
	record  *record
	address string
	server  *http.Server

	mu      sync.Mutex
	events  []event
	changed chan struct{}
}

func startCoordinator(r *record, first []entry) (*coordinator, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &coordinator{record: r, address: ln.Addr().String(), changed: make(chan struct{})}
	c.events = []event{{number: 1, snapshot: true, entries: first}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/stream", c.stream)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(ln) }()
	return c, nil
}

// add appends an event that changes the list.
func (c *coordinator) add(entries ...entry) {
	c.mu.Lock()
	e := event{number: len(c.events) + 1, entries: entries}
	c.events = append(c.events, e)
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	c.record.say("coordinator: event %d: %+v", e.number, entries)
}

// known returns the events so far.
func (c *coordinator) known() []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]event{}, c.events...)
}

func (c *coordinator) stream(w http.ResponseWriter, req *http.Request) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
	c.record.say("coordinator: stream asked for after event %d", last)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, ok := w.(http.Flusher)
	if !ok {
		return
	}
	for {
		c.mu.Lock()
		events, changed := c.events, c.changed
		c.mu.Unlock()
		for _, e := range events {
			if e.number <= last {
				continue
			}
			text, err := json.Marshal(e.object())
			if err != nil {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e.number, text)
			last = e.number
		}
		fmt.Fprint(w, ": alive\n\n")
		flusher.Flush()
		select {
		case <-req.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}
