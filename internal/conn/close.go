package conn

import (
	"errors"
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	// lingerFor is how long a connection that this side has closed is still read, if its peer does not close it before.
	lingerFor = 250 * time.Millisecond
	// lingerLeast is as much where its descriptor is wanted: a peer on the same continent has read the last words by then.
	lingerLeast = 20 * time.Millisecond
	// lingerAtExit is as much for all connections at the end of the process.
	lingerAtExit = 100 * time.Millisecond
	// discardMost is how many bytes are read and discarded from a peer that goes on writing after the close, or in a flood.
	discardMost = 8 << 20
)

// Releaser is a Handler that counts descriptors: Released comes on the loop once the connection holds none any more, which may be after
// Closed.
type Releaser interface{ Released() }

// Breaker is a Handler that has something to say before its connection is closed for a fault that it has not found itself.
type Breaker interface{ Broken(reason error) }

// Close ends the connection; the handler is told the reason on this or a later turn of the loop. What is queued goes out as far as the
// socket takes it. Then this side is closed, and what the peer sends meanwhile is discarded until it closes too, for lingerFor and
// discardMost bytes: a socket that is closed with bytes unread sends a reset, and a reset has the peer's kernel throw away the last words
// that its program has not read yet.
func (c *Conn) Close(reason error) {
	if !c.told && c.out.Len() > 0 {
		c.commit()
	}
	if !c.halfClose(reason) {
		return
	}
	time.AfterFunc(lingerFor, c.cut)
	c.loop.Post(c.tell)
}

// Abort ends the connection at once.
func (c *Conn) Abort(reason error) {
	c.mu.Lock()
	first := !c.ended
	if first {
		c.reason, c.ended, c.closed, c.discards = reason, true, true, true
		c.endedAt = time.Now()
	}
	c.mu.Unlock()
	c.freeFill()
	c.cut()
	if first {
		c.loop.Post(c.tell)
	}
}

// halfClose writes the last words and closes this side, unless the connection has ended already. It reports whether it did so.
func (c *Conn) halfClose(reason error) bool {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return false
	}
	if fd, ok := c.nc.(netpoll.Conn); ok {
		c.writeLast(fd.Fd())
		if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil {
			slog.Debug("closing this side of a connection", "err", err)
		}
	}
	c.reason, c.ended, c.closed, c.discards, c.closedAt = reason, true, true, true, time.Now()
	c.endedAt = c.closedAt
	c.mu.Unlock()
	c.freeFill()
	if c.listener != nil {
		c.listener.lingers(c)
	}
	return true
}

// writeLast writes what is queued as far as the socket takes it.
func (c *Conn) writeLast(fd int) {
	for c.out.Len() > 0 {
		first, _ := c.out.Parts()
		n, err := syscall.Write(fd, first)
		if err != nil && !errors.Is(err, syscall.EINTR) {
			return
		}
		c.took(max(n, 0))
	}
}

// freeFill lets a fill go on that waits for the loop.
func (c *Conn) freeFill() {
	select {
	case c.space <- struct{}{}:
	default:
	}
}

// cut closes the socket.
func (c *Conn) cut() {
	if err := c.nc.Close(); err != nil {
		slog.Debug("closing a connection", "err", err)
	}
}

// halfClosedAt is when this side was closed.
func (c *Conn) halfClosedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedAt
}

// EndedAt is when the connection was closed by either side, which the handler may be told later; zero while it is open.
func (c *Conn) EndedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedAt
}

// discarding reports whether what comes is not taken in, and notes how much more that is.
func (c *Conn) discarding(n int) (discards, tooMuch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.discards {
		return false, false
	}
	c.discarded += n
	return true, c.discarded > discardMost
}

// flooded has all that comes from now on discarded. The loop takes in what is in the ring, and then closes the connection.
func (c *Conn) flooded() {
	c.mu.Lock()
	c.discards, c.flood = true, true
	c.mu.Unlock()
	c.notify()
}

// breakFlood closes a connection of which bytes were discarded, once the handler has taken in all that came before them.
func (c *Conn) breakFlood() {
	c.mu.Lock()
	flood := c.flood && !c.ended
	c.mu.Unlock()
	if !flood {
		return
	}
	if h, ok := c.handler.(Breaker); ok {
		h.Broken(ErrFlood)
	}
	c.Close(ErrFlood)
}

// released tells that the connection holds no descriptor any more.
func (c *Conn) released() {
	if c.listener != nil {
		c.listener.ended(c)
	}
	c.loop.Post(func() {
		if h, ok := c.handler.(Releaser); ok {
			h.Released()
		}
	})
}
