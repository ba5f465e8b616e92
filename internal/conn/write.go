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

// writeCallback is a function that runs when the socket has accepted all bytes of a message.
type writeCallback struct {
	start, end uint64 // the message's range in the output, counted in bytes from the beginning of the connection
	callback   func()
	ticket     Ticket
}

// Ticket identifies a message that WriteThen has queued; 0 stands for no message.
type Ticket uint64

// Write queues a whole message for Flush. It closes the connection with ErrSlowReader if the outbound ring has no space for the message.
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

// WriteThen queues a message like Write and calls the function then once the socket has accepted its last byte, which may never happen.
// The ticket can be passed to Recall; it is 0 if the message was not queued.
func (c *Conn) WriteThen(p []byte, then func()) Ticket {
	before := c.bytesQueued
	if c.Write(p); c.bytesQueued == before {
		return 0
	}
	c.lastTicket++
	c.writeCallbacks = append(c.writeCallbacks, writeCallback{before, c.bytesQueued, then, c.lastTicket})
	return c.lastTicket
}

// CancelWrite removes a queued message of which no byte was written to the socket, and returns false if there is no such message. The function
// given to WriteThen does not run for a removed message.
func (c *Conn) CancelWrite(t Ticket) bool {
	i := slices.IndexFunc(c.writeCallbacks, func(w writeCallback) bool { return w.ticket == t })
	if t == 0 || i < 0 || c.closedDelivered || c.writeCallbacks[i].start < c.bytesWritten {
		return false
	}
	w := c.writeCallbacks[i]
	n := w.end - w.start
	c.out.Cut(int(w.start-c.bytesWritten), int(n))
	c.bytesQueued -= n
	c.writeCallbacks = slices.Delete(c.writeCallbacks, i, i+1)
	for j := range c.writeCallbacks[i:] {
		c.writeCallbacks[i+j].start -= n
		c.writeCallbacks[i+j].end -= n
	}
	return true
}

// onWritten removes bytes that the socket has accepted from the outbound ring, and runs the callbacks of messages that are complete.
func (c *Conn) onWritten(n int) {
	c.out.Discard(n)
	c.bytesWritten += uint64(n)
	for len(c.writeCallbacks) > 0 && c.writeCallbacks[0].end <= c.bytesWritten {
		callback := c.writeCallbacks[0].callback
		c.writeCallbacks = c.writeCallbacks[1:]
		callback()
	}
}

// Flush writes as much of the buffered output as the socket accepts, and retries the rest after writeRetryDelay. netpoll's own Flush is
// not used because it waits for the peer to read, so that one slow reader would block the event loop and with it every call.
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
	c.out.ReleaseStorage()
}

// discardOutput drops the buffered output after the peer has ended the connection. It does not close the connection, because that would
// discard the peer's last input: netpoll reports the end after that input.
func (c *Conn) discardOutput() {
	c.out.Discard(c.out.Len())
	c.writeCallbacks, c.bytesWritten = nil, c.bytesQueued
}

// commit commits the decisions on the event loop, if it is a committer, before messages about them leave the process.
func (c *Conn) commit() {
	if l, ok := c.loop.(committer); ok {
		l.Commit()
	}
}

// write writes the first contiguous part of the outbound ring to the socket.
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

// Unsent returns the number of bytes of buffered output.
func (c *Conn) Unsent() int { return c.out.Len() }
