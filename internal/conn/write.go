package conn

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// writeCallback is a function that waits for all bytes of a message to leave.
type writeCallback struct {
	start, end uint64
	callback   func()
	ticket     Ticket
}

// Ticket names a message that WriteThen has queued; 0 names none.
type Ticket uint64

// Write queues a whole message for Flush. The connection is closed if the peer has left too much unread.
func (c *Conn) Write(p []byte) {
	if c.closedDelivered {
		return
	}
	if c.out.Free() < len(p) {
		c.Flush()
	}
	if c.out.Free() < len(p) {
		c.Close(ErrSlowReader)
		return
	}
	c.out.Write(p)
	c.bytesQueued += uint64(len(p))
}

// WriteThen is Write with a function that runs once the last byte has gone to the socket, if it ever does. The ticket is what
// Recall takes.
func (c *Conn) WriteThen(p []byte, then func()) Ticket {
	before := c.bytesQueued
	if c.Write(p); c.bytesQueued == before {
		return 0
	}
	c.lastTicket++
	c.writeCallbacks = append(c.writeCallbacks, writeCallback{before, c.bytesQueued, then, c.lastTicket})
	return c.lastTicket
}

// Recall takes back a message of which no byte has left yet, and reports whether it was one. Its function does not run then.
func (c *Conn) Recall(t Ticket) bool {
	i := slices.IndexFunc(c.writeCallbacks, func(m writeCallback) bool { return m.ticket == t })
	if t == 0 || i < 0 || c.closedDelivered || c.writeCallbacks[i].start < c.bytesWritten {
		return false
	}
	m := c.writeCallbacks[i]
	n := m.end - m.start
	c.out.Cut(int(m.start-c.bytesWritten), int(n))
	c.bytesQueued -= n
	c.writeCallbacks = slices.Delete(c.writeCallbacks, i, i+1)
	for j := range c.writeCallbacks[i:] {
		c.writeCallbacks[i+j].start -= n
		c.writeCallbacks[i+j].end -= n
	}
	return true
}

// onWritten notes that the socket has taken bytes.
func (c *Conn) onWritten(n int) {
	c.out.Discard(n)
	c.bytesWritten += uint64(n)
	for len(c.writeCallbacks) > 0 && c.writeCallbacks[0].end <= c.bytesWritten {
		then := c.writeCallbacks[0].callback
		c.writeCallbacks = c.writeCallbacks[1:]
		then()
	}
}

// Flush writes what is queued as far as the socket takes it. netpoll's own Flush waits for the peer to read;
// here one slow reader would hold up every call, so the socket is written without waiting and tried again.
func (c *Conn) Flush() {
	if c.closedDelivered || c.out.Len() == 0 {
		return
	}
	c.commit()
	for c.out.Len() > 0 {
		n, err := c.write()
		c.onWritten(max(n, 0))
		switch {
		case err == nil || errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			if !c.retryScheduled {
				c.retryScheduled = true
				time.AfterFunc(writeRetryDelay, func() { c.loop.Post(func() { c.retryScheduled = false; c.Flush() }) })
			}
			return
		case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
			c.discardOutput()
			return
		default:
			c.Close(fmt.Errorf("writing: %w", err))
			return
		}
	}
	c.out.Empty()
}

// discardOutput drops what is queued, as the peer has ended the connection. Its end follows from netpoll, behind what the peer sent before it: a close by
// this side would have that discarded.
func (c *Conn) discardOutput() {
	c.out.Discard(c.out.Len())
	c.writeCallbacks, c.bytesWritten = nil, c.bytesQueued
}

// commit has what was decided kept, if it is to be, before it is told.
func (c *Conn) commit() {
	if l, ok := c.loop.(committer); ok {
		l.Commit()
	}
}

func (c *Conn) write() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if c.ended || !ok {
		return 0, net.ErrClosed
	}
	first, _ := c.out.Parts()
	return syscall.Write(fd.Fd(), first)
}

// Unsent is the number of bytes that wait for the socket.
func (c *Conn) Unsent() int { return c.out.Len() }
