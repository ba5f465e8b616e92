package conn

import (
	"errors"
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	// lingerTimeout is the time for which a connection is read after a close by this side, unless its peer closes it earlier.
	lingerTimeout = 250 * time.Millisecond
	// minLinger replaces lingerTimeout when the descriptor is needed for a new connection. It is long enough for a peer on the same
	// continent to read the closing message.
	minLinger = 20 * time.Millisecond
	// shutdownLinger replaces lingerTimeout for all connections of a listener that is shut down.
	shutdownLinger = 100 * time.Millisecond
	// maxDiscarded is the number of bytes that are read and discarded from a peer that goes on sending after the close or in a flood.
	maxDiscarded = 8 << 20
)

// SocketCloseHandler is a Handler that is notified on the event loop when the connection has released its descriptor, possibly after Closed.
type SocketCloseHandler interface{ SocketClosed() }

// FaultHandler is a Handler that can write closing messages before its connection is closed for a fault that this package has detected.
type FaultHandler interface{ Faulted(reason error) }

// Close closes the connection. The handler is notified of the reason in this or a later event loop iteration.
//
// Close writes as much of the buffered output as the socket accepts, closes the writing side, and then discards input until the peer
// closes too, for up to lingerTimeout and maxDiscarded bytes. Without this, a socket that is closed with unread input sends a reset, and
// the peer's kernel then drops the closing message that its program has not read yet.
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

// Abort closes the connection at once, without writing the buffered output.
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

// halfClose writes the buffered output and closes the writing side. It returns false if the connection has ended already.
func (c *Conn) halfClose(reason error) bool {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return false
	}
	if fd, ok := c.nc.(netpoll.Conn); ok {
		c.writeBuffered(fd.Fd())
		if err := syscall.Shutdown(fd.Fd(), syscall.SHUT_WR); err != nil {
			slog.Debug("failed to close the writing side of a connection", "err", err)
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

// writeBuffered writes as much of the buffered output as the socket accepts.
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

// unblockFill wakes a fill that waits for space in the inbound ring.
func (c *Conn) unblockFill() {
	select {
	case c.spaceFreed <- struct{}{}:
	default:
	}
}

func (c *Conn) closeSocket() {
	if err := c.nc.Close(); err != nil {
		slog.Debug("failed to close a connection", "err", err)
	}
}

// halfClosedAt returns when this side closed the connection.
func (c *Conn) halfClosedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedAt
}

// EndedAt returns when either side closed the connection, or the zero time while it is open. The handler may be notified later.
func (c *Conn) EndedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedAt
}

// countDiscarded reports whether n bytes of input are to be discarded, and whether the total then exceeds maxDiscarded.
func (c *Conn) countDiscarded(n int) (discard, overLimit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.discardInput {
		return false, false
	}
	c.bytesDiscarded += n
	return true, c.bytesDiscarded > maxDiscarded
}

// discardFlood discards all further input. The event loop processes the content of the ring and then closes the connection.
func (c *Conn) discardFlood() {
	c.mu.Lock()
	c.discardInput, c.floodDetected = true, true
	c.mu.Unlock()
	c.postInput()
}

// closeIfFlooded closes a flooded connection. It runs after the handler has processed the input that precedes the discarded bytes.
func (c *Conn) closeIfFlooded() {
	c.mu.Lock()
	flood := c.floodDetected && !c.ended
	c.mu.Unlock()
	if !flood {
		return
	}
	if h, ok := c.handler.(FaultHandler); ok {
		h.Faulted(ErrFlood)
	}
	c.Close(ErrFlood)
}

// onSocketClosed notifies the listener and the handler that the connection has released its descriptor.
func (c *Conn) onSocketClosed() {
	if c.listener != nil {
		c.listener.removeConn(c)
	}
	c.loop.Post(func() {
		if h, ok := c.handler.(SocketCloseHandler); ok {
			h.SocketClosed()
		}
	})
}
