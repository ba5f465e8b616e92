// Package coordinator follows the platform's list of dispatchers, which the coordinator sends as server-sent events
// over HTTP.
package coordinator

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"cherryrelay/control"
	"cherryrelay/internal/call"
	"cherryrelay/internal/settings"
)

const (
	// backlogTimeout is the time within which the coordinator has sent the events that it had as the stream began.
	backlogTimeout = 500 * time.Millisecond
	// connectTimeout bounds one attempt to connect to the coordinator.
	connectTimeout = 500 * time.Millisecond
	// defaultSilenceTimeout is how long the stream may be silent; the coordinator sends a comment each second. Events
	// of a coordinator that has stopped count as delivered after 4 s, which must leave time for a second attempt.
	defaultSilenceTimeout = 1700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before the stream is requested again, which doubles. Events count
	// as delivered 2 s after a break, so the delay must stay short.
	minRetryDelay, maxRetryDelay = 50 * time.Millisecond, 500 * time.Millisecond
	// maxLineBytes bounds one line of the stream: the complete list of the largest fleet has 5 MiB.
	maxLineBytes = 8 << 20
	// oversizedRetryDelay is the delay after an event that exceeds maxLineBytes, since the coordinator would send it
	// again unchanged.
	oversizedRetryDelay = 10 * time.Second
)

// Event is one numbered change of the list.
type Event struct {
	Index     int64 `json:"index"`
	Endpoints *struct {
		Snapshot  bool       `json:"snapshot"`
		Endpoints []Endpoint `json:"endpoints"`
	} `json:"endpoints"`
}

// Endpoint describes one dispatcher.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	SinceMs int64  `json:"since_ms"`
}

// Update converts the event to an update, which is complete if the event carries a snapshot.
func (e *Event) Update() (call.Update, error) {
	var u call.Update
	if e.Endpoints == nil {
		return u, nil
	}
	u.Complete = e.Endpoints.Snapshot
	for _, p := range e.Endpoints.Endpoints {
		s, err := p.Server()
		if err != nil {
			return u, err
		}
		u.Servers = append(u.Servers, s)
	}
	return u, nil
}

// Server converts the endpoint to a server.
func (p *Endpoint) Server() (call.Server, error) {
	status, err := settings.ParseStatus(p.Status)
	if err != nil {
		return call.Server{}, fmt.Errorf("dispatcher %q: %w", p.Name, err)
	}
	if p.Name == "" {
		return call.Server{}, errors.New("dispatcher without a name")
	}
	return call.Server{
		ServerEntry: control.ServerEntry{
			ID: control.ServerID(p.Name), Status: status, Cell: p.Group, Zone: p.Zone,
			StartedAt: time.Duration(p.SinceMs) * time.Millisecond,
		},
		Address: p.Address,
	}, nil
}

// Stream follows the event stream of the coordinator.
type Stream struct {
	log            *slog.Logger
	client         *http.Client
	lastIndex      int64             // index of the last event; written by Run's goroutine only
	onUpdate       func(call.Update) // called in order, by one goroutine
	onCaughtUp     func(time.Time)   // called by the same goroutine
	eventSkipped   bool              // an event was skipped since the last complete list
	silenceTimeout time.Duration

	latestConn atomic.Pointer[trackedConn] // the most recently opened connection

	mu             sync.Mutex
	address        string
	addressChanged chan struct{} // closed when the address changes
}

// New returns a Stream that resumes after the event numbered lastIndex.
func New(address string, lastIndex int64, log *slog.Logger, onUpdate func(call.Update)) *Stream {
	dialer := &net.Dialer{Timeout: connectTimeout}
	s := &Stream{address: address, addressChanged: make(chan struct{}), log: log, lastIndex: lastIndex, onUpdate: onUpdate,
		onCaughtUp: func(time.Time) {}, silenceTimeout: defaultSilenceTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // the client adds the context
		}
		c := &trackedConn{Conn: nc}
		s.latestConn.Store(c)
		return c, nil
	}
	s.client = &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
	return s
}

// OnCaughtUp sets a function that is called, between the updates, with times up to which the updates are complete. It must be called before
// Run.
func (s *Stream) OnCaughtUp(f func(at time.Time)) { s.onCaughtUp = f }

// trackedConn is a connection that records whether received input is still being processed.
type trackedConn struct {
	net.Conn
	processing atomic.Bool
}

// Read reads from the connection. The reader asks for more only after it has processed everything before.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.processing.Store(false)
	n, err := c.Conn.Read(p)
	c.processing.Store(n > 0)
	return n, err //nolint:wrapcheck // net.Conn implementations return plain errors
}

// hasUnreadInput reports whether input waits in the socket or is being processed.
func (c *trackedConn) hasUnreadInput() bool {
	if c.processing.Load() {
		return true
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if err := raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return false // closed
	}
	return n > 0 || c.processing.Load()
}

// AllDelivered reports whether everything received has been delivered. Any goroutine may call it.
func (s *Stream) AllDelivered() bool {
	c := s.latestConn.Load()
	return c == nil || !c.hasUnreadInput()
}

// SetAddress makes the stream resume at another address after the last received event: event numbers are the same at all
// addresses. With an empty address, the stream waits until it gets another one.
func (s *Stream) SetAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.address {
		s.address = address
		close(s.addressChanged)
		s.addressChanged = make(chan struct{})
	}
}

func (s *Stream) currentAddress() (address string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, s.addressChanged
}

// Run follows the stream until the context ends, and requests it again whenever it breaks.
func (s *Stream) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		address, changed := s.currentAddress()
		if address == "" {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		go func() { // the old coordinator sends nothing more, so its stream is cancelled at once
			select {
			case <-changed:
				cancel()
			case <-streamCtx.Done():
			}
		}()
		received, err := s.follow(streamCtx, address)
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.log.Info("coordinator stream ended", "address", address, "last", s.lastIndex, "err", err)
		if delay = min(2*delay, maxRetryDelay); received {
			delay = minRetryDelay
		}
		if errors.Is(err, bufio.ErrTooLong) {
			s.log.Error("event is too large", "address", address, "bytes at most", maxLineBytes, "asked for again in", oversizedRetryDelay)
			delay = oversizedRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-changed:
			delay = minRetryDelay
		case <-time.After(delay):
		}
	}
}

// follow reads one stream until it ends. It closes the stream of an unresponsive coordinator, since a connection to a
// machine that has failed would stay open forever.
func (s *Stream) follow(ctx context.Context, address string) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timedOut atomic.Bool
	watchdog := time.AfterFunc(s.silenceTimeout, func() { timedOut.Store(true); cancel() })
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v2/stream", nil)
	if err != nil {
		return false, fmt.Errorf("coordinator: %w", err)
	}
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("Last-Event-ID", strconv.FormatInt(s.lastIndex, 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return false, fmt.Errorf("coordinator: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("coordinator returned status %s", resp.Status)
	}
	began := time.Now()
	lines := bufio.NewScanner(&notifyingReader{resp.Body, func() { watchdog.Reset(s.silenceTimeout) }})
	lines.Buffer(make([]byte, 4096), maxLineBytes)
	var id string
	var data []byte
	for lines.Scan() {
		received = true
		line := lines.Bytes()
		if len(line) == 0 {
			if len(data) > 0 {
				if err := s.handleEvent(id, data); err != nil {
					return received, err
				}
			}
			id, data = "", nil
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "": // a comment, which shows that the coordinator has sent all events
			if now := time.Now(); now.Sub(began) >= backlogTimeout && !s.eventSkipped {
				s.onCaughtUp(now.Add(-backlogTimeout))
			}
		case "id":
			id = string(value)
		case "data":
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
	}
	switch err := lines.Err(); {
	case timedOut.Load():
		return received, errors.New("coordinator: no input before the silence timeout")
	case err != nil:
		return received, fmt.Errorf("coordinator: %w", err)
	}
	return received, nil
}

// notifyingReader calls onRead after every read that returns input, so that a long event restarts the silence timeout
// while its bytes arrive.
type notifyingReader struct {
	io.Reader
	onRead func()
}

// Read reads from the underlying reader.
func (r *notifyingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onRead()
	}
	return n, err //nolint:wrapcheck // io.Reader implementations return plain errors
}

// handleEvent applies one event. An event that cannot be parsed ends the stream and is requested again: it was
// corrupted on the way, and its changes would be missing. An event that can be parsed but is invalid would come again
// unchanged, so it is skipped.
func (s *Stream) handleEvent(id string, data []byte) error {
	number, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	if err == nil && number <= s.lastIndex {
		return nil // already applied
	}
	var e Event
	if err := jsoniter.ConfigDefault.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("coordinator: parsing event %.20q: %w", id, err)
	}
	if err != nil {
		if number = e.Index; number <= s.lastIndex {
			return nil
		}
	}
	s.lastIndex = number
	u, err := e.Update()
	if err != nil {
		s.log.Error("event is invalid and skipped", "id", id, "err", err)
		s.eventSkipped = true
		return nil
	}
	s.eventSkipped = s.eventSkipped && !u.Complete
	s.onUpdate(u)
	return nil
}
