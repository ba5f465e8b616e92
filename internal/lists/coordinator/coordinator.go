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
	connectTimeout = 500 * time.Millisecond
	// defaultSilenceTimeout is how long the stream may say nothing; a comment comes each second. What a coordinator that has stopped
	// would have told counts as told after 4 s, in which there must be room for a second try.
	defaultSilenceTimeout = 1700 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause before the stream is asked for again, which doubles. What it has to
	// tell counts as told 2 s after a break, so it must not grow long.
	minRetryDelay, maxRetryDelay = 50 * time.Millisecond, 500 * time.Millisecond
	// maxLineBytes bounds one line of the stream: the whole list of the largest fleet has 5 MiB.
	maxLineBytes = 8 << 20
	// oversizedRetryDelay is the pause after an event beyond that bound, which would come again as it is.
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
	log            *slog.Logger
	client         *http.Client
	lastIndex      int64             // only Run's goroutine moves it
	onUpdate       func(call.Update) // called in order, by one goroutine
	silenceTimeout time.Duration

	latestConn atomic.Pointer[trackedConn] // the connection that was opened last

	mu             sync.Mutex
	address        string
	addressChanged chan struct{} // closed when the address has changed
}

// New returns a Stream that goes on after the event of number last.
func New(address string, lastIndex int64, log *slog.Logger, onUpdate func(call.Update)) *Stream {
	dialer := &net.Dialer{Timeout: connectTimeout}
	s := &Stream{address: address, addressChanged: make(chan struct{}), log: log, lastIndex: lastIndex, onUpdate: onUpdate, silenceTimeout: defaultSilenceTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // the client says what it was for
		}
		c := &trackedConn{Conn: nc}
		s.latestConn.Store(c)
		return c, nil
	}
	s.client = &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
	return s
}

// trackedConn is a connection that knows whether what it brought is still being worked on.
type trackedConn struct {
	net.Conn
	processing atomic.Bool
}

// Read takes it that all of before has been told once more is asked for.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.processing.Store(false)
	n, err := c.Conn.Read(p)
	c.processing.Store(n > 0)
	return n, err //nolint:wrapcheck // as any connection's
}

// hasUnreadInput reports whether bytes wait in the socket, or are being worked on.
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

// Quiet reports whether all that has come has been told; any goroutine may call it.
func (s *Stream) Quiet() bool {
	c := s.latestConn.Load()
	return c == nil || !c.hasUnreadInput()
}

// Move has the stream go on at another address, after the last event that came: the numbers are the same there. An
// empty address has it wait for the next.
func (s *Stream) Move(address string) {
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

// Run follows the stream until the context ends, and asks again whenever it breaks off.
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
		go func() { // the old coordinator tells nothing more, so its stream is not waited for
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
		s.log.Info("coordinator's stream ended", "address", address, "last", s.lastIndex, "err", err)
		if delay = min(2*delay, maxRetryDelay); received {
			delay = minRetryDelay
		}
		if errors.Is(err, bufio.ErrTooLong) {
			s.log.Error("event that is too large", "address", address, "bytes at most", maxLineBytes, "asked for again in", oversizedRetryDelay)
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

// follow reads one stream. A coordinator that falls silent is left: its machine may be gone, and the connection
// would stay open for ever.
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
		return false, fmt.Errorf("coordinator answers %s", resp.Status)
	}
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
		return received, errors.New("coordinator: silent")
	case err != nil:
		return received, fmt.Errorf("coordinator: %w", err)
	}
	return received, nil
}

// notifyingReader tells of each time that something comes: an event may take long, and comes all the while.
type notifyingReader struct {
	io.Reader
	onRead func()
}

// Read reads what there is.
func (r *notifyingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onRead()
	}
	return n, err //nolint:wrapcheck // as the reader itself
}

// handleEvent takes in one event. One that cannot be read ends the stream, and is asked for again: it came spoilt, and what
// it told would be missing. One that can be read but makes no sense would come again as it is, so it is passed over.
func (s *Stream) handleEvent(id string, data []byte) error {
	number, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	if err == nil && number <= s.lastIndex {
		return nil // known already
	}
	var e Event
	if err := jsoniter.ConfigDefault.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("coordinator: event %.20q cannot be read: %w", id, err)
	}
	if err != nil {
		if number = e.Index; number <= s.lastIndex {
			return nil
		}
	}
	s.lastIndex = number
	u, err := e.Update()
	if err != nil {
		s.log.Error("event that cannot be used", "id", id, "err", err)
		return nil
	}
	s.onUpdate(u)
	return nil
}
