package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"cherryrelay/internal/ring"
)

// stream is a connection with a ring buffer for its input.
type stream struct {
	net.Conn
	input      *ring.Buffer
	mu         sync.Mutex    // serializes writes
	pauseMu    *sync.RWMutex // locked for writing while input is paused; nil if input is never paused
	discarding chan struct{} // closed to discard all further input and ignore its end; nil if input is never discarded
}

func newStream(nc net.Conn) *stream { return &stream{Conn: nc, input: ring.New(64 << 10)} }

// readMore waits for data and appends it to the input.
func (s *stream) readMore() error {
	buf := make([]byte, min(4096, s.input.Free()))
	n, err := s.Read(buf)
	if s.pauseMu != nil {
		s.pauseMu.RLock()
		defer s.pauseMu.RUnlock()
	}
	select {
	case <-s.discarding:
		return s.discardInput()
	default:
	}
	s.input.Write(buf[:n])
	if n > 0 {
		return nil
	}
	return err
}

// discardInput reads and discards all data until this side is closed. It ignores that the other side has closed.
func (s *stream) discardInput() error {
	for {
		if _, err := io.Copy(io.Discard, s.Conn); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond) // the other side has closed; ignore it
	}
}

func (s *stream) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.Conn.Write(p)
	return err
}
