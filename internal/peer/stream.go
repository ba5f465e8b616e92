package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"cherryrelay/internal/ring"
)

// stream is a connection that reads into a ring.
type stream struct {
	net.Conn
	in   *ring.Buffer
	mu   sync.Mutex    // one writer at a time
	rest *sync.RWMutex // held while nothing is to be taken in; nil for never
	deaf chan struct{} // closed once nothing is to be taken in ever again, nor its end; nil for never
}

func newStream(nc net.Conn) *stream { return &stream{Conn: nc, in: ring.New(64 << 10)} }

// more waits for bytes.
func (s *stream) more() error {
	buf := make([]byte, min(4096, s.in.Free()))
	n, err := s.Read(buf)
	if s.rest != nil {
		s.rest.RLock()
		defer s.rest.RUnlock()
	}
	select {
	case <-s.deaf:
		return s.never()
	default:
	}
	s.in.Write(buf[:n])
	if n > 0 {
		return nil
	}
	return err
}

// never takes in what comes and leaves it, until this side is closed.
func (s *stream) never() error {
	for {
		if _, err := io.Copy(io.Discard, s.Conn); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond) // the other side has ended its part; this one does not see it
	}
}

func (s *stream) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.Conn.Write(p)
	return err
}
