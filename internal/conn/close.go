package conn

import (
	"errors"
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	// lingerTimeout is how long a connection that this side has closed is still read, if its peer does not close it before.
	lingerTimeout = 250 * time.Millisecond
	// minLinger is as much where its descriptor is wanted: a peer on the same continent has read the last words by then.
	minLinger = 20 * time.Millisecond
	// shutdownLinger is as much for all connections at the end of the process.
	shutdownLinger = 100 * time.Millisecond
	// maxDiscarded is how many bytes are read and discarded from a peer that goes on writing after the close, or in a flood.
	maxDiscarded = 8 << 20
)

// Releaser is a Handler that counts descriptors: Released comes on the loop once the connection holds none any more, which may be after
// Closed.
type Releaser interface{ Released() }

// Breaker is a Handler that has something to say before its connection is closed for a fault that it has not found itself.
type Breaker interface{ Broken(reason error) }

// Close ends the connection; the handler is told the reason on this or a later turn of the loop. What is queued goes out as far as the
// socket takes it. Then this side is closed, and what the peer sends meanwhile is discarded until it closes too, for lingerTimeout and
// maxDiscarded bytes: a socket that is closed with bytes unread sends a reset, and a reset has the peer's kernel throw away the last words
// that its program has not read yet.
func (c *Conn) Close(reason error) {
	if !c.closedDelivered && c.out.Len() > 0 {
		c.commit()
	}
	if !c.halfClose(reason) {
		return
	}
	time.AfterFunc(lingerTimeout, c.closeSocket)
	c.loop.Post(c.deliverClosed)
}

// Abort ends the connection at once.
func (c *Conn) Abort(reason error) {
	c.mu.Lock()
	first := !c.ended
	if first {
		c.reason, c.ended, c.closedLocally, c.discardInput = reason, true, true, true
		c.endedAt = time.Now()
	}
	c.mu.Unlock()
	c.unblockFill()
	c.closeSocket()
	if first {
		c.loop.Post(c.deliverClosed)
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
		c.writeBuffered(fd.Fd())
		if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil {
			slog.Debug("closing this side of a connection", "err", err)
		}
	}
	c.reason, c.ended, c.closedLocally, c.discardInput, c.closedAt = reason, true, true, true, time.Now()
	c.endedAt = c.closedAt
	c.mu.Unlock()
	c.unblockFill()
	if c.listener != nil {
		c.listener.addLingering(c)
	}
	return true
}

// writeBuffered writes what is queued as far as the socket takes it.
func (c *Conn) writeBuffered(fd int) {
	for c.out.Len() > 0 {
		first, _ := c.out.Parts()
		n, err := syscall.Write(fd, first)
		if err != nil && !errors.Is(err, syscall.EINTR) {
			return
		}
		c.onWritten(max(n, 0))
	}
}

// unblockFill lets a fill go on that waits for the loop.
func (c *Conn) unblockFill() {
	select {
	case c.spaceFreed <- struct{}{}:
	default:
	}
}

// closeSocket closes the socket.
func (c *Conn) closeSocket() {
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

// countDiscarded reports whether what comes is not taken in, and notes how much more that is.
func (c *Conn) countDiscarded(n int) (discards, tooMuch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.discardInput {
		return false, false
	}
	c.bytesDiscarded += n
	return true, c.bytesDiscarded > maxDiscarded
}

// discardFlood has all that comes from now on discarded. The loop takes in what is in the ring, and then closes the connection.
func (c *Conn) discardFlood() {
	c.mu.Lock()
	c.discardInput, c.floodDetected = true, true
	c.mu.Unlock()
	c.postInput()
}

// closeIfFlooded closes a connection of which bytes were discarded, once the handler has taken in all that came before them.
func (c *Conn) closeIfFlooded() {
	c.mu.Lock()
	flood := c.floodDetected && !c.ended
	c.mu.Unlock()
	if !flood {
		return
	}
	if h, ok := c.handler.(Breaker); ok {
		h.Broken(ErrFlood)
	}
	c.Close(ErrFlood)
}

// onSocketClosed tells that the connection holds no descriptor any more.
func (c *Conn) onSocketClosed() {
	if c.listener != nil {
		c.listener.removeConn(c)
	}
	c.loop.Post(func() {
		if h, ok := c.handler.(Releaser); ok {
			h.Released()
		}
	})
}
