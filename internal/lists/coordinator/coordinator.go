// Package coordinator follows the platform's list of dispatchers: server-sent events over HTTP.
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
	connectWithin = 500 * time.Millisecond
	// quiet is how long the stream may say nothing; a comment comes each second. What a coordinator that has stopped
	// would have told counts as told after 4 s, in which there must be room for a second try.
	quiet = 1700 * time.Millisecond
	// retryLeast and retryMost bound the pause before the stream is asked for again, which doubles. What it has to
	// tell counts as told 2 s after a break, so it must not grow long.
	retryLeast, retryMost = 50 * time.Millisecond, 500 * time.Millisecond
	// maxEvent bounds one line of the stream: the whole list of the largest fleet has 5 MiB.
	maxEvent = 8 << 20
	// tooLargeAgain is the pause after an event beyond that bound, which would come again as it is.
	tooLargeAgain = 10 * time.Second
)

// Event is one numbered change of the list.
type Event struct {
	Index     int64 `json:"index"`
	Endpoints *struct {
		Snapshot  bool       `json:"snapshot"`
		Endpoints []Endpoint `json:"endpoints"`
	} `json:"endpoints"`
}

// Endpoint is one dispatcher.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   int    `json:"group"`
	Status  string `json:"status"`
	SinceMs int64  `json:"since_ms"`
}

// Update translates an event; whole is for the first one.
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

// Server translates one dispatcher.
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

// Stream follows the coordinator.
type Stream struct {
	log    *slog.Logger
	client *http.Client
	last   int64             // only Run's goroutine moves it
	take   func(call.Update) // called in order, by one goroutine
	quiet  time.Duration

	reads atomic.Pointer[reading] // the connection that was opened last

	mu      sync.Mutex
	address string
	moved   chan struct{} // closed when the address has changed
}

// New returns a Stream that goes on after the event of number last.
func New(address string, last int64, log *slog.Logger, take func(call.Update)) *Stream {
	dialer := &net.Dialer{Timeout: connectWithin}
	s := &Stream{address: address, moved: make(chan struct{}), log: log, last: last, take: take, quiet: quiet}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // the client says what it was for
		}
		r := &reading{Conn: nc}
		s.reads.Store(r)
		return r, nil
	}
	s.client = &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
	return s
}

// reading is a connection that knows whether what it brought is still being worked on.
type reading struct {
	net.Conn
	at atomic.Bool
}

// Read takes it that all of before has been told once more is asked for.
func (r *reading) Read(p []byte) (int, error) {
	r.at.Store(false)
	n, err := r.Conn.Read(p)
	r.at.Store(n > 0)
	return n, err //nolint:wrapcheck // as any connection's
}

// unread reports whether bytes wait in the socket, or are being worked on.
func (r *reading) unread() bool {
	if r.at.Load() {
		return true
	}
	sc, ok := r.Conn.(syscall.Conn)
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
	return n > 0 || r.at.Load()
}

// Quiet reports whether all that has come has been told; any goroutine may call it.
func (s *Stream) Quiet() bool {
	r := s.reads.Load()
	return r == nil || !r.unread()
}

// Move has the stream go on at another address, after the last event that came: the numbers are the same there. An
// empty address has it wait for the next.
func (s *Stream) Move(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.address {
		s.address = address
		close(s.moved)
		s.moved = make(chan struct{})
	}
}

func (s *Stream) where() (address string, moved <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, s.moved
}

// Run follows the stream until the context ends, and asks again whenever it breaks off.
func (s *Stream) Run(ctx context.Context) {
	pause := retryLeast
	for ctx.Err() == nil {
		address, moved := s.where()
		if address == "" {
			select {
			case <-ctx.Done():
			case <-moved:
			}
			continue
		}
		here, cancel := context.WithCancel(ctx)
		go func() { // the old coordinator tells nothing more, so its stream is not waited for
			select {
			case <-moved:
				cancel()
			case <-here.Done():
			}
		}()
		heard, err := s.follow(here, address)
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.log.Info("coordinator's stream ended", "address", address, "last", s.last, "err", err)
		if pause = min(2*pause, retryMost); heard {
			pause = retryLeast
		}
		if errors.Is(err, bufio.ErrTooLong) {
			s.log.Error("event that is too large", "address", address, "bytes at most", maxEvent, "asked for again in", tooLargeAgain)
			pause = tooLargeAgain
		}
		select {
		case <-ctx.Done():
		case <-moved:
			pause = retryLeast
		case <-time.After(pause):
		}
	}
}

// follow reads one stream. A coordinator that falls silent is left: its machine may be gone, and the connection
// would stay open for ever.
func (s *Stream) follow(ctx context.Context, address string) (heard bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var silent atomic.Bool
	watchdog := time.AfterFunc(s.quiet, func() { silent.Store(true); cancel() })
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v2/stream", nil)
	if err != nil {
		return false, fmt.Errorf("coordinator: %w", err)
	}
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("Last-Event-ID", strconv.FormatInt(s.last, 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return false, fmt.Errorf("coordinator: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("coordinator answers %s", resp.Status)
	}
	lines := bufio.NewScanner(&heardReader{resp.Body, func() { watchdog.Reset(s.quiet) }})
	lines.Buffer(make([]byte, 4096), maxEvent)
	var id string
	var data []byte
	for lines.Scan() {
		heard = true
		line := lines.Bytes()
		if len(line) == 0 {
			if len(data) > 0 {
				if err := s.event(id, data); err != nil {
					return heard, err
				}
			}
			id, data = "", nil
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
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
	case silent.Load():
		return heard, errors.New("coordinator: silent")
	case err != nil:
		return heard, fmt.Errorf("coordinator: %w", err)
	}
	return heard, nil
}

// heardReader tells of each time that something comes: an event may take long, and comes all the while.
type heardReader struct {
	io.Reader
	heard func()
}

// Read reads what there is.
func (h *heardReader) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if n > 0 {
		h.heard()
	}
	return n, err //nolint:wrapcheck // as the reader itself
}

// event takes in one event. One that cannot be read ends the stream, and is asked for again: it came spoilt, and what
// it told would be missing. One that can be read but makes no sense would come again as it is, so it is passed over.
func (s *Stream) event(id string, data []byte) error {
	number, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	if err == nil && number <= s.last {
		return nil // known already
	}
	var e Event
	if err := jsoniter.ConfigDefault.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("coordinator: event %.20q cannot be read: %w", id, err)
	}
	if err != nil {
		if number = e.Index; number <= s.last {
			return nil
		}
	}
	s.last = number
	u, err := e.Update()
	if err != nil {
		s.log.Error("event that cannot be used", "id", id, "err", err)
		return nil
	}
	s.take(u)
	return nil
}
